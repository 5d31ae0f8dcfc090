package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

func pushRequest(q *Queue, id, tenant string) {
	q.Push(&structs.Request{ID: id, Tenant: tenant, Weight: 1}, time.Second)
}

// Guards against a tenant that passes a backlog of equal weight with each of its requests, because its
// share was forgotten whenever its queue was empty.
func TestTenantWhoseQueueEmptiesKeepsItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	for i := range 100 {
		pushRequest(q, fmt.Sprint("backlog", i), "backlog")
	}
	single := 0
	pushRequest(q, fmt.Sprint("single", single), "single")
	for range 40 {
		next := q.NextItems(0, time.Hour, 1)[0].Request
		q.Dispatch(next.ID)
		if next.Tenant == "single" {
			single++
			pushRequest(q, fmt.Sprint("single", single), "single")
		}
	}
	g.Expect(single).To(gomega.BeNumerically("~", 20, 1))
}

// Guards against a tenant that waits behind a backlog because requests of others were cancelled.
func TestCancelledRequestsUseNoShare(t *testing.T) {
	g := gomega.NewWithT(t)
	q := New()
	for i := range 10 {
		pushRequest(q, fmt.Sprint("backlog", i), "backlog")
		pushRequest(q, fmt.Sprint("cancelled", i), "cancelled")
	}
	for i := range 10 {
		g.Expect(q.Remove(fmt.Sprint("cancelled", i))).To(gomega.BeTrue())
	}
	pushRequest(q, "cancelled10", "cancelled")
	pushRequest(q, "other0", "other")
	var order []string
	for range 3 {
		next := q.NextItems(0, time.Hour, 1)[0].Request
		q.Dispatch(next.ID)
		order = append(order, next.ID)
	}
	g.Expect(order).To(gomega.ConsistOf("backlog0", "cancelled10", "other0"))
}
