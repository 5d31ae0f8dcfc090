package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// BenchmarkDecideWithTenantShares measures the rounds of BenchmarkDecide with requests of 16 tenants.
func BenchmarkDecideWithTenantShares(b *testing.B) {
	for _, queued := range []int{0, 200, 1000} {
		for _, isOn := range []bool{false, true} {
			b.Run(fmt.Sprintf("710replicas-%dqueued-%t", queued, isOn), func(b *testing.B) {
				s := newBusyScheduler(710, 0, queued == 0)
				s.SetPolicy(Policy{TenantShares: isOn})
				submit := func(now structs.Instant, id, priority int) Request {
					request := benchmarkRequest(id, priority)
					request.Tenant, request.Weight = fmt.Sprint("tenant", id&15), 1
					s.Submit(now, request)
					return request
				}
				for i := range queued {
					submit(0, -1-i, 2)
				}
				b.ReportAllocs()
				now := structs.Instant(time.Millisecond)
				for i := range b.N {
					request := submit(now, i, 0)
					s.Decide(now)
					s.Finish(now, request.ID, Observation{CallerLeft: true})
					s.Cancel(request.ID)
				}
			})
		}
	}
}
