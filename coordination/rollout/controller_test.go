package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/rollouts"
)

var testPolicy = Policy{Share: 0.1, Slack: 50}

func testOrder() rollouts.Order {
	return rollouts.Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Position: 5}
}

// begun returns a controller whose first record was written.
func begun(g *gomega.WithT) *Controller {
	c := NewController(testPolicy, 0, rollouts.Record{})
	next, due := c.Propose(0, Inputs{Order: testOrder(), TargetSlots: 8, OtherSlots: 8})
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCanary))
	c.WriteCommitted(0, next, 6)
	return c
}

// serve enters answers on one route: one in ten of the target, which fails or not.
func serve(c *Controller, count int, failed bool) {
	for i := range count {
		target := i%10 == 0
		c.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(target, i%4), Target: target, Failed: failed && target, Step: 20 * time.Millisecond}, true)
	}
}

func at(elapsed time.Duration) Inputs {
	return Inputs{Order: testOrder(), Elapsed: elapsed, TargetSlots: 8, OtherSlots: 8, Longest: time.Second, Confirmed: true}
}

func TestAGoodVersionIsCompletedOnceNothingRunsElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	c := begun(g)
	serve(c, 1000, false)
	_, due := c.Propose(100*time.Millisecond, at(100*time.Millisecond))
	g.Expect(due).To(gomega.BeFalse(), "a record is not written more often than it need be")
	next, due := c.Propose(17*time.Second, at(17*time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseSwitching))
	c.WriteCommitted(17*time.Second, next, 9)
	busy := at(18 * time.Second)
	busy.Busy = 1
	_, due = c.Propose(18*time.Second, busy)
	g.Expect(due).To(gomega.BeFalse(), "a request runs at a replica that would stop")
	unheard := at(18 * time.Second)
	unheard.Confirmed = false
	_, due = c.Propose(18*time.Second, unheard)
	g.Expect(due).To(gomega.BeFalse(), "a node may still send to a replica that would stop")
	next, due = c.Propose(18*time.Second, at(18*time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCompleted))
}

func TestABadVersionGetsNothingAtOnceAndIsRolledBackWhenAllKnow(t *testing.T) {
	g := gomega.NewWithT(t)
	c := begun(g)
	next, due := c.Propose(time.Second, at(time.Second))
	g.Expect(due).To(gomega.BeTrue())
	c.WriteCommitted(time.Second, next, 7)
	g.Expect(c.CanaryBudget().Left(time.Second)).To(gomega.BeNumerically(">", 0))
	serve(c, 400, true)
	next, due = c.Propose(1100*time.Millisecond, at(1100*time.Millisecond))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseRollingBack))
	g.Expect(next.Reason).To(gomega.Equal(ReasonBad + "r"))
	c.WriteCommitted(1200*time.Millisecond, next, 8)
	g.Expect(c.CanaryBudget().Left(1200 * time.Millisecond)).To(gomega.BeZero())
	unheard := at(2 * time.Second)
	unheard.Confirmed = false
	_, due = c.Propose(2*time.Second, unheard)
	g.Expect(due).To(gomega.BeFalse())
	next, due = c.Propose(2*time.Second, at(2*time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseRolledBack))
}

func TestAVersionThatCannotBeJudgedIsGivenUpAtTheDeadline(t *testing.T) {
	for reason, situation := range map[string]func(*Inputs, *Controller){
		ReasonNoEvidence: func(*Inputs, *Controller) {},
		ReasonNoCapacity: func(seen *Inputs, c *Controller) { serve(c, 1000, false); seen.TargetSlots = 4 },
	} {
		t.Run(reason, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := begun(g)
			seen := at(20 * time.Second)
			situation(&seen, c)
			next, due := c.Propose(20*time.Second, seen)
			g.Expect(due).To(gomega.BeTrue())
			g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseRollingBack))
			g.Expect(next.Reason).To(gomega.Equal(reason))
		})
	}
}

// Requests that ran when the order came ended after it, and each ten of them allowed one more
// request than the service had got since.
func TestRequestsFromBeforeTheOrderAllowNoExposure(t *testing.T) {
	g := gomega.NewWithT(t)
	c := begun(g)
	early := Sample{Route: "r", Replica: "a", Begun: -time.Second, Step: 20 * time.Millisecond}
	for range 1000 {
		c.RecordResult(early, true)
	}
	next, due := c.Propose(time.Second, at(time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Requests).To(gomega.BeZero())
	g.Expect(float64(next.Exposed)).To(gomega.BeNumerically("<=", testPolicy.Slack))
}

func TestNothingMovesForAVersionThatNobodyHasOrADeadlineThatPassed(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewController(testPolicy, 0, rollouts.Record{})
	_, due := c.Propose(0, Inputs{Order: testOrder(), OtherSlots: 8})
	g.Expect(due).To(gomega.BeFalse())
	_, due = c.Propose(0, at(testOrder().Duration))
	g.Expect(due).To(gomega.BeFalse())
}

func TestAnOrderThatReplacesAnotherBarsItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	c := begun(g)
	later := at(time.Second)
	later.Order = rollouts.Order{Service: "s", Target: "v3", Duration: time.Minute, Position: 12}
	next, due := c.Propose(time.Second, later)
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Excluded).To(gomega.Equal([]string{"v2"}))
	g.Expect(next.Exposed).To(gomega.BeZero())
	table := rollouts.NewTable()
	next.Position = 13
	table.PutRecord(0, next)
	policy := table.Policy("s", false)
	g.Expect(policy.AccessFor("v1")).To(gomega.Equal(rollouts.AccessUnrestricted))
	g.Expect(policy.AccessFor("v2")).To(gomega.Equal(rollouts.AccessDenied))
	g.Expect(policy.AccessFor("v3")).To(gomega.Equal(rollouts.AccessBudgeted))
}

func TestExposureEndsWhereTheStoreIsNotReached(t *testing.T) {
	g := gomega.NewWithT(t)
	c := begun(g)
	next, _ := c.Propose(time.Second, at(time.Second))
	c.WriteCommitted(time.Second, next, 7)
	g.Expect(c.CanaryBudget().Left(time.Second + exposureLifetime - 1)).To(gomega.BeNumerically(">", 0))
	g.Expect(c.CanaryBudget().Left(time.Second + exposureLifetime)).To(gomega.BeZero())
}

func TestEachRouteHasItsShareOfTheExposure(t *testing.T) {
	g := gomega.NewWithT(t)
	exposure := &CanaryBudget{}
	exposure.take(0, 1000)
	given := map[string]int{}
	for i := range 1000 {
		for _, route := range []string{"urgent", "urgent", "urgent", "rare"} {
			exposure.Ask(route)
			if i%5 == 0 && exposure.Fair(route) {
				exposure.Spend(route)
				given[route]++
			}
		}
	}
	g.Expect(given["rare"]).To(gomega.BeNumerically("~", 200, 20))
	greedy := &CanaryBudget{}
	greedy.take(0, 100)
	for range 100 {
		greedy.Ask("urgent")
		greedy.Ask("rare")
	}
	for greedy.Fair("urgent") {
		greedy.Spend("urgent")
	}
	g.Expect(greedy.given.byRoute["urgent"]).To(gomega.BeNumerically("<=", 2*burstSize), "the urgent route takes no more than its share")
}
