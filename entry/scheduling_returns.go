package entry

import (
	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/returns"
	"github.com/thornwalk/thornwalk/structs"
)

// clearReturns drops all planned returns. Their callers count as new arrivals.
func (s *schedulingService) clearReturns() {
	s.returnPlanner = returns.NewPlanner(func(outcome returns.Outcome) { s.onReturn(outcome) })
}

// planReturn replaces the time after which the caller of a request that was rejected for lack of slots
// should come back by a planned one. Callers whose requests may have run are not told a time. The caller
// holds the mutex.
func (s *schedulingService) planReturn(now structs.Instant, charge requestCharge, decision *admission.Decision) {
	if !s.policy.plannedReturns || decision.LatestReturn <= 0 || charge.mayHaveRun {
		return
	}
	decision.RetryAfter = s.returnPlanner.Plan(now, returns.Refusal{
		Service: charge.service, Priority: charge.priority, Fingerprint: charge.fingerprint,
		ExpectedWait: decision.ExpectedWait, LatestReturn: decision.LatestReturn, CompletionRate: decision.CompletionRate,
	})
}

// redeemReturn reports whether the caller of the request came back when told. Retries after a failed
// attempt are no returns of callers. The caller holds the mutex.
func (s *schedulingService) redeemReturn(now structs.Instant, request *assignRequest) bool {
	if !s.policy.plannedReturns || request.Repeat || len(request.Request.Tried) > 0 {
		return false
	}
	return s.returnPlanner.Redeem(now, request.Request.Fingerprint)
}

// countReturn counts an outcome of planned returns.
func (n *Node) countReturn(outcome returns.Outcome) {
	n.counter("returns." + string(outcome)).Inc(1)
}
