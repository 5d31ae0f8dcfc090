package limits

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

var limit = Limit{Rate: 90, Burst: 3, Concurrency: 7}

// The unexpired allocations of one owner must not add up to more than the limit.
func TestAllocationsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := NewOwner()
		latest := map[string]Allocation{}
		grantedAt := map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			node := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "node"))
			demand := Demand{Tenant: "t", Rate: rapid.Float64Range(0, 200).Draw(t, "rate"), InFlight: rapid.IntRange(0, 20).Draw(t, "open")}
			grant := owner.Allocate(now, Report{From: node, Demands: []Demand{demand}}, func(string) Limit { return limit })
			latest[node], grantedAt[node] = grant.Allocations[0], now
			rate, concurrency := 0.0, 0
			for other, allocation := range latest {
				if now-grantedAt[other] <= grantLease { // nodes don't use expired allocations
					rate += allocation.Rate
					concurrency += allocation.Concurrency
				}
			}
			if rate > limit.Rate+1e-6 || concurrency > limit.Concurrency {
				t.Fatalf("allocations add up to %.2f requests/s and a concurrency of %d", rate, concurrency)
			}
		}
	})
}

// A member must admit no more than the rate and concurrency of its equal share.
func TestMemberEnforcesRateAndConcurrency(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember()
	admitted := 0
	for step := range 1000 {
		if m.Admit(time.Duration(step)*time.Millisecond, "t", Limit{Rate: 50, Burst: 1}) == structs.ReasonNone {
			admitted++
		}
	}
	g.Expect(admitted).To(gomega.BeNumerically("~", 50, 2))
	for range 3 {
		g.Expect(m.Admit(0, "c", Limit{Concurrency: 3})).To(gomega.Equal(structs.ReasonNone))
	}
	g.Expect(m.Admit(0, "c", Limit{Concurrency: 3})).To(gomega.Equal(structs.ReasonConcurrency))
	m.Release("c")
	g.Expect(m.Admit(0, "c", Limit{Concurrency: 3})).To(gomega.Equal(structs.ReasonNone))
}

// Nodes without a grant must not use more than the limit together.
func TestNodeWithoutGrantsUsesEqualShare(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember()
	m.SetLiveNodes(3)
	admitted := 0
	for m.Admit(0, "t", Limit{Concurrency: 6}) == structs.ReasonNone {
		admitted++
	}
	g.Expect(admitted).To(gomega.Equal(2))
}
