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

func newLimit(perSecond float64) pushback.Limit {
	return pushback.Limit{State: pushback.LimitSet, PerSecond: perSecond}
}

// limitedScheduler returns a scheduler that all nodes follow, whose only replica has the rate limit.
func limitedScheduler(now structs.Instant, perSecond float64) *Scheduler {
	s := New()
	s.SetReplicas(now, coldPool(1, 0))
	s.SetFollowerShare(now, 1)
	s.ApplyPushbackReport(now, pushback.Report{Incarnation: pushback.Incarnation{Replica: "r0"}, Limit: newLimit(perSecond)})
	return s
}

// Guards against assigning more or fewer requests than the replica's rate limit allows.
func TestRateLimitedReplicaGetsItsRate(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 10)
	assigned := submitAndAssign(s, 0, 5)
	g.Expect(assigned).To(gomega.BeZero(), "its bucket is empty at first")
	for now := 10 * ms; now <= 10*time.Second; now += 10 * ms {
		assigned += submitAndAssign(s, now, 1)
	}
	g.Expect(assigned).To(gomega.BeNumerically("~", 10*refillShare*10, 1))
}

// Guards against assignments by a scheduler without followers, which has no share of the rate.
func TestSchedulerWithoutFollowersAssignsNothingToRateLimitedReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 10)
	s.SetFollowerShare(time.Second, 0)
	g.Expect(submitAndAssign(s, 2*time.Second, 10)).To(gomega.BeZero())
	s.SetFollowerShare(3*time.Second, 0.5)
	g.Expect(submitAndAssign(s, 3*time.Second, 10)).To(gomega.BeZero(), "its buckets are empty when it becomes active")
	g.Expect(assignedIDs(s.Decide(4 * time.Second))).NotTo(gomega.BeEmpty())
}

// Guards against serving lower tiers first at rate-limited replicas, and against rejections without a
// retry time.
func TestRateLimitedReplicaServesHigherTierFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 2)
	for i := range 10 {
		s.Submit(0, firstRequest(fmt.Sprint("lower", i), 2))
	}
	s.Submit(0, firstRequest("higher", 0))
	var assigned []string
	for now := structs.Instant(0); now < 2*time.Second; now += 50 * ms {
		for _, decision := range s.Decide(now) {
			if decision.Reason == ReasonNone {
				assigned = append(assigned, decision.ID)
				continue
			}
			g.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0), decision.ID)
		}
	}
	g.Expect(assigned).To(gomega.HaveLen(1), "the others are rejected within their target")
	g.Expect(assigned[0]).To(gomega.Equal("higher"))
}

// firstRequest returns a request that was not rejected before.
func firstRequest(id string, priority int) Request {
	r := newRequest(id, priority)
	r.WasRejected = false
	return r
}

// Guards against ending a rate limit by an answer to a request that was assigned before it was known.
func TestOnlyAnswerToLaterRequestEndsRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, coldPool(1, 0))
	s.SetFollowerShare(0, 1)
	s.Submit(time.Second, newRequest("before", 0))
	g.Expect(assignedIDs(s.Decide(time.Second))).To(gomega.ConsistOf("before"))
	s.ApplyPushbackReport(2*time.Second, pushback.Report{Incarnation: pushback.Incarnation{Replica: "r0"}, Limit: newLimit(1), Age: 100 * ms})
	s.ApplyPushback(3*time.Second, "before", pushback.Signals{Limit: pushback.Limit{State: pushback.LimitNone}})
	g.Expect(submitAndAssign(s, 3*time.Second, 5)).To(gomega.BeZero(), "the limit is still set")
	s.ApplyPushbackReport(5*time.Second, pushback.Report{Incarnation: pushback.Incarnation{Replica: "r0"}, Limit: pushback.Limit{State: pushback.LimitNone}, Age: time.Second})
	g.Expect(s.replicaStates["r0"].limit.known.IsSet()).To(gomega.BeFalse())
	s.ApplyPushbackReport(6*time.Second, pushback.Report{Incarnation: pushback.Incarnation{Replica: "r0"}, Limit: newLimit(1), Age: 4 * time.Second})
	g.Expect(s.replicaStates["r0"].limit.known.IsSet()).To(gomega.BeFalse(), "the report is older than the end of the limit")
}

// Guards against applying a rate limit to the next incarnation, and against reports of unlisted replicas.
func TestRateLimitEndsWithReplicaIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := limitedScheduler(0, 1)
	restarted := coldPool(1, 0)
	restarted[0].StartedAt, restarted[0].Position = 7, 9
	s.SetReplicas(time.Second, restarted)
	g.Expect(s.replicaStates["r0"].limit.known.IsSet()).To(gomega.BeFalse())
	s.ApplyPushbackReport(time.Second, pushback.Report{Incarnation: pushback.Incarnation{Replica: "elsewhere"}, Limit: newLimit(1)})
	g.Expect(s.replicaStates).NotTo(gomega.HaveKey("elsewhere"))
}

// limitedFleet is a set of schedulers that nodes follow in any order, and that assign requests to one
// rate-limited replica.
type limitedFleet struct {
	perSecond  float64
	schedulers []*Scheduler
	// followed has the scheduler of each node, and countedUntil the time until which each scheduler
	// counts each node as a follower.
	followed     []int
	countedUntil []map[int]structs.Instant
	// unnoticedAt is when each node last left a scheduler that did not notice.
	unnoticedAt []structs.Instant
	now         structs.Instant
	assignedAt  []structs.Instant
	// claimsAll is the fault that the check must find: a scheduler with any follower uses the whole rate.
	claimsAll bool
}

const (
	fleetNodes      = 5
	fleetSchedulers = 3
	// limitWindow is the window of time in which check counts requests.
	limitWindow = 4 * time.Second
)

func newLimitedFleet(perSecond float64) *limitedFleet {
	f := &limitedFleet{perSecond: perSecond, now: time.Hour}
	for range fleetSchedulers {
		f.schedulers = append(f.schedulers, nil)
		f.countedUntil = append(f.countedUntil, map[int]structs.Instant{})
	}
	for index := range f.schedulers {
		f.restart(index)
	}
	for node := range fleetNodes {
		f.followed = append(f.followed, 0)
		f.unnoticedAt = append(f.unnoticedAt, 0)
		f.countedUntil[0][node] = 1 << 62
	}
	f.updateShares()
	return f
}

// restart replaces the scheduler by a new one, which knows its followers at once.
func (f *limitedFleet) restart(index int) {
	f.schedulers[index] = limitedScheduler(f.now, f.perSecond)
	f.schedulers[index].SetFollowerShare(f.now, 0)
	clear(f.countedUntil[index])
	for node, scheduler := range f.followed {
		if scheduler == index {
			f.countedUntil[index][node] = 1 << 62
		}
	}
}

// switchTo makes the node follow another scheduler. If the change is unnoticed, the previous scheduler
// counts the node for FollowTime more. This happens at most once in a window for each node.
func (f *limitedFleet) switchTo(node, to int, unnoticed bool) {
	from := f.followed[node]
	if from == to {
		return
	}
	delete(f.countedUntil[from], node)
	if unnoticed && f.now-f.unnoticedAt[node] > limitWindow+FollowTime {
		f.countedUntil[from][node], f.unnoticedAt[node] = f.now+FollowTime, f.now
	}
	f.followed[node] = to
	f.countedUntil[to][node] = 1 << 62
}

// updateShares sets the follower share of every scheduler.
func (f *limitedFleet) updateShares() {
	for index, scheduler := range f.schedulers {
		count := 0
		for _, until := range f.countedUntil[index] {
			if f.now < until {
				count++
			}
		}
		share := float64(count) / fleetNodes
		if f.claimsAll && count > 0 {
			share = 1
		}
		scheduler.SetFollowerShare(f.now, share)
	}
}

// submit submits requests of the node to its scheduler and cancels those that are not assigned at once.
func (f *limitedFleet) submit(node, count int) {
	s := f.schedulers[f.followed[node]]
	for range submitAndAssign(s, f.now, count) {
		f.assignedAt = append(f.assignedAt, f.now)
	}
	for id := range s.queued {
		s.Cancel(id)
	}
}

// check returns an error if any window holds more requests than the limit allows.
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

// Guards against exceeding a rate limit while nodes change their schedulers and schedulers restart.
func TestRateLimitHoldsAcrossSchedulers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLimitedFleet(rapid.SampledFrom([]float64{0, 0.3, 1, 2.5, 10, 100}).Draw(t, "limit"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			f.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * ms
			f.updateShares()
			node := rapid.IntRange(0, fleetNodes-1).Draw(t, "node")
			index := rapid.IntRange(0, fleetSchedulers-1).Draw(t, "scheduler")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				f.restart(index)
			case 1:
				f.switchTo(node, index, rapid.Bool().Draw(t, "unnoticed"))
			case 2:
				for each := range fleetNodes {
					f.switchTo(each, index, rapid.Bool().Draw(t, "unnoticed"))
				}
			default:
				f.submit(node, rapid.IntRange(1, 60).Draw(t, "requests"))
			}
			f.updateShares()
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that finds nothing: schedulers that each use the whole rate exceed the limit.
func TestSchedulersClaimingAllFollowersExceedRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, claimsAll := range []bool{false, true} {
		f := newLimitedFleet(100)
		f.claimsAll = claimsAll
		f.switchTo(3, 1, false)
		f.switchTo(4, 1, false)
		for range 100 {
			f.now += 50 * ms
			f.updateShares()
			for node := range fleetNodes {
				f.submit(node, 20)
			}
		}
		g.Expect(f.check() != nil).To(gomega.Equal(claimsAll))
	}
}

// Guards against sending to a replica that is leaving, and against excluding its next incarnation.
func TestLeavingReplicaGetsNoRequestsInThatIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, coldPool(2, 0))
	s.ApplyPushbackReport(0, pushback.Report{Incarnation: pushback.Incarnation{Replica: "r0"}, Leaving: true})
	s.ApplyPushbackReport(time.Second, pushback.Report{Incarnation: pushback.Incarnation{Replica: "r0"}})
	g.Expect(submitAndAssign(s, time.Second, 20)).To(gomega.Equal(20))
	g.Expect(s.replicaStates["r0"].assigned).To(gomega.BeZero())
	restarted := coldPool(2, 0)
	restarted[0].StartedAt, restarted[0].Position = 7, 9
	s.SetReplicas(2*time.Second, restarted)
	s.ApplyPushbackReport(2*time.Second, pushback.Report{Incarnation: pushback.Incarnation{Replica: "r0"}, Leaving: true}) // of the previous incarnation
	submitAndAssign(s, 2*time.Second, 20)
	g.Expect(s.replicaStates["r0"].assigned).NotTo(gomega.BeZero())
}
