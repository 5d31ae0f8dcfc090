package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/structs"
)

// The levels of the tenants' token buckets reach the next scheduling node by heartbeats: the active
// scheduler reports them, all other nodes restore their buckets from them, and a node that schedules
// at the same time as another merges them.

const (
	// bucketLevelsRetention is the age up to which another scheduling node's bucket levels are
	// used.
	bucketLevelsRetention = 10 * time.Second
	// formerSchedulerReportTime is how long a node goes on reporting its bucket levels after it
	// stopped scheduling: its successor may be a process that just started and knows none.
	formerSchedulerReportTime = time.Second
)

// recordBucketLevels keeps the bucket levels of a heartbeat that are newer than the known ones, and
// reports whether this node restores its own buckets from them. It doesn't while it still reports
// its own levels as a former scheduler. Levels of a former scheduler count only if there are no
// others, as its buckets refill while another node grants from the quotas. The caller holds the
// mutex.
func (n *Node) recordBucketLevels(now structs.Instant, heartbeat liveness.Heartbeat) bool {
	reportedAt := now - time.Duration(heartbeat.BucketLevelsAgeMS)*time.Millisecond
	if heartbeat.BucketLevels == nil || reportedAt < n.bucketLevelsAt {
		return false
	}
	isFormer := heartbeat.BucketLevelsAgeMS == 0 && heartbeat.Scheduler != heartbeat.Name
	if isFormer && now-n.bucketLevelsAt < formerSchedulerReportTime {
		return false
	}
	n.bucketLevels, n.bucketLevelsAt, n.bucketLevelsUntil = heartbeat.BucketLevels, reportedAt, reportedAt
	if heartbeat.BucketLevelsAgeMS == 0 {
		n.bucketLevelsUntil += time.Duration(heartbeat.IntervalMS) * time.Millisecond
	}
	return now-n.lastActiveAt >= formerSchedulerReportTime
}

// applyBucketLevels applies received levels to the buckets of the scheduling service. Inactive
// nodes do so too: others may ask one before it learns that it is the scheduling node, and its
// buckets would otherwise be out of date.
func (n *Node) applyBucketLevels(isActive bool, until structs.Instant, levels map[string]float64) {
	if isActive {
		n.scheduling.mergeBucketLevels(until, levels)
		return
	}
	n.scheduling.restoreBucketLevels(until, levels, 1)
}

// needsRemoteLevels reports whether the buckets of this active scheduler lack usage that only the
// heartbeat's levels show: this process just started, or the sender's usage is unknown. Other levels are
// not merged, as they are those of one side of a partition.
func (n *Node) needsRemoteLevels(heartbeat liveness.Heartbeat, isUsageKnown bool) bool {
	if heartbeat.BucketLevels == nil {
		return false
	}
	return heartbeat.Usage != nil && !isUsageKnown || !n.scheduling.areBucketsAuthoritative()
}

// receivedUsage is the quota usage that another node last reported.
type receivedUsage struct {
	incarnation, epoch uint64
	amounts            map[string]float64
}

// recordUsage keeps the quota usage in a heartbeat. It returns the part of it that this node's buckets
// don't include yet, and whether that is known. It isn't if the sender began to schedule before this
// node and reported no usage since: the buckets may include some of it. The caller holds the mutex.
func (n *Node) recordUsage(now structs.Instant, heartbeat liveness.Heartbeat) (usage quota.RemoteUsage, isKnown bool) {
	if heartbeat.Usage == nil {
		return quota.RemoteUsage{}, false
	}
	reported := receivedUsage{incarnation: heartbeat.Incarnation, epoch: heartbeat.Usage.Epoch, amounts: heartbeat.Usage.Taken}
	before, found := n.peerUsage[heartbeat.Name]
	n.peerUsage[heartbeat.Name] = reported
	isSame := found && before.incarnation == reported.incarnation && before.epoch == reported.epoch
	activeFor := time.Duration(heartbeat.Usage.Led) * time.Millisecond
	if !isSame && activeFor >= n.scheduling.activeFor() {
		return quota.RemoteUsage{}, false
	}
	uncharged := quota.RemoteUsage{Since: now - activeFor, Amounts: map[string]float64{}, Levels: heartbeat.BucketLevels}
	for tenant, amount := range reported.amounts {
		known := 0.0
		if isSame {
			known = before.amounts[tenant]
		}
		if amount > known {
			uncharged.Amounts[tenant] = amount - known
		}
	}
	return uncharged, true
}
