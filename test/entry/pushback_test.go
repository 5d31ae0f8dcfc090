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

const (
	// contactTime bounds the time until all nodes know a replica's rate limit.
	contactTime = 3 * time.Second
	// drainTime is the time in which a leaving replica may still receive requests.
	drainTime = 2 * time.Second
	// pushbackInterval is the time between two requests.
	pushbackInterval = 25 * time.Millisecond
	pushbackDuration = 18 * time.Second
)

// pushbackScenario is a deployment of seven nodes in three zones and replicas of one service, of
// which the first one sends pushback.
type pushbackScenario struct {
	scenario
	nodes    []string
	replicas []*platformsim.Replica
	group    sync.WaitGroup
	mutex    sync.Mutex
	// nodeOf, incarnationOf and sentAt map request ids to the node that received the request from
	// the caller, that node's incarnation and the time of sending.
	nodeOf        map[string]string
	incarnationOf map[string]string
	sentAt        map[string]time.Time
	replies       []reply
	// restarts counts the restarts of each node.
	restarts map[string]int
	// shownPushback is the pushback in the status of the first node at the end of the load.
	shownPushback []entry.PushbackStatus
}

// runPushback runs the fault under load while the first replica sends the pushback, stops the
// deployment and then calls check.
func runPushback(t *testing.T, replicaCount int, pushback platformsim.Pushback, fault func(s *pushbackScenario), check func(s *pushbackScenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &pushbackScenario{scenario: scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, nodeOf: map[string]string{}, incarnationOf: map[string]string{}, sentAt: map[string]time.Time{}, restarts: map[string]int{}}
		s.nodes = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"}
		s.start(s.nodes, threeZones, nil)
		s.configure(func(c *entrylab.Configuration) {
			c.Routes = []entrylab.Route{{Name: "safe", Host: "service.example", PathPrefix: "/safe/", Kind: "safe", Timeout: 4000, Target: 400, Service: "pool", Attempts: 2}}
			c.Services = append(c.Services, entrylab.Service{Name: "pool"})
		})
		for i := range replicaCount {
			host := fmt.Sprint("x", i)
			replica := &platformsim.Replica{ID: "i-" + host, Service: "pool", Zone: threeZones[i%len(threeZones)], Slots: 4, Step: 50 * time.Millisecond}
			s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
			s.replicas = append(s.replicas, replica)
		}
		s.awaitReady()
		s.load(time.Second)
		s.replicas[0].SetPushback(pushback)
		if pushback.RetryAfter != "" {
			s.replicas[0].SetBehavior(always(platformsim.Shed))
		}
		s.group.Go(func() { fault(s) })
		s.load(pushbackDuration)
		s.shownPushback = s.deployment.Node(s.nodes[0]).Status().Pushback
		s.group.Wait()
		s.stop(s.nodes)
		check(s)
	})
}

// load sends requests to the nodes in turn for the duration.
func (s *pushbackScenario) load(duration time.Duration) {
	for i := range int(duration / pushbackInterval) {
		node, path := s.nodes[i%len(s.nodes)], fmt.Sprintf("/safe/%v/%d", duration, i) // each request has another fingerprint
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

// requestsTo returns the requests that arrived at the replica, with the nodes that sent them.
func (s *pushbackScenario) requestsTo(replica *platformsim.Replica) []checker.Sent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sent []checker.Sent
	for _, arrival := range replica.Arrived() {
		sent = append(sent, checker.Sent{Arrival: arrival, Node: s.nodeOf[arrival.ID], SentAt: s.sentAt[arrival.ID]})
	}
	return sent
}

// requestsByIncarnation is requestsTo with each incarnation of a node as a node of its own: a
// restarted node doesn't know the pushback that its predecessor received.
func (s *pushbackScenario) requestsByIncarnation(replica *platformsim.Replica) []checker.Sent {
	sent := s.requestsTo(replica)
	for i := range sent {
		sent[i].Node = s.incarnationOf[sent[i].ID]
	}
	return sent
}

// repliesByStatus returns the number of replies with each status.
func (s *pushbackScenario) repliesByStatus() map[int]int {
	counts := map[int]int{}
	for _, got := range s.replies {
		counts[got.status]++
	}
	return counts
}

// strictPushback is a check that excuses no node, however it was disturbed.
var strictPushback = checker.Pushback{Contact: contactTime, Drain: drainTime, Excused: func(string, time.Time, time.Time) bool { return false }}

// pushbackFaults are the faults of nodes, store and network under which pushback must be kept.
var pushbackFaults = map[string]func(s *pushbackScenario){
	"no fault":          func(*pushbackScenario) {},
	"the store is down": func(s *pushbackScenario) { s.deployment.Store.SetDown(true) },
	"the store is restored": func(s *pushbackScenario) {
		backup := s.deployment.Store.Backup()
		time.Sleep(time.Second)
		s.deployment.Store.Restore(backup)
	},
	"the scheduling node restarts repeatedly": func(s *pushbackScenario) {
		for range 12 {
			time.Sleep(1300 * time.Millisecond)
			s.restart(s.majorityScheduler())
		}
	},
	"each node restarts in turn": func(s *pushbackScenario) {
		for round := range 16 {
			time.Sleep(time.Second)
			s.restart(s.nodes[round%len(s.nodes)])
		}
	},
	"all nodes restart": func(s *pushbackScenario) {
		time.Sleep(6 * time.Second)
		for _, node := range s.nodes {
			s.restart(node)
		}
	},
	"the scheduling node is paused repeatedly": func(s *pushbackScenario) {
		for range 5 {
			time.Sleep(1500 * time.Millisecond)
			node := s.majorityScheduler()
			s.fabric.Pause(node)
			time.Sleep(1500 * time.Millisecond)
			s.fabric.Resume(node)
		}
	},
	"the network is partitioned repeatedly": func(s *pushbackScenario) {
		for round := range 4 {
			time.Sleep(2 * time.Second)
			s.fabric.Partition(s.nodes[:3+round%2], s.nodes[3+round%2:])
			time.Sleep(2 * time.Second)
			s.fabric.Heal()
		}
	},
	"the scheduling node is partitioned from each other node in turn": func(s *pushbackScenario) {
		time.Sleep(4 * time.Second)
		scheduler := s.majorityScheduler()
		for _, node := range s.nodes {
			if node != scheduler {
				s.fabric.Partition([]string{scheduler}, []string{node})
				time.Sleep(2 * time.Second)
				s.fabric.Heal()
			}
		}
	},
}

// majorityScheduler returns the node that most nodes consider the scheduling node.
func (s *pushbackScenario) majorityScheduler() string {
	votes, scheduler := map[string]int{}, ""
	for _, node := range s.nodes {
		name := s.deployment.Node(node).Status().Scheduler
		if votes[name]++; votes[name] > votes[scheduler] {
			scheduler = name
		}
	}
	return scheduler
}

// restart kills the node and starts it again.
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

// runPushbackFaults runs all faults, with one replica and with three.
func runPushbackFaults(t *testing.T, pushback platformsim.Pushback, check func(s *pushbackScenario)) {
	for name, fault := range pushbackFaults {
		for _, count := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d replicas", name, count), func(t *testing.T) {
				runPushback(t, count, pushback, fault, check)
			})
		}
	}
}

// Guards against more requests to a replica, from all nodes together, than its rate limit allows.
func TestRateLimitOfAReplicaIsKeptByAllNodesTogether(t *testing.T) {
	for _, limit := range []string{"1", "6"} {
		t.Run(limit+" per second", func(t *testing.T) {
			runPushbackFaults(t, platformsim.Pushback{Limit: limit}, func(s *pushbackScenario) {
				s.Expect(strictPushback.RateLimit(s.requestsTo(s.replicas[0]))).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against a rate-limited replica that is used unevenly or far below its limit, and against
// late rejections or ones without Retry-After.
func TestRateLimitedReplicaIsUsedSteadily(t *testing.T) {
	for limit, perSecond := range map[string]float64{"1": 1, "6": 6} {
		t.Run(limit+" per second", func(t *testing.T) {
			runPushback(t, 1, platformsim.Pushback{Limit: limit}, func(*pushbackScenario) {}, func(s *pushbackScenario) {
				start, used := s.replicas[0].Arrived()[0].At.Add(time.Second+contactTime), 0
				usedByInterval := map[int]int{}
				for _, arrival := range s.replicas[0].Arrived() {
					if offset := arrival.At.Sub(start); offset >= 0 && offset < 12*time.Second {
						used++
						usedByInterval[int(offset/(3*time.Second))]++
					}
				}
				s.Expect(used).To(gomega.BeNumerically(">=", 0.8*perSecond*12))
				for i := range 4 {
					s.Expect(usedByInterval[i]).To(gomega.BeNumerically(">=", 0.6*perSecond*3), "requests in an interval of 3 s")
				}
				for _, got := range s.replies {
					if got.status != http.StatusOK {
						s.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
						s.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
						s.Expect(got.took).To(gomega.BeNumerically("<", 250*time.Millisecond))
					}
				}
			})
		})
	}
}

// Guards against a rate limit that stays in effect after the replica has raised or ended it.
func TestRaisedRateLimitIsApplied(t *testing.T) {
	for name, after := range map[string]platformsim.Pushback{"no limit": {}, "a high limit": {Limit: "10000"}} {
		for _, before := range []string{"0", "0.5", "4"} {
			t.Run(fmt.Sprintf("%s after %s per second", name, before), func(t *testing.T) {
				var changed time.Time
				runPushback(t, 1, platformsim.Pushback{Limit: before}, func(s *pushbackScenario) {
					time.Sleep(4 * time.Second)
					changed = time.Now()
					s.replicas[0].SetPushback(after)
				}, func(s *pushbackScenario) {
					// At a limit of zero one request in ten seconds is sent, whose answer has the new limit.
					s.Expect(arrivalsAfter(s.replicas, changed.Add(11*time.Second))).To(gomega.BeNumerically(">", 80))
				})
			})
		}
	}
}

// Guards against a lowered rate limit that is exceeded, and an invalid one that affects a replica.
func TestLoweredAndInvalidRateLimits(t *testing.T) {
	runPushback(t, 3, platformsim.Pushback{Limit: "10"}, func(s *pushbackScenario) {
		time.Sleep(6 * time.Second)
		s.replicas[0].SetPushback(platformsim.Pushback{Limit: "1"})
		s.replicas[1].SetPushback(platformsim.Pushback{Limit: "-3"})
		s.replicas[2].SetPushback(platformsim.Pushback{Limit: "NaN"})
	}, func(s *pushbackScenario) {
		var after []checker.Sent
		for _, request := range s.requestsTo(s.replicas[0]) {
			if request.Pushback.Limit == "1" {
				after = append(after, request)
			}
		}
		s.Expect(strictPushback.RateLimit(after)).To(gomega.BeEmpty())
		s.Expect(s.repliesByStatus()).To(gomega.HaveLen(1), "the other replicas serve the rest")
		s.Expect(s.shownPushback).To(gomega.ContainElement(gomega.And(gomega.HaveField("Replica", "i-x0"), gomega.HaveField("Limit", gomega.HaveValue(gomega.Equal(1.0))))))
		s.Expect(s.loggedEvents("replica.said")).To(gomega.ContainElement(gomega.HaveField("Outcome", "unreadable")))
	})
}

// Guards against requests to a leaving replica from nodes that it informed in an answer, whatever
// the store's entry says.
func TestLeavingReplicaReceivesNothingFromNodesItInformed(t *testing.T) {
	runPushbackFaults(t, platformsim.Pushback{Leaving: "1"}, func(s *pushbackScenario) {
		s.Expect(strictPushback.Leaving(s.requestsByIncarnation(s.replicas[0]))).To(gomega.BeEmpty())
	})
}

// Guards against requests to a replica from nodes that it asked for a pause, before its end.
func TestReplicaPauseIsKept(t *testing.T) {
	runPushbackFaults(t, platformsim.Pushback{RetryAfter: "3"}, func(s *pushbackScenario) {
		s.Expect(strictPushback.Pauses(s.requestsByIncarnation(s.replicas[0]))).To(gomega.BeEmpty())
	})
}

// Guards against requests to a leaving replica that no longer says so, and against a replica that
// stays unused after it has restarted under its id.
func TestReplicaThatLeftIsUsedAfterARestart(t *testing.T) {
	var silentSince, restartedAt time.Time
	runPushback(t, 2, platformsim.Pushback{Leaving: "1"}, func(s *pushbackScenario) {
		time.Sleep(3 * time.Second)
		s.replicas[0].SetPushback(platformsim.Pushback{})
		silentSince = time.Now()
		time.Sleep(4 * time.Second)
		s.replicas[0].StartedAt = time.Now().UnixMilli()
		restartedAt = time.Now()
		time.Sleep(time.Millisecond)
		s.replicas[0].Register(s.deployment.Store, "ready")
	}, func(s *pushbackScenario) {
		leaving := s.replicas[:1]
		s.Expect(arrivalsAfter(leaving, silentSince)).To(gomega.Equal(arrivalsAfter(leaving, restartedAt)), "requests before the restart")
		s.Expect(arrivalsAfter(leaving, restartedAt)).To(gomega.BeNumerically(">", 50))
		s.Expect(s.repliesByStatus()).To(gomega.HaveLen(1), "the other replica serves all requests")
	})
}

// Guards against rejections without Retry-After when no replica is left.
func TestRequestsAreRejectedWithRetryAfterWhenAllReplicasLeave(t *testing.T) {
	runPushback(t, 1, platformsim.Pushback{Leaving: "1"}, func(*pushbackScenario) {}, func(s *pushbackScenario) {
		for _, got := range s.replies {
			if got.status != http.StatusOK {
				s.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
				s.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
	})
}

// Guards against rejections during a pause that are late or exceed it in Retry-After, and against
// a burst of requests at its end.
func TestRejectionsDuringAPauseNameItsEnd(t *testing.T) {
	runPushback(t, 1, platformsim.Pushback{RetryAfter: "3"}, func(s *pushbackScenario) {
		time.Sleep(5 * time.Second)
		s.replicas[0].SetBehavior(nil)
	}, func(s *pushbackScenario) {
		arrived := s.replicas[0].Arrived()
		for i, arrival := range arrived {
			if !arrival.Rejected {
				continue
			}
			count := 0
			for _, other := range arrived[i+1:] {
				if other.At.Sub(arrival.At) < time.Second && other.At.Sub(arrived[0].At) > 4*time.Second {
					count++
				}
			}
			s.Expect(count).To(gomega.BeNumerically("<=", len(s.nodes)), "at most one request from each node")
		}
		soon := 0
		for _, got := range s.replies {
			if got.status == http.StatusOK {
				continue
			}
			s.Expect(got.took).To(gomega.BeNumerically("<", 250*time.Millisecond))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			s.Expect(after).To(gomega.BeNumerically("<=", 3.01))
			if after < 1 {
				soon++
			}
		}
		s.Expect(soon).To(gomega.BeNumerically(">", 0), "Retry-After decreases during the pause")
		s.Expect(s.repliesByStatus()[http.StatusOK]).To(gomega.BeNumerically(">", 350), "requests served after the pause")
	})
}
