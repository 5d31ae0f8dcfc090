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

// startCanary returns a controller whose first record was written.
func startCanary(g *gomega.WithT) *Controller {
	c := NewController(testPolicy, 0, rollouts.Record{})
	next, due := c.Propose(0, Inputs{Order: testOrder(), TargetSlots: 8, OtherSlots: 8})
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCanary))
	c.WriteCommitted(0, next, 6)
	return c
}

// recordAnswers records answers on one route. Every tenth is of the target and fails if targetFails.
func recordAnswers(c *Controller, count int, targetFails bool) {
	for i := range count {
		target := i%10 == 0
		c.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(target, i%4), Target: target, Failed: targetFails && target, EventInterval: 20 * time.Millisecond}, true)
	}
}

// inputsAt returns the inputs of a healthy system whose nodes have confirmed the record.
func inputsAt(elapsed time.Duration) Inputs {
	return Inputs{Order: testOrder(), Elapsed: elapsed, TargetSlots: 8, OtherSlots: 8, LongAnswerTime: time.Second, Confirmed: true}
}

// The other versions must not be stopped while a request runs there or a node may still send one.
func TestGoodVersionIsCompletedOnceOtherVersionsAreIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	recordAnswers(c, 1000, false)
	_, due := c.Propose(100*time.Millisecond, inputsAt(100*time.Millisecond))
	g.Expect(due).To(gomega.BeFalse(), "the minimum interval between writes has not passed")
	next, due := c.Propose(17*time.Second, inputsAt(17*time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseSwitching))
	c.WriteCommitted(17*time.Second, next, 9)
	running := inputsAt(18 * time.Second)
	running.InFlightElsewhere = 1
	_, due = c.Propose(18*time.Second, running)
	g.Expect(due).To(gomega.BeFalse(), "a request is running at a replica that would be stopped")
	unconfirmed := inputsAt(18 * time.Second)
	unconfirmed.Confirmed = false
	_, due = c.Propose(18*time.Second, unconfirmed)
	g.Expect(due).To(gomega.BeFalse(), "a node may still send to a replica that would be stopped")
	next, due = c.Propose(18*time.Second, inputsAt(18*time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCompleted))
}

// A bad version must lose its budget at once, and be recorded as rolled back only once all nodes
// confirmed that they send it nothing.
func TestBadVersionLosesBudgetAndIsRolledBackOnceConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	next, due := c.Propose(time.Second, inputsAt(time.Second))
	g.Expect(due).To(gomega.BeTrue())
	c.WriteCommitted(time.Second, next, 7)
	g.Expect(c.CanaryBudget().Remaining(time.Second)).To(gomega.BeNumerically(">", 0))
	recordAnswers(c, 400, true)
	next, due = c.Propose(1100*time.Millisecond, inputsAt(1100*time.Millisecond))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseRollingBack))
	g.Expect(next.Reason).To(gomega.Equal(ReasonBad + "r"))
	c.WriteCommitted(1200*time.Millisecond, next, 8)
	g.Expect(c.CanaryBudget().Remaining(1200 * time.Millisecond)).To(gomega.BeZero())
	unconfirmed := inputsAt(2 * time.Second)
	unconfirmed.Confirmed = false
	_, due = c.Propose(2*time.Second, unconfirmed)
	g.Expect(due).To(gomega.BeFalse())
	next, due = c.Propose(2*time.Second, inputsAt(2*time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseRolledBack))
}

// Without enough evidence or capacity the rollout must end with a rollback at the deadline.
func TestRolloutWithoutEvidenceOrCapacityIsRolledBackAtDeadline(t *testing.T) {
	for reason, prepare := range map[string]func(*Inputs, *Controller){
		ReasonNoEvidence: func(*Inputs, *Controller) {},
		ReasonNoCapacity: func(inputs *Inputs, c *Controller) { recordAnswers(c, 1000, false); inputs.TargetSlots = 4 },
	} {
		t.Run(reason, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := startCanary(g)
			inputs := inputsAt(20 * time.Second)
			prepare(&inputs, c)
			next, due := c.Propose(20*time.Second, inputs)
			g.Expect(due).To(gomega.BeTrue())
			g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseRollingBack))
			g.Expect(next.Reason).To(gomega.Equal(reason))
		})
	}
}

// Requests that were assigned before the order must not raise the budget, although they end after it.
func TestRequestsFromBeforeTheOrderAddNoBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	early := Sample{Route: "r", Replica: "a", AssignedAt: -time.Second, EventInterval: 20 * time.Millisecond}
	for range 1000 {
		c.RecordResult(early, true)
	}
	next, due := c.Propose(time.Second, inputsAt(time.Second))
	g.Expect(due).To(gomega.BeTrue())
	g.Expect(next.Requests).To(gomega.BeZero())
	g.Expect(float64(next.Exposed)).To(gomega.BeNumerically("<=", testPolicy.Slack))
}

// An order must not start if no replica has the version or if its deadline has passed.
func TestOrderWithoutReplicasOrPastDeadlineDoesNotStart(t *testing.T) {
	g := gomega.NewWithT(t)
	c := NewController(testPolicy, 0, rollouts.Record{})
	_, due := c.Propose(0, Inputs{Order: testOrder(), OtherSlots: 8})
	g.Expect(due).To(gomega.BeFalse())
	_, due = c.Propose(0, inputsAt(testOrder().Duration))
	g.Expect(due).To(gomega.BeFalse())
}

// A version whose rollout was replaced was not accepted and must get no more requests.
func TestReplacedOrderExcludesItsVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	replaced := inputsAt(time.Second)
	replaced.Order = rollouts.Order{Service: "s", Target: "v3", Duration: time.Minute, Position: 12}
	next, due := c.Propose(time.Second, replaced)
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

// A scheduler that can't reach the store may not know of a rollback, so that its budget must expire.
func TestBudgetExpiresWithoutWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCanary(g)
	next, _ := c.Propose(time.Second, inputsAt(time.Second))
	c.WriteCommitted(time.Second, next, 7)
	g.Expect(c.CanaryBudget().Remaining(time.Second + budgetTTL - 1)).To(gomega.BeNumerically(">", 0))
	g.Expect(c.CanaryBudget().Remaining(time.Second + budgetTTL)).To(gomega.BeZero())
}

// The most urgent route must not use up the budget of the others.
func TestEachRouteGetsItsShareOfTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := &CanaryBudget{}
	budget.add(0, 1000)
	consumed := map[string]int{}
	for i := range 1000 {
		for _, route := range []string{"urgent", "urgent", "urgent", "rare"} {
			budget.RecordEligible(route)
			if i%5 == 0 && budget.AllowsRoute(route) {
				budget.Consume(route)
				consumed[route]++
			}
		}
	}
	g.Expect(consumed["rare"]).To(gomega.BeNumerically("~", 200, 20))
	skewed := &CanaryBudget{}
	skewed.add(0, 100)
	for range 100 {
		skewed.RecordEligible("urgent")
		skewed.RecordEligible("rare")
	}
	for skewed.AllowsRoute("urgent") {
		skewed.Consume("urgent")
	}
	g.Expect(skewed.consumed.byRoute["urgent"]).To(gomega.BeNumerically("<=", 2*burstSize), "the urgent route must get no more than its share")
}
