package admission

import (
	"math"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Whether a replica fails more than the others of its service is told by a
// cumulative sum (CUSUM, Page 1954) of the log-likelihood ratio of two shares of
// failures: the service's, and one that is worth setting a replica aside for. It
// finds a replica that fails everything within four to ten requests, and takes
// random failures for a fault once in some ten thousand, however fast they come.
const (
	// alarmSum is the sum at which a replica is set aside.
	alarmSum = 8.2
	// failingShare is the least share of failures that is worth it, and
	// failingMargin by how much at least it exceeds the service's.
	failingShare  = 0.5
	failingMargin = 0.3
	highestShare  = 0.95
	// leastShare is the least share of failures that is reckoned with, and what a
	// service's is taken for at first; shareWeight is the weight of one more request.
	leastShare  = 0.05
	shareWeight = 0.01
	// enoughRequests is how many requests on trial end it.
	enoughRequests = 3
	firstAside     = 2 * time.Second
	longestAside   = 8 * time.Second
	// asideShare is the largest part of a service's replicas that is set aside,
	// unless that is less than one of several.
	asideShare = 0.4
)

// conduct is what is known of how requests at one replica ended.
type conduct struct {
	sum float64
	// requests counts those since the replica was set aside.
	requests int
	// asides counts how often in a row the replica was set aside; until is the
	// end of the last time.
	asides int
	until  structs.Instant
}

// judge counts one ended request and sets the replica aside if too many failed.
func (s *Scheduler) judge(now structs.Instant, service, replica string, failed bool) {
	held := &s.state(replica).conduct
	pool := s.service(service)
	held.requests++
	held.sum = max(held.sum+evidence(max(pool.failures, leastShare), failed), 0)
	pool.countFailure(failed)
	if held.sum == 0 {
		held.asides = 0
	}
	if held.sum < alarmSum || now < held.until || !s.mayBeAside(now, service) {
		return
	}
	held.until = now + min(firstAside<<held.asides, longestAside)
	held.asides++
	held.requests, held.sum = 0, alarmSum/2
}

// evidence is the logarithm of how much likelier the end of one request is at a
// replica that fails than at one that is like its service.
func evidence(usual float64, failed bool) float64 {
	failing := min(max(failingShare, usual+failingMargin), highestShare)
	usual = min(usual, failing-failingMargin/2)
	if failed {
		return math.Log(failing / usual)
	}
	return math.Log((1 - failing) / (1 - usual))
}

// countFailure enters one ended request into the service's share of failures.
func (s *service) countFailure(failed bool) {
	share := 0.0
	if failed {
		share = 1
	}
	s.failures += shareWeight * (share - s.failures)
}

// mayBeAside returns whether one more replica of the service may be set aside.
func (s *Scheduler) mayBeAside(now structs.Instant, service string) bool {
	aside := 1
	for _, other := range s.service(service).replicas {
		if other.isAside(now) {
			aside++
		}
	}
	known := len(s.service(service).replicas)
	return known > 1 && float64(aside) <= max(1, asideShare*float64(known))
}

// isAside returns whether the replica gets no requests for now.
func (r *replicaState) isAside(now structs.Instant) bool { return now < r.conduct.until }

// onTrial returns whether the replica was set aside lately and has not answered
// well since; it then gets one request at a time.
func (r *replicaState) onTrial() bool {
	return r.conduct.asides > 0 && r.conduct.requests < enoughRequests
}
