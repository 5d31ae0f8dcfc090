package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/dissemination"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// Guards against nodes with narrow links watching the store: the pulls of all other nodes would
// fill their links.
func TestStoreIsWatchedByNodesWithWideLinks(t *testing.T) {
	g := gomega.NewWithT(t)
	watching := 0
	for i := range 20 {
		name := fmt.Sprintf("n%02d", i)
		settings := &Settings{Name: name, Cores: 0.2, LinkMbps: 10}
		if i < 4 {
			settings.Cores, settings.LinkMbps = 0.8, 200
		}
		n := New(settings, Dependencies{Log: eventlog.New(name, nil)})
		for j := range 20 {
			other := liveness.Heartbeat{Name: fmt.Sprintf("n%02d", j), Cores: 0.2, LinkMbps: 10}
			if j < 4 {
				other.Cores, other.LinkMbps = 0.8, 200
			}
			if i != j {
				n.members.Observe(n.now(), other)
			}
		}
		if rank := n.watchRankAmong(n.members.Live(n.now())); rank < watchingNodes {
			watching++
			g.Expect(i).To(gomega.BeNumerically("<", 4), "rank %d", rank)
		}
	}
	g.Expect(watching).To(gomega.Equal(watchingNodes))
}

// Guards against concurrent pulls of the same kind, and against one kind that blocks the other.
func TestPullsOfEachKindRunOneAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(9)
	n.startedAt, n.dependencies.Now = 0, func() time.Duration { return 0 }
	heartbeat := liveness.Heartbeat{Version: 4, LatestPosition: 9}
	g.Expect(n.replicaPullDue(heartbeat)).To(gomega.BeTrue())
	g.Expect(n.replicaPullDue(heartbeat)).To(gomega.BeFalse(), "one at a time")
	g.Expect(n.configurationPullDue(heartbeat)).To(gomega.BeTrue(), "the kinds are independent")
	g.Expect(n.configurationPullDue(heartbeat)).To(gomega.BeFalse(), "one at a time")
}

// Guards against replies that repeat what the requester already has.
func TestRepliesContainOnlyNewerState(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(0)
	n.table.Put(replicas.Replica{ID: "later", Service: "s", Position: 12})
	n.table.Put(replicas.Replica{ID: "gone", Service: "s", Position: 8})
	n.table.Remove(0, "gone", 11)
	reply, err := n.serveUpdates(context.Background(), &updatesRequest{Latest: 9})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.Replicas).To(gomega.HaveLen(1))
	g.Expect(reply.Replicas[0].ID).To(gomega.Equal("later"))
	g.Expect(reply.Removed).To(gomega.HaveKeyWithValue("gone", structs.StorePosition(11)))
	all, err := n.serveUpdates(context.Background(), &updatesRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(all.Replicas).To(gomega.HaveLen(2))
	parts, err := n.serveParts(context.Background(), &dissemination.Request{Version: 3})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(parts.Content).To(gomega.BeEmpty(), "the peer has the version")
	parts, err = n.serveParts(context.Background(), &dissemination.Request{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(parts.Manifest.Version).To(gomega.Equal(int64(3)))
	g.Expect(parts.Content).NotTo(gomega.BeEmpty())
}
