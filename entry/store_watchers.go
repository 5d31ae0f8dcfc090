package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Which nodes call the store. Its calls are paid for and their rate is bounded, so nothing
// may make every node call at once: not its failure, nor knowledge that grew old, nor a
// start. A few nodes call it and the others hear from them.

const (
	// watchers is how many nodes watch the store: a heartbeat tells the others that there
	// is news, a call brings it.
	watchingNodes = 3
	// probers is how many nodes try a store that failed until it answers. If it turns a
	// third of the nodes away, all of these are among them once in 10 million times.
	probingNodes = 16
	// probePause is the time, for each node known, between two trials of one that is not
	// among the probers: all of them together try once in this time.
	probeIntervalPerRank = time.Second
	// spreadTime is the time over which nodes that are not among the probers spread their
	// reads once all knowledge is old, and none of these answers for the store.
	staleReadJitter = 2500 * time.Millisecond
	// introductionTime is the age of a process until which it waits for its peers to tell
	// it of replicas and the configuration, and greetingTime that at which one that knows
	// these has answered if there is any. They take some 50 ms, and the process is not
	// ready before readinessDelay in any case. Until aloneTime it waits to hear of any other: where many
	// start at once, it learns so that the fleet is large and that others read the store for it.
	peerStateWait    = 150 * time.Millisecond
	peerReplyWait    = 40 * time.Millisecond
	firstContactWait = 250 * time.Millisecond
	// watchGather is the time after news in which a watching node gathers more, so that
	// changes in quick succession cost no call each.
	watchBatchTime = 80 * time.Millisecond
	// isolation is the silence of all other nodes after which a node counts on itself. In
	// any fleet of more than one it hears several in this time.
	isolationTimeout = 700 * time.Millisecond
	// spreadParts is the number of moments in a time over which nodes spread their calls.
	jitterSteps = 1024
)

// storeCallRankAmong returns this node's place in the order in which it and the nodes with the
// beats call the store, or the number of them all beyond the probers. The caller holds the mutex.
func (n *Node) storeCallRankAmong(others []*liveness.Heartbeat) int {
	if !n.isNonDelegate {
		order := liveness.RankNodes(append(slices.Clone(others), n.ownHeartbeat()), probingNodes)
		if place := slices.Index(order, n.settings.Load().Name); place >= 0 {
			return place
		}
	}
	return max(len(others)+1, n.size.Known, probingNodes)
}

// watchRankAmong returns this node's place among the live nodes that reach the store. A node
// that does not reach the store has none of the first places, also while nobody does: when
// the store is back, the first to notice tell the others, and not all of them take
// themselves for the one that reads it for all. One that is not among the probers has none
// either: it hears that the store is back before the probers have told that they reach it.
// The caller holds the mutex and has set the order.
func (n *Node) watchRankAmong(live []*liveness.Member) int {
	if n.storeDown || n.storeCallRank >= probingNodes {
		return len(live) + watchingNodes
	}
	reach := slices.DeleteFunc(slices.Clone(live), func(m *liveness.Member) bool { return m.Leaving || m.StoreUnreachable })
	return n.storeCallRankAmong(liveness.Heartbeats(reach))
}

// isolated returns whether no other node was heard of lately. The caller holds the mutex.
func (n *Node) isIsolated(now structs.Instant) bool { return now-n.lastContactAt > isolationTimeout }

// followsStore returns whether this node follows the store, for others or because it hears
// none. The caller holds the mutex.
func (n *Node) watchesStore(now structs.Instant) bool {
	return n.watchRank < watchingNodes || n.isIsolated(now)
}

// callsStore returns whether this node has to follow the store by itself, or to try a
// store that failed.
func (n *Node) shouldCallStore() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	switch {
	case n.isSelectingDelegates(now):
		return false
	case n.watchesStore(now):
		return true
	case !n.storeDown:
		return false
	}
	return n.storeCallRank < probingNodes || now-n.storeCalledAt > probeIntervalPerRank*time.Duration(n.storeCallRank)
}

// readDelay returns how much later than the first node this one reads the store once all
// knowledge is old. The caller holds the mutex.
func (n *Node) staleReadDelay(now structs.Instant, step time.Duration) time.Duration {
	switch {
	case n.isIsolated(now):
		return 0
	case n.storeCallRank < probingNodes:
		return time.Duration(min(n.watchRank, n.storeCallRank)) * step
	}
	return probingNodes*step + time.Duration(n.jitterShare()*float64(staleReadJitter))
}

// awaitsProbers returns whether half of the probers say that they don't reach the store,
// so that this node, which is none of them, waits until they do. The caller holds the
// mutex.
func (n *Node) waitsForProbingNodes(now structs.Instant) bool {
	if n.storeCallRank < probingNodes || n.isIsolated(now) {
		return false
	}
	failing := 0
	for _, name := range liveness.RankNodes(liveness.Heartbeats(liveness.Delegates(n.members.Live(now))), probingNodes) {
		if prober, found := n.members.Get(name); found && prober.StoreUnreachable {
			failing++
		}
	}
	return 2*failing >= probingNodes
}

// noteStoreReached records that another node reached the store lately. A node that does
// not try it again itself has no other way to learn that. The caller holds the mutex.
func (n *Node) recordStoreReached(now structs.Instant) {
	if n.storeDown && n.storeCallRank >= probingNodes {
		n.storeDown, n.storeFailedAt = false, now
	}
}

// isInformed returns whether this node knows a configuration and replicas.
func (n *Node) hasConfigurationAndReplicas() bool {
	if n.catalog.Load() == nil {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.LatestPosition() > 0
}

// awaitPeers gives the peers of a starting process time to tell it what they know.
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

// hearsNobody returns whether no other node was heard of since the start.
func (n *Node) hasNoContact() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lastContactAt == 0
}

// delegatesPatience is the age of the process until which a node of a large fleet that is none of
// its delegates leaves it to these to read the store, if it hears them.
const delegateReadWait = 8 * time.Second

// delegatesFound is the age of the process at which the nodes of a large fleet that starts at once
// know which of them are its delegates.
const delegateSelectionTime = 600 * time.Millisecond

// awaitsDelegates returns whether the delegates will tell this process what the store holds. Were
// each node of a large fleet to read that at a start of all, the store would have to answer the
// square of the fleet.
func (n *Node) waitsForDelegates() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	return n.isSelectingDelegates(now) || n.isNonDelegate && now < delegateReadWait
}

// findsDelegates returns whether the nodes of a large fleet that may have started just now don't
// know yet which of them are its delegates. The caller holds the mutex.
func (n *Node) isSelectingDelegates(now structs.Instant) bool {
	return n.isLarge && now < delegateSelectionTime && !n.isIsolated(now)
}

// hasInformedPeer returns whether a live node knows a configuration and replicas.
func (n *Node) hasPeerWithState() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.ContainsFunc(n.members.Live(n.now()), func(m *liveness.Member) bool { return m.Version > 0 && m.LatestPosition > 0 })
}

// spreadShare is a number from zero to one that differs between nodes and stays.
func (n *Node) jitterShare() float64 {
	return float64(xxhash.Sum64String(n.settings.Load().Name)%jitterSteps) / jitterSteps
}
