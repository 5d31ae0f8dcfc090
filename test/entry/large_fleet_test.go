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

// A fleet large enough for delegates: four zones with three strong nodes each.
const (
	largeNodes  = 160
	strongNodes = 12
	// startDuration is the time from the start of all nodes until the fleet is stable.
	startDuration = 4 * time.Second
)

// runLargeFleet runs the test in a fleet whose nodes all started at the same time.
func runLargeFleet(t *testing.T, nodes int, test func(s *relayScenario)) {
	t.Helper()
	runNodes(t, nodes, func(s *relayScenario, settings *entry.Settings) {
		settings.Cores, settings.LinkMbps = 0.2, 20
		if slices.Index(s.nodes, settings.Name)%(nodes/strongNodes) < 1 {
			settings.Cores, settings.LinkMbps = 0.8, 200
		}
	}, startDuration, test)
}

// schedulers returns all nodes that at least one of the given nodes considers the scheduling node.
func (s *relayScenario) schedulers(nodes []string) []string {
	var names []string
	for _, node := range nodes {
		if name := s.deployment.Node(node).Status().Scheduler; !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// delegates returns the nodes that report to be delegates of their zone.
func (s *relayScenario) delegates() []string {
	var names []string
	for _, node := range s.nodes {
		if !s.deployment.Node(node).Status().NonDelegate {
			names = append(names, node)
		}
	}
	return names
}

// Guards against start-up traffic per node that grows with the fleet when all nodes start at once.
func TestStartTrafficPerNodeIsIndependentOfFleetSize(t *testing.T) {
	var costs []float64
	for _, nodes := range []int{largeNodes, 2 * largeNodes} {
		runLargeFleet(t, nodes, func(s *relayScenario) {
			sent := 0.0
			for _, node := range s.nodes {
				sent += float64(s.fabric.SentBytes(node))
			}
			costs = append(costs, sent/float64(nodes))
			s.Expect(s.schedulers(s.nodes)).To(gomega.HaveLen(1))
			t.Logf("%d nodes: %.0f bytes per node in %v, %d delegates", nodes, sent/float64(nodes), startDuration, len(s.delegates()))
		})
	}
	gomega.NewWithT(t).Expect(costs[1]).To(gomega.BeNumerically("<", 1.3*costs[0]))
}

// Guards against zones with too few or too many delegates, and against a scheduling node that
// doesn't know all nodes.
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
		s.Expect(s.deployment.Node(scheduler).Status().Live).To(gomega.HaveLen(largeNodes-1), "nodes that the scheduling node considers alive")
	})
}

// Guards against nodes that disagree on the scheduling node, don't serve or miss a configuration
// after the scheduling node, delegates or half of all nodes have died.
func TestLargeFleetAgreesOnASchedulerAfterNodesFail(t *testing.T) {
	const limit = 6 * time.Second
	for name, victims := range map[string]func(s *relayScenario) []string{
		"the scheduling node": func(s *relayScenario) []string { return []string{s.scheduler()} },
		"all delegates of a zone": func(s *relayScenario) []string {
			return slices.DeleteFunc(s.delegates(), func(node string) bool { return zoneOf(node) != relayZones[1] })
		},
		"all delegates": func(s *relayScenario) []string { return s.delegates() },
		"half of all nodes": func(s *relayScenario) []string {
			return slices.DeleteFunc(slices.Clone(s.nodes), func(node string) bool { return slices.Index(s.nodes, node)%2 == 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runLargeFleet(t, largeNodes, func(s *relayScenario) {
				killed := victims(s)
				for _, node := range killed {
					s.deployment.Node(node).Kill()
				}
				time.Sleep(limit)
				live := slices.DeleteFunc(slices.Clone(s.nodes), func(node string) bool { return slices.Contains(killed, node) })
				s.Expect(s.schedulers(live)).To(gomega.HaveLen(1))
				s.Expect(killed).NotTo(gomega.ContainElement(s.schedulers(live)[0]))
				for _, node := range live[:20] {
					s.Expect(s.do(node, http.MethodGet, "/safe/", nil).status).To(gomega.Equal(http.StatusOK), node)
				}
				s.configure(nil)
				time.Sleep(updateLimit)
				for _, node := range live {
					s.Expect(s.deployment.Node(node).Status().Version).To(gomega.Equal(s.version), node)
				}
			})
		})
	}
}

// Guards against a partitioned zone that doesn't serve by itself, or doesn't rejoin the others
// afterwards.
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
		s.fabric.Partition(inside, append(slices.Clone(outside), "store"))
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

// Guards against a restarted node that isn't ready, or follows another scheduling node, after 1 s.
func TestNodeThatRestartsInALargeFleetFindsTheScheduler(t *testing.T) {
	runLargeFleet(t, largeNodes, func(s *relayScenario) {
		nonDelegates := slices.DeleteFunc(slices.Clone(s.nodes), func(node string) bool { return !s.deployment.Node(node).Status().NonDelegate })
		for i := range 5 {
			node := nonDelegates[i*7]
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

// Guards against streams that can't go on in normal operation, as nodes take their views of the store for old or for
// interrupted: a view counts for 1.5 s, and two of them may be that far apart.
func TestViewsStayRecentInALargeFleet(t *testing.T) {
	const (
		maxViewAge = 1500
		rounds     = 100
	)
	for _, nodes := range []int{20, largeNodes} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			runNodes(t, nodes, nil, startDuration, func(s *relayScenario) {
				var ages []int64
				for range rounds {
					for _, node := range s.nodes {
						ages = append(ages, s.deployment.Node(node).Status().ViewAge)
					}
					time.Sleep(97 * time.Millisecond)
				}
				slices.Sort(ages)
				t.Logf("ages of views: median %d ms, 99%% %d ms, longest %d ms", ages[len(ages)/2], ages[len(ages)*99/100], ages[len(ages)-1])
				s.Expect(ages[0]).To(gomega.BeNumerically(">=", 0))
				s.Expect(ages[len(ages)-1]).To(gomega.BeNumerically("<=", maxViewAge))
			})
		})
	}
}
