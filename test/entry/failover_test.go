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

// These tests check the retry budget and tenants' quotas while the scheduling node changes. A new
// scheduling node must count what its predecessors granted.

// The deployment, its load and its bounds.
const (
	failoverNodes   = 7
	failoverEngines = 12
	// failoverRequestInterval is the time between two requests.
	failoverRequestInterval = 10 * time.Millisecond
	failoverDuration        = 24 * time.Second
	// rejectedShare is the share of requests that replicas reject after rejectDelay, in which the
	// retry budget fills.
	rejectedShare = 0.8
	rejectDelay   = 8 * time.Second
	// quotaRate (per second), quotaBurst and quotaSlack are in tokens. Each request takes
	// tokensPerRequest, so that the tenant's demand is five times its rate.
	quotaRate, quotaBurst, quotaSlack = 200, 400, 800
	quotaOverage                      = 0.1
	quotaWindow                       = 8 * time.Second
	tokensPerRequest                  = 10
)

var retryBound = checker.RetryBound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

var threeZones = []string{"east", "west", "south"}

// failoverScenario is a deployment under load whose scheduling node changes.
type failoverScenario struct {
	*scenario
	hosts []string
	group sync.WaitGroup
	// random selects the requests to reject; its seed is the same in each run.
	random       *rand.Rand
	mutex        sync.Mutex
	requestTimes []time.Time
	// repliesByStatus counts the replies; requests lost with a node have status 0.
	repliesByStatus map[int]int
	loadEnded       bool
	// removedNode is the node that gets no requests from the load balancer, or "".
	removedNode string
	// rejectsFrom is the time from which replicas reject requests.
	rejectsFrom time.Time
}

// quota is a tenant's rate in tokens per second and its burst in tokens; a rate of 0 means no quota.
type quota struct{ rate, burst float64 }

// runFailover runs the fault under load, stops the deployment and calls check. If the tenant has no
// quota, replicas reject requests.
func runFailover(t *testing.T, quota quota, fault func(s *failoverScenario), check func(s *failoverScenario)) {
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
		rejects := quota.rate == 0
		if !rejects {
			s.configure(func(c *entrylab.Configuration) { c.Tenants[0].Rate, c.Tenants[0].Burst = quota.rate, quota.burst })
		}
		for i := range failoverEngines {
			engine := s.addReplica(fmt.Sprint("e", i+1), "engines", 4, 10*time.Millisecond)
			engine.Slots = 7
			if rejects {
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
			if rejects {
				time.Sleep(rejectDelay)
			}
			fault(s)
		}()
		s.load()
		<-done
		s.group.Wait()
		s.stop(s.hosts)
		check(s)
	})
}

// startOfVirtualTime returns the time at which virtual time starts.
func (s *failoverScenario) startOfVirtualTime() time.Time {
	return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
}

// rejectOften is a behavior that rejects the rejectedShare of requests from rejectsFrom on.
func (s *failoverScenario) rejectOften(*http.Request) platformsim.Behavior {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !time.Now().Before(s.rejectsFrom) && s.random.Float64() < rejectedShare {
		return platformsim.Shed
	}
	return platformsim.Answer
}

// load sends requests to all nodes in turn. Requests to a node that is down are lost.
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

// removeFromBalancer stops the load to the node; "" ends the removal.
func (s *failoverScenario) removeFromBalancer(host string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.removedNode = host
}

// hasLoadEnded reports whether all requests have been sent.
func (s *failoverScenario) hasLoadEnded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loadEnded
}

// repeatEvery repeats the step, with the interval before each, until the load has ended.
func (s *failoverScenario) repeatEvery(interval time.Duration, step func(round int)) {
	for round := 0; !s.hasLoadEnded(); round++ {
		time.Sleep(interval)
		step(round)
	}
}

// startNode starts the node in its zone.
func (s *failoverScenario) startNode(host string) {
	number, err := strconv.Atoi(host[1:])
	s.Expect(err).NotTo(gomega.HaveOccurred())
	s.Expect(s.deployment.StartNode(host, threeZones[(number-1)%len(threeZones)])).To(gomega.Succeed())
}

// restart kills all the nodes and then starts them again.
func (s *failoverScenario) restart(hosts ...string) {
	for _, host := range hosts {
		s.deployment.Node(host).Kill()
	}
	time.Sleep(300 * time.Millisecond)
	for _, host := range hosts {
		s.startNode(host)
	}
}

// majorityScheduler returns the node that most nodes consider the scheduling node.
func (s *failoverScenario) majorityScheduler() string {
	votes := map[string]int{}
	scheduler := s.hosts[0]
	for _, host := range s.hosts {
		votes[s.deployment.Node(host).Status().Scheduler]++
	}
	for host, count := range votes {
		if count > votes[scheduler] {
			scheduler = host
		}
	}
	return scheduler
}

// splitByZone returns the nodes inside and outside the zone.
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

// failovers are faults after which another node may become the scheduling node.
var failovers = map[string]func(s *failoverScenario){
	"no fault": func(*failoverScenario) {},
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
	"the scheduling node killed every 0.8 s": func(s *failoverScenario) {
		s.repeatEvery(800*time.Millisecond, func(int) { s.restart(s.majorityScheduler()) })
	},
	"the scheduling node killed every 3 s": func(s *failoverScenario) {
		s.repeatEvery(3*time.Second, func(int) { s.restart(s.majorityScheduler()) })
	},
	"half of the nodes killed every 2 s": func(s *failoverScenario) {
		s.repeatEvery(2*time.Second, func(round int) {
			half := len(s.hosts) / 2
			from := round % 2 * half
			s.restart(s.hosts[from : from+half]...)
		})
	},
	"all nodes killed every 5 s": func(s *failoverScenario) {
		s.repeatEvery(5*time.Second, func(int) { s.restart(s.hosts...) })
	},
	"the scheduling node paused for 1.5 s every 3 s": func(s *failoverScenario) {
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
	"one zone after the other partitioned for 2 s": func(s *failoverScenario) {
		s.repeatEvery(2*time.Second, func(round int) {
			s.fabric.Partition(s.splitByZone(threeZones[round%len(threeZones)]))
			time.Sleep(2 * time.Second)
			s.fabric.Heal()
		})
	},
	"each node partitioned from all others for 6 s": func(s *failoverScenario) {
		s.repeatEvery(4*time.Second, func(int) {
			for i, host := range s.hosts {
				s.fabric.Partition([]string{host}, s.hosts[i+1:])
			}
			time.Sleep(6 * time.Second)
			s.fabric.Heal()
		})
	},
}

// repeatedPartitions partition the network and heal it faster than a node's death is detected.
var repeatedPartitions = map[string]func(s *failoverScenario){
	"the network partitioned into zones and healed repeatedly": func(s *failoverScenario) {
		s.repeatEvery(700*time.Millisecond, func(int) {
			for _, zone := range threeZones {
				s.fabric.Partition(s.splitByZone(zone))
			}
			time.Sleep(900 * time.Millisecond)
			s.fabric.Heal()
		})
	},
	"another half partitioned every 0.5 s": func(s *failoverScenario) {
		s.repeatEvery(500*time.Millisecond, func(round int) {
			s.fabric.Heal()
			half := append([]string{}, s.hosts[round%len(s.hosts):]...)
			half = append(half, s.hosts[:round%len(s.hosts)]...)
			s.fabric.Partition(half[:len(half)/2], half[len(half)/2:])
		})
	},
}

// runFailovers runs all faults in parallel subtests.
func runFailovers(t *testing.T, faults map[string]func(s *failoverScenario), quota quota, check func(t *testing.T, s *failoverScenario)) {
	t.Helper()
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFailover(t, quota, fault, func(s *failoverScenario) { check(t, s) })
		})
	}
}

// Guards against a new scheduling node that grants a retry budget its predecessor has used.
func TestRetriesStayWithinTheBudgetAcrossFailovers(t *testing.T) {
	runFailovers(t, failovers, quota{}, checkRetryBudget)
}

// Guards against retry budgets that each side of a partition grants in full.
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

// Guards against a new scheduling node that grants quotas its predecessor has used.
func TestQuotasAreKeptAcrossFailovers(t *testing.T) {
	runFailovers(t, failovers, quota{rate: quotaRate, burst: quotaBurst}, checkQuota)
}

// Guards against quotas exceeded because each side of a partition grants the complete quota until it
// detects the partition. The usage of one side is charged to the other when it is received.
func TestQuotasAreKeptWhileTheNetworkIsCutAgainAndAgain(t *testing.T) {
	runFailovers(t, repeatedPartitions, quota{rate: quotaRate, burst: quotaBurst}, checkQuota)
}

func checkQuota(t *testing.T, s *failoverScenario) {
	t.Helper()
	var used []checker.Mark
	for _, engine := range s.engines {
		for _, run := range engine.Runs() {
			used = append(used, checker.Mark{At: run.At, Amount: tokensPerRequest})
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	_, worst := checker.Worst(used, quotaWindow)
	t.Logf("%.0f tokens of %.0f allowed in the worst eight seconds; %d requests ran", worst, allowed, len(used))
	s.Expect(worst).To(gomega.BeNumerically("<=", allowed))
}

// Guards against rejections of a tenant that stays below its quota.
func TestNobodyBelowTheQuotaIsRejectedAcrossFailovers(t *testing.T) {
	runFailovers(t, failovers, quotaAboveDemand(), checkNoRejections)
}

// Guards against rejections of a tenant below its quota while the network is partitioned repeatedly.
func TestNobodyBelowTheQuotaIsRefusedWhileTheNetworkIsCutAgainAndAgain(t *testing.T) {
	runFailovers(t, repeatedPartitions, quotaAboveDemand(), checkNoRejections)
}

// quotaAboveDemand returns a quota whose rate is 1.1 times the demand. Its burst covers a second,
// since the requests queued until a dead scheduling node is detected, 0.4 s, arrive together.
func quotaAboveDemand() quota {
	demand := tokensPerRequest / failoverRequestInterval.Seconds()
	return quota{rate: demand * 1.1, burst: demand}
}

func checkNoRejections(t *testing.T, s *failoverScenario) {
	t.Helper()
	t.Logf("replies %v", s.repliesByStatus)
	s.Expect(s.repliesByStatus[http.StatusTooManyRequests]).To(gomega.BeZero())
	s.Expect(s.repliesByStatus[http.StatusOK]).To(gomega.BeNumerically(">", len(s.requestTimes)/4))
}
