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
	"github.com/thornwalk/thornwalk/state/replicas"
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

// Guards against a version that is judged by answers of another one, which replaced one of its replicas in place while
// its new entry is not known.
func TestAnswersOfAnUnknownSuccessorAreNoEvidence(t *testing.T) {
	old, next := replicas.Replica{ID: "r", Service: "s", Slots: 4, Version: "v1", StartedAt: 1, Position: 1}, replicas.Replica{ID: "r", Service: "s", Slots: 4, Version: "v2", StartedAt: 2, Position: 9}
	for name, test := range map[string]struct {
		before, after func(s *schedulingService)
		isEvidence    bool
	}{
		"the replica goes on": {isEvidence: true},
		"it has ended":        {before: func(s *schedulingService) { s.finish(&finishRequest{ID: "ended", HasReplicaEnded: true, NotRun: true}) }},
		"it has ended, and its new entry comes before the answer": {
			before: func(s *schedulingService) { s.finish(&finishRequest{ID: "ended", HasReplicaEnded: true, NotRun: true}) },
			after: func(s *schedulingService) {
				s.update(func(a *admission.Scheduler) { a.SetReplicas(s.clock(), []replicas.Replica{next}) })
			},
		},
		"it only refused a connection": {before: func(s *schedulingService) {
			s.finish(&finishRequest{ID: "ended", HasReplicaEnded: true, NotRun: true})
			s.confirmEntries()
		}, isEvidence: true},
		"it ends under the request": {after: func(s *schedulingService) { s.finish(&finishRequest{ID: "ended", HasReplicaEnded: true, NotRun: true}) }, isEvidence: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				start := time.Now()
				s := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Window: time.Second}, true)
				defer s.timer.Stop()
				s.rolloutPolicy = rollout.Policy{Share: 0.1, Slack: 50}
				s.setActive(true)
				s.update(func(a *admission.Scheduler) {
					a.SetReplicas(0, []replicas.Replica{old})
					a.SetSlowStart("s", admission.SlowStart{})
				})
				inputs := rollout.Inputs{
					Order: rollouts.Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Position: 5}, TargetSlots: 8, OtherSlots: 8, Confirmed: true,
				}
				var record rollouts.Record
				write := func() {
					next, due := s.proposeRollout(inputs, record)
					g.Expect(due).To(gomega.BeTrue())
					next.Position = max(record.Position, inputs.Order.Position) + 1
					s.recordRolloutWrite(next, next.Position, nil)
					record = next
				}
				write()
				assign := func(id string) {
					request := admission.Request{ID: id, Node: "n", Service: "s", Route: "route", Deadline: time.Minute, Patience: time.Minute}
					g.Expect(s.assign(t.Context(), &assignRequest{Request: request}).Replica.ID).To(gomega.Equal("r"))
				}
				assign("ended")
				if test.before != nil {
					test.before(s)
				}
				time.Sleep(time.Second)
				assign("judged")
				if test.after != nil {
					test.after(s)
				}
				s.finish(&finishRequest{ID: "judged", Observation: admission.Observation{Failed: true, Duration: 20 * time.Millisecond}})
				time.Sleep(10 * time.Second)
				inputs.Elapsed = s.clock()
				write()
				if test.isEvidence {
					g.Expect(record.EvidenceByRoute).To(gomega.HaveKeyWithValue("route", rollouts.Evidence{BaselineBad: 1}))
				} else {
					g.Expect(record.EvidenceByRoute).To(gomega.BeEmpty())
				}
			})
		})
	}
}
