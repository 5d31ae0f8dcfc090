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

// The deployment in which heartbeats go by relays: zones of ten nodes.
const (
	relayNodes = 40
	// settled is the virtual time after which heartbeats have settled everything.
	settleTime = 5 * time.Second
)

var relayZones = []string{"north", "east", "south", "west"}

// relayZone returns the zone of the node with the name.
func zoneOf(node string) string {
	var number int
	if _, err := fmt.Sscanf(node, "n%d", &number); err != nil {
		return ""
	}
	return relayZones[(number-1)%len(relayZones)]
}

func crossesZones(from, to string) bool {
	return zoneOf(from) != "" && zoneOf(to) != "" && zoneOf(from) != zoneOf(to)
}

// relayScene is a deployment of that size.
type relayScenario struct {
	*scenario
	nodes []string
}

func runRelays(t *testing.T, test func(s *relayScenario)) {
	t.Helper()
	runRelaysWithNodes(t, relayNodes, test)
}

func runRelaysWithNodes(t *testing.T, nodes int, test func(s *relayScenario)) {
	t.Helper()
	runNodes(t, nodes, nil, settleTime, test)
}

// playNodes plays so many nodes, which adjust may give other settings, once they had time to settle.
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

// crossing returns the bytes that crossed borders of zones while the function ran.
func (s *relayScenario) bytesBetweenZones(run func()) float64 {
	before := s.fabric.SentWhere(crossesZones)
	run()
	return float64(s.fabric.SentWhere(crossesZones) - before)
}

// The users pay for what crosses zones. Heartbeats straight to every node of every zone
// were nearly all of it, 0.5 GB in 48 s of calm among 295 nodes.
func TestHeartbeatTrafficBetweenZonesIsBounded(t *testing.T) {
	const (
		watched = 20 * time.Second
		// Three heartbeats of some 350 bytes each half second, and as many confirmations;
		// senior nodes send twice as many.
		limit = 5e3
	)
	runRelays(t, func(s *relayScenario) {
		rate := s.bytesBetweenZones(func() { time.Sleep(watched) }) / watched.Seconds() / relayNodes
		t.Logf("between zones: %.0f bytes a node and second", rate)
		s.Expect(rate).To(gomega.BeNumerically("<", limit), "bytes a node and second between zones")
		for _, node := range s.nodes {
			s.Expect(s.deployment.Node(node).Status().Live).To(gomega.HaveLen(relayNodes-1), node)
		}
	})
}

const (
	// toldWatched is the time after the start of a process in which what it is sent is
	// counted.
	startWatchTime = time.Second
	// toldLimit is an answer and a regular heartbeat or two from each node, some 400 bytes
	// each, and a few lists of 3 kB; 68 kB when each node sent the list.
	maxStartBytes = 45e3
)

// toldAtStart starts the last node again and returns the bytes that it is sent.
func (s *relayScenario) bytesToStartingNode() float64 {
	node := s.nodes[len(s.nodes)-1]
	toNode := func(_, to string) bool { return to == node }
	s.deployment.Node(node).Kill()
	time.Sleep(settleTime)
	before := s.fabric.SentWhere(toNode)
	s.Expect(s.deployment.StartNode(node, zoneOf(node))).To(gomega.Succeed())
	time.Sleep(startWatchTime)
	s.Expect(s.deployment.Node(node).Status().Live).To(gomega.HaveLen(len(s.nodes) - 1))
	return float64(s.fabric.SentWhere(toNode) - before)
}

// A process that starts again hears of the nodes from a few, and not from each node that
// it greets.
func TestStartingNodeReceivesPeerListsFromFewNodes(t *testing.T) {
	runRelays(t, func(s *relayScenario) {
		got := s.bytesToStartingNode()
		t.Logf("sent to the new process in its first %v: %.0f bytes", startWatchTime, got)
		s.Expect(got).To(gomega.BeNumerically("<", maxStartBytes))
	})
}

// The first part of a list names 18 nodes. Where that is less than half of all, the process
// greets these as a newcomer, and each of them sent it the whole list too: 110 kB.
func TestStartingNodeInALargerFleetReceivesPeerListsFromFewNodes(t *testing.T) {
	const (
		many  = 80
		limit = 60e3 // 44 kB where the lists come from a few
	)
	runRelaysWithNodes(t, many, func(s *relayScenario) {
		got := s.bytesToStartingNode()
		t.Logf("sent to the new process in its first %v: %.0f bytes", startWatchTime, got)
		s.Expect(got).To(gomega.BeNumerically("<", limit))
	})
}

// moves returns how often nodes took another one for the scheduling node.
func (s *relayScenario) schedulerChanges() int { return len(s.loggedEvents("scheduler")) }

// Half of the relays may die at the same moment. The heartbeats of the nodes that live
// still arrive, so that nobody takes the scheduling node for dead.
func TestSchedulerDoesNotChangeWhenManyRelaysFail(t *testing.T) {
	runRelays(t, func(s *relayScenario) {
		scheduler := s.scheduler()
		var ended []string
		for i, node := range s.nodes {
			if node != scheduler && i%9 < 5 {
				ended = append(ended, node)
			}
		}
		before := s.schedulerChanges()
		for _, node := range ended {
			s.fabric.Pause(node)
		}
		time.Sleep(settleTime)
		var moved []string
		for _, node := range s.nodes {
			if !slices.Contains(ended, node) && s.deployment.Node(node).Status().Scheduler != scheduler {
				moved = append(moved, node)
			}
		}
		t.Logf("%d of %d nodes ended, %d moves", len(ended), relayNodes, s.schedulerChanges()-before)
		s.Expect(moved).To(gomega.BeEmpty(), "nodes that left the scheduling node")
		// The nodes that stand still can't be seen to have moved before they go on.
		s.Expect(s.schedulerChanges()-before).To(gomega.BeNumerically("<=", len(ended)), "moves")
	})
}

// A node that reaches only its own zone still hears the scheduling node by way of it. It
// has to notice by its calls that it does not reach that node.
func TestNodeThatReachesOnlyItsZoneServes(t *testing.T) {
	const limit = 1500 * time.Millisecond
	runRelays(t, func(s *relayScenario) {
		scheduler := s.scheduler()
		var alone string
		var others []string
		for _, node := range s.nodes {
			if zoneOf(node) != zoneOf(scheduler) {
				alone = node
				break
			}
		}
		for _, node := range s.nodes {
			if zoneOf(node) != zoneOf(alone) {
				others = append(others, node)
			}
		}
		s.Expect(s.do(alone, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK))
		s.fabric.CutGroups([]string{alone}, others)
		time.Sleep(settleTime)
		slow := 0
		for range 20 {
			got := s.do(alone, http.MethodGet, "/safe/", nil)
			if got.status != http.StatusOK || got.took > limit {
				slow++
				t.Logf("answered %d after %v", got.status, got.took)
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.Expect(slow).To(gomega.BeNumerically("<=", 2), "requests that failed or took longer than %v", limit)
	})
}
