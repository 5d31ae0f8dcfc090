package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// cutOffNode is a node that reached the store again just now, with one peer that
// followed it for the time given.
func newPartitionedNode(peerSteady time.Duration) *Node {
	n := New(&Settings{Name: "n1", StoreRecoveryWindow: 4000}, Dependencies{Log: eventlog.New("n1", nil)})
	n.applyReplica(replicas.Replica{ID: "r", Service: "s", Position: 5})
	n.members.Observe(n.now(), liveness.Heartbeat{Name: "n2", StoreHealthyMS: peerSteady.Milliseconds()})
	n.storeFailedAt = n.now()
	return n
}

// A replica left without a word shortly after a cut of the scheduling node, which took
// its own trouble for one of the store and sent to the replica for seven seconds more.
func TestVanishedEntryIsUnconfirmedOnlyIfNoPeerWatchedStore(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newPartitionedNode(time.Second)
	n.handleEntryRemoved(outside.Gone{ID: "r", Revision: 9})
	g.Expect(n.table.All()).To(gomega.HaveLen(1), "the store itself may have been down")
	n = newPartitionedNode(5 * time.Second)
	n.handleEntryRemoved(outside.Gone{ID: "r", Revision: 9})
	g.Expect(n.table.All()).To(gomega.BeEmpty(), "only this node was cut off")
}
