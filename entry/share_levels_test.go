package entry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/retrybudget"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
)

func compileTenants(g *gomega.WithT, tenants ...catalog.Tenant) *catalog.Catalog {
	compiled, err := catalog.Compile(&catalog.Document{Version: 1, Tenants: tenants})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return compiled
}

// Guards against weights that do not follow the quotas, that compare tokens with requests, or that are out
// of the bounds which schedulers accept.
func TestTenantWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	tenants := []catalog.Tenant{
		{Name: "small", Rate: 100, CountTokens: true}, {Name: "large", Rate: 500, CountTokens: true}, {Name: "none"},
		{Name: "requests", Rate: 4}, {Name: "negative", Rate: -1}, {Name: "infinite", Rate: math.Inf(1), CountTokens: true}, {Name: "nan", Rate: math.NaN()},
	}
	current := compileTenants(g, tenants...)
	expected := map[string]float64{"small": 1. / 3, "large": 5. / 3, "none": 1, "requests": 1, "negative": 1, "infinite": 1, "nan": 1}
	for name, weight := range expected {
		g.Expect((&Settings{TenantShares: SharesByQuota}).tenantWeight(current, current.Tenant(name))).To(gomega.BeNumerically("~", weight), name)
		g.Expect((&Settings{TenantShares: SharesEqual}).tenantWeight(current, current.Tenant(name))).To(gomega.Equal(1.0), name)
		g.Expect((&Settings{TenantShares: SharesOff}).tenantWeight(current, current.Tenant(name))).To(gomega.Equal(1.0), name)
	}
	many := []catalog.Tenant{{Name: "least", Rate: 1e-300}, {Name: "most", Rate: math.MaxFloat64}}
	for i := range 998 {
		many = append(many, catalog.Tenant{Name: fmt.Sprint(i), Rate: 1})
	}
	current = compileTenants(g, many...)
	byQuota := &Settings{TenantShares: SharesByQuota}
	g.Expect(byQuota.tenantWeight(current, current.Tenant("least"))).To(gomega.Equal(admission.MinWeight))
	g.Expect(byQuota.tenantWeight(current, current.Tenant("most"))).To(gomega.Equal(float64(admission.MaxWeight)))
	g.Expect(byQuota.tenantWeight(nil, &many[0])).To(gomega.Equal(1.0))
}

// Guards against a retry by an earlier configuration, and against one that fails because its tenant was
// deleted.
func TestRetryUsesTheTenantOfTheActiveConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n", LinkMbps: 10, TenantShares: SharesByQuota}, Dependencies{Log: eventlog.New("n", nil)})
	n.catalog.Store(compileTenants(g, catalog.Tenant{Name: "t", Rate: 1}, catalog.Tenant{Name: "other", Rate: 1}))
	c := &call{node: n, route: &catalog.Route{Name: "r"}, tenant: n.catalog.Load().Tenant("t"), service: "s"}
	g.Expect(c.newAssignRequest(nil, false).Request.Weight).To(gomega.Equal(1.0))
	n.catalog.Store(compileTenants(g, catalog.Tenant{Name: "t", Rate: 3, HasPriority: true, Priority: 2}, catalog.Tenant{Name: "other", Rate: 1}))
	retry := c.newAssignRequest([]string{"r1"}, true)
	g.Expect(retry.Request.Weight).To(gomega.Equal(1.5))
	g.Expect(retry.Request.Priority).To(gomega.Equal(2 * routePriorityRange))
	n.catalog.Store(compileTenants(g, catalog.Tenant{Name: "other", Rate: 1}))
	g.Expect(c.newAssignRequest([]string{"r1", "r2"}, true).Request.Tenant).To(gomega.Equal("t"))
}

// fullShareLevels returns 48 levels with leads 1 to 48 of three ledgers.
func fullShareLevels() *liveness.ShareLevels {
	levels := &liveness.ShareLevels{}
	for i := range maxShareLevels {
		levels.Add(fmt.Sprint("service-with-a-long-name", i%3), i%3, uint64(i)<<50, float32(i+1))
	}
	return levels
}

// Guards against share levels that make heartbeats too long, or displace what other parts need.
func TestShareLevelsAreShortenedBeforeOtherParts(t *testing.T) {
	g := gomega.NewWithT(t)
	heartbeat := liveness.Heartbeat{Name: "n", Zone: "z", BucketLevels: map[string]float64{}, Usage: &liveness.QuotaUsage{Taken: map[string]float64{}}}
	for tenants := range 45 {
		heartbeat.ShareLevels = fullShareLevels()
		content, err := encodeHeartbeat(heartbeat)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(content)).To(gomega.BeNumerically("<=", maxHeartbeatBytes))
		var decoded liveness.Heartbeat
		g.Expect(msgpack.Unmarshal(content, &decoded)).To(gomega.Succeed())
		g.Expect(decoded.BucketLevels).To(gomega.HaveLen(tenants))
		if decoded.ShareLevels != nil {
			least := float32(math.Inf(1))
			count := 0
			decoded.ShareLevels.Each(func(_ string, _ int, _ uint64, lead float32) { least, count = min(least, lead), count+1 })
			g.Expect(least).To(gomega.Equal(float32(maxShareLevels-count+1)), "the largest are kept")
		}
		heartbeat.BucketLevels[fmt.Sprint("tenant-", tenants)] = 0.1
	}
	g.Expect(fullShareLevels().LargerHalf().LargerHalf().LargerHalf().LargerHalf().LargerHalf().LargerHalf()).To(gomega.BeNil())
}

// testShareService returns a service with tenant shares and one service s of one slot, whose clock is at
// now.
func testShareService(now *time.Duration) *schedulingService {
	service := newSchedulingService(func() time.Duration { return *now }, retrybudget.Policy{Window: time.Second}, false)
	service.setPolicy(schedulingPolicy{admission: admission.Policy{TenantShares: true}})
	service.update(func(scheduler *admission.Scheduler) {
		scheduler.SetReplicas(0, []replicas.Replica{{ID: "r", Service: "s", Slots: 1}})
	})
	return service
}

func oneShareLevel(tenant uint64, lead float32) *liveness.ShareLevels {
	levels := &liveness.ShareLevels{}
	levels.Add("s", 0, tenant, lead)
	return levels
}

// leads returns the leads that the service reports, by tenant.
func leads(service *schedulingService) map[uint64]float32 {
	found := map[uint64]float32{}
	service.shareLevels().Each(func(_ string, _ int, tenant uint64, lead float32) { found[tenant] = lead })
	return found
}

// Guards against a successor that starts all tenants equal although it knows the levels of its
// predecessor, or that uses levels from long ago.
func TestSuccessorUsesRecentShareLevels(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Minute
	service := testShareService(&now)
	defer service.timer.Stop()
	g.Expect(service.applyShareLevels(false, oneShareLevel(1, 2))).To(gomega.BeZero())
	g.Expect(service.applyShareLevels(false, oneShareLevel(1, 3))).To(gomega.BeZero())
	now += time.Second
	service.setActive(true)
	g.Expect(leads(service)).To(gomega.Equal(map[uint64]float32{1: 3}))
	now += time.Hour
	service.setActive(false)
	service.setActive(true)
	g.Expect(leads(service)).To(gomega.Equal(map[uint64]float32{1: 3}), "its own until just now")
	service.setActive(false)
	now += bucketLevelsRetention
	service.setActive(true)
	g.Expect(leads(service)).To(gomega.BeEmpty(), "too old")
}

// Guards against a resumed process that goes on from its old ledger, and from the levels of the node that
// scheduled in the meantime more than once.
func TestResumedProcessTakesShareLevelsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Minute
	service := testShareService(&now)
	defer service.timer.Stop()
	service.setActive(true)
	g.Expect(service.lacksShareLevels()).To(gomega.BeTrue(), "it just started")
	now += quotaSettleTime
	g.Expect(service.lacksShareLevels()).To(gomega.BeFalse())
	service.applyShareLevels(true, oneShareLevel(1, 5))
	service.reset([]replicas.Replica{{ID: "r", Service: "s", Slots: 1}}, nil)
	g.Expect(leads(service)).To(gomega.BeEmpty())
	g.Expect(service.lacksShareLevels()).To(gomega.BeTrue())
	unknown := &liveness.ShareLevels{}
	unknown.Add("unknown", 0, 1, 1)
	g.Expect(service.applyShareLevels(true, unknown)).To(gomega.Equal(1))
	g.Expect(service.lacksShareLevels()).To(gomega.BeTrue(), "none of them were valid")
	g.Expect(service.applyShareLevels(true, oneShareLevel(2, 4))).To(gomega.BeZero())
	g.Expect(service.lacksShareLevels()).To(gomega.BeFalse())
	g.Expect(leads(service)).To(gomega.Equal(map[uint64]float32{2: 4}))
}

// Guards against levels that shut a tenant out, and malformed ones that end the process.
func TestInvalidShareLevelsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Minute
	service := testShareService(&now)
	defer service.timer.Stop()
	levels := &liveness.ShareLevels{Ledgers: []liveness.ShareLedger{
		{Service: "s", Tenants: []uint64{1, 2, 3, 4, 5, 6}, Leads: []float32{-1, float32(math.NaN()), float32(math.Inf(1)), 61, 7}},
		{Service: "t", Tenants: []uint64{1}, Leads: []float32{1}}, {Service: "s", Leads: []float32{1}},
	}}
	g.Expect(service.applyShareLevels(false, levels)).To(gomega.Equal(5))
	g.Expect(leads(service)).To(gomega.Equal(map[uint64]float32{5: 7}))
	many := &liveness.ShareLevels{}
	for i := range 3 * maxShareLevels {
		many.Add("s", 0, uint64(i), 1)
	}
	g.Expect(service.applyShareLevels(false, many)).To(gomega.Equal(2 * maxShareLevels))
	g.Expect(leads(service)).To(gomega.HaveLen(maxShareLevels))
}

// Guards against a node that goes by the levels of the wrong node: a follower by those of another than its
// scheduling node, a scheduling node in a partition by those of the other one.
func TestShareLevelsAreTakenFromTheSchedulingNodeOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n", LinkMbps: 10, TenantShares: SharesEqual}, Dependencies{Log: eventlog.New("n", nil)})
	now := time.Minute
	n.scheduling.clock = func() time.Duration { return now }
	ofScheduler := &liveness.Heartbeat{Name: "a", Scheduler: "a", ShareLevels: oneShareLevel(1, 1)}
	ofOther := &liveness.Heartbeat{Name: "b", Scheduler: "b", ShareLevels: oneShareLevel(1, 1)}
	ofFormer := &liveness.Heartbeat{Name: "a", Scheduler: "b", ShareLevels: oneShareLevel(1, 1)}
	n.scheduler = "a"
	g.Expect(n.takesShareLevels(now, ofScheduler)).To(gomega.BeTrue())
	g.Expect(n.takesShareLevels(now, ofOther)).To(gomega.BeFalse())
	g.Expect(n.takesShareLevels(now, ofFormer)).To(gomega.BeFalse())
	g.Expect(n.takesShareLevels(now, &liveness.Heartbeat{Name: "a", Scheduler: "a"})).To(gomega.BeFalse(), "the earlier version sends none")
	n.scheduler = "n"
	g.Expect(n.takesShareLevels(now, ofOther)).To(gomega.BeFalse(), "two schedulers each go by their own")
	n.scheduling.reset(nil, nil)
	g.Expect(n.takesShareLevels(now, ofOther)).To(gomega.BeTrue(), "after a suspension")
	n.lastActiveAt, n.scheduler = now, "a"
	g.Expect(n.takesShareLevels(now, ofScheduler)).To(gomega.BeFalse(), "it still reports its own")
	n.lastActiveAt = 0
	n.applyShareLevels(false, &liveness.ShareLevels{Ledgers: []liveness.ShareLedger{{Service: "unknown", Tenants: []uint64{1}, Leads: []float32{1}}}})
	g.Expect(n.counter("share_levels.ignored").Count()).To(gomega.Equal(int64(1)))
}

// Guards against invalid weights that operators do not see, and counts for nodes of the earlier version.
func TestInvalidWeightsAreCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n", LinkMbps: 10, TenantShares: SharesEqual}, Dependencies{Log: eventlog.New("n", nil)})
	for i, weight := range []float64{1, math.NaN(), -1, 0} {
		tenant := "t"
		if weight == 0 {
			tenant = "" // the earlier version sends neither
		}
		_, rejection := n.scheduling.submit(&assignRequest{Request: admission.Request{ID: fmt.Sprint(i), Service: "s", Tenant: tenant, Weight: weight}})
		g.Expect(rejection).To(gomega.BeNil())
	}
	g.Expect(n.counter("weights.invalid").Count()).To(gomega.Equal(int64(2)))
}

// Guards against share levels in the heartbeats of a deployment without tenant shares.
func TestNoShareLevelsWithoutTenantShares(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n", LinkMbps: 10}, Dependencies{Log: eventlog.New("n", nil)})
	g.Expect(n.scheduling.shareLevels()).To(gomega.BeNil())
}
