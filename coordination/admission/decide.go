package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/structs"
)

// Decide places and refuses what can be decided now.
func (s *Scheduler) Decide(now structs.Instant) []Decision {
	var decisions []Decision
	names := make([]string, 0, len(s.services))
	for name, pool := range s.services {
		if len(pool.queue) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		decisions = s.decideService(now, name, decisions)
	}
	return decisions
}

// Sweep frees places so old that their end must have been lost, and counts
// answers that should have begun against their replicas.
func (s *Scheduler) Sweep(now structs.Instant) {
	for id, held := range s.places {
		if !held.begun && !held.overdue && now-held.since > overdueAfter {
			held.overdue = true
			s.judge(now, held.service, held.replica, true)
		}
		if now-held.since > placeLimit {
			s.release(id)
		}
	}
}

func (s *Scheduler) decideService(now structs.Instant, name string, decisions []Decision) []Decision {
	pool := s.services[name]
	room := s.measure(now, name)
	sortQueue(now, pool.queue)
	kept := pool.queue[:0]
	ahead := 0
	// In calm nothing is looked up for each of up to a thousand waiting requests.
	judged := !s.poisonTracker.IsEmpty()
	for _, held := range pool.queue {
		var decision Decision
		done := false
		if judged {
			decision, done = s.decideContent(now, held)
		}
		if !done && decision.Reason != ReasonNone {
			kept = append(kept, held) // nobody else waits for it
			continue
		}
		if !done {
			decision, done = s.decideOne(now, held, room, ahead)
		}
		if !done {
			kept = append(kept, held)
			ahead++
			continue
		}
		held.sizes.decided(held.band, decision.Reason == ReasonNone)
		delete(s.waits, held.ID)
		decisions = append(decisions, decision)
	}
	clear(pool.queue[len(kept):])
	pool.queue = kept
	return decisions
}

// sortQueue orders by priority, then those that can still be in time, the
// shortest answers first and before them long ones that fell behind, then the late
// ones by arrival.
func sortQueue(now structs.Instant, queue []*waiting) {
	for _, held := range queue {
		held.size = held.order()
	}
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		aLate, bLate := now > a.arrived+a.Target, now > b.arrived+b.Target
		if aLate != bLate {
			return bLate
		}
		if !aLate && a.size != b.size {
			return a.size < b.size
		}
		return a.arrived+a.Target < b.arrived+b.Target
	})
}

func (s *Scheduler) decideOne(now structs.Instant, held *waiting, room *room, ahead int) (Decision, bool) {
	decision := Decision{ID: held.ID, Waited: now - held.arrived, QueuedAhead: ahead, Free: room.free, Expected: room.wait(ahead)}
	if chosen := s.chooseTrial(now, held, room, held.Deadline-decision.Waited); chosen != nil {
		s.place(now, held, chosen, &decision)
		return decision, true
	}
	paused := s.pauses[asker{held.Node, held.Service}]
	options := room.untried(now, &held.Request, paused)
	if len(options) == 0 && len(room.options) > 0 {
		decision.Reason, decision.RetryAfter = ReasonNoReplica, minimumRetry
		if left := room.untried(now, &held.Request, nil); len(left) > 0 {
			decision.Reason, decision.RetryAfter = ReasonPaused, max(paused.soonest(now, left), minimumRetry)
		}
		return decision, true
	}
	if len(options) == 0 {
		decision.Reason, decision.RetryAfter = ReasonNoReplica, minimumRetry
		if room.emptied > 0 {
			// The operators take a zone back after seconds at the soonest.
			decision.Reason, decision.RetryAfter = ReasonEmptied, maximumRetry
			return decision, true
		}
		return decision, decision.Waited >= held.Patience
	}
	left := held.Deadline - decision.Waited
	if held.Answer > 0 && !room.canServe(held.Answer, left) {
		decision.Reason, decision.RetryAfter = ReasonDeadline, maximumRetry
		return decision, true
	}
	if chosen := s.choose(now, held, room, options, left); chosen != nil {
		room.taken(chosen)
		s.place(now, held, chosen, &decision)
		return decision, true
	}
	expected := decision.Expected
	decision.RetryAfter = retryAfter(expected, left)
	if decision.Waited >= held.Patience {
		decision.Reason = ReasonNoPlace
		return decision, true
	}
	late := decision.Waited+expected > time.Duration(float64(held.Target)*startShare)
	if !held.Returned && late && decision.Waited >= time.Duration(float64(held.Target)*refuseShare) || ahead > maximumQueue {
		decision.Reason = ReasonBacklog
		return decision, true
	}
	return Decision{}, false
}

// place gives the request a place at the replica.
func (s *Scheduler) place(now structs.Instant, held *waiting, chosen *option, decision *Decision) {
	decision.Trial = s.give(now, held, chosen)
	decision.Replica, decision.Limit = chosen.state.replica, chosen.state.limit.known
}

// give enters that the request got a place at the replica, and returns whether that is the
// trial of a barred one.
func (s *Scheduler) give(now structs.Instant, held *waiting, chosen *option) bool {
	chosen.used++
	chosen.unread += held.Prompt
	standing, _ := s.poisonTracker.State(now, held.Content)
	if standing == poison.OnTrial {
		s.poisonTracker.RecordTrial(now, held.Content)
	}
	s.occupy(held.ID, &place{
		content: held.Content, node: held.Node, service: held.Service, route: held.Route, replica: chosen.state.replica.ID, born: chosen.state.replica.StartedAt, version: chosen.state.replica.Version,
		prompt: held.Prompt, since: now, isCold: chosen.isCold,
	})
	if chosen.isCold {
		chosen.state.warmth.bank.take()
	}
	if chosen.isLimited {
		chosen.state.limit.bank.take()
	}
	return standing == poison.OnTrial
}

// retryAfter tells a refused caller to come back when the work ahead is done,
// as late as it can be without taking the caller's time for the answer.
func retryAfter(expected, left time.Duration) time.Duration {
	longest := time.Duration(float64(left) * retryShare)
	return min(max(expected, minimumRetry, longest/2), max(longest, minimumRetry))
}

// choose returns the best of the replicas with a free place, or nil. It leaves out
// those where the request would be late while another one could still have it in time,
// and for a while those where its prompt would make other streams pause too long.
func (s *Scheduler) choose(now structs.Instant, held *waiting, room *room, options []*option, left time.Duration) *option {
	if len(held.Tried) == 0 && room.noneFree(len(held.Doubted)) {
		return nil
	}
	view := s.trustOf(room, held.doubt)
	if view.free <= 0 && view.trusted > 0 && len(held.Tried) == 0 {
		return nil
	}
	if held.Yields && float64(room.free) <= reservedShare*float64(room.total) && held.Prompt > 0 {
		return nil
	}
	waited := now - held.arrived
	calmOnly := waited < time.Duration(float64(held.Target)*calmPatience)
	hopeful := slices.ContainsFunc(options, func(o *option) bool { return !o.doubted && !o.late(&held.Request, waited, 0) })
	anyTrusted := slices.ContainsFunc(options, func(o *option) bool { return room.trusts(view, o) })
	var best *option
	var bestCost float64
	for _, choice := range options {
		if choice.used >= choice.places || anyTrusted && !room.trusts(view, choice) || !choice.fits(held.Answer, left) {
			continue
		}
		if hopeful && choice.late(&held.Request, waited, choice.unread) {
			continue
		}
		cost := choice.cost(held.Prompt)
		cost *= s.distance(held.Zone, choice.state.replica.Zone)
		if choice.disturbs(&held.Request) {
			if calmOnly {
				continue
			}
			cost += disturbanceCost * float64(choice.used)
		}
		if best == nil || cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	return best
}
