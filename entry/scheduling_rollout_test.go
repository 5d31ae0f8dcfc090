package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/rollouts"
)

// Guards against a doubtful version that gets every request because the scheduling node was suspended, or
// because it was not the scheduling node for a moment, and forgot the evidence.
func TestDoubtfulVersionIsNotSwitchedToAfterASuspension(t *testing.T) {
	for name, interrupt := range map[string]func(*schedulingService){
		"suspended":                       func(s *schedulingService) { s.reset(nil, nil) },
		"not scheduling":                  func(s *schedulingService) { s.setActive(false); s.setActive(true) },
		"suspended while not scheduling":  func(s *schedulingService) { s.setActive(false); s.reset(nil, nil); s.setActive(true) },
		"suspended as it schedules again": func(s *schedulingService) { s.setActive(false); s.setActive(true); s.reset(nil, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				start := time.Now()
				s := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Window: time.Second}, true)
				defer s.timer.Stop()
				s.rolloutPolicy = rollout.Policy{Share: 0.1, Slack: 50}
				s.setActive(true)
				inputs := rollout.Inputs{
					Order: rollouts.Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Position: 5}, TargetSlots: 8, OtherSlots: 8, Confirmed: true,
				}
				var record rollouts.Record
				write := func() {
					next, due := s.proposeRollout(inputs, record)
					g.Expect(due).To(gomega.BeTrue())
					g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCanary))
					position := max(record.Position, inputs.Order.Position) + 1
					s.recordRolloutWrite(next, position, nil)
					next.Position = position
					record = next
				}
				answer := func(version string, index int, failed bool) {
					s.mutex.Lock()
					defer s.mutex.Unlock()
					s.recordRolloutResult(admission.Completion{Service: "s", Route: "r", Replica: fmt.Sprint(version, index%4), Version: version, AssignedAt: s.clock()},
						admission.Observation{Duration: 20 * time.Millisecond, Failed: failed}, false)
				}
				score := func() float64 { found, _ := s.regressionScore("s"); return found }
				write()
				for i := range 600 {
					answer("v1", i, false)
					if i%10 == 0 {
						answer("v2", i/10, false)
					}
				}
				for i := 0; score() < 0.7; i++ {
					answer("v2", i, true)
				}
				g.Expect(score()).To(gomega.BeNumerically("<", 1))
				time.Sleep(10 * time.Second)
				inputs.Elapsed = s.clock()
				write()
				before := score()
				interrupt(s)
				time.Sleep(7500 * time.Millisecond)
				inputs.Elapsed = s.clock()
				next, due := s.proposeRollout(inputs, record)
				g.Expect(due && next.Phase == rollouts.PhaseSwitching).To(gomega.BeFalse())
				g.Expect(score()).To(gomega.Equal(before))
			})
		})
	}
}
