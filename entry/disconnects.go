package entry

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// A replica that broke off a request, or was silent for too long, may have crashed even if its probe proves nothing,
// for example because its machine lost power. A removed entry, a restart or a refused connection proves the crash
// later. A replica that was only silent goes on, and may end without a notice soon afterwards; its answer to a later
// request proves that it did not crash under the one that was left.

const (
	// disconnectRetention is how long such a request is kept. A replica's store entry expires about
	// four seconds after the replica's end.
	disconnectRetention = 10 * time.Second
	// maxDisconnects bounds the requests that are kept.
	maxDisconnects = 512
)

// unresolvedDisconnect is a request that a replica broke off, where it is not known yet whether the
// replica crashed.
type unresolvedDisconnect struct {
	replica     replicas.Replica
	fingerprint fingerprint.Fingerprint
	crash       *crashedIncarnation
	at          structs.Instant
}

func (n *Node) deferDisconnect(disconnect unresolvedDisconnect) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	disconnect.at = n.now()
	n.disconnects = slices.DeleteFunc(n.disconnects, func(kept unresolvedDisconnect) bool { return disconnect.at-kept.at > disconnectRetention })
	if len(n.disconnects) < maxDisconnects {
		n.disconnects = append(n.disconnects, disconnect)
	}
}

// dismissSurvived drops the requests that the replica broke off before sentAt, the time of a request that it
// answered over the connection. While the store is away, the answer may be a successor's under the same entry. The
// caller holds the mutex.
func (n *Node) dismissSurvived(replica replicas.Replica, connection incarnations.Connection, sentAt structs.Instant) {
	if len(n.disconnects) == 0 {
		return
	}
	isIncarnation := !n.isStoreUnhealthy() || n.verdictLocked(connection).Proof != incarnations.ProofNone
	n.disconnects = slices.DeleteFunc(n.disconnects, func(kept unresolvedDisconnect) bool {
		return kept.at < sentAt && kept.replica.IsSameIncarnation(replica) && (isIncarnation || connection.OpenedAt <= kept.at)
	})
}

// dismissAnswered drops the disconnects of a request that a replica has answered whole. Had they been recorded as
// crashes before, the answer would have cleared them. The caller holds the mutex.
func (n *Node) dismissAnswered(request fingerprint.Fingerprint) {
	n.disconnects = slices.DeleteFunc(n.disconnects, func(kept unresolvedDisconnect) bool { return kept.fingerprint == request })
}

// hasDisconnects reports whether the replica broke requests off that may still be found to be crashes.
func (n *Node) hasDisconnects(replica replicas.Replica) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.ContainsFunc(n.disconnects, func(kept unresolvedDisconnect) bool { return kept.replica.IsSameIncarnation(replica) })
}

// resolveDisconnects ends the deferral of the requests that the replica broke off, now that its incarnation is
// known to have ended. They are reported as crashes, unless it drained: then it was to end anyway. The caller holds
// the mutex.
func (n *Node) resolveDisconnects(replica replicas.Replica) {
	now := n.now()
	known, isListed := n.table.Get(replica.ID)
	isPlanned := replica.Draining || isListed && known.Draining && known.IsSameIncarnation(replica)
	n.disconnects = slices.DeleteFunc(n.disconnects, func(kept unresolvedDisconnect) bool {
		if !kept.replica.IsSameIncarnation(replica) || now-kept.at > disconnectRetention {
			return false
		}
		if !isPlanned {
			go n.reportCrash(&finishRequest{Fingerprint: kept.fingerprint, Ended: kept.crash})
		}
		return true
	})
}

// reportCrash records, here and at the scheduling node, that a replica crashed under a request
// whose assignment ended before.
func (n *Node) reportCrash(finished *finishRequest) {
	n.counter("contents.ends_found_later").Inc(1)
	n.scheduling.finish(finished)
	if _, address := n.currentScheduler(); address != "" && n.ctx.Err() == nil {
		n.sendFinish(unackedFinish{address: address, message: finished, since: n.now()})
	}
}
