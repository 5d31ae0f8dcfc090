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
type rolloutScene struct {
	*scene
	fresh   []*platformsim.Replica
	group   sync.WaitGroup
	ended   chan struct{}
	mutex   sync.Mutex
	random  *rand.Rand
	replies map[int]int
	// lost counts answers that did not end properly.
	lost int
}

const (
	rolloutTime = 20 * time.Second
	// rolloutGap is the time between two requests at one node.
	rolloutGap = 25 * time.Millisecond
	// exposureShare and exposureSlack are those of the nodes' settings.
	exposureShare = 0.1
	exposureSlack = 50
)

func playRollout(t *testing.T, test func(s *rolloutScene)) {
	t.Helper()
	play(t, func(base *scene) {
		s := &rolloutScene{scene: base, ended: make(chan struct{}), replies: map[int]int{}, random: rand.New(rand.NewPCG(1, 2))}
		for _, host := range hosts {
			s.group.Go(func() { s.call(host) })
		}
		defer s.group.Wait()
		defer close(s.ended)
		time.Sleep(time.Second)
		test(s)
	})
}

// call sends requests to the node until the scene ends.
func (s *rolloutScene) call(host string) {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(rolloutGap):
		}
		s.group.Go(func() {
			got := s.get(host, http.MethodGet, "/safe/x", nil)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.replies[got.status]++
			if got.status == http.StatusOK && !got.whole {
				s.lost++
			}
		})
	}
}

// order writes the order and starts as many replicas of the version.
func (s *rolloutScene) order(version string, behave func(*http.Request) platformsim.Behavior) {
	s.lab.Store.Order(platformsim.RolloutOrder{Service: "registry", Target: version, Duration: rolloutTime.Seconds()})
	for i := range 3 {
		host := fmt.Sprint(version, i)
		replica := &platformsim.Replica{ID: "i-" + host, Service: "registry", Zone: "east", Slots: 2, Step: 20 * time.Millisecond, Version: version}
		replica.SetBehavior(behave)
		s.Expect(s.lab.AddReplica(host, replica)).To(gomega.Succeed())
		s.fresh = append(s.fresh, replica)
	}
}

func (s *rolloutScene) state() string { return s.lab.Store.RolloutStatus("registry").State }

// awaitState waits until operators read the state, and returns false if they don't in time.
func (s *rolloutScene) awaitState(state string, limit time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(20 * time.Millisecond) {
		if s.state() == state {
			return true
		}
	}
	return false
}

func arrivals(replicas []*platformsim.Replica) int {
	count := 0
	for _, replica := range replicas {
		count += replica.Arrivals()
	}
	return count
}

// expectExposure checks how much the new version got, of all that reached the service since
// the order.
func (s *rolloutScene) expectExposure(before int) {
	got := arrivals(s.fresh)
	all := arrivals(s.plain) + got - before
	s.Expect(float64(got)).To(gomega.BeNumerically("<=", exposureShare*float64(all)+exposureSlack), "requests at the new version")
}

func (s *rolloutScene) failOneIn(count int) func(*http.Request) platformsim.Behavior {
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
func (s *rolloutScene) completed(limit time.Duration) {
	s.Expect(s.awaitState("completed", limit)).To(gomega.BeTrue(), "state: "+s.state())
	before := arrivals(s.plain)
	for _, replica := range s.plain {
		for _, run := range replica.Runs() {
			s.Expect(run.Cancelled).To(gomega.BeFalse())
		}
		replica.Crash()
	}
	s.mutex.Lock()
	s.replies = map[int]int{}
	s.mutex.Unlock()
	time.Sleep(2 * time.Second)
	s.Expect(arrivals(s.plain)).To(gomega.Equal(before), "requests at replicas that stopped")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Expect(s.replies).To(gomega.HaveLen(1), "answers after the switch, by status")
	s.Expect(s.replies[http.StatusOK]).To(gomega.BeNumerically(">", 100))
	s.Expect(s.lost).To(gomega.BeZero())
}

func TestAGoodVersionTakesOverWithoutLosingARequest(t *testing.T) {
	playRollout(t, func(s *rolloutScene) {
		before := arrivals(s.plain)
		s.order("v2", nil)
		s.Expect(s.awaitState("running", 2*time.Second)).To(gomega.BeTrue())
		time.Sleep(rolloutTime / 2)
		s.expectExposure(before)
		s.Expect(arrivals(s.fresh)).To(gomega.BeNumerically(">", 40), "too few to judge by")
		s.completed(rolloutTime / 2)
	})
}

func TestABadVersionIsRolledBackWithinItsExposure(t *testing.T) {
	cases := map[string]platformsim.Behavior{"fails": platformsim.Fail, "breaks off": platformsim.Reset}
	for name, behavior := range cases {
		t.Run(name, func(t *testing.T) {
			playRollout(t, func(s *rolloutScene) {
				before := arrivals(s.plain)
				s.order("v2", func(r *http.Request) platformsim.Behavior {
					if s.failOneIn(3)(r) == platformsim.Fail {
						return behavior
					}
					return platformsim.Answer
				})
				s.Expect(s.awaitState("rolled_back", rolloutTime)).To(gomega.BeTrue(), "state: "+s.state())
				s.expectExposure(before)
				got := arrivals(s.fresh)
				time.Sleep(3 * time.Second)
				s.Expect(arrivals(s.fresh)).To(gomega.Equal(got), "requests after the roll-back")
			})
		})
	}
}

// The scheduling node dies while the version is judged, and while requests still run at the
// old one. Whoever follows hands out no second share and brings the roll-out to its end.
func TestARolloutOutlivesItsSchedulingNodes(t *testing.T) {
	playRollout(t, func(s *rolloutScene) {
		before := arrivals(s.plain)
		s.order("v2", nil)
		s.Expect(s.awaitState("running", 2*time.Second)).To(gomega.BeTrue())
		for range 2 {
			time.Sleep(3 * time.Second)
			ended := s.scheduler()
			s.lab.Node(ended).Kill()
			time.Sleep(time.Second)
			s.Expect(s.lab.StartNode(ended, "east")).To(gomega.Succeed())
		}
		s.expectExposure(before)
		s.Expect(s.awaitState("completed", 2*rolloutTime)).To(gomega.BeTrue(), "state: "+s.state())
	})
}

// Without the store nothing more is handed out, and a write whose answer is lost is not
// taken for none.
func TestARolloutWaitsForTheStore(t *testing.T) {
	playRollout(t, func(s *rolloutScene) {
		before := arrivals(s.plain)
		s.order("v2", nil)
		s.Expect(s.awaitState("running", 2*time.Second)).To(gomega.BeTrue())
		time.Sleep(2 * time.Second)
		s.lab.Store.SetDown(true)
		time.Sleep(2 * time.Second)
		got := arrivals(s.fresh)
		time.Sleep(3 * time.Second)
		s.Expect(arrivals(s.fresh)).To(gomega.Equal(got), "requests while the store is away")
		s.lab.Store.SetDown(false)
		s.lab.Store.SetLost(true)
		time.Sleep(2 * time.Second)
		s.lab.Store.SetLost(false)
		s.lab.Store.Compact()
		s.Expect(s.awaitState("completed", 2*rolloutTime)).To(gomega.BeTrue(), "state: "+s.state())
		s.expectExposureUntilSwitch(before)
	})
}

// expectExposureUntilSwitch checks what the system itself counted as handed out.
func (s *rolloutScene) expectExposureUntilSwitch(before int) {
	all := arrivals(s.plain) + arrivals(s.fresh) - before
	record := s.lab.Node(s.scheduler()).Status().Rollouts["registry"]
	s.Expect(float64(record.Exposed)).To(gomega.BeNumerically("<=", exposureShare*float64(all)+exposureSlack))
}

func TestOrdersThatMakeNoSenseMoveNothing(t *testing.T) {
	playRollout(t, func(s *rolloutScene) {
		store := s.lab.Store
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
		s.Expect(s.replies).To(gomega.HaveLen(1))
		s.Expect(s.events("directory.entry")).NotTo(gomega.BeEmpty())
	})
}
