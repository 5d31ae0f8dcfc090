package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// rolloutScenario is a scenario under load whose plain service gets replicas of a second version.
type rolloutScenario struct {
	*scenario
	newReplicas     []*platformsim.Replica
	group           sync.WaitGroup
	done            chan struct{}
	mutex           sync.Mutex
	random          *rand.Rand
	repliesByStatus map[int]int
	// incompleteReplies counts replies with status 200 and an incomplete body.
	incompleteReplies int
}

const (
	rolloutDuration = 20 * time.Second
	// rolloutRequestInterval is the time between two requests at one node.
	rolloutRequestInterval = 25 * time.Millisecond
	// canaryShare and canarySlack equal the nodes' settings.
	canaryShare = 0.1
	canarySlack = 50
)

// runRollout runs the test while requests are sent to all nodes.
func runRollout(t *testing.T, test func(s *rolloutScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		s := &rolloutScenario{scenario: base, done: make(chan struct{}), repliesByStatus: map[int]int{}, random: rand.New(rand.NewPCG(1, 2))}
		for _, host := range hosts {
			s.group.Go(func() { s.sendRequests(host) })
		}
		defer s.group.Wait()
		defer close(s.done)
		time.Sleep(time.Second)
		test(s)
	})
}

// sendRequests sends requests to the node until done is closed.
func (s *rolloutScenario) sendRequests(host string) {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(rolloutRequestInterval):
		}
		s.group.Go(func() {
			got := s.do(host, http.MethodGet, "/safe/x", nil)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.repliesByStatus[got.status]++
			if got.status == http.StatusOK && !got.complete {
				s.incompleteReplies++
			}
		})
	}
}

// orderRollout writes the roll-out order and starts three replicas of the version.
func (s *rolloutScenario) orderRollout(version string, behave func(*http.Request) platformsim.Behavior) {
	s.deployment.Store.Order(platformsim.RolloutOrder{Service: "registry", Target: version, Duration: rolloutDuration.Seconds()})
	for i := range 3 {
		host := fmt.Sprint(version, i)
		replica := &platformsim.Replica{ID: "i-" + host, Service: "registry", Zone: "east", Slots: 2, Step: 20 * time.Millisecond, Version: version}
		replica.SetBehavior(behave)
		s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
		s.newReplicas = append(s.newReplicas, replica)
	}
}

func (s *rolloutScenario) rolloutState() string {
	return s.deployment.Store.RolloutStatus("registry").State
}

// awaitRolloutState waits until the roll-out status has the state, and returns false if it hasn't
// within the limit.
func (s *rolloutScenario) awaitRolloutState(state string, limit time.Duration) bool {
	for started := time.Now(); time.Since(started) < limit; time.Sleep(20 * time.Millisecond) {
		if s.rolloutState() == state {
			return true
		}
	}
	return false
}

// arrivalCount returns the number of requests that arrived at the replicas.
func arrivalCount(replicas []*platformsim.Replica) int {
	count := 0
	for _, replica := range replicas {
		count += replica.Arrivals()
	}
	return count
}

// expectCanaryWithinBudget checks the new version's share of the requests that reached the service
// since the order, when the old version had before arrivals.
func (s *rolloutScenario) expectCanaryWithinBudget(before int) {
	canary := arrivalCount(s.newReplicas)
	total := arrivalCount(s.plainReplicas) + canary - before
	s.Expect(float64(canary)).To(gomega.BeNumerically("<=", canaryShare*float64(total)+canarySlack), "requests at the new version")
}

// failOneIn returns a behavior that fails one of count requests at random.
func (s *rolloutScenario) failOneIn(count int) func(*http.Request) platformsim.Behavior {
	return func(*http.Request) platformsim.Behavior {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.random.IntN(count) == 0 {
			return platformsim.Fail
		}
		return platformsim.Answer
	}
}

// expectCompleted waits for the completion of the roll-out, crashes the old replicas and checks that
// no request is lost.
func (s *rolloutScenario) expectCompleted(limit time.Duration) {
	s.Expect(s.awaitRolloutState("completed", limit)).To(gomega.BeTrue(), "state: "+s.rolloutState())
	before := arrivalCount(s.plainReplicas)
	for _, replica := range s.plainReplicas {
		for _, run := range replica.Runs() {
			s.Expect(run.Cancelled).To(gomega.BeFalse())
		}
		replica.Crash()
	}
	s.mutex.Lock()
	s.repliesByStatus = map[int]int{}
	s.mutex.Unlock()
	time.Sleep(2 * time.Second)
	s.Expect(arrivalCount(s.plainReplicas)).To(gomega.Equal(before), "requests at replicas that stopped")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Expect(s.repliesByStatus).To(gomega.HaveLen(1), "answers after the switch, by status")
	s.Expect(s.repliesByStatus[http.StatusOK]).To(gomega.BeNumerically(">", 100))
	s.Expect(s.incompleteReplies).To(gomega.BeZero())
}

// Guards against a roll-out that sends too many requests to the new version or loses any when the
// old replicas stop.
func TestRolloutOfAGoodVersionLosesNoRequest(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		before := arrivalCount(s.plainReplicas)
		s.orderRollout("v2", nil)
		s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
		time.Sleep(rolloutDuration / 2)
		s.expectCanaryWithinBudget(before)
		s.Expect(arrivalCount(s.newReplicas)).To(gomega.BeNumerically(">", 40), "too few canary requests for the analysis")
		s.expectCompleted(rolloutDuration / 2)
	})
}

// Guards against a bad version that is not rolled back, or that receives requests afterwards.
func TestBadVersionIsRolledBackWithinItsCanaryBudget(t *testing.T) {
	cases := map[string]platformsim.Behavior{"fails": platformsim.Fail, "breaks off": platformsim.Reset}
	for name, behavior := range cases {
		t.Run(name, func(t *testing.T) {
			runRollout(t, func(s *rolloutScenario) {
				before := arrivalCount(s.plainReplicas)
				s.orderRollout("v2", func(r *http.Request) platformsim.Behavior {
					if s.failOneIn(3)(r) == platformsim.Fail {
						return behavior
					}
					return platformsim.Answer
				})
				s.Expect(s.awaitRolloutState("rolled_back", rolloutDuration)).To(gomega.BeTrue(), "state: "+s.rolloutState())
				s.expectCanaryWithinBudget(before)
				canary := arrivalCount(s.newReplicas)
				time.Sleep(3 * time.Second)
				s.Expect(arrivalCount(s.newReplicas)).To(gomega.Equal(canary), "requests after the roll-back")
			})
		})
	}
}

// Guards against a second canary budget, or a roll-out that never ends, after the scheduling node
// died during the analysis or the switch.
func TestRolloutCompletesAfterSchedulingNodesFail(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		before := arrivalCount(s.plainReplicas)
		s.orderRollout("v2", nil)
		s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
		for range 2 {
			time.Sleep(3 * time.Second)
			killed := s.scheduler()
			s.deployment.Node(killed).Kill()
			time.Sleep(time.Second)
			s.Expect(s.deployment.StartNode(killed, "east")).To(gomega.Succeed())
		}
		s.expectCanaryWithinBudget(before)
		s.Expect(s.awaitRolloutState("completed", 2*rolloutDuration)).To(gomega.BeTrue(), "state: "+s.rolloutState())
	})
}

// Guards against canary requests granted during a store outage, and against a write that is
// considered failed because its answer was lost.
func TestRolloutPausesDuringAStoreOutage(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		before := arrivalCount(s.plainReplicas)
		s.orderRollout("v2", nil)
		s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
		time.Sleep(2 * time.Second)
		s.deployment.Store.SetDown(true)
		time.Sleep(2 * time.Second)
		canary := arrivalCount(s.newReplicas)
		time.Sleep(3 * time.Second)
		s.Expect(arrivalCount(s.newReplicas)).To(gomega.Equal(canary), "requests while the store is down")
		s.deployment.Store.SetDown(false)
		s.deployment.Store.SetLoseAnswers(true)
		time.Sleep(2 * time.Second)
		s.deployment.Store.SetLoseAnswers(false)
		s.deployment.Store.Compact()
		s.Expect(s.awaitRolloutState("completed", 2*rolloutDuration)).To(gomega.BeTrue(), "state: "+s.rolloutState())
		s.expectRecordedCanaryWithinBudget(before)
	})
}

// expectRecordedCanaryWithinBudget checks the canary requests in the roll-out record, which counts
// them until the switch.
func (s *rolloutScenario) expectRecordedCanaryWithinBudget(before int) {
	total := arrivalCount(s.plainReplicas) + arrivalCount(s.newReplicas) - before
	record := s.deployment.Node(s.scheduler()).Status().Rollouts["registry"]
	s.Expect(float64(record.Exposed)).To(gomega.BeNumerically("<=", canaryShare*float64(total)+canarySlack))
}

// Guards against roll-outs started by orders that don't parse or that name unknown services,
// another service's key or a version without replicas.
func TestInvalidRolloutOrdersAreIgnored(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		store := s.deployment.Store
		store.Put("op/rollout/registry", []byte(`{"service":"registry","target`))
		store.Put("op/rollout/unknown", []byte(`{"service":"unknown","target_version":"v2","duration_s":5}`))
		time.Sleep(time.Second)
		store.Put("op/rollout/registry", []byte(`{"service":"registry","target_version":"v2"}`))
		store.Put("op/rollout/engines", []byte(`{"service":"registry","target_version":"v2","duration_s":9}`))
		time.Sleep(time.Second)
		store.Put("op/rollout/registry", []byte(`{"service":"registry","target_version":"v7","duration_s":3}`))
		time.Sleep(8 * time.Second)
		for _, service := range []string{"registry", "unknown", "engines"} {
			s.Expect(store.RolloutStatus(service).State).To(gomega.BeEmpty(), service)
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.Expect(s.repliesByStatus).To(gomega.HaveLen(1))
		s.Expect(s.loggedEvents("directory.entry")).NotTo(gomega.BeEmpty())
	})
}
