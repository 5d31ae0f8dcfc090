package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Users saw more repeats of requests within ten seconds than the operators allow, while nodes
// ran on. The retry budget was a window in the memory of whichever node scheduled: one that
// took over began with an empty one and gave the whole share of what it saw, while the repeats
// of its predecessor still lay in the ten seconds. Lines of four nodes that scheduled one after
// the other showed it: 182, 86, 31 and 30 repeats, each within its own bound, 309 in ten seconds
// where 271 are allowed. Tenants' quotas are handed out by whoever schedules as well.

// The deployment, its load and the bounds that its operators set.
const (
	failoverNodes   = 7
	failoverEngines = 12
	// successionGap is the time between two requests, and successionTime how long they come.
	failoverRequestInterval = 10 * time.Millisecond
	failoverDuration        = 24 * time.Second
	// refusedShare is the part of its requests that a replica refuses, from calmTime on. Until
	// then the budget fills: what matters is what is given for that more than once.
	rejectedShare = 0.8
	rejectDelay   = 8 * time.Second
	// quotaRate, quotaBurst and quotaSlack are in tokens; each request is plainTokens, so
	// that the tenant asks for five times its rate.
	quotaRate, quotaBurst, quotaSlack = 200, 400, 800
	quotaOverage                      = 0.1
	quotaWindow                       = 8 * time.Second
	tokensPerRequest                  = 10
)

var retryBound = checker.RetryBound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

var threeZones = []string{"east", "west", "south"}

// successionScene is a deployment whose nodes come and go under load.
type failoverScenario struct {
	*scenario
	hosts []string
	group sync.WaitGroup
	// random gives each play the same refusals.
	random       *rand.Rand
	mutex        sync.Mutex
	requestTimes []time.Time
	// replies counts the answers by status; those lost with a node have none.
	repliesByStatus map[int]int
	loadEnded       bool
	// away is the node that the balancer has taken out, or "".
	removedNode string
	// refusesFrom is when replicas begin to refuse.
	rejectsFrom time.Time
}

// entryQuota is a tenant's quota in tokens a second and tokens on top.
type quota struct{ rate, burst float64 }

// playSuccession plays a course under load. If the tenant has no quota, the replicas refuse.
func runFailover(t *testing.T, quota quota, course func(s *failoverScenario), judge func(s *failoverScenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &failoverScenario{scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, random: rand.New(rand.NewPCG(1, 2)), repliesByStatus: map[int]int{}}
		for i := range failoverNodes {
			s.hosts = append(s.hosts, fmt.Sprint("n", i+1))
		}
		s.start(s.hosts, threeZones, func(settings *entry.Settings) {
			settings.RetryRatio, settings.RetrySlack = retryBound.Ratio, retryBound.Slack
			settings.QuotaOverage, settings.QuotaSlack = quotaOverage, quotaSlack
			settings.FirstStart = time.Now().Equal(s.startOfVirtualTime())
		})
		refuses := quota.rate == 0
		if !refuses {
			s.configure(func(c *entrylab.Configuration) { c.Tenants[0].Rate, c.Tenants[0].Burst = quota.rate, quota.burst })
		}
		for i := range failoverEngines {
			engine := s.addReplica(fmt.Sprint("e", i+1), "engines", 4, 10*time.Millisecond)
			engine.Slots = 7
			if refuses {
				engine.SetBehavior(s.rejectOften)
			}
			s.engines = append(s.engines, engine)
		}
		s.awaitReady()
		time.Sleep(2 * time.Second)
		done := make(chan bool)
		s.rejectsFrom = time.Now().Add(rejectDelay)
		go func() {
			defer close(done)
			if refuses {
				time.Sleep(rejectDelay)
			}
			course(s)
		}()
		s.load()
		<-done
		s.group.Wait()
		s.stop(s.hosts)
		judge(s)
	})
}

// begun is the moment at which virtual time begins.
func (s *failoverScenario) startOfVirtualTime() time.Time {
	return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
}

func (s *failoverScenario) rejectOften(*http.Request) platformsim.Behavior {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !time.Now().Before(s.rejectsFrom) && s.random.Float64() < rejectedShare {
		return platformsim.Shed
	}
	return platformsim.Answer
}

// load sends requests at all nodes in turn. One that comes to a node that is down is lost.
func (s *failoverScenario) load() {
	for i := range int(failoverDuration / failoverRequestInterval) {
		s.mutex.Lock()
		s.requestTimes = append(s.requestTimes, time.Now())
		host := s.hosts[i%len(s.hosts)]
		if host == s.removedNode {
			host = s.hosts[(i+1)%len(s.hosts)]
		}
		s.mutex.Unlock()
		s.group.Go(func() {
			got := s.do(host, http.MethodPost, "/stream/", nil)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.repliesByStatus[got.status]++
		})
		time.Sleep(failoverRequestInterval)
	}
	s.mutex.Lock()
	s.loadEnded = true
	s.mutex.Unlock()
}

// setAway has the balancer send nothing to the node.
func (s *failoverScenario) removeFromBalancer(host string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removedNode = host
}

// isOver returns whether no more requests come.
func (s *failoverScenario) hasLoadEnded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loadEnded
}

// every does a step again and again until the load is over.
func (s *failoverScenario) repeatEvery(gap time.Duration, step func(round int)) {
	for round := 0; !s.hasLoadEnded(); round++ {
		time.Sleep(gap)
		step(round)
	}
}

func (s *failoverScenario) startNode(host string) {
	number, err := strconv.Atoi(host[1:])
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Expect(s.deployment.StartNode(host, threeZones[(number-1)%len(threeZones)])).To(gomega.Succeed())
}

// restart kills the nodes and starts them again.
func (s *failoverScenario) restart(hosts ...string) {
	for _, host := range hosts {
		s.deployment.Node(host).Kill()
	}
	time.Sleep(300 * time.Millisecond)
	for _, host := range hosts {
		s.startNode(host)
	}
}

// scheduling returns the node that most nodes take for the scheduling one.
func (s *failoverScenario) majorityScheduler() string {
	votes := map[string]int{}
	most := s.hosts[0]
	for _, host := range s.hosts {
		votes[s.deployment.Node(host).Status().Scheduler]++
	}
	for host, count := range votes {
		if count > votes[most] {
			most = host
		}
	}
	return most
}

func (s *failoverScenario) splitByZone(name string) (inside, outside []string) {
	for i, host := range s.hosts {
		if threeZones[i%len(threeZones)] == name {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	return inside, outside
}

// successions are the ways in which the scheduling node changes.
var failovers = map[string]func(s *failoverScenario){
	"nothing": func(*failoverScenario) {},
	"each node stopped in turn, 1.3 s apart": func(s *failoverScenario) {
		s.repeatEvery(1300*time.Millisecond, func(round int) {
			s.group.Go(func() {
				host := s.hosts[round%len(s.hosts)]
				s.deployment.Node(host).Stop()
				s.startNode(host)
			})
		})
	},
	"each node killed in turn, 0.8 s apart": func(s *failoverScenario) {
		s.repeatEvery(800*time.Millisecond, func(round int) { s.restart(s.hosts[round%len(s.hosts)]) })
	},
	"the scheduling node killed each 0.8 s": func(s *failoverScenario) {
		s.repeatEvery(800*time.Millisecond, func(int) { s.restart(s.majorityScheduler()) })
	},
	"the scheduling node killed each 3 s": func(s *failoverScenario) {
		s.repeatEvery(3*time.Second, func(int) { s.restart(s.majorityScheduler()) })
	},
	"half of the nodes killed each 2 s": func(s *failoverScenario) {
		s.repeatEvery(2*time.Second, func(round int) {
			half := len(s.hosts) / 2
			from := round % 2 * half
			s.restart(s.hosts[from : from+half]...)
		})
	},
	"all nodes killed each 5 s": func(s *failoverScenario) {
		s.repeatEvery(5*time.Second, func(int) { s.restart(s.hosts...) })
	},
	"the scheduling node paused for 1.5 s each 3 s": func(s *failoverScenario) {
		s.repeatEvery(1500*time.Millisecond, func(int) {
			host := s.majorityScheduler()
			s.removeFromBalancer(host)
			s.fabric.Pause(host)
			time.Sleep(1500 * time.Millisecond)
			s.fabric.Resume(host)
			time.Sleep(100 * time.Millisecond)
			s.removeFromBalancer("")
		})
	},
	"a zone after the other cut off for 2 s": func(s *failoverScenario) {
		s.repeatEvery(2*time.Second, func(round int) {
			s.fabric.CutGroups(s.splitByZone(threeZones[round%len(threeZones)]))
			time.Sleep(2 * time.Second)
			s.fabric.Heal()
		})
	},
	"each node cut off from all others for 6 s": func(s *failoverScenario) {
		s.repeatEvery(4*time.Second, func(int) {
			for i, host := range s.hosts {
				s.fabric.CutGroups([]string{host}, s.hosts[i+1:])
			}
			time.Sleep(6 * time.Second)
			s.fabric.Heal()
		})
	},
}

// repeatedCuts cut the network and heal it faster than a node's death is noticed.
var repeatedPartitions = map[string]func(s *failoverScenario){
	"the network cut into zones and healed again and again": func(s *failoverScenario) {
		s.repeatEvery(700*time.Millisecond, func(int) {
			for _, zone := range threeZones {
				s.fabric.CutGroups(s.splitByZone(zone))
			}
			time.Sleep(900 * time.Millisecond)
			s.fabric.Heal()
		})
	},
	"another half cut off each 0.5 s": func(s *failoverScenario) {
		s.repeatEvery(500*time.Millisecond, func(round int) {
			s.fabric.Heal()
			half := append([]string{}, s.hosts[round%len(s.hosts):]...)
			half = append(half, s.hosts[:round%len(s.hosts)]...)
			s.fabric.CutGroups(half[:len(half)/2], half[len(half)/2:])
		})
	},
}

// playAll plays all courses.
func runFailovers(t *testing.T, courses map[string]func(s *failoverScenario), quota quota, judge func(t *testing.T, s *failoverScenario)) {
	t.Helper()
	for name, course := range courses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFailover(t, quota, course, func(s *failoverScenario) { judge(t, s) })
		})
	}
}

func TestRetriesStayWithinTheBudgetAcrossFailovers(t *testing.T) {
	runFailovers(t, failovers, quota{}, checkRetryBudget)
}

func TestRetriesStayWithinTheBudgetDuringRepeatedPartitions(t *testing.T) {
	runFailovers(t, repeatedPartitions, quota{}, checkRetryBudget)
}

func checkRetryBudget(t *testing.T, s *failoverScenario) {
	t.Helper()
	var arrivals []platformsim.Arrival
	for _, engine := range s.engines {
		arrivals = append(arrivals, engine.Arrived()...)
	}
	worst := retryBound.Worst(s.requestTimes, arrivals)
	t.Logf("%v in the worst ten seconds; %d arrivals for %d requests", worst, len(arrivals), len(s.requestTimes))
	s.Expect(worst.Over()).To(gomega.BeNumerically("<=", 0), worst.String())
}

func TestQuotasAreKeptAcrossFailovers(t *testing.T) {
	runFailovers(t, failovers, quota{rate: quotaRate, burst: quotaBurst}, checkQuota)
}

// Each side of a cut hands out the whole quota until it notices the cut. What one side handed out is
// taken from the other once that hears of it.
func TestQuotasAreKeptWhileTheNetworkIsCutAgainAndAgain(t *testing.T) {
	runFailovers(t, repeatedPartitions, quota{rate: quotaRate, burst: quotaBurst}, checkQuota)
}

func checkQuota(t *testing.T, s *failoverScenario) {
	t.Helper()
	var taken []checker.Mark
	for _, engine := range s.engines {
		for _, run := range engine.Runs() {
			taken = append(taken, checker.Mark{At: run.At, Amount: tokensPerRequest})
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	_, worst := checker.Worst(taken, quotaWindow)
	t.Logf("%.0f tokens of %.0f allowed in the worst eight seconds; %d requests ran", worst, allowed, len(taken))
	s.Expect(worst).To(gomega.BeNumerically("<=", allowed))
}

// What keeps the quota may not take from those who stay below it.
func TestNobodyBelowTheQuotaIsRejectedAcrossFailovers(t *testing.T) {
	runFailovers(t, failovers, quotaAboveDemand(), checkNoRejections)
}

func TestNobodyBelowTheQuotaIsRefusedWhileTheNetworkIsCutAgainAndAgain(t *testing.T) {
	runFailovers(t, repeatedPartitions, quotaAboveDemand(), checkNoRejections)
}

// modestQuota is of a tenant that stays below it: its rate is a tenth more than what is asked for. Its
// burst covers a second: what it asks for while a dead scheduling node is still waited for, 0.4 s,
// comes at once.
func quotaAboveDemand() quota {
	asked := tokensPerRequest / failoverRequestInterval.Seconds()
	return quota{rate: asked * 1.1, burst: asked}
}

func checkNoRejections(t *testing.T, s *failoverScenario) {
	t.Helper()
	t.Logf("answers %v", s.repliesByStatus)
	s.Expect(s.repliesByStatus[http.StatusTooManyRequests]).To(gomega.BeZero())
	s.Expect(s.repliesByStatus[http.StatusOK]).To(gomega.BeNumerically(">", len(s.requestTimes)/4))
}
