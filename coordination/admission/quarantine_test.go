package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/replicas"
)

// Guards against a replica that fails all the time and gets requests at once after many quarantines in
// a row: each quarantine must last maxQuarantineTime once that is reached.
func TestQuarantineTimeStaysAtItsMaximum(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(1, 1, 1, 1))
	now := time.Duration(0)
	for quarantine := range 100 {
		for failure := 0; !s.replicaState("r0").isQuarantined(now); failure++ {
			g.Expect(failure).To(gomega.BeNumerically("<", 10), "quarantine %d must last", quarantine+1)
			s.recordOutcome(now, "s", "r0", true)
			for range 20 {
				s.recordOutcome(now, "s", "r1", false)
			}
		}
		lasts := s.replicaState("r0").health.quarantinedUntil - now
		if quarantine >= 2 {
			g.Expect(lasts).To(gomega.Equal(maxQuarantineTime), "quarantine %d", quarantine+1)
		}
		now += lasts
	}
}

// Guards against a replica that started again and is left out for the failures of its previous
// incarnation, whose requests end after the new entry is known.
func TestFailuresOfAnEarlierIncarnationDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	listed := func(startedAt int64) []replicas.Replica {
		all := replicasWithSlots(6, 6)
		all[0].StartedAt, all[0].Position = startedAt, 0
		return all
	}
	s.SetReplicas(0, listed(1))
	var assigned []string
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"} {
		s.Submit(0, newRequest(id, 0))
	}
	for _, decision := range s.Decide(0) {
		if decision.Replica.ID == "r0" {
			assigned = append(assigned, decision.ID)
		}
	}
	g.Expect(assigned).To(gomega.HaveLen(6))
	s.SetReplicas(ms, listed(2))
	for _, id := range assigned {
		_, found := s.Finish(2*ms, id, Observation{Failed: true, Duration: ms})
		g.Expect(found).To(gomega.BeTrue())
	}
	state := s.replicaState("r0")
	g.Expect(state.isQuarantined(2 * ms)).To(gomega.BeFalse())
	g.Expect(state.health.cusum).To(gomega.BeZero())
	g.Expect(state.inFlight(2 * ms)).To(gomega.BeZero())
}
