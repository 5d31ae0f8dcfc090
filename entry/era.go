package entry

import (
	"fmt"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// A store that was restored from a backup has lost the latest writes and assigns their revisions
// again; each restore raises its era. Operators and replicas write their entries again within the
// restore window. Until then the store may list replicas that left and lack ones that joined, so
// nothing it lists overrides what nodes know, and replicas missing from it become unconfirmed. The
// active scheduler rewrites the entries that nodes had written (poison_sync.go, rollout_restore.go).

// restoreWindowDuration is the length of the restore window. It covers the expiry of the entry of
// a replica that left, three heartbeats or 3.6 s after the restore, and the delay of watches and pulls, 0.4 s.
const restoreWindowDuration = 4 * time.Second

// era holds the known era of the store and the restore window.
type era struct {
	// isKnown is true once the store or a peer reported an era; current is the newest one.
	isKnown bool
	current int64
	// restoreWindow describes the latest restore, which this node counts from restoredAt.
	restoreWindow structs.RestoreWindow
	restoredAt    structs.Instant
	// endedWindow is the era of the latest restore window that this process ended.
	endedWindow int64
	// lacksEarlierState is true if this process has seen only the restored store and has not yet
	// pulled the earlier state from a peer; isPullingAll is true while it does.
	lacksEarlierState, isPullingAll bool
	// isOldEraLogged is true once a response of an earlier era was logged.
	isOldEraLogged bool
}

// isInRestoreWindow reports whether the store may still list entries from before a restore.
func (e *era) isInRestoreWindow(now structs.Instant) bool {
	return e.restoreWindow.Era > e.restoreWindow.Base && now-e.restoredAt < restoreWindowDuration
}

// restoreWindowAge returns the time since the restore, or zero outside the restore window.
func (e *era) restoreWindowAge(now structs.Instant) time.Duration {
	if !e.isInRestoreWindow(now) {
		return 0
	}
	return max(now-e.restoredAt, time.Millisecond)
}

// checkEra records the era of a response of the store. It returns false if the response is of an
// earlier era than the known one and must not be used. The caller holds the mutex.
func (n *Node) checkEra(position structs.StorePosition) bool {
	switch {
	case !n.era.isKnown:
		n.era.isKnown, n.era.current = true, position.Era()
	case position.Era() > n.era.current:
		n.enterEra(structs.RestoreWindow{Base: n.baseEra(), Era: position.Era(), Listed: position.Revision()}, n.now(), "store")
	case position.Era() < n.era.current:
		n.counter("store.old_eras").Inc(1)
		if !n.era.isOldEraLogged {
			n.era.isOldEraLogged = true
			n.log.Write(eventlog.Event{Kind: "store.era", Outcome: "kept-out", Reason: "older", Era: position.Era(), Detail: fmt.Sprintf("store response ignored: the known era is %d", n.era.current)})
		}
		return false
	}
	return true
}

// baseEra returns the era before the current restore window, which may cover several restores, or
// the current era outside of one. The caller holds the mutex.
func (n *Node) baseEra() int64 {
	if n.era.isInRestoreWindow(n.now()) {
		return n.era.restoreWindow.Base
	}
	return n.era.current
}

// mergePeerEra merges what a peer reports of the eras. It returns true if the caller must pull all
// state from the peer because this process lacks that from before the restore. The caller holds
// the mutex.
func (n *Node) mergePeerEra(heartbeat liveness.Heartbeat) bool {
	if heartbeat.RestoreWindow == nil {
		return false
	}
	reported, restoredAt := *heartbeat.RestoreWindow, n.now()-time.Duration(heartbeat.RestoreAgeMS)*time.Millisecond
	if n.now()-restoredAt >= restoreWindowDuration || n.era.isKnown && reported.Era < n.era.current || reported.Era <= n.era.endedWindow {
		return false // a peer that learned of the restore late still reports a window that is over
	}
	switch {
	case !n.era.isKnown:
		n.enterEra(reported, restoredAt, heartbeat.Name)
		n.era.lacksEarlierState = true
	case reported.Era > n.era.current:
		reported.Base = min(reported.Base, n.baseEra())
		n.enterEra(reported, restoredAt, heartbeat.Name)
	case n.era.restoreWindow.Era < reported.Era: // this process started after the restore
		n.era.lacksEarlierState = true
		n.setRestoreWindow(reported, restoredAt)
	case n.era.restoreWindow.Base > reported.Base || n.era.restoreWindow.Listed > reported.Listed: // the peer knows more of the earlier state
		reported.Base, reported.Listed = min(reported.Base, n.era.restoreWindow.Base), min(reported.Listed, n.era.restoreWindow.Listed)
		n.setRestoreWindow(reported, min(restoredAt, n.era.restoredAt))
	}
	needsPull := n.era.lacksEarlierState && !n.era.isPullingAll
	n.era.isPullingAll = n.era.isPullingAll || needsPull
	return needsPull
}

// setRestoreWindow makes all tables order their positions for the restored store. The caller holds
// the mutex.
func (n *Node) setRestoreWindow(window structs.RestoreWindow, restoredAt structs.Instant) {
	n.era.restoreWindow, n.era.restoredAt = window, restoredAt
	n.table.SetRestoreWindow(window)
	n.evacuations.SetRestoreWindow(window)
	n.rollouts.SetRestoreWindow(window)
}

// enterEra starts a new era. The caller holds the mutex.
func (n *Node) enterEra(window structs.RestoreWindow, restoredAt structs.Instant, source string) {
	n.era = era{isKnown: true, current: window.Era}
	n.setRestoreWindow(window, restoredAt)
	n.storeFailedAt, n.watchHealthy = n.now(), false // entries are missing until they are written again
	n.identities.Restore(n.now())
	n.poisonStored = storedPoisonRecords{}
	n.versionHistory.Restart()
	n.counter("store.eras").Inc(1)
	n.log.Write(eventlog.Event{
		Kind: "store.era", Outcome: "restored", Era: window.Era, Revision: window.Listed, Peer: source,
		Detail: fmt.Sprintf("%d after %d: changes after revision %d may be lost", window.Era, window.Base, window.Listed),
	})
	n.requestRereadLocked(rereadNewEra) // the watch waits for revisions of the previous history
}

// endRestoreWindow ends the restore window once its time is over, and requests a complete read,
// which is authoritative.
func (n *Node) endRestoreWindow() {
	n.mutex.Lock()
	due := n.era.restoreWindow.Era > n.era.restoreWindow.Base && !n.era.isInRestoreWindow(n.now())
	if due {
		n.era.endedWindow = n.era.restoreWindow.Era
		n.identities.Restore(n.now())
		n.setRestoreWindow(structs.RestoreWindow{}, n.era.restoredAt)
		n.requestRereadLocked(rereadRestoreWindowEnded)
	}
	n.mutex.Unlock()
	if due {
		n.log.Write(eventlog.Event{Kind: "store.era", Outcome: "settled"})
	}
}

// isFromEarlierEra reports whether the sender of the heartbeat uses an earlier era than this node,
// or sends none. Its positions and their age can't be compared with this node's. The caller holds
// the mutex.
func (n *Node) isFromEarlierEra(heartbeat liveness.Heartbeat) bool {
	return heartbeat.Era < n.era.current
}

// addEra adds what this node knows of the eras to the heartbeat. The restore window is left out if
// this node lacks the earlier state, so that two such processes do not pull from each other. The
// caller holds the mutex.
func (n *Node) addEra(now structs.Instant, heartbeat *liveness.Heartbeat) {
	heartbeat.Era = n.era.current
	if n.era.isInRestoreWindow(now) && !n.era.lacksEarlierState {
		window := n.era.restoreWindow
		heartbeat.RestoreWindow, heartbeat.RestoreAgeMS = &window, (now - n.era.restoredAt).Milliseconds()
	}
}
