package retrybudget

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

var tenSecondPolicy = Policy{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}

// retryAll takes and commits permits until none is left, at most limit, and returns their number.
func retryAll(budget *Budget, now structs.Instant, limit int) int {
	for count := range limit {
		permit, ok := budget.Reserve(now, "s")
		if !ok {
			return count
		}
		budget.Commit(now, permit)
	}
	return limit
}

// Permits must be limited to the ratio of the requests, the refill by time and the capacity.
func TestPermitsAreLimitedByRequestsTimeAndCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSecondPolicy, false)
	budget.Activate()
	for range 10 {
		budget.RecordRequest(0, "s")
	}
	g.Expect(retryAll(budget, 0, 20)).To(gomega.Equal(2))
	g.Expect(retryAll(budget, 10*time.Second, 20)).To(gomega.Equal(2), "time adds its share of the slack")
	for range 1000 {
		budget.RecordRequest(10*time.Second, "s")
	}
	g.Expect(retryAll(budget, 10*time.Second, 100)).To(gomega.Equal(18), "the capacity of a bucket")
	_, ok := budget.Reserve(10*time.Second, "other")
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(budget.Stats(10 * time.Second)["s"]).To(gomega.Equal(Stats{Requests: 1010, Retries: 22, Rejected: 3, Available: 0}))
}

// A node must issue no permits while it does not schedule, nor from tokens of an earlier term, which
// its successor may have replaced by its own.
func TestPermitsNeedActivationAndTokensOfTheCurrentTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSecondPolicy, false)
	recordRequests := func() {
		for range 50 {
			budget.RecordRequest(0, "s")
		}
	}
	recordRequests()
	g.Expect(retryAll(budget, 0, 20)).To(gomega.BeZero())
	for _, change := range []func(){budget.Activate, budget.Activate, budget.Reset, func() { budget.Deactivate(); budget.Activate() }} {
		change()
		g.Expect(retryAll(budget, 0, 20)).To(gomega.BeZero())
		recordRequests()
	}
	g.Expect(retryAll(budget, 0, 20)).To(gomega.Equal(10))
	budget.Deactivate()
	budget.Reset()
	recordRequests()
	g.Expect(retryAll(budget, 0, 20)).To(gomega.BeZero())
}

// What time added while retries were queued must not follow them beyond the capacity once they are assigned.
func TestTokensAddedWhileRetriesWereQueuedCountAgainstCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSecondPolicy, false)
	budget.Activate()
	for range 200 {
		budget.RecordRequest(0, "s")
	}
	var queued []Permit
	for range 18 {
		permit, ok := budget.Reserve(0, "s")
		g.Expect(ok).To(gomega.BeTrue())
		queued = append(queued, permit)
	}
	for _, permit := range queued {
		budget.Commit(30*time.Second, permit)
	}
	g.Expect(retryAll(budget, 30*time.Second, 20)).To(gomega.BeZero())
}

// Retries that are still queued must count against the capacity: otherwise a window gets them in
// addition to those of a full bucket.
func TestQueuedRetryCountsAgainstCapacityUntilSent(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSecondPolicy, false)
	budget.Activate()
	recordRequests := func() {
		for range 200 {
			budget.RecordRequest(0, "s")
		}
	}
	recordRequests()
	var queued []Permit
	for range 18 {
		permit, ok := budget.Reserve(0, "s")
		g.Expect(ok).To(gomega.BeTrue())
		queued = append(queued, permit)
	}
	recordRequests()
	g.Expect(retryAll(budget, 0, 20)).To(gomega.BeZero(), "the whole capacity is reserved")
	budget.Cancel(queued[0])
	g.Expect(retryAll(budget, 0, 20)).To(gomega.Equal(1))
	budget.Commit(0, queued[1])
	recordRequests()
	g.Expect(retryAll(budget, 0, 20)).To(gomega.Equal(2))
	budget.Activate()
	budget.Cancel(queued[2])
	g.Expect(retryAll(budget, 0, 20)).To(gomega.BeZero(), "the permit is of an earlier term")
}

// A retry that was assigned and never sent must give its token back, once, and only in its term: otherwise returned
// assignments use up the budget of retries that are sent.
func TestUnsentRetryIsCreditedOnceInItsTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSecondPolicy, false)
	budget.Activate()
	assign := func() UsedPermit {
		permit, ok := budget.Reserve(0, "s")
		g.Expect(ok).To(gomega.BeTrue())
		return budget.Commit(0, permit)
	}
	for range 10 {
		budget.RecordRequest(0, "s")
	}
	sent, unsent := assign(), assign()
	g.Expect(retryAll(budget, 0, 1)).To(gomega.BeZero())
	for range 3 {
		budget.Credit(unsent)
		budget.Credit(UsedPermit{})
		budget.Credit(UsedPermit{service: "other", term: unsent.term, serial: unsent.serial})
	}
	g.Expect(budget.Stats(0)["s"]).To(gomega.Equal(Stats{Requests: 10, Retries: 1, Rejected: 1, Available: 1}))
	g.Expect(retryAll(budget, 0, 5)).To(gomega.Equal(1))
	for _, change := range []func(){budget.Activate, budget.Reset, func() { budget.Deactivate(); budget.Activate() }} {
		for range 5 {
			budget.RecordRequest(0, "s")
		}
		unsent = assign()
		change()
		budget.RecordRequest(0, "s")
		budget.Credit(sent)
		budget.Credit(unsent)
		g.Expect(retryAll(budget, 0, 5)).To(gomega.BeZero(), "the permits are of an earlier term")
	}
	voided := budget.Commit(0, Permit{service: "s", term: 1})
	budget.Credit(voided)
	g.Expect(retryAll(budget, 0, 5)).To(gomega.BeZero(), "the permit was void")
}

// Tokens that requests or time added since must not be followed by those of unsent retries beyond the capacity:
// a window would get both.
func TestCreditsDoNotExceedTheCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSecondPolicy, false)
	budget.Activate()
	recordRequests := func(count int) {
		for range count {
			budget.RecordRequest(0, "s")
		}
	}
	recordRequests(200)
	var assigned []UsedPermit
	for range 18 {
		permit, _ := budget.Reserve(0, "s")
		assigned = append(assigned, budget.Commit(0, permit))
	}
	recordRequests(50)
	for _, permit := range assigned {
		budget.Credit(permit)
	}
	g.Expect(budget.Stats(0)["s"].Available).To(gomega.BeNumerically("~", 18, 1e-6), "8 of 18 tokens came back")
	g.Expect(budget.Stats(0)["s"].Retries).To(gomega.Equal(10))
	recordRequests(200)
	g.Expect(retryAll(budget, 0, 50)).To(gomega.Equal(18))
	for _, permit := range assigned {
		budget.Credit(permit)
	}
	g.Expect(retryAll(budget, 0, 50)).To(gomega.BeZero())
	g.Expect(len(budget.buckets["s"].creditable)).To(gomega.BeNumerically("<=", 18))
}

// A part of a token that time added must not take the place of a whole one: the budget of a service with few retries
// would shrink with every retry that is returned unsent.
func TestCreditFillsWhatTimeLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSecondPolicy, true)
	budget.Activate()
	for i := range 50 {
		now := time.Duration(i) * 100 * time.Millisecond
		var assigned []UsedPermit
		for range 3 {
			permit, _ := budget.Reserve(now, "s")
			assigned = append(assigned, budget.Commit(now, permit))
		}
		budget.Stats(now + 50*time.Millisecond)
		for _, permit := range assigned {
			budget.Credit(permit)
		}
		g.Expect(budget.Stats(now + 50*time.Millisecond)["s"]).To(gomega.Equal(Stats{Available: 18}))
	}
}

// The first scheduler of a new system must start with full buckets, but only in its first term.
func TestOnlyFirstTermOfFirstSchedulerStartsWithFullBuckets(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, change := range []func(*Budget){func(b *Budget) { b.Activate() }, func(b *Budget) { b.Deactivate(); b.Activate() }, (*Budget).Reset} {
		budget := New(tenSecondPolicy, true)
		budget.Activate()
		g.Expect(retryAll(budget, 0, 10)).To(gomega.Equal(10))
		change(budget)
		g.Expect(retryAll(budget, 0, 10)).To(gomega.BeZero(), "permits may have been issued already")
	}
}

// fleet models nodes that become schedulers in any order.
type fleet struct {
	budgets []*Budget
	now     structs.Instant
	// schedulers are the nodes that consider themselves the scheduling node: one, or two while
	// one does not know of the other.
	schedulers []int
	requests   []structs.Instant
	retries    []structs.Instant
	queued     []reservation
	// assigned are the retries of which it is open whether they arrive.
	assigned  []assignedRetry
	newBudget func() *Budget
	// keepsBuckets is true if nodes keep their buckets when they stop or start to schedule, which
	// breaks the bound.
	keepsBuckets bool
	// creditsWithoutRoom is true if tokens come back whatever took their place, which breaks the bound.
	creditsWithoutRoom bool
}

// assignedRetry is a retry that was assigned, and counts as arrived at that time unless it is credited.
type assignedRetry struct {
	node   int
	permit UsedPermit
	at     structs.Instant
}

type reservation struct {
	node   int
	permit Permit
}

func newFleet(newBudget func() *Budget) *fleet {
	f := &fleet{newBudget: newBudget}
	for range 4 {
		f.budgets = append(f.budgets, newBudget())
	}
	f.budgets[0].isFirst = true
	f.setScheduler(0)
	return f
}

// setScheduler makes the node the only scheduler.
func (f *fleet) setScheduler(node int) {
	for _, other := range f.schedulers {
		if other != node {
			kept := maps.Clone(f.budgets[other].buckets)
			f.budgets[other].Deactivate()
			f.dropQueued(other)
			if f.keepsBuckets {
				maps.Copy(f.budgets[other].buckets, kept)
			}
		}
	}
	kept := maps.Clone(f.budgets[node].buckets)
	f.budgets[node].Activate()
	f.dropQueued(node)
	f.schedulers = []int{node}
	if f.keepsBuckets {
		maps.Copy(f.budgets[node].buckets, kept)
	}
}

// dropQueued drops the retries queued at the node.
func (f *fleet) dropQueued(node int) {
	f.queued = slices.DeleteFunc(f.queued, func(queued reservation) bool { return queued.node == node })
}

// addScheduler makes the node a second scheduler that does not know of the first one.
func (f *fleet) addScheduler(node int) {
	if len(f.schedulers) == 1 && f.schedulers[0] != node {
		f.budgets[node].Activate()
		f.schedulers = append(f.schedulers, node)
	}
}

// recordRequests records requests at one of the schedulers.
func (f *fleet) recordRequests(index, count int) {
	for range count {
		f.budgets[f.schedulers[index%len(f.schedulers)]].RecordRequest(f.now, "s")
		f.requests = append(f.requests, f.now)
	}
}

// queueRetries queues up to count retries at one of the schedulers, as far as it permits them.
func (f *fleet) queueRetries(index, count int) {
	node := f.schedulers[index%len(f.schedulers)]
	for range count {
		if permit, ok := f.budgets[node].Reserve(f.now, "s"); ok {
			f.queued = append(f.queued, reservation{node: node, permit: permit})
		}
	}
}

// assignQueued assigns all queued retries.
func (f *fleet) assignQueued() {
	for _, retry := range f.queued {
		f.assigned = append(f.assigned, assignedRetry{node: retry.node, permit: f.budgets[retry.node].Commit(f.now, retry.permit), at: f.now})
	}
	f.queued = nil
}

// sendQueued sends all queued and assigned retries.
func (f *fleet) sendQueued() {
	f.assignQueued()
	for _, retry := range f.assigned {
		f.retries = append(f.retries, retry.at)
	}
	f.assigned = nil
}

// returnAssigned returns up to count assigned retries unsent, the oldest first. The messages arrive that many times.
func (f *fleet) returnAssigned(count, messages int) {
	count = min(count, len(f.assigned))
	for _, retry := range f.assigned[:count] {
		budget := f.budgets[retry.node]
		if f.creditsWithoutRoom {
			budget.buckets["s"].tokens++
			continue
		}
		for range messages {
			budget.Credit(retry.permit)
		}
	}
	f.assigned = f.assigned[count:]
}

// check returns an error if a window has more retries than the policy allows.
func (f *fleet) check(policy Policy) error {
	for _, from := range f.retries {
		retries, requests := 0, 0
		for _, at := range f.retries {
			if at >= from && at < from+policy.Window {
				retries++
			}
		}
		for _, at := range f.requests {
			if at >= from && at < from+policy.Window {
				requests++
			}
		}
		if allowed := policy.Ratio*float64(requests) + policy.Slack; float64(retries) > allowed {
			return fmt.Errorf("%d retries in the window from %v, %.1f allowed for %d requests", retries, from, allowed, requests)
		}
	}
	return nil
}

// run performs drawn steps: requests, retries and changes of the schedulers.
func (f *fleet) run(draw func(low, high int, label string) int) {
	for range draw(1, 150, "steps") {
		f.now += time.Duration(draw(0, 150, "gap")) * time.Millisecond
		node := draw(0, len(f.budgets)-1, "node")
		switch draw(0, 15, "step") {
		case 0, 1:
			f.setScheduler(node)
		case 2:
			f.addScheduler(node)
		case 3:
			f.budgets[node] = f.newBudget()
			f.setScheduler(node)
		case 4:
			f.budgets[node].Reset()
			f.dropQueued(node)
		case 5:
			f.sendQueued()
		case 6:
			f.recordRequests(node, draw(1, 100, "requests"))
		case 7, 8:
			f.assignQueued()
		case 9, 10:
			f.returnAssigned(draw(1, 30, "returned"), draw(0, 2, "messages"))
		default:
			f.queueRetries(node, draw(1, 30, "retries"))
			if draw(0, 1, "slots are free") == 1 {
				f.sendQueued()
			}
		}
	}
	f.sendQueued()
}

// The bound must hold in every window, in whatever order nodes schedule.
func TestNoWindowExceedsTheBoundInAnyOrderOfSchedulers(t *testing.T) {
	policy := Policy{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(func() *Budget { return New(policy, false) })
		f.run(func(low, high int, label string) int { return rapid.IntRange(low, high).Draw(t, label) })
		if err := f.check(policy); err != nil {
			t.Fatal(err)
		}
	})
}

// The bound must hold in every window while two nodes schedule and assigned retries are returned unsent much later, or
// more than once. The courses are built of steps that matter for it.
func TestNoWindowExceedsTheBoundWhateverIsReturned(t *testing.T) {
	policy := Policy{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(func() *Budget { return New(policy, false) })
		f.addScheduler(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for node := range 2 {
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0:
					f.recordRequests(node, 100)
				case 1:
					f.queueRetries(node, 30)
				case 2:
					f.assignQueued()
				case 3:
					f.returnAssigned(30, rapid.IntRange(1, 2).Draw(t, "messages"))
				case 4:
					f.sendQueued()
				case 5:
					f.now += policy.Window / 2
				}
			}
		}
		f.sendQueued()
		if err := f.check(policy); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards the check above: it must fail for nodes that keep their buckets from one term to the next.
func TestKeptBucketsBreakTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := Policy{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}
	for _, keepsBuckets := range []bool{false, true} {
		f := newFleet(func() *Budget { return New(policy, false) })
		f.keepsBuckets = keepsBuckets
		for node := range f.budgets {
			f.setScheduler(node)
			f.recordRequests(node, 100)
			f.now += policy.Window
		}
		for node := range f.budgets {
			f.setScheduler(node)
			f.queueRetries(node, 30)
			f.sendQueued()
		}
		g.Expect(f.check(policy) != nil).To(gomega.Equal(keepsBuckets))
	}
}

// Guards the check above: it must fail if tokens come back although others have taken their place.
func TestCreditsWithoutRoomBreakTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := Policy{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}
	for _, creditsWithoutRoom := range []bool{false, true} {
		f := newFleet(func() *Budget { return New(policy, false) })
		f.creditsWithoutRoom = creditsWithoutRoom
		f.addScheduler(1)
		for node := range 2 {
			f.recordRequests(node, 100)
			f.queueRetries(node, 30)
			f.assignQueued()
			f.recordRequests(node, 100)
		}
		f.now += 2 * policy.Window
		for node := range 2 {
			f.queueRetries(node, 30)
		}
		unsent := f.assigned
		f.assigned = nil
		f.sendQueued()
		f.assigned = unsent
		f.returnAssigned(len(unsent), 1)
		for node := range 2 {
			f.queueRetries(node, 30)
		}
		f.sendQueued()
		g.Expect(f.check(policy) != nil).To(gomega.Equal(creditsWithoutRoom))
	}
}
