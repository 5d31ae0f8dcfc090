package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// teachReading lets the replica have read prompts at the time a token.
func learnPrefill(s *Scheduler, replica string, perToken, step time.Duration) {
	s.replicaState(replica).speed.stepTime = step
	for i := range 20 {
		prompt := 500 + 100*i
		s.replicaState(replica).speed.prefill.observe(prompt, 40*ms+time.Duration(prompt)*perToken)
	}
}

func promptRequest(id string, prompt int) Request {
	held := newRequest(id, 0)
	held.Prompt, held.Answer, held.Stride, held.Pause = prompt, 50, 3, 300*ms
	return held
}

func TestPrefillEstimatorFitsALine(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	learnPrefill(s, "r0", 40*time.Microsecond, 8*ms)
	g.Expect(s.replicaState("r0").speed.prefill.timePerToken()).To(gomega.BeNumerically("~", 40*time.Microsecond, time.Microsecond))
	g.Expect(s.replicaState("r0").speed.prefill.fixedTime(s.replicaState("r0").speed.prefill.timePerToken())).To(gomega.BeNumerically("~", 40*ms, ms))
	g.Expect(new(prefillEstimator).timePerToken()).To(gomega.BeZero())
}

// Without this wait one stream in six at a slow replica pauses for more than 300 ms while
// other prompts are read beside it.
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
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"short"}), "a short prompt disturbs nobody")
	s.RecordFirstEvent(100*ms, "first", -1)
	s.RecordFirstEvent(100*ms, "short", -1)
	g.Expect(assignedIDs(s.Decide(100 * ms))).To(gomega.Equal([]string{"second"}))
	s.Submit(100*ms, promptRequest("third", 3000))
	g.Expect(assignedIDs(s.Decide(100 * ms))).To(gomega.BeEmpty())
	patience := time.Duration(float64(time.Second) * streamProtectionShare)
	g.Expect(assignedIDs(s.Decide(100*ms+patience))).To(gomega.Equal([]string{"third"}), "no longer than its patience")
}

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
	g.Expect(counts["r0"]).To(gomega.BeNumerically("<=", 1), "only while nobody else is there")
	g.Expect(counts["r1"]).To(gomega.BeNumerically(">=", 4))
}

// A node that begins to schedule must not send long prompts to slow replicas for want of
// knowing them.
func TestSpeedIsLearnedFromRequestsOfOtherSchedulers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(4, 4))
	s.Observe(0, "s", "r0", 100, Observation{FirstEvent: 100 * ms, Duration: 1100 * ms, Events: 11, Stride: 1})
	s.Observe(0, "s", "r1", 100, Observation{FirstEvent: 20 * ms, Duration: 220 * ms, Events: 11, Stride: 1})
	s.Submit(0, promptRequest("a", 1000))
	placed := s.Decide(0)
	g.Expect(placed).To(gomega.HaveLen(1))
	g.Expect(placed[0].Replica.ID).To(gomega.Equal("r1"))
	s.Observe(0, "s", "r1", 100, Observation{Failed: true, Duration: time.Second, Events: 2, Stride: 1})
	g.Expect(s.replicaState("r1").speed.stepTime).To(gomega.Equal(20*ms), "a failed request tells no pace")
}

// After a restart the replicas that have ended no request yet are the slow ones; they must
// not count as fast.
func TestReplicasOfUnknownSpeedRankAfterFastOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(2, 4, 2))
	s.Submit(0, promptRequest("explores", 100))
	g.Expect(s.Decide(0)[0].Replica.ID).To(gomega.Equal("r0"))
	s.Observe(0, "s", "r1", 100, Observation{FirstEvent: 20 * ms, Duration: 220 * ms, Events: 11, Stride: 1})
	s.Observe(0, "s", "r2", 100, Observation{FirstEvent: 90 * ms, Duration: 990 * ms, Events: 11, Stride: 1})
	var order []string
	for i := range 6 {
		s.Submit(ms, promptRequest(fmt.Sprint(i), 100))
	}
	for _, decision := range s.Decide(ms) {
		order = append(order, decision.Replica.ID)
	}
	g.Expect(order).To(gomega.HaveLen(6))
	g.Expect(order[:4]).To(gomega.HaveEach("r1"), "the fast one first, with all its places")
	g.Expect(order[4]).To(gomega.Equal("r0"), "then the one that is not known")
}

// Long prompts must not go to slow replicas, where 13 to 43% of them are in time, as soon
// as the fast ones are full for a moment.
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
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"short"}), "a short one takes the slow replica at once")
	g.Expect(assignedIDs(s.Decide(300 * ms))).To(gomega.BeEmpty())
	s.Finish(400*ms, "running", Observation{Duration: 400 * ms, Events: 2, Stride: 1, FirstEvent: 10 * ms})
	decisions = s.Decide(400 * ms)
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"long"}))
	g.Expect(decisions[0].Replica.ID).To(gomega.Equal("r0"))
}

func TestPromptThatNoReplicaServesInTimeDoesNotWait(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(4, 4))
	learnPrefill(s, "r0", 60*time.Microsecond, 13*ms)
	learnPrefill(s, "r1", 50*time.Microsecond, 11*ms)
	s.Submit(0, promptRequest("long", 20000))
	placed := s.Decide(0)
	g.Expect(placed).To(gomega.HaveLen(1))
	g.Expect(placed[0].Replica.ID).To(gomega.Equal("r1"))
}
