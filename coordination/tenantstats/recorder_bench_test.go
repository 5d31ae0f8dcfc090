package tenantstats

import (
	"fmt"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// BenchmarkRecord measures the records of one request with a slot, and of one that is rejected, with 40
// other requests of different tenants in progress.
func BenchmarkRecord(b *testing.B) {
	for _, tenants := range []int{16, 2000} {
		names, ids := make([]string, tenants), make([]string, 4096)
		for i := range names {
			names[i] = fmt.Sprint("tenant-", i)
		}
		for i := range ids {
			ids[i] = fmt.Sprint("id-", i)
		}
		for _, isRejected := range []bool{false, true} {
			b.Run(fmt.Sprintf("%dtenants-rejected=%v", tenants, isRejected), func(b *testing.B) {
				r := New(0)
				now := structs.Instant(0)
				b.ReportAllocs()
				for i := range b.N {
					now += 500 * time.Microsecond
					id := ids[i%len(ids)]
					r.Submitted(now, Submission{ID: id, Node: "n", Service: "s", Tenant: names[i%tenants]})
					if isRejected {
						r.Rejected(now, id, Rejection{Reason: "backlog"})
						continue
					}
					r.Assigned(now, id)
					r.Finished(now, ids[max(i-40, 0)%len(ids)], true)
				}
			})
		}
	}
}
