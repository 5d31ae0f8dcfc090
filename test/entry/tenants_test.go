package entry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/tenantstats"
	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/protocol/openai"
)

// reportTimeout bounds the time until a node has answered operators, although the scheduling node can't
// be reached.
const reportTimeout = 4 * time.Second

// finishTime is the time after a response until the scheduling node has been told its end, which nodes do
// in the background.
const finishTime = 100 * time.Millisecond

// configureTenants gives the tenant "small" no quota and "large" one of 2 requests per second.
func (s *scenario) configureTenants() {
	s.configure(func(c *entrylab.Configuration) {
		c.Tenants = append(c.Tenants,
			entrylab.Tenant{Name: "small", Keys: []string{"key-small"}, Unit: "requests"},
			entrylab.Tenant{Name: "large", Keys: []string{"key-large"}, Unit: "requests", Rate: 2, Burst: 2})
	})
	time.Sleep(3 * time.Second)
}

// sendAs sends a request with the key and the id to the node.
func (s *scenario) sendAs(node, key, id string) reply {
	return s.do(node, http.MethodGet, "/safe/"+id, func(request *http.Request) {
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("X-Attempt-Id", id)
	})
}

// askOperators gets the path at the operators' address of the node and decodes the answer.
func (s *scenario) askOperators(node, path string, into any) reply {
	request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress(node)+path, nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	got := s.send(request)
	s.Expect(json.Unmarshal([]byte(got.body), into)).To(gomega.Succeed(), got.body)
	return got
}

// tenantTable returns the table by tenant as the node answers it.
func (s *scenario) tenantTable(node string) entry.TenantTable {
	var table entry.TenantTable
	s.Expect(s.askOperators(node, entry.PathTenants, &table).status).To(gomega.Equal(http.StatusOK))
	return table
}

// rowOf returns the tenant's row, which is empty if there is none.
func rowOf(table entry.TenantTable, tenant string) tenantstats.Row {
	for _, row := range table.Tenants {
		if row.Tenant == tenant {
			return row
		}
	}
	return tenantstats.Row{}
}

// Guards against a complaint that can't be answered: a tenant is rejected over its quota, and any node
// must tell why, by the caller's id and by the content of the log lines, and what each tenant got.
func TestAnyNodeExplainsWhyATenantWasRejected(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.configureTenants()
		var group sync.WaitGroup
		var mutex sync.Mutex
		rejected := map[string]reply{}
		for i := range 30 {
			node := hosts[i%len(hosts)]
			group.Go(func() {
				s.Expect(s.sendAs(node, "key-small", fmt.Sprint("small-", i)).status).To(gomega.Equal(http.StatusOK))
			})
			group.Go(func() {
				id := fmt.Sprint("large-", i)
				if got := s.sendAs(node, "key-large", id); got.status != http.StatusOK {
					mutex.Lock()
					rejected[id] = got
					mutex.Unlock()
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		group.Wait()
		time.Sleep(finishTime)
		s.Expect(len(rejected)).To(gomega.BeNumerically(">", 10))
		contents := map[string]string{}
		for _, event := range s.loggedEvents("request.ended") {
			contents[event.Request] = event.Fingerprint
		}
		for id, got := range rejected {
			s.Expect(got.status).To(gomega.Equal(http.StatusTooManyRequests))
			for _, node := range hosts {
				for _, name := range []string{id, contents[id]} {
					var found entry.Rejections
					s.Expect(s.askOperators(node, entry.PathExplain+url.PathEscape(name), &found).status).To(gomega.Equal(http.StatusOK))
					s.Expect(found.Scheduler).To(gomega.Equal(s.scheduler()))
					s.Expect(found.Rejections).To(gomega.HaveLen(1))
					why := found.Rejections[0]
					s.Expect([]any{why.Request, why.Content.String(), why.Tenant, why.Reason, why.Cost}).To(gomega.Equal([]any{id, contents[id], "large", "quota", 1.0}))
					s.Expect(why.QuotaRate).To(gomega.BeNumerically(">=", 2))
					told, err := strconv.ParseFloat(cmp.Or(got.header.Get("Retry-After"), "0"), 64) // no header where it is zero
					s.Expect(err).NotTo(gomega.HaveOccurred())
					s.Expect(float64(why.RetryAfterMS) / 1000).To(gomega.BeNumerically("~", told, 0.011))
				}
			}
		}
		for _, node := range hosts {
			table := s.tenantTable(node)
			small, large := rowOf(table, "small"), rowOf(table, "large")
			s.Expect(table.Scheduler).To(gomega.Equal(s.scheduler()))
			s.Expect(small.Answered).To(gomega.BeNumerically("==", 30))
			s.Expect(small.Refused).To(gomega.BeEmpty())
			s.Expect(large.Refused).To(gomega.Equal(map[string]int64{"quota": int64(len(rejected))}))
			s.Expect(large.Answered).To(gomega.BeNumerically("==", 30-len(rejected)))
			s.Expect(small.Used).To(gomega.BeNumerically(">", large.Used))
			s.Expect([]float64{small.Share, large.Share}).To(gomega.Equal([]float64{0.5, 0.5}))
			s.Expect(table.IsShared).To(gomega.BeFalse())
		}
		var problem openai.ErrorBody
		s.Expect(s.askOperators("n1", entry.PathExplain+"never-sent", &problem).status).To(gomega.Equal(http.StatusNotFound))
		s.Expect(problem.Error.Message).To(gomega.And(gomega.ContainSubstring("never-sent"), gomega.ContainSubstring(s.scheduler()), gomega.ContainSubstring("-logs")))
		request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress(s.scheduler())+"/metrics", nil)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		metrics := s.send(request).body
		s.Expect(metrics).To(gomega.ContainSubstring(fmt.Sprintf("thornwalk_tenants_refused_quota %d\n", len(rejected))))
		s.Expect(metrics).To(gomega.ContainSubstring("thornwalk_tenants_active 2\n"))
		s.Expect(metrics).NotTo(gomega.ContainSubstring("large"))
	})
}

// Guards against an operator's command that hangs or gets an unclear answer while the scheduling node
// can't be reached, and against a new scheduling node that presents its table as one since the start.
func TestTenantReportsWhenTheSchedulingNodeIsAway(t *testing.T) {
	for name, away := range map[string]func(s *scenario, scheduler string){
		"killed": func(s *scenario, scheduler string) { s.deployment.Node(scheduler).Kill() },
		"cut off": func(s *scenario, scheduler string) {
			s.fabric.Partition([]string{scheduler}, s.followers())
		},
		"suspended": func(s *scenario, scheduler string) { s.fabric.Pause(scheduler) },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.configureTenants()
				scheduler, followers := s.scheduler(), s.followers()
				s.Expect(s.sendAs(followers[0], "key-small", "before").status).To(gomega.Equal(http.StatusOK))
				time.Sleep(finishTime)
				before := s.tenantTable(followers[0])
				s.Expect(rowOf(before, "small").Answered).To(gomega.BeNumerically("==", 1))
				away(s, scheduler)
				awayAt := time.Now()
				var problem openai.ErrorBody
				started := time.Now()
				got := s.askOperators(followers[0], entry.PathTenants, &problem)
				s.Expect(time.Since(started)).To(gomega.BeNumerically("<", reportTimeout))
				s.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
				s.Expect(problem.Error.Code).To(gomega.Equal("peer-unavailable"))
				s.Expect(problem.Error.Message).To(gomega.And(gomega.ContainSubstring(scheduler), gomega.ContainSubstring("ask again")))
				time.Sleep(5 * time.Second)
				after := s.tenantTable(followers[0])
				s.Expect(after.Scheduler).To(gomega.And(gomega.BeElementOf(followers), gomega.Not(gomega.Equal(scheduler))))
				s.Expect(after.Tenants).To(gomega.BeEmpty())
				s.Expect(after.CountedMS).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", time.Since(awayAt).Milliseconds())))
				s.Expect(s.sendAs(followers[1], "key-small", "after").status).To(gomega.Equal(http.StatusOK))
				time.Sleep(finishTime)
				for _, node := range followers {
					s.Expect(rowOf(s.tenantTable(node), "small").Answered).To(gomega.BeNumerically("==", 1))
				}
			})
		})
	}
}

// Guards against a tenant that is deleted with requests queued and disappears from the table while its
// requests are still served, and against long names that are copied in full.
func TestDeletedTenantStaysInTheTableWhileItsRequestsRun(t *testing.T) {
	runScenario(t, func(s *scenario) {
		long := "tenant-" + strings.Repeat("x", 4096)
		s.configure(func(c *entrylab.Configuration) {
			c.Tenants = append(c.Tenants, entrylab.Tenant{Name: long, Keys: []string{"key-long"}, Unit: "requests"})
		})
		time.Sleep(3 * time.Second)
		for _, replica := range s.plainReplicas {
			replica.Step = 400 * time.Millisecond
		}
		var group sync.WaitGroup
		for i := range 6 {
			group.Go(func() { s.sendAs(hosts[i%len(hosts)], "key-long", fmt.Sprint("long-", i)) })
		}
		time.Sleep(50 * time.Millisecond)
		s.configure(nil)
		time.Sleep(100 * time.Millisecond)
		row := rowOf(s.tenantTable("n1"), tenantstats.ShortName(long))
		s.Expect(row.Running).To(gomega.Equal(4))
		s.Expect(row.Queued).To(gomega.BeNumerically(">", 0))
		group.Wait()
		time.Sleep(finishTime)
		row = rowOf(s.tenantTable("n1"), tenantstats.ShortName(long))
		s.Expect(row.Queued + row.Running).To(gomega.BeZero())
		s.Expect(len(row.Tenant)).To(gomega.BeNumerically("<=", 64))
		metrics := s.sendAs("n1", "key-long", "deleted")
		s.Expect(metrics.status).To(gomega.Equal(http.StatusUnauthorized))
	})
}

// Guards against log lines and explanations that name a time to come back which the caller was not told: a
// request that may have run is answered without one when its retry is refused.
func TestRefusedRetryHasNoTimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		s.start(hosts, []string{"east", "west"}, func(settings *entry.Settings) { settings.RetryRatio, settings.RetrySlack = 0, 0 })
		s.awaitReady()
		defer s.stop(hosts)
		s.setBehavior(s.plainReplicas, always(platformsim.Reset))
		for i := range 10 {
			got := s.do(hosts[i%len(hosts)], http.MethodGet, fmt.Sprint("/safe/", i), withRequestID(fmt.Sprint("broken", i)))
			s.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
			s.Expect(got.header).NotTo(gomega.HaveKey("Retry-After"))
		}
		refused := 0
		for _, event := range s.loggedEvents("request.placed") {
			if event.Outcome != "refused" {
				continue
			}
			refused++
			s.Expect(event.Reason).To(gomega.Equal("retry-budget"))
			s.Expect(event.RetryAfterMS).To(gomega.BeZero())
			var found entry.Rejections
			s.Expect(s.askOperators("n2", entry.PathExplain+event.Request, &found).status).To(gomega.Equal(http.StatusOK))
			s.Expect(found.Rejections).To(gomega.HaveLen(1))
			s.Expect(found.Rejections[0].RetryAfterMS).To(gomega.BeZero())
		}
		s.Expect(refused).To(gomega.BeNumerically(">", 0))
	})
}
