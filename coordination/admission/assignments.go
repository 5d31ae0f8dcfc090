package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

// RecordFirstEvent records that the answer to an assigned request has started. Load is the number of
// requests that the replica then reported, or negative if unknown; what exceeds the known requests
// counts as unreported load.
func (s *Scheduler) RecordFirstEvent(now structs.Instant, id string, load int) {
	assignment, found := s.assignments[id]
	if !found {
		return
	}
	assignment.started = true
	state := s.replicaState(assignment.replicaID)
	state.recordAnswer(now, assignment.assignedAt, s.pool(assignment.service))
	if load < 0 {
		return
	}
	state.unreported = unreportedLoad{count: max(0, load-state.reportedInFlight()), observedAt: now}
}

// Completion describes an assigned request that ended.
type Completion struct {
	Fingerprint             fingerprint.Fingerprint
	Parts                   []fingerprint.Fingerprint
	Service, Route, Replica string
	// Version is that of the replica's entry at the assignment. MayBeOfSuccessor is true if another incarnation, and so
	// another version, may have got the request.
	Version          string
	MayBeOfSuccessor bool
	// Prompt is the number of prompt tokens.
	Prompt int
	// AssignedAt is the time of the assignment.
	AssignedAt structs.Instant
}

// Finish removes the assignment of a request and learns the replica's health and speed from its end.
// It returns false if the request has no assignment here.
func (s *Scheduler) Finish(now structs.Instant, id string, observed Observation) (Completion, bool) {
	assignment, found := s.assignments[id]
	if !found {
		return Completion{}, false
	}
	ended := Completion{Fingerprint: assignment.fingerprint, Parts: assignment.parts, Service: assignment.service, Route: assignment.route, Replica: assignment.replicaID, Version: assignment.version, MayBeOfSuccessor: assignment.mayBeSuccessor, Prompt: assignment.promptTokens, AssignedAt: assignment.assignedAt}
	isCurrent := s.isCurrentIncarnation(assignment)
	assignment.settleFinished(now, observed.Duration)
	if isCurrent {
		s.concludeWorkTime(now, assignment, observed)
	}
	s.removeAssignment(id)
	if isCurrent && !observed.CallerLeft && !assignment.late {
		s.recordOutcome(now, assignment.service, assignment.replicaID, observed.Failed)
	}
	if observed.Failed || observed.CallerLeft || observed.Duration <= 0 {
		return ended, true
	}
	pool := s.pool(assignment.service)
	pool.meanDuration = smooth(pool.meanDuration, observed.Duration)
	pool.work.observe(assignment.promptTokens, observed)
	if !assignment.late {
		pool.responseTimes.observe(assignment.promptTokens, observed)
	}
	pool.responseTimes.observeTransfer(now - assignment.assignedAt - observed.Duration)
	if isCurrent {
		s.learnSpeed(assignment, observed)
	}
	return ended, true
}

// isCurrentIncarnation reports whether the replica has not started again since the assignment. What is
// learned from one incarnation does not apply to the next.
func (s *Scheduler) isCurrentIncarnation(assignment *assignment) bool {
	return s.replicaState(assignment.replicaID).entry.StartedAt == assignment.startedAt
}

// ObserveExternal learns the replica's speed from a request that another scheduler assigned, so that
// this one knows it when it becomes the active scheduler. The prompt is in tokens.
func (s *Scheduler) ObserveExternal(now structs.Instant, service, replica string, prompt int, observed Observation) {
	if observed.Failed || observed.CallerLeft || observed.Duration <= 0 {
		return
	}
	pool := s.pool(service)
	s.replicaState(replica).recordAnswer(now, now-observed.Duration, pool)
	pool.meanDuration = smooth(pool.meanDuration, observed.Duration)
	pool.work.observe(prompt, observed)
	pool.responseTimes.observe(prompt, observed)
	ended := &assignment{service: service, replicaID: replica, promptTokens: prompt, assignedAt: now - observed.Duration, isCold: s.replicaState(replica).isCold(now, pool)}
	s.concludeWorkTime(now, ended, observed)
	s.learnSpeed(ended, observed)
}

// tokenTime returns the mean time between two tokens of a stream with more than one event.
func (o *Observation) tokenTime() time.Duration {
	return (o.Duration - o.FirstEvent) / time.Duration(o.Events-1) / time.Duration(max(o.TokensPerEvent, 1))
}

// learnSpeed updates the replica's speed from a request that succeeded. Times count as they would have
// been at the mean of the speeds that the replica reports.
func (s *Scheduler) learnSpeed(assignment *assignment, observed Observation) {
	speed := s.replicaState(assignment.replicaID).speedFor(assignment.isCold)
	if observed.Events > 0 && assignment.promptTokens > 0 && !assignment.late {
		speed.prefill.observe(assignment.promptTokens, atMeanSpeed(observed.FirstEvent, assignment.workTime.atStart))
	}
	step := observed.Duration
	switch {
	case observed.Events > 1:
		step = observed.tokenTime()
	case observed.Events == 1:
		return
	}
	speed.stepTime = smooth(speed.stepTime, atMeanSpeed(step, assignment.workTime.steps))
}

// smooth returns the exponential moving average after one more observation.
func smooth(average, observed time.Duration) time.Duration {
	if average == 0 {
		return observed
	}
	return average + time.Duration(smoothingWeight*float64(observed-average))
}

func (s *Scheduler) addAssignment(id string, assignment *assignment) {
	s.assignments[id] = assignment
	for key := range assignment.keys() {
		s.assignmentCounts[key]++
	}
	state := s.replicaState(assignment.replicaID)
	state.assigned++
	state.prefilling = append(state.prefilling, assignment)
}

func (s *Scheduler) removeAssignment(id string) {
	assignment := s.assignments[id]
	delete(s.assignments, id)
	assignment.share.settle(assignment.share.work) // only of a lost end, for which the estimate stands
	for key := range assignment.keys() {
		if s.assignmentCounts[key]--; s.assignmentCounts[key] <= 0 {
			delete(s.assignmentCounts, key)
		}
	}
	assignment.isAccepted = true
	assignment.started = true // excludes its prompt from replicaState.unreadTokens
	s.replicaState(assignment.replicaID).assigned--
	s.forgetUnused(assignment.replicaID)
}
