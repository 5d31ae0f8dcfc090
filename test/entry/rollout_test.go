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

// rolloutScene moves the plain service to a second version of its replicas.
type rolloutScenario struct {
	*scenario
	newReplicas     []*platformsim.Replica
	group           sync.WaitGroup
	done            chan struct{}
	mutex           sync.Mutex
	random          *rand.Rand
	repliesByStatus map[int]int
	// lost counts answers that did not end properly.
	incompleteReplies int
}

const (
	rolloutDuration = 20 * time.Second
	// rolloutGap is the time between two requests at one node.
	rolloutRequestInterval = 25 * time.Millisecond
	// exposureShare and exposureSlack are those of the nodes' settings.
	canaryShare = 0.1
	canarySlack = 50
)

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

// call sends requests to the node until the scene ends.
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

// order writes the order and starts as many replicas of the version.
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

// awaitState waits until operators read the state, and returns false if they don't in time.
func (s *rolloutScenario) awaitRolloutState(state string, limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(20 * time.Millisecond) {
		if s.rolloutState() == state {
			return true
		}
	}
	return false
}

func arrivalCount(replicas []*platformsim.Replica) int {
	count := 0
	for _, replica := range replicas {
		count += replica.Arrivals()
	}
	return count
}

// expectExposure checks how much the new version got, of all that reached the service since
// the order.
func (s *rolloutScenario) expectCanaryWithinBudget(before int) {
	got := arrivalCount(s.newReplicas)
	all := arrivalCount(s.plainReplicas) + got - before
	s.Expect(float64(got)).To(gomega.BeNumerically("<=", canaryShare*float64(all)+canarySlack), "requests at the new version")
}

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

// completed checks the end of a roll-out of a good version: when the status says so the old
// replicas stop at once, with whatever they run.
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

func TestRolloutOfAGoodVersionLosesNoRequest(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		before := arrivalCount(s.plainReplicas)
		s.orderRollout("v2", nil)
		s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
		time.Sleep(rolloutDuration / 2)
		s.expectCanaryWithinBudget(before)
		s.Expect(arrivalCount(s.newReplicas)).To(gomega.BeNumerically(">", 40), "too few to judge by")
		s.expectCompleted(rolloutDuration / 2)
	})
}

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
				got := arrivalCount(s.newReplicas)
				time.Sleep(3 * time.Second)
				s.Expect(arrivalCount(s.newReplicas)).To(gomega.Equal(got), "requests after the roll-back")
			})
		})
	}
}

// The scheduling node dies while the version is judged, and while requests still run at the
// old one. Whoever follows hands out no second share and brings the roll-out to its end.
func TestRolloutCompletesAfterSchedulingNodesFail(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		before := arrivalCount(s.plainReplicas)
		s.orderRollout("v2", nil)
		s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
		for range 2 {
			time.Sleep(3 * time.Second)
			ended := s.scheduler()
			s.deployment.Node(ended).Kill()
			time.Sleep(time.Second)
			s.Expect(s.deployment.StartNode(ended, "east")).To(gomega.Succeed())
		}
		s.expectCanaryWithinBudget(before)
		s.Expect(s.awaitRolloutState("completed", 2*rolloutDuration)).To(gomega.BeTrue(), "state: "+s.rolloutState())
	})
}

// Without the store nothing more is handed out, and a write whose answer is lost is not
// taken for none.
func TestRolloutPausesDuringAStoreOutage(t *testing.T) {
	runRollout(t, func(s *rolloutScenario) {
		before := arrivalCount(s.plainReplicas)
		s.orderRollout("v2", nil)
		s.Expect(s.awaitRolloutState("running", 2*time.Second)).To(gomega.BeTrue())
		time.Sleep(2 * time.Second)
		s.deployment.Store.SetDown(true)
		time.Sleep(2 * time.Second)
		got := arrivalCount(s.newReplicas)
		time.Sleep(3 * time.Second)
		s.Expect(arrivalCount(s.newReplicas)).To(gomega.Equal(got), "requests while the store is away")
		s.deployment.Store.SetDown(false)
		s.deployment.Store.SetLost(true)
		time.Sleep(2 * time.Second)
		s.deployment.Store.SetLost(false)
		s.deployment.Store.Compact()
		s.Expect(s.awaitRolloutState("completed", 2*rolloutDuration)).To(gomega.BeTrue(), "state: "+s.rolloutState())
		s.expectRecordedCanaryWithinBudget(before)
	})
}

// expectExposureUntilSwitch checks what the system itself counted as handed out.
func (s *rolloutScenario) expectRecordedCanaryWithinBudget(before int) {
	all := arrivalCount(s.plainReplicas) + arrivalCount(s.newReplicas) - before
	record := s.deployment.Node(s.scheduler()).Status().Rollouts["registry"]
	s.Expect(float64(record.Exposed)).To(gomega.BeNumerically("<=", canaryShare*float64(all)+canarySlack))
}

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
