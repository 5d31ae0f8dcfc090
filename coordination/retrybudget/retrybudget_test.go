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
