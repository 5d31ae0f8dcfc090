package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// apply takes an update of the directory into force. It returns false for one of an era that is
// over, which tells nothing.
func (n *Node) apply(update *outside.Update) bool {
	n.mutex.Lock()
	present := n.checkEra(update.Revision)
	n.mutex.Unlock()
	if !present {
		return false
	}
	n.logProblems(update)
	emptied := n.applyEvacuations(update) // first: whoever hears of what follows has heard of it
	if update.Catalog != nil {
		n.applyCatalog(update.Catalog, "store")
	}
	known := structs.StorePosition(0)
	if !update.Complete || update.FullSnapshot {
		known = update.Revision
	}
	n.applyRollouts(update.Orders, update.Records, known)
	n.applyPoisonRecords(update.Contents, update.ContentsRevision)
	n.mutex.Lock()
	n.catalogRevision = max(n.catalogRevision, update.CatalogRevision)
	before := n.table.ChangeCount()
	for _, replica := range update.Replicas {
		n.applyReplica(replica)
	}
	if update.Complete {
		for _, id := range n.table.Missing(update.Replicas, update.Revision) {
			n.handleEntryRemoved(outside.Gone{ID: id, Revision: n.table.RemovalPosition(id, update.Revision)})
		}
	}
	for _, gone := range update.Gone {
		n.handleEntryRemoved(gone)
	}
	n.table.SetCompleteTo(update.Revision)
	n.updatedAt = n.now()
	changed := n.table.ChangeCount() != before
	n.mutex.Unlock()
	if changed {
		n.handleReplicaChange()
	}
	if changed || emptied || update.Catalog != nil || len(update.Orders)+len(update.Records) > 0 {
		n.sendHeartbeats()
	}
	return true
}

// toldProblems bounds what did not parse that a node remembers to have told of.
const maxLoggedProblems = 256

// noteProblems tells of entries that did not parse, of each once: complete reads bring them
// again and again.
func (n *Node) logProblems(update *outside.Update) {
	for _, problem := range update.Problems {
		text := problem.Error()
		n.mutex.Lock()
		isNew := n.isNewProblem(text)
		n.mutex.Unlock()
		if isNew {
			n.counter("directory.kept_out").Inc(1)
			n.log.Write(eventlog.Event{Kind: "directory.entry", Outcome: "kept-out", Detail: text, Revision: update.Revision.Revision(), Era: update.Revision.Era()})
		}
	}
}

// isNewProblem returns whether the problem is told for the first time. The caller holds the mutex.
func (n *Node) isNewProblem(text string) bool {
	known := n.loggedProblems[text]
	if len(n.loggedProblems) >= maxLoggedProblems {
		n.loggedProblems = map[string]bool{}
	}
	n.loggedProblems[text] = true
	return !known
}

// applyReplica enters news of a replica and tells of a change. The caller holds the
// mutex.
func (n *Node) applyReplica(replica replicas.Replica) {
	known, found := n.table.Get(replica.ID)
	if !n.table.Put(replica) {
		return
	}
	isNewLife := found && !known.IsSameIncarnation(replica)
	if isNewLife {
		n.resolveDisconnects(known)
		n.health.Reset(replica.ID)
		n.pool.Forget(replica.ID)
	}
	if found && !isNewLife && known.Draining == replica.Draining && known.Address == replica.Address {
		return
	}
	outcome := "ready"
	if replica.Draining {
		outcome = "draining"
	}
	n.log.Write(eventlog.Event{Kind: "replica", Replica: replica.ID, Service: replica.Service, Outcome: outcome, Revision: replica.Position.Revision(), Era: replica.Position.Era(), Detail: replica.Address})
}

// entryReturnTime is how long after trouble of the store a replica whose entry ran
// out meanwhile may take to write it again: about two heartbeats of replicas. What is
// still missing then is gone.
const entryRewriteTime = 2300 * time.Millisecond

// handleEntryRemoved handles an entry that is gone. While the store is unwell replicas
// can't renew their entries, so that it proves little; the replica then stays
// for as long as the store needs to become well and the replica to come back.
// The caller holds the mutex.
func (n *Node) handleEntryRemoved(gone outside.Gone) {
	if _, known := n.table.Get(gone.ID); !known {
		n.table.Remove(n.now(), gone.ID, gone.Revision)
		return
	}
	if n.isStoreUnhealthy() {
		n.table.MarkUnconfirmed(gone.ID)
		n.log.Write(eventlog.Event{Kind: "replica", Replica: gone.ID, Outcome: "doubted", Revision: gone.Revision.Revision(), Era: gone.Revision.Era(), Age: (n.now() - n.storeFailedAt).Milliseconds()})
		return
	}
	n.removeReplica(gone.ID, gone.Revision)
	n.log.Write(eventlog.Event{Kind: "replica", Replica: gone.ID, Outcome: "gone", Revision: gone.Revision.Revision(), Era: gone.Revision.Era()})
}

// remove takes the replica out of the table. One that did not say that it leaves has ended.
// The caller holds the mutex.
func (n *Node) removeReplica(id string, revision structs.StorePosition) {
	known, found := n.table.Get(id)
	if n.table.Remove(n.now(), id, revision) && found && !known.Draining {
		n.resolveDisconnects(known)
	}
}

// storeUnwell returns whether the store fails, or failed so lately that replicas
// which lost their entries need not have written them again. If another node followed
// it without trouble all the while, only this node was cut off from it. The caller
// holds the mutex.
func (n *Node) isStoreUnhealthy() bool {
	now := n.now()
	if !n.storeDown && now-n.storeFailedAt >= entryRewriteTime {
		return false
	}
	for _, member := range n.members.Live(now) {
		if n.isFromEarlierEra(member.Heartbeat) {
			continue // it doesn't know yet that the store came back from a copy
		}
		if member.StoreHealthyMS >= n.settings.Load().storeRecoveryWindow().Milliseconds() {
			return false
		}
	}
	return true
}

// expireReplicas removes the doubted replicas once the store is well for so long that
// they would have come back.
func (n *Node) removeUnconfirmed() {
	var gone []string
	n.mutex.Lock()
	if !n.isStoreUnhealthy() {
		gone = n.table.RemoveUnconfirmed(n.now())
	}
	n.table.Forget(n.now())
	n.mutex.Unlock()
	for _, id := range gone {
		n.log.Write(eventlog.Event{Kind: "replica", Replica: id, Outcome: "gone", Reason: "doubt-expired"})
	}
	if len(gone) > 0 {
		n.handleReplicaChange()
	}
}

// replicasChanged tells the desk and drops what belongs to replicas that left.
func (n *Node) handleReplicaChange() {
	n.mutex.Lock()
	all := n.table.All()
	n.health.Forget(func(id string) bool { _, known := n.table.Get(id); return known })
	n.pushback.Forget(n.now(), func(life pushback.Incarnation) bool {
		known, found := n.table.Get(life.Replica)
		return found && pushback.IncarnationOf(known) == life
	})
	n.mutex.Unlock()
	n.applyPolicies() // first: a replica that the desk knows and no policy gets requests
	n.scheduling.update(func(scheduler *admission.Scheduler) { scheduler.SetReplicas(n.now(), all) })
}
