package entry

import (
	"fmt"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// A store that comes back from a copy has lost what was acknowledged since and gives its
// revisions out again; each time its era rises. What the operators and the replicas wrote they
// write again within two seconds. Until then the copy is not the truth: a replica that left is
// listed, one that came is not. So for a while nothing that the copy may hold takes back what a
// node knows, and what is missing is doubted as after an outage (updates.go). What the system itself
// wrote, the scheduling node writes again from what it knows (poison_sync.go, rollout_restore.go).

// restoredTime is how long what the store lists may be of the copy: the entry of a replica that
// left runs out 3.6 s after the store is back, three heartbeats, and a watch or pull may bring that
// 0.4 s later. What is still listed then lives.
const restoreWindowDuration = 4 * time.Second

// era is what a node knows of the store's eras.
type era struct {
	// known is true once any answer of the store, or a peer, told an era; present is the newest.
	isKnown bool
	present int64
	// restored is of a store that came back from a copy at the instant since.
	restoreWindow structs.RestoreWindow
	restoredAt    structs.Instant
	// lacksPast is true at a process that knows the copy only, until a peer that knows what was
	// before has told it; isAsking is true while one is asked.
	lacksEarlierState, isPullingAll bool
	// isOldTold is true if it was told that answers of an earlier era come.
	isOldEraLogged bool
}

// isRestored returns whether what the store lists may be of a copy.
func (e *era) isInRestoreWindow(now structs.Instant) bool {
	return e.restoreWindow.Era > e.restoreWindow.Base && now-e.restoredAt < restoreWindowDuration
}

// restoredFor returns for how long the store has been back from a copy, or zero if its writers
// have had their time.
func (e *era) restoreWindowAge(now structs.Instant) time.Duration {
	if !e.isInRestoreWindow(now) {
		return 0
	}
	return max(now-e.restoredAt, time.Millisecond)
}

// checkEra takes account of the era of an answer of the store. It returns false if the answer
// is of an earlier era than the one known and tells nothing of the present. The caller holds the
// mutex.
func (n *Node) checkEra(place structs.StorePosition) bool {
	switch {
	case !n.era.isKnown:
		n.era.isKnown, n.era.present = true, place.Era()
	case place.Era() > n.era.present:
		n.enterEra(structs.RestoreWindow{Base: n.baseEra(), Era: place.Era(), Listed: place.Revision()}, n.now(), "store")
	case place.Era() < n.era.present:
		n.counter("store.old_eras").Inc(1)
		if !n.era.isOldEraLogged {
			n.era.isOldEraLogged = true
			n.log.Write(eventlog.Event{Kind: "store.era", Outcome: "kept-out", Reason: "older", Era: place.Era(), Detail: fmt.Sprintf("era %d is known: what the store says now is not used", n.era.present)})
		}
		return false
	}
	return true
}

// baseEra returns the era of before, if a copy is restored now: that before the first of several
// in a row. The caller holds the mutex.
func (n *Node) baseEra() int64 {
	if n.era.isInRestoreWindow(n.now()) {
		return n.era.restoreWindow.Base
	}
	return n.era.present
}

// mergePeerEra takes account of what a peer knows of the eras. It returns whether the peer is to be
// asked for all that it knows, as this process knows the copy only. The caller holds the mutex.
func (n *Node) mergePeerEra(beat liveness.Heartbeat) bool {
	if beat.RestoreWindow == nil {
		return false
	}
	told, since := *beat.RestoreWindow, n.now()-time.Duration(beat.RestoreAgeMS)*time.Millisecond
	if n.now()-since >= restoreWindowDuration || n.era.isKnown && told.Era < n.era.present {
		return false
	}
	switch {
	case !n.era.isKnown:
		n.enterEra(told, since, beat.Name)
		n.era.lacksEarlierState = true
	case told.Era > n.era.present:
		told.Base = min(told.Base, n.baseEra())
		n.enterEra(told, since, beat.Name)
	case n.era.restoreWindow.Era < told.Era: // this process started after the copy
		n.era.lacksEarlierState = true
		n.setRestoreWindow(told, since)
	case n.era.restoreWindow.Base > told.Base || n.era.restoreWindow.Listed > told.Listed: // it saw the store later
		told.Base, told.Listed = min(told.Base, n.era.restoreWindow.Base), min(told.Listed, n.era.restoreWindow.Listed)
		n.setRestoreWindow(told, min(since, n.era.restoredAt))
	}
	asks := n.era.lacksEarlierState && !n.era.isPullingAll
	n.era.isPullingAll = n.era.isPullingAll || asks
	return asks
}

// setRestored has everything that is known be ordered for a store that came back from a copy. The
// caller holds the mutex.
func (n *Node) setRestoreWindow(restored structs.RestoreWindow, since structs.Instant) {
	n.era.restoreWindow, n.era.restoredAt = restored, since
	n.table.SetRestoreWindow(restored)
	n.evacuations.SetRestoreWindow(restored)
	n.rollouts.SetRestoreWindow(restored)
}

// enterEra begins a new era. The caller holds the mutex.
func (n *Node) enterEra(restored structs.RestoreWindow, since structs.Instant, source string) {
	n.era = era{isKnown: true, present: restored.Era}
	n.setRestoreWindow(restored, since)
	n.storeFailedAt, n.watchHealthy = n.now(), false // entries are missing until they are written again
	n.poisonStored = storedPoisonRecords{}
	n.counter("store.eras").Inc(1)
	n.log.Write(eventlog.Event{
		Kind: "store.era", Outcome: "restored", Era: restored.Era, Revision: restored.Listed, Peer: source,
		Detail: fmt.Sprintf("%d after %d: changes after revision %d may be lost", restored.Era, restored.Base, restored.Listed),
	})
	n.requestReread() // the watch waits for revisions of another history
}

// settleEra ends the time in which the store may list what is of the copy. What is listed then is
// read once more, and counts.
func (n *Node) endRestoreWindow() {
	n.mutex.Lock()
	due := n.era.restoreWindow.Era > n.era.restoreWindow.Base && !n.era.isInRestoreWindow(n.now())
	if due {
		n.setRestoreWindow(structs.RestoreWindow{}, n.era.restoredAt)
		n.requestReread()
	}
	n.mutex.Unlock()
	if due {
		n.log.Write(eventlog.Event{Kind: "store.era", Outcome: "settled"})
	}
}

// isOfEarlierEra returns whether the sender goes by an era that is over, or by none as the version
// before does: what it calls its latest news can't be compared, and how fresh they are says nothing
// of this node's. A node then reads the store by itself within staleAfter. The caller holds the
// mutex.
func (n *Node) isFromEarlierEra(beat liveness.Heartbeat) bool { return beat.Era < n.era.present }

// addEra has the heartbeat tell what this node knows of the eras. Of a copy only those tell that
// know what was before: two processes that start at once would ask each other and learn nothing.
// The caller holds the mutex.
func (n *Node) addEra(now structs.Instant, beat *liveness.Heartbeat) {
	beat.Era = n.era.present
	if n.era.isInRestoreWindow(now) && !n.era.lacksEarlierState {
		restored := n.era.restoreWindow
		beat.RestoreWindow, beat.RestoreAgeMS = &restored, (now - n.era.restoredAt).Milliseconds()
	}
}
