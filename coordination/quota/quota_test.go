package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

// Seen on the bench: agency hunt, QUOTA. While a zone was cut off, each side
// let one large request into debt.
func TestBucketGoesIntoDebtByHalfARequestAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewLedger(1)
	limit := Limit{Rate: 100, Burst: 1000}
	_, ok := ledger.Take(0, "a", limit, 990)
	g.Expect(ok).To(gomega.BeTrue())
	wait, ok := ledger.Take(0, "a", limit, 100)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(wait).To(gomega.Equal(400 * time.Millisecond))
	_, ok = ledger.Take(wait, "a", limit, 100)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(ledger.Level(wait, "a", limit)).To(gomega.BeNumerically("~", -50, 0.001))
}

func TestRequestLargerThanTheBurstIsNotRefusedForEver(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewLedger(1)
	_, ok := ledger.Take(0, "a", Limit{Rate: 10, Burst: 100}, 5000)
	g.Expect(ok).To(gomega.BeTrue())
}

func TestTenantWithoutALimitIsNotHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewLedger(0)
	_, ok := ledger.Take(0, "a", Limit{}, 1e9)
	g.Expect(ok).To(gomega.BeTrue())
}

// In every span, what is taken stays under rate times span plus burst plus the
// debt of half the largest request.
func TestTakenStaysUnderTheLimitInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(50, 2000).Draw(t, "burst")}
		ledger := NewLedger(1)
		type taken struct {
			at   structs.Instant
			cost float64
		}
		var all []taken
		now := structs.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond
			cost := rapid.Float64Range(1, 50).Draw(t, "cost")
			if _, ok := ledger.Take(now, "a", limit, cost); ok {
				all = append(all, taken{now, cost})
			}
		}
		for i := range all {
			sum := 0.0
			for _, one := range all[i:] {
				sum += one.cost
				bound := limit.Rate*(one.at-all[i].at).Seconds() + limit.Burst + 25
				if sum > bound+0.001 {
					t.Fatalf("%v taken in %v, bound %v", sum, one.at-all[i].at, bound)
				}
			}
		}
	})
}

// Seen on the bench: co-op trouble-3. A scheduling node that took over began
// with nearly empty buckets and refused what was below the quota.
func TestLedgerThatTakesOverGoesOnWhereTheOtherWas(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	before := NewLedger(1)
	before.Take(0, "busy", limit, 900)
	before.Take(0, "idle", limit, 10)
	levels := before.Levels(time.Second, 10)
	g.Expect(levels).To(gomega.HaveLen(1))
	after := NewLedger(0)
	after.Seed(time.Second, levels)
	g.Expect(after.Level(2*time.Second, "busy", limit)).To(gomega.BeNumerically("~", 300, 0.1))
	g.Expect(after.Level(2*time.Second, "idle", limit)).To(gomega.BeNumerically("~", 1000, 0.1))
}
