package entry

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/memnet"
)

// A fleet large enough for relayed heartbeats: zones of ten nodes.
const (
	relayNodes = 40
	// settleTime is the time until all nodes agree on the live nodes and the scheduling node.
	settleTime = 5 * time.Second
)

var relayZones = []string{"north", "east", "south", "west"}

// zoneOf returns the zone of the node, or "" if the host is no node.
func zoneOf(node string) string {
	var number int
	if _, err := fmt.Sscanf(node, "n%d", &number); err != nil {
		return ""
	}
	return relayZones[(number-1)%len(relayZones)]
}

// crossesZones reports whether both hosts are nodes, of different zones.
func crossesZones(from, to string) bool {
	return zoneOf(from) != "" && zoneOf(to) != "" && zoneOf(from) != zoneOf(to)
}

// relayScenario is a deployment of many nodes in the zones of relayZones.
type relayScenario struct {
	*scenario
	nodes []string
}

// runRelays runs the test with relayNodes nodes.
func runRelays(t *testing.T, test func(s *relayScenario)) {
	t.Helper()
	runRelaysWithNodes(t, relayNodes, test)
}

// runRelaysWithNodes runs the test with the number of nodes.
func runRelaysWithNodes(t *testing.T, nodes int, test func(s *relayScenario)) {
	t.Helper()
	runNodes(t, nodes, nil, settleTime, test)
}

// runNodes starts the nodes, waits for the settle time and runs the test. If adjust is not nil, it
// changes the settings of each node.
func runNodes(t *testing.T, nodes int, adjust func(*relayScenario, *entry.Settings), settle time.Duration, test func(s *relayScenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &relayScenario{scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}}
		for i := range nodes {
			s.nodes = append(s.nodes, nodeName(i))
		}
		s.start(s.nodes, relayZones, func(settings *entry.Settings) {
			if adjust != nil {
				adjust(s, settings)
			}
		})
		s.awaitReady()
		defer s.stop(s.nodes)
		time.Sleep(settle)
		test(s)
	})
}

// bytesBetweenZones returns the bytes sent between nodes of different zones while the function ran.
func (s *relayScenario) bytesBetweenZones(run func()) float64 {
	before := s.fabric.SentBytesWhere(crossesZones)
	run()
	return float64(s.fabric.SentBytesWhere(crossesZones) - before)
}

// Guards against heartbeats sent directly to every node of other zones; traffic between zones is
// paid for.
func TestHeartbeatTrafficBetweenZonesIsBounded(t *testing.T) {
	const (
		watchTime = 20 * time.Second
		// limit allows each node six heartbeats of 350 bytes per second and as many confirmations,
		// and twice as many of candidates.
		limit = 5e3
	)
	runRelays(t, func(s *relayScenario) {
		rate := s.bytesBetweenZones(func() { time.Sleep(watchTime) }) / watchTime.Seconds() / relayNodes
		t.Logf("between zones: %.0f bytes per node and second", rate)
		s.Expect(rate).To(gomega.BeNumerically("<", limit), "bytes per node and second between zones")
		for _, node := range s.nodes {
			s.Expect(s.deployment.Node(node).Status().Live).To(gomega.HaveLen(relayNodes-1), node)
		}
	})
}

const (
	// startWatchTime is the time after the start of a node in which the bytes sent to it are counted.
	startWatchTime = time.Second
	// maxStartBytes allows an answer and one or two heartbeats of 400 bytes from each node, and
	// a few peer lists of 3 kB.
	maxStartBytes = 45e3
)

// bytesToStartingNode restarts the last node and returns the bytes sent to it in startWatchTime.
func (s *relayScenario) bytesToStartingNode() float64 {
	node := s.nodes[len(s.nodes)-1]
	toNode := func(_, to string) bool { return to == node }
	s.deployment.Node(node).Kill()
	time.Sleep(settleTime)
	before := s.fabric.SentBytesWhere(toNode)
	s.Expect(s.deployment.StartNode(node, zoneOf(node))).To(gomega.Succeed())
	time.Sleep(startWatchTime)
	s.Expect(s.deployment.Node(node).Status().Live).To(gomega.HaveLen(len(s.nodes) - 1))
	return float64(s.fabric.SentBytesWhere(toNode) - before)
}

// Guards against a starting node that receives the complete peer list from every node.
func TestStartingNodeReceivesPeerListsFromFewNodes(t *testing.T) {
	runRelays(t, func(s *relayScenario) {
		sent := s.bytesToStartingNode()
		t.Logf("sent to the starting node in its first %v: %.0f bytes", startWatchTime, sent)
		s.Expect(sent).To(gomega.BeNumerically("<", maxStartBytes))
	})
}

// Guards against a starting node that receives complete peer lists from all nodes in the first
// part of a list, 18, which is less than half of this fleet.
func TestStartingNodeInALargerFleetReceivesPeerListsFromFewNodes(t *testing.T) {
	const (
		nodes = 80
		limit = 60e3 // bytes
	)
	runRelaysWithNodes(t, nodes, func(s *relayScenario) {
		sent := s.bytesToStartingNode()
		t.Logf("sent to the starting node in its first %v: %.0f bytes", startWatchTime, sent)
		s.Expect(sent).To(gomega.BeNumerically("<", limit))
	})
}

// schedulerChanges returns the number of scheduler changes logged by all nodes.
func (s *relayScenario) schedulerChanges() int { return len(s.loggedEvents("scheduler")) }

// Guards against nodes that miss the heartbeats of a live scheduling node and consider it dead
// when half of the relays fail at once.
func TestSchedulerDoesNotChangeWhenManyRelaysFail(t *testing.T) {
	runRelays(t, func(s *relayScenario) {
		scheduler := s.scheduler()
		var paused []string
		for i, node := range s.nodes {
			if node != scheduler && i%9 < 5 {
				paused = append(paused, node)
			}
		}
		before := s.schedulerChanges()
		for _, node := range paused {
			s.fabric.Pause(node)
		}
		time.Sleep(settleTime)
		var changed []string
		for _, node := range s.nodes {
			if !slices.Contains(paused, node) && s.deployment.Node(node).Status().Scheduler != scheduler {
				changed = append(changed, node)
			}
		}
		t.Logf("%d of %d nodes paused, %d scheduler changes", len(paused), relayNodes, s.schedulerChanges()-before)
		s.Expect(changed).To(gomega.BeEmpty(), "nodes that follow another scheduling node")
		// Changes at paused nodes are logged after they resume.
		s.Expect(s.schedulerChanges()-before).To(gomega.BeNumerically("<=", len(paused)), "scheduler changes")
	})
}

// Guards against a node that keeps calling an unreachable scheduling node because it receives its
// heartbeats through relays in its own zone.
func TestNodeThatReachesOnlyItsZoneServes(t *testing.T) {
	const limit = 1500 * time.Millisecond
	runRelays(t, func(s *relayScenario) {
		scheduler := s.scheduler()
		var isolated string
		var others []string
		for _, node := range s.nodes {
			if zoneOf(node) != zoneOf(scheduler) {
				isolated = node
				break
			}
		}
		for _, node := range s.nodes {
			if zoneOf(node) != zoneOf(isolated) {
				others = append(others, node)
			}
		}
		s.Expect(s.do(isolated, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK))
		s.fabric.Partition([]string{isolated}, others)
		time.Sleep(settleTime)
		slow := 0
		for range 20 {
			got := s.do(isolated, http.MethodGet, "/safe/", nil)
			if got.status != http.StatusOK || got.took > limit {
				slow++
				t.Logf("status %d after %v", got.status, got.took)
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.Expect(slow).To(gomega.BeNumerically("<=", 2), "requests that failed or took longer than %v", limit)
	})
}
