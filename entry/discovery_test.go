package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Guards against every contacted peer sending the complete peer list to a node that is already
// receiving one.
func TestIncomingPeerListCountsAsKnown(t *testing.T) {
	const peers = 39
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "new"}, Dependencies{Log: eventlog.New("new", nil)})
	part := liveness.Heartbeat{Name: "n0", KnownNodes: peers}
	for i := range peersPerHeartbeat + peerSampleSize {
		part.Peers = append(part.Peers, liveness.Peer{Name: fmt.Sprint("n", i+1), Address: fmt.Sprint("host", i+1)})
	}
	now := n.now()
	n.recordIncomingPeerList(now, part)
	n.addPeers(now, part.Peers)
	g.Expect(n.buildHeartbeat(now).KnownNodes).To(gomega.Equal(peers))
	g.Expect(n.buildHeartbeat(now+peerListTimeout+time.Millisecond).KnownNodes).To(gomega.Equal(peersPerHeartbeat+peerSampleSize), "the remaining parts did not arrive")
}

// Guards against a regular heartbeat being counted as a peer list, which would keep a node from
// getting one.
func TestRegularHeartbeatIsNoPeerList(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "new"}, Dependencies{Log: eventlog.New("new", nil)})
	regular := liveness.Heartbeat{Name: "n0", KnownNodes: 39, Peers: []liveness.Peer{{Name: "n1", Address: "h1"}, {Name: "n2", Address: "h2"}}}
	n.recordIncomingPeerList(n.now(), regular)
	g.Expect(n.buildHeartbeat(n.now()).KnownNodes).To(gomega.BeZero())
}
