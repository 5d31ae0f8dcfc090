package admission

// Policy selects how queued requests of equal priority are ordered. The zero value orders them by their
// targets and without regard to their tenants.
type Policy struct {
	// TenantShares gives the tenants shares of a full service in proportion to Request.Weight.
	TenantShares bool
	// FeasibleOrder puts requests first that can still meet their target by their expected finish.
	FeasibleOrder bool
}

// SetPolicy sets the policy of all services.
func (s *Scheduler) SetPolicy(policy Policy) {
	s.policy = policy
	if !policy.TenantShares {
		s.dropShares()
	}
}
