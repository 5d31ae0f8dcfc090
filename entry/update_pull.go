package entry

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/staleness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/structs"
)

// Nodes that do not watch the store pull updates from those that do. All of them learn of an update
// at the same time, so a reply contains only what the requester lacks, and failed pulls back off:
// otherwise replies that are no longer awaited fill the links. Replicas and the configuration are
// pulled by separate calls, so that neither waits for the other.

// Delays and timeouts of pulls.
const (
	// ownWatchDelay is how long this node's own watch may be behind a peer before it pulls.
	ownWatchDelay = staleness.MinPullBackoff
	// delegatePullDelay is the time that updates take from watching nodes to the delegates of a
	// zone. Pulling from these avoids traffic between zones.
	delegatePullDelay = 400 * time.Millisecond
	// updatesTimeout bounds a call to a peer for updates.
	updatesTimeout = 500 * time.Millisecond
)

// pullDelay returns how long this node waits before it pulls from the sender of the heartbeat: the
// time for its own watch, or the delegates of its zone, to get the update. The caller holds the mutex.
func (n *Node) pullDelay(heartbeat liveness.Heartbeat) time.Duration {
	switch {
	case n.isNonDelegate && heartbeat.Zone != n.settings.Load().Zone:
		return delegatePullDelay
	case n.watchRank < watchingNodes:
		return ownWatchDelay
	}
	return 0
}

// latestPosition returns the position of the latest known update of replicas and roll-outs. It does not
// advance with replicas alone, as a node must not know the replicas of a new version without the
// order that brings it. The caller holds the mutex.
func (n *Node) latestPosition() structs.StorePosition {
	if n.rollouts.CompleteTo() < n.table.LatestPosition() {
		return n.rollouts.CompleteTo()
	}
	return max(n.table.LatestPosition(), n.rollouts.LatestPosition())
}

// replicaPullDue reports whether to pull replicas and roll-outs from the sender of the heartbeat now.
// If so, the caller must call pullUpdates. The caller holds the mutex.
func (n *Node) replicaPullDue(heartbeat liveness.Heartbeat) bool {
	return n.replicaPull.ShouldPull(n.now(), n.latestPosition(), heartbeat.LatestPosition, n.pullDelay(heartbeat))
}

// serveUpdates returns the updates that the requesting peer lacks.
func (n *Node) serveUpdates(_ context.Context, request *updatesRequest) (*updatesReply, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	reply := &updatesReply{Known: n.rollouts.CompleteTo()}
	reply.Orders, reply.Records = n.rollouts.Since(request.Rollouts)
	if n.table.LatestPosition() > request.Latest {
		reply.Replicas, reply.Removed = n.table.Since(request.Latest), n.table.RemovalsSince(n.now(), request.Latest)
	}
	return reply, nil
}

// pullUpdates pulls the replicas and roll-outs that this node lacks from the peer at the address.
func (n *Node) pullUpdates(address string) {
	n.mutex.Lock()
	request := &updatesRequest{Latest: n.table.LatestPosition(), Rollouts: n.rollouts.CompleteTo()}
	n.mutex.Unlock()
	err := n.pull(address, request)
	n.mutex.Lock()
	n.replicaPull.PullDone(n.now(), err == nil)
	n.mutex.Unlock()
	n.recordPullFailure(address, err)
}

// pullAll pulls all replicas and roll-outs, including those from before a restore.
func (n *Node) pullAll(address string) {
	err := n.pull(address, &updatesRequest{})
	n.mutex.Lock()
	n.era.isPullingAll = false
	n.era.lacksEarlierState = n.era.lacksEarlierState && err != nil
	n.mutex.Unlock()
	n.recordPullFailure(address, err)
}

// recordPullFailure logs and counts a pull that failed; a nil error is ignored.
func (n *Node) recordPullFailure(address string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.counter("news.pulls_failed").Inc(1)
		n.log.Write(eventlog.Event{Kind: "news", Outcome: "not-pulled", Peer: address, Detail: err.Error()})
	}
}

// pull requests updates from a peer and applies them.
func (n *Node) pull(address string, request *updatesRequest) error {
	ctx, cancel := context.WithTimeout(n.ctx, updatesTimeout)
	defer cancel()
	reply := &updatesReply{}
	if err := n.peers.Call(ctx, address, peerwire.KindUpdates, request, reply); err != nil {
		return err
	}
	n.applyRollouts(reply.Orders, reply.Records, reply.Known)
	n.mutex.Lock()
	before := n.table.ChangeCount()
	for _, replica := range reply.Replicas {
		n.applyReplicaLocked(replica)
	}
	for id, position := range reply.Removed {
		n.removeReplica(id, position)
	}
	changed := n.table.ChangeCount() != before
	n.mutex.Unlock()
	if changed {
		n.handleReplicaChange()
	}
	return nil
}
