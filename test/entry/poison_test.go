package entry

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// These tests repeatedly send a poison request, under which replicas crash, with a new request id
// each time. Each crash also breaks the other requests at the replica.

const (
	poisonPath = "deadly"
	// poisonDuration is the time for which the poison request is sent.
	poisonDuration = 24 * time.Second
	// crashesToBlock is the number of crashes after which the request must be blocked.
	crashesToBlock = 3
	// maxBlockDelay bounds the time until every node has blocked the request.
	maxBlockDelay = 3 * time.Second
	// maxLateSends bounds the sends of the request after maxBlockDelay: trials.
	maxLateSends = 3
)

// crashScenario is a scenario whose replicas crash under requests of one path and restart.
type crashScenario struct {
	*scenario
	restarters []*entrylab.Restarter
	group      sync.WaitGroup
	mutex      sync.Mutex
	// poisonReplies and otherReplies count the replies to the poison request and to all other
	// requests, by status.
	poisonReplies, otherReplies map[int]int
}

// crashCase describes how the poison request is sent and which fault occurs meanwhile.
type crashCase struct {
	route    string
	interval time.Duration
	// sameID makes replicas restart under their old id.
	sameID bool
	// nodesAtOnce is the number of nodes that receive the request at the same time; 0 means one.
	nodesAtOnce int
	// fault runs after crashesToBlock replicas have crashed; it may be nil.
	fault func(s *scenario)
}

// runCrashes runs the test with eight replicas of the route's service that crash under poisonPath.
func runCrashes(t *testing.T, testCase crashCase, test func(s *crashScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		service, events := "engines", 6
		if testCase.route == "once" || testCase.route == "safe" {
			service, events = "registry", 0
		}
		s := newCrashScenario(base, 8, &entrylab.Restarter{Service: service, Events: events, SameID: testCase.sameID, Behave: crashOnPoison})
		test(s)
		s.group.Wait()
	})
}

// newCrashScenario replaces the replicas of the scenario by as many that restart, each with the fields of the given
// one.
func newCrashScenario(base *scenario, count int, fields *entrylab.Restarter) *crashScenario {
	s := &crashScenario{scenario: base, poisonReplies: map[int]int{}, otherReplies: map[int]int{}}
	for i := range count {
		restarter := &entrylab.Restarter{
			ID: fmt.Sprint("i-k", i), Service: fields.Service, Zone: []string{"east", "west"}[i%2], Slots: 4, Events: fields.Events, Step: 30 * time.Millisecond,
			SameID: fields.SameID, Behave: fields.Behave,
		}
		s.Expect(s.deployment.Keep(fmt.Sprint("k", i), restarter)).To(gomega.Succeed())
		s.restarters = append(s.restarters, restarter)
	}
	for _, replica := range append(append([]*platformsim.Replica{}, s.engines...), s.plainReplicas...) {
		replica.Crash() // only replicas that restart are used
		s.deployment.Store.Delete("servers/" + replica.ID)
	}
	time.Sleep(time.Second)
	return s
}

// crashOnPoison is the behavior of a replica that crashes under poison requests.
func crashOnPoison(request *http.Request) platformsim.Behavior {
	if strings.Contains(request.URL.Path, poisonPath) {
		return platformsim.End
	}
	return platformsim.Answer
}

// sendContent sends a request whose path and body depend on the content alone, and returns
// the reply.
func (s *crashScenario) sendContent(node, route, content string) reply {
	method := http.MethodPost
	if route == "safe" {
		method = http.MethodGet
	}
	return s.do(node, method, "/"+route+"/"+content, func(request *http.Request) {
		if method == http.MethodPost {
			request.Body, request.ContentLength = io.NopCloser(strings.NewReader(content)), int64(len(content))
		}
	})
}

// sendInBackground sends a request without waiting and counts its reply.
func (s *crashScenario) sendInBackground(node, route, content string) {
	s.group.Go(func() {
		got := s.sendContent(node, route, content)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if content == poisonPath {
			s.poisonReplies[got.status]++
		} else {
			s.otherReplies[got.status]++
		}
	})
}

// sendPoisonRepeatedly sends the poison request to the nodes in turn for poisonDuration.
func (s *crashScenario) sendPoisonRepeatedly(testCase crashCase) {
	faultStarted := testCase.fault == nil
	for started, i := time.Now(), 0; time.Since(started) < poisonDuration; i++ {
		for offset := range max(testCase.nodesAtOnce, 1) {
			s.sendInBackground(hosts[(i+offset)%len(hosts)], testCase.route, poisonPath)
		}
		time.Sleep(testCase.interval)
		if !faultStarted && len(s.crashTimes()) >= crashesToBlock {
			faultStarted = true
			s.group.Go(func() { testCase.fault(s.scenario) })
		}
	}
}

// crashTimes returns the times of all crashes in ascending order.
func (s *crashScenario) crashTimes() []time.Time {
	var all []time.Time
	for _, restarter := range s.restarters {
		all = append(all, restarter.Ends()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
	return all
}

// isPoison reports whether the run is that of the poison request.
func isPoison(run platformsim.Run) bool { return strings.Contains(run.Target, poisonPath) }

// lateRuns returns the number of the matching runs that started later than maxBlockDelay after the crash with the
// number, which is counted from one; zero if there was none.
func (s *crashScenario) lateRuns(crash int, matches func(platformsim.Run) bool) int {
	crashes, late := s.crashTimes(), 0
	for _, restarter := range s.restarters {
		for _, run := range restarter.Runs() {
			if len(crashes) >= crash && matches(run) && run.At.Sub(crashes[crash-1]) > maxBlockDelay {
				late++
			}
		}
	}
	return late
}

// expectBlocked checks that the poison request was sent at most maxLateSends times after
// maxBlockDelay.
func (s *crashScenario) expectBlocked(t *testing.T) {
	t.Helper()
	crashes := s.crashTimes()
	s.Expect(len(crashes)).To(gomega.BeNumerically(">=", crashesToBlock), "too few crashes to block the request")
	late := s.lateRuns(crashesToBlock, isPoison)
	t.Logf("%d crashes, %d sends later than %v after the third; replies %v", len(crashes), late, maxBlockDelay, s.poisonReplies)
	s.Expect(late).To(gomega.BeNumerically("<=", maxLateSends), "sends after every node must have blocked the request")
}

func killScheduler(s *scenario) { s.deployment.Node(s.scheduler()).Kill() }

func pauseScheduler(s *scenario) {
	scheduler := s.scheduler()
	s.fabric.Pause(scheduler)
	time.Sleep(3 * time.Second)
	s.fabric.Resume(scheduler)
}

// partitionNodesFor partitions n1 from the others for the duration.
func partitionNodesFor(duration time.Duration) func(s *scenario) {
	return func(s *scenario) {
		s.fabric.Partition([]string{"n1"}, []string{"n2", "n3"})
		time.Sleep(duration)
		s.fabric.Heal()
	}
}

func restartNodesInTurn(s *scenario) {
	for i, host := range hosts {
		s.deployment.Node(host).Kill()
		time.Sleep(200 * time.Millisecond)
		s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
		time.Sleep(2 * time.Second)
	}
}

func restartAllNodes(s *scenario) {
	time.Sleep(time.Second)
	for _, host := range hosts {
		s.deployment.Node(host).Kill()
	}
	time.Sleep(300 * time.Millisecond)
	for i, host := range hosts {
		s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
	}
}

func failStore(s *scenario) {
	s.deployment.Store.SetDown(true)
	time.Sleep(5 * time.Second)
	s.deployment.Store.SetDown(false)
}

// Guards against a poison request that keeps crashing replicas, also while nodes or the store fail.
func TestPoisonRequestIsBlocked(t *testing.T) {
	const shortInterval = 300 * time.Millisecond
	for name, testCase := range map[string]crashCase{
		"a stream that is sent once":        {route: "stream", interval: shortInterval},
		"a stream that is resumed":          {route: "resume", interval: shortInterval},
		"a plain request that is sent once": {route: "once", interval: shortInterval},
		"a plain request that is retried":   {route: "safe", interval: shortInterval},
		"every 4 s":                         {route: "stream", interval: 4 * time.Second},
		"every 30 ms":                       {route: "stream", interval: 30 * time.Millisecond},
		"at all nodes at once":              {route: "stream", interval: shortInterval, nodesAtOnce: 3},
		"the scheduling node is killed":     {route: "stream", interval: shortInterval, fault: killScheduler},
		"the scheduling node is paused":     {route: "stream", interval: shortInterval, fault: pauseScheduler},
		"the nodes are partitioned":         {route: "stream", interval: shortInterval, fault: partitionNodesFor(2 * time.Second)},
		"each node restarts":                {route: "stream", interval: shortInterval, fault: restartNodesInTurn},
		"all nodes restart":                 {route: "stream", interval: shortInterval, fault: restartAllNodes},
		"the store is down":                 {route: "stream", interval: shortInterval, fault: failStore},
		"replicas restart under their id":   {route: "stream", interval: shortInterval, sameID: true},
	} {
		t.Run(name, func(t *testing.T) {
			runCrashes(t, testCase, func(s *crashScenario) {
				s.sendPoisonRepeatedly(testCase)
				s.group.Wait()
				s.expectBlocked(t)
			})
		})
	}
}

// Guards against a frequent request that is blocked because it runs at many replicas that crash
// for other reasons.
func TestPopularRequestIsServedWhileReplicasCrashForOtherReasons(t *testing.T) {
	runCrashes(t, crashCase{route: "safe"}, func(s *crashScenario) {
		for i := range 87 {
			s.sendInBackground(hosts[i%3], "safe", "popular")
			time.Sleep(100 * time.Millisecond)
			if i%12 == 6 {
				s.restarters[i%8].End()
			}
		}
		s.group.Wait()
		t.Logf("replies %v", s.otherReplies)
		s.Expect(s.otherReplies[http.StatusOK]).To(gomega.Equal(87))
	})
}

// Guards against a frequent request that stays blocked after all replicas crashed at once, as in
// a loss of power, while it ran at each of them.
func TestPopularRequestIsServedAfterAllReplicasCrashedAtOnce(t *testing.T) {
	runCrashes(t, crashCase{route: "safe"}, func(s *crashScenario) {
		for range 2 {
			for i := range 48 { // so that some run at every replica
				s.sendInBackground(hosts[i%3], "safe", "popular")
			}
			time.Sleep(10 * time.Millisecond)
			for _, restarter := range s.restarters {
				restarter.End()
			}
			s.group.Wait()
			time.Sleep(5 * time.Second)
			clear(s.otherReplies)
			for i := range 30 {
				s.sendInBackground(hosts[i%3], "safe", "popular")
				time.Sleep(50 * time.Millisecond)
			}
			s.group.Wait()
			t.Logf("replies 5 s after the crashes: %v", s.otherReplies)
			s.Expect(s.otherReplies[http.StatusOK]).To(gomega.BeNumerically(">=", 28))
		}
	})
}

// Guards against lost requests of other callers while a poison request crashes replicas.
func TestOtherRequestsAreServedWhileAPoisonRequestCrashesReplicas(t *testing.T) {
	for _, route := range []string{"stream", "once"} {
		t.Run(route, func(t *testing.T) {
			runCrashes(t, crashCase{route: route}, func(s *crashScenario) {
				const count = 120
				for i := range count {
					s.sendInBackground(hosts[i%3], route, fmt.Sprint("other", i))
					if i%3 == 0 {
						s.sendInBackground(hosts[i%3], route, poisonPath)
					}
					time.Sleep(100 * time.Millisecond)
				}
				s.group.Wait()
				t.Logf("%d crashes; replies to other requests %v", len(s.crashTimes()), s.otherReplies)
				s.Expect(s.otherReplies[http.StatusOK]).To(gomega.BeNumerically(">=", count-12), "only requests at crashed replicas may be lost")
			})
		})
	}
}

// unblock requests the unblocking at the node as the operators' command does, and returns the
// status code.
func (s *crashScenario) unblock(node, fingerprint string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+entrylab.OperatorsAddress(node)+entry.PathUnblock+fingerprint, nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return s.scenario.send(request).status
}

// Guards against a blocked request that operators can't see or unblock at all nodes.
func TestOperatorsSeeAndUnblockPoisonRequests(t *testing.T) {
	testCase := crashCase{route: "stream"}
	runCrashes(t, testCase, func(s *crashScenario) {
		for i := range crashesToBlock {
			s.sendContent(hosts[i%3], "stream", poisonPath)
		}
		time.Sleep(300 * time.Millisecond) // three heartbeats, and before the first trial
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Blocked).To(gomega.HaveLen(1), host)
		}
		blocked := s.deployment.Node("n1").Status().Blocked[0]
		s.Expect(blocked.Incarnations).To(gomega.HaveLen(crashesToBlock))
		s.Expect(blocked.Route).To(gomega.Equal("stream"))
		rejected := s.sendContent("n2", "stream", poisonPath)
		s.Expect(rejected.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(rejected.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(rejected.took).To(gomega.BeNumerically("<", 100*time.Millisecond))
		s.Expect(s.unblock("n1", "nothing")).To(gomega.Equal(http.StatusNotFound))
		s.Expect(s.unblock("n1", blocked.Fingerprint.String())).To(gomega.Equal(http.StatusOK))
		s.Expect(s.unblock("n1", blocked.Fingerprint.String())).To(gomega.Equal(http.StatusNotFound), "it is unblocked already")
		time.Sleep(500 * time.Millisecond)
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Blocked).To(gomega.BeEmpty(), host)
		}
		for _, restarter := range s.restarters {
			restarter.StopCrashing()
		}
		time.Sleep(3 * time.Second)
		s.Expect(s.sendContent("n3", "stream", poisonPath).status).To(gomega.Equal(http.StatusOK))
		s.Expect(s.loggedEvents("content")).NotTo(gomega.BeEmpty())
	})
}

// Guards against requests that are rejected after failed connects to the six replicas that are
// down while two are idle.
func TestRequestsReachTheReplicasThatAreUp(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			runCrashes(t, crashCase{route: route}, func(s *crashScenario) {
				for _, restarter := range s.restarters[:6] {
					restarter.End()
				}
				const count = 12
				for i := range count { // before any node has detected which ones are down
					s.sendInBackground(hosts[i%3], route, fmt.Sprint("other", i))
				}
				s.group.Wait()
				t.Logf("replies %v", s.otherReplies)
				s.Expect(s.otherReplies[http.StatusOK]).To(gomega.Equal(count))
			})
		})
	}
}

// Guards against the rollback of a good version because of a poison request that crashes
// replicas of both versions.
func TestPoisonRequestDoesNotRollBackAGoodVersion(t *testing.T) {
	runCrashes(t, crashCase{route: "safe"}, func(s *crashScenario) {
		s.deployment.Store.Order(platformsim.RolloutOrder{Service: "registry", Target: "v2", Duration: rolloutDuration.Seconds()})
		for i := range len(s.restarters) {
			restarter := &entrylab.Restarter{
				ID: fmt.Sprint("i-new", i), Service: "registry", Zone: "east", Version: "v2", Slots: 4, Step: 30 * time.Millisecond, Behave: crashOnPoison,
			}
			s.Expect(s.deployment.Keep(fmt.Sprint("new", i), restarter)).To(gomega.Succeed())
			s.restarters = append(s.restarters, restarter)
		}
		for i := range 800 { // until the deadline
			s.sendInBackground(hosts[i%3], "safe", fmt.Sprint("other", i))
			if i%10 == 0 {
				s.sendInBackground(hosts[i%3], "safe", poisonPath)
			}
			time.Sleep(25 * time.Millisecond)
		}
		s.group.Wait()
		state := s.deployment.Store.RolloutStatus("registry").State
		t.Logf("%d crashes, state %s, replies to other requests %v", len(s.crashTimes()), state, s.otherReplies)
		s.Expect(state).To(gomega.Equal("completed"))
	})
}

// Guards against two poison requests at the same time that conceal each other.
func TestTwoPoisonRequestsAreBothBlocked(t *testing.T) {
	runCrashes(t, crashCase{route: "stream"}, func(s *crashScenario) {
		contents := []string{poisonPath + "-a", poisonPath + "-b"}
		const count = 80
		for i := range count {
			s.sendInBackground(hosts[i%3], "stream", contents[i%2])
			s.sendInBackground(hosts[(i+1)%3], "stream", fmt.Sprint("other", i))
			time.Sleep(150 * time.Millisecond)
		}
		s.group.Wait()
		t.Logf("%d crashes; replies %v", len(s.crashTimes()), s.otherReplies)
		s.Expect(len(s.crashTimes())).To(gomega.BeNumerically("<=", 12), "three crashes and two trials for each request, and some margin")
		s.Expect(s.otherReplies[http.StatusOK]).To(gomega.BeNumerically(">=", count-24), "at most two other requests at each of twelve crashed replicas")
		s.Expect(s.deployment.Node("n1").Status().Blocked).To(gomega.HaveLen(2))
	})
}

// Guards against requests sent to a restarted replica under its old id, whose entry has not
// expired yet: the replica rejects them and each counts as a retry.
func TestNothingIsSentToAReusedAddressUnderTheOldReplicaID(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		t.Run(route, func(t *testing.T) {
			runCrashes(t, crashCase{route: route}, func(s *crashScenario) {
				for _, restarter := range s.restarters[:6] {
					restarter.End()
				}
				time.Sleep(2200 * time.Millisecond) // all have restarted, and the old entries still exist
				const count = 60
				for i := range count {
					s.sendInBackground(hosts[i%3], route, fmt.Sprint("other", i))
					time.Sleep(15 * time.Millisecond)
				}
				s.group.Wait()
				arrivals, runs := 0, 0
				for _, restarter := range s.restarters {
					arrivals += restarter.Arrivals()
					runs += len(restarter.Runs())
				}
				t.Logf("%d arrivals, %d runs, replies %v", arrivals, runs, s.otherReplies)
				s.Expect(arrivals - runs).To(gomega.BeNumerically("<=", 2))
				s.Expect(s.otherReplies[http.StatusOK]).To(gomega.Equal(count))
			})
		})
	}
}
