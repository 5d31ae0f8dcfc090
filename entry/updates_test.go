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

// newPartitionedNode returns a node that reached the store again just now, with one peer that has
// watched it without failures for peerHealthyFor.
func newPartitionedNode(peerHealthyFor time.Duration) *Node {
	n := New(&Settings{Name: "n1", StoreRecoveryWindow: 4000}, Dependencies{Log: eventlog.New("n1", nil)})
	n.applyReplicaLocked(replicas.Replica{ID: "r", Service: "s", Position: 5})
	n.members.Observe(n.now(), liveness.Heartbeat{Name: "n2", StoreHealthyMS: peerHealthyFor.Milliseconds()})
	n.storeFailedAt = n.now()
	return n
}

// Guards against a node that was partitioned from the store keeping a replica that left, as if the
// store itself had failed.
func TestVanishedEntryIsUnconfirmedOnlyIfNoPeerWatchedStore(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newPartitionedNode(time.Second)
	n.handleEntryRemovedLocked(outside.RemovedReplica{ID: "r", Position: 9})
	g.Expect(n.table.All()).To(gomega.HaveLen(1), "the store may have been down")
	n = newPartitionedNode(5 * time.Second)
	n.handleEntryRemovedLocked(outside.RemovedReplica{ID: "r", Position: 9})
	g.Expect(n.table.All()).To(gomega.BeEmpty(), "only this node was partitioned")
}
