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

// Nine nodes with nine engines lost 27 engines within ten seconds. Every engine that began
// to run one certain request ended under it, and was back seconds later. Its caller sent it
// again and again, to all nodes, each time under another id. Nothing connected the request
// with the engines that had ended under it: each return was a first send to a healthy one,
// and up to seven other callers lost their answers with each. The lines of the nodes showed
// the same content under 24 ids, each sent once and by one scheduling node, so that neither
// repeats within a try nor several scheduling nodes were the cause. A stand-in that ends
// under a request brings it about at once, whatever the route.

const (
	poisonPath = "deadly"
	// deadlyTime is how long the caller sends the request.
	poisonDuration = 24 * time.Second
	// enoughEnds is after how many ends the request is to be known, learnTime how long it
	// may take until every node knows it, and sendsAfter how often it may be sent later.
	crashesToBlock = 3
	maxBlockDelay  = 3 * time.Second
	maxLateSends   = 3
)

// crashScene is a scene whose replicas end under requests of one path and start again.
type crashScenario struct {
	*scenario
	keepers []*entrylab.Keeper
	group   sync.WaitGroup
	mutex   sync.Mutex
	// replies counts the answers to the deadly request by status, and others those to all
	// other requests.
	poisonReplies, otherReplies map[int]int
}

// crashCase is one course of events.
type crashCase struct {
	route    string
	interval time.Duration
	// sameID makes replicas start again under the id that they had.
	sameID bool
	// atOnce is how many nodes get the request at the same time.
	nodesAtOnce int
	// trouble strikes when the third replica has ended.
	fault func(s *crashScenario)
}

func runCrashes(t *testing.T, course crashCase, test func(s *crashScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		s := &crashScenario{scenario: base, poisonReplies: map[int]int{}, otherReplies: map[int]int{}}
		service, events := "engines", 6
		if course.route == "once" || course.route == "safe" {
			service, events = "registry", 0
		}
		for i := range 8 {
			keeper := &entrylab.Keeper{
				ID: fmt.Sprint("i-k", i), Service: service, Zone: []string{"east", "west"}[i%2], Slots: 4, Events: events, Step: 30 * time.Millisecond,
				SameID: course.sameID, Behave: crashOnPoison,
			}
			s.Expect(s.deployment.Keep(fmt.Sprint("k", i), keeper)).To(gomega.Succeed())
			s.keepers = append(s.keepers, keeper)
		}
		for _, replica := range append(append([]*platformsim.Replica{}, s.engines...), s.plainReplicas...) {
			replica.Crash() // only those that start again count
			s.deployment.Store.Delete("servers/" + replica.ID)
		}
		time.Sleep(time.Second)
		test(s)
		s.group.Wait()
	})
}

// endUnderDeadly treats requests as a replica with a fault in its software does.
func crashOnPoison(request *http.Request) platformsim.Behavior {
	if strings.Contains(request.URL.Path, poisonPath) {
		return platformsim.End
	}
	return platformsim.Answer
}

// ask sends a request with a body that depends on the content alone.
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

// sendBehind sends a request in the background and counts its answer.
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

// repeat sends the deadly request at the nodes in turn until its time is over.
func (s *crashScenario) sendPoisonRepeatedly(course crashCase) {
	struck := course.fault == nil
	for begun, i := time.Now(), 0; time.Since(begun) < poisonDuration; i++ {
		for at := range max(course.nodesAtOnce, 1) {
			s.sendInBackground(hosts[(i+at)%len(hosts)], course.route, poisonPath)
		}
		time.Sleep(course.interval)
		if !struck && len(s.crashTimes()) >= crashesToBlock {
			struck = true
			s.group.Go(func() { course.fault(s) })
		}
	}
}

// ends returns when replicas ended, the first one first.
func (s *crashScenario) crashTimes() []time.Time {
	var all []time.Time
	for _, keeper := range s.keepers {
		all = append(all, keeper.Ends()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
	return all
}

// deadlySends returns when the deadly request began to run.
func (s *crashScenario) poisonRuns() []time.Time {
	var all []time.Time
	for _, keeper := range s.keepers {
		for _, run := range keeper.Runs() {
			if strings.Contains(run.Target, poisonPath) {
				all = append(all, run.At)
			}
		}
	}
	return all
}

// expectKnown checks that the request was hardly sent any more once every node could know it.
func (s *crashScenario) expectBlocked(t *testing.T) {
	t.Helper()
	ends := s.crashTimes()
	s.Expect(len(ends)).To(gomega.BeNumerically(">=", crashesToBlock), "the scene does not bring the fault about")
	late := 0
	for _, at := range s.poisonRuns() {
		if at.Sub(ends[crashesToBlock-1]) > maxBlockDelay {
			late++
		}
	}
	t.Logf("%d replicas ended, %d sends later than %v after the third; answers %v", len(ends), late, maxBlockDelay, s.poisonReplies)
	s.Expect(late).To(gomega.BeNumerically("<=", maxLateSends), "sends after every node could know")
}

func killScheduler(s *crashScenario) { s.deployment.Node(s.anyStatus().Scheduler).Kill() }

// anyOf returns the state of a node that runs.
func (s *crashScenario) anyStatus() *entry.Status { return s.deployment.Node("n1").Status() }

func pauseScheduler(s *crashScenario) {
	scheduler := s.anyStatus().Scheduler
	s.fabric.Pause(scheduler)
	time.Sleep(3 * time.Second)
	s.fabric.Resume(scheduler)
}

func partitionNodes(s *crashScenario) {
	s.fabric.CutGroups([]string{"n1"}, []string{"n2", "n3"})
	time.Sleep(2 * time.Second)
	s.fabric.Heal()
}

func restartNodesInTurn(s *crashScenario) {
	for i, host := range hosts {
		s.deployment.Node(host).Kill()
		time.Sleep(200 * time.Millisecond)
		s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
		time.Sleep(2 * time.Second)
	}
}

func restartAllNodes(s *crashScenario) {
	time.Sleep(time.Second)
	for _, host := range hosts {
		s.deployment.Node(host).Kill()
	}
	time.Sleep(300 * time.Millisecond)
	for i, host := range hosts {
		s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
	}
}

func failStore(s *crashScenario) {
	s.deployment.Store.SetDown(true)
	time.Sleep(5 * time.Second)
	s.deployment.Store.SetDown(false)
}

func TestPoisonRequestIsBlocked(t *testing.T) {
	const often = 300 * time.Millisecond
	for name, course := range map[string]crashCase{
		"a stream that is sent once":          {route: "stream", interval: often},
		"a stream that is resumed":            {route: "resume", interval: often},
		"a plain one that is sent once":       {route: "once", interval: often},
		"a plain one that is repeated":        {route: "safe", interval: often},
		"every 4 s":                           {route: "stream", interval: 4 * time.Second},
		"every 30 ms":                         {route: "stream", interval: 30 * time.Millisecond},
		"at all nodes at once":                {route: "stream", interval: often, nodesAtOnce: 3},
		"the scheduling node is killed":       {route: "stream", interval: often, fault: killScheduler},
		"the scheduling node is paused":       {route: "stream", interval: often, fault: pauseScheduler},
		"the nodes are cut apart":             {route: "stream", interval: often, fault: partitionNodes},
		"each node starts again":              {route: "stream", interval: often, fault: restartNodesInTurn},
		"all nodes start again":               {route: "stream", interval: often, fault: restartAllNodes},
		"the store is away":                   {route: "stream", interval: often, fault: failStore},
		"replicas start again under their id": {route: "stream", interval: often, sameID: true},
	} {
		t.Run(name, func(t *testing.T) {
			runCrashes(t, course, func(s *crashScenario) {
				s.sendPoisonRepeatedly(course)
				s.group.Wait()
				s.expectBlocked(t)
			})
		})
	}
}

// A popular request is under way at many replicas that end for reasons of their own. It
// must not be taken for their cause.
func TestPopularRequestIsServedWhileReplicasCrashForOtherReasons(t *testing.T) {
	runCrashes(t, crashCase{route: "safe"}, func(s *crashScenario) {
		for i := range 87 {
			s.sendInBackground(hosts[i%3], "safe", "popular")
			time.Sleep(100 * time.Millisecond)
			if i%12 == 6 {
				s.keepers[i%8].End()
			}
		}
		s.group.Wait()
		t.Logf("answers %v", s.otherReplies)
		s.Expect(s.otherReplies[http.StatusOK]).To(gomega.Equal(87))
	})
}

// All replicas of a service end at once, as in a loss of power, while a popular request runs
// at each of them. That speaks against it as much as anything can; it must be served again
// as soon as replicas are back.
func TestPopularRequestIsServedAfterAllReplicasCrashedAtOnce(t *testing.T) {
	runCrashes(t, crashCase{route: "safe"}, func(s *crashScenario) {
		for range 2 {
			for i := range 48 { // at every replica some are under way
				s.sendInBackground(hosts[i%3], "safe", "popular")
			}
			time.Sleep(10 * time.Millisecond)
			for _, keeper := range s.keepers {
				keeper.End()
			}
			s.group.Wait()
			time.Sleep(5 * time.Second)
			clear(s.otherReplies)
			for i := range 30 {
				s.sendInBackground(hosts[i%3], "safe", "popular")
				time.Sleep(50 * time.Millisecond)
			}
			s.group.Wait()
			t.Logf("answers 5 s after the end of all: %v", s.otherReplies)
			s.Expect(s.otherReplies[http.StatusOK]).To(gomega.BeNumerically(">=", 28))
		}
	})
}

// Other requests for the service go on while replicas end under one.
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
				t.Logf("%d replicas ended; answers to others %v", len(s.crashTimes()), s.otherReplies)
				s.Expect(s.otherReplies[http.StatusOK]).To(gomega.BeNumerically(">=", count-12), "at most those beside it at the replicas that ended")
			})
		})
	}
}

// lift asks the node as the operators' command line does, and returns the status.
func (s *crashScenario) unblock(node, content string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+entrylab.OperatorsAddress(node)+entry.PathUnblock+content, nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return s.scenario.send(request).status
}

func TestOperatorsSeeAndUnblockPoisonRequests(t *testing.T) {
	course := crashCase{route: "stream"}
	runCrashes(t, course, func(s *crashScenario) {
		for i := range crashesToBlock {
			s.sendContent(hosts[i%3], "stream", poisonPath)
		}
		time.Sleep(300 * time.Millisecond) // three heartbeats, and before the first trial
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Blocked).To(gomega.HaveLen(1), host)
		}
		barred := s.deployment.Node("n1").Status().Blocked[0]
		s.Expect(barred.Incarnations).To(gomega.HaveLen(crashesToBlock))
		s.Expect(barred.Route).To(gomega.Equal("stream"))
		refused := s.sendContent("n2", "stream", poisonPath)
		s.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(refused.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(refused.took).To(gomega.BeNumerically("<", 100*time.Millisecond))
		s.Expect(s.unblock("n1", "nothing")).To(gomega.Equal(http.StatusNotFound))
		s.Expect(s.unblock("n1", barred.Fingerprint.String())).To(gomega.Equal(http.StatusOK))
		s.Expect(s.unblock("n1", barred.Fingerprint.String())).To(gomega.Equal(http.StatusNotFound), "nothing is left to lift")
		time.Sleep(500 * time.Millisecond)
		for _, host := range hosts {
			s.Expect(s.deployment.Node(host).Status().Blocked).To(gomega.BeEmpty(), host)
		}
		for _, keeper := range s.keepers {
			keeper.Mend()
		}
		time.Sleep(3 * time.Second)
		s.Expect(s.sendContent("n3", "stream", poisonPath).status).To(gomega.Equal(http.StatusOK))
		s.Expect(s.loggedEvents("content")).NotTo(gomega.BeEmpty())
	})
}

// Six of eight replicas are down and two are idle. Requests were refused in 6 ms, each after
// four connects to replicas where nobody listened: 1 of 67 was served.
func TestRequestsReachTheReplicasThatAreUp(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			runCrashes(t, crashCase{route: route}, func(s *crashScenario) {
				for _, keeper := range s.keepers[:6] {
					keeper.End()
				}
				const count = 12
				for i := range count { // before any node has found out which ones are down
					s.sendInBackground(hosts[i%3], route, fmt.Sprint("other", i))
				}
				s.group.Wait()
				t.Logf("answers %v", s.otherReplies)
				s.Expect(s.otherReplies[http.StatusOK]).To(gomega.Equal(count))
			})
		})
	}
}

// A request that ends replicas of any version must not roll a good one back.
func TestPoisonRequestDoesNotRollBackAGoodVersion(t *testing.T) {
	runCrashes(t, crashCase{route: "safe"}, func(s *crashScenario) {
		s.deployment.Store.Order(platformsim.RolloutOrder{Service: "registry", Target: "v2", Duration: rolloutDuration.Seconds()})
		for i := range len(s.keepers) {
			keeper := &entrylab.Keeper{
				ID: fmt.Sprint("i-new", i), Service: "registry", Zone: "east", Version: "v2", Slots: 4, Step: 30 * time.Millisecond, Behave: crashOnPoison,
			}
			s.Expect(s.deployment.Keep(fmt.Sprint("new", i), keeper)).To(gomega.Succeed())
			s.keepers = append(s.keepers, keeper)
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
		t.Logf("%d replicas ended, state %s, answers to others %v", len(s.crashTimes()), state, s.otherReplies)
		s.Expect(state).To(gomega.Equal("completed"))
	})
}

// Two requests end replicas at the same time, so that each is beside ends of the other.
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
		t.Logf("%d replicas ended; answers %v", len(s.crashTimes()), s.otherReplies)
		s.Expect(len(s.crashTimes())).To(gomega.BeNumerically("<=", 12), "three lives and two trials each, and one for luck")
		s.Expect(s.otherReplies[http.StatusOK]).To(gomega.BeNumerically(">=", count-24), "two others at most at each of twelve replicas")
		s.Expect(s.deployment.Node("n1").Status().Blocked).To(gomega.HaveLen(2))
	})
}

// Replicas that start again take new ids and their old addresses, while the entries of their
// lives before have not lapsed yet. What was sent to those came to the new lives, which refused
// it as meant for another: the arrival counts as a repeat, and 421 was all that came of it.
func TestNothingIsSentToAReusedAddressUnderTheOldReplicaID(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		t.Run(route, func(t *testing.T) {
			runCrashes(t, crashCase{route: route}, func(s *crashScenario) {
				for _, keeper := range s.keepers[:6] {
					keeper.End()
				}
				time.Sleep(2200 * time.Millisecond) // all are back, and the old entries are there
				const count = 60
				for i := range count {
					s.sendInBackground(hosts[i%3], route, fmt.Sprint("other", i))
					time.Sleep(15 * time.Millisecond)
				}
				s.group.Wait()
				arrivals, runs := 0, 0
				for _, keeper := range s.keepers {
					arrivals += keeper.Arrivals()
					runs += len(keeper.Runs())
				}
				t.Logf("%d arrivals, %d runs, answers %v", arrivals, runs, s.otherReplies)
				s.Expect(arrivals - runs).To(gomega.BeNumerically("<=", 2))
				s.Expect(s.otherReplies[http.StatusOK]).To(gomega.Equal(count))
			})
		})
	}
}
