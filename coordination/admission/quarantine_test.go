package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
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
