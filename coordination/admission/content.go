package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/structs"
)

// suspectShare is the part of its target that a suspect waits for another try of the same
// request: the answer that clears it, or the end of a replica that speaks against it once
// more, comes within one run.
const suspectShare = 0.75

// decideContent decides what follows from the replicas that ended under the request. If it
// is not done, the decision's reason says whether the request has to wait for another try.
func (s *Scheduler) decideContent(now structs.Instant, held *waiting) (Decision, bool) {
	standing, comeBack := s.poisonTracker.State(now, held.Content)
	if standing == poison.Clear {
		return Decision{}, false
	}
	decision := Decision{ID: held.ID, Waited: now - held.arrived, RetryAfter: max(comeBack, minimumRetry)}
	isRunning := s.running[held.Content] > 0
	switch {
	case standing == poison.Blocked, standing == poison.OnTrial && isRunning:
		decision.Reason = ReasonBarred
		return decision, true
	case standing == poison.Suspect && isRunning:
		decision.Reason = ReasonSuspect
		return decision, decision.Waited >= min(held.Patience, time.Duration(suspectShare*float64(held.Target)))
	}
	return Decision{}, false
}
