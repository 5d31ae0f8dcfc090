package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// surgedScheduler is a scheduler whose slots are taken by a tenant that sends more than the service can do.
type surgedScheduler struct {
	*Scheduler
	// count is the number of requests so far.
	count int
}

func newSurged(g *gomega.WithT) *surgedScheduler {
	const slots = 4
	s := &surgedScheduler{Scheduler: New()}
	s.SetPolicy(Policy{TenantShares: true, FeasibleOrder: true})
	s.SetReplicas(0, replicasWithSlots(slots))
	for range slots {
		s.submit(0, "surge")
	}
	g.Expect(s.Decide(0)).To(gomega.HaveLen(slots))
	s.pool("s").meanDuration = 40 * ms
	return s
}

// submit queues a request of the tenant and returns its ID.
func (s *surgedScheduler) submit(now structs.Instant, tenant string) string {
	s.count++
	id := fmt.Sprint(tenant, "-", s.count)
	s.Submit(now, Request{ID: id, Node: "n", Service: "s", Tenant: tenant, Weight: 1, Target: 600 * ms, Deadline: 3 * time.Second, Patience: 1500 * ms})
	return id
}

// Guards against a tenant below its share that is refused early, as if the service were overloaded for it, because another
// tenant's requests wait for long. That one is still refused early, and so are many tenants of one request each whose sum is
// too much.
func TestOverloadOfOneTenantIsNotThatOfOthers(t *testing.T) {
	for name, test := range map[string]struct {
		waitingTenant func(i int) string
		expected      Reason
	}{
		"one tenant sends too much":           {func(int) string { return "surge" }, ReasonNone},
		"two tenants send too much":           {func(i int) string { return fmt.Sprint("surge", i%2) }, ReasonNone},
		"many tenants send too much together": {func(i int) string { return fmt.Sprint("surge", i) }, ReasonBacklog},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newSurged(g)
			now, refused := structs.Instant(0), 0
			for i := range 60 {
				now += 50 * ms
				s.submit(now, test.waitingTenant(2*i))
				s.submit(now, test.waitingTenant(2*i+1))
				refused += len(s.Decide(now))
			}
			g.Expect(refused).To(gomega.BeNumerically(">", 60), "requests of the surge that are refused early")
			s.submit(now, "office")
			second := s.submit(now, "office")
			decided := reasons(s.Decide(now))
			for range 2 {
				now += 70 * ms
				s.submit(now, test.waitingTenant(s.count))
				for id, reason := range reasons(s.Decide(now)) {
					decided[id] = reason
				}
			}
			g.Expect(decided[second]).To(gomega.Equal(test.expected), "it would start within a third of its target")
		})
	}
}

// Guards against an overload of the priority that begins with one tenant's first waiting request and is then kept up by
// short waits of others, after that tenant counts as overloaded by itself.
func TestOverloadOfOneTenantDoesNotBecomeThatOfOthers(t *testing.T) {
	for name, perRound := range map[string]int{"two requests at once": 2, "one request after the other": 1} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newSurged(g)
			var office []string
			priorityOverloaded, tenantOverloaded := 0, 0
			for i := range 120 {
				now := structs.Instant(i+1) * 50 * ms
				for range perRound {
					s.submit(now, "surge")
				}
				// The office waits 100 ms, a sixth of its target, for each of its requests.
				if office = append(office, s.submit(now, "office")); len(office) > 2 {
					s.Cancel(office[0])
					office = office[1:]
				}
				s.Decide(now)
				if i >= 60 {
					if s.pool("s").overloads[0].isLasting {
						priorityOverloaded++
					}
					if s.pool("s").tenantOverloads[tenantPriority{hashOf("surge"), 0}].isLasting {
						tenantOverloaded++
					}
				}
			}
			g.Expect(tenantOverloaded).To(gomega.Equal(60), "rounds in which the surge is overloaded by itself")
			g.Expect(priorityOverloaded).To(gomega.BeZero(), "rounds in which all tenants count as overloaded")
		})
	}
}
