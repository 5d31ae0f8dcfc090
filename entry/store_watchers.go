package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Selection of the nodes that call the store. Its calls are paid for and rate-limited, so neither
// a failure, nor stale state, nor a start may make all nodes call it at once. A few nodes call it
// and send updates to the others.

const (
	// watchingNodes is the number of nodes that watch the store.
	watchingNodes = 3
	// probingNodes is the number of nodes that retry a store that failed. It is large enough that
	// some of them get through to a store that rejects a part of the nodes.
	probingNodes = 16
	// probeIntervalPerRank times its rank is the time between two probes by a node that is not a
	// probing node, so that all of these together make about one probe per interval.
	probeIntervalPerRank = time.Second
	// staleReadJitter is the time over which nodes that are not probing nodes distribute their
	// reads when all state is stale.
	staleReadJitter = 2500 * time.Millisecond
	// A starting process waits for its peers until this process age: peerStateWait for their
	// replicas and configuration, only peerReplyWait if no peer that responded has these, and
	// firstContactWait if none responded, to detect a large fleet that starts at once.
	peerStateWait    = 150 * time.Millisecond
	peerReplyWait    = 40 * time.Millisecond
	firstContactWait = 250 * time.Millisecond
	// watchBatchTime is the time after an update in which a watching node lets further changes
	// accumulate, which saves calls.
	watchBatchTime = 80 * time.Millisecond
	// isolationTimeout is the time without heartbeats of any other node after which a node
	// relies on itself only.
	isolationTimeout = 700 * time.Millisecond
	// jitterSteps is the number of distinct values of jitterShare.
	jitterSteps = 1024
)

// storeCallRankAmong returns this node's rank in the order in which it and the senders of the
// heartbeats call the store, or a rank after all probing nodes. The caller holds the mutex.
func (n *Node) storeCallRankAmong(others []*liveness.Heartbeat) int {
	if !n.isNonDelegate {
		order := liveness.RankNodes(append(slices.Clone(others), n.ownHeartbeat()), probingNodes)
		if rank := slices.Index(order, n.settings.Load().Name); rank >= 0 {
			return rank
		}
	}
	return max(len(others)+1, n.size.Known, probingNodes)
}

// watchRankAmong returns this node's rank among the live nodes that reach the store. A node that
// does not reach the store, or is not a probing node, never ranks among the watching nodes: during an
// outage and right after it, such a node can't know yet which nodes reach the store.
// The caller holds the mutex and has set storeCallRank.
func (n *Node) watchRankAmong(live []*liveness.Member) int {
	if n.isStoreDown || n.storeCallRank >= probingNodes {
		return len(live) + watchingNodes
	}
	reaching := slices.DeleteFunc(slices.Clone(live), func(m *liveness.Member) bool { return m.Leaving || m.StoreUnreachable })
	return n.storeCallRankAmong(liveness.Heartbeats(reaching))
}

// isIsolated reports whether no heartbeat of another node arrived within isolationTimeout. The caller
// holds the mutex.
func (n *Node) isIsolated(now structs.Instant) bool { return now-n.lastContactAt > isolationTimeout }

// watchesStore reports whether this node watches the store, for others or because it is isolated.
// The caller holds the mutex.
func (n *Node) watchesStore(now structs.Instant) bool {
	return n.watchRank < watchingNodes || n.isIsolated(now)
}

// shouldCallStore reports whether this node must watch the store, or probe a store that failed.
func (n *Node) shouldCallStore() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	switch {
	case n.isSelectingDelegates(now):
		return false
	case n.watchesStore(now):
		return true
	case !n.isStoreDown:
		return false
	}
	return n.storeCallRank < probingNodes || now-n.storeCalledAt > probeIntervalPerRank*time.Duration(n.storeCallRank)
}

// staleReadDelay returns how much later than the first node this node reads the store when all
// state is stale. The caller holds the mutex.
func (n *Node) staleReadDelay(now structs.Instant, step time.Duration) time.Duration {
	switch {
	case n.isIsolated(now):
		return 0
	case n.storeCallRank < probingNodes:
		return time.Duration(min(n.watchRank, n.storeCallRank)) * step
	}
	return probingNodes*step + time.Duration(n.jitterShare()*float64(staleReadJitter))
}

// waitsForProbingNodes reports whether this node is not a probing node and at least half of these
// report that they do not reach the store. The caller holds the mutex.
func (n *Node) waitsForProbingNodes(now structs.Instant) bool {
	if n.storeCallRank < probingNodes || n.isIsolated(now) {
		return false
	}
	failing := 0
	for _, name := range liveness.RankNodes(liveness.Heartbeats(liveness.Delegates(n.members.Live(now))), probingNodes) {
		if member, found := n.members.Get(name); found && member.StoreUnreachable {
			failing++
		}
	}
	return 2*failing >= probingNodes
}

// recordStoreReached records that another node recently reached the store. A node that is not a
// probing node then regards the store as recovered. The caller holds the mutex.
func (n *Node) recordStoreReached(now structs.Instant) {
	if n.isStoreDown && n.storeCallRank >= probingNodes {
		n.isStoreDown, n.storeFailedAt = false, now
	}
}

// hasConfigurationAndReplicas reports whether this node knows a configuration and replicas.
func (n *Node) hasConfigurationAndReplicas() bool {
	if n.catalog.Load() == nil {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.LatestPosition() > 0
}

// awaitPeers blocks while a starting process waits for the state of its peers.
func (n *Node) awaitPeers() {
	for !n.hasConfigurationAndReplicas() {
		limit := peerStateWait
		switch {
		case n.hasNoContact():
			limit = firstContactWait
		case !n.hasPeerWithState():
			limit = peerReplyWait
		}
		if n.now() >= limit || !n.sleep(startPollInterval) {
			return
		}
	}
}

// hasNoContact reports whether no heartbeat of another node arrived since the start.
func (n *Node) hasNoContact() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lastContactAt == 0
}

// delegateReadWait is the process age until which a non-delegate leaves reading the store to the
// delegates.
const delegateReadWait = 8 * time.Second

// delegateSelectionTime is the process age at which the nodes of a large fleet that starts at once
// know which of them are delegates.
const delegateSelectionTime = 600 * time.Millisecond

// waitsForDelegates reports whether this process leaves reading the store to the delegates. If each
// node of a large fleet that starts at once read it, the store's load would grow with the square of
// the fleet.
func (n *Node) waitsForDelegates() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	return n.isSelectingDelegates(now) || n.isNonDelegate && now < delegateReadWait
}

// isSelectingDelegates reports whether this node is starting in a large fleet and can't know yet
// which nodes are delegates. The caller holds the mutex.
func (n *Node) isSelectingDelegates(now structs.Instant) bool {
	return n.isLarge && now < delegateSelectionTime && !n.isIsolated(now)
}

// hasPeerWithState reports whether a live node knows a configuration and replicas.
func (n *Node) hasPeerWithState() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.ContainsFunc(n.members.Live(n.now()), func(m *liveness.Member) bool { return m.Version > 0 && m.LatestPosition > 0 })
}

// jitterShare returns a number in [0, 1) that is constant for this node and differs between nodes.
func (n *Node) jitterShare() float64 {
	return float64(xxhash.Sum64String(n.settings.Load().Name)%jitterSteps) / jitterSteps
}
