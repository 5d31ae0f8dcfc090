package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// storeCalls returns the number of store calls while the function ran.
func (s *relayScenario) storeCalls(run func()) float64 {
	before := s.deployment.Store.Calls()
	run()
	return float64(s.deployment.Store.Calls() - before)
}

// baselineCallsPerSecond bounds the calls of three watches and of one node's complete reads.
const baselineCallsPerSecond = 2

// Guards against an unhealthy store that is called by every node once per second.
func TestFailingStoreIsTriedByFewNodes(t *testing.T) {
	const (
		outage = 8 * time.Second
		// limit allows 16 probing nodes 11 calls each, after 0.15, 0.3 and 0.6 s and then once
		// per second, and each node one more.
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

// Guards against starting nodes that call the store instead of pulling from their peers.
func TestNodeRestartsWithoutStoreCalls(t *testing.T) {
	const watchTime = 4 * time.Second
	runRelays(t, func(s *relayScenario) {
		baseline := s.storeCalls(func() { time.Sleep(watchTime) })
		s.Expect(baseline).To(gomega.BeNumerically("<=", baselineCallsPerSecond*watchTime.Seconds()))
		calls := s.storeCalls(func() {
			for _, node := range s.nodes[relayNodes-10:] {
				if node == s.scheduler() {
					continue
				}
				s.deployment.Node(node).Kill()
				s.Expect(s.deployment.StartNode(node, zoneOf(node))).To(gomega.Succeed())
			}
			time.Sleep(watchTime)
		})
		t.Logf("%.0f calls while nine nodes restarted, %.0f before", calls, baseline)
		// If some of the nine watched the store, other nodes open watches instead.
		s.Expect(calls).To(gomega.BeNumerically("<=", baseline+5))
		for _, node := range s.nodes {
			s.Expect(s.deployment.Node(node).Ready()).To(gomega.BeTrue(), node)
		}
	})
}

// Guards against a partitioned node that leaves watching the store to unreachable nodes.
func TestPartitionedNodeReadsTheStore(t *testing.T) {
	runRelays(t, func(s *relayScenario) {
		isolated := s.nodes[relayNodes-1]
		s.fabric.Partition([]string{isolated}, s.nodes[:relayNodes-1])
		time.Sleep(time.Second)
		s.configure(nil)
		time.Sleep(updateLimit)
		s.Expect(s.deployment.Node(isolated).Status().Version).To(gomega.Equal(s.version))
	})
}
