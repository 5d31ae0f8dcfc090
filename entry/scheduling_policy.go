package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
)

// schedulingPolicy is the part of the settings that determines the order of requests and returns.
type schedulingPolicy struct {
	admission      admission.Policy
	plannedReturns bool
}

func (s *Settings) schedulingPolicy() schedulingPolicy {
	return schedulingPolicy{
		admission: admission.Policy{
			TenantShares:  s.TenantShares == SharesEqual || s.TenantShares == SharesByQuota,
			FeasibleOrder: s.QueueOrder == OrderFeasible,
			SlotHandover:  time.Duration(s.SlotHandover * float64(time.Millisecond)),
		},
		plannedReturns: s.PlannedReturns,
	}
}

// setPolicy sets the order of requests and returns.
func (s *schedulingService) setPolicy(policy schedulingPolicy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !policy.plannedReturns {
		s.clearReturns()
	}
	s.policy = policy
	s.scheduler.SetPolicy(policy.admission)
	s.decide()
}
