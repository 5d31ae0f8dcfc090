package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// BenchmarkSubmitAndFinish measures what the scheduling service does for a request: submit, a round of
// decisions with one request or ten, and finish. Requests are assigned, or rejected if there is no slot.
func BenchmarkSubmitAndFinish(b *testing.B) {
	for _, size := range []struct{ replicas, slots, tenants, batch int }{{140, 6, 16, 1}, {710, 6, 16, 1}, {140, 6, 16, 10}, {140, 6, 2000, 10}, {140, 0, 16, 10}, {140, 0, 2000, 10}} {
		b.Run(fmt.Sprintf("%dreplicas-%dslots-%dtenants-%drequests", size.replicas, size.slots, size.tenants, size.batch), func(b *testing.B) {
			now := structs.Instant(0)
			service := newSchedulingService(func() structs.Instant { return now }, retrybudget.Policy{Window: time.Second}, true)
			defer service.timer.Stop()
			var all []replicas.Replica
			for i := range size.replicas {
				all = append(all, replicas.Replica{ID: fmt.Sprintf("i-%010d", i), Service: "s", Slots: size.slots, Zone: "z"})
			}
			service.update(func(scheduler *admission.Scheduler) { scheduler.SetReplicas(0, all) })
			requests := make([]assignRequest, 4096)
			for i := range requests {
				id, tenant := fmt.Sprint("n/1.", i, ".a"), fmt.Sprint("tenant-", i%size.tenants)
				requests[i] = assignRequest{Tenant: tenant, First: true, Request: admission.Request{
					ID: id, Node: "n", Service: "s", Route: "route", Zone: "z", Tenant: tenant, PromptTokens: 1000, AnswerTokens: 100, TokensPerEvent: 6,
					Target: time.Second, Deadline: 6 * time.Second, Fingerprint: fingerprint.Of(tenant, "GET", "h", id, nil),
				}}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				request := requests[i%len(requests)]
				if i%size.batch == size.batch-1 {
					now += minDecideInterval
				}
				_, _ = service.submit(&request)
				if i%size.batch == size.batch-1 {
					for j := range size.batch {
						service.finish(&finishRequest{ID: requests[(i-j)%len(requests)].Request.ID, Observation: admission.Observation{Whole: true, Duration: 100 * time.Millisecond}})
					}
				}
			}
		})
	}
}
