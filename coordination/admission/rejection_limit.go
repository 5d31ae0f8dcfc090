package admission

import (
	"math"
	"time"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

// A brittle replica crashes if it has to reject more requests in a second for lack of room than its rejection
// limit, from all nodes together. A scheduler can't rule rejections out, as others may use the room that it
// counts on. It bounds them instead: each assignment to a brittle replica is at risk until the replica has
// accepted the request, and each rejection counts for as long as the replica counts it. Both together are at
// most the scheduler's part of the limit, so that even if all requests at risk are rejected, the limit holds.
//
// A replica has accepted a request once its answer begins. Answers of plain services begin late, while
// rejections come at once. So unless there were rejections lately, a request also counts as accepted after
// acceptTime without one.
//
// A scheduler's part grows with the nodes that follow it, FollowTime after they do, when their previous
// scheduler no longer counts them. A scheduler that becomes active has a part of one, for which the parts leave
// room.

const (
	// rejectionWindow is how long a rejection counts: the second in which the replica counts it, and the
	// time until the scheduler learns of it.
	rejectionWindow = 1200 * time.Millisecond
	// acceptTime is many times what a rejection takes to arrive. It applies if the replica has rejected
	// nothing for calmTime.
	acceptTime = 50 * time.Millisecond
	calmTime   = 3 * time.Second
	// rejectionShare is the share of the limit that is used, which leaves room for the request at risk of
	// another scheduler.
	rejectionShare = 2.0 / 3
	// roomRaiseTime is the time without rejections after which a replica is believed to have room for one
	// request more. It doubles with each rejection, up to maxRoomRaiseTime.
	roomRaiseTime    = 2 * time.Second
	maxRoomRaiseTime = 16 * time.Second
)

// rejectionLimit is the rejection limit of a brittle replica and what counts against it.
type rejectionLimit struct {
	known pushback.TimedLimit
	// atRisk are the assignments that the replica has not accepted yet, and rejectedAt the times of the
	// rejections.
	atRisk     []*assignment
	rejectedAt []structs.Instant
	// calmFrom is when the replica will have rejected nothing for calmTime.
	calmFrom structs.Instant
	// missingRoom is how many requests fewer than its slots the replica is believed to have room for. It
	// last changed at roomChangedAt, and decreases by one after raiseTime.
	missingRoom   int
	roomChangedAt structs.Instant
	raiseTime     time.Duration
}

// count returns the number of assignments at risk and of rejections that count now, and drops all others.
func (l *rejectionLimit) count(now structs.Instant) int {
	riskTime := rejectionWindow
	if now >= l.calmFrom {
		riskTime = acceptTime
	}
	risky := l.atRisk[:0]
	for _, assignment := range l.atRisk {
		if !assignment.isAccepted && now-assignment.assignedAt < riskTime {
			risky = append(risky, assignment)
		}
	}
	clear(l.atRisk[len(risky):])
	l.atRisk = risky
	recent := l.rejectedAt[:0]
	for _, at := range l.rejectedAt {
		if now-at < rejectionWindow {
			recent = append(recent, at)
		}
	}
	l.rejectedAt = recent
	return len(risky) + len(recent)
}

// room returns the number of requests that the replica with the slots is believed to have room for.
func (l *rejectionLimit) room(now structs.Instant, slots int) int {
	for l.missingRoom > 0 && now-l.roomChangedAt >= l.raiseTime {
		l.missingRoom--
		l.roomChangedAt += l.raiseTime
	}
	return max(slots-l.missingRoom, 1)
}

// recordRejection records a rejection by the replica with the slots while it had the number of requests in
// flight, this one included.
func (l *rejectionLimit) recordRejection(now structs.Instant, slots, inFlight int) {
	l.rejectedAt, l.calmFrom = append(l.rejectedAt, now), now+calmTime
	room := min(l.room(now, slots), inFlight) - 1
	l.missingRoom, l.roomChangedAt = slots-max(room, 1), now
	l.raiseTime = min(max(2*l.raiseTime, roomRaiseTime), maxRoomRaiseTime)
}

// ApplyRejectionLimit applies the rejection limit that a node reports of a replica. It ignores reports of
// incarnations that are not listed; nodes repeat their reports.
func (s *Scheduler) ApplyRejectionLimit(now structs.Instant, report pushback.Report) {
	state, found := s.replicaStates[report.Incarnation.Replica]
	if found && state.listed && pushback.IncarnationOf(state.entry) == report.Incarnation {
		state.rejections.known.Update(report.Limit, now-report.Age)
	}
}

// RecordAccepted records that the replica accepted an assigned request.
func (s *Scheduler) RecordAccepted(id string) {
	if assignment, found := s.assignments[id]; found {
		assignment.isAccepted = true
	}
}

// RecordRejection records that the replica rejected an assigned request for lack of room. Further calls for
// the request have no effect.
func (s *Scheduler) RecordRejection(now structs.Instant, id string) {
	assignment, found := s.assignments[id]
	if !found || assignment.isRejected {
		return
	}
	assignment.isRejected, assignment.isAccepted = true, true // it counts as rejection from now on
	if state := s.replicaState(assignment.replicaID); s.isCurrentIncarnation(assignment) {
		state.rejections.recordRejection(now, state.entry.Slots, state.inFlight(now))
	}
}

// brittleness returns the lowest rejection limit of the listed replicas, and whether there is one.
func (p *servicePool) brittleness() (lowest pushback.Limit, isBrittle bool) {
	lowest = pushback.Limit{State: pushback.LimitSet, PerSecond: math.Inf(1)}
	for _, state := range p.replicas {
		if known := state.rejections.known; known.IsSet() {
			lowest.PerSecond, isBrittle = min(lowest.PerSecond, known.Limit.PerSecond), true
		}
	}
	return lowest, isBrittle
}

// rejectionLimitOf returns the rejection limit that applies to the replica. One that has not answered yet is
// as brittle as the others of its service: a replica that crashed is brittle when it is back.
func (r *replicaState) rejectionLimitOf(lowest pushback.Limit, isPoolBrittle bool) (pushback.Limit, bool) {
	if r.rejections.known.Limit.State == pushback.LimitUnknown {
		return lowest, isPoolBrittle
	}
	return r.rejections.known.Limit, r.rejections.known.IsSet()
}

// rejectionPart returns how many requests to a replica with the limit this scheduler may have at risk and
// rejected.
func (s *Scheduler) rejectionPart(now structs.Instant, limit pushback.Limit) int {
	if s.followerShare == 0 {
		return 0
	}
	part := math.Round(rejectionShare * limit.PerSecond * s.settledShare.at(now))
	return int(min(max(part, 1), math.MaxInt32))
}

// limitRejections bounds the requests in flight at the brittle replica by the room that it is believed to
// have, and by the requests that may still be at risk.
func (s *Scheduler) limitRejections(now structs.Instant, replica *replicaSnapshot, limit pushback.Limit) {
	rejections := &replica.state.rejections
	replica.isBrittle, replica.room = true, rejections.room(now, replica.state.entry.Slots)
	free := max(s.rejectionPart(now, limit)-rejections.count(now), 0)
	replica.maxInFlight = min(replica.maxInFlight, replica.room, replica.inFlight+free)
}

// settledShare follows the share of nodes that follow a scheduler: down at once, and up after FollowTime.
type settledShare struct {
	share float64
	// rising is the lowest share since it last exceeded share, at risenAt; zero if it does not.
	rising  float64
	risenAt structs.Instant
}

// set sets the current share.
func (r *settledShare) set(now structs.Instant, current float64) {
	r.at(now)
	switch {
	case current <= r.share:
		r.share, r.rising = current, 0
	case r.rising == 0:
		r.rising, r.risenAt = current, now
	default:
		r.rising = min(r.rising, current)
	}
}

// at returns the settled share.
func (r *settledShare) at(now structs.Instant) float64 {
	if r.rising > 0 && now-r.risenAt >= FollowTime {
		r.share, r.rising = r.rising, 0
	}
	return r.share
}
