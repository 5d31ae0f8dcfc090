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

// newFreshnessNode returns a node with the rank, configuration 3 and replicas up to revision 7.
func newFreshnessNode(rank int) *Node {
	n := New(&Settings{Name: "n", LinkMbps: 10}, Dependencies{Log: eventlog.New("n", nil)})
	n.watchRank, n.storeCallRank = rank, rank
	n.table.Put(replicas.Replica{ID: "r", Service: "s", Position: 7})
	document := &catalog.Document{Version: 3}
	n.catalog.Store(&catalog.Catalog{Document: document})
	n.publish(document)
	return n
}

// Guards against nobody reading the store although the state of every node is stale, as happens
// when the watching nodes are partitioned from the store.
func TestNodeReadsStoreWhenAllStateIsStale(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	now := 20 * time.Second
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.BeEmpty(), "no read is known yet: the watch loop makes the first")
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 400, ConfigurationAgeMS: 400})
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.BeEmpty())
	later := now + staleAfter
	g.Expect(dueScope(n, later, 0, 0)).To(gomega.Equal("all"))
	g.Expect(dueScope(n, later, later-readCheckInterval, 0)).To(gomega.BeEmpty(), "readInterval has not passed")
	n.isStoreDown = true
	g.Expect(dueScope(n, later, 0, 0)).To(gomega.BeEmpty())
}

// dueScope returns the scope that the node should read, or "" if no read is due.
func dueScope(n *Node, now, last, transfer time.Duration) string {
	n.lastContactAt = now
	scope, due := n.readDue(now, last, transfer)
	if !due {
		return ""
	}
	return scope.String()
}

// Guards against all nodes reading a large configuration at once while one copy is already being
// disseminated.
func TestLargeConfigurationIsNotReadByAllNodesAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(40)
	now := 20 * time.Second
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 0, ConfigurationAgeMS: 0})
	later := now + staleAfter + probingNodes*staleStepPerRank + staleReadJitter + time.Millisecond
	g.Expect(dueScope(n, later, 0, time.Second)).To(gomega.Equal("replicas"), "the configuration is not stale yet")
	n.recordFreshness(later, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 0, ConfigurationAgeMS: 9000})
	last := now + staleAfter + configurationReadFactor*time.Second + probingNodes*maxStaleStepPerRank + staleReadJitter + maxConfigurationReadJitter + time.Millisecond
	g.Expect(dueScope(n, last, 0, time.Second)).To(gomega.Equal("all"), "the configuration is stale")
	g.Expect(n.versionPull.ShouldPull(now, 3, 4, 0)).To(gomega.BeTrue(), "a pull starts")
	g.Expect(dueScope(n, last, 0, time.Second)).NotTo(gomega.Equal("all"), "the configuration is being pulled")
}

// Guards against a node that lacks a newer configuration treating its replicas as stale too.
func TestFreshnessOfReplicasAndConfigurationIsSeparate(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 4, LatestPosition: 7, ReplicasAgeMS: 100, ConfigurationAgeMS: 100})
	g.Expect(n.replicaFreshness.Age(20 * time.Second)).To(gomega.BeEquivalentTo(100))
	g.Expect(n.configurationFreshness.Known()).To(gomega.BeFalse())
}

// Guards against recording state as fresh that is older than the peer's.
func TestFreshnessOfPeerWithNewerStateIsNotMerged(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 4, LatestPosition: 8, ReplicasAgeMS: 0})
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: -1, ConfigurationAgeMS: -1})
	g.Expect(n.replicaFreshness.Known()).To(gomega.BeFalse())
	g.Expect(n.configurationFreshness.Known()).To(gomega.BeFalse())
	n.recordFreshness(20*time.Second, liveness.Heartbeat{Version: 3, LatestPosition: 6, ReplicasAgeMS: 250})
	g.Expect(n.replicaFreshness.Age(20 * time.Second)).To(gomega.BeEquivalentTo(250))
}

// Guards against reads of the configuration that fill the reading node's link.
func TestReadingNodeUsesATenthOfItsLinkForConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(0)
	start := 20 * time.Second
	n.configurationFreshness.Observe(start + time.Millisecond) // a read starts after it became due
	g.Expect(dueScope(n, start+readInterval, start, 0)).To(gomega.Equal("all"))
	g.Expect(dueScope(n, start+readInterval, start, time.Second)).To(gomega.Equal("replicas"))
	g.Expect(dueScope(n, start+configurationReadFactor*time.Second, start, time.Second)).To(gomega.Equal("all"))
}

// Guards against a silent watch going unnoticed because the reading node's state counts as fresh.
func TestFirstRankedNodesReadEvenWhenFresh(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(0)
	n.replicaFreshness.Observe(20 * time.Second)
	g.Expect(dueScope(n, 20*time.Second, 20*time.Second-readInterval, time.Second)).To(gomega.Equal("all"))
}

// Guards against merging the freshness of a previous-version peer that sends no era: its positions
// are lower than all of the current era, so this node would never see its own state as stale.
func TestFreshnessOfPeerWithoutEraIsNotMerged(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	n.era = era{isKnown: true, current: 1}
	now := 20 * time.Second
	n.replicaFreshness.Observe(now - staleAfter - time.Second)
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 10, ConfigurationAgeMS: 10})
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.Equal("replicas"))
	n.recordFreshness(now, liveness.Heartbeat{Version: 3, LatestPosition: 7, ReplicasAgeMS: 10, ConfigurationAgeMS: 10, Era: 1})
	g.Expect(dueScope(n, now, 0, 0)).To(gomega.BeEmpty())
}
