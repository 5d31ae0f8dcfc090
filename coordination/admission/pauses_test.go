package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

// pauseReport returns a report of a replica that asked a node to pause.
func pauseReport(replicaID string, remaining time.Duration) []pushback.Report {
	return []pushback.Report{{Incarnation: pushback.Incarnation{Replica: replicaID}, Pause: remaining}}
}

// requestFrom returns a request of the node.
func requestFrom(node, id string) Request {
	r := newRequest(id, 0)
	r.Node = node
	return r
}

// replicaByRequest returns the assigned replicas by request ID.
func replicaByRequest(decisions []Decision) map[string]string {
	assigned := map[string]string{}
	for _, decision := range decisions {
		assigned[decision.ID] = decision.Replica.ID
	}
	return assigned
}

// Guards against sending to a paused replica, and against pausing it for other nodes.
func TestPausedReplicaIsAvoidedForOneNodeOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(4, 4))
	s.SetPauses(0, "a", "s", pauseReport("r0", 3*time.Second))
	for i := range 4 {
		s.Submit(0, requestFrom("a", string(rune('a'+i))))
	}
	for _, replica := range replicaByRequest(s.Decide(0)) {
		g.Expect(replica).To(gomega.Equal("r1"))
	}
	s.Submit(0, requestFrom("b", "other"))
	g.Expect(replicaByRequest(s.Decide(0))).To(gomega.HaveKeyWithValue("other", "r0"))
	s.SetPauses(time.Second, "a", "s", nil)
	s.Submit(time.Second, requestFrom("a", "later"))
	g.Expect(replicaByRequest(s.Decide(time.Second))).To(gomega.HaveKeyWithValue("later", "r0"))
}

// Guards against ignoring a pause that begins while a request is queued.
func TestPauseAppliesToQueuedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(1, 1))
	s.Submit(0, requestFrom("a", "first"))
	s.Submit(0, requestFrom("b", "second"))
	assigned := replicaByRequest(s.Decide(0))
	s.Submit(0, requestFrom("a", "queued"))
	g.Expect(s.Decide(0)).To(gomega.BeEmpty())
	s.ApplyPushback(0, "first", pushback.Signals{Pause: 3 * time.Second})
	s.Finish(0, "first", Observation{CallerLeft: true})
	g.Expect(s.Decide(0)).To(gomega.BeEmpty(), "the free replica has asked its node to pause")
	s.Finish(0, "second", Observation{CallerLeft: true})
	g.Expect(replicaByRequest(s.Decide(0))).To(gomega.HaveKeyWithValue("queued", assigned["second"]))
}

// Guards against a retry time before the first usable pause has ended.
func TestRetryAfterIsTheShortestPauseIfAllReplicasArePaused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(1, 1))
	s.SetPauses(0, "a", "s", append(pauseReport("r0", 1500*ms), pauseReport("r1", 900*ms)...))
	s.Submit(0, requestFrom("a", "x"))
	tried := requestFrom("a", "y")
	tried.Tried = []string{"r1"}
	s.Submit(0, tried)
	retryAfter := map[string]structs.Instant{}
	for _, decision := range s.Decide(0) {
		g.Expect(decision.Reason).To(gomega.Equal(ReasonPaused))
		retryAfter[decision.ID] = decision.RetryAfter
	}
	g.Expect(retryAfter).To(gomega.Equal(map[string]structs.Instant{"x": 900 * ms, "y": 1500 * ms}))
	s.DropNode("a")
	g.Expect(s.pauses).To(gomega.BeEmpty())
}
