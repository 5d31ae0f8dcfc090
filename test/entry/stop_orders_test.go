package entry

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Planned stops of a node on which other nodes depend, and several stops at once.

// courseReply is the reply to one request of a steady load.
type courseReply struct {
	reply
	node   string
	sentAt time.Time
}

// steadyLoad sends a request on the path to one of the nodes every interval until stop is closed, and returns the replies.
func (s *scenario) steadyLoad(nodes []string, path string, interval time.Duration, stop <-chan struct{}) []courseReply {
	var group sync.WaitGroup
	var mutex sync.Mutex
	var replies []courseReply
	for number := 0; ; number++ {
		select {
		case <-stop:
			group.Wait()
			return replies
		default:
		}
		group.Go(func() {
			sent := courseReply{node: nodes[number%len(nodes)], sentAt: time.Now()}
			sent.reply = s.do(sent.node, http.MethodPost, path, deadline("4000"))
			mutex.Lock()
			defer mutex.Unlock()
			replies = append(replies, sent)
		})
		time.Sleep(interval)
	}
}

// slowRoutes lets the requests of all routes take seconds.
func (s *scenario) slowRoutes(configuration *entrylab.Configuration) {
	for i := range configuration.Routes {
		configuration.Routes[i].Target, configuration.Routes[i].TargetGap = slowTarget, 0
	}
}

// Guards against requests that a node without a path to replicas sends, late in a stop, over connections that the stopping
// node forwards: they would be lost at its end, although other nodes forward connections too.
func TestNoRequestIsSentOverConnectionsThatALeavingNodeForwards(t *testing.T) {
	for _, work := range []time.Duration{30 * time.Millisecond, time.Second} {
		t.Run(work.String(), func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				s.configure(s.slowRoutes)
				s.cutAndDetect(fleetHosts[:1], memnet.CutReset)
				for _, replica := range s.plainReplicas {
					replica.Slots = 64
					replica.SetStep(work)
					replica.Register(s.deployment.Store, "ready")
				}
				var replies []courseReply
				endLoad := runInBackground(func(done <-chan struct{}) {
					replies = s.steadyLoad(fleetHosts[:1], "/once/", 30*time.Millisecond, done)
				})
				defer endLoad()
				time.Sleep(2 * time.Second)
				forwarders := s.awaitForwarders(fleetHosts[0], "/once/", 2)
				signalAt := time.Now()
				var stops sync.WaitGroup
				for _, node := range forwarders[:len(forwarders)/2] {
					stops.Go(s.deployment.Node(node).Stop)
				}
				defer stops.Wait()
				time.Sleep(9 * time.Second)
				endLoad()
				stops.Wait()
				late, unserved := 0, 0
				for _, got := range replies {
					if got.sentAt.After(signalAt) {
						late++
						if got.status != http.StatusOK {
							unserved++
						}
					}
				}
				lost := 0
				for _, event := range s.loggedEvents("request.sent") {
					if event.Reason == "forwarder-lost" {
						lost++
					}
				}
				t.Logf("%d of %d forwarders stopped: %d requests after the signal, not served %d, lost %d", len(forwarders)/2, len(forwarders), late, unserved, lost)
				s.Expect(lost).To(gomega.BeZero())
			})
		})
	}
}

// awaitForwarders waits until at least count nodes forward connections of the node at the same time, and returns them. Idle
// connections are used again, so a steady load may stay with one forwarder: requests at once need further connections,
// for each of which the forwarder is drawn.
func (s *pathScenario) awaitForwarders(node, path string, count int) []string {
	const (
		limit          = 10 * time.Second
		requestsAtOnce = 8
	)
	var forwarders []string
	for began := time.Now(); time.Since(began) < limit; {
		forwarders = slices.DeleteFunc(slices.Clone(fleetHosts), func(peer string) bool {
			return peer == node || s.deployment.Node(peer).Status().Forwarding == 0
		})
		if len(forwarders) >= count {
			break
		}
		var group sync.WaitGroup
		for range requestsAtOnce {
			group.Go(func() { s.do(node, http.MethodPost, path, deadline("4000")) })
		}
		group.Wait()
	}
	s.Expect(len(forwarders)).To(gomega.BeNumerically(">=", count), "nodes that forward at the same time")
	return forwarders
}

// stopOrder is an order of planned stops and other events, which runs while callers keep their connections to all nodes.
type stopOrder struct {
	name string
	run  func(s *scenario, settings map[string]entry.Settings)
}

// stopLater stops the node after the time.
func (s *scenario) stopLater(node string, after time.Duration) {
	time.AfterFunc(after, s.deployment.Node(node).Stop)
}

var stopOrders = []stopOrder{
	{"the scheduling node", func(s *scenario, _ map[string]entry.Settings) { s.stopLater(s.scheduler(), 0) }},
	{"the scheduling node and the next one in series", func(s *scenario, _ map[string]entry.Settings) {
		former := s.scheduler()
		s.stopLater(former, 0)
		time.AfterFunc(3*time.Second, func() {
			for _, node := range hosts {
				if node != former {
					s.stopLater(s.deployment.Node(node).Status().Scheduler, 0)
					return
				}
			}
		})
	}},
	{"two at once", func(s *scenario, _ map[string]entry.Settings) {
		s.stopLater("n1", 0)
		s.stopLater("n2", 0)
	}},
	{"all, overlapping", func(s *scenario, _ map[string]entry.Settings) {
		for i, node := range hosts {
			s.stopLater(node, time.Duration(i)*time.Second/2)
		}
	}},
	{"a second signal", func(s *scenario, _ map[string]entry.Settings) {
		for i := range 6 {
			s.stopLater("n1", time.Duration(i)*time.Second)
		}
	}},
	{"settings with another grace", func(s *scenario, settings map[string]entry.Settings) {
		for i, grace := range []int{3000, 20000} {
			changed := settings["n1"]
			changed.StopGrace = grace
			time.AfterFunc(time.Duration(2*i+2)*time.Second, func() { s.deployment.Node("n1").Reload(&changed) })
		}
		s.stopLater("n1", 0)
	}},
	{"configurations", func(s *scenario, _ map[string]entry.Settings) {
		s.stopLater("n1", 0)
		for i := range 12 {
			time.AfterFunc(time.Duration(i)*600*time.Millisecond, func() { s.configure(s.slowRoutes) })
		}
	}},
	{"silent replicas", func(s *scenario, _ map[string]entry.Settings) {
		s.stopLater("n1", 0)
		time.AfterFunc(slowAfter, func() { s.setBehavior(s.plainReplicas, always(platformsim.Silent)) })
	}},
	{"a replica that ends", func(s *scenario, _ map[string]entry.Settings) {
		s.stopLater("n1", 0)
		time.AfterFunc(slowAfter, func() { s.plainReplicas[0].Crash() })
	}},
	{"replicas that break off", func(s *scenario, _ map[string]entry.Settings) {
		s.stopLater("n1", 0)
		time.AfterFunc(slowAfter, func() { s.setBehavior(s.plainReplicas, always(platformsim.Reset)) })
	}},
	{"a store outage", func(s *scenario, _ map[string]entry.Settings) {
		s.stopLater("n1", 0)
		s.fabric.Pause("store")
	}},
}

// Guards against requests that get no answer, or an untrue one, where a stop meets another stop or event: the node that
// others wait on, stops in series, further signals, new settings and configurations, and replicas that fail.
func TestStopsInAnyOrderAnswerWhatTheyTook(t *testing.T) {
	for _, order := range stopOrders {
		for _, course := range []lateStop{
			{name: "1 s", path: "/once/", deadlineMS: "4000", step: time.Second, slots: 64},
			{name: "waits for its turn", path: "/once/", deadlineMS: "4000", step: 300 * time.Millisecond, slots: 3},
			{name: "repeatable, waits for its turn", path: "/safe/", deadlineMS: "4000", step: 300 * time.Millisecond, slots: 3},
		} {
			t.Run(order.name+"/"+course.name, func(t *testing.T) {
				t.Parallel()
				settings := map[string]entry.Settings{}
				runAdjusted(t, func(started *entry.Settings) { settings[started.Name] = *started }, func(s *scenario) {
					for _, replica := range s.plainReplicas {
						replica.Step, replica.Slots = course.step, course.slots
						replica.Register(s.deployment.Store, "ready")
					}
					s.configure(s.slowRoutes)
					time.Sleep(time.Second)
					order.run(s, settings)
					requests := make([][]lateRequest, len(hosts))
					var group sync.WaitGroup
					for i, node := range hosts {
						group.Go(func() { requests[i] = s.sendLate(node, course) })
					}
					group.Wait()
					cut := 0
					for i, node := range hosts {
						cutHere := s.checkAnswers(t, requests[i], course.path)
						t.Log(node, describeLate(requests[i], cutHere))
						cut += cutHere
					}
					s.Expect(cut).To(gomega.BeZero())
					s.setBehavior(s.plainReplicas, always(platformsim.Answer))
					s.fabric.Resume("store")
					time.Sleep(5 * time.Second)
				})
			})
		}
	}
}
