package entry

import (
	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

// Poison requests at the scheduling service: it holds the tracker that the scheduler consults, and
// records how requests ended.

// Changes of a request's poison state, in logs and counters.
const (
	poisonSuspected     = "suspected"
	poisonBlocked       = "barred"
	poisonTrial         = "tried"
	poisonCleared       = "cleared"
	poisonUnblocked     = "lifted"
	poisonBlockedByPeer = "heard-barred"
)

func (s *schedulingService) setPoisonPolicy(policy poison.Policy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.poisonTracker.SetPolicy(policy)
}

// recordPoisonResult records what the end of a request shows about its fingerprint. The completion
// is zero if another node assigned the request. The caller holds the mutex.
func (s *schedulingService) recordPoisonResult(completion admission.Completion, finished *finishRequest) {
	now := s.clock()
	if finished.Observation.ProvesPrompt() {
		for _, key := range s.poisonTracker.RecordPartAnswer(now, completion.Parts) {
			s.reportPoisonTransition(poisonCleared, key)
		}
	}
	switch {
	case finished.Ended != nil:
		assignedAt := completion.AssignedAt
		if completion.Fingerprint.IsZero() {
			assignedAt = -1 // unknown, so that an incarnation counts once
		}
		record := poisonrecords.Record{Fingerprint: finished.Fingerprint, Service: finished.Ended.Service, Route: finished.Ended.Route}
		s.recordPartCrash(now, record, finished.Ended, assignedAt)
		state, changed := s.poisonTracker.RecordCrash(now, record, finished.Ended.Incarnation, assignedAt)
		if !changed {
			return
		}
		s.reportPoisonTransition(outcomeOf(state), finished.Fingerprint)
	case finished.NotRun:
		for key := range completion.PoisonKeys() {
			s.poisonTracker.CancelTrial(key)
		}
	case finished.Observation.Whole:
		if s.poisonTracker.RecordSuccess(now, finished.Fingerprint) {
			s.onPoisonTransition(poisonCleared, poisonrecords.Record{Fingerprint: finished.Fingerprint, Service: completion.Service, Route: completion.Route})
		}
	}
}

// recordPartCrash records the crash against the parts of the request's prompt, none if the replica had written an
// answer. The caller holds the mutex.
func (s *schedulingService) recordPartCrash(now structs.Instant, request poisonrecords.Record, crashed *crashedIncarnation, assignedAt structs.Instant) {
	request.Tenant = crashed.Tenant
	for _, change := range s.poisonTracker.RecordPartCrash(now, request, crashed.Parts, crashed.Incarnation, assignedAt) {
		s.reportPoisonTransition(outcomeOf(change.State), change.Key)
	}
}

// blockedBy returns the key because of which the request was rejected as blocked or suspect, or nil.
func blockedBy(decision admission.Decision) *fingerprint.Fingerprint {
	if decision.BlockedBy.IsZero() {
		return nil
	}
	return &decision.BlockedBy
}

// outcomeOf returns the name in logs of the state that a crash led to.
func outcomeOf(state poison.State) string {
	if state == poison.Blocked {
		return poisonBlocked
	}
	return poisonSuspected
}

// reportPoisonTransition reports a change of the request's poison state. The caller holds the
// mutex.
func (s *schedulingService) reportPoisonTransition(outcome string, key fingerprint.Fingerprint) {
	if record, found := s.poisonTracker.Get(key); found {
		s.onPoisonTransition(outcome, record)
	}
}

// mergePoisonLocked merges the records of other nodes or the store. The caller holds the mutex.
func (s *schedulingService) mergePoisonLocked(now structs.Instant, records []poisonrecords.Record) {
	for _, record := range s.poisonTracker.Merge(now, records) {
		s.onPoisonTransition(poisonBlockedByPeer, record)
	}
}

// mergePoisonRecords merges the records of other nodes or the store and makes the decisions that
// they allow.
func (s *schedulingService) mergePoisonRecords(records []poisonrecords.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mergePoisonLocked(s.clock(), records)
	s.decide()
}

// recentPoisonRecords returns the poison record of the request, nil if this node did not change it recently, and
// those of the parts of its prompt that it did.
func (s *schedulingService) recentPoisonRecords(request fingerprint.Fingerprint, parts []fingerprint.Fingerprint) (*poisonrecords.Record, []poisonrecords.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	var ofParts []poisonrecords.Record
	for _, part := range parts {
		if record := s.poisonTracker.Recent(now, part); record != nil {
			ofParts = append(ofParts, *record)
		}
	}
	return s.poisonTracker.Recent(now, request), ofParts
}

// poisonSummary returns the summary of the records that are shared with other nodes.
func (s *schedulingService) poisonSummary() poisonrecords.Summary {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.poisonTracker.Summary()
}

// sharedPoisonRecords returns the records that are shared with other nodes.
func (s *schedulingService) sharedPoisonRecords() []poisonrecords.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.poisonTracker.Shared(s.clock())
}

// persistentPoisonRecords returns the records that the store has to keep.
func (s *schedulingService) persistentPoisonRecords() []poisonrecords.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.poisonTracker.Persistent(s.clock())
}

// expirePoison drops expired records.
func (s *schedulingService) expirePoison() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.poisonTracker.Sweep(s.clock())
}

// blockedRequests returns the records of the blocked requests.
func (s *schedulingService) blockedRequests() []poisonrecords.Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.poisonTracker.Blocked(s.clock())
}

// unblock clears the request and returns false if it is neither suspect nor blocked.
func (s *schedulingService) unblock(key fingerprint.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	record, _ := s.poisonTracker.Get(key)
	unblocked := s.poisonTracker.Unblock(s.clock(), key)
	if unblocked {
		s.onPoisonTransition(poisonUnblocked, record)
		s.decide()
	}
	return unblocked
}
