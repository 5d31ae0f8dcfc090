package rollout

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// CanaryBudget is the number of requests that this scheduler may still send to a target in the canary
// phase. All of it was acknowledged by the store. A nil CanaryBudget is empty, but AllowsRoute and
// Consume need one. It is not safe for concurrent use.
type CanaryBudget struct {
	remaining int
	// expiresAt is when the remaining budget is void: a scheduler without contact to the store may
	// not know that the target was found bad.
	expiresAt structs.Instant
	// inBurst is true during a burst; burstCount is the number of bursts so far.
	inBurst    bool
	burstCount int
	// eligible counts the requests that could go to the target, consumed those that did.
	eligible, consumed routeCounts
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
	// budgetTTL is how long the budget of one write may be used. It covers several of the writes
	// that renew it.
	budgetTTL = 1500 * time.Millisecond
	// burstSize is the number of requests sent to the target in a row: evenly spread requests would
	// not load its replicas, so that faults under load would stay undetected. In a pool of three replicas
	// with 15 ms of work a tenth of 250 requests per second, sent evenly, never overlaps.
	burstSize = 8
)

// add adds budget that the store acknowledged.
func (b *CanaryBudget) add(now structs.Instant, count int) {
	if now >= b.expiresAt {
		b.remaining = 0
	}
	b.remaining += count
	b.expiresAt = now + budgetTTL
}

// void drops the remaining budget.
func (b *CanaryBudget) void() { b.remaining, b.inBurst = 0, false }

// Remaining returns how many requests may be sent to the target now.
func (b *CanaryBudget) Remaining(now structs.Instant) int {
	if b == nil || now >= b.expiresAt {
		return 0
	}
	return b.remaining
}

// InBurst reports whether the next request may go to the target. A burst begins once the budget
// suffices for burstSize requests and ends when it is used up.
func (b *CanaryBudget) InBurst(now structs.Instant) bool {
	if b == nil {
		return false
	}
	remaining := b.Remaining(now)
	if !b.inBurst && remaining >= burstSize {
		b.burstCount++
	}
	b.inBurst = remaining >= burstSize || b.inBurst && remaining > 0
	return b.inBurst
}

// IsExhausted reports whether the budget is used up, regardless of its expiry.
func (b *CanaryBudget) IsExhausted() bool { return b == nil || b.remaining <= 0 }

// RecordEligible counts a request of the route that could go to the target.
func (b *CanaryBudget) RecordEligible(route string) {
	if b != nil {
		b.eligible.add(route)
	}
}

// AllowsRoute reports whether the route has not used more than its share of the budget. Otherwise the
// most urgent route could use all of it under load, and faults on other routes would stay undetected.
func (b *CanaryBudget) AllowsRoute(route string) bool {
	return b.consumed.byRoute[route]*b.eligible.total <= b.eligible.byRoute[route]*(b.consumed.total+burstSize)
}

// Consume counts a request of the route that is sent to the target.
func (b *CanaryBudget) Consume(route string) {
	b.remaining--
	b.consumed.add(route)
}

// BurstCount returns the number of bursts so far. Callers use it to start each burst at another
// replica.
func (b *CanaryBudget) BurstCount() int {
	if b == nil {
		return 0
	}
	return b.burstCount
}
