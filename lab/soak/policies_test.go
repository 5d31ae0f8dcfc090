package soak

import (
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
)

// Guards against runs that never have a policy on, or never off, and against a draw that a seed does
// not repeat.
func TestPoliciesAreOnInMostRunsAndOffInSome(t *testing.T) {
	g := gomega.NewWithT(t)
	const seeds = 200
	on := map[string]int{}
	for seed := range uint64(seeds) {
		drawn := drawPolicies(seed)
		g.Expect(drawPolicies(seed)).To(gomega.Equal(drawn))
		for name, isOn := range map[string]bool{
			"equal shares": drawn.tenantShares == entry.SharesEqual, "shares by quota": drawn.tenantShares == entry.SharesByQuota,
			"shares": drawn.tenantShares != entry.SharesOff, "order": drawn.queueOrder == entry.OrderFeasible,
			"returns": drawn.plannedReturns, "handover": drawn.slotHandoverMS > 0,
		} {
			if isOn {
				on[name]++
			}
		}
	}
	for _, name := range []string{"shares", "order", "returns", "handover"} {
		g.Expect(on[name]).To(gomega.And(gomega.BeNumerically(">", seeds/2), gomega.BeNumerically("<", seeds*9/10)), name)
	}
	g.Expect(on["equal shares"]).To(gomega.BeNumerically(">", seeds/5))
	g.Expect(on["shares by quota"]).To(gomega.BeNumerically(">", seeds/5))
}

// Guards against tests of CI that run with a policy off: most of them run seed 1.
func TestSeedOfTheShortRunsHasAllPoliciesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	drawn := drawPolicies(1)
	g.Expect(drawn.tenantShares).NotTo(gomega.Equal(entry.SharesOff))
	g.Expect(drawn.queueOrder).To(gomega.Equal(entry.OrderFeasible))
	g.Expect(drawn.plannedReturns).To(gomega.BeTrue())
	g.Expect(drawn.slotHandoverMS).To(gomega.BeNumerically(">", 0))
}

// Guards against policies that are lost or invalid in the settings file of the daemon.
func TestPoliciesReachTheSettingsFile(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(50) {
		drawn, settings := drawPolicies(seed), nodeSettings(&Options{Seed: seed, Block: "127.0.8"}, 0, "127.0.8.9:8300")
		content, err := yaml.Marshal(settings)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		read, err := entry.ParseSettings(content)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(policies{read.TenantShares, read.QueueOrder, read.PlannedReturns, int(read.SlotHandover)}).To(gomega.Equal(drawn))
	}
}
