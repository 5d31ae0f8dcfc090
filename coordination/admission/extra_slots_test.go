package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// extraSlotsOfAll returns the extra slots of the replicas of a pool with responses of that duration.
func extraSlotsOfAll(policy Policy, replicas, slots int, duration time.Duration) (total int, counts map[int]int) {
	s := New()
	s.SetPolicy(policy)
	pool := s.pool("s")
	pool.meanDuration = duration
	counts = map[int]int{}
	for index := range replicas {
		extra := s.extraSlots(pool, slots, index)
		counts[extra]++
		total += extra
	}
	return total, counts
}

// Guards against slots that stay idle at each handover under overload where responses take many times as
// long as the handover, and against replicas that get more extra requests than finish in that time.
func TestFractionsOfExtraSlotsAreSpreadOverReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	policy := Policy{SlotHandover: 25 * ms}
	total, counts := extraSlotsOfAll(policy, 140, 4, 300*ms)
	g.Expect(total).To(gomega.BeNumerically("~", 140*4*25/300, 2))
	g.Expect(counts).To(gomega.HaveLen(2), "none or one each")
	total, _ = extraSlotsOfAll(policy, 3, 6, 50*ms)
	g.Expect(total).To(gomega.Equal(9))
	total, _ = extraSlotsOfAll(policy, 1, 1, 500*ms)
	g.Expect(total).To(gomega.BeZero(), "a single replica is rounded")
	total, _ = extraSlotsOfAll(policy, 10, 4, 0)
	g.Expect(total).To(gomega.Equal(40), "no more than its slots")
}

// Guards against a change of the replicas' limits in deployments that don't set the handover time.
func TestExtraSlotsAreWholeWithoutHandoverTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, duration := range []time.Duration{0, 5 * ms, 30 * ms, 48 * ms, 300 * ms} {
		total, counts := extraSlotsOfAll(Policy{TenantShares: true, FeasibleOrder: true}, 10, 6, duration)
		g.Expect(counts).To(gomega.HaveLen(1))
		g.Expect(total).To(gomega.Equal(10 * int(6*float64(slotHandoverTime)/float64(max(duration, slotHandoverTime)))))
	}
}
