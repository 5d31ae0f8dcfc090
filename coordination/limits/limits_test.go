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

func TestSlicesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := NewOwner()
		latest := map[string]Allocation{}
		heard := map[string]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			node := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "node"))
			demand := Demand{Tenant: "t", Rate: rapid.Float64Range(0, 200).Draw(t, "rate"), Open: rapid.IntRange(0, 20).Draw(t, "open")}
			grant := owner.Allocate(now, Report{From: node, Demands: []Demand{demand}}, func(string) Limit { return limit })
			latest[node], heard[node] = grant.Slices[0], now
			rate, open := 0.0, 0
			for other, slice := range latest {
				if now-heard[other] <= grantLease { // nodes use a slice no longer
					rate += slice.Rate
					open += slice.Concurrency
				}
			}
			if rate > limit.Rate+1e-6 || open > limit.Concurrency {
				t.Fatalf("slices add up to %.2f/s and %d open", rate, open)
			}
		}
	})
}

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

func TestCutOffNodeFallsBackToItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewMember()
	m.SetLiveNodes(3)
	open := 0
	for m.Admit(0, "t", Limit{Concurrency: 6}) == structs.ReasonNone {
		open++
	}
	g.Expect(open).To(gomega.Equal(2))
}
