package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/structs"
)

// suspectWaitShare is the share of its target for which a suspect request waits while the same
// request runs elsewhere. Within one run it is either cleared by an answer or fails another replica.
const suspectWaitShare = 0.75

// decidePoison decides a request whose fingerprint is blocked or suspected of crashing replicas. If
// it returns false, a reason in the decision means that the request stays queued until the same
// request that is running has ended, and no reason means that it may be assigned.
func (s *Scheduler) decidePoison(now structs.Instant, request *queuedRequest) (Decision, bool) {
	state, retryAfter := s.poisonTracker.State(now, request.Fingerprint)
	if state == poison.Clear {
		return Decision{}, false
	}
	decision := Decision{ID: request.ID, Waited: now - request.submittedAt, RetryAfter: max(retryAfter, minRetryAfter)}
	isRunning := s.assignmentCounts[request.Fingerprint] > 0
	switch {
	case state == poison.Blocked, state == poison.OnTrial && isRunning:
		decision.Reason = ReasonBlocked
		return decision, true
	case state == poison.Suspect && isRunning:
		decision.Reason = ReasonSuspect
		return decision, decision.Waited >= min(request.Patience, time.Duration(suspectWaitShare*float64(request.Target)))
	}
	return Decision{}, false
}
