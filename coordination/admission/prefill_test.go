package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// learnPrefill sets the replica's step time and trains its prefill estimator with the time per token.
func learnPrefill(s *Scheduler, replicaID string, perToken, step time.Duration) {
	s.replicaState(replicaID).speed.stepTime = step
	for i := range 20 {
		prompt := 500 + 100*i
		s.replicaState(replicaID).speed.prefill.observe(prompt, 40*ms+time.Duration(prompt)*perToken)
	}
}

// promptRequest returns a streaming request with a prompt.
func promptRequest(id string, promptTokens int) Request {
	request := newRequest(id, 0)
	request.PromptTokens, request.AnswerTokens, request.TokensPerEvent, request.MaxEventGap = promptTokens, 50, 3, 300*ms
	return request
}

// Guards against a wrong estimate of the prefill time per token and the fixed time.
func TestPrefillEstimatorFitsALine(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	learnPrefill(s, "r0", 40*time.Microsecond, 8*ms)
	g.Expect(s.replicaState("r0").speed.prefill.timePerToken()).To(gomega.BeNumerically("~", 40*time.Microsecond, time.Microsecond))
	g.Expect(s.replicaState("r0").speed.prefill.fixedTime(s.replicaState("r0").speed.prefill.timePerToken())).To(gomega.BeNumerically("~", 40*ms, ms))
	g.Expect(new(prefillEstimator).timePerToken()).To(gomega.BeZero())
}

// Guards against streams that stall at a slow replica while long prompts are read beside them.
func TestPromptWaitsWhileItWouldDelayStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(7))
	learnPrefill(s, "r0", 44*time.Microsecond, 8*ms)
	s.Submit(0, promptRequest("streaming", 500))
	s.Decide(0)
	s.RecordFirstEvent(0, "streaming", -1)
	s.Submit(0, promptRequest("first", 3000))
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"first"}))
	s.Submit(0, promptRequest("second", 3000))
	s.Submit(0, promptRequest("short", 300))
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"short"}), "a short prompt does not delay streams")
	s.RecordFirstEvent(100*ms, "first", -1)
	s.RecordFirstEvent(100*ms, "short", -1)
	g.Expect(assignedIDs(s.Decide(100 * ms))).To(gomega.Equal([]string{"second"}))
	s.Submit(100*ms, promptRequest("third", 3000))
	g.Expect(assignedIDs(s.Decide(100 * ms))).To(gomega.BeEmpty())
	protection := time.Duration(float64(time.Second) * streamProtectionShare)
	g.Expect(assignedIDs(s.Decide(100*ms+protection))).To(gomega.Equal([]string{"third"}), "protection ends before the target")
}

// Guards against sending long prompts to slow replicas while a fast one reads them without delaying
// streams.
func TestLongPromptsGoToReplicasWithFastPrefill(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(7, 7))
	learnPrefill(s, "r0", 44*time.Microsecond, 8*ms)
	learnPrefill(s, "r1", 15*time.Microsecond, 3*ms)
	for i := range 5 {
		s.Submit(0, promptRequest(fmt.Sprint("long", i), 12000))
	}
	decisions := s.Decide(0)
	counts := map[string]int{}
	for _, decision := range decisions {
		counts[decision.Replica.ID]++
	}
	g.Expect(counts["r0"]).To(gomega.BeNumerically("<=", 1), "at most one while it is idle")
	g.Expect(counts["r1"]).To(gomega.BeNumerically(">=", 4))
}

// Guards against a new active scheduler that does not know which replicas are slow.
func TestSpeedIsLearnedFromRequestsOfOtherSchedulers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(4, 4))
	s.ObserveExternal(0, "s", "r0", 100, Observation{FirstEvent: 100 * ms, Duration: 1100 * ms, Events: 11, TokensPerEvent: 1})
	s.ObserveExternal(0, "s", "r1", 100, Observation{FirstEvent: 20 * ms, Duration: 220 * ms, Events: 11, TokensPerEvent: 1})
	s.Submit(0, promptRequest("a", 1000))
	decisions := s.Decide(0)
	g.Expect(decisions).To(gomega.HaveLen(1))
	g.Expect(decisions[0].Replica.ID).To(gomega.Equal("r1"))
	s.ObserveExternal(0, "s", "r1", 100, Observation{Failed: true, Duration: time.Second, Events: 2, TokensPerEvent: 1})
	g.Expect(s.replicaState("r1").speed.stepTime).To(gomega.Equal(20*ms), "a failed request does not change the speed")
}

// Guards against treating replicas that have not finished a request yet as fast: those are the slow ones.
func TestReplicasOfUnknownSpeedRankAfterFastOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(2, 4, 2))
	s.Submit(0, promptRequest("first", 100))
	g.Expect(s.Decide(0)[0].Replica.ID).To(gomega.Equal("r0"))
	s.ObserveExternal(0, "s", "r1", 100, Observation{FirstEvent: 20 * ms, Duration: 220 * ms, Events: 11, TokensPerEvent: 1})
	s.ObserveExternal(0, "s", "r2", 100, Observation{FirstEvent: 90 * ms, Duration: 990 * ms, Events: 11, TokensPerEvent: 1})
	var order []string
	for i := range 6 {
		s.Submit(ms, promptRequest(fmt.Sprint(i), 100))
	}
	for _, decision := range s.Decide(ms) {
		order = append(order, decision.Replica.ID)
	}
	g.Expect(order).To(gomega.HaveLen(6))
	g.Expect(order[:4]).To(gomega.HaveEach("r1"), "the fast replica first, with all its slots")
	g.Expect(order[4]).To(gomega.Equal("r0"), "then the one of unknown speed")
}

// Guards against assigning long prompts to slow replicas, where they miss their target, while the fast
// ones are briefly full.
func TestLongPromptWaitsForReplicaThatMeetsItsTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(1, 4))
	learnPrefill(s, "r0", 10*time.Microsecond, 3*ms)
	learnPrefill(s, "r1", 60*time.Microsecond, 13*ms)
	s.Submit(0, promptRequest("running", 100))
	g.Expect(s.Decide(0)[0].Replica.ID).To(gomega.Equal("r0"))
	s.Submit(0, promptRequest("long", 20000))
	s.Submit(0, promptRequest("short", 200))
	decisions := s.Decide(0)
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"short"}), "a short prompt is assigned to the slow replica at once")
	g.Expect(assignedIDs(s.Decide(300 * ms))).To(gomega.BeEmpty())
	s.Finish(400*ms, "running", Observation{Duration: 400 * ms, Events: 2, TokensPerEvent: 1, FirstEvent: 10 * ms})
	decisions = s.Decide(400 * ms)
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"long"}))
	g.Expect(decisions[0].Replica.ID).To(gomega.Equal("r0"))
}

// Guards against queueing a prompt for a faster replica that does not exist.
func TestPromptThatNoReplicaServesInTimeDoesNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(4, 4))
	learnPrefill(s, "r0", 60*time.Microsecond, 13*ms)
	learnPrefill(s, "r1", 50*time.Microsecond, 11*ms)
	s.Submit(0, promptRequest("long", 20000))
	decisions := s.Decide(0)
	g.Expect(decisions).To(gomega.HaveLen(1))
	g.Expect(decisions[0].Replica.ID).To(gomega.Equal("r1"))
}
