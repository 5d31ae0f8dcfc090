package entry

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
)

// The deployment that is large enough for delegates: four zones, three strong nodes in each.
const (
	largeNodes  = 160
	strongNodes = 12
	// startTime is the time after which a large fleet that starts at once has settled.
	startDuration = 4 * time.Second
)

// playLarge plays a large fleet whose nodes all start at once.
func runLargeFleet(t *testing.T, nodes int, test func(s *relayScenario)) {
	t.Helper()
	runNodes(t, nodes, func(s *relayScenario, settings *entry.Settings) {
		settings.Cores, settings.LinkMbps = 0.2, 20
		if slices.Index(s.nodes, settings.Name)%(nodes/strongNodes) < 1 {
			settings.Cores, settings.LinkMbps = 0.8, 200
		}
	}, startDuration, test)
}

// schedulers returns the nodes that any of the nodes takes for the scheduling one.
func (s *relayScenario) schedulers(nodes []string) []string {
	var names []string
	for _, node := range nodes {
		if name := s.deployment.Node(node).Status().Scheduler; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// delegates returns the nodes that say to speak for their zone.
func (s *relayScenario) delegates() []string {
	var names []string
	for _, node := range s.nodes {
		if !s.deployment.Node(node).Status().NonDelegate {
			names = append(names, node)
		}
	}
	return names
}

// The work of a start of all nodes grew with the cube of the fleet: each node greeted each other
// one, was told all names by many, and chose among all nodes anew with each that it heard of.
func TestStartTrafficPerNodeIsIndependentOfFleetSize(t *testing.T) {
	var costs []float64
	for _, nodes := range []int{largeNodes, 2 * largeNodes} {
		runLargeFleet(t, nodes, func(s *relayScenario) {
			sent := 0.0
			for _, node := range s.nodes {
				sent += float64(s.fabric.Sent(node))
			}
			costs = append(costs, sent/float64(nodes))
			s.Expect(s.schedulers(s.nodes)).To(gomega.HaveLen(1))
			t.Logf("%d nodes: %.0f bytes a node in %v, %d delegates", nodes, sent/float64(nodes), startDuration, len(s.delegates()))
		})
	}
	gomega.NewWithT(t).Expect(costs[1]).To(gomega.BeNumerically("<", 1.3*costs[0]))
}

func TestLargeFleetHasFewDelegatesInEachZone(t *testing.T) {
	runLargeFleet(t, largeNodes, func(s *relayScenario) {
		zones := map[string]int{}
		for _, node := range s.delegates() {
			zones[zoneOf(node)]++
		}
		for _, zone := range relayZones {
			s.Expect(zones[zone]).To(gomega.BeNumerically("~", 4, 1), zone)
		}
		scheduler := s.scheduler()
		s.Expect(s.deployment.Node(scheduler).Status().Live).To(gomega.HaveLen(largeNodes-1), "it hears all")
	})
}

// The death of the scheduling node, of all delegates of a zone, or of half of all nodes: those that
// live agree again and serve.
func TestLargeFleetAgreesOnASchedulerAfterNodesFail(t *testing.T) {
	const limit = 6 * time.Second
	for name, victims := range map[string]func(s *relayScenario) []string{
		"the scheduling node": func(s *relayScenario) []string { return []string{s.scheduler()} },
		"all delegates of a zone": func(s *relayScenario) []string {
			return slices.DeleteFunc(s.delegates(), func(node string) bool { return zoneOf(node) != relayZones[1] })
		},
		"all delegates": func(s *relayScenario) []string { return s.delegates() },
		"half of all": func(s *relayScenario) []string {
			return slices.DeleteFunc(slices.Clone(s.nodes), func(node string) bool { return slices.Index(s.nodes, node)%2 == 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			runLargeFleet(t, largeNodes, func(s *relayScenario) {
				ended := victims(s)
				for _, node := range ended {
					s.deployment.Node(node).Kill()
				}
				time.Sleep(limit)
				left := slices.DeleteFunc(slices.Clone(s.nodes), func(node string) bool { return slices.Contains(ended, node) })
				s.Expect(s.schedulers(left)).To(gomega.HaveLen(1))
				s.Expect(ended).NotTo(gomega.ContainElement(s.schedulers(left)[0]))
				for _, node := range left[:20] {
					s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK), node)
				}
				s.configure(nil)
				time.Sleep(updateLimit)
				for _, node := range left {
					s.Expect(s.deployment.Node(node).Status().Version).To(gomega.Equal(s.version), node)
				}
			})
		})
	}
}

// A zone that is cut off goes on by itself, and is one with the others again once the cut heals.
func TestPartitionedZoneOfALargeFleetServes(t *testing.T) {
	runLargeFleet(t, largeNodes, func(s *relayScenario) {
		var inside, outside []string
		for _, node := range s.nodes {
			if zoneOf(node) == relayZones[1] {
				inside = append(inside, node)
			} else {
				outside = append(outside, node)
			}
		}
		s.fabric.CutGroups(inside, append(slices.Clone(outside), "store"))
		time.Sleep(6 * time.Second)
		s.Expect(s.schedulers(inside)).To(gomega.HaveLen(1))
		s.Expect(s.schedulers(outside)).To(gomega.HaveLen(1))
		s.Expect(inside).To(gomega.ContainElement(s.schedulers(inside)[0]))
		for i := range 10 {
			s.Expect(s.do(inside[i], http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK), inside[i])
		}
		s.configure(nil)
		s.fabric.Heal()
		time.Sleep(6 * time.Second)
		s.Expect(s.schedulers(s.nodes)).To(gomega.HaveLen(1))
		for _, node := range s.nodes {
			s.Expect(s.deployment.Node(node).Status().Version).To(gomega.Equal(s.version), node)
		}
		s.Expect(len(s.delegates())).To(gomega.BeNumerically("~", 16, 3))
	})
}

// A new process among many is ready and knows the scheduling node within a second.
func TestNodeThatRestartsInALargeFleetFindsTheScheduler(t *testing.T) {
	runLargeFleet(t, largeNodes, func(s *relayScenario) {
		ordinary := slices.DeleteFunc(slices.Clone(s.nodes), func(node string) bool { return !s.deployment.Node(node).Status().NonDelegate })
		for i := range 5 {
			node := ordinary[i*7]
			s.deployment.Node(node).Kill()
			s.Expect(s.deployment.StartNode(node, zoneOf(node))).To(gomega.Succeed())
			time.Sleep(time.Second)
			status := s.deployment.Node(node).Status()
			s.Expect(status.Ready).To(gomega.BeTrue(), node)
			s.Expect(status.Scheduler).To(gomega.Equal(s.scheduler()), node)
		}
		s.Expect(s.schedulers(s.nodes)).To(gomega.HaveLen(1), fmt.Sprint(s.delegates()))
	})
}
