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
	levelsMemory = 10 * time.Second
	// levelsToldFor is how long a node that schedules no more tells of its buckets: who took
	// over may be a process that just started and knows none.
	levelsToldFor = time.Second
)

// noteLevels keeps what a heartbeat tells of the tenants' buckets, if it is newer than what is
// known, and returns whether this node's own buckets are to follow: not while it still tells the
// others of them. The caller holds the mutex.
func (n *Node) noteLevels(now structs.Instant, beat liveness.Beat) bool {
	told := now - time.Duration(beat.LevelsAge)*time.Millisecond
	if beat.Levels == nil || told < n.levelsAt {
		return false
	}
	n.levels, n.levelsAt, n.levelsUntil = beat.Levels, told, told
	if beat.LevelsAge == 0 {
		n.levelsUntil += time.Duration(beat.Interval) * time.Millisecond
	}
	return now-n.ledAt >= levelsToldFor
}

// takeLevels brings the desk's buckets up to what a heartbeat told. A node that does not schedule
// follows as well: others ask it before it knows that it is its turn, and its buckets would be
// those of the last time it was.
func (n *Node) takeLevels(leads bool, until structs.Instant, levels map[string]float64) {
	if leads {
		n.desk.adopt(until, levels)
		return
	}
	n.desk.takeOver(until, levels)
}

// heardLedger is what was last heard of what another node handed out.
type heardLedger struct {
	incarnation, epoch uint64
	taken              map[string]float64
}

// noteLedger keeps what a heartbeat tells of what its sender handed out, and returns what of it this
// node, if it schedules as well, does not know yet. Only of two the one that has scheduled for longer
// takes account of the other: what others handed out before this node began to schedule is in the
// buckets that it went on from. The caller holds the mutex.
func (n *Node) noteLedger(now structs.Instant, beat liveness.Beat) quota.Handed {
	if beat.Ledger == nil {
		return quota.Handed{}
	}
	told := heardLedger{incarnation: beat.Incarnation, epoch: beat.Ledger.Epoch, taken: beat.Ledger.Taken}
	before, found := n.ledgers[beat.Name]
	n.ledgers[beat.Name] = told
	isSame := found && before.incarnation == told.incarnation && before.epoch == told.epoch
	led := time.Duration(beat.Ledger.Led) * time.Millisecond
	if led >= n.desk.ledFor() {
		return quota.Handed{}
	}
	handed := quota.Handed{Since: now - led, Amounts: map[string]float64{}, Levels: beat.Levels}
	for tenant, taken := range told.taken {
		known := 0.0
		if isSame {
			known = before.taken[tenant]
		}
		if taken > known {
			handed.Amounts[tenant] = taken - known
		}
	}
	return handed
}
