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

// Nodes that do not follow the store pull its news from those that do. All of them
// hear of news at the same time. A reply holds only what is new to the asking node, and
// one that does not come in time is asked for more rarely: replies that nobody waits
// for any more fill the links, and the news then reaches nobody. News of replicas and
// of the configuration go by calls of their own, so that neither waits for the other.

// Times of pulls.
const (
	// pullPatience is how long this node's own watch may be behind a peer's.
	ownWatchDelay = staleness.MinPullBackoff
	// delegatesPullTime is how long news take from the nodes that follow the store to the delegates
	// of a zone. What a zone's nodes pull from these crosses no border.
	delegatePullDelay = 400 * time.Millisecond
	// updatesTimeout bounds a call to a peer for its news.
	updatesTimeout = 500 * time.Millisecond
)

// pullPatienceWith is how long this node waits before it asks the sender of the heartbeat for its
// news: for its own watch, or, where a zone's delegates will have the news as well, for these. The
// caller holds the mutex.
func (n *Node) pullDelay(beat liveness.Heartbeat) time.Duration {
	switch {
	case n.isNonDelegate && beat.Zone != n.settings.Load().Zone:
		return delegatePullDelay
	case n.watchRank < watchingNodes:
		return ownWatchDelay
	}
	return 0
}

// latest returns the revision of the latest news that this node knows, of replicas and of
// roll-outs. News of replicas alone does not count: of a version that a roll-out brings, a
// node must not know the replicas and not the order. The caller holds the mutex.
func (n *Node) latest() structs.StorePosition {
	if n.rollouts.CompleteTo() < n.table.LatestPosition() {
		return n.rollouts.CompleteTo()
	}
	return max(n.table.LatestPosition(), n.rollouts.LatestPosition())
}

// replicaPullDue returns whether the peer knows more of the replicas or roll-outs for so long that
// this node's own watch will not tell it, and the peer is to be asked now. The caller
// holds the mutex.
func (n *Node) replicaPullDue(beat liveness.Heartbeat) bool {
	return n.replicaPull.ShouldPull(n.now(), n.latest(), beat.LatestPosition, n.pullDelay(beat))
}

// serveUpdates answers a peer that is behind.
func (n *Node) serveUpdates(_ context.Context, request *updatesRequest) (*updatesReply, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	reply := &updatesReply{Known: n.rollouts.CompleteTo()}
	reply.Orders, reply.Records = n.rollouts.Since(request.Rollouts)
	if n.table.LatestPosition() > request.Latest {
		reply.Replicas, reply.Removed = n.table.Since(request.Latest), n.table.RemovedSince(n.now(), request.Latest)
	}
	return reply, nil
}

// pullUpdates asks a peer that knows more of the replicas than this node.
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

// pullAll asks a peer for all that it knows of the replicas and roll-outs, of before a copy too.
func (n *Node) pullAll(address string) {
	err := n.pull(address, &updatesRequest{})
	n.mutex.Lock()
	n.era.isPullingAll = false
	n.era.lacksEarlierState = n.era.lacksEarlierState && err != nil
	n.mutex.Unlock()
	n.recordPullFailure(address, err)
}

func (n *Node) recordPullFailure(address string, err error) {
	if err != nil && n.ctx.Err() == nil {
		n.counter("news.pulls_failed").Inc(1)
		n.log.Write(eventlog.Event{Kind: "news", Outcome: "not-pulled", Peer: address, Detail: err.Error()})
	}
}

// pull brings a peer's news of the replicas into force.
func (n *Node) pull(address string, request *updatesRequest) error {
	ctx, cancel := context.WithTimeout(n.ctx, updatesTimeout)
	defer cancel()
	reply := &updatesReply{}
	if err := n.peers.Call(ctx, address, peerwire.KindNews, request, reply); err != nil {
		return err
	}
	n.applyRollouts(reply.Orders, reply.Records, reply.Known)
	n.mutex.Lock()
	before := n.table.ChangeCount()
	for _, replica := range reply.Replicas {
		n.applyReplica(replica)
	}
	for id, revision := range reply.Removed {
		n.removeReplica(id, revision)
	}
	changed := n.table.ChangeCount() != before
	n.mutex.Unlock()
	if changed {
		n.handleReplicaChange()
	}
	return nil
}
