package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

// Debt must stay within its bound, and the two sides of a partition must share that bound.
func TestDebtStaysWithinItsBound(t *testing.T) {
	g := gomega.NewWithT(t)
	buckets := NewBuckets(1)
	limit := Limit{Rate: 100, Burst: 1000, Debt: 50}
	_, ok := buckets.Take(0, "a", limit, 990)
	g.Expect(ok).To(gomega.BeTrue())
	wait, ok := buckets.Take(0, "a", limit, 100)
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(wait).To(gomega.Equal(400 * time.Millisecond))
	_, ok = buckets.Take(wait, "a", limit, 100)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(buckets.Level(wait, "a", limit)).To(gomega.BeNumerically("~", -50, 0.001))
	sides := limit.Scaled(0.4).Debt + limit.Scaled(0.6).Debt
	g.Expect(sides).To(gomega.BeNumerically("~", limit.Debt, 0.001), "the sides of a partition must share the debt")
}

// Without debt, buckets under constant excess never fill up enough for large requests, which are then
// rejected far more often than small ones.
func TestLargeRequestsPassAboutAsOftenAsSmallOnesUnderExcess(t *testing.T) {
	g := gomega.NewWithT(t)
	buckets := NewBuckets(1)
	limit := Limit{Rate: 1000, Burst: 1000, Debt: 500}
	passed := map[float64]int{}
	for step := range 4000 {
		now := time.Duration(step) * 50 * time.Millisecond
		for _, cost := range []float64{10, 300} {
			if (step/2)%2 == 0 {
				cost = 310 - cost // alternates which size comes first
			}
			if _, ok := buckets.Take(now, "a", limit, cost); ok {
				passed[cost]++
			}
		}
	}
	g.Expect(passed[10]).To(gomega.BeNumerically(">", 100))
	g.Expect(float64(passed[300])).To(gomega.BeNumerically(">", 0.7*float64(passed[10])))
}

// A request larger than the burst must pass once the bucket is full.
func TestRequestLargerThanBurstPasses(t *testing.T) {
	g := gomega.NewWithT(t)
	buckets := NewBuckets(1)
	_, ok := buckets.Take(0, "a", Limit{Rate: 10, Burst: 100}, 5000)
	g.Expect(ok).To(gomega.BeTrue())
}

// A rate of zero means no limit, also with empty buckets.
func TestTenantWithoutLimitIsNotLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	buckets := NewBuckets(0)
	_, ok := buckets.Take(0, "a", Limit{}, 1e9)
	g.Expect(ok).To(gomega.BeTrue())
}

// In every interval, usage must stay within rate x duration + burst + debt. The name of the test is
// that of its folder in testdata.
func TestTakenStaysUnderTheLimitInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(50, 2000).Draw(t, "burst"), Debt: rapid.Float64Range(0, 40).Draw(t, "debt")}
		buckets := NewBuckets(1)
		type usage struct {
			at   structs.Instant
			cost float64
		}
		var usages []usage
		now := structs.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond
			cost := rapid.Float64Range(1, 50).Draw(t, "cost")
			if _, ok := buckets.Take(now, "a", limit, cost); ok {
				usages = append(usages, usage{now, cost})
			}
		}
		for i := range usages {
			sum := 0.0
			for _, usage := range usages[i:] {
				sum += usage.cost
				bound := limit.Rate*(usage.at-usages[i].at).Seconds() + limit.Burst + max(limit.Debt-minLevel, 0) + minLevel
				if sum > bound+0.001 {
					t.Fatalf("%v taken in %v, bound %v", sum, usage.at-usages[i].at, bound)
				}
			}
		}
	})
}

// A new scheduling node must continue from its predecessor's levels: with nearly empty buckets it
// would reject requests within the quota.
func TestRestoredBucketsContinueFromPredecessor(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	predecessor := NewBuckets(1)
	predecessor.Take(0, "busy", limit, 900)
	predecessor.Take(0, "idle", limit, 10)
	levels := predecessor.Levels(time.Second, 10)
	g.Expect(levels).To(gomega.HaveLen(1))
	successor := NewBuckets(0)
	successor.Restore(time.Second, levels)
	g.Expect(successor.Level(2*time.Second, "busy", limit)).To(gomega.BeNumerically("~", 300, 0.1))
	g.Expect(successor.Level(2*time.Second, "idle", limit)).To(gomega.BeNumerically("~", 1000, 0.1))
}

// After an outage of all nodes, requests queued by the callers must not be rejected by nearly empty
// buckets, since nothing was granted in the meantime.
func TestDowntimeIsCreditedToNewBuckets(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 200}
	buckets := NewBuckets(0.1)
	buckets.CreditDowntime(400*time.Millisecond, time.Second)
	g.Expect(buckets.Level(0, "a", limit)).To(gomega.BeNumerically("~", 60, 0.001))
	g.Expect(buckets.Level(2*time.Second, "late", limit)).To(gomega.BeNumerically("~", 20, 0.001), "another scheduler may have granted since")
	full := NewBuckets(1)
	full.CreditDowntime(time.Second, time.Second)
	g.Expect(full.Level(0, "a", limit)).To(gomega.BeNumerically("~", 200, 0.001), "the level must not exceed the burst")
}

// After a start of all nodes the scheduling node creates its buckets with a small share of each
// limit. The initial tokens must grow with the share, not only refill at the tenants' rates.
func TestInitialTokensGrowWithObservedShare(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000, Debt: 50}
	const downtime, until = 400 * time.Millisecond, 3 * time.Second
	buckets := NewBuckets(0.1)
	buckets.CreditDowntime(downtime, until)
	g.Expect(buckets.Level(0, "a", limit.Scaled(0.1))).To(gomega.BeNumerically("~", 14, 0.001))
	_, ok := buckets.Take(0, "a", limit.Scaled(0.1), 4)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(buckets.Level(0, "a", limit.Scaled(0.5))).To(gomega.BeNumerically("~", 66, 0.001))
	g.Expect(buckets.Level(0, "a", limit.Scaled(0.3))).To(gomega.BeNumerically("~", 66, 0.001), "a smaller share must not reduce the level")
	g.Expect(buckets.Level(0, "a", limit)).To(gomega.BeNumerically("~", 136, 0.001))
	g.Expect(buckets.Level(0, "a", limit.Scaled(0.5))).To(gomega.BeNumerically("~", 136, 0.001))
	g.Expect(buckets.Level(0, "a", limit)).To(gomega.BeNumerically("~", 136, 0.001), "initial tokens must not be granted twice")

	late := NewBuckets(0.1)
	late.CreditDowntime(downtime, until)
	late.Level(0, "a", limit.Scaled(0.1))
	g.Expect(late.Level(until, "a", limit)).To(gomega.BeNumerically("~", 14+300, 0.001), "another scheduler may have granted them since")

	restored := NewBuckets(0.1)
	restored.Restore(0, map[string]float64{"a": 5})
	g.Expect(restored.Level(0, "a", limit.Scaled(0.1))).To(gomega.BeNumerically("~", 5, 0.001))
	g.Expect(restored.Level(0, "a", limit)).To(gomega.BeNumerically("~", 5, 0.001), "another node granted from a restored bucket")
}

// A restarted process that schedules at once must continue from the levels of other schedulers:
// otherwise each restart grants part of each burst again.
func TestRestartedProcessContinuesFromRemoteLevels(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	buckets := NewBuckets(0.1)
	buckets.CreditDowntime(400*time.Millisecond, 3*time.Second)
	buckets.SetAuthoritativeAt(time.Second)
	_, ok := buckets.Take(0, "busy", limit, 60)
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = buckets.Take(0, "idle", limit, 50)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(buckets.Levels(0, 10)).To(gomega.BeNil(), "the buckets are not authoritative yet")
	buckets.MergeRemote(0, 0, map[string]float64{"busy": 20, "other": 5})
	g.Expect(buckets.Level(0, "busy", limit)).To(gomega.BeNumerically("~", -40, 0.001))
	g.Expect(buckets.Level(0, "idle", limit)).To(gomega.BeNumerically("~", 950, 0.001), "a tenant without a remote level starts full")
	g.Expect(buckets.Level(0, "other", limit)).To(gomega.BeNumerically("~", 5, 0.001))
	g.Expect(buckets.Levels(0, 10)).To(gomega.HaveLen(2), "950 of 1000 counts as full")
	g.Expect(buckets.Levels(0, 1)).To(gomega.BeNil(), "there are more buckets than the maximum")
}

// The buckets of a scheduling node refill while it is partitioned, although another node grants from
// the same quota. The lower of both levels must apply afterwards.
func TestMergeKeepsLowerLevel(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	buckets := NewBuckets(1)
	buckets.Take(0, "busy", limit, 100)
	buckets.Take(0, "own", limit, 900)
	buckets.MergeRemote(2*time.Second, 2*time.Second, map[string]float64{"busy": 30, "own": 800, "other": 7})
	g.Expect(buckets.Level(2*time.Second, "busy", limit)).To(gomega.BeNumerically("~", 30, 0.001))
	g.Expect(buckets.Level(2*time.Second, "own", limit)).To(gomega.BeNumerically("~", 300, 0.001))
	g.Expect(buckets.Level(2*time.Second, "other", limit)).To(gomega.BeNumerically("~", 7, 0.001))
}

// Guards against a restored bucket without a limit until its first use: it counted as full in reports and
// as empty when other levels were merged.
func TestRestoredBucketKeepsItsLevelUntilItsFirstUse(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	buckets := NewBuckets(0.1)
	buckets.Restore(0, map[string]float64{"a": 500, "b": 400})
	g.Expect(buckets.Levels(0, 10)).To(gomega.Equal(map[string]float64{"a": 500, "b": 400}))
	buckets.MergeRemote(time.Second, time.Second, map[string]float64{"a": 550})
	g.Expect(buckets.Levels(time.Second, 10)).To(gomega.HaveKeyWithValue("a", 550.0), "a later level replaces the restored one")
	g.Expect(buckets.Level(2*time.Second, "a", limit)).To(gomega.BeNumerically("~", 650, 0.001))
	g.Expect(buckets.Level(2*time.Second, "b", limit)).To(gomega.BeNumerically("~", 600, 0.001))
}
