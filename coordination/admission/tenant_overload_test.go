package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against an overload of the priority that begins with one tenant's first waiting request and is then kept up by
// short waits of others, after that tenant counts as overloaded by itself.
func TestOverloadOfOneTenantDoesNotBecomeThatOfOthers(t *testing.T) {
	const target = 600 * ms
	for name, perRound := range map[string]int{"two requests at once": 2, "one request after the other": 1} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New()
			s.SetPolicy(Policy{TenantShares: true, FeasibleOrder: true})
			s.SetReplicas(0, replicasWithSlots(4))
			count := 0
			submit := func(now structs.Instant, tenant string) string {
				count++
				id := fmt.Sprint(tenant, "-", count)
				s.Submit(now, Request{ID: id, Node: "n", Service: "s", Tenant: tenant, Weight: 1, Target: target, Deadline: 3 * time.Second, Patience: 1500 * ms})
				return id
			}
			for range 4 {
				submit(0, "surge")
			}
			g.Expect(s.Decide(0)).To(gomega.HaveLen(4))
			s.pool("s").meanDuration = 40 * ms
			var office []string
			priorityOverloaded, tenantOverloaded := 0, 0
			for i := range 120 {
				now := structs.Instant(i+1) * 50 * ms
				for range perRound {
					submit(now, "surge")
				}
				// The office waits 100 ms, a sixth of its target, for each of its requests.
				if office = append(office, submit(now, "office")); len(office) > 2 {
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
