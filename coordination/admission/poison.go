package admission

import (
	"iter"
	"time"

	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// suspectWaitShare is the share of its target for which a suspect request waits while the same
	// request, or one with the same suspect part, runs elsewhere. Within one run it is either cleared by an
	// answer or fails another replica.
	suspectWaitShare = 0.75
	// jointTrialDelay is how much longer than a single trial one of several keys at once is delayed: a request
	// with only one of them tells more.
	jointTrialDelay = 2 * time.Second
)

// poisonKeys yields what the poison tracker knows the request by: its fingerprint and the parts of its prompt.
func poisonKeys(request fingerprint.Fingerprint, parts []fingerprint.Fingerprint) iter.Seq[fingerprint.Fingerprint] {
	return func(yield func(fingerprint.Fingerprint) bool) {
		if !yield(request) {
			return
		}
		for _, part := range parts {
			if !yield(part) {
				return
			}
		}
	}
}

// PoisonKeys yields the fingerprint of the request and the parts of its prompt.
func (c *Completion) PoisonKeys() iter.Seq[fingerprint.Fingerprint] {
	return poisonKeys(c.Fingerprint, c.Parts)
}

func (a *assignment) keys() iter.Seq[fingerprint.Fingerprint] {
	return poisonKeys(a.fingerprint, a.parts)
}

// decidePoison decides a request that is blocked or suspected of crashing replicas, or whose prompt has such a
// part. If it returns false, a reason in the decision means that the request stays queued until the
// one that is running has ended, and no reason means that it may be assigned.
func (s *Scheduler) decidePoison(now structs.Instant, request *queuedRequest) (Decision, bool) {
	decision := Decision{ID: request.ID, Waited: now - request.submittedAt}
	var onTrial []fingerprint.Fingerprint
	for key := range poisonKeys(request.Fingerprint, request.Parts) {
		state, retryAfter := s.poisonTracker.State(now, key)
		isRunning := s.assignmentCounts[key] > 0
		switch {
		case state == poison.Blocked, state == poison.OnTrial && isRunning:
			decision.reject(ReasonBlocked, key, retryAfter)
			return decision, true
		case state == poison.OnTrial:
			onTrial = append(onTrial, key)
		case state == poison.Suspect && isRunning:
			decision.reject(ReasonSuspect, key, retryAfter)
		}
	}
	if len(onTrial) > 1 {
		for _, key := range onTrial {
			if dueFor := s.poisonTracker.TrialDueFor(now, key); dueFor < jointTrialDelay {
				decision.reject(ReasonBlocked, key, jointTrialDelay-dueFor)
				return decision, true
			}
		}
	}
	return decision, decision.Reason == ReasonSuspect && decision.Waited >= min(request.Patience, time.Duration(suspectWaitShare*float64(request.Target)))
}

// reject sets the reason of a rejection and the key that causes it.
func (d *Decision) reject(reason Reason, key fingerprint.Fingerprint, retryAfter time.Duration) {
	d.Reason, d.BlockedBy, d.RetryAfter = reason, key, max(retryAfter, minRetryAfter)
}

// recordTrials records the trials that the assignment of the request is, and returns their keys.
func (s *Scheduler) recordTrials(now structs.Instant, request *queuedRequest) []fingerprint.Fingerprint {
	if s.poisonTracker.IsEmpty() {
		return nil
	}
	var trials []fingerprint.Fingerprint
	for key := range poisonKeys(request.Fingerprint, request.Parts) {
		if state, _ := s.poisonTracker.State(now, key); state == poison.OnTrial {
			s.poisonTracker.RecordTrial(now, key)
			trials = append(trials, key)
		}
	}
	return trials
}
