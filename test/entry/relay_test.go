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
	settled = 5 * time.Second
)

var relayZones = []string{"north", "east", "south", "west"}

// relayZone returns the zone of the node with the name.
func relayZone(node string) string {
	var number int
	if _, err := fmt.Sscanf(node, "n%d", &number); err != nil {
		return ""
	}
	return relayZones[(number-1)%len(relayZones)]
}

func crossesZones(from, to string) bool {
	return relayZone(from) != "" && relayZone(to) != "" && relayZone(from) != relayZone(to)
}

// relayScene is a deployment of that size.
type relayScene struct {
	*scene
	nodes []string
}

func playRelays(t *testing.T, test func(s *relayScene)) {
	t.Helper()
	playRelaysAmong(t, relayNodes, test)
}

func playRelaysAmong(t *testing.T, nodes int, test func(s *relayScene)) {
	t.Helper()
	playNodes(t, nodes, nil, settled, test)
}

// playNodes plays so many nodes, which adjust may give other settings, once they had time to settle.
func playNodes(t *testing.T, nodes int, adjust func(*relayScene, *entry.Settings), settle time.Duration, test func(s *relayScene)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &relayScene{scene: &scene{WithT: gomega.NewWithT(t), fabric: memnet.New()}}
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
func (s *relayScene) crossing(run func()) float64 {
	before := s.fabric.SentWhere(crossesZones)
	run()
	return float64(s.fabric.SentWhere(crossesZones) - before)
}

// The users pay for what crosses zones. Heartbeats straight to every node of every zone
// were nearly all of it, 0.5 GB in 48 s of calm among 295 nodes.
func TestHeartbeatsCrossTheBorderOfAZoneOnce(t *testing.T) {
	const (
		watched = 20 * time.Second
		// Three heartbeats of some 350 bytes each half second, and as many confirmations;
		// senior nodes send twice as many.
		limit = 5e3
	)
	playRelays(t, func(s *relayScene) {
		rate := s.crossing(func() { time.Sleep(watched) }) / watched.Seconds() / relayNodes
		t.Logf("between zones: %.0f bytes a node and second", rate)
		s.Expect(rate).To(gomega.BeNumerically("<", limit), "bytes a node and second between zones")
		for _, node := range s.nodes {
			s.Expect(s.lab.Node(node).Status().Live).To(gomega.HaveLen(relayNodes-1), node)
		}
	})
}

const (
	// toldWatched is the time after the start of a process in which what it is sent is
	// counted.
	toldWatched = time.Second
	// toldLimit is an answer and a regular heartbeat or two from each node, some 400 bytes
	// each, and a few lists of 3 kB; 68 kB when each node sent the list.
	toldLimit = 45e3
)

// toldAtStart starts the last node again and returns the bytes that it is sent.
func (s *relayScene) toldAtStart() float64 {
	node := s.nodes[len(s.nodes)-1]
	toNode := func(_, to string) bool { return to == node }
	s.lab.Node(node).Kill()
	time.Sleep(settled)
	before := s.fabric.SentWhere(toNode)
	s.Expect(s.lab.StartNode(node, relayZone(node))).To(gomega.Succeed())
	time.Sleep(toldWatched)
	s.Expect(s.lab.Node(node).Status().Live).To(gomega.HaveLen(len(s.nodes) - 1))
	return float64(s.fabric.SentWhere(toNode) - before)
}

// A process that starts again hears of the nodes from a few, and not from each node that
// it greets.
func TestAStartIsToldTheNodesByFew(t *testing.T) {
	playRelays(t, func(s *relayScene) {
		got := s.toldAtStart()
		t.Logf("sent to the new process in its first %v: %.0f bytes", toldWatched, got)
		s.Expect(got).To(gomega.BeNumerically("<", toldLimit))
	})
}

// The first part of a list names 18 nodes. Where that is less than half of all, the process
// greets these as a newcomer, and each of them sent it the whole list too: 110 kB.
func TestAStartAmongManyIsToldTheNodesByFew(t *testing.T) {
	const (
		many  = 80
		limit = 60e3 // 44 kB where the lists come from a few
	)
	playRelaysAmong(t, many, func(s *relayScene) {
		got := s.toldAtStart()
		t.Logf("sent to the new process in its first %v: %.0f bytes", toldWatched, got)
		s.Expect(got).To(gomega.BeNumerically("<", limit))
	})
}

// moves returns how often nodes took another one for the scheduling node.
func (s *relayScene) moves() int { return len(s.events("scheduler")) }

// Half of the relays may die at the same moment. The heartbeats of the nodes that live
// still arrive, so that nobody takes the scheduling node for dead.
func TestSchedulingNodeIsHeardThoughManyRelaysDie(t *testing.T) {
	playRelays(t, func(s *relayScene) {
		scheduler := s.scheduler()
		var ended []string
		for i, node := range s.nodes {
			if node != scheduler && i%9 < 5 {
				ended = append(ended, node)
			}
		}
		before := s.moves()
		for _, node := range ended {
			s.fabric.Pause(node)
		}
		time.Sleep(settled)
		var moved []string
		for _, node := range s.nodes {
			if !slices.Contains(ended, node) && s.lab.Node(node).Status().Scheduler != scheduler {
				moved = append(moved, node)
			}
		}
		t.Logf("%d of %d nodes ended, %d moves", len(ended), relayNodes, s.moves()-before)
		s.Expect(moved).To(gomega.BeEmpty(), "nodes that left the scheduling node")
		// The nodes that stand still can't be seen to have moved before they go on.
		s.Expect(s.moves()-before).To(gomega.BeNumerically("<=", len(ended)), "moves")
	})
}

// A node that reaches only its own zone still hears the scheduling node by way of it. It
// has to notice by its calls that it does not reach that node.
func TestNodeThatReachesOnlyItsZoneGoesOnServing(t *testing.T) {
	const limit = 1500 * time.Millisecond
	playRelays(t, func(s *relayScene) {
		scheduler := s.scheduler()
		var alone string
		var others []string
		for _, node := range s.nodes {
			if relayZone(node) != relayZone(scheduler) {
				alone = node
				break
			}
		}
		for _, node := range s.nodes {
			if relayZone(node) != relayZone(alone) {
				others = append(others, node)
			}
		}
		s.Expect(s.get(alone, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK))
		s.fabric.CutGroups([]string{alone}, others)
		time.Sleep(settled)
		slow := 0
		for range 20 {
			got := s.get(alone, http.MethodGet, "/safe/", nil)
			if got.status != http.StatusOK || got.took > limit {
				slow++
				t.Logf("answered %d after %v", got.status, got.took)
			}
			time.Sleep(200 * time.Millisecond)
		}
		s.Expect(slow).To(gomega.BeNumerically("<=", 2), "requests that failed or took longer than %v", limit)
	})
}
