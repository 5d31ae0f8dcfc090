package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/structs"
)

// The desk's part in tenants' quotas: what it tells of its buckets, and what it makes of what other
// scheduling nodes tell of theirs.

// maximumLevels bounds the tenants whose buckets are told to other nodes.
const maxReportedBuckets = 48

// levels returns the tenants' buckets that another node would have to know, or nil. One that
// hands out a small share has small buckets, which say nothing of the tenants' own.
func (d *schedulingService) bucketLevels() map[string]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.quotaShare <= majorityShare {
		return nil
	}
	return d.quotas.Levels(d.clock(), maxReportedBuckets)
}

// takeOver goes on from the buckets that the last scheduling node told of, which may have handed
// out until the time given. Were all the time since it told credited, nodes killed each 0.8 s
// would hand out a tenth of a window too much; were none, tenants below their quotas were refused.
func (d *schedulingService) restoreBucketLevels(until structs.Instant, levels map[string]float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.quotas = quota.NewBuckets(takeoverBurstShare)
	d.quotas.Restore(until, levels)
}

// adopt takes account of what another node handed out that schedules as well, or did until
// just now. A process that starts on the first node of the order schedules at once and knows
// nothing: killed each 0.8 s, it handed out a third more than the quotas allow.
func (d *schedulingService) mergeBucketLevels(until structs.Instant, levels map[string]float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.quotas.MergeRemote(d.clock(), until, levels)
}

// ledgerView returns what this desk handed out since it began to schedule.
func (d *schedulingService) quotaUsage() *liveness.QuotaUsage {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.clock()
	return &liveness.QuotaUsage{Epoch: d.epoch, Led: (now - d.activeSince).Milliseconds(), Taken: d.quotas.Taken(now, maxReportedBuckets)}
}

// charge takes account of what other scheduling nodes handed out while this one schedules.
func (d *schedulingService) chargeRemoteUsage(handed quota.RemoteUsage) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.quotas.ChargeRemote(handed)
}

// ledFor returns for how long this node has scheduled, or has since it last began to.
func (d *schedulingService) activeFor() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.clock() - d.activeSince
}
