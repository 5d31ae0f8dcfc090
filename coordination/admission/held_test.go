package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// heldPolicies are the policies that requests held by a replica are tested with.
var heldPolicies = map[string]Policy{
	"by target":            {},
	"by target and shares": {TenantShares: true},
	"feasible":             {FeasibleOrder: true},
	"feasible and shares":  {FeasibleOrder: true, TenantShares: true},
}

// newHeldRequest returns a request that replica r1 has.
func newHeldRequest(id string, priority int) Request {
	request := newRequest(id, priority)
	request.Held, request.Tried, request.Tenant, request.Weight = true, []string{"r1"}, "held", 1
	return request
}

// Guards against requests that no replica has and that wait while a slot goes to one that may still go on where it is,
// whatever the priorities, targets and shares.
func TestHeldRequestsWaitBehindAllOthers(t *testing.T) {
	for name, policy := range heldPolicies {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New()
			s.SetPolicy(policy)
			s.SetReplicas(0, replicasWithSlots(1))
			newOther := func(id string, priority int) Request {
				request := newRequest(id, priority)
				request.Tenant, request.Weight = "other", 1
				return request
			}
			s.Submit(0, newOther("running", 0))
			g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"running"}))
			s.Submit(ms, newHeldRequest("held, urgent", 0))
			s.Submit(2*ms, newOther("other, urgent", 0))
			s.Submit(2*ms, newHeldRequest("held", 1))
			s.Submit(3*ms, newOther("other", 1))
			running, now := "running", 3*ms
			for _, next := range []string{"other, urgent", "other", "held, urgent", "held"} {
				now += 10 * ms
				s.Finish(now, running, Observation{Duration: 10 * ms})
				g.Expect(assignedIDs(s.Decide(now))).To(gomega.Equal([]string{next}))
				running = next
			}
		})
	}
}

// Guards against requests that are rejected for a backlog of requests that other replicas have.
func TestHeldRequestsAreNoBacklogForOthers(t *testing.T) {
	for name, policy := range heldPolicies {
		for _, isHeld := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", isHeld), func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := New()
				s.SetPolicy(policy)
				s.SetReplicas(0, replicasWithSlots(1))
				s.Submit(0, newRequest("running", 0))
				s.Decide(0)
				for i := range 10 {
					request := newHeldRequest(fmt.Sprint("held", i), 0)
					request.Held = isHeld
					s.Submit(0, request)
				}
				other := newRequest("other", 1)
				other.WasRejected = false
				s.Submit(0, other)
				g.Expect(reasons(s.Decide(200 * ms))["other"] == ReasonBacklog).To(gomega.Equal(!isHeld))
				if isHeld {
					s.Finish(300*ms, "running", Observation{Duration: 300 * ms})
					decisions := s.Decide(300 * ms)
					g.Expect(assignedIDs(decisions)).To(gomega.Equal([]string{"other"}))
					g.Expect(decisions[0].QueuedAhead).To(gomega.BeZero())
				}
			})
		}
	}
}

// Guards against a held request that takes a slot which a first request of its priority leaves free, to wait for a more
// suitable one; slots that are reserved for more urgent requests are there for held ones too.
func TestHeldRequestLeavesSlotsToWaitingFirstRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(20))
	for i := range 19 {
		s.Submit(0, newRequest(fmt.Sprint(i), 0))
	}
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.HaveLen(19))
	first := newRequest("first", 2)
	first.Yields, first.PromptTokens = true, 100
	s.Submit(ms, first)
	s.Submit(ms, newHeldRequest("held", 2))
	g.Expect(s.Decide(ms)).To(gomega.BeEmpty())
	s.Submit(2*ms, newHeldRequest("held, urgent", 0))
	g.Expect(assignedIDs(s.Decide(2 * ms))).To(gomega.Equal([]string{"held, urgent"}))
	s.Cancel("first")
	s.Finish(3*ms, "held, urgent", Observation{CallerLeft: true})
	g.Expect(assignedIDs(s.Decide(3 * ms))).To(gomega.Equal([]string{"held"}))
}

// Guards against other requests that change their order because held ones, which are still served, were rejected.
func TestRejectedHeldRequestsDoNotCountAsUnserved(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetReplicas(0, replicasWithSlots(1))
	s.Submit(0, newRequest("running", 0))
	s.Decide(0)
	for i := range 50 {
		request := newHeldRequest(fmt.Sprint(i), 0)
		request.WasRejected, request.Target = false, 0
		s.Submit(ms, request)
	}
	g.Expect(s.Decide(ms + time.Microsecond)).To(gomega.HaveLen(50))
	g.Expect(s.pool("s").lengthsOf("").totalServedShare).To(gomega.Equal(1.0))
}
