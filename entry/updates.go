package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// apply applies an update of the directory. It returns false, and does nothing, for an update of an
// earlier era.
func (n *Node) apply(update *outside.Update) bool {
	n.mutex.Lock()
	isCurrent := n.checkEra(update.Position)
	n.mutex.Unlock()
	if !isCurrent {
		return false
	}
	n.logProblems(update)
	evacuationsChanged := n.applyEvacuations(update) // first: no node may apply the rest without the evacuations
	if update.Catalog != nil {
		n.applyCatalog(update.Catalog, "store")
	}
	known := structs.StorePosition(0)
	if !update.Complete || update.FullSnapshot {
		known = update.Position
	}
	n.applyRollouts(update.RolloutOrders, update.RolloutRecords, known)
	n.applyPoisonRecords(update.PoisonRecords, update.PoisonRecordsPosition)
	n.mutex.Lock()
	n.catalogPosition = max(n.catalogPosition, update.CatalogPosition)
	before := n.table.ChangeCount()
	for _, replica := range update.Replicas {
		n.applyReplicaLocked(replica)
	}
	if update.Complete {
		for _, id := range n.table.Missing(update.Replicas, update.Position) {
			n.handleEntryRemovedLocked(outside.RemovedReplica{ID: id, Position: n.table.RemovalPosition(id, update.Position)})
		}
	}
	for _, removed := range update.Removed {
		n.handleEntryRemovedLocked(removed)
	}
	n.table.SetCompleteTo(update.Position)
	n.updatedAt = n.now()
	changed := n.table.ChangeCount() != before
	n.mutex.Unlock()
	if changed {
		n.handleReplicaChange()
	}
	if changed || evacuationsChanged || update.Catalog != nil || len(update.RolloutOrders)+len(update.RolloutRecords) > 0 {
		n.sendHeartbeats()
	}
	return true
}

// maxLoggedProblems bounds the problems that are remembered as logged.
const maxLoggedProblems = 256

// logProblems logs entries that failed to parse, each once, as every complete read reports them.
func (n *Node) logProblems(update *outside.Update) {
	for _, problem := range update.Problems {
		text := problem.Error()
		n.mutex.Lock()
		isNew := n.isNewProblem(text)
		n.mutex.Unlock()
		if isNew {
			n.counter("directory.kept_out").Inc(1)
			n.log.Write(eventlog.Event{Kind: "directory.entry", Outcome: "kept-out", Detail: text, Revision: update.Position.Revision(), Era: update.Position.Era()})
		}
	}
}

// isNewProblem reports whether the problem is new, and remembers it. The caller holds the mutex.
func (n *Node) isNewProblem(text string) bool {
	known := n.loggedProblems[text]
	if len(n.loggedProblems) >= maxLoggedProblems {
		n.loggedProblems = map[string]bool{}
	}
	n.loggedProblems[text] = true
	return !known
}

// applyReplicaLocked applies an update of a replica and logs a change. The caller holds the mutex.
func (n *Node) applyReplicaLocked(replica replicas.Replica) {
	known, found := n.table.Get(replica.ID)
	if !n.table.Put(replica) {
		return
	}
	if found && mayBeOfSuccessor(known, replica) {
		n.identities.refusals.End(n.now(), incarnations.Of(replica))
	}
	isNewIncarnation := found && incarnations.Of(known) != incarnations.Of(replica)
	if isNewIncarnation {
		n.identities.churn.Observe(n.now(), replica.Service)
		n.resolveDisconnects(known)
		n.health.Reset(replica.ID)
		n.pool.Forget(incarnationOf(known))
	}
	if found && !isNewIncarnation && known.Draining == replica.Draining && known.Address == replica.Address {
		return
	}
	outcome := "ready"
	if replica.Draining {
		outcome = "draining"
	}
	n.log.Write(eventlog.Event{Kind: "replica", Replica: replica.ID, Service: replica.Service, Outcome: outcome, Revision: replica.Position.Revision(), Era: replica.Position.Era(), Detail: replica.Address})
}

// mayBeOfSuccessor reports whether the entry, which comes after the known one, may be that of a process that started after
// the known one and counts as the same incarnation, as neither states a start. One that starts is not draining, and what a
// restored store lists was written before the restore.
func mayBeOfSuccessor(known, replica replicas.Replica) bool {
	return replica.StartedAt == 0 && !replica.Draining && replica.Position.Era() == known.Position.Era()
}

// entryRewriteTime is how long after a store outage a replica may rewrite its expired entry, about
// two of its heartbeats. Entries still missing then are removed.
const entryRewriteTime = 2300 * time.Millisecond

// handleEntryRemovedLocked handles a removed entry. While the store is unhealthy, replicas can't renew
// their entries; the replica then becomes unconfirmed and is kept until the store is healthy again.
// The caller holds the mutex.
func (n *Node) handleEntryRemovedLocked(removed outside.RemovedReplica) {
	if _, isKnown := n.table.Get(removed.ID); !isKnown {
		n.table.Remove(n.now(), removed.ID, removed.Position)
		return
	}
	if n.isStoreUnhealthy() {
		n.table.MarkUnconfirmed(removed.ID)
		n.log.Write(eventlog.Event{Kind: "replica", Replica: removed.ID, Outcome: "doubted", Revision: removed.Position.Revision(), Era: removed.Position.Era(), AgeMS: (n.now() - n.storeFailedAt).Milliseconds()})
		return
	}
	n.removeReplica(removed.ID, removed.Position)
	n.log.Write(eventlog.Event{Kind: "replica", Replica: removed.ID, Outcome: "gone", Revision: removed.Position.Revision(), Era: removed.Position.Era()})
}

// removeReplica removes the replica from the table and resolves its deferred disconnects. The caller holds the
// mutex.
func (n *Node) removeReplica(id string, position structs.StorePosition) {
	known, found := n.table.Get(id)
	if n.table.Remove(n.now(), id, position) && found {
		n.resolveDisconnects(known)
	}
}

// isStoreUnhealthy reports whether the store fails, or failed so recently that replicas may not have
// rewritten expired entries. It returns false if a peer watched the store without failures all the
// time, as then only this node was partitioned from it. The caller holds the mutex.
func (n *Node) isStoreUnhealthy() bool {
	now := n.now()
	if !n.isStoreDown && now-n.storeFailedAt >= entryRewriteTime {
		return false
	}
	for _, member := range n.members.Live(now) {
		if n.isFromEarlierEra(member.Heartbeat) {
			continue // it does not know yet that the store was restored
		}
		if member.StoreHealthyMS >= n.settings.Load().storeRecoveryWindow().Milliseconds() {
			return false
		}
	}
	return true
}

// mayStartUnseen reports whether a replica may start without its entry being known soon afterwards.
func (n *Node) mayStartUnseen() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isStoreUnhealthy()
}

// removeUnconfirmed removes the unconfirmed replicas once the store has been healthy for long enough
// for them to rewrite their entries.
func (n *Node) removeUnconfirmed() {
	var removed []string
	n.mutex.Lock()
	isHealthy := !n.isStoreUnhealthy()
	if isHealthy {
		removed = n.table.RemoveUnconfirmed(n.now())
	}
	n.table.SweepTombstones(n.now())
	n.mutex.Unlock()
	if isHealthy {
		n.scheduling.confirmEntries()
	}
	for _, id := range removed {
		n.log.Write(eventlog.Event{Kind: "replica", Replica: id, Outcome: "gone", Reason: "doubt-expired"})
	}
	if len(removed) > 0 {
		n.handleReplicaChange()
	}
}

// handleReplicaChange gives the replicas to the scheduling service and drops the state of those that
// were removed.
func (n *Node) handleReplicaChange() {
	n.mutex.Lock()
	all := n.table.All()
	n.versionHistory.Update(n.now(), all)
	isListed := func(id string) bool { _, known := n.table.Get(id); return known }
	n.health.Forget(isListed)
	n.paths.Forget(isListed)
	n.forgetFormerIncarnations()
	n.pushback.Sweep(n.now(), func(incarnation pushback.Incarnation) bool {
		known, found := n.table.Get(incarnation.Replica)
		return found && pushback.IncarnationOf(known) == incarnation
	})
	n.mutex.Unlock()
	n.applyPolicies() // first: the scheduler assigns requests to a replica without a policy
	n.scheduling.update(func(scheduler *admission.Scheduler) { scheduler.SetReplicas(n.now(), all) })
}
