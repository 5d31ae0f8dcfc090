package entry

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/transport/peer"
)

const updatePeerAddress = "peer:1"

// servePeerUpdates serves pulls of updates at updatePeerAddress, and returns a function that ends that.
func servePeerUpdates(g *gomega.WithT, n *Node, serve func(request *updatesRequest) *updatesReply) (stop func()) {
	fabric := memnet.New()
	n.peers = peer.NewClient(fabric.Host("n"), nil)
	listener, err := fabric.Host("peer").Listen(updatePeerAddress)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := peer.NewServer(nil)
	peer.Handle(server, peerwire.KindUpdates, func(_ context.Context, request *updatesRequest) (*updatesReply, error) {
		return serve(request), nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go server.Serve(ctx, listener)
	return func() { cancel(); n.peers.Close(); _ = listener.Close(); time.Sleep(time.Second) }
}

// endRestoreWindowOfEra2 makes the node know a restore, and a later change, and end the restore window.
func endRestoreWindowOfEra2(n *Node) {
	n.checkEraOf(positionInEra(1, 90))
	n.checkEraOf(positionInEra(2, 50))
	n.mutex.Lock()
	n.table.Remove(n.now(), "listed", positionInEra(1, 80))
	n.table.Put(replicas.Replica{ID: "later", Service: "s", Position: positionInEra(2, 60)})
	n.rollouts.SetCompleteTo(positionInEra(2, 60))
	n.watchRank = watchingNodes
	n.mutex.Unlock()
	time.Sleep(restoreWindowDuration)
	n.endRestoreWindow()
}

// deliver applies what the node does with a heartbeat to pull updates, and reports whether it pulled.
func (n *Node) deliver(heartbeat liveness.Heartbeat) bool {
	heartbeat.Name, heartbeat.Address = "peer", updatePeerAddress
	n.mutex.Lock()
	pullsCompletion, pullsReplicas := n.completionPullDue(heartbeat), n.replicaPullDue(heartbeat)
	n.mutex.Unlock()
	if pullsCompletion {
		n.pullCompletion(heartbeat)
	}
	if pullsReplicas {
		n.pullUpdates(heartbeat.Address)
	}
	return pullsCompletion || pullsReplicas
}

// listedReply is the reply of a peer that knows a replica whose entry precedes the latest change.
func listedReply(request *updatesRequest) *updatesReply {
	reply := &updatesReply{Replicas: []replicas.Replica{{ID: "later", Service: "s", Position: positionInEra(2, 60)}}}
	if listed := positionInEra(2, 40); request.Latest < listed {
		reply.Replicas = append(reply.Replicas, replicas.Replica{ID: "listed", Service: "s", Position: listed})
		reply.Orders = []rollouts.Order{{Service: "s", Target: "v2", Position: listed}}
	}
	return reply
}

// Guards against a node that gives up on entries that count again after the restore window because its
// first pull of them fails, or reaches a peer that does not have them yet.
func TestCompletePullIsRepeatedUntilThePeerHasCompletedTheEra(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		replies := []int64{0, 2}
		stop := servePeerUpdates(g, n, func(request *updatesRequest) *updatesReply {
			g.Expect(*request).To(gomega.Equal(updatesRequest{}))
			if replies[0] == 0 {
				replies = replies[1:]
				return &updatesReply{} // the peer entered another restore window
			}
			reply := listedReply(request)
			reply.CompletedEra = replies[0]
			return reply
		})
		defer stop()
		endRestoreWindowOfEra2(n)
		latest := positionInEra(2, 60)
		g.Expect(n.deliver(liveness.Heartbeat{Era: 2, LatestPosition: latest})).To(gomega.BeFalse(), "the peer has not completed the era")
		completed := liveness.Heartbeat{Era: 2, LatestPosition: latest, CompletedEra: 2}
		g.Expect(n.deliver(completed)).To(gomega.BeTrue())
		g.Expect(n.eraCompletion.completed).To(gomega.BeZero())
		time.Sleep(completionPullTime + time.Second)
		n.mutex.Lock()
		n.recordFreshness(n.now(), completed)
		n.mutex.Unlock()
		g.Expect(n.replicaFreshness.Known()).To(gomega.BeFalse(), "the node lacks entries that the peer has")
		g.Expect(n.deliver(completed)).To(gomega.BeTrue())
		g.Expect(n.eraCompletion.completed).To(gomega.Equal(int64(2)))
		_, isKnown := n.table.Get("listed")
		g.Expect(isKnown).To(gomega.BeTrue())
		time.Sleep(time.Second)
		g.Expect(n.deliver(completed)).To(gomega.BeFalse(), "everything is pulled once")
	})
}

// Guards against nodes that never learn of entries that count again after the restore window because the
// watching nodes are of a version that does not report completed eras.
func TestEverythingIsPulledFromWatchingNodesOfAVersionWithoutCompletedEras(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		hasRead, pulls := false, 0
		stop := servePeerUpdates(g, n, func(request *updatesRequest) *updatesReply {
			pulls++
			if hasRead {
				return listedReply(request)
			}
			return &updatesReply{}
		})
		defer stop()
		endRestoreWindowOfEra2(n)
		endedAt := n.now()
		deliver := func(healthy time.Duration) bool {
			return n.deliver(liveness.Heartbeat{Era: 2, LatestPosition: positionInEra(2, 60), StoreHealthyMS: healthy.Milliseconds()})
		}
		g.Expect(deliver(time.Second)).To(gomega.BeFalse(), "a peer may still report the era")
		time.Sleep(completionFallbackDelay)
		g.Expect(deliver(0)).To(gomega.BeFalse(), "the peer does not watch the store")
		for n.now()-endedAt < readAgainTime {
			deliver(n.now() - endedAt + time.Second)
			time.Sleep(time.Second)
		}
		g.Expect(pulls).To(gomega.Equal(1))
		g.Expect(deliver(time.Second)).To(gomega.BeFalse(), "the peer's watch failed, so that it may not have read again")
		hasRead = true
		g.Expect(deliver(readAgainTime)).To(gomega.BeTrue())
		g.Expect(n.eraCompletion.completed).To(gomega.Equal(int64(2)))
		_, isKnown := n.table.Get("listed")
		g.Expect(isKnown).To(gomega.BeTrue())
		_, isOrdered := n.rollouts.Order("s")
		g.Expect(isOrdered).To(gomega.BeTrue())
		time.Sleep(time.Minute)
		g.Expect(deliver(2*readAgainTime)).To(gomega.BeFalse(), "everything is pulled once more and no further")
	})
}

// Guards against a node that reports an era as completed when it can't have taken over all of the
// entries, because a restore window was in force when the reply arrived.
func TestCompletePullInARestoreWindowDoesNotCompleteTheEra(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		stop := servePeerUpdates(g, n, func(request *updatesRequest) *updatesReply {
			n.checkEraOf(positionInEra(3, 30)) // the store was restored again
			reply := listedReply(request)
			reply.CompletedEra = 2
			return reply
		})
		defer stop()
		endRestoreWindowOfEra2(n)
		completed := liveness.Heartbeat{Era: 2, LatestPosition: positionInEra(2, 60), CompletedEra: 2}
		g.Expect(n.deliver(completed)).To(gomega.BeTrue())
		g.Expect(n.eraCompletion.completed).To(gomega.BeZero())
		time.Sleep(time.Second)
		g.Expect(n.deliver(completed)).To(gomega.BeFalse(), "in a restore window")
		time.Sleep(restoreWindowDuration)
		n.endRestoreWindow()
		g.Expect(n.deliver(completed)).To(gomega.BeTrue())
	})
}

// Guards against evacuations that a peer learns of from the restored store and that a node which does not
// watch the store ignores once its own restore window has ended.
func TestEvacuationListedAfterARestoreIsTakenFromHeartbeats(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		n.applyEvacuationOrders([]evacuations.Order{{Zone: "east", Position: positionInEra(1, 80), Lifted: true}}, "store")
		endRestoreWindowOfEra2(n)
		n.mergeEvacuations(&liveness.Heartbeat{Name: "peer", Evacuations: []evacuations.Order{{Zone: "east", Position: positionInEra(2, 40)}}})
		g.Expect(n.evacuations.IsEvacuated("east")).To(gomega.BeTrue())
	})
}
