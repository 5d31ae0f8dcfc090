package entry

import "github.com/thornwalk/thornwalk/coordination/admission"

// Evacuated zones and the slow start of replicas at the scheduling service.

// setEvacuatedZones sets the zones that get no requests.
func (s *schedulingService) setEvacuatedZones(zones map[string]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.evacuatedZones = zones
	s.scheduler.SetEvacuatedZones(s.clock(), zones)
	s.decide()
}

// setSlowStarts sets the limits of cold replicas by service.
func (s *schedulingService) setSlowStarts(slowStarts map[string]admission.SlowStart) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowStarts = slowStarts
	s.applySlowStarts()
	s.decide()
}

func (s *schedulingService) applySlowStarts() {
	for service, slowStart := range s.slowStarts {
		s.scheduler.SetSlowStart(service, slowStart)
	}
}

// confirmEntries records that the listed entries are those of the replicas that run now.
func (s *schedulingService) confirmEntries() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.scheduler.ConfirmEntries()
}

// updateColdTraffic lets the scheduler send to cold replicas only while this node is active and its
// share of the quotas is a majority, so that few nodes do so at a time. The caller holds the mutex.
func (s *schedulingService) updateColdTraffic() {
	if allowed := s.isActive && s.quotaShare > majorityShare; allowed != s.scheduler.ColdTrafficAllowed() {
		s.scheduler.SetColdTrafficAllowed(s.clock(), allowed)
	}
}
