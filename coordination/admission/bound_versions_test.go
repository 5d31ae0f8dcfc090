package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
)

// Requests bound to a version are streams whose callers have events of it.

func replicasOfVersions(versions ...string) []replicas.Replica {
	all := replicasWithSlots(make([]int, len(versions))...)
	for i, version := range versions {
		all[i].Slots, all[i].Version = 1, version
	}
	return all
}

func newBoundRequest(id, version string) Request {
	request := newRequest(id, 1)
	request.Version = version
	return request
}

// newSchedulerWithBusyVersion returns a scheduler with a replica of each of two versions, of which that of v2 is
// busy with the request "running".
func newSchedulerWithBusyVersion(g *gomega.WithT, policy Policy) *Scheduler {
	s := New()
	s.SetPolicy(policy)
	s.SetReplicas(0, replicasOfVersions("v1", "v2"))
	s.Submit(0, newBoundRequest("running", "v2"))
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"running"}))
	return s
}

// Guards against streams that go on at a replica of another version.
func TestBoundRequestsRunAtTheirVersionOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasOfVersions("v1", "v2", "v1", "v2"))
	for _, id := range []string{"a", "b", "c"} {
		s.Submit(0, newBoundRequest(id, "v2"))
	}
	decisions := s.Decide(0)
	g.Expect(assignedIDs(decisions)).To(gomega.HaveLen(2))
	for _, decision := range decisions {
		g.Expect(decision.Replica.Version).To(gomega.Equal("v2"))
	}
	s.Finish(ms, "a", Observation{Duration: ms})
	decisions = s.Decide(ms)
	g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"c"}))
}

// Guards against streams that wait for a version without replicas.
func TestBoundRequestsWithoutReplicasAreRejectedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasOfVersions("v1", "v1"))
	request := newBoundRequest("gone", "v2")
	s.Submit(0, request)
	tried := newBoundRequest("tried", "v1")
	tried.Tried = []string{"r0", "r1"}
	s.Submit(0, tried)
	g.Expect(reasons(s.Decide(0))).To(gomega.Equal(map[string]Reason{"gone": ReasonNoVersion, "tried": ReasonNoVersion}))
}

// Guards against new requests that take the little room of the version to which a stream is bound, and against
// streams that hold others up while they wait for it.
func TestBoundRequestsGoFirstAndHoldNobodyUp(t *testing.T) {
	for _, policy := range []Policy{{}, {FeasibleOrder: true}} {
		g := gomega.NewWithT(t)
		s := newSchedulerWithBusyVersion(g, policy)
		s.Submit(ms, newRequest("new", 1))
		s.Submit(2*ms, newBoundRequest("waiting", "v2"))
		decisions := s.Decide(2 * ms)
		g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"new"}))
		g.Expect(decisions[0].QueuedAhead).To(gomega.BeZero())
		s.Submit(3*ms, newRequest("later", 1))
		s.Finish(4*ms, "running", Observation{Duration: ms})
		g.Expect(assignedIDs(s.Decide(4 * ms))).To(gomega.Equal([]string{"waiting"}))
	}
}

// Guards against streams that are rejected for overload of all replicas at once, and against ones that wait for
// longer than their patience.
func TestBoundRequestsWaitForTheirPatience(t *testing.T) {
	for _, policy := range []Policy{{}, {FeasibleOrder: true}} {
		g := gomega.NewWithT(t)
		s := newSchedulerWithBusyVersion(g, policy)
		late := newBoundRequest("late", "v2")
		late.Target, late.WasRejected = 0, false
		s.Submit(ms, late)
		g.Expect(s.Decide(late.Patience)).To(gomega.BeEmpty())
		g.Expect(reasons(s.Decide(ms + late.Patience))).To(gomega.Equal(map[string]Reason{"late": ReasonNoSlot}))
	}
}

// Guards against callers that gain precedence by resuming streams where all replicas have one version.
func TestBoundRequestsHaveNoPrecedenceWhereThereIsOneVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasOfVersions("v1"))
	s.Submit(0, newRequest("running", 1))
	s.Decide(0)
	s.Submit(ms, newRequest("first", 1))
	s.Submit(2*ms, newBoundRequest("second", "v1"))
	s.Finish(3*ms, "running", Observation{Duration: ms})
	g.Expect(assignedIDs(s.Decide(3 * ms))).To(gomega.Equal([]string{"first"}))
}

// Guards against streams that began at a canary and can't go on there outside of its budget, and against ones that
// go on at a version that is denied.
func TestBoundRequestsGoOnAtCanaries(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasOfVersions("v1", "v2"))
	policy := rollouts.VersionPolicy{Service: "s", Target: "v2", Stable: "v1", Phase: rollouts.PhaseCanary}
	s.SetVersions("s", policy)
	for _, budget := range []*rollout.CanaryBudget{nil, {}} {
		s.SetCanaryBudget("s", budget)
		s.Submit(0, newBoundRequest("unbudgeted", "v2"))
		g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"unbudgeted"}))
		s.Finish(0, "unbudgeted", Observation{Duration: ms})
	}
	s.Submit(0, newRequest("new", 1))
	s.Submit(0, newBoundRequest("bound", "v2"))
	versions := map[string]string{}
	for _, decision := range s.Decide(0) {
		versions[decision.ID] = decision.Replica.Version
	}
	g.Expect(versions).To(gomega.Equal(map[string]string{"new": "v1", "bound": "v2"}))
	s.Finish(ms, "bound", Observation{Duration: ms})
	policy.Phase = rollouts.PhaseRolledBack
	s.SetVersions("s", policy)
	s.Submit(ms, newBoundRequest("again", "v2"))
	g.Expect(reasons(s.Decide(time.Millisecond))).To(gomega.HaveKeyWithValue("again", ReasonNoVersion))
}
