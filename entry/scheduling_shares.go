package entry

import (
	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Tenants' shares at the scheduling service: the levels that it reports, and those of other scheduling
// nodes that it applies.

// maxShareLevels bounds the levels that are reported to other nodes, and those that are applied.
const maxShareLevels = 48

// shareLevels returns the levels that another node needs to take over, or nil while tenant shares are off.
func (s *schedulingService) shareLevels() *liveness.ShareLevels {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.policy.admission.TenantShares {
		return nil
	}
	reported := &liveness.ShareLevels{}
	for _, level := range s.scheduler.ShareLevels(maxShareLevels) {
		reported.Add(level.Service, level.Priority, level.Tenant, float32(level.Lead))
	}
	return reported
}

// lacksShareLevels reports whether this process, which just started or resumed after a suspension, may
// still learn what another node scheduled before.
func (s *schedulingService) lacksShareLevels() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.clock() < s.shareLevelsAwaitedUntil
}

// awaitShareLevels makes the service take levels of another scheduling node although it is active. The
// caller holds the mutex.
func (s *schedulingService) awaitShareLevels() {
	s.shareLevelsAwaitedUntil = s.clock() + quotaSettleTime
	s.shareLevelsAt = -bucketLevelsRetention
}

// changeSharing drops levels that are too old when this node becomes active. The caller holds the mutex
// and has not set isActive yet.
func (s *schedulingService) changeSharing(isActive bool) {
	switch now := s.clock(); {
	case s.isActive:
		s.shareLevelsAt = now // this node's own
	case isActive && now-s.shareLevelsAt >= bucketLevelsRetention:
		s.scheduler.RestoreShareLevels(nil)
	}
}

// applyShareLevels replaces the levels of an inactive node, and adds them to those of an active one. It
// returns the number of invalid ones.
func (s *schedulingService) applyShareLevels(isActive bool, reported *liveness.ShareLevels) (ignored int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var levels []admission.ShareLevel
	reported.Each(func(service string, priority int, tenant uint64, lead float32) {
		levels = append(levels, admission.ShareLevel{Service: service, Priority: priority, Tenant: tenant, Lead: float64(lead)})
	})
	ignored = max(len(levels)-maxShareLevels, 0)
	levels = levels[:len(levels)-ignored]
	if !isActive {
		s.shareLevelsAt = s.clock()
		return ignored + s.scheduler.RestoreShareLevels(levels)
	}
	invalid := s.scheduler.MergeShareLevels(levels)
	if len(levels) == 0 || invalid < len(levels) {
		s.shareLevelsAwaitedUntil = 0
	}
	return ignored + invalid
}

// shareLevelState is the state of taking over share levels.
type shareLevelState struct {
	// shareLevelsAwaitedUntil is until when this service takes levels although it is active, and
	// shareLevelsAt when it last took them while it was not, or ceased to be.
	shareLevelsAwaitedUntil, shareLevelsAt structs.Instant
	// onInvalidWeight is called for each request with an invalid weight.
	onInvalidWeight func()
}

// checkWeight counts the request if its weight is invalid.
func (s *schedulingService) checkWeight(request *admission.Request) {
	if _, isValid := request.CheckedWeight(); !isValid && s.onInvalidWeight != nil {
		s.onInvalidWeight()
	}
}
