package entry

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// fullPoolSlots are the slots of the service "pool" of these tests, and fullPoolStep the duration of its
// responses: longer than new requests may be queued, so that these are refused.
const (
	fullPoolSlots = 20
	fullPoolStep  = 1150 * time.Millisecond
)

// fullPool is a deployment in which all slots of the service "pool", at the path /pool/, are taken by
// requests at n1.
type fullPool struct {
	scenario
	settings map[string]entry.Settings
}

// runFullPool starts the deployment, takes the slots and runs the test in virtual time.
func runFullPool(t *testing.T, plannedReturns bool, test func(s *fullPool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fullPool{scenario: scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, settings: map[string]entry.Settings{}}
		s.start(hosts, []string{"east", "west"}, func(settings *entry.Settings) {
			settings.PlannedReturns = plannedReturns
			s.settings[settings.Name] = *settings
		})
		s.configure(addPool)
		replica := &platformsim.Replica{ID: "i-x1", Service: "pool", Zone: "east", Slots: fullPoolSlots, Step: fullPoolStep}
		s.Expect(s.deployment.AddReplica("x1", replica)).To(gomega.Succeed())
		s.awaitReady()
		defer s.stop(hosts)
		time.Sleep(time.Second)
		var group sync.WaitGroup
		defer group.Wait()
		for i := range fullPoolSlots {
			group.Go(func() {
				s.Expect(s.do("n1", http.MethodGet, fmt.Sprint("/pool/running", i), nil).status).To(gomega.Equal(200))
			})
		}
		time.Sleep(50 * time.Millisecond)
		test(s)
	})
}

func addPool(c *entrylab.Configuration) {
	c.Routes = append(c.Routes, entrylab.Route{Name: "pool", Host: "service.example", PathPrefix: "/pool/", Kind: "safe", Timeout: 4000, Target: 400, Service: "pool", Attempts: 2})
	c.Services = append(c.Services, entrylab.Service{Name: "pool"})
}

// refuse sends the request, which must be refused, and returns the time after which the caller should
// come back.
func (s *fullPool) refuse(node, path, id string) time.Duration {
	got := s.do(node, http.MethodGet, path, withRequestID(id))
	s.Expect(got.status).To(gomega.Equal(503))
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return time.Duration(seconds*1000+0.5) * time.Millisecond
}

// returnCounts returns the counters of planned returns over all live nodes, without those that are zero.
func (s *fullPool) returnCounts(nodes ...string) map[string]int {
	counts := map[string]int{}
	for _, node := range nodes {
		request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress(node)+"/metrics", nil)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		for _, match := range regexp.MustCompile(`thornwalk_returns_(\w+) (\d+)\n`).FindAllStringSubmatch(s.send(request).body, -1) {
			count, err := strconv.Atoi(match[2])
			s.Expect(err).NotTo(gomega.HaveOccurred())
			counts[match[1]] += count
		}
	}
	return counts
}

// Guards against a planned time that is changed on its way to the caller, and against a caller that came
// back when told and is not recognized at another node.
func TestPlannedReturnAtAnotherNode(t *testing.T) {
	runFullPool(t, true, func(s *fullPool) {
		refusedAt := s.followers()[0]
		told := s.refuse(refusedAt, "/pool/a", "first")
		s.Expect(s.returnCounts(hosts...)).To(gomega.Equal(map[string]int{"planned": 1}))
		for _, event := range s.loggedEvents("request.placed") {
			if event.Request == "first" {
				s.Expect(event.RetryAfterMS).To(gomega.Equal(told.Milliseconds()))
			}
		}
		s.Expect(s.requestHistory("first")).To(gomega.ContainSubstring(fmt.Sprint("retry_after_ms=", told.Milliseconds())))
		time.Sleep(told - 10*time.Millisecond) // for which loggedEvents and requestHistory each waited
		s.Expect(s.do(s.followers()[1], http.MethodGet, "/pool/a", nil).status).To(gomega.Equal(200))
		s.Expect(s.returnCounts(hosts...)).To(gomega.Equal(map[string]int{"planned": 1, "on_time": 1}))
	})
}

// Guards against a caller that comes back exactly when told and counts as early, since the header rounds
// the planned time or the entry node replaces it, and against callers refused at once that all come
// back at once.
func TestPlannedReturnsAreToldExactlyAndSpread(t *testing.T) {
	runFullPool(t, true, func(s *fullPool) {
		const callers = 60
		var group sync.WaitGroup
		var mutex sync.Mutex
		var returned []time.Time
		began := time.Now()
		for i := range callers {
			group.Go(func() {
				path := fmt.Sprint("/pool/", i)
				told := s.refuse(hosts[i%3], path, fmt.Sprint("refused", i))
				s.Expect(told).To(gomega.BeNumerically(">=", 400*time.Millisecond))
				time.Sleep(told)
				mutex.Lock()
				returned = append(returned, time.Now())
				mutex.Unlock()
				s.do(hosts[(i+1)%3], http.MethodGet, path, nil)
			})
		}
		var refused map[string]int
		group.Go(func() {
			time.Sleep(400 * time.Millisecond)
			refused = s.returnCounts(hosts...)
		})
		group.Wait()
		counts := s.returnCounts(hosts...)
		t.Logf("%v, before the first return %v", counts, refused)
		s.Expect(refused["planned"] + refused["unplanned"]).To(gomega.Equal(callers))
		s.Expect(counts["on_time"]).To(gomega.Equal(refused["planned"]), "each caller with a reservation came back when told")
		s.Expect(counts["planned"]).To(gomega.BeNumerically(">", 0))
		s.Expect(counts["unplanned"]).To(gomega.BeNumerically(">", 0))
		s.Expect(counts["early"]).To(gomega.BeZero())
		s.Expect(mostTogether(returned, 20*time.Millisecond)).To(gomega.BeNumerically("<=", callers/4))
		t.Logf("first return after %v, at most %d in 20 ms", slices.MinFunc(returned, time.Time.Compare).Sub(began), mostTogether(returned, 20*time.Millisecond))
	})
}

// mostTogether returns the most instants that lie in one interval of the length.
func mostTogether(instants []time.Time, length time.Duration) int {
	slices.SortFunc(instants, time.Time.Compare)
	most, first := 0, 0
	for i, instant := range instants {
		for instant.Sub(instants[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against planned returns in a deployment that has not switched them on, and against a change of
// the setting that needs a restart.
func TestPlannedReturnsAreOffUntilAReload(t *testing.T) {
	runFullPool(t, false, func(s *fullPool) {
		told := s.refuse("n2", "/pool/a", "a")
		time.Sleep(told)
		s.do("n3", http.MethodGet, "/pool/a", nil)
		s.Expect(s.returnCounts(hosts...)).To(gomega.BeEmpty())
		for i := range fullPoolSlots {
			go s.do("n1", http.MethodGet, fmt.Sprint("/pool/again", i), nil)
		}
		time.Sleep(50 * time.Millisecond)
		for _, host := range hosts {
			settings := s.settings[host]
			settings.PlannedReturns = true
			s.deployment.Node(host).Reload(&settings)
		}
		s.refuse("n2", "/pool/b", "b")
		s.Expect(s.returnCounts(hosts...)).To(gomega.Equal(map[string]int{"planned": 1}))
		time.Sleep(2 * fullPoolStep)
	})
}

// Guards against a scheduling node that fails, or recognizes the caller, when the tenant of a refused
// request is deleted before the caller comes back.
func TestPlannedReturnOfADeletedTenant(t *testing.T) {
	runFullPool(t, true, func(s *fullPool) {
		told := s.refuse("n2", "/pool/a", "a")
		s.configure(func(c *entrylab.Configuration) {
			addPool(c)
			c.Tenants = []entrylab.Tenant{{Name: "other", Keys: []string{"key-2"}, Unit: "tokens", PlainTokens: 10}}
		})
		time.Sleep(told)
		s.Expect(s.do("n3", http.MethodGet, "/pool/a", nil).status).To(gomega.Equal(401))
		time.Sleep(fullPoolStep) // until slots are free
		withOtherKey := func(r *http.Request) { r.Header.Set("Authorization", "Bearer key-2") }
		s.Expect(s.do("n3", http.MethodGet, "/pool/a", withOtherKey).status).To(gomega.Equal(200))
		s.Expect(s.returnCounts(hosts...)).To(gomega.Equal(map[string]int{"planned": 1}), "another tenant's request is another one")
	})
}

// Guards against a caller that is lost, or that counts as returned, when the node that planned its
// return ends before.
func TestPlannedReturnAfterATakeover(t *testing.T) {
	runFullPool(t, true, func(s *fullPool) {
		others := s.followers()
		told := s.refuse(others[0], "/pool/a", "a")
		s.deployment.Node(s.scheduler()).Kill()
		time.Sleep(max(told, 2*fullPoolStep))
		s.Expect(s.do(others[1], http.MethodGet, "/pool/a", nil).status).To(gomega.Equal(200))
		s.Expect(s.returnCounts(others...)).To(gomega.BeEmpty())
	})
}
