// Package retrybudget bounds how many requests are sent to a second replica, so
// that retries do not multiply an overload. Within a sliding window, repeats of
// a service stay under a share of its first sends plus a fixed slack.
package retrybudget

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Policy bounds the repeats of a window.
type Policy struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// slots is the number of parts in which a window is counted.
const slots = 20

type counter struct {
	first, repeats [slots]int
	slot           int64
}

// Budget counts sends by service. It is not safe for concurrent use.
type Budget struct {
	policy   Policy
	services map[string]*counter
}

// New returns an empty budget.
func New(policy Policy) *Budget {
	return &Budget{policy: policy, services: map[string]*counter{}}
}

// SetPolicy takes changed bounds into force.
func (b *Budget) SetPolicy(policy Policy) { b.policy = policy }

// First counts the first send of a request.
func (b *Budget) First(now structs.Instant, service string) {
	held := b.counter(now, service)
	held.first[held.slot%slots]++
}

// Repeat counts one more send of a request, or returns false if the budget of
// the service is used up.
func (b *Budget) Repeat(now structs.Instant, service string) bool {
	held := b.counter(now, service)
	first, repeats := 0, 0
	for i := range slots {
		first += held.first[i]
		repeats += held.repeats[i]
	}
	if float64(repeats+1) > b.policy.Ratio*float64(first)+b.policy.Slack {
		return false
	}
	held.repeats[held.slot%slots]++
	return true
}

// counter returns the counter of the service with what is too old cleared.
func (b *Budget) counter(now structs.Instant, service string) *counter {
	held, found := b.services[service]
	slot := int64(now / (b.policy.Window / slots))
	if !found {
		held = &counter{slot: slot}
		b.services[service] = held
	}
	for held.slot < slot {
		if slot-held.slot > slots {
			held.slot = slot - slots
		}
		held.slot++
		held.first[held.slot%slots] = 0
		held.repeats[held.slot%slots] = 0
	}
	return held
}
