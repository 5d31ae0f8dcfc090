package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// Entries that a restored store lists and that count again after the restore window keep their positions,
// which may be earlier than the latest one that a node knows: a pull of later updates does not bring
// them. So a node that has ended a restore window reads the store completely, or pulls everything from
// a peer that has completed the era in either way. Heartbeats tell which peers have.

const (
	// maxCompletionSpread bounds the time over which the nodes distribute their complete pulls.
	maxCompletionSpread = time.Second
	// completionPullTime is the time from the end of the restore window that complete pulls normally
	// take. Until then, entries that this node still lacks do not make it read the store itself.
	completionPullTime = 2 * time.Second
	// completionFallbackDelay is the time from the end of the restore window after which a node pulls
	// everything from a watching node that does not report which era it has completed, as versions
	// without eraCompletion don't.
	completionFallbackDelay = 5 * time.Second
	// readAgainTime is the time from the end of the restore window after which such a node has made
	// the complete read that is due after fullReadInterval, if its watch did not fail since.
	readAgainTime = fullReadInterval + completionFallbackDelay
)

// eraCompletion tracks whether this node knows what the store lists after a restore window.
type eraCompletion struct {
	// ended is the era of the latest restore window that this node ended, at endedAt.
	ended   int64
	endedAt structs.Instant
	// completed is the latest era whose restore window this node, or a peer that it pulled everything
	// from, ended and followed by a complete read.
	completed int64
	// hasPulledUnreported is true once everything was pulled from a watching node that does not report
	// its era, which may not have read the store by then.
	hasPulledUnreported bool
}

// isWindowOver reports whether the restore window of the era is over, as this node or a peer that it pulled
// everything from has ended it. A node that learned of the restore late may still report it.
func (c *eraCompletion) isWindowOver(era int64) bool { return era <= max(c.ended, c.completed) }

// isWindowSet reports whether entries are ordered by a restore window, which may be over but not yet ended.
func (e *era) isWindowSet() bool { return e.restoreWindow != structs.RestoreWindow{} }

// lacksCompletionOf reports whether the sender of the heartbeat has completed a later era than this node,
// which may lack entries that the sender has although it knows later ones. In a restore window no
// node can take them over. The caller holds the mutex.
func (n *Node) lacksCompletionOf(heartbeat liveness.Heartbeat) bool {
	return !n.era.isWindowSet() && heartbeat.CompletedEra > n.eraCompletion.completed
}

// isStaleAgainst reports whether this node lacks what the sender of the heartbeat has completed, and pulls
// have not brought it in time. The caller holds the mutex.
func (n *Node) isStaleAgainst(heartbeat liveness.Heartbeat) bool {
	return n.lacksCompletionOf(heartbeat) && n.now()-n.eraCompletion.endedAt > completionPullTime
}

// completionPullDue reports whether to pull everything from the sender of the heartbeat now. If so, the
// caller must call pullCompletion. The caller holds the mutex.
func (n *Node) completionPullDue(heartbeat liveness.Heartbeat) bool {
	switch {
	case n.lacksCompletionOf(heartbeat):
		return n.completionPull.ShouldPull(n.now(), n.eraCompletion.completed, heartbeat.CompletedEra, n.pullDelay(heartbeat)+n.completionSpread())
	case n.unreportedPullDue(heartbeat):
		return n.completionPull.ShouldPull(n.now(), n.eraCompletion.completed, n.eraCompletion.ended, n.completionSpread())
	}
	return false
}

// completionSpread returns how much later than the first node this node pulls everything, so that the
// nodes that pulled before have reported it by a heartbeat and serve others in place of the watching
// nodes. A starting process, which has nothing, does not wait. The caller holds the mutex.
func (n *Node) completionSpread() time.Duration {
	interval := heartbeatIntervalFor(n.members.Known()) - heartbeatInterval
	switch {
	case n.eraCompletion.ended <= n.eraCompletion.completed:
		return 0
	case n.isLarge && !n.isNonDelegate:
		return 0 // the delegates serve their zones
	case n.isLarge:
		interval = delegateInterval
	}
	return time.Duration(n.jitterShare() * float64(min(interval, maxCompletionSpread)))
}

// unreportedPullDue reports whether to pull everything from a watching node that does not report that it
// has completed the era, because no other does. The caller holds the mutex.
func (n *Node) unreportedPullDue(heartbeat liveness.Heartbeat) bool {
	age := n.now() - n.eraCompletion.endedAt
	if n.era.isWindowSet() || n.eraCompletion.completed >= n.eraCompletion.ended || heartbeat.Era != n.era.current || heartbeat.StoreHealthyMS <= 0 {
		return false
	}
	return age >= completionFallbackDelay && !n.eraCompletion.hasPulledUnreported || n.hasReadAgain(heartbeat)
}

// hasReadAgain reports whether the sender of the heartbeat has certainly read the store completely since
// this node's restore window ended. The caller holds the mutex.
func (n *Node) hasReadAgain(heartbeat liveness.Heartbeat) bool {
	return n.now()-n.eraCompletion.endedAt >= readAgainTime && heartbeat.Era == n.era.current && heartbeat.StoreHealthyMS >= readAgainTime.Milliseconds()
}

// pullCompletion pulls everything from the sender of the heartbeat.
func (n *Node) pullCompletion(heartbeat liveness.Heartbeat) {
	n.mutex.Lock()
	isUnreported, ended := !n.lacksCompletionOf(heartbeat), n.eraCompletion.ended
	proven := int64(0)
	if isUnreported && n.hasReadAgain(heartbeat) {
		proven = ended
	}
	wasWindowSet, restoredAt := n.era.isWindowSet(), n.era.restoredAt
	n.mutex.Unlock()
	reply, err := n.pull(heartbeat.Address, &updatesRequest{})
	n.mutex.Lock()
	// Within a restore window, not all of the reply was applied.
	if err == nil && !wasWindowSet && !n.era.isWindowSet() && n.era.restoredAt == restoredAt {
		n.completeEra(max(proven, reply.CompletedEra), heartbeat.Name)
		n.eraCompletion.hasPulledUnreported = n.eraCompletion.hasPulledUnreported || isUnreported
	}
	isDone := err == nil && (isUnreported || n.eraCompletion.completed >= heartbeat.CompletedEra)
	n.completionPull.PullDone(n.now(), isDone)
	n.mutex.Unlock()
	n.recordPullFailure(heartbeat.Address, err)
}

// completeEra records that this node knows what the store lists after the era's restore window. The
// caller holds the mutex.
func (n *Node) completeEra(era int64, source string) {
	if era <= n.eraCompletion.completed {
		return
	}
	n.eraCompletion.completed = era
	n.log.Write(eventlog.Event{Kind: "store.era", Outcome: "completed", Era: era, Peer: source})
}

// completeEraByRead records that the watch loop has read the store completely at the position, and
// reports that to the peers if it completes an era.
func (n *Node) completeEraByRead(position structs.StorePosition) {
	n.mutex.Lock()
	_, isPending := n.rereads.pending[rereadRestoreWindowEnded] // the read may have started in the window
	isCompleted := position.Era() == n.eraCompletion.ended && position.Era() > n.eraCompletion.completed && !isPending && !n.era.isWindowSet()
	if isCompleted {
		n.completeEra(position.Era(), "store")
	}
	n.mutex.Unlock()
	if isCompleted {
		n.sendHeartbeats()
	}
}
