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
	deadlyPath = "deadly"
	// deadlyTime is how long the caller sends the request.
	deadlyTime = 24 * time.Second
	// enoughEnds is after how many ends the request is to be known, learnTime how long it
	// may take until every node knows it, and sendsAfter how often it may be sent later.
	enoughEnds = 3
	learnTime  = 3 * time.Second
	sendsAfter = 3
)

// crashScene is a scene whose replicas end under requests of one path and start again.
type crashScene struct {
	*scene
	kept  []*entrylab.Keeper
	group sync.WaitGroup
	mutex sync.Mutex
	// replies counts the answers to the deadly request by status, and others those to all
	// other requests.
	replies, others map[int]int
}

// crashCase is one course of events.
type crashCase struct {
	route string
	gap   time.Duration
	// sameID makes replicas start again under the id that they had.
	sameID bool
	// atOnce is how many nodes get the request at the same time.
	atOnce int
	// trouble strikes when the third replica has ended.
	trouble func(s *crashScene)
}

func playCrashes(t *testing.T, course crashCase, test func(s *crashScene)) {
	t.Helper()
	play(t, func(base *scene) {
		s := &crashScene{scene: base, replies: map[int]int{}, others: map[int]int{}}
		service, events := "engines", 6
		if course.route == "once" || course.route == "safe" {
			service, events = "registry", 0
		}
		for i := range 8 {
			keeper := &entrylab.Keeper{
				ID: fmt.Sprint("i-k", i), Service: service, Zone: []string{"east", "west"}[i%2], Slots: 4, Events: events, Step: 30 * time.Millisecond,
				SameID: course.sameID, Behave: endUnderDeadly,
			}
			s.Expect(s.lab.Keep(fmt.Sprint("k", i), keeper)).To(gomega.Succeed())
			s.kept = append(s.kept, keeper)
		}
		for _, replica := range append(append([]*platformsim.Replica{}, s.engines...), s.plain...) {
			replica.Crash() // only those that start again count
			s.lab.Store.Delete("servers/" + replica.ID)
		}
		time.Sleep(time.Second)
		test(s)
		s.group.Wait()
	})
}

// endUnderDeadly treats requests as a replica with a fault in its software does.
func endUnderDeadly(request *http.Request) platformsim.Behavior {
	if strings.Contains(request.URL.Path, deadlyPath) {
		return platformsim.End
	}
	return platformsim.Answer
}

// ask sends a request with a body that depends on the content alone.
func (s *crashScene) ask(node, route, content string) reply {
	method := http.MethodPost
	if route == "safe" {
		method = http.MethodGet
	}
	return s.get(node, method, "/"+route+"/"+content, func(request *http.Request) {
		if method == http.MethodPost {
			request.Body, request.ContentLength = io.NopCloser(strings.NewReader(content)), int64(len(content))
		}
	})
}

// sendBehind sends a request in the background and counts its answer.
func (s *crashScene) sendBehind(node, route, content string) {
	s.group.Go(func() {
		got := s.ask(node, route, content)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if content == deadlyPath {
			s.replies[got.status]++
		} else {
			s.others[got.status]++
		}
	})
}

// repeat sends the deadly request at the nodes in turn until its time is over.
func (s *crashScene) repeat(course crashCase) {
	struck := course.trouble == nil
	for begun, i := time.Now(), 0; time.Since(begun) < deadlyTime; i++ {
		for at := range max(course.atOnce, 1) {
			s.sendBehind(hosts[(i+at)%len(hosts)], course.route, deadlyPath)
		}
		time.Sleep(course.gap)
		if !struck && len(s.ends()) >= enoughEnds {
			struck = true
			s.group.Go(func() { course.trouble(s) })
		}
	}
}

// ends returns when replicas ended, the first one first.
func (s *crashScene) ends() []time.Time {
	var all []time.Time
	for _, keeper := range s.kept {
		all = append(all, keeper.Ends()...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Before(all[j]) })
	return all
}

// deadlySends returns when the deadly request began to run.
func (s *crashScene) deadlySends() []time.Time {
	var all []time.Time
	for _, keeper := range s.kept {
		for _, run := range keeper.Runs() {
			if strings.Contains(run.Target, deadlyPath) {
				all = append(all, run.At)
			}
		}
	}
	return all
}

// expectKnown checks that the request was hardly sent any more once every node could know it.
func (s *crashScene) expectKnown(t *testing.T) {
	t.Helper()
	ends := s.ends()
	s.Expect(len(ends)).To(gomega.BeNumerically(">=", enoughEnds), "the scene does not bring the fault about")
	late := 0
	for _, at := range s.deadlySends() {
		if at.Sub(ends[enoughEnds-1]) > learnTime {
			late++
		}
	}
	t.Logf("%d replicas ended, %d sends later than %v after the third; answers %v", len(ends), late, learnTime, s.replies)
	s.Expect(late).To(gomega.BeNumerically("<=", sendsAfter), "sends after every node could know")
}

func killScheduler(s *crashScene) { s.lab.Node(s.anyOf().Scheduler).Kill() }

// anyOf returns the state of a node that runs.
func (s *crashScene) anyOf() *entry.Status { return s.lab.Node("n1").Status() }

func pauseScheduler(s *crashScene) {
	scheduler := s.anyOf().Scheduler
	s.fabric.Pause(scheduler)
	time.Sleep(3 * time.Second)
	s.fabric.Resume(scheduler)
}

func cutNodesApart(s *crashScene) {
	s.fabric.CutGroups([]string{"n1"}, []string{"n2", "n3"})
	time.Sleep(2 * time.Second)
	s.fabric.Heal()
}

func restartInTurn(s *crashScene) {
	for i, host := range hosts {
		s.lab.Node(host).Kill()
		time.Sleep(200 * time.Millisecond)
		s.Expect(s.lab.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
		time.Sleep(2 * time.Second)
	}
}

func restartAll(s *crashScene) {
	time.Sleep(time.Second)
	for _, host := range hosts {
		s.lab.Node(host).Kill()
	}
	time.Sleep(300 * time.Millisecond)
	for i, host := range hosts {
		s.Expect(s.lab.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
	}
}

func failStore(s *crashScene) {
	s.lab.Store.SetDown(true)
	time.Sleep(5 * time.Second)
	s.lab.Store.SetDown(false)
}

func TestARequestUnderWhichReplicasEndIsNotSentOn(t *testing.T) {
	const often = 300 * time.Millisecond
	for name, course := range map[string]crashCase{
		"a stream that is sent once":          {route: "stream", gap: often},
		"a stream that is resumed":            {route: "resume", gap: often},
		"a plain one that is sent once":       {route: "once", gap: often},
		"a plain one that is repeated":        {route: "safe", gap: often},
		"every 4 s":                           {route: "stream", gap: 4 * time.Second},
		"every 30 ms":                         {route: "stream", gap: 30 * time.Millisecond},
		"at all nodes at once":                {route: "stream", gap: often, atOnce: 3},
		"the scheduling node is killed":       {route: "stream", gap: often, trouble: killScheduler},
		"the scheduling node is paused":       {route: "stream", gap: often, trouble: pauseScheduler},
		"the nodes are cut apart":             {route: "stream", gap: often, trouble: cutNodesApart},
		"each node starts again":              {route: "stream", gap: often, trouble: restartInTurn},
		"all nodes start again":               {route: "stream", gap: often, trouble: restartAll},
		"the store is away":                   {route: "stream", gap: often, trouble: failStore},
		"replicas start again under their id": {route: "stream", gap: often, sameID: true},
	} {
		t.Run(name, func(t *testing.T) {
			playCrashes(t, course, func(s *crashScene) {
				s.repeat(course)
				s.group.Wait()
				s.expectKnown(t)
			})
		})
	}
}

// A popular request is under way at many replicas that end for reasons of their own. It
// must not be taken for their cause.
func TestAPopularRequestIsServedWhileReplicasEndForOtherReasons(t *testing.T) {
	playCrashes(t, crashCase{route: "safe"}, func(s *crashScene) {
		for i := range 87 {
			s.sendBehind(hosts[i%3], "safe", "popular")
			time.Sleep(100 * time.Millisecond)
			if i%12 == 6 {
				s.kept[i%8].End()
			}
		}
		s.group.Wait()
		t.Logf("answers %v", s.others)
		s.Expect(s.others[http.StatusOK]).To(gomega.Equal(87))
	})
}

// All replicas of a service end at once, as in a loss of power, while a popular request runs
// at each of them. That speaks against it as much as anything can; it must be served again
// as soon as replicas are back.
func TestAPopularRequestIsServedAgainAfterAllReplicasEndedAtOnce(t *testing.T) {
	playCrashes(t, crashCase{route: "safe"}, func(s *crashScene) {
		for range 2 {
			for i := range 48 { // at every replica some are under way
				s.sendBehind(hosts[i%3], "safe", "popular")
			}
			time.Sleep(10 * time.Millisecond)
			for _, keeper := range s.kept {
				keeper.End()
			}
			s.group.Wait()
			time.Sleep(5 * time.Second)
			clear(s.others)
			for i := range 30 {
				s.sendBehind(hosts[i%3], "safe", "popular")
				time.Sleep(50 * time.Millisecond)
			}
			s.group.Wait()
			t.Logf("answers 5 s after the end of all: %v", s.others)
			s.Expect(s.others[http.StatusOK]).To(gomega.BeNumerically(">=", 28))
		}
	})
}

// Other requests for the service go on while replicas end under one.
func TestOtherRequestsAreServedWhileOneEndsReplicas(t *testing.T) {
	for _, route := range []string{"stream", "once"} {
		t.Run(route, func(t *testing.T) {
			playCrashes(t, crashCase{route: route}, func(s *crashScene) {
				const count = 120
				for i := range count {
					s.sendBehind(hosts[i%3], route, fmt.Sprint("other", i))
					if i%3 == 0 {
						s.sendBehind(hosts[i%3], route, deadlyPath)
					}
					time.Sleep(100 * time.Millisecond)
				}
				s.group.Wait()
				t.Logf("%d replicas ended; answers to others %v", len(s.ends()), s.others)
				s.Expect(s.others[http.StatusOK]).To(gomega.BeNumerically(">=", count-12), "at most those beside it at the replicas that ended")
			})
		})
	}
}

// lift asks the node as the operators' command line does, and returns the status.
func (s *crashScene) lift(node, content string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+entrylab.OperatorsAddress(node)+entry.PathUnblock+content, nil)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return s.scene.send(request).status
}

func TestOperatorsSeeAndLiftWhatIsBarred(t *testing.T) {
	course := crashCase{route: "stream"}
	playCrashes(t, course, func(s *crashScene) {
		for i := range enoughEnds {
			s.ask(hosts[i%3], "stream", deadlyPath)
		}
		time.Sleep(300 * time.Millisecond) // three heartbeats, and before the first trial
		for _, host := range hosts {
			s.Expect(s.lab.Node(host).Status().Blocked).To(gomega.HaveLen(1), host)
		}
		barred := s.lab.Node("n1").Status().Blocked[0]
		s.Expect(barred.Incarnations).To(gomega.HaveLen(enoughEnds))
		s.Expect(barred.Route).To(gomega.Equal("stream"))
		refused := s.ask("n2", "stream", deadlyPath)
		s.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(refused.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(refused.took).To(gomega.BeNumerically("<", 100*time.Millisecond))
		s.Expect(s.lift("n1", "nothing")).To(gomega.Equal(http.StatusNotFound))
		s.Expect(s.lift("n1", barred.Fingerprint.String())).To(gomega.Equal(http.StatusOK))
		s.Expect(s.lift("n1", barred.Fingerprint.String())).To(gomega.Equal(http.StatusNotFound), "nothing is left to lift")
		time.Sleep(500 * time.Millisecond)
		for _, host := range hosts {
			s.Expect(s.lab.Node(host).Status().Blocked).To(gomega.BeEmpty(), host)
		}
		for _, keeper := range s.kept {
			keeper.Mend()
		}
		time.Sleep(3 * time.Second)
		s.Expect(s.ask("n3", "stream", deadlyPath).status).To(gomega.Equal(http.StatusOK))
		s.Expect(s.events("content")).NotTo(gomega.BeEmpty())
	})
}

// Six of eight replicas are down and two are idle. Requests were refused in 6 ms, each after
// four connects to replicas where nobody listened: 1 of 67 was served.
func TestRequestsFindTheReplicasThatAreUp(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			playCrashes(t, crashCase{route: route}, func(s *crashScene) {
				for _, keeper := range s.kept[:6] {
					keeper.End()
				}
				const count = 12
				for i := range count { // before any node has found out which ones are down
					s.sendBehind(hosts[i%3], route, fmt.Sprint("other", i))
				}
				s.group.Wait()
				t.Logf("answers %v", s.others)
				s.Expect(s.others[http.StatusOK]).To(gomega.Equal(count))
			})
		})
	}
}

// A request that ends replicas of any version must not roll a good one back.
func TestARequestThatEndsReplicasRollsNoGoodVersionBack(t *testing.T) {
	playCrashes(t, crashCase{route: "safe"}, func(s *crashScene) {
		s.lab.Store.Order(platformsim.RolloutOrder{Service: "registry", Target: "v2", Duration: rolloutTime.Seconds()})
		for i := range len(s.kept) {
			keeper := &entrylab.Keeper{
				ID: fmt.Sprint("i-new", i), Service: "registry", Zone: "east", Version: "v2", Slots: 4, Step: 30 * time.Millisecond, Behave: endUnderDeadly,
			}
			s.Expect(s.lab.Keep(fmt.Sprint("new", i), keeper)).To(gomega.Succeed())
			s.kept = append(s.kept, keeper)
		}
		for i := range 800 { // until the deadline
			s.sendBehind(hosts[i%3], "safe", fmt.Sprint("other", i))
			if i%10 == 0 {
				s.sendBehind(hosts[i%3], "safe", deadlyPath)
			}
			time.Sleep(25 * time.Millisecond)
		}
		s.group.Wait()
		state := s.lab.Store.RolloutStatus("registry").State
		t.Logf("%d replicas ended, state %s, answers to others %v", len(s.ends()), state, s.others)
		s.Expect(state).To(gomega.Equal("completed"))
	})
}

// Two requests end replicas at the same time, so that each is beside ends of the other.
func TestTwoRequestsThatEndReplicasAreBothFound(t *testing.T) {
	playCrashes(t, crashCase{route: "stream"}, func(s *crashScene) {
		contents := []string{deadlyPath + "-a", deadlyPath + "-b"}
		const count = 80
		for i := range count {
			s.sendBehind(hosts[i%3], "stream", contents[i%2])
			s.sendBehind(hosts[(i+1)%3], "stream", fmt.Sprint("other", i))
			time.Sleep(150 * time.Millisecond)
		}
		s.group.Wait()
		t.Logf("%d replicas ended; answers %v", len(s.ends()), s.others)
		s.Expect(len(s.ends())).To(gomega.BeNumerically("<=", 12), "three lives and two trials each, and one for luck")
		s.Expect(s.others[http.StatusOK]).To(gomega.BeNumerically(">=", count-24), "two others at most at each of twelve replicas")
		s.Expect(s.lab.Node("n1").Status().Blocked).To(gomega.HaveLen(2))
	})
}

// Replicas that start again take new ids and their old addresses, while the entries of their
// lives before have not lapsed yet. What was sent to those came to the new lives, which refused
// it as meant for another: the arrival counts as a repeat, and 421 was all that came of it.
func TestNothingIsSentToAnAddressUnderAnIDThatPassed(t *testing.T) {
	for _, route := range []string{"once", "stream"} {
		t.Run(route, func(t *testing.T) {
			playCrashes(t, crashCase{route: route}, func(s *crashScene) {
				for _, keeper := range s.kept[:6] {
					keeper.End()
				}
				time.Sleep(2200 * time.Millisecond) // all are back, and the old entries are there
				const count = 60
				for i := range count {
					s.sendBehind(hosts[i%3], route, fmt.Sprint("other", i))
					time.Sleep(15 * time.Millisecond)
				}
				s.group.Wait()
				arrivals, runs := 0, 0
				for _, keeper := range s.kept {
					arrivals += keeper.Arrivals()
					runs += len(keeper.Runs())
				}
				t.Logf("%d arrivals, %d runs, answers %v", arrivals, runs, s.others)
				s.Expect(arrivals - runs).To(gomega.BeNumerically("<=", 2))
				s.Expect(s.others[http.StatusOK]).To(gomega.Equal(count))
			})
		})
	}
}
