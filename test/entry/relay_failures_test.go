package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

const (
	// relayFailureStep is the time between failures of relays one after another: two heartbeats of a
	// scheduling node.
	relayFailureStep = 500 * time.Millisecond
	// relayFailureWatchTime covers the failure timeouts of all nodes.
	relayFailureWatchTime = 5 * time.Second
	livenessCheckInterval = 100 * time.Millisecond
)

// relayFailure is a course of nodes that fail.
type relayFailure struct {
	name string
	// steps returns the nodes that fail at each step, relayFailureStep apart.
	steps func(s *relayScenario, scheduler string) [][]string
}

// nodesWhere returns the nodes other than the scheduling node for which matches returns true. It is given the
// node's rank in the zone, by name and without the scheduling node.
func (s *relayScenario) nodesWhere(scheduler string, matches func(node string, rank int) bool) []string {
	var selected []string
	ranks := map[string]int{}
	for _, node := range s.others(scheduler) {
		if matches(node, ranks[zoneOf(node)]) {
			selected = append(selected, node)
		}
		ranks[zoneOf(node)]++
	}
	return selected
}

// others returns the nodes other than the given one.
func (s *relayScenario) others(node string) []string {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(other string) bool { return other == node })
}

var relayFailures = []relayFailure{
	{name: "half of all nodes", steps: func(s *relayScenario, scheduler string) [][]string {
		return [][]string{s.nodesWhere(scheduler, func(_ string, rank int) bool { return rank%2 == 0 })}
	}},
	{name: "all but one node of each zone", steps: func(s *relayScenario, scheduler string) [][]string {
		return [][]string{s.nodesWhere(scheduler, func(_ string, rank int) bool { return rank > 0 })}
	}},
	{name: "one node of each zone after another", steps: func(s *relayScenario, scheduler string) [][]string {
		var steps [][]string
		for failed := range len(s.nodes)/len(relayZones) - 1 {
			steps = append(steps, s.nodesWhere(scheduler, func(_ string, rank int) bool { return rank == failed }))
		}
		return steps
	}},
	{name: "a third of all nodes, three times", steps: func(s *relayScenario, scheduler string) [][]string {
		var steps [][]string
		for failed := range 3 {
			steps = append(steps, s.nodesWhere(scheduler, func(_ string, rank int) bool { return rank > 0 && rank%3 == failed }))
		}
		return steps
	}},
}

// schedulerChangesAt returns the scheduler changes that the nodes logged from the offset on.
func (s *relayScenario) schedulerChangesAt(nodes []string, offset int) []eventlog.Event {
	changes := s.loggedEventsFrom(offset, "scheduler")
	return slices.DeleteFunc(changes, func(event eventlog.Event) bool { return !slices.Contains(nodes, event.Node) })
}

// checkRunningNodes checks for the time that the scheduling node and the other running nodes hear each other.
func (s *relayScenario) checkRunningNodes(scheduler string, running []string, duration time.Duration) {
	for range duration / livenessCheckInterval {
		time.Sleep(livenessCheckInterval)
		status := s.deployment.Node(scheduler).Status()
		for _, node := range running {
			s.Expect(status.Live).To(gomega.ContainElement(node), "live nodes at the scheduling node")
			s.Expect(s.deployment.Node(node).Status().Live).To(gomega.ContainElement(scheduler), "live nodes at %s", node)
		}
	}
}

// Guards against running nodes that miss the heartbeats of the scheduling node, and it theirs, when the
// nodes fail that relay them, at one moment or one after another.
func TestRunningNodesHearTheSchedulingNodeWhenRelaysFail(t *testing.T) {
	for _, nodes := range []int{relayNodes, 72} {
		for _, failure := range relayFailures {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, failure.name), func(t *testing.T) {
				runRelaysWithNodes(t, nodes, func(s *relayScenario) {
					scheduler := s.scheduler()
					running := s.others(scheduler)
					offset := s.logs.size()
					for _, failed := range failure.steps(s, scheduler) {
						for _, node := range failed {
							s.fabric.Pause(node)
						}
						running = slices.DeleteFunc(running, func(node string) bool { return slices.Contains(failed, node) })
						s.checkRunningNodes(scheduler, running, relayFailureStep)
					}
					s.checkRunningNodes(scheduler, running, relayFailureWatchTime)
					s.Expect(s.schedulerChangesAt(append(running, scheduler), offset)).To(gomega.BeEmpty(), "scheduler changes at running nodes")
				})
			})
		}
	}
}

// Guards against nodes of a large fleet that lose the scheduling node when most delegates fail, which
// relay its heartbeats.
func TestRunningNodesOfALargeFleetKeepTheirSchedulingNodeWhenDelegatesFail(t *testing.T) {
	for _, together := range []bool{true, false} {
		t.Run(fmt.Sprintf("at once %v", together), func(t *testing.T) {
			runLargeFleet(t, largeNodes, func(s *relayScenario) {
				scheduler := s.scheduler()
				running, left := slices.Clone(s.nodes), map[string]bool{}
				offset := s.logs.size()
				for _, node := range s.delegates() {
					if node == scheduler || !left[zoneOf(node)] {
						left[zoneOf(node)] = true
						continue
					}
					s.fabric.Pause(node)
					running = slices.DeleteFunc(running, func(other string) bool { return other == node })
					if !together {
						time.Sleep(relayFailureStep)
					}
				}
				time.Sleep(relayFailureWatchTime)
				t.Logf("%d of %d nodes run", len(running), largeNodes)
				s.Expect(s.schedulerChangesAt(running, offset)).To(gomega.BeEmpty(), "scheduler changes at running nodes")
				s.Expect(s.schedulers(running)).To(gomega.Equal([]string{scheduler}))
			})
		})
	}
}

// Guards against logs in which a scheduling node that was missed for a short time looks like one that failed.
func TestLogTellsAMissedSchedulingNodeFromAFailedOne(t *testing.T) {
	runRelaysWithNodes(t, 9, func(s *relayScenario) {
		reasons := func(node string, offset int) []string {
			var found []string
			for _, event := range s.schedulerChangesAt([]string{node}, offset) {
				found = append(found, event.Reason)
			}
			return found
		}
		scheduler := s.scheduler()
		follower := s.others(scheduler)[0]
		offset := s.logs.size()
		s.fabric.Partition([]string{scheduler}, []string{follower})
		time.Sleep(time.Second)
		s.Expect(reasons(follower, offset)).To(gomega.Equal([]string{"silent"}))
		s.fabric.Heal()
		time.Sleep(pairReunionTime)
		s.Expect(reasons(follower, offset)).To(gomega.Equal([]string{"silent", "heard-again"}))
		offset = s.logs.size()
		s.deployment.Node(scheduler).Kill()
		time.Sleep(settleTime)
		s.Expect(reasons(follower, offset)).To(gomega.Equal([]string{"silent"}))
		offset = s.logs.size()
		s.Expect(s.deployment.StartNode(scheduler, zoneOf(scheduler))).To(gomega.Succeed())
		time.Sleep(settleTime)
		s.Expect(reasons(follower, offset)).To(gomega.Equal([]string{"preferred"}))
	})
}

// Guards against relays that fail without a trace in the logs.
func TestLogTellsWhenRelaysFailAndWhoRelaysThen(t *testing.T) {
	runRelays(t, func(s *relayScenario) {
		scheduler := s.scheduler()
		failing := s.nodesWhere(scheduler, func(_ string, rank int) bool { return rank < 5 })
		offset := s.logs.size()
		time.Sleep(settleTime)
		s.Expect(s.loggedEventsFrom(offset, "relay")).To(gomega.BeEmpty(), "while all relays run")
		for _, node := range failing {
			s.fabric.Pause(node)
		}
		time.Sleep(2 * relayFailureStep)
		unconfirmed := map[string]bool{}
		confirmed := 0
		for _, event := range s.loggedEventsFrom(offset, "relay") {
			if slices.Contains(failing, event.Node) {
				continue
			}
			if event.Outcome == "unconfirmed" {
				s.Expect(failing).To(gomega.ContainElement(event.Peer))
				unconfirmed[event.Node+event.Detail] = true
				continue
			}
			s.Expect(failing).NotTo(gomega.ContainElement(event.Peer))
			s.Expect(unconfirmed).To(gomega.HaveKey(event.Node + event.Detail))
			confirmed++
		}
		s.Expect(confirmed).To(gomega.BeNumerically(">", 0))
	})
}
