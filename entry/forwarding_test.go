package entry

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/reachability"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// newForwardingNode returns a node that is not started and knows the replicas.
func newForwardingNode(known ...replicas.Replica) *Node {
	n := New(&Settings{Name: "self", Zone: "east"}, Dependencies{Now: func() time.Duration { return time.Second }})
	for _, replica := range known {
		n.table.Put(replica)
	}
	return n
}

// Guards against requests to forward connections to nodes of the version before, which don't know them.
func TestNodesOfTheVersionBeforeAreNotAskedToForward(t *testing.T) {
	g := gomega.NewWithT(t)
	content, err := os.ReadFile(filepath.Join("testdata", "previous", "beat"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var heartbeat liveness.Heartbeat
	g.Expect(msgpack.Unmarshal(content, &heartbeat)).To(gomega.Succeed())
	heartbeat.Leaving, heartbeat.Slow, heartbeat.Relayed = false, false, false
	n := newForwardingNode()
	n.members.Observe(n.now(), heartbeat)
	g.Expect(n.members.Live(n.now())).To(gomega.HaveLen(1))
	g.Expect(n.forwarders(n.now())).To(gomega.BeEmpty())
	heartbeat.ForwardCapacity = 1
	n.members.Observe(n.now(), heartbeat)
	g.Expect(n.forwarders(n.now())).To(gomega.HaveLen(1))
}

// Guards against an isolated node of a large fleet that asks peers for forwarders which know only those that it knows too.
func TestPeersInTheZonesOfReplicasAreAskedForForwardersFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newForwardingNode(replicas.Replica{ID: "r", Zone: "west"})
	for name, member := range map[string]liveness.Heartbeat{
		"south": {Zone: "south", ForwardCapacity: 1}, "west1": {Zone: "west", ForwardCapacity: 1}, "west2": {Zone: "west", ForwardCapacity: 1},
		"full": {Zone: "west"}, "isolated": {Zone: "east", Isolated: true}, "other": {Zone: "east"},
	} {
		member.Name, member.Address, member.IntervalMS = name, name, 100
		n.members.Observe(n.now(), member)
	}
	for range 20 {
		asked := n.referrers(n.now())
		g.Expect(asked).To(gomega.ConsistOf("south", "west1", "west2", "isolated"))
		g.Expect(asked[:2]).To(gomega.ConsistOf("west1", "west2"))
	}
}

// Guards against a node that opens connections for peers to addresses that are no replica's, to replicas that
// must get no requests, or while it can't serve them itself.
func TestOnlyConnectionsToUsableReplicasAreForwarded(t *testing.T) {
	usable := replicas.Replica{ID: "r", Address: "r:1", Service: "pool"}
	draining := usable
	draining.Draining = true
	isolate := func(n *Node) {
		n.paths = reachability.NewTracker(rand.Float64)
		for _, other := range []string{"a", "b"} {
			n.paths.RecordConnect(n.now(), other, false)
		}
	}
	stopLongAgo := func(n *Node) { n.stoppingSince.Store(int64(n.now() - balancerUpdateTime - time.Millisecond)) }
	for name, test := range map[string]struct {
		known   []replicas.Replica
		request forwardRequest
		prepare func(n *Node)
		want    forwardOutcome
	}{
		"unknown replica":  {nil, forwardRequest{"r", "r:1"}, nil, forwardExcluded},
		"another address":  {[]replicas.Replica{usable}, forwardRequest{"r", "elsewhere:1"}, nil, forwardExcluded},
		"draining replica": {[]replicas.Replica{draining}, forwardRequest{"r", "r:1"}, nil, forwardExcluded},
		"ending node":      {[]replicas.Replica{usable}, forwardRequest{"r", "r:1"}, stopLongAgo, forwardUnavailable},
		"isolated node":    {[]replicas.Replica{usable}, forwardRequest{"r", "r:1"}, isolate, forwardUnavailable},
		"full node":        {[]replicas.Replica{usable}, forwardRequest{"r", "r:1"}, func(n *Node) { n.forwarded.Store(maxForwardedConnections) }, forwardUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			n := newForwardingNode(test.known...)
			if test.prepare != nil {
				test.prepare(n)
			}
			before := n.forwarded.Load()
			reply, forwarding := n.serveForward(context.Background(), &test.request)
			g.Expect(reply.Outcome).To(gomega.Equal(test.want))
			g.Expect(forwarding).To(gomega.BeNil())
			g.Expect(n.forwarded.Load()).To(gomega.Equal(before))
		})
	}
}
