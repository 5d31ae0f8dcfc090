package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

// While a zone was cut off, each side let one large request into debt.
func TestBucketGoesIntoDebtByItsBoundAtMost(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewBuckets(1)
	limit := Limit{Rate: 100, Burst: 1000, Debt: 50}
	_, ok := ledger.Take(0, "a", limit, 990)
	g.Expect(ok).To(gomega.BeTrue())
	wait, ok := ledger.Take(0, "a", limit, 100)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(wait).To(gomega.Equal(400 * time.Millisecond))
	_, ok = ledger.Take(wait, "a", limit, 100)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(ledger.Level(wait, "a", limit)).To(gomega.BeNumerically("~", -50, 0.001))
	sides := limit.Scaled(0.4).Debt + limit.Scaled(0.6).Debt
	g.Expect(sides).To(gomega.BeNumerically("~", limit.Debt, 0.001), "the sides of a cut share it")
}

// Large requests had to find more in the bucket than small ones, and it was never that
// full: long prompts of the most urgent route were refused twice as often as short ones.
func TestUnderAConstantExcessLargeRequestsPassAsOftenAsSmallOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewBuckets(1)
	limit := Limit{Rate: 1000, Burst: 1000, Debt: 500}
	passed := map[float64]int{}
	for step := range 4000 {
		now := time.Duration(step) * 50 * time.Millisecond
		for _, cost := range []float64{10, 300} {
			if (step/2)%2 == 0 {
				cost = 310 - cost // so that neither size always comes first
			}
			if _, ok := ledger.Take(now, "a", limit, cost); ok {
				passed[cost]++
			}
		}
	}
	g.Expect(passed[10]).To(gomega.BeNumerically(">", 100))
	g.Expect(float64(passed[300])).To(gomega.BeNumerically(">", 0.7*float64(passed[10])))
}

func TestRequestLargerThanTheBurstIsNotRefusedForEver(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewBuckets(1)
	_, ok := ledger.Take(0, "a", Limit{Rate: 10, Burst: 100}, 5000)
	g.Expect(ok).To(gomega.BeTrue())
}

func TestTenantWithoutALimitIsNotHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewBuckets(0)
	_, ok := ledger.Take(0, "a", Limit{}, 1e9)
	g.Expect(ok).To(gomega.BeTrue())
}

// In every span, what is taken stays under rate times span plus burst plus debt.
func TestTakenStaysUnderTheLimitInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(50, 2000).Draw(t, "burst"), Debt: rapid.Float64Range(0, 40).Draw(t, "debt")}
		ledger := NewBuckets(1)
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
				bound := limit.Rate*(one.at-all[i].at).Seconds() + limit.Burst + max(limit.Debt-leastHeld, 0) + leastHeld
				if sum > bound+0.001 {
					t.Fatalf("%v taken in %v, bound %v", sum, one.at-all[i].at, bound)
				}
			}
		}
	})
}

// A scheduling node that took over began with nearly empty buckets and refused what was
// below the quota.
func TestLedgerThatTakesOverGoesOnWhereTheOtherWas(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	before := NewBuckets(1)
	before.Take(0, "busy", limit, 900)
	before.Take(0, "idle", limit, 10)
	levels := before.Levels(time.Second, 10)
	g.Expect(levels).To(gomega.HaveLen(1))
	after := NewBuckets(0)
	after.Restore(time.Second, levels)
	g.Expect(after.Level(2*time.Second, "busy", limit)).To(gomega.BeNumerically("~", 300, 0.1))
	g.Expect(after.Level(2*time.Second, "idle", limit)).To(gomega.BeNumerically("~", 1000, 0.1))
}

// After all nodes were killed at once, what had piled up meanwhile met nearly empty
// buckets, although nobody had taken anything.
func TestLedgerOfASystemThatWasDownHoldsWhatCameInMeanwhile(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 200}
	ledger := NewBuckets(0.1)
	ledger.CreditDowntime(400*time.Millisecond, time.Second)
	g.Expect(ledger.Level(0, "a", limit)).To(gomega.BeNumerically("~", 60, 0.001))
	g.Expect(ledger.Level(2*time.Second, "late", limit)).To(gomega.BeNumerically("~", 20, 0.001), "others may have taken since")
	full := NewBuckets(1)
	full.CreditDowntime(time.Second, time.Second)
	g.Expect(full.Level(0, "a", limit)).To(gomega.BeNumerically("~", 200, 0.001), "never more than the burst")
}

// After a start of all nodes the scheduling node makes its buckets when it has heard few
// of the nodes whose names it knows. What they lack must not come back only at the
// tenants' rates, when the callers have come and gone.
func TestBucketsOfAStartGrowWithTheShareOfNodesHeard(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000, Debt: 50}
	const idle, until = 400 * time.Millisecond, 3 * time.Second
	ledger := NewBuckets(0.1)
	ledger.CreditDowntime(idle, until)
	g.Expect(ledger.Level(0, "a", limit.Scaled(0.1))).To(gomega.BeNumerically("~", 14, 0.001))
	_, ok := ledger.Take(0, "a", limit.Scaled(0.1), 4)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(ledger.Level(0, "a", limit.Scaled(0.5))).To(gomega.BeNumerically("~", 66, 0.001))
	g.Expect(ledger.Level(0, "a", limit.Scaled(0.3))).To(gomega.BeNumerically("~", 66, 0.001), "nothing is taken back")
	g.Expect(ledger.Level(0, "a", limit)).To(gomega.BeNumerically("~", 136, 0.001))
	g.Expect(ledger.Level(0, "a", limit.Scaled(0.5))).To(gomega.BeNumerically("~", 136, 0.001))
	g.Expect(ledger.Level(0, "a", limit)).To(gomega.BeNumerically("~", 136, 0.001), "not twice")

	late := NewBuckets(0.1)
	late.CreditDowntime(idle, until)
	late.Level(0, "a", limit.Scaled(0.1))
	g.Expect(late.Level(until, "a", limit)).To(gomega.BeNumerically("~", 14+300, 0.001), "others may have handed it out since")

	after := NewBuckets(0.1)
	after.Restore(0, map[string]float64{"a": 5})
	g.Expect(after.Level(0, "a", limit.Scaled(0.1))).To(gomega.BeNumerically("~", 5, 0.001))
	g.Expect(after.Level(0, "a", limit)).To(gomega.BeNumerically("~", 5, 0.001), "another node handed out from it")
}

// A process that started again on the node that is first in the order scheduled at once. It
// knew nothing of what others had handed out and gave a part of each burst, each time: 4,020
// tokens in a window of 3,000.
func TestALedgerOfAProcessThatStartsGoesOnFromWhatOthersTellIt(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	ledger := NewBuckets(0.1)
	ledger.CreditDowntime(400*time.Millisecond, 3*time.Second)
	ledger.SetAuthoritativeAfter(time.Second)
	_, ok := ledger.Take(0, "busy", limit, 60)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = ledger.Take(0, "idle", limit, 50)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(ledger.Levels(0, 10)).To(gomega.BeNil(), "it can't speak for the others yet")
	ledger.MergeRemote(0, 0, map[string]float64{"busy": 20, "other": 5})
	g.Expect(ledger.Level(0, "busy", limit)).To(gomega.BeNumerically("~", -40, 0.001))
	g.Expect(ledger.Level(0, "idle", limit)).To(gomega.BeNumerically("~", 950, 0.001), "not named: full")
	g.Expect(ledger.Level(0, "other", limit)).To(gomega.BeNumerically("~", 5, 0.001))
	g.Expect(ledger.Levels(0, 10)).To(gomega.HaveLen(2), "950 of 1,000 counts as full")
	g.Expect(ledger.Levels(0, 1)).To(gomega.BeNil(), "more than can be told")
}

// A scheduling node that had been cut off for a while came back with full buckets, while
// another one had handed out in its place.
func TestOfTwoLedgersTheEmptierCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	ledger := NewBuckets(1)
	ledger.Take(0, "busy", limit, 100)
	ledger.Take(0, "own", limit, 900)
	ledger.MergeRemote(2*time.Second, 2*time.Second, map[string]float64{"busy": 30, "own": 800, "other": 7})
	g.Expect(ledger.Level(2*time.Second, "busy", limit)).To(gomega.BeNumerically("~", 30, 0.001))
	g.Expect(ledger.Level(2*time.Second, "own", limit)).To(gomega.BeNumerically("~", 300, 0.001))
	g.Expect(ledger.Level(2*time.Second, "other", limit)).To(gomega.BeNumerically("~", 7, 0.001))
}
