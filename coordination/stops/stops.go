// Package stops decides, in a planned stop of a node, which requests it still takes, until when each of them may be written
// to a replica, and when all of them have their final answer. The functions are pure: times are passed in, as the time since
// the signal, and nothing is kept but what Times has observed.
//
// For every order of the signal, arrivals, bodies, grants, writes, answers, failures of replicas and the end of the grace,
// a node that follows the decisions guarantees:
//
//  1. Each request that was read has a final answer at Plan.AnswerBy, or a response of which a part was sent is broken off
//     then.
//  2. A request that is told "not run" was not written to a replica, or was rejected by all that got it.
//  3. After Plan.UnconditionalUntil, a request is written for the first time only if its answer is expected before
//     Plan.AnswerBy, or its deadline is. Before, one that must not be repeated is not written if its answer is typically
//     later than that.
//  4. A request that waits is given up, as "not run", as soon as a write would break the third point.
package stops

import "time"

const (
	// BalancerUpdateTime is the time in which the balancer finds that the node is not ready. Until then it opens
	// connections to the node.
	BalancerUpdateTime = 2500 * time.Millisecond
	// unconditionalTime allows for callers that send their request some time after the connection was opened.
	unconditionalTime = BalancerUpdateTime + 400*time.Millisecond
	// answerMargin is the time from the final answers to the end of the grace. The process needs it to send them, and
	// timers are late on a busy machine.
	answerMargin = 700 * time.Millisecond
	// answerMarginShare is the share of a short grace that the margin takes at most. Callers may expect that what runs in
	// five sixths of the grace is not broken off.
	answerMarginShare = 1.0 / 8
)

// Plan is the plan of one stop.
type Plan struct {
	// Grace is the time from the signal until the process is killed.
	Grace time.Duration
}

// AnswerBy returns the time since the signal at which all requests get their final answer.
func (p Plan) AnswerBy() time.Duration {
	return p.Grace - min(answerMargin, time.Duration(answerMarginShare*float64(p.Grace)))
}

// UnconditionalUntil returns the time since the signal until which requests are taken without regard to how long they take,
// as their callers may have no other node.
func (p Plan) UnconditionalUntil() time.Duration { return min(unconditionalTime, p.AnswerBy()) }

// Request is what is known of a request.
type Request struct {
	IsRepeatable bool
	// IsStream is true if nothing tells how long the response will be.
	IsStream bool
	// HasBegun is true if a replica may have run the request, or the caller has a part of the response: then it goes on
	// for as long as the node does.
	HasBegun bool
	// Remaining is the time left until its deadline, or its route's if that is earlier.
	Remaining time.Duration
	// Expected is how long requests of its kind wait for a slot and run, as far as the node has observed it.
	Expected Expectation
}

// Decision is what a stopping node does with a request.
type Decision struct {
	// Take is false if the request is refused at once.
	Take bool
	// WriteBy is the time since the signal until which the request may wait, for its body or a slot. After it nothing of
	// the request may be written to a replica.
	WriteBy time.Duration
	// AnswerBy is the time since the signal at which it gets a final answer if it has none.
	AnswerBy time.Duration
}

// Decide decides on a request at a time since the signal. It is asked when the request was read and again whenever what is
// known of it changes.
func (p Plan) Decide(since time.Duration, request Request) Decision {
	unconditional, conditional := p.unconditionalWrite(request), p.conditionalWrite(since, request)
	return Decision{
		Take:     request.HasBegun && since < p.AnswerBy() || since < unconditional || since+request.Expected.Wait <= conditional && since < p.AnswerBy(),
		WriteBy:  max(unconditional, conditional),
		AnswerBy: p.AnswerBy(),
	}
}

// unconditionalWrite returns the time until which the request may be written without being expected to end in time.
func (p Plan) unconditionalWrite(request Request) time.Duration {
	if request.IsRepeatable || request.IsStream || !request.Expected.IsKnown {
		return p.UnconditionalUntil()
	}
	return min(p.UnconditionalUntil(), max(p.AnswerBy()-request.Expected.TypicalWork, 0))
}

// conditionalWrite returns the time until which the request may be written as it is expected to end in time, zero if it is
// not.
func (p Plan) conditionalWrite(since time.Duration, request Request) time.Duration {
	switch {
	case request.HasBegun:
		return p.AnswerBy()
	case request.IsStream:
		return 0
	case since+request.Remaining <= p.AnswerBy():
		return p.AnswerBy()
	case !request.Expected.IsKnown:
		return 0
	}
	return max(p.AnswerBy()-request.Expected.LongWork, 0)
}
