package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Bounds of what the scheduler concludes from failed requests.
const (
	// failureWeight is the weight of one more request in the share of failures.
	failureWeight = 0.25
	// failureShare is the share at which a replica is set aside, provided that it
	// is also failureFactor times that of the service's other replicas.
	failureShare  = 0.45
	failureFactor = 2.5
	// enoughRequests is how many ended requests a verdict needs.
	enoughRequests = 3
	firstAside     = 2 * time.Second
	longestAside   = 8 * time.Second
	// asideShare is the largest part of a service's replicas that is set aside,
	// unless that is less than one of several.
	asideShare = 0.4
)

// conduct is what is known of how requests at one replica ended.
type conduct struct {
	failures float64
	requests int
	// asides counts how often in a row the replica was set aside; until is the
	// end of the last time.
	asides int
	until  structs.Instant
}

// judge counts one ended request and sets the replica aside if too many failed.
func (s *Scheduler) judge(now structs.Instant, service, replica string, failed bool) {
	held, found := s.conducts[replica]
	if !found {
		held = &conduct{}
		s.conducts[replica] = held
	}
	share := 0.0
	if failed {
		share = 1
	}
	held.requests++
	held.failures += failureWeight * (share - held.failures)
	if !failed && held.failures < failureShare/2 {
		held.asides = 0
	}
	if held.requests < enoughRequests || held.failures < failureShare || now < held.until {
		return
	}
	if held.failures < failureFactor*s.othersFailures(service, replica) || !s.mayBeAside(now, service) {
		return
	}
	held.until = now + min(firstAside<<held.asides, longestAside)
	held.asides++
	held.requests, held.failures = 0, failureShare*0.8
}

// othersFailures returns the mean share of failures at the other replicas.
func (s *Scheduler) othersFailures(service, replica string) float64 {
	total, count := 0.0, 0
	for _, other := range s.replicas[service] {
		if other.ID == replica {
			continue
		}
		count++
		if held, found := s.conducts[other.ID]; found {
			total += held.failures
		}
	}
	if count == 0 {
		return 1
	}
	return total / float64(count)
}

// mayBeAside returns whether one more replica of the service may be set aside.
func (s *Scheduler) mayBeAside(now structs.Instant, service string) bool {
	aside := 1
	for _, other := range s.replicas[service] {
		if s.isAside(now, other.ID) {
			aside++
		}
	}
	known := len(s.replicas[service])
	return known > 1 && float64(aside) <= max(1, asideShare*float64(known))
}

// isAside returns whether the replica gets no requests for now.
func (s *Scheduler) isAside(now structs.Instant, replica string) bool {
	held, found := s.conducts[replica]
	return found && now < held.until
}

// onTrial returns whether the replica was set aside lately and has not answered
// well since; it then gets one request at a time.
func (s *Scheduler) onTrial(replica string) bool {
	held, found := s.conducts[replica]
	return found && held.asides > 0 && held.requests < enoughRequests
}
