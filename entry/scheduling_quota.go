package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/structs"
)

// Tenants' quotas at the scheduling service: the bucket levels and usage that it reports, and those
// of other scheduling nodes that it applies.

// maxReportedBuckets bounds the tenants whose buckets are reported to other nodes.
const maxReportedBuckets = 48

// bucketLevels returns the bucket levels that another node needs to take over, or nil if they are
// incomplete. A node that grants only a minority share of the quotas has scaled buckets, which
// don't show the tenants' levels.
func (s *schedulingService) bucketLevels() map[string]float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.quotaShare <= majorityShare {
		return nil
	}
	return s.quotas.Levels(s.clock(), maxReportedBuckets)
}

// restoreBucketLevels replaces the buckets by the given share of those that the previous scheduling node
// reported. Until the given time that node may have granted quotas, so no refill is credited before it.
func (s *schedulingService) restoreBucketLevels(until structs.Instant, levels map[string]float64, share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.quotas = quota.NewBuckets(takeoverBurstShare)
	s.quotas.RestoreShare(until, levels, share)
}

// mergeBucketLevels applies the bucket levels of another node that schedules at the same time or
// did until just now. A process that starts as the first in rendezvous order schedules at once,
// before it knows any levels.
func (s *schedulingService) mergeBucketLevels(until structs.Instant, levels map[string]float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.quotas.MergeRemote(s.clock(), until, levels)
}

// areBucketsAuthoritative reports whether the buckets include all usage before this node became active.
func (s *schedulingService) areBucketsAuthoritative() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.quotas.IsAuthoritative(s.clock())
}

// quotaUsage returns what this node granted since it became active.
func (s *schedulingService) quotaUsage() *liveness.QuotaUsage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock()
	return &liveness.QuotaUsage{Epoch: s.epoch, Led: (now - s.activeSince).Milliseconds(), Taken: s.quotas.Usage(now, maxReportedBuckets)}
}

// chargeRemoteUsage charges what other scheduling nodes granted while this node is active.
func (s *schedulingService) chargeRemoteUsage(usage quota.RemoteUsage) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.quotas.ChargeRemote(usage)
}

// activeFor returns the time since this node last became active.
func (s *schedulingService) activeFor() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.clock() - s.activeSince
}
