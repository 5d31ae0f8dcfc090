package admission

import (
	"math"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// A replica that fails more often than its service is detected by a cumulative sum (CUSUM, Page 1954)
// of the log-likelihood ratio of two failure shares: one that is worth a quarantine, and the usual one
// of the service. Unlike a count in a window, it does not depend on the request rate.
const (
	// quarantineThreshold is the cumulative sum at which a replica is quarantined.
	quarantineThreshold = 8.2
	// A failure share is worth a quarantine if it is at least minFailingShare and exceeds the usual
	// one by minFailingMargin. The sum uses at most maxFailingShare.
	minFailingShare  = 0.5
	minFailingMargin = 0.3
	maxFailingShare  = 0.95
	// minUsualShare is the lowest usual failure share of a service, and the initial one.
	minUsualShare = 0.05
	// failureShareWeight is the weight of a new outcome in the usual failure share.
	failureShareWeight = 0.01
	// minProbes is the number of requests that must end before a replica leaves probing.
	minProbes = 3
	// The time of a quarantine doubles with each one in a row, up to maxQuarantineTime.
	minQuarantineTime      = 2 * time.Second
	maxQuarantineDoublings = 2
	maxQuarantineTime      = minQuarantineTime << maxQuarantineDoublings
	// maxQuarantinedShare limits the quarantined replicas of a service. One of several may always be
	// quarantined.
	maxQuarantinedShare = 0.4
)

// health is the failure detector's state for one replica.
type health struct {
	cusum float64
	// requestsSinceQuarantine counts the requests that ended since the last quarantine began.
	requestsSinceQuarantine int
	// consecutiveQuarantines is reset when cusum returns to zero.
	consecutiveQuarantines int
	// quarantinedUntil is the end of the last quarantine.
	quarantinedUntil structs.Instant
}

// recordOutcome counts a request that ended or whose answer is late, and quarantines the replica if
// too many have failed.
func (s *Scheduler) recordOutcome(now structs.Instant, service, replicaID string, failed bool) {
	health := &s.replicaState(replicaID).health
	pool := s.pool(service)
	health.requestsSinceQuarantine++
	health.cusum = max(health.cusum+logLikelihoodRatio(max(pool.failureShare, minUsualShare), failed), 0)
	pool.updateFailureShare(failed)
	if health.cusum == 0 {
		health.consecutiveQuarantines = 0
	}
	if health.cusum < quarantineThreshold || now < health.quarantinedUntil || !s.mayQuarantine(now, service) {
		return
	}
	health.quarantinedUntil = now + minQuarantineTime<<min(health.consecutiveQuarantines, maxQuarantineDoublings)
	health.consecutiveQuarantines++
	health.requestsSinceQuarantine, health.cusum = 0, quarantineThreshold/2
}

// logLikelihoodRatio returns the log-likelihood ratio of one outcome between a failing replica and one
// with the service's usual failure share.
func logLikelihoodRatio(usual float64, failed bool) float64 {
	failing := min(max(minFailingShare, usual+minFailingMargin), maxFailingShare)
	usual = min(usual, failing-minFailingMargin/2)
	if failed {
		return math.Log(failing / usual)
	}
	return math.Log((1 - failing) / (1 - usual))
}

func (p *servicePool) updateFailureShare(failed bool) {
	share := 0.0
	if failed {
		share = 1
	}
	p.failureShare += failureShareWeight * (share - p.failureShare)
}

// mayQuarantine reports whether one more replica of the service may be quarantined.
func (s *Scheduler) mayQuarantine(now structs.Instant, service string) bool {
	quarantined := 1
	for _, replica := range s.pool(service).replicas {
		if replica.isQuarantined(now) {
			quarantined++
		}
	}
	listed := len(s.pool(service).replicas)
	return listed > 1 && float64(quarantined) <= max(1, maxQuarantinedShare*float64(listed))
}

func (r *replicaState) isQuarantined(now structs.Instant) bool {
	return now < r.health.quarantinedUntil
}

// isProbing reports whether too few requests have ended since the last quarantine. The replica then
// gets one request at a time.
func (r *replicaState) isProbing() bool {
	return r.health.consecutiveQuarantines > 0 && r.health.requestsSinceQuarantine < minProbes
}
