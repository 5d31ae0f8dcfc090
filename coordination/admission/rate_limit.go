package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

// An overloaded replica announces the rate that it accepts from all nodes together. Each scheduler
// assigns requests to it from a token bucket that is refilled with the scheduler's follower share of
// that rate. Each node follows one scheduler at a time, except that its previous one may count it for
// FollowTime more, and a scheduler that becomes active starts with empty buckets. So in a time T all
// schedulers together assign at most refillShare x rate x (T + FollowTime) requests, and two bursts.

const (
	// FollowTime is how long after its last heartbeat a node counts as a follower of the scheduler that
	// the heartbeat names.
	FollowTime = 1500 * time.Millisecond
	// refillShare is the share of the rate that is used. The remainder covers nodes that change their
	// scheduler, and assignments that are sent late.
	refillShare = 0.9
	// A bucket holds the requests of burstTime and burstRequests more.
	burstTime     = 250 * time.Millisecond
	burstRequests = 2.5
	// minRefillRate, in requests a second, applies also if the announced rate is lower: that it
	// has risen shows only in answers.
	minRefillRate = 0.1
)

// rateLimit is the rate limit that a replica has announced.
type rateLimit struct {
	known pushback.TimedLimit
	// setAt is when the replica was first known to have a limit; the bucket starts empty then.
	setAt  structs.Instant
	bucket tokenBucket
}

// refillRate returns the requests a second of a scheduler with the follower share.
func (l *rateLimit) refillRate(followerShare float64) float64 {
	return followerShare * max(refillShare*l.known.Limit.PerSecond, minRefillRate)
}

// burst returns the size of the bucket. It is at least 1, as a smaller one would never allow a request.
func (l *rateLimit) burst(followerShare float64) float64 {
	return max(followerShare*(burstTime.Seconds()*l.known.Limit.PerSecond+burstRequests), 1)
}

// SetFollowerShare sets the share of all nodes that follow this scheduler, zero if it is not active.
// All rate limit buckets are emptied when the share rises from zero.
func (s *Scheduler) SetFollowerShare(now structs.Instant, share float64) {
	if s.followerShare == 0 && share > 0 {
		s.activeSince = now
	}
	s.followerShare = share
	s.settledShare.set(now, share)
}

// ApplyPushbackReport applies the pushback that a node reports of a replica. It ignores reports of
// incarnations that are not listed; nodes repeat their reports.
func (s *Scheduler) ApplyPushbackReport(now structs.Instant, report pushback.Report) {
	state, found := s.replicaStates[report.Incarnation.Replica]
	if !found || !state.listed || pushback.IncarnationOf(state.entry) != report.Incarnation {
		return
	}
	state.leaving = state.leaving || report.Leaving
	state.applyLimit(now, report.Limit, now-report.Age)
}

// ApplyPushback applies the pushback signals in the answer to an assigned request. An answer ends a
// rate limit only if its request was assigned after the limit became known.
func (s *Scheduler) ApplyPushback(now structs.Instant, id string, signals pushback.Signals) {
	assignment, found := s.assignments[id]
	if !found {
		return
	}
	asOf, rejectionLimitAsOf := signals.Limit.AsOf(now, assignment.assignedAt), signals.RejectionLimit.AsOf(now, assignment.assignedAt)
	if signals.Pause > 0 {
		s.setPause(pauseKey{assignment.node, assignment.service}, assignment.replicaID, now+signals.Pause)
	}
	if state := s.replicaState(assignment.replicaID); s.isCurrentIncarnation(assignment) {
		state.leaving = state.leaving || signals.Leaving
		state.applyLimit(now, signals.Limit, asOf)
		state.rejections.known.Update(signals.RejectionLimit, rejectionLimitAsOf)
	}
}

func (r *replicaState) applyLimit(now structs.Instant, limit pushback.Limit, asOf structs.Instant) {
	wasSet := r.limit.known.IsSet()
	if r.limit.known.Update(limit, asOf) && !wasSet {
		r.limit.setAt = now
	}
}

// limitedTokens returns how many requests the rate-limited replica may be assigned now.
func (s *Scheduler) limitedTokens(now structs.Instant, state *replicaState) int {
	if s.followerShare == 0 {
		return 0
	}
	limit := &state.limit
	limit.bucket.refill(now, max(s.activeSince, limit.setAt), limit.refillRate(s.followerShare), limit.burst(s.followerShare))
	return limit.bucket.available()
}
