package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// takeAll takes all that the bucket gives, each 10 ms, and returns it.
func takeAll(ledger *Buckets, from, until structs.Instant, limit Limit) float64 {
	taken := 0.0
	for now := from; now < until; now += 10 * time.Millisecond {
		for {
			if _, ok := ledger.Take(now, "a", limit, 1); !ok {
				break
			}
			taken++
		}
	}
	return taken
}

// A network that is cut and healed faster than the cut is noticed has two nodes hand out the whole
// quota half of the time. What one handed out is taken from the other when that hears of it.
func TestSidesOfAnUnnoticedCutHandOutAQuotaOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 100}
	ledger := NewBuckets(1)
	taken, cycles := 0.0, 20
	for cycle := range cycles {
		begun := structs.Instant(cycle) * time.Second
		taken += takeAll(ledger, begun, begun+500*time.Millisecond, limit)
		cut := begun + 500*time.Millisecond
		other := NewBuckets(0)
		other.Restore(cut, ledger.Levels(cut, 10))
		ended := begun + time.Second
		taken += takeAll(ledger, cut, ended, limit) + takeAll(other, cut, ended, limit)
		ledger.ChargeRemote(RemoteUsage{Since: cut, Amounts: other.Taken(ended, 10), Levels: other.Levels(ended, 10)})
	}
	allowed := limit.Rate*float64(cycles) + limit.Burst + limit.Rate
	g.Expect(taken).To(gomega.BeNumerically("<=", allowed))
	g.Expect(taken).To(gomega.BeNumerically(">=", limit.Rate*float64(cycles)*0.95))
}

// In a cut that is noticed each side hands out its share, and owes nothing once it heals.
func TestWhatWasWithheldForTheOtherSidePaysForIt(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 100}
	ledger, other := NewBuckets(0), NewBuckets(0)
	healed := 4 * time.Second
	takeAll(ledger, 0, healed, limit.Scaled(0.6))
	takeAll(other, 0, healed, limit.Scaled(0.4))
	before := ledger.Level(healed, "a", limit.Scaled(0.6))
	ledger.ChargeRemote(RemoteUsage{Amounts: other.Taken(healed, 10)})
	g.Expect(ledger.Level(healed, "a", limit)).To(gomega.BeNumerically("~", before, 2))
}

// A process that stood still, while another handed out in its place, goes on from the other's bucket.
func TestANodeThatStoodStillIsNotChargedForItsSuccessor(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := Limit{Rate: 100, Burst: 100}
	ledger := NewBuckets(1)
	takeAll(ledger, 0, time.Second, Limit{Rate: 50, Burst: 100})
	resumed := 3 * time.Second
	handed := RemoteUsage{Since: 1500 * time.Millisecond, Amounts: map[string]float64{"a": 120}, Levels: map[string]float64{"a": 60}}
	ledger.ChargeRemote(handed)
	ledger.MergeRemote(resumed, resumed, handed.Levels)
	g.Expect(ledger.Level(resumed, "a", limit)).To(gomega.BeNumerically("~", 60, 1))
	ledger.Take(resumed, "a", limit, 10)
	ledger.ChargeRemote(handed)
	g.Expect(ledger.Level(resumed, "a", limit)).To(gomega.BeNumerically("~", 50, 1))
}

func TestAChargeForAnUnknownBucketIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	ledger := NewBuckets(1)
	ledger.ChargeRemote(RemoteUsage{Amounts: map[string]float64{"a": 70}})
	g.Expect(ledger.Level(0, "a", Limit{Rate: 100, Burst: 100})).To(gomega.BeNumerically("~", 30, 0.1))
	g.Expect(ledger.Level(0, "b", Limit{Rate: 100, Burst: 100})).To(gomega.BeNumerically("~", 100, 0.1))
}
