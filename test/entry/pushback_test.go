package entry

import (
	"fmt"
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

// Bounds and load of the replicas that say in their answers to hold requests back.
const (
	contactTime      = 3 * time.Second
	drainTime        = 2 * time.Second
	pushbackInterval = 25 * time.Millisecond
	pushbackDuration = 18 * time.Second
)

// pushbackScene is seven nodes in three zones and replicas of one service, of which the first says
// what it takes. Which node a request was sent to tells who sent it on.
type pushbackScenario struct {
	scenario
	nodes         []string
	replicas      []*platformsim.Replica
	group         sync.WaitGroup
	mutex         sync.Mutex
	nodeOf        map[string]string
	incarnationOf map[string]string
	sentAt        map[string]time.Time
	replies       []reply
	// starts counts how often each node started again.
	restarts map[string]int
	// shown is what a node shows its operators at the end of the load.
	shownPushback []entry.PushbackStatus
}

// playPushback plays a course under load before so many replicas.
func runPushback(t *testing.T, replicas int, says platformsim.Pushback, course func(s *pushbackScenario), judge func(s *pushbackScenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &pushbackScenario{scenario: scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, nodeOf: map[string]string{}, incarnationOf: map[string]string{}, sentAt: map[string]time.Time{}, restarts: map[string]int{}}
		s.nodes = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
		s.start(s.nodes, threeZones, nil)
		s.configure(func(c *entrylab.Configuration) {
			c.Routes = []entrylab.Route{{Name: "safe", Host: "service.example", PathPrefix: "/safe/", Kind: "safe", Timeout: 4000, Target: 400, Service: "pool", Attempts: 2}}
			c.Services = append(c.Services, entrylab.Service{Name: "pool"})
		})
		for i := range replicas {
			host := fmt.Sprint("x", i)
			replica := &platformsim.Replica{ID: "i-" + host, Service: "pool", Zone: threeZones[i%len(threeZones)], Slots: 4, Step: 50 * time.Millisecond}
			s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
			s.replicas = append(s.replicas, replica)
		}
		s.awaitReady()
		s.load(time.Second)
		s.replicas[0].Say(says)
		if says.RetryAfter != "" {
			s.replicas[0].SetBehavior(always(platformsim.Shed))
		}
		s.group.Go(func() { course(s) })
		s.load(pushbackDuration)
		s.shownPushback = s.deployment.Node(s.nodes[0]).Status().Pushback
		s.group.Wait()
		s.stop(s.nodes)
		judge(s)
	})
}

// load sends requests to the nodes in turn until the time is over.
func (s *pushbackScenario) load(passed time.Duration) {
	for i := range int(passed / pushbackInterval) {
		node, path := s.nodes[i%len(s.nodes)], fmt.Sprintf("/safe/%v/%d", passed, i) // each asks for something else
		s.group.Go(func() {
			got := s.do(node, http.MethodGet, path, func(request *http.Request) {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				id := request.Header.Get("X-Attempt-Id")
				s.nodeOf[id], s.sentAt[id] = node, time.Now()
				s.incarnationOf[id] = fmt.Sprint(node, "/", s.restarts[node])
			})
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.replies = append(s.replies, got)
		})
		time.Sleep(pushbackInterval)
	}
}

// sent returns what reached the replica, with the nodes that it came from.
func (s *pushbackScenario) requestsTo(replica *platformsim.Replica) []checker.Sent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sent []checker.Sent
	for _, arrival := range replica.Arrived() {
		sent = append(sent, checker.Sent{Arrival: arrival, Node: s.nodeOf[arrival.ID], Asked: s.sentAt[arrival.ID]})
	}
	return sent
}

// sentByLives is sent, with each start of a node as a node of its own: one that starts again knows
// nothing of what was told to it before.
func (s *pushbackScenario) requestsByIncarnation(replica *platformsim.Replica) []checker.Sent {
	sent := s.requestsTo(replica)
	for i := range sent {
		sent[i].Node = s.incarnationOf[sent[i].ID]
	}
	return sent
}

// answers counts the replies by status.
func (s *pushbackScenario) repliesByStatus() map[int]int {
	counts := map[int]int{}
	for _, one := range s.replies {
		counts[one.status]++
	}
	return counts
}

// strictly judges without excuses: what is allowed to nodes that were disturbed is needless.
var strictPushback = checker.Pushback{Contact: contactTime, Drain: drainTime, Excused: func(string, time.Time, time.Time) bool { return false }}

// pushbackCourses are what may happen to those who keep what a replica says.
var pushbackFaults = map[string]func(s *pushbackScenario){
	"calm":              func(*pushbackScenario) {},
	"the store is down": func(s *pushbackScenario) { s.deployment.Store.SetDown(true) },
	"the list is copied": func(s *pushbackScenario) {
		copied := s.deployment.Store.Copy()
		time.Sleep(time.Second)
		s.deployment.Store.Restore(copied)
	},
	"the scheduling node ends again and again": func(s *pushbackScenario) {
		for range 12 {
			time.Sleep(1300 * time.Millisecond)
			s.restart(s.majorityScheduler())
		}
	},
	"each node ends in turn": func(s *pushbackScenario) {
		for round := range 16 {
			time.Sleep(time.Second)
			s.restart(s.nodes[round%len(s.nodes)])
		}
	},
	"all nodes end": func(s *pushbackScenario) {
		time.Sleep(6 * time.Second)
		for _, node := range s.nodes {
			s.restart(node)
		}
	},
	"the scheduling node stands still again and again": func(s *pushbackScenario) {
		for range 5 {
			time.Sleep(1500 * time.Millisecond)
			node := s.majorityScheduler()
			s.fabric.Pause(node)
			time.Sleep(1500 * time.Millisecond)
			s.fabric.Resume(node)
		}
	},
	"the network is cut again and again": func(s *pushbackScenario) {
		for round := range 4 {
			time.Sleep(2 * time.Second)
			s.fabric.CutGroups(s.nodes[:3+round%2], s.nodes[3+round%2:])
			time.Sleep(2 * time.Second)
			s.fabric.Heal()
		}
	},
	"the scheduling node and the next one don't hear each other": func(s *pushbackScenario) {
		time.Sleep(4 * time.Second)
		first := s.majorityScheduler()
		for _, node := range s.nodes {
			if node != first {
				s.fabric.CutGroups([]string{first}, []string{node})
				time.Sleep(2 * time.Second)
				s.fabric.Heal()
			}
		}
	},
}

// scheduling returns the node that most nodes take for the scheduling one.
func (s *pushbackScenario) majorityScheduler() string {
	votes, most := map[string]int{}, ""
	for _, node := range s.nodes {
		name := s.deployment.Node(node).Status().Scheduler
		if votes[name]++; votes[name] > votes[most] {
			most = name
		}
	}
	return most
}

// startAgain kills the node and starts it anew.
func (s *pushbackScenario) restart(node string) {
	s.deployment.Node(node).Kill()
	s.mutex.Lock()
	s.restarts[node]++
	s.mutex.Unlock()
	for i, name := range s.nodes {
		if name == node {
			s.Expect(s.deployment.StartNode(node, threeZones[i%len(threeZones)])).To(gomega.Succeed())
		}
	}
}

// everyPushback plays all courses, with the replica alone and beside two others.
func runPushbackFaults(t *testing.T, says platformsim.Pushback, judge func(s *pushbackScenario)) {
	for name, course := range pushbackFaults {
		for _, replicas := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d replicas", name, replicas), func(t *testing.T) {
				runPushback(t, replicas, says, course, judge)
			})
		}
	}
}

// Guards against more requests to a replica than the rate that it names, from all nodes together.
func TestRateLimitOfAReplicaIsKeptByAllNodesTogether(t *testing.T) {
	for _, limit := range []string{"1", "6"} {
		t.Run(limit+" a second", func(t *testing.T) {
			runPushbackFaults(t, platformsim.Pushback{Limit: limit}, func(s *pushbackScenario) {
				s.Expect(strictPushback.RateLimit(s.requestsTo(s.replicas[0]))).To(gomega.BeEmpty())
			})
		})
	}
}

// A replica that names its limit gets close to that, steadily, and who can't be served is told so at
// once, with a time to come back.
func TestRateLimitedReplicaIsUsedSteadily(t *testing.T) {
	for limit, perSecond := range map[string]float64{"1": 1, "6": 6} {
		t.Run(limit+" a second", func(t *testing.T) {
			runPushback(t, 1, platformsim.Pushback{Limit: limit}, func(*pushbackScenario) {}, func(s *pushbackScenario) {
				begun, used := s.replicas[0].Arrived()[0].At.Add(time.Second+contactTime), 0
				seconds := map[int]int{}
				for _, arrival := range s.replicas[0].Arrived() {
					if passed := arrival.At.Sub(begun); passed >= 0 && passed < 12*time.Second {
						used++
						seconds[int(passed/(3*time.Second))]++
					}
				}
				s.Expect(used).To(gomega.BeNumerically(">=", 0.8*perSecond*12))
				for part := range 4 {
					s.Expect(seconds[part]).To(gomega.BeNumerically(">=", 0.6*perSecond*3), "in each three seconds")
				}
				for _, one := range s.replies {
					if one.status != http.StatusOK {
						s.Expect(one.status).To(gomega.Equal(http.StatusServiceUnavailable))
						s.Expect(one.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
						s.Expect(one.took).To(gomega.BeNumerically("<", 250*time.Millisecond))
					}
				}
			})
		})
	}
}

// Each answer tells the limit as it is; the replica gets more as soon as it takes more.
func TestRaisedRateLimitIsApplied(t *testing.T) {
	for name, after := range map[string]platformsim.Pushback{"it ends": {}, "it is high": {Limit: "10000"}} {
		for _, before := range []string{"0", "0.5", "4"} {
			t.Run(fmt.Sprintf("%s after %s a second", name, before), func(t *testing.T) {
				var changed time.Time
				runPushback(t, 1, platformsim.Pushback{Limit: before}, func(s *pushbackScenario) {
					time.Sleep(4 * time.Second)
					changed = time.Now()
					s.replicas[0].Say(after)
				}, func(s *pushbackScenario) {
					// At a limit of zero one request in ten seconds finds out.
					s.Expect(arrivalsAfter(s.replicas, changed.Add(11*time.Second))).To(gomega.BeNumerically(">", 80))
				})
			})
		}
	}
}

// A limit that falls to a tenth, and one that nobody can read.
func TestLoweredAndInvalidRateLimits(t *testing.T) {
	runPushback(t, 3, platformsim.Pushback{Limit: "10"}, func(s *pushbackScenario) {
		time.Sleep(6 * time.Second)
		s.replicas[0].Say(platformsim.Pushback{Limit: "1"})
		s.replicas[1].Say(platformsim.Pushback{Limit: "-3"})
		s.replicas[2].Say(platformsim.Pushback{Limit: "NaN"})
	}, func(s *pushbackScenario) {
		var after []checker.Sent
		for _, one := range s.requestsTo(s.replicas[0]) {
			if one.Said.Limit == "1" {
				after = append(after, one)
			}
		}
		s.Expect(strictPushback.RateLimit(after)).To(gomega.BeEmpty())
		s.Expect(s.repliesByStatus()).To(gomega.HaveLen(1), "the others take what this one can't")
		s.Expect(s.shownPushback).To(gomega.ContainElement(gomega.And(gomega.HaveField("Replica", "i-x0"), gomega.HaveField("Limit", gomega.HaveValue(gomega.Equal(1.0))))))
		s.Expect(s.loggedEvents("replica.said")).To(gomega.ContainElement(gomega.HaveField("Outcome", "unreadable")))
	})
}

// Guards against requests to a replica that has told their node in an answer that it leaves, whatever
// the store says.
func TestLeavingReplicaReceivesNothingFromNodesItInformed(t *testing.T) {
	runPushbackFaults(t, platformsim.Pushback{Leaving: "1"}, func(s *pushbackScenario) {
		s.Expect(strictPushback.Leaving(s.requestsByIncarnation(s.replicas[0]))).To(gomega.BeEmpty())
	})
}

// Guards against requests to a replica within the time in which it has asked their node to send none.
func TestReplicaPauseIsKept(t *testing.T) {
	runPushbackFaults(t, platformsim.Pushback{RetryAfter: "3"}, func(s *pushbackScenario) {
		s.Expect(strictPushback.Pauses(s.requestsByIncarnation(s.replicas[0]))).To(gomega.BeEmpty())
	})
}

// That a replica leaves holds for one start of it: it gets nothing though it says so no longer and the
// store lists it as ready, and serves again once it has started again under its id.
func TestReplicaThatLeftIsUsedAfterARestart(t *testing.T) {
	var silent, again time.Time
	runPushback(t, 2, platformsim.Pushback{Leaving: "1"}, func(s *pushbackScenario) {
		time.Sleep(3 * time.Second)
		s.replicas[0].Say(platformsim.Pushback{})
		silent = time.Now()
		time.Sleep(4 * time.Second)
		s.replicas[0].Born = time.Now().UnixMilli()
		again = time.Now()
		time.Sleep(time.Millisecond)
		s.replicas[0].Register(s.deployment.Store, "ready")
	}, func(s *pushbackScenario) {
		left := s.replicas[:1]
		s.Expect(arrivalsAfter(left, silent)).To(gomega.Equal(arrivalsAfter(left, again)), "while it leaves")
		s.Expect(arrivalsAfter(left, again)).To(gomega.BeNumerically(">", 50))
		s.Expect(s.repliesByStatus()).To(gomega.HaveLen(1), "the other one serves all")
	})
}

// With no other replica left, callers are told when to come back.
func TestRequestsAreRejectedWithRetryAfterWhenAllReplicasLeave(t *testing.T) {
	runPushback(t, 1, platformsim.Pushback{Leaving: "1"}, func(*pushbackScenario) {}, func(s *pushbackScenario) {
		for _, one := range s.replies {
			if one.status != http.StatusOK {
				s.Expect(one.status).To(gomega.Equal(http.StatusServiceUnavailable))
				s.Expect(one.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
	})
}

// Where every replica asks for a pause, callers are told at once when the first of them is over, and
// not all that were held back come when it is.
func TestRejectionsDuringAPauseNameItsEnd(t *testing.T) {
	runPushback(t, 1, platformsim.Pushback{RetryAfter: "3"}, func(s *pushbackScenario) {
		time.Sleep(5 * time.Second)
		s.replicas[0].SetBehavior(nil)
	}, func(s *pushbackScenario) {
		arrived := s.replicas[0].Arrived()
		for i, one := range arrived {
			if !one.Refused {
				continue
			}
			count := 0
			for _, other := range arrived[i+1:] {
				if other.At.Sub(one.At) < time.Second && other.At.Sub(arrived[0].At) > 4*time.Second {
					count++
				}
			}
			s.Expect(count).To(gomega.BeNumerically("<=", len(s.nodes)), "each node finds out by itself")
		}
		soon := 0
		for _, one := range s.replies {
			if one.status == http.StatusOK {
				continue
			}
			s.Expect(one.took).To(gomega.BeNumerically("<", 250*time.Millisecond))
			after, err := strconv.ParseFloat(one.header.Get("Retry-After"), 64)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			s.Expect(after).To(gomega.BeNumerically("<=", 3.01))
			if after < 1 {
				soon++
			}
		}
		s.Expect(soon).To(gomega.BeNumerically(">", 0), "the time runs down")
		s.Expect(s.repliesByStatus()[http.StatusOK]).To(gomega.BeNumerically(">", 350), "it serves again")
	})
}
