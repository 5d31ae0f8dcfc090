package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// takeAll takes as much as the bucket grants, every 10 ms, and returns the total.
func takeAll(buckets *Buckets, from, until structs.Instant, limit Limit) float64 {
	total := 0.0
	for now := from; now < until; now += 10 * time.Millisecond {
		for {
			if _, ok := buckets.Take(now, "a", limit, 1); !ok {
				break
			}
			total++
		}
	}
	return total
}

// In partitions too short to be detected two nodes each grant the full rate. The usage of one must
// be charged to the other afterwards, or repeated partitions exceed the quota.
func TestUndetectedPartitionsDoNotExceedQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 100}
	buckets := NewBuckets(1)
	granted, cycles := 0.0, 20
	for cycle := range cycles {
		startedAt := structs.Instant(cycle) * time.Second
		granted += takeAll(buckets, startedAt, startedAt+500*time.Millisecond, limit)
		partitionedAt := startedAt + 500*time.Millisecond
		other := NewBuckets(0)
		other.Restore(partitionedAt, buckets.Levels(partitionedAt, 10))
		endedAt := startedAt + time.Second
		granted += takeAll(buckets, partitionedAt, endedAt, limit) + takeAll(other, partitionedAt, endedAt, limit)
		buckets.ChargeRemote(RemoteUsage{Since: partitionedAt, Amounts: other.Usage(endedAt, 10), Levels: other.Levels(endedAt, 10)})
	}
	allowed := limit.Rate*float64(cycles) + limit.Burst + limit.Rate
	g.Expect(granted).To(gomega.BeNumerically("<=", allowed))
	g.Expect(granted).To(gomega.BeNumerically(">=", limit.Rate*float64(cycles)*0.95))
}

// In a detected partition each side grants only its share, so that neither must be charged for the
// other's usage afterwards.
func TestReservedTokensCoverRemoteUsage(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 100}
	buckets, other := NewBuckets(0), NewBuckets(0)
	healedAt := 4 * time.Second
	takeAll(buckets, 0, healedAt, limit.Scaled(0.6))
	takeAll(other, 0, healedAt, limit.Scaled(0.4))
	before := buckets.Level(healedAt, "a", limit.Scaled(0.6))
	buckets.ChargeRemote(RemoteUsage{Amounts: other.Usage(healedAt, 10)})
	g.Expect(buckets.Level(healedAt, "a", limit)).To(gomega.BeNumerically("~", before, 2))
}

// A process that resumes after another node took over must continue from that node's levels instead
// of being charged for its usage.
func TestResumedNodeIsNotChargedForItsSuccessor(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 100}
	buckets := NewBuckets(1)
	takeAll(buckets, 0, time.Second, Limit{Rate: 50, Burst: 100})
	resumedAt := 3 * time.Second
	remote := RemoteUsage{Since: 1500 * time.Millisecond, Amounts: map[string]float64{"a": 120}, Levels: map[string]float64{"a": 60}}
	buckets.ChargeRemote(remote)
	buckets.MergeRemote(resumedAt, resumedAt, remote.Levels)
	g.Expect(buckets.Level(resumedAt, "a", limit)).To(gomega.BeNumerically("~", 60, 1))
	buckets.Take(resumedAt, "a", limit, 10)
	buckets.ChargeRemote(remote)
	g.Expect(buckets.Level(resumedAt, "a", limit)).To(gomega.BeNumerically("~", 50, 1))
}

// Remote usage may arrive before the tenant's first request and must be charged once the bucket is
// created.
func TestChargeBeforeBucketExistsIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	buckets := NewBuckets(1)
	buckets.ChargeRemote(RemoteUsage{Amounts: map[string]float64{"a": 70}})
	g.Expect(buckets.Level(0, "a", Limit{Rate: 100, Burst: 100})).To(gomega.BeNumerically("~", 30, 0.1))
	g.Expect(buckets.Level(0, "b", Limit{Rate: 100, Burst: 100})).To(gomega.BeNumerically("~", 100, 0.1))
}

// Guards against a node that loses its tokens when its side of a partition is small: the nodes that it
// lost take over their share of the level themselves, and their usage is charged later.
func TestLevelIsKeptWhenTheShareShrinks(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	buckets := NewBuckets(1)
	buckets.Take(0, "a", limit, 100)
	g.Expect(buckets.Level(time.Second, "a", limit.Scaled(0.3))).To(gomega.BeNumerically("~", 900, 0.001), "nor does it grow beyond the share of the burst")
	g.Expect(buckets.Level(2*time.Second, "a", limit)).To(gomega.BeNumerically("~", 1000, 0.001))
	buckets.Take(2*time.Second, "a", limit.Scaled(0.3), 900)
	g.Expect(buckets.Level(time.Minute, "a", limit.Scaled(0.3))).To(gomega.BeNumerically("~", 300, 0.001))
}

// Guards against charges for tokens that were refilled long ago: reports leave out buckets that are
// near full, and a bucket that was left out seemed to have used nothing before.
func TestUsageBeforeTheBucketWasFullIsNotReported(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 100}
	buckets := NewBuckets(1)
	now := structs.Instant(0)
	for range 100 {
		now += 2 * time.Second
		buckets.Take(now, "a", limit, 50)
		g.Expect(buckets.Usage(now, 10)).To(gomega.Equal(map[string]float64{"a": 50}))
		g.Expect(buckets.Usage(now+time.Second, 10)).To(gomega.BeEmpty())
	}
}

// Guards against two sides of a partition that both continue from the whole level, and against successors
// that take the part that one side holds for the whole: after a few partitions nothing would be left.
func TestSuccessorTakesOverItsShareOfTheLevelsAndReportsTheWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 1000}
	buckets := NewBuckets(1)
	levels := map[string]float64{"a": 400, "b": -20}
	buckets.RestoreShare(0, levels, 0.25)
	g.Expect(buckets.Levels(0, 10)).To(gomega.Equal(levels), "before their first use")
	g.Expect(buckets.Level(0, "a", limit.Scaled(0.25))).To(gomega.BeNumerically("~", 100, 0.001))
	g.Expect(buckets.Level(0, "b", limit.Scaled(0.25))).To(gomega.BeNumerically("~", -20, 0.001))
	g.Expect(buckets.Levels(0, 10)).To(gomega.Equal(levels))
}
