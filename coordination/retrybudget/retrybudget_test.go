package retrybudget

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

func TestRepeatsStayUnderTheShareOfFirstSendsPlusSlack(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := New(Policy{Ratio: 0.2, Slack: 3, Window: 10 * time.Second})
	budget.Begin(-10 * time.Second)
	for range 10 {
		budget.First(0, "s")
	}
	allowed := 0
	for range 20 {
		if budget.Repeat(0, "s") {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.Equal(5))
	g.Expect(budget.Repeat(11*time.Second, "s")).To(gomega.BeTrue())
	g.Expect(budget.Repeat(0, "other")).To(gomega.BeTrue())
}

func TestNoWindowHoldsMoreThanItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{Ratio: 0, Slack: float64(rapid.IntRange(0, 10).Draw(t, "slack")), Window: 2 * time.Second}
		budget := New(policy)
		budget.Begin(-policy.Window)
		var repeats []structs.Instant
		now := structs.Instant(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond
			if budget.Repeat(now, "s") {
				repeats = append(repeats, now)
			}
		}
		for i, at := range repeats {
			inside := 0
			for _, other := range repeats[i:] {
				if other-at < policy.Window-policy.Window/slots {
					inside++
				}
			}
			if float64(inside) > policy.Slack {
				t.Fatalf("%d repeats from %v", inside, at)
			}
		}
	})
}

// The nodes were stopped in turn, and each one that became the scheduling node gave a
// whole slack of its own.
func TestSuccessiveSchedulingNodesShareTheirSlack(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := Policy{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}
	var budgets []*Budget
	for range 5 {
		budgets = append(budgets, New(policy))
	}
	allowed := 0
	for step := range 100 {
		now := time.Duration(step) * 100 * time.Millisecond
		scheduling := budgets[step/20]
		if step%20 == 0 {
			scheduling.Begin(now)
		}
		for range 2 {
			if scheduling.Repeat(now, "s") {
				allowed++
			}
		}
		for _, other := range budgets {
			if other != scheduling {
				other.End()
				g.Expect(other.Repeat(now, "s")).To(gomega.BeFalse())
			}
		}
	}
	g.Expect(allowed).To(gomega.And(gomega.BeNumerically("<=", 2*20), gomega.BeNumerically(">", 10)))
}
