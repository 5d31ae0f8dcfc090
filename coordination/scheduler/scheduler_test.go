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

// newTestScheduler returns a scheduler with three tiers, whose replicas have the
// selected number of free slots each.
func newTestScheduler(replicas, slots int) *Scheduler {
	s := New(DefaultOptions("z", 2), rand.New(rand.NewPCG(1, 1)))
	for number := range replicas {
		id := structs.ReplicaID(fmt.Sprintf("e%03d", number))
		s.View().Upsert(structs.Replica{ID: id, Service: "llm", Zone: "z", Kind: structs.KindEngine, HardwareGeneration: "g"})
		s.View().Observe(0, structs.LoadReport{Replica: id, Age: -1, Slots: slots, KVFree: 1, PrefillRate: 10000, StepTime: 10 * time.Millisecond, Models: []string{"m"}, Role: structs.RoleBoth})
	}
	return s
}

func newTestRequest(id string, rank structs.Rank, now, timeout time.Duration) *structs.Request {
	return &structs.Request{
		ID: id, Tenant: "t", Route: "r", Service: "llm", Model: "m", Tier: fmt.Sprint(rank), Rank: rank, Weight: 1,
		PromptTokens: 100, MaxTokens: 20, Arrived: now, Deadline: now + timeout,
	}
}

func submitAll(g *gomega.WithT, s *Scheduler, now time.Duration, requests ...*structs.Request) {
	for _, r := range requests {
		_, rejected := s.Submit(now, r)
		g.Expect(rejected).To(gomega.BeFalse())
	}
}

// A request of a lower tier must not be dispatched before one of a higher tier.
func TestHigherTierIsAssignedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 1)
	submitAll(g, s, 0, newTestRequest("low", 2, 0, time.Minute), newTestRequest("high", 0, 0, time.Minute), newTestRequest("middle", 1, 0, time.Minute))
	plans := s.Schedule(0)
	g.Expect(plans).NotTo(gomega.BeEmpty())
	g.Expect(plans[0].Request.ID).To(gomega.Equal("high"))
}

// Schedule must not fail if the sweep removes all queued requests.
func TestSweepEmptiesQueueOfExpiredRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 1)
	submitAll(g, s, 0, newTestRequest("a", 0, 0, time.Minute), newTestRequest("b", 0, 0, time.Minute))
	s.Schedule(0)
	plans := s.Schedule(2 * time.Minute)
	g.Expect(plans).To(gomega.HaveLen(1))
	g.Expect(plans[0].Reason).To(gomega.Equal(structs.ReasonExpired))
	g.Expect(s.QueuedCount()).To(gomega.BeZero())
}

// A raised floor must reject lower tiers that are queued as well as new ones.
func TestFloorRejectsQueuedAndNewLowerTierRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 1)
	submitAll(g, s, 0, newTestRequest("first", 0, 0, time.Minute), newTestRequest("low", 2, 0, time.Minute), newTestRequest("middle", 1, 0, time.Minute))
	s.Schedule(0)
	plans := s.SetFloor("llm", Floor{RefuseFrom: 2, ShedFrom: 1})
	g.Expect(plans).To(gomega.HaveLen(1))
	g.Expect(plans[0].Request.ID).To(gomega.Equal("low"))
	plan, rejected := s.Submit(0, newTestRequest("late", 2, 0, time.Minute))
	g.Expect(rejected).To(gomega.BeTrue())
	g.Expect(plan.Reason).To(gomega.Equal(structs.ReasonFloor))
}

// A tier above the lowest must not shed requests before the zone raised the floor.
func TestOverloadedTierDemandsFloorBeforeShedding(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 1)
	for number := range 300 {
		submitAll(g, s, 0, newTestRequest(fmt.Sprint(number), 1, 0, 3*time.Second))
	}
	s.Schedule(0)
	for _, plan := range s.Schedule(100 * time.Millisecond) {
		g.Expect(plan.Verdict).To(gomega.Equal(structs.VerdictDispatch), "no request of tier 1 may be shed before the floor is raised")
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

// A requeued request must not be dispatched again to the replica that failed.
func TestRequeuedRequestIsAssignedToAnotherReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(2, 4)
	submitAll(g, s, 0, newTestRequest("a", 0, 0, time.Minute))
	first := s.Schedule(0)[0].Replica.ID
	_, rejected := s.Requeue(time.Millisecond, "a")
	g.Expect(rejected).To(gomega.BeFalse())
	g.Expect(s.Schedule(2 * time.Millisecond)[0].Replica.ID).NotTo(gomega.Equal(first))
}

// A leaving replica must not get new requests.
func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 4)
	s.View().MarkLeaving("e000")
	submitAll(g, s, 0, newTestRequest("a", 0, 0, time.Minute))
	g.Expect(s.Schedule(0)[0].Reason).To(gomega.Equal(structs.ReasonNoReplica))
}

// A replica that answers more slowly than it reports must lose traffic soon.
func TestSlowReplicaIsAvoidedAfterAFewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(2, 8)
	now := time.Duration(0)
	chosen := map[structs.ReplicaID]int{}
	for number := range 20 {
		r := newTestRequest(fmt.Sprint(number), 0, now, time.Minute)
		submitAll(g, s, now, r)
		replica := s.Schedule(now)[0].Replica.ID
		if number >= 8 {
			chosen[replica]++
		}
		stepTime := 10 * time.Millisecond
		if replica == "e000" {
			stepTime *= 10 // not visible in its reports
		}
		s.FirstToken(now+20*time.Millisecond, r.ID)
		now += 20*time.Millisecond + 19*stepTime
		s.Finish(now, r.ID, reserve.Result{Sent: true, Complete: true, OutputTokens: 20})
	}
	g.Expect(chosen["e001"]).To(gomega.BeNumerically(">=", 11))
}

// Shedding must remove as few requests as possible: the most expensive ones.
func TestSelectToShedPicksMostExpensiveRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	items := make([]*queue.Item, 0, 4)
	for index, work := range []time.Duration{3 * time.Second, time.Second, time.Second, time.Second} {
		items = append(items, &queue.Item{Request: newTestRequest(fmt.Sprint(index), 1, 0, 3*time.Second), Work: work})
	}
	selected := selectToShed(0, items, 0, 1, func(*structs.Request) time.Duration { return 0 }, 1)
	g.Expect(selected).To(gomega.HaveLen(1))
	g.Expect(selected[0].Request.ID).To(gomega.Equal("0"))
}

// BenchmarkDecision measures one routing decision with its reservation.
func BenchmarkDecision(b *testing.B) {
	for _, replicas := range []int{40, 710} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			s := newTestScheduler(replicas, 1<<20)
			chain := make([]uint64, 60)
			for i := range chain {
				chain[i] = uint64(i) << 20
			}
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				r := newTestRequest(fmt.Sprint(number), 0, 0, time.Hour)
				r.Prefix = chain
				chain[59] = uint64(number)
				s.Submit(0, r)
				if plans := s.Schedule(0); len(plans) != 1 {
					b.Fatal("Schedule did not plan the request")
				}
				s.Finish(0, r.ID, reserve.Result{Sent: true})
			}
		})
	}
}
