package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/routing/reserve"
	"github.com/thornwalk/thornwalk/state/queue"
	"github.com/thornwalk/thornwalk/structs"
)

// build returns a scheduler of three tiers over replicas that all have the
// given free slots.
func build(replicas, slots int) *Scheduler {
	s := New(DefaultOptions("z", 2), rand.New(rand.NewPCG(1, 1)))
	for number := range replicas {
		id := structs.ReplicaID(fmt.Sprintf("e%03d", number))
		s.View().Upsert(structs.Replica{ID: id, Service: "llm", Zone: "z", Kind: structs.KindEngine, HardwareGeneration: "g"})
		s.View().Observe(0, structs.LoadReport{Replica: id, Age: -1, Slots: slots, KVFree: 1, PrefillRate: 10000, StepTime: 10 * time.Millisecond, Models: []string{"m"}, Role: structs.RoleBoth})
	}
	return s
}

func request(id string, rank structs.Rank, now, patience time.Duration) *structs.Request {
	return &structs.Request{
		ID: id, Tenant: "t", Route: "r", Service: "llm", Model: "m", Tier: fmt.Sprint(rank), Rank: rank, Weight: 1,
		PromptTokens: 100, MaxTokens: 20, Arrived: now, Deadline: now + patience,
	}
}

func submitAll(g *gomega.WithT, s *Scheduler, now time.Duration, requests ...*structs.Request) {
	for _, r := range requests {
		_, refused := s.Submit(now, r)
		g.Expect(refused).To(gomega.BeFalse())
	}
}

func TestHigherTierStartsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := build(1, 1)
	submitAll(g, s, 0, request("low", 2, 0, time.Minute), request("high", 0, 0, time.Minute), request("middle", 1, 0, time.Minute))
	plans := s.Schedule(0)
	g.Expect(plans).NotTo(gomega.BeEmpty())
	g.Expect(plans[0].Request.ID).To(gomega.Equal("high"))
}

func TestSweepMayEmptyTheQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	s := build(1, 1)
	submitAll(g, s, 0, request("a", 0, 0, time.Minute), request("b", 0, 0, time.Minute))
	s.Schedule(0)
	plans := s.Schedule(2 * time.Minute)
	g.Expect(plans).To(gomega.HaveLen(1))
	g.Expect(plans[0].Reason).To(gomega.Equal(structs.ReasonExpired))
	g.Expect(s.Waiting()).To(gomega.BeZero())
}

func TestFloorLetsQueuedLowerTiersGoAndRefusesNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := build(1, 1)
	submitAll(g, s, 0, request("first", 0, 0, time.Minute), request("low", 2, 0, time.Minute), request("middle", 1, 0, time.Minute))
	s.Schedule(0)
	plans := s.SetFloor("llm", Floor{RefuseFrom: 2, ShedFrom: 1})
	g.Expect(plans).To(gomega.HaveLen(1))
	g.Expect(plans[0].Request.ID).To(gomega.Equal("low"))
	plan, refused := s.Submit(0, request("late", 2, 0, time.Minute))
	g.Expect(refused).To(gomega.BeTrue())
	g.Expect(plan.Reason).To(gomega.Equal(structs.ReasonFloor))
}

func TestOverloadedTierDemandsTheFloorBeforeItSheds(t *testing.T) {
	g := gomega.NewWithT(t)
	s := build(1, 1)
	for number := range 300 {
		submitAll(g, s, 0, request(fmt.Sprint(number), 1, 0, 3*time.Second))
	}
	s.Schedule(0)
	for _, plan := range s.Schedule(100 * time.Millisecond) {
		g.Expect(plan.Verdict).To(gomega.Equal(structs.VerdictDispatch), "nothing of tier 1 may be shed yet")
	}
	g.Expect(s.Demands(100 * time.Millisecond)).To(gomega.Equal([]Demand{{Service: "llm", Rank: 1}}))
	s.SetFloor("llm", Floor{RefuseFrom: 2, ShedFrom: 1})
	shed := 0
	for _, plan := range s.Schedule(200 * time.Millisecond) {
		if plan.Reason == structs.ReasonShed {
			shed++
		}
	}
	g.Expect(shed).To(gomega.BeNumerically(">", 0))
}

func TestRequeueGoesElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	s := build(2, 4)
	submitAll(g, s, 0, request("a", 0, 0, time.Minute))
	first := s.Schedule(0)[0].Replica.ID
	_, ended := s.Requeue(time.Millisecond, "a")
	g.Expect(ended).To(gomega.BeFalse())
	g.Expect(s.Schedule(2 * time.Millisecond)[0].Replica.ID).NotTo(gomega.Equal(first))
}

func TestLeavingReplicaGetsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := build(1, 4)
	s.View().MarkLeaving("e000")
	submitAll(g, s, 0, request("a", 0, 0, time.Minute))
	g.Expect(s.Schedule(0)[0].Reason).To(gomega.Equal(structs.ReasonNoReplica))
}

func TestSlowedReplicaLosesWeightInAFewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := build(2, 8)
	now := time.Duration(0)
	chosen := map[structs.ReplicaID]int{}
	for number := range 20 {
		r := request(fmt.Sprint(number), 0, now, time.Minute)
		submitAll(g, s, now, r)
		replica := s.Schedule(now)[0].Replica.ID
		if number >= 8 {
			chosen[replica]++
		}
		pace := 10 * time.Millisecond
		if replica == "e000" {
			pace *= 10 // its reports do not show it
		}
		s.FirstToken(now+20*time.Millisecond, r.ID)
		now += 20*time.Millisecond + 19*pace
		s.Finish(now, r.ID, reserve.Result{Connected: true, Complete: true, OutputTokens: 20})
	}
	g.Expect(chosen["e001"]).To(gomega.BeNumerically(">=", 11))
}

func TestExcessGivesUpTheMostExpensive(t *testing.T) {
	g := gomega.NewWithT(t)
	items := make([]*queue.Item, 0, 4)
	for index, work := range []time.Duration{3 * time.Second, time.Second, time.Second, time.Second} {
		items = append(items, &queue.Item{Request: request(fmt.Sprint(index), 1, 0, 3*time.Second), Work: work})
	}
	given := excess(0, items, 0, 1, func(*structs.Request) time.Duration { return 0 }, 1)
	g.Expect(given).To(gomega.HaveLen(1))
	g.Expect(given[0].Request.ID).To(gomega.Equal("0"))
}

// BenchmarkDecision measures one routing decision, reservation included.
func BenchmarkDecision(b *testing.B) {
	for _, replicas := range []int{40, 710} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s := build(replicas, 1<<20)
			chain := make([]uint64, 60)
			for i := range chain {
				chain[i] = uint64(i) << 20
			}
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				r := request(fmt.Sprint(number), 0, 0, time.Hour)
				r.Prefix = chain
				chain[59] = uint64(number)
				s.Submit(0, r)
				if plans := s.Schedule(0); len(plans) != 1 {
					b.Fatal("not planned")
				}
				s.Finish(0, r.ID, reserve.Result{Connected: true})
			}
		})
	}
}
