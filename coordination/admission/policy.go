package admission

import "time"

// Policy selects how queued requests of equal priority are ordered. The zero value orders them by their
// targets and without regard to their tenants.
type Policy struct {
	// TenantShares gives the tenants shares of a full service in proportion to Request.Weight.
	TenantShares bool
	// FeasibleOrder puts requests first that can still meet their target by their expected finish.
	FeasibleOrder bool
	// SlotHandover is the time from the end of a response to the start of the next request in its slot, which
	// includes messages between nodes, a round of decisions and the connection to the replica. Replicas
	// are assigned as many requests beyond their slots as finish in that time on average, fractions
	// included. Zero means slotHandoverTime, without fractions. A longer one keeps more slots occupied, but
	// urgent requests then wait at the replicas behind less urgent ones.
	SlotHandover time.Duration
}

// SetPolicy sets the policy of all services.
func (s *Scheduler) SetPolicy(policy Policy) {
	s.policy = policy
	if !policy.TenantShares {
		s.dropShares()
	}
}
