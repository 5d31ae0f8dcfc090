package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/rollouts"
)

// Guards against the share of its old entry for a replica that the target of a roll-out may have replaced in place, while
// others have room, and against one that is idle while they have none: it may be of the same version as before.
func TestReplicaThatMayBeOfTheTargetComesLast(t *testing.T) {
	policyIn := func(phase rollouts.Phase) rollouts.VersionPolicy {
		return rollouts.VersionPolicy{Service: "s", Target: "v2", Phase: phase}
	}
	end := func(s *Scheduler) { s.RecordEnd(0, "r0") }
	for name, test := range map[string]struct {
		policy  rollouts.VersionPolicy
		prepare func(s *Scheduler)
		isLast  bool
	}{
		"in the canary phase":        {policyIn(rollouts.PhaseCanary), end, true},
		"while it is rolled back":    {policyIn(rollouts.PhaseRollingBack), end, true},
		"once it was rolled back":    {policyIn(rollouts.PhaseRolledBack), end, true},
		"without a roll-out":         {rollouts.VersionPolicy{}, end, false},
		"it did not end":             {policyIn(rollouts.PhaseCanary), func(*Scheduler) {}, false},
		"its entry is confirmed":     {policyIn(rollouts.PhaseCanary), func(s *Scheduler) { end(s); s.ConfirmEntries() }, false},
		"its successor has an entry": {policyIn(rollouts.PhaseCanary), func(s *Scheduler) { end(s); startAgain(s) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New()
			s.SetReplicas(0, replicasWithSlots(4, 4, 4))
			s.SetSlowStart("s", SlowStart{})
			s.SetVersions("s", test.policy)
			test.prepare(s)
			counts := map[string]int{}
			assign := func(from, to int) {
				for i := from; i < to; i++ {
					s.Submit(time.Second, newRequest(fmt.Sprint(i), 0))
				}
				for _, decision := range s.Decide(time.Second) {
					counts[decision.Replica.ID]++
				}
			}
			assign(0, 6)
			g.Expect(counts["r0"] == 0).To(gomega.Equal(test.isLast), "%v", counts)
			assign(6, 12)
			g.Expect(counts["r0"]).To(gomega.BeNumerically(">=", 3), "the others have no room: %v", counts)
			g.Expect(counts["r0"]+counts["r1"]+counts["r2"]).To(gomega.Equal(12), "%v", counts)
		})
	}
}

// startAgain lists another incarnation of r0.
func startAgain(s *Scheduler) {
	all := replicasWithSlots(4, 4, 4)
	all[0].StartedAt = 2
	s.SetReplicas(0, all)
}
