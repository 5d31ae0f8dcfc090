package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// busyScheduler returns a scheduler of so many engines in five zones, six slots each, all
// of which are known and full, but for one place at one engine in ten if some are free. So
// many nodes tell of a request that another scheduler placed.
func newBusyScheduler(engines, nodes int, free bool) *Scheduler {
	const slots = 6
	s := New()
	zones := []string{"a", "b", "c", "d", "e"}
	var all []replicas.Replica
	for i := range engines {
		all = append(all, replicas.Replica{ID: fmt.Sprintf("i-%010d", i), Service: "s", Slots: slots, Zone: zones[i%len(zones)]})
	}
	s.SetReplicas(0, all)
	for i := range nodes {
		s.SetExternalInFlight(fmt.Sprint("node", i), map[string]int{all[i%len(all)].ID: 1})
	}
	for i, replica := range all {
		for event := range 10 {
			prompt := 500 * (event%4 + 1)
			s.Observe(0, "s", replica.ID, prompt, Observation{
				FirstEvent: 60*time.Millisecond + time.Duration(prompt)*30*time.Microsecond,
				Duration:   time.Second, Events: 20, Stride: 6,
			})
		}
		taken := slots - s.replicaState(replica.ID).external
		if free && i%10 == 0 {
			taken--
		}
		for slot := range taken {
			id := fmt.Sprint(replica.ID, slot)
			s.addAssignment(id, &assignment{node: "n", service: "s", replicaID: replica.ID, promptTokens: 1000, started: slot%2 == 0})
		}
	}
	return s
}

func benchmarkRequest(id, priority int) Request {
	return Request{
		ID: fmt.Sprint("w", id), Node: "n", Service: "s", Zone: "c", Priority: priority, Prompt: 1000 + id%7*300, Answer: 100, Stride: 6,
		Pause: 600 * time.Millisecond, Target: time.Second, Patience: 2 * time.Second, Deadline: 6 * time.Second, Returned: true,
	}
}

// BenchmarkDecide measures a round in which one more request comes, which is placed if a
// place is free.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct {
		engines, nodes, waiting int
		free                    bool
	}{{166, 0, 0, true}, {166, 295, 0, true}, {166, 0, 200, false}, {710, 0, 0, true}, {710, 390, 0, true}, {710, 0, 200, false}} {
		b.Run(fmt.Sprintf("%dreplicas-%dforeign-%dwaiting", size.engines, size.nodes, size.waiting), func(b *testing.B) {
			s := newBusyScheduler(size.engines, size.nodes, size.free)
			for i := range size.waiting {
				s.Submit(0, benchmarkRequest(-1-i, 2))
			}
			b.ReportAllocs()
			now := structs.Instant(time.Millisecond)
			for i := range b.N {
				request := benchmarkRequest(i, 0)
				s.Submit(now, request)
				s.Decide(now)
				s.Finish(now, request.ID, Observation{Left: true})
				s.Cancel(request.ID)
			}
		})
	}
}

// doubtedIDs names every so-manieth replica.
func everyNthID(engines, every int) []string {
	var ids []string
	for i := 0; every > 0 && i < engines; i += every {
		ids = append(ids, fmt.Sprintf("i-%010d", i))
	}
	return ids
}

// emptyReplicas ends what is in progress at the replicas.
func removeAssignmentsAt(s *Scheduler, ids map[string]bool) {
	for id, held := range s.assignments {
		if ids[held.replicaID] {
			s.removeAssignment(id)
		}
	}
}

// BenchmarkDecideWhileNodesDoubtReplicas measures a round in which nothing is free, many
// wait, and the nodes that ask find a part of the replicas failing, as when engines crash:
// so many nodes that none is used, or, unshared, each for itself.
func BenchmarkDecideWithSuspectedReplicas(b *testing.B) {
	const nodes = 79
	for _, engines := range []int{140, 710} {
		for _, waiting := range []int{300, 1000} {
			for _, doubt := range []struct {
				name   string
				every  int
				byMany bool
			}{{"none", 0, false}, {"quarter", 4, true}, {"quarter-unshared", 4, false}, {"half", 2, true}, {"half-unshared", 2, false}} {
				b.Run(fmt.Sprintf("%dreplicas-%dwaiting-%s", engines, waiting, doubt.name), func(b *testing.B) {
					s := newBusyScheduler(engines, 0, false)
					doubted := everyNthID(engines, doubt.every)
					failing := map[string]bool{}
					for _, id := range doubted {
						failing[id] = true
					}
					if doubt.byMany {
						s.SetEjected(failing)
					}
					removeAssignmentsAt(s, failing)
					for i := range waiting {
						request := benchmarkRequest(-1-i, 2)
						request.Node, request.Doubted = fmt.Sprint("n", i%nodes), slices.Clone(doubted)
						s.Submit(0, request)
					}
					b.ReportAllocs()
					now := structs.Instant(time.Millisecond)
					for b.Loop() {
						s.Decide(now)
					}
				})
			}
		}
	}
}
