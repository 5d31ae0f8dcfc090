package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// storeCalls returns how many calls the store got while the function ran.
func (s *relayScenario) storeCalls(run func()) float64 {
	before := s.deployment.Store.Calls()
	run()
	return float64(s.deployment.Store.Calls() - before)
}

// calmCalls is what three watches and the complete reads of one node need in a second.
const baselineCallsPerSecond = 2

// A store that fails is tried by a few nodes. Each of 40 tried it once a second.
func TestFailingStoreIsTriedByFewNodes(t *testing.T) {
	const (
		outage = 8 * time.Second
		// Sixteen probers try 11 times each, after 0.15, 0.3 and 0.6 s and then once a second,
		// and each other node once at most.
		limit = 16*11 + relayNodes
	)
	runRelays(t, func(s *relayScenario) {
		s.deployment.Store.SetDown(true)
		calls := s.storeCalls(func() { time.Sleep(outage) })
		t.Logf("%.0f calls in an outage of %v", calls, outage)
		s.Expect(calls).To(gomega.BeNumerically("<=", limit))
		s.deployment.Store.SetDown(false)
		time.Sleep(settleTime)
		s.configure(nil)
		time.Sleep(updateLimit)
		for _, node := range s.nodes {
			status := s.deployment.Node(node).Status()
			s.Expect(status.Version).To(gomega.Equal(s.version), node)
			s.Expect(status.StoreDown).To(gomega.BeFalse(), node)
		}
	})
}

// A process that starts beside others has all news from them.
func TestNodeRestartsWithoutStoreCalls(t *testing.T) {
	const watched = 4 * time.Second
	runRelays(t, func(s *relayScenario) {
		calm := s.storeCalls(func() { time.Sleep(watched) })
		s.Expect(calm).To(gomega.BeNumerically("<=", baselineCallsPerSecond*watched.Seconds()))
		calls := s.storeCalls(func() {
			for _, node := range s.nodes[relayNodes-10:] {
				if node == s.scheduler() {
					continue
				}
				s.deployment.Node(node).Kill()
				s.Expect(s.deployment.StartNode(node, zoneOf(node))).To(gomega.Succeed())
			}
			time.Sleep(watched)
		})
		t.Logf("%.0f calls while nine nodes started again, %.0f before", calls, calm)
		// Some of the nine may have watched the store; others then do.
		s.Expect(calls).To(gomega.BeNumerically("<=", calm+5))
		for _, node := range s.nodes {
			s.Expect(s.deployment.Node(node).Ready()).To(gomega.BeTrue(), node)
		}
	})
}

// A node that hears nobody reads the store by itself, however many nodes there were.
func TestPartitionedNodeReadsTheStore(t *testing.T) {
	runRelays(t, func(s *relayScenario) {
		alone := s.nodes[relayNodes-1]
		s.fabric.CutGroups([]string{alone}, s.nodes[:relayNodes-1])
		time.Sleep(time.Second)
		s.configure(nil)
		time.Sleep(updateLimit)
		s.Expect(s.deployment.Node(alone).Status().Version).To(gomega.Equal(s.version))
	})
}
