package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/structs"
)

// How tenants' buckets go from one scheduling node to the next: whoever schedules tells them in
// its heartbeats, all others follow, and a node that schedules beside another adopts them.

const (
	// levelsMemory is how long the buckets of another scheduling node are worth going on from.
	bucketLevelsRetention = 10 * time.Second
	// levelsToldFor is how long a node that schedules no more tells of its buckets: who took
	// over may be a process that just started and knows none.
	formerSchedulerReportTime = time.Second
)

// noteLevels keeps what a heartbeat tells of the tenants' buckets, if it is newer than what is
// known, and returns whether this node's own buckets are to follow: not while it still tells the
// others of them. The caller holds the mutex.
func (n *Node) recordBucketLevels(now structs.Instant, beat liveness.Heartbeat) bool {
	told := now - time.Duration(beat.BucketLevelsAgeMS)*time.Millisecond
	if beat.BucketLevels == nil || told < n.bucketLevelsAt {
		return false
	}
	n.bucketLevels, n.bucketLevelsAt, n.bucketLevelsUntil = beat.BucketLevels, told, told
	if beat.BucketLevelsAgeMS == 0 {
		n.bucketLevelsUntil += time.Duration(beat.IntervalMS) * time.Millisecond
	}
	return now-n.lastActiveAt >= formerSchedulerReportTime
}

// takeLevels brings the desk's buckets up to what a heartbeat told. A node that does not schedule
// follows as well: others ask it before it knows that it is its turn, and its buckets would be
// those of the last time it was.
func (n *Node) applyBucketLevels(leads bool, until structs.Instant, levels map[string]float64) {
	if leads {
		n.scheduling.mergeBucketLevels(until, levels)
		return
	}
	n.scheduling.restoreBucketLevels(until, levels)
}

// receivedUsage is what was last heard of what another node handed out.
type receivedUsage struct {
	incarnation, epoch uint64
	amounts            map[string]float64
}

// noteLedger keeps what a heartbeat tells of what its sender handed out, and returns what of it this
// node, if it schedules as well, does not know yet. Only of two the one that has scheduled for longer
// takes account of the other: what others handed out before this node began to schedule is in the
// buckets that it went on from. The caller holds the mutex.
func (n *Node) recordUsage(now structs.Instant, beat liveness.Heartbeat) quota.RemoteUsage {
	if beat.Usage == nil {
		return quota.RemoteUsage{}
	}
	told := receivedUsage{incarnation: beat.Incarnation, epoch: beat.Usage.Epoch, amounts: beat.Usage.Taken}
	before, found := n.peerUsage[beat.Name]
	n.peerUsage[beat.Name] = told
	isSame := found && before.incarnation == told.incarnation && before.epoch == told.epoch
	led := time.Duration(beat.Usage.Led) * time.Millisecond
	if led >= n.scheduling.activeFor() {
		return quota.RemoteUsage{}
	}
	handed := quota.RemoteUsage{Since: now - led, Amounts: map[string]float64{}, Levels: beat.BucketLevels}
	for tenant, taken := range told.amounts {
		known := 0.0
		if isSame {
			known = before.amounts[tenant]
		}
		if taken > known {
			handed.Amounts[tenant] = taken - known
		}
	}
	return handed
}
