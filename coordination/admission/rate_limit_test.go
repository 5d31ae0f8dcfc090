package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

func setLimit(perSecond float64) pushback.Limit {
	return pushback.Limit{State: pushback.LimitSet, PerSecond: perSecond}
}

// limitedScheduler leads for all nodes, and its only replica names the limit.
func limitedScheduler(now structs.Instant, perSecond float64) *Scheduler {
	s := New()
	s.SetReplicas(now, coldPool(1, 0))
	s.SetFollowerShare(now, 1)
	s.ApplyPushbackReport(now, pushback.Report{Life: pushback.Incarnation{Replica: "r0"}, Limit: setLimit(perSecond)})
	return s
}

func TestRateLimitedReplicaGetsItsRate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 10)
	given := submitAndAssign(s, 0, 5)
	g.Expect(given).To(gomega.BeZero(), "its bank begins empty")
	for now := 10 * ms; now <= 10*time.Second; now += 10 * ms {
		given += submitAndAssign(s, now, 1)
	}
	g.Expect(given).To(gomega.BeNumerically("~", 10*refillShare*10, 1))
}

// A scheduler that nobody follows gives nothing: what it would give is in nobody's bank.
func TestSchedulerWithoutFollowersAssignsNothingToRateLimitedReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 10)
	s.SetFollowerShare(time.Second, 0)
	g.Expect(submitAndAssign(s, 2*time.Second, 10)).To(gomega.BeZero())
	s.SetFollowerShare(3*time.Second, 0.5)
	g.Expect(submitAndAssign(s, 3*time.Second, 10)).To(gomega.BeZero(), "it begins to lead with empty banks")
	g.Expect(assignedIDs(s.Decide(4 * time.Second))).NotTo(gomega.BeEmpty())
}

// The higher tier and the earlier deadline go first where all replicas are limited; who waits longer
// than the rate allows is told when to come back.
func TestRateLimitedReplicaServesHigherTierFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 2)
	for i := range 10 {
		s.Submit(0, firstRequest(fmt.Sprint("lower", i), 2))
	}
	s.Submit(0, firstRequest("higher", 0))
	var placed []string
	for now := structs.Instant(0); now < 2*time.Second; now += 50 * ms {
		for _, decision := range s.Decide(now) {
			if decision.Reason == ReasonNone {
				placed = append(placed, decision.ID)
				continue
			}
			g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0), decision.ID)
		}
	}
	g.Expect(placed).To(gomega.HaveLen(1), "the rest is told to come back within its target")
	g.Expect(placed[0]).To(gomega.Equal("higher"))
}

// newcomer is a request that was not refused before.
func firstRequest(id string, priority int) Request {
	r := newRequest(id, priority)
	r.Returned = false
	return r
}

// An answer to a request that was placed before the limit was heard says nothing of it.
func TestOnlyAnswerToLaterRequestEndsRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, coldPool(1, 0))
	s.SetFollowerShare(0, 1)
	s.Submit(time.Second, newRequest("before", 0))
	g.Expect(assignedIDs(s.Decide(time.Second))).To(gomega.ConsistOf("before"))
	s.ApplyPushbackReport(2*time.Second, pushback.Report{Life: pushback.Incarnation{Replica: "r0"}, Limit: setLimit(1), Age: 100 * ms})
	s.ApplyPushback(3*time.Second, "before", pushback.Signals{Limit: pushback.Limit{State: pushback.LimitNone}})
	g.Expect(submitAndAssign(s, 3*time.Second, 5)).To(gomega.BeZero(), "the limit holds")
	s.ApplyPushbackReport(5*time.Second, pushback.Report{Life: pushback.Incarnation{Replica: "r0"}, Limit: pushback.Limit{State: pushback.LimitNone}, Age: time.Second})
	g.Expect(s.replicaStates["r0"].limit.known.IsSet()).To(gomega.BeFalse())
	s.ApplyPushbackReport(6*time.Second, pushback.Report{Life: pushback.Incarnation{Replica: "r0"}, Limit: setLimit(1), Age: 4 * time.Second})
	g.Expect(s.replicaStates["r0"].limit.known.IsSet()).To(gomega.BeFalse(), "older than the end")
}

// A replica that starts again is another one, and one that is not listed names nothing.
func TestRateLimitEndsWithReplicaIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 1)
	again := coldPool(1, 0)
	again[0].StartedAt, again[0].Position = 7, 9
	s.SetReplicas(time.Second, again)
	g.Expect(s.replicaStates["r0"].limit.known.IsSet()).To(gomega.BeFalse())
	s.ApplyPushbackReport(time.Second, pushback.Report{Life: pushback.Incarnation{Replica: "elsewhere"}, Limit: setLimit(1)})
	g.Expect(s.replicaStates).NotTo(gomega.HaveKey("elsewhere"))
}

// limitedFleet is schedulers that nodes follow in any order, before one replica that names a limit, as
// a run of the check draws it.
type limitedFleet struct {
	perSecond  float64
	schedulers []*Scheduler
	// follows has the scheduler of each node, and counted the time until which each scheduler counts
	// each node as following it.
	followed     []int
	countedUntil []map[int]structs.Instant
	// unheardAt is when each node last went over without the scheduler that it left hearing of it.
	unnoticedAt []structs.Instant
	now         structs.Instant
	assignedAt  []structs.Instant
	// believes is true if a scheduler goes by its belief that it leads, and not by who follows it.
	claimsAll bool
}

const (
	fleetNodes      = 5
	fleetSchedulers = 3
	// limitWindow is the time in which requests are counted.
	limitWindow = 4 * time.Second
)

func newLimitedFleet(perSecond float64) *limitedFleet {
	f := &limitedFleet{perSecond: perSecond, now: time.Hour}
	for range fleetSchedulers {
		f.schedulers = append(f.schedulers, nil)
		f.countedUntil = append(f.countedUntil, map[int]structs.Instant{})
	}
	for which := range f.schedulers {
		f.restart(which)
	}
	for node := range fleetNodes {
		f.followed = append(f.followed, 0)
		f.unnoticedAt = append(f.unnoticedAt, 0)
		f.countedUntil[0][node] = 1 << 62
	}
	f.updateShares()
	return f
}

// start starts the scheduler anew. Who follows it tells so at once.
func (f *limitedFleet) restart(which int) {
	f.schedulers[which] = limitedScheduler(f.now, f.perSecond)
	f.schedulers[which].SetFollowerShare(f.now, 0)
	clear(f.countedUntil[which])
	for node, follows := range f.followed {
		if follows == which {
			f.countedUntil[which][node] = 1 << 62
		}
	}
}

// goOver has the node follow another scheduler. The one that it left counts it for a while if it does
// not hear of that, which happens once in a window.
func (f *limitedFleet) switchTo(node, to int, unheard bool) {
	from := f.followed[node]
	if from == to {
		return
	}
	delete(f.countedUntil[from], node)
	if unheard && f.now-f.unnoticedAt[node] > limitWindow+FollowTime {
		f.countedUntil[from][node], f.unnoticedAt[node] = f.now+FollowTime, f.now
	}
	f.followed[node] = to
	f.countedUntil[to][node] = 1 << 62
}

func (f *limitedFleet) updateShares() {
	for which, scheduler := range f.schedulers {
		count := 0
		for _, until := range f.countedUntil[which] {
			if f.now < until {
				count++
			}
		}
		part := float64(count) / fleetNodes
		if f.claimsAll && count > 0 {
			part = 1
		}
		scheduler.SetFollowerShare(f.now, part)
	}
}

// ask has the node ask its scheduler for places.
func (f *limitedFleet) ask(node, count int) {
	s := f.schedulers[f.followed[node]]
	for range submitAndAssign(s, f.now, count) {
		f.assignedAt = append(f.assignedAt, f.now)
	}
	for id := range s.queued {
		s.Cancel(id)
	}
}

// check looks at every window.
func (f *limitedFleet) check() error {
	allowed := 1.5*f.perSecond*limitWindow.Seconds() + 5
	for i, from := range f.assignedAt {
		count := 0
		for _, at := range f.assignedAt[i:] {
			if at < from+limitWindow {
				count++
			}
		}
		if float64(count) > allowed {
			return fmt.Errorf("%d requests in %v from %v, %.1f allowed", count, limitWindow, from, allowed)
		}
	}
	return nil
}

// Whoever schedules for whom and however often that changes, a limited replica gets no more than the
// bound from all nodes together.
func TestRateLimitHoldsAcrossSchedulers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLimitedFleet(rapid.SampledFrom([]float64{0, 0.3, 1, 2.5, 10, 100}).Draw(t, "limit"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * ms
			f.updateShares()
			node := rapid.IntRange(0, fleetNodes-1).Draw(t, "node")
			which := rapid.IntRange(0, fleetSchedulers-1).Draw(t, "scheduler")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				f.restart(which)
			case 1:
				f.switchTo(node, which, rapid.Bool().Draw(t, "unheard"))
			case 2:
				for each := range fleetNodes {
					f.switchTo(each, which, rapid.Bool().Draw(t, "unheard"))
				}
			default:
				f.ask(node, rapid.IntRange(1, 60).Draw(t, "requests"))
			}
			f.updateShares()
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// The check must see what it is for: schedulers that each believe to lead for all exceed the limit.
func TestSchedulersClaimingAllFollowersExceedRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, believes := range []bool{false, true} {
		f := newLimitedFleet(100)
		f.claimsAll = believes
		f.switchTo(3, 1, false)
		f.switchTo(4, 1, false)
		for range 100 {
			f.now += 50 * ms
			f.updateShares()
			for node := range fleetNodes {
				f.ask(node, 20)
			}
		}
		g.Expect(f.check() != nil).To(gomega.Equal(believes))
	}
}

func TestLeavingReplicaGetsNoRequestsInThatIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, coldPool(2, 0))
	s.ApplyPushbackReport(0, pushback.Report{Life: pushback.Incarnation{Replica: "r0"}, Leaving: true})
	s.ApplyPushbackReport(time.Second, pushback.Report{Life: pushback.Incarnation{Replica: "r0"}})
	g.Expect(submitAndAssign(s, time.Second, 20)).To(gomega.Equal(20))
	g.Expect(s.replicaStates["r0"].assigned).To(gomega.BeZero())
	again := coldPool(2, 0)
	again[0].StartedAt, again[0].Position = 7, 9
	s.SetReplicas(2*time.Second, again)
	s.ApplyPushbackReport(2*time.Second, pushback.Report{Life: pushback.Incarnation{Replica: "r0"}, Leaving: true}) // of the life before
	submitAndAssign(s, 2*time.Second, 20)
	g.Expect(s.replicaStates["r0"].assigned).NotTo(gomega.BeZero())
}
