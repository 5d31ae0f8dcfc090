package rollout

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// CanaryBudget is what this scheduler may still send to a target that is not judged yet. All of
// it was acknowledged by the store as taken. It is not safe for concurrent use.
type CanaryBudget struct {
	left int
	// until is when what is left is void: whoever could not reach the store for so long may
	// not know that the target was found bad.
	until structs.Instant
	// open is true while a burst goes on, and turn counts the bursts.
	open bool
	turn int
	// asked and given count the requests by route that might go to the target, and that do.
	asked, given routeCounts
}

// routeCounts counts requests by route.
type routeCounts struct {
	total   int
	byRoute map[string]int
}

func (c *routeCounts) add(route string) {
	if c.byRoute == nil {
		c.byRoute = map[string]int{}
	}
	c.total++
	c.byRoute[route]++
}

const (
	// exposureLifetime is how long requests may be sent out of one write of the record. A
	// scheduler writes it every half second while the store answers.
	exposureLifetime = 1500 * time.Millisecond
	// burstSize is how many requests are sent to the target in a row. A version that is bad
	// only under load shows it when its replica is as full as the others are: in a pool of
	// three with 15 ms of work a tenth of 250 requests a second, sent evenly, never meet.
	burstSize = 8
)

// take adds what the store acknowledged.
func (e *CanaryBudget) take(now structs.Instant, count int) {
	if now >= e.until {
		e.left = 0
	}
	e.left += count
	e.until = now + exposureLifetime
}

// void drops what is left.
func (e *CanaryBudget) void() { e.left, e.open = 0, false }

// Left returns how many requests may be sent to the target now.
func (e *CanaryBudget) Left(now structs.Instant) int {
	if e == nil || now >= e.until {
		return 0
	}
	return e.left
}

// Open returns whether the next request may go to the target.
func (e *CanaryBudget) Open(now structs.Instant) bool {
	if e == nil {
		return false
	}
	left := e.Left(now)
	if !e.open && left >= burstSize {
		e.turn++
	}
	e.open = left >= burstSize || e.open && left > 0
	return e.open
}

// Spent returns whether nothing is left.
func (e *CanaryBudget) Spent() bool { return e == nil || e.left <= 0 }

// Ask counts a request of the route that might go to the target.
func (e *CanaryBudget) Ask(route string) {
	if e != nil {
		e.asked.add(route)
	}
}

// Fair returns whether the route has not had more than its share of what goes to the
// target: under load the most urgent would else have all of it, and a version that is bad
// on another route only would not be found.
func (e *CanaryBudget) Fair(route string) bool {
	return e.given.byRoute[route]*e.asked.total <= e.asked.byRoute[route]*(e.given.total+burstSize)
}

// Spend counts one request of the route that is sent to the target.
func (e *CanaryBudget) Spend(route string) {
	e.left--
	e.given.add(route)
}

// Turn counts the bursts: each goes to another replica first.
func (e *CanaryBudget) Turn() int {
	if e == nil {
		return 0
	}
	return e.turn
}
