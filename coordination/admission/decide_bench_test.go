package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// newBusyScheduler returns a scheduler of engines in five zones with six slots each and learned speeds.
// All slots are occupied, except one at every tenth engine if free is true. Each of the nodes reports
// one external request in flight.
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
			s.ObserveExternal(0, "s", replica.ID, prompt, Observation{
				FirstEvent: 60*time.Millisecond + time.Duration(prompt)*30*time.Microsecond,
				Duration:   time.Second, Events: 20, TokensPerEvent: 6,
			})
		}
		occupied := slots - s.replicaState(replica.ID).external
		if free && i%10 == 0 {
			occupied--
		}
		for slot := range occupied {
			id := fmt.Sprint(replica.ID, slot)
			s.addAssignment(id, &assignment{node: "n", service: "s", replicaID: replica.ID, promptTokens: 1000, started: slot%2 == 0})
		}
	}
	return s
}

func benchmarkRequest(id, priority int) Request {
	return Request{
		ID: fmt.Sprint("w", id), Node: "n", Service: "s", Zone: "c", Priority: priority, PromptTokens: 1000 + id%7*300, AnswerTokens: 100, TokensPerEvent: 6,
		MaxEventGap: 600 * time.Millisecond, Target: time.Second, Patience: 2 * time.Second, Deadline: 6 * time.Second, WasRejected: true,
	}
}

// BenchmarkDecide measures a round with one new request, which is assigned if a slot is free, with the
// present order and the feasible one.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct {
		engines, nodes, queued int
		free                   bool
	}{{166, 0, 0, true}, {166, 295, 0, true}, {166, 0, 200, false}, {710, 0, 0, true}, {710, 390, 0, true}, {710, 0, 200, false}} {
		for name, policy := range map[string]Policy{"": {}, "-feasible": {FeasibleOrder: true}} {
			b.Run(fmt.Sprintf("%dreplicas-%dexternal-%dqueued%s", size.engines, size.nodes, size.queued, name), func(b *testing.B) {
				s := newBusyScheduler(size.engines, size.nodes, size.free)
				s.SetPolicy(policy)
				for i := range size.queued {
					s.Submit(0, benchmarkRequest(-1-i, 2))
				}
				b.ReportAllocs()
				now := structs.Instant(time.Millisecond)
				for i := range b.N {
					request := benchmarkRequest(i, 0)
					s.Submit(now, request)
					s.Decide(now)
					s.Finish(now, request.ID, Observation{CallerLeft: true})
					s.Cancel(request.ID)
				}
			})
		}
	}
}

// everyNthID returns the ID of every nth engine; none if every is zero.
func everyNthID(engines, every int) []string {
	var ids []string
	for i := 0; every > 0 && i < engines; i += every {
		ids = append(ids, fmt.Sprintf("i-%010d", i))
	}
	return ids
}

// removeAssignmentsAt removes all assignments at the replicas.
func removeAssignmentsAt(s *Scheduler, ids map[string]bool) {
	for id, assignment := range s.assignments {
		if ids[assignment.replicaID] {
			s.removeAssignment(id)
		}
	}
}

// BenchmarkDecideWithSuspectedReplicas measures a round with a long queue and no preferred replica that
// has a free slot, while every asking node suspects a share of the replicas. These are ejected too,
// except in the not-ejected cases.
func BenchmarkDecideWithSuspectedReplicas(b *testing.B) {
	const nodes = 79
	for _, engines := range []int{140, 710} {
		for _, queued := range []int{300, 1000} {
			for _, suspects := range []struct {
				name    string
				every   int
				ejected bool
			}{{"none", 0, false}, {"quarter", 4, true}, {"quarter-not-ejected", 4, false}, {"half", 2, true}, {"half-not-ejected", 2, false}} {
				b.Run(fmt.Sprintf("%dreplicas-%dqueued-%s", engines, queued, suspects.name), func(b *testing.B) {
					s := newBusyScheduler(engines, 0, false)
					suspected := everyNthID(engines, suspects.every)
					suspectedSet := map[string]bool{}
					for _, id := range suspected {
						suspectedSet[id] = true
					}
					if suspects.ejected {
						s.SetEjected(suspectedSet)
					}
					removeAssignmentsAt(s, suspectedSet)
					for i := range queued {
						request := benchmarkRequest(-1-i, 2)
						request.Node, request.Doubted = fmt.Sprint("n", i%nodes), slices.Clone(suspected)
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
