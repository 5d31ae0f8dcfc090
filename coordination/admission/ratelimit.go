package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

// A replica in need names the rate that it takes from all nodes together. Every request goes there
// by a place of a scheduler, which gives such places out of a bank.
//
// The bound holds by construction. Each node follows one scheduler at a time, and the part of the
// rate that a scheduler pays into its banks is that of the nodes that follow it. So the parts of all
// schedulers sum to one, but that a node which went over to another one still counts with the first
// for FollowTime. In a time T all schedulers pay in no more than
//
//	paidShare x rate x (T + FollowTime)
//
// A scheduler that begins to lead begins with empty banks, so that beside this only those count that
// lead at the beginning of T; the parts of these sum to two at most, and so do their bursts.

const (
	// FollowTime is how long a node counts as following a scheduler since it said so.
	FollowTime = 1500 * time.Millisecond
	// paidShare is the part of the rate that is paid in; the rest is for nodes that go over, and
	// for places that are used late.
	paidShare = 0.9
	// burstTime and burstRequests are what a bank holds at most: the requests of so long, and some
	// on top.
	burstTime     = 250 * time.Millisecond
	burstRequests = 2.5
	// leastRate is paid in, in requests a second, however low the rate is: that it rises is told by
	// answers only.
	leastRate = 0.1
)

// rateLimit is what is known of the rate that a replica takes.
type rateLimit struct {
	known pushback.TimedLimit
	// since is when it was named first; nothing was counted before.
	since structs.Instant
	bank  bank
}

// paid returns what is paid in, in requests a second, by a scheduler with the part.
func (l *rateLimit) paid(part float64) float64 {
	return part * max(paidShare*l.known.Limit.PerSecond, leastRate)
}

// burst returns what the bank of a scheduler with the part holds. One that could never hold a whole
// request would give none.
func (l *rateLimit) burst(part float64) float64 {
	return max(part*(burstTime.Seconds()*l.known.Limit.PerSecond+burstRequests), 1)
}

// SetFollowerShare tells which part of all nodes follows this scheduler; zero if it does not lead. When it
// begins to lead, all banks are empty.
func (s *Scheduler) SetFollowerShare(now structs.Instant, part float64) {
	if s.part == 0 && part > 0 {
		s.leadsSince = now
	}
	s.part = part
}

// ApplyPushbackReport enters what a replica said to a node. What it tells of lives that are not listed is told again
// once they are.
func (s *Scheduler) ApplyPushbackReport(now structs.Instant, note pushback.Report) {
	state, found := s.states[note.Life.Replica]
	if !found || !state.listed || pushback.IncarnationOf(state.replica) != note.Life {
		return
	}
	state.leaving = state.leaving || note.Leaving
	state.hearLimit(now, note.Limit, now-note.Age)
}

// ApplyPushback enters what the answer to a request with a place says of its replica. An answer ends a limit
// only if its request was placed after that was heard.
func (s *Scheduler) ApplyPushback(now structs.Instant, id string, said pushback.Signals) {
	held, found := s.places[id]
	if !found {
		return
	}
	asOf := now
	if said.Limit.State == pushback.LimitNone {
		asOf = held.since
	}
	if said.Pause > 0 {
		s.pause(asker{held.node, held.service}, held.replica, now+said.Pause)
	}
	if state := s.state(held.replica); state.replica.StartedAt == held.born {
		state.leaving = state.leaving || said.Leaving
		state.hearLimit(now, said.Limit, asOf)
	}
}

func (r *replicaState) hearLimit(now structs.Instant, limit pushback.Limit, asOf structs.Instant) {
	wasNamed := r.limit.known.IsSet()
	if r.limit.known.Update(limit, asOf) && !wasNamed {
		r.limit.since = now
	}
}

// limitedRoom returns how many requests the replica may be given now.
func (s *Scheduler) limitedRoom(now structs.Instant, state *replicaState) int {
	if s.part == 0 {
		return 0
	}
	held := &state.limit
	held.bank.fill(now, max(s.leadsSince, held.since), held.paid(s.part), held.burst(s.part))
	return held.bank.room()
}
