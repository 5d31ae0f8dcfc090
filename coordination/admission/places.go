package admission

// What is in progress at replicas, and what is learned from how it ends.

import (
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

// RecordFirstEvent records that the answer to a request began. Load is the number of
// requests that the replica then said to have, or negative; what exceeds the
// known ones is work that no node reports.
func (s *Scheduler) RecordFirstEvent(now structs.Instant, id string, load int) {
	held, found := s.places[id]
	if !found {
		return
	}
	held.begun = true
	if load < 0 {
		return
	}
	state := s.state(held.replica)
	state.hidden = hiddenLoad{count: max(0, load-state.reported()), at: now}
}

// Completion is a request with a place that ended.
type Completion struct {
	Content                 fingerprint.Fingerprint
	Service, Route, Replica string
	// Version is the replica's.
	Version string
	// Prompt counts tokens.
	Prompt int
	// Placed is when it got its place.
	Placed structs.Instant
}

// Finish frees the place of a request and learns from how it ended. It returns false if
// the request had no place here.
func (s *Scheduler) Finish(now structs.Instant, id string, seen Observation) (Completion, bool) {
	held, found := s.places[id]
	if !found {
		return Completion{}, false
	}
	ended := Completion{Content: held.content, Service: held.service, Route: held.route, Replica: held.replica, Version: held.version, Prompt: held.prompt, Placed: held.since}
	s.release(id)
	if !seen.Left && !held.overdue {
		s.judge(now, held.service, held.replica, seen.Failed)
	}
	if seen.Failed || seen.Left || seen.Duration <= 0 {
		return ended, true
	}
	pool := s.service(held.service)
	pool.duration = smooth(pool.duration, seen.Duration)
	s.learn(held, seen)
	return ended, true
}

// Observe learns from a request of the service that another scheduler placed at the
// replica, so that this one knows the replicas when it takes over.
func (s *Scheduler) Observe(now structs.Instant, service, replica string, prompt int, seen Observation) {
	if seen.Failed || seen.Left || seen.Duration <= 0 {
		return
	}
	pool := s.service(service)
	pool.duration = smooth(pool.duration, seen.Duration)
	s.learn(&place{service: service, replica: replica, prompt: prompt, isCold: s.state(replica).isCold(now, pool)}, seen)
}

// learn takes the pace of the replica from a request that ended well.
func (s *Scheduler) learn(held *place, seen Observation) {
	learned := s.state(held.replica).pace(held.isCold)
	if seen.Events > 0 && held.prompt > 0 && !held.overdue {
		learned.reading.observe(held.prompt, seen.FirstEvent)
	}
	step := seen.Duration
	switch {
	case seen.Events > 1:
		step = (seen.Duration - seen.FirstEvent) / time.Duration(seen.Events-1) / time.Duration(max(seen.Stride, 1))
	case seen.Events == 1:
		return
	}
	learned.step = smooth(learned.step, step)
}

func smooth(before, seen time.Duration) time.Duration {
	if before == 0 {
		return seen
	}
	return before + time.Duration(smoothing*float64(seen-before))
}

// occupy enters a request that was given a place.
func (s *Scheduler) occupy(id string, held *place) {
	s.places[id] = held
	s.running[held.content]++
	state := s.state(held.replica)
	state.used++
	state.reading = append(state.reading, held)
}

func (s *Scheduler) release(id string) {
	held := s.places[id]
	delete(s.places, id)
	if s.running[held.content]--; s.running[held.content] <= 0 {
		delete(s.running, held.content)
	}
	held.begun = true // its prompt is no longer read
	s.state(held.replica).used--
	s.forgetUnused(held.replica)
}
