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

var tenSeconds = Policy{Ratio: 0.2, Slack: 40, Window: 10 * time.Second}

// give takes repeats until there are no more, as many as the limit at most.
func give(budget *Budget, now structs.Instant, limit int) int {
	for given := range limit {
		repeat, ok := budget.Reserve(now, "s")
		if !ok {
			return given
		}
		budget.Commit(repeat)
	}
	return limit
}

func TestRepeatsAreGivenForRequestsAndFromTheSlack(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSeconds, false)
	budget.Activate()
	for range 10 {
		budget.RecordRequest(0, "s")
	}
	g.Expect(give(budget, 0, 20)).To(gomega.Equal(2))
	g.Expect(give(budget, 10*time.Second, 20)).To(gomega.Equal(2), "time pays a part of the slack")
	for range 1000 {
		budget.RecordRequest(10*time.Second, "s")
	}
	g.Expect(give(budget, 10*time.Second, 100)).To(gomega.Equal(18), "what a bank holds at most")
	_, ok := budget.Reserve(10*time.Second, "other")
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(budget.Stats(10 * time.Second)["s"]).To(gomega.Equal(Stats{Requests: 1010, Retries: 22, Rejected: 3, Left: 0}))
}

func TestANodeGivesNothingBeforeItSchedulesNorFromWhatItHeldBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSeconds, false)
	pay := func() {
		for range 50 {
			budget.RecordRequest(0, "s")
		}
	}
	pay()
	g.Expect(give(budget, 0, 20)).To(gomega.BeZero())
	for _, change := range []func(){budget.Activate, budget.Activate, budget.Reset, func() { budget.Deactivate(); budget.Activate() }} {
		change()
		g.Expect(give(budget, 0, 20)).To(gomega.BeZero())
		pay()
	}
	g.Expect(give(budget, 0, 20)).To(gomega.Equal(10))
	budget.Deactivate()
	budget.Reset()
	pay()
	g.Expect(give(budget, 0, 20)).To(gomega.BeZero())
}

func TestARepeatThatWaitsCountsAgainstTheBankUntilItIsSent(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(tenSeconds, false)
	budget.Activate()
	pay := func() {
		for range 200 {
			budget.RecordRequest(0, "s")
		}
	}
	pay()
	var waiting []Permit
	for range 18 {
		repeat, ok := budget.Reserve(0, "s")
		g.Expect(ok).To(gomega.BeTrue())
		waiting = append(waiting, repeat)
	}
	pay()
	g.Expect(give(budget, 0, 20)).To(gomega.BeZero(), "all that a bank holds is on its way")
	budget.Cancel(waiting[0])
	g.Expect(give(budget, 0, 20)).To(gomega.Equal(1))
	budget.Commit(waiting[1])
	pay()
	g.Expect(give(budget, 0, 20)).To(gomega.Equal(2))
	budget.Activate()
	budget.Cancel(waiting[2])
	g.Expect(give(budget, 0, 20)).To(gomega.BeZero(), "given in an earlier term")
}

func TestTheFirstNodeThatEverSchedulesBeginsWithFullBanks(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, change := range []func(*Budget){func(b *Budget) { b.Activate() }, func(b *Budget) { b.Deactivate(); b.Activate() }, (*Budget).Reset} {
		budget := New(tenSeconds, true)
		budget.Activate()
		g.Expect(give(budget, 0, 10)).To(gomega.Equal(10))
		change(budget)
		g.Expect(give(budget, 0, 10)).To(gomega.BeZero(), "it may have given already")
	}
}

// fleet is nodes that schedule in any order, as a run of the check draws it.
type fleet struct {
	budgets []*Budget
	now     structs.Instant
	// scheduling are the nodes that take themselves for the scheduling one: one of them, or two
	// while one does not know of the other.
	scheduling []int
	requests   []structs.Instant
	repeats    []structs.Instant
	waiting    []reservation
	create     func() *Budget
	// keeps is true if nodes keep their banks from one time they schedule to the next.
	keeps bool
}

type reservation struct {
	node   int
	repeat Permit
}

func newFleet(create func() *Budget) *fleet {
	f := &fleet{create: create}
	for range 4 {
		f.budgets = append(f.budgets, create())
	}
	f.budgets[0].isFirst = true
	f.lead(0)
	return f
}

// lead has one node schedule.
func (f *fleet) lead(node int) {
	for _, other := range f.scheduling {
		if other != node {
			kept := maps.Clone(f.budgets[other].services)
			f.budgets[other].Deactivate()
			f.drop(other)
			if f.keeps {
				maps.Copy(f.budgets[other].services, kept)
			}
		}
	}
	kept := maps.Clone(f.budgets[node].services)
	f.budgets[node].Activate()
	f.drop(node)
	f.scheduling = []int{node}
	if f.keeps {
		maps.Copy(f.budgets[node].services, kept)
	}
}

// drop loses what waits at a node.
func (f *fleet) drop(node int) {
	f.waiting = slices.DeleteFunc(f.waiting, func(one reservation) bool { return one.node == node })
}

// split has a second node schedule that does not know of the first one.
func (f *fleet) split(node int) {
	if len(f.scheduling) == 1 && f.scheduling[0] != node {
		f.budgets[node].Activate()
		f.scheduling = append(f.scheduling, node)
	}
}

// ask is requests that come to a replica for the first time.
func (f *fleet) ask(at, requests int) {
	for range requests {
		f.budgets[f.scheduling[at%len(f.scheduling)]].RecordRequest(f.now, "s")
		f.requests = append(f.requests, f.now)
	}
}

// repeat asks for repeats of any requests.
func (f *fleet) repeat(at, repeats int) {
	node := f.scheduling[at%len(f.scheduling)]
	for range repeats {
		if repeat, ok := f.budgets[node].Reserve(f.now, "s"); ok {
			f.waiting = append(f.waiting, reservation{node: node, repeat: repeat})
		}
	}
}

// send has what waits get its places.
func (f *fleet) send() {
	for _, one := range f.waiting {
		f.budgets[one.node].Commit(one.repeat)
		f.repeats = append(f.repeats, f.now)
	}
	f.waiting = nil
}

// check looks at every window.
func (f *fleet) check(policy Policy) error {
	for _, from := range f.repeats {
		repeats, requests := 0, 0
		for _, at := range f.repeats {
			if at >= from && at < from+policy.Window {
				repeats++
			}
		}
		for _, at := range f.requests {
			if at >= from && at < from+policy.Window {
				requests++
			}
		}
		if allowed := policy.Ratio*float64(requests) + policy.Slack; float64(repeats) > allowed {
			return fmt.Errorf("%d repeats from %v, %.1f allowed for %d requests", repeats, from, allowed, requests)
		}
	}
	return nil
}

// play draws an order of requests and changes.
func (f *fleet) play(draw func(low, high int, label string) int) {
	for range draw(1, 150, "steps") {
		f.now += time.Duration(draw(0, 150, "gap")) * time.Millisecond
		node := draw(0, len(f.budgets)-1, "node")
		switch draw(0, 11, "step") {
		case 0, 1:
			f.lead(node)
		case 2:
			f.split(node)
		case 3:
			f.budgets[node] = f.create()
			f.lead(node)
		case 4:
			f.budgets[node].Reset()
			f.drop(node)
		case 5:
			f.send()
		case 6:
			f.ask(node, draw(1, 100, "requests"))
		default:
			f.repeat(node, draw(1, 30, "repeats"))
			if draw(0, 1, "places are free") == 1 {
				f.send()
			}
		}
	}
	f.send()
}

// Whatever order nodes schedule in, no window holds more than the bound.
func TestNoWindowHoldsMoreThanTheBoundWhoeverSchedules(t *testing.T) {
	policy := Policy{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(func() *Budget { return New(policy, false) })
		f.play(func(low, high int, label string) int { return rapid.IntRange(low, high).Draw(t, label) })
		if err := f.check(policy); err != nil {
			t.Fatal(err)
		}
	})
}

// The check must see what it is for: banks that a node keeps from one time it schedules to the
// next, as a count in each node's memory is kept, break the bound.
func TestBanksThatAreKeptBreakTheBound(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := Policy{Ratio: 0.2, Slack: 20, Window: 2 * time.Second}
	for _, keeps := range []bool{false, true} {
		f := newFleet(func() *Budget { return New(policy, false) })
		f.keeps = keeps
		for node := range f.budgets {
			f.lead(node)
			f.ask(node, 100)
			f.now += policy.Window
		}
		for node := range f.budgets {
			f.lead(node)
			f.repeat(node, 30)
			f.send()
		}
		g.Expect(f.check(policy) != nil).To(gomega.Equal(keeps))
	}
}
