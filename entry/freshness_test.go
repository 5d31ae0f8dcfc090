package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// freshnessNode is a node that knows configuration 3 and replicas up to revision 7.
func newFreshnessNode(rank int) *Node {
	n := New(&Settings{Name: "n", LinkMbps: 10}, Dependencies{Log: eventlog.New("n", nil)})
	n.watchRank, n.storeCallRank = rank, rank
	n.table.Put(replicas.Replica{ID: "r", Service: "s", Position: 7})
	document := &catalog.Document{Version: 3}
	n.catalog.Store(&catalog.Catalog{Document: document})
	n.publish(document)
	return n
}

// After a cut of a third of the nodes no node that reached the store felt called to read
// it for three seconds.
func TestNodeReadsStoreWhenAllStateIsStale(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	now := 20 * time.Second
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.BeEmpty(), "it never heard of a read; its watch loop makes the first")
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 400, ConfigurationAgeMS: 400})
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.BeEmpty())
	later := now + staleAfter
	g.Expect(dueScope(n, later, 0, 0)).To(gomega.Equal("all"))
	g.Expect(dueScope(n, later, later-readCheckInterval, 0)).To(gomega.BeEmpty(), "not twice at once")
	n.storeDown = true
	g.Expect(dueScope(n, later, 0, 0)).To(gomega.BeEmpty())
}

// dueScope returns what the node should read, or nothing.
func dueScope(n *Node, now, last, transfer time.Duration) string {
	n.lastContactAt = now
	scope, due := n.readDue(now, last, transfer)
	if !due {
		return ""
	}
	return scope.String()
}

// Large configurations were read by all nodes at the same moment, each for itself,
// while one copy was on its way to them already.
func TestLargeConfigurationIsNotReadByAllNodesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(40)
	now := 20 * time.Second
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 0, ConfigurationAgeMS: 0})
	later := now + staleAfter + probingNodes*staleStepPerRank + staleReadJitter + time.Millisecond
	g.Expect(dueScope(n, later, 0, time.Second)).To(gomega.Equal("replicas"), "the configuration takes a second")
	n.recordFreshness(later, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 0, ConfigurationAgeMS: 9000})
	last := now + staleAfter + configurationReadFactor*time.Second + probingNodes*maxStaleStepPerRank + staleReadJitter + maxConfigurationReadJitter + time.Millisecond
	g.Expect(dueScope(n, last, 0, time.Second)).To(gomega.Equal("all"), "but nobody else has it either")
	g.Expect(n.versionPull.ShouldPull(now, 3, 4, 0)).To(gomega.BeTrue(), "it is being fetched")
	g.Expect(dueScope(n, last, 0, time.Second)).NotTo(gomega.Equal("all"), "a peer is sending it")
}

func TestFreshnessOfReplicasAndConfigurationIsSeparate(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 4, LatestPosition: 7, ReplicasAgeMS: 100, ConfigurationAgeMS: 100})
	g.Expect(n.fresh.Age(20 * time.Second)).To(gomega.BeEquivalentTo(100))
	g.Expect(n.freshConfiguration.Known()).To(gomega.BeFalse())
}

func TestFreshnessOfPeerWithNewerStateIsNotMerged(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 4, LatestPosition: 8, ReplicasAgeMS: 0})
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: -1, ConfigurationAgeMS: -1})
	g.Expect(n.fresh.Known()).To(gomega.BeFalse())
	g.Expect(n.freshConfiguration.Known()).To(gomega.BeFalse())
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 3, LatestPosition: 6, ReplicasAgeMS: 250})
	g.Expect(n.fresh.Age(20 * time.Second)).To(gomega.BeEquivalentTo(250))
}

func TestReadingNodeUsesATenthOfItsLinkForConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(0)
	begun := 20 * time.Second
	n.freshConfiguration.Observe(begun + time.Millisecond) // a read begins after it was found due
	g.Expect(dueScope(n, begun+readInterval, begun, 0)).To(gomega.Equal("all"))
	g.Expect(dueScope(n, begun+readInterval, begun, time.Second)).To(gomega.Equal("replicas"))
	g.Expect(dueScope(n, begun+configurationReadFactor*time.Second, begun, time.Second)).To(gomega.Equal("all"))
}

func TestFirstRankedNodesReadEvenWhenFresh(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(0)
	n.fresh.Observe(20 * time.Second)
	g.Expect(dueScope(n, 20*time.Second, 20*time.Second-readInterval, time.Second)).To(gomega.Equal("all"))
}

// A node of the version before knows no eras. In a later era its latest revision reads as old news
// that this node has long had, and its reads would count as this node's own: it would hear of no
// change until it was replaced.
func TestFreshnessOfPeerWithoutEraIsNotMerged(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	n.era = era{isKnown: true, present: 1}
	now := 20 * time.Second
	n.fresh.Observe(now - staleAfter - time.Second)
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 10, ConfigurationAgeMS: 10})
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.Equal("replicas"))
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 10, ConfigurationAgeMS: 10, Era: 1})
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.BeEmpty())
}
