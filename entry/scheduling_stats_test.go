package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/quota"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// runStats runs the test with an active scheduling service whose service s has one replica of one slot.
func runStats(t *testing.T, test func(g *gomega.WithT, service *schedulingService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		service := newSchedulingService(func() time.Duration { return time.Since(start) }, retrybudget.Policy{Window: time.Second}, true)
		defer service.timer.Stop()
		service.setActive(true)
		service.update(func(scheduler *admission.Scheduler) {
			scheduler.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: 1}})
		})
		service.retryBudget.Deactivate() // permits no retry
		test(gomega.NewWithT(t), service)
	})
}

// statsRequest returns a request of the tenant that may wait for a second.
func statsRequest(id, tenant string) *assignRequest {
	return &assignRequest{Tenant: tenant, RequestID: "caller-" + id, Request: admission.Request{
		ID: id, Node: "n", Service: "s", Route: "route", Tenant: tenant, Priority: 1*routePriorityRange + 2,
		Patience: time.Second, Target: 100 * time.Second, Deadline: 100 * time.Second, Fingerprint: fingerprint.Of(tenant, "GET", "h", id, nil),
	}}
}

// Guards against rejections of quota and retry budget that are not counted, since they happen before the
// request is queued, and against explanations without the figures that decided.
func TestRejectionsBeforeTheQueueAreExplained(t *testing.T) {
	runStats(t, func(g *gomega.WithT, service *schedulingService) {
		counted := map[string]int{}
		service.onRejection = func(reason string) { counted[reason]++ }
		overQuota := statsRequest("1", "large")
		overQuota.Limit, overQuota.Cost = quota.Limit{Rate: 4, Burst: 8}, 100
		overQuota.Request.Weight = 3
		_, rejected := service.submit(overQuota)
		g.Expect(rejected).To(gomega.BeNil())
		second := statsRequest("2", "large")
		second.Limit, second.Cost, second.Request.Weight = overQuota.Limit, 100, 3
		_, rejected = service.submit(second)
		g.Expect(rejected.Reason).To(gomega.Equal(reasonQuota))
		retry := statsRequest("3", "small")
		retry.Repeat = true
		_, rejected = service.submit(retry)
		g.Expect(rejected.Reason).To(gomega.Equal(reasonRetryBudget))
		g.Expect(counted).To(gomega.Equal(map[string]int{reasonQuota: 1, reasonRetryBudget: 1}))
		found := service.explain("caller-2").Rejections
		g.Expect(found).To(gomega.HaveLen(1))
		g.Expect(found[0].Reason).To(gomega.Equal(reasonQuota))
		g.Expect([]float64{found[0].QuotaRate, found[0].Cost, found[0].Weight, found[0].Share}).To(gomega.Equal([]float64{4, 100, 3, 1}))
		g.Expect(found[0].RetryAfterMS).To(gomega.BeNumerically(">", 20_000))
		g.Expect(found[0].Priority).To(gomega.Equal(1))
		g.Expect(service.explain("caller-3").Rejections[0].Reason).To(gomega.Equal(reasonRetryBudget))
		g.Expect(service.explain("caller-1").Rejections).To(gomega.BeEmpty())
	})
}

// Guards against rejections from the queue without their figures, and against answers, waits and use that
// are not counted for their tenant.
func TestTenantTableCountsTheWayOfARequest(t *testing.T) {
	runStats(t, func(g *gomega.WithT, service *schedulingService) {
		replies := make(chan *assignReply, 2)
		go func() { replies <- service.assign(context.Background(), statsRequest("1", "first")) }()
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		g.Expect((<-replies).Reason).To(gomega.BeEmpty())
		go func() { replies <- service.assign(context.Background(), statsRequest("2", "second")) }()
		synctest.Wait()
		table := service.tenantTable()
		g.Expect(table.Tenants).To(gomega.HaveLen(2))
		g.Expect([]int{table.Tenants[0].Running, table.Tenants[1].Queued}).To(gomega.Equal([]int{1, 1}))
		g.Expect(service.activeTenants()).To(gomega.BeNumerically("==", 2))
		reply := <-replies
		g.Expect(reply.Reason).To(gomega.Equal(string(admission.ReasonNoSlot)))
		service.finish(&finishRequest{ID: "1", Observation: admission.Observation{Whole: true}})
		table = service.tenantTable()
		first, second := table.Tenants[0], table.Tenants[1]
		g.Expect([]any{first.Tenant, first.Answered, first.Running}).To(gomega.Equal([]any{"first", int64(1), 0}))
		g.Expect(first.Used).To(gomega.BeNumerically("~", 1, 0.1))
		g.Expect([]any{second.Tenant, second.Refused[reply.Reason], second.Queued}).To(gomega.Equal([]any{"second", int64(1), 0}))
		g.Expect(second.LongestWaitMS).To(gomega.BeNumerically(">=", 1000))
		found := service.explain(fingerprint.Of("second", "GET", "h", "2", nil).String()).Rejections
		g.Expect(found).To(gomega.HaveLen(1))
		g.Expect(found[0].WaitedMS).To(gomega.Equal(reply.Waited.Milliseconds()))
		g.Expect(found[0].RetryAfterMS).To(gomega.Equal(max(reply.RetryAfter, retryAfterRejected).Milliseconds()))
		g.Expect(found[0].Share).To(gomega.BeNumerically("==", 0.5))
	})
}

// Guards against counts of an earlier time as scheduling node that are taken for present ones, and against
// requests of a node that ended that stay in the table.
func TestTenantTableStartsEmptyWithTheRole(t *testing.T) {
	runStats(t, func(g *gomega.WithT, service *schedulingService) {
		_, rejected := service.submit(statsRequest("1", "a"))
		g.Expect(rejected).To(gomega.BeNil())
		time.Sleep(10 * time.Second)
		service.dropEndedNodes(map[string]bool{})
		table := service.tenantTable()
		g.Expect(table.CountedMS).To(gomega.BeNumerically("==", 10_000))
		g.Expect(table.Tenants).To(gomega.HaveLen(1))
		g.Expect(table.Tenants[0].Running + table.Tenants[0].Queued).To(gomega.BeZero())
		service.setActive(false)
		service.setActive(true)
		g.Expect(service.tenantTable().Tenants).To(gomega.BeEmpty())
		time.Sleep(time.Second)
		service.finish(&finishRequest{ID: "1", Observation: admission.Observation{Whole: true}})
		table = service.tenantTable()
		g.Expect(table.Tenants).To(gomega.BeEmpty())
		g.Expect(table.CountedMS).To(gomega.BeNumerically("==", 1000))
		service.reset(nil, nil)
		g.Expect(service.tenantTable().CountedMS).To(gomega.BeZero())
	})
}

// Guards against rejections that a node decided while it reached no scheduling node, or before another one
// took over, and that nobody can explain once the role of the node has changed.
func TestRejectionsAreExplainedAfterTheRoleChanged(t *testing.T) {
	runStats(t, func(g *gomega.WithT, service *schedulingService) {
		for i, isActive := range []bool{true, false} {
			service.setActive(isActive)
			id := fmt.Sprint(i)
			request := statsRequest(id, "a")
			request.Repeat = true
			service.retryBudget.Deactivate() // permits no retry
			_, rejected := service.submit(request)
			g.Expect(rejected.Reason).To(gomega.Equal(reasonRetryBudget))
			service.setActive(false)
			g.Expect(service.explain("caller-" + id).Rejections).To(gomega.HaveLen(1))
			g.Expect(service.tenantTable().Tenants).To(gomega.BeEmpty())
		}
		service.setActive(true)
		g.Expect(service.explain("caller-0").Rejections).To(gomega.HaveLen(1))
		service.reset(nil, nil)
		g.Expect(service.explain("caller-0").Rejections).To(gomega.BeEmpty())
	})
}

// Guards against a request without the caller's ID, from a node of the earlier version, that can't be
// explained by its content, and against fields that change on the wire.
func TestRequestsOfTheEarlierVersionAreExplainedByContent(t *testing.T) {
	runStats(t, func(g *gomega.WithT, service *schedulingService) {
		request := statsRequest("1", "a")
		request.Repeat, request.RequestID = true, ""
		content, err := peerwire.Marshal(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(content)).NotTo(gomega.ContainSubstring("RequestID"))
		decoded := &assignRequest{}
		g.Expect(peerwire.Unmarshal(content, decoded)).To(gomega.Succeed())
		_, rejected := service.submit(decoded)
		g.Expect(rejected.Reason).To(gomega.Equal(reasonRetryBudget))
		found := service.explain(request.Request.Fingerprint.String()).Rejections
		g.Expect(found).To(gomega.HaveLen(1))
		g.Expect(found[0].Request).To(gomega.BeEmpty())
		g.Expect(found[0].Weight).To(gomega.BeNumerically("==", 1))
	})
}

// Guards against reports that other nodes or the command line can't decode, and against an error for an
// unknown request that doesn't say since when the node counts.
func TestTenantReportsAreDecodedAsTheyWereEncoded(t *testing.T) {
	g := gomega.NewWithT(t)
	node := New(&Settings{Name: "n1"}, Dependencies{})
	defer node.scheduling.timer.Stop()
	request := statsRequest("1", "a")
	request.Repeat = true
	_, rejected := node.scheduling.submit(request)
	g.Expect(rejected.Reason).To(gomega.Equal(reasonRetryBudget))
	reply, err := node.serveTenantReport(t.Context(), &tenantReportRequest{Request: "caller-1"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var found Rejections
	g.Expect(json.Unmarshal(reply.JSON, &found)).To(gomega.Succeed())
	g.Expect(found.Scheduler).To(gomega.Equal("n1"))
	g.Expect(found.Rejections[0].Content).To(gomega.Equal(request.Request.Fingerprint))
	reply, err = node.serveTenantReport(t.Context(), &tenantReportRequest{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var table TenantTable
	g.Expect(json.Unmarshal(reply.JSON, &table)).To(gomega.Succeed())
	g.Expect(table.Tenants).To(gomega.HaveLen(1))
	g.Expect(table.Tenants[0].Refused).To(gomega.HaveKeyWithValue(reasonRetryBudget, int64(1)))
	_, err = node.tenantReport(t.Context(), &tenantReportRequest{Request: "unknown"})
	g.Expect(errors.Is(err, errkind.NotFound)).To(gomega.BeTrue())
	g.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring(`n1, which schedules and has counted for 0s, remembers no rejection of "unknown"`), gomega.Not(gomega.ContainSubstring("answer_retention")))))
	g.Expect(node.counter("tenants.refused." + reasonRetryBudget).Count()).To(gomega.BeNumerically("==", 1))
}

// Guards against a caller's ID of any length that is sent to the scheduling node in full.
func TestLongRequestIDsAreShortenedBeforeTheyAreSent(t *testing.T) {
	g := gomega.NewWithT(t)
	node := New(&Settings{Name: "n1"}, Dependencies{})
	defer node.scheduling.timer.Stop()
	node.catalog.Store(&catalog.Catalog{})
	id := strings.Repeat("x", 4096)
	c := &call{node: node, id: id, service: "s", route: &catalog.Route{Name: "route"}}
	request := c.newAssignRequest(nil, true)
	g.Expect(len(request.RequestID)).To(gomega.BeNumerically("<=", 64))
	_, rejected := node.scheduling.submit(request)
	g.Expect(rejected.Reason).To(gomega.Equal(reasonRetryBudget))
	g.Expect(node.scheduling.explain(id).Rejections).To(gomega.HaveLen(1))
}
