package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// detectionTime is the time after the start of a cut in which a node with requests detects it.
const detectionTime = 2 * time.Second

// cutAndDetect cuts the paths of the nodes and sends requests to these until they have detected it.
func (s *pathScenario) cutAndDetect(nodes []string, cut memnet.PathCut) {
	s.fabric.CutPaths(nodes, s.replicaHosts, cut)
	load := pathLoad{rate: 60, duration: detectionTime, callPaths: mixedPaths}
	load.run(s, nodes)
}

// runsOf returns the runs of the request with the ID at all replicas.
func (s *pathScenario) runsOf(id string) []platformsim.Run {
	var runs []platformsim.Run
	for _, replica := range append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...) {
		for _, run := range replica.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// forwarding returns the number of connections that the nodes forward.
func (s *pathScenario) forwarding() int64 {
	total := int64(0)
	for _, node := range fleetHosts {
		total += s.deployment.Node(node).Status().Forwarding
	}
	return total
}

// Guards against work that goes on at the replica after the caller of a request whose connection is
// forwarded has left.
func TestForwardedRequestEndsWhenItsCallerLeaves(t *testing.T) {
	const limit = 500 * time.Millisecond
	runPathScenario(t, func(s *pathScenario) {
		s.cutAndDetect(fleetHosts[:1], memnet.CutReset)
		s.setBehavior(s.engines, always(platformsim.Silent))
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		id := ""
		group.Go(func() {
			s.do(fleetHosts[0], http.MethodPost, "/stream/", func(r *http.Request) {
				id = r.Header.Get("X-Attempt-Id")
				*r = *r.WithContext(ctx)
			})
		})
		time.Sleep(100 * time.Millisecond)
		s.Expect(s.runsOf(id)).To(gomega.HaveLen(1))
		cancel()
		group.Wait()
		time.Sleep(limit)
		s.Expect(s.runsOf(id)[0].Cancelled).To(gomega.BeTrue())
	})
}

// Guards against a forwarder that holds the events of a stream back.
func TestForwardedStreamsArriveEventByEvent(t *testing.T) {
	runPathScenario(t, func(s *pathScenario) {
		s.cutAndDetect(fleetHosts[:1], memnet.CutReset)
		s.Expect(s.deployment.Node(fleetHosts[0]).Status().Partitioned).To(gomega.BeTrue())
		first := time.Duration(0)
		for range 10 {
			got := s.do(fleetHosts[0], http.MethodPost, "/stream/", nil)
			s.Expect(got.complete).To(gomega.BeTrue())
			first = max(first, got.took)
		}
		engine := s.engines[0]
		s.Expect(first).To(gomega.BeNumerically("<", time.Duration(engine.Events+1)*engine.Step), "no time is added between events")
		for _, event := range s.loggedEvents("request.sent") {
			if event.Node == fleetHosts[0] && event.Forwarder != "" && event.FirstEventMS > 0 {
				s.Expect(event.MaxPauseMS).To(gomega.BeNumerically("<=", engine.Step.Milliseconds()))
			}
		}
	})
}

// Guards against a node that stays on forwarded connections after its paths are back, or returns to all
// replicas in the same instant.
func TestPathsAreDirectAgainAfterACut(t *testing.T) {
	const limit = 5 * time.Second
	for _, cut := range memnet.PathCuts {
		t.Run(cut.String(), func(t *testing.T) {
			t.Parallel()
			runPathScenario(t, func(s *pathScenario) {
				listed := fleetHosts[:3]
				s.cutAndDetect(listed, cut)
				s.fabric.Heal()
				load := pathLoad{rate: 60, duration: limit, callPaths: mixedPaths}
				load.run(s, listed)
				for _, node := range listed {
					status := s.deployment.Node(node).Status()
					s.Expect(status.Partitioned).To(gomega.BeFalse())
					s.Expect(status.Unreached).To(gomega.BeEmpty())
				}
				time.Sleep(limit) // idle connections expire
				s.Expect(s.forwarding()).To(gomega.BeZero())
				atListed, atOthers := load.run(s, listed)
				s.Expect(atListed.sent - atListed.served).To(gomega.BeZero())
				s.Expect(atOthers.sent - atOthers.served).To(gomega.BeZero())
				s.Expect(s.forwarding()).To(gomega.BeZero())
			})
		})
	}
}

// Guards against a node that reaches some replicas, but none of one service, and fails all requests for it.
func TestServiceThatOneNodeDoesNotReachIsServedThere(t *testing.T) {
	for _, cut := range memnet.PathCuts {
		t.Run(cut.String(), func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				listed := fleetHosts[:3]
				load := pathLoad{rate: 60, duration: detectionTime, callPaths: []string{"/once/", "/safe/"}}
				s.fabric.CutPaths(listed, []string{"p1", "p2", "p3", "p4"}, cut)
				load.run(s, listed)
				load.duration = 5 * time.Second
				atListed, atOthers := load.run(s, listed)
				s.Expect(atListed.sent - atListed.served).To(gomega.BeNumerically("<=", atListed.mayFail()/2))
				s.Expect(atOthers.sent - atOthers.served).To(gomega.BeZero())
			})
		})
	}
}

// Guards against crashes that are inferred from a refusal that only one node gets: the requests that a cut
// resets must not be suspected of crashing replicas.
func TestResetPathsAreNoProofOfCrashes(t *testing.T) {
	for _, nodes := range []int{1, 3, 6, 8} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				var group sync.WaitGroup
				for range 10 {
					for _, node := range fleetHosts[:nodes] {
						group.Go(func() { s.do(node, http.MethodPost, "/stream/", nil) })
					}
				}
				time.Sleep(60 * time.Millisecond)
				s.fabric.CutPaths(fleetHosts[:nodes], s.replicaHosts, memnet.CutReset)
				group.Wait()
				load := pathLoad{rate: 60, duration: 3 * time.Second, callPaths: mixedPaths}
				load.run(s, fleetHosts[:nodes])
				broken := 0
				for _, event := range s.loggedEvents("request.sent") {
					if event.Reason == "closed-by-replica" {
						broken++
					}
				}
				s.Expect(broken).To(gomega.BeNumerically(">", 0), "requests that the cut broke off")
				s.Expect(s.loggedEvents("content")).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against a planned stop of a forwarding node that cuts the requests it forwards.
func TestPlannedStopOfAForwarderCompletesForwardedRequests(t *testing.T) {
	runPathScenario(t, func(s *pathScenario) {
		listed := fleetHosts[:6]
		s.cutAndDetect(listed, memnet.CutReset)
		var mutex sync.Mutex
		var failures []string
		var group sync.WaitGroup
		stop := time.Now().Add(12 * time.Second)
		for i, node := range listed {
			group.Go(func() {
				for round := 0; time.Now().Before(stop); round++ {
					path := mixedPaths[(i+round)%len(mixedPaths)]
					if got := s.do(node, http.MethodPost, path, nil); got.status != http.StatusOK || !got.complete {
						mutex.Lock()
						failures = append(failures, fmt.Sprintf("%s%s: status %d, complete %v", node, path, got.status, got.complete))
						mutex.Unlock()
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		for _, host := range fleetHosts[6:8] {
			time.Sleep(time.Second)
			s.deployment.Node(host).Stop()
		}
		group.Wait()
		s.Expect(failures).To(gomega.BeEmpty())
	})
}

// Guards against nodes without paths that reject their callers although the only node with paths serves its own:
// it is in a planned stop.
func TestStoppingNodeForwardsWhereThereAreNoOthers(t *testing.T) {
	const servingTime = 2 * time.Second // a stopping node serves its callers for longer than that
	runPathScenario(t, func(s *pathScenario) {
		listed := fleetHosts[1:]
		s.cutAndDetect(listed, memnet.CutReset)
		var stop sync.WaitGroup
		stop.Go(s.deployment.Node(fleetHosts[0]).Stop)
		load := pathLoad{rate: 60, duration: servingTime, callPaths: mixedPaths}
		atListed, atOthers := load.run(s, listed)
		stop.Wait()
		t.Logf("first tries served at nodes without a path: %d of %d, at the stopping node: %d of %d", atListed.served, atListed.sent, atOthers.served, atOthers.sent)
		s.Expect(atListed.sent - atListed.served).To(gomega.BeNumerically("<=", atListed.mayFail()))
		s.Expect(atListed.servedShare()).To(gomega.BeNumerically(">=", atOthers.servedShare()*2/3))
	})
}

// disturbForwarders kills, suspends and cuts nodes in turn for the duration, drawn with the seed.
func (s *pathScenario) disturbForwarders(random *rand.Rand, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
		host := fleetHosts[random.IntN(len(fleetHosts))]
		switch random.IntN(4) {
		case 0:
			s.deployment.Node(host).Kill()
			s.Expect(s.deployment.StartNode(host, pathZones[indexOf(fleetHosts, host)%len(pathZones)])).To(gomega.Succeed())
		case 1:
			s.fabric.Pause(host)
			time.Sleep(time.Duration(100+random.IntN(1500)) * time.Millisecond)
			s.fabric.Resume(host)
		case 2:
			s.fabric.Heal()
		default:
			group := fleetHosts[random.IntN(3) : 3+random.IntN(6)]
			s.fabric.CutPaths(group, s.replicaHosts, memnet.PathCuts[random.IntN(len(memnet.PathCuts))])
		}
	}
	s.fabric.Heal()
}

func indexOf(hosts []string, host string) int {
	for i, other := range hosts {
		if other == host {
			return i
		}
	}
	return -1
}

// Guards against requests that run twice, or run although they were said not to, while forwarding nodes are
// killed, suspended and cut off, on drawn courses. A stream that is complete has all its events in order.
func TestForwardedRequestsRunOnceOnDisturbedCourses(t *testing.T) {
	for seed := *firstCourse; seed < *firstCourse+uint64(*courseCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runPathScenario(t, func(s *pathScenario) {
				random := rand.New(rand.NewPCG(seed, 1))
				var mutex sync.Mutex
				var group sync.WaitGroup
				notRun, answered := map[string]int{}, 0
				done := make(chan struct{})
				group.Go(func() {
					defer close(done)
					s.disturbForwarders(random, 12*time.Second)
				})
				for i := 0; ; i++ {
					node, path := fleetHosts[i%len(fleetHosts)], mixedPaths[i%len(mixedPaths)]
					group.Go(func() {
						id := ""
						got := s.do(node, http.MethodPost, path, func(r *http.Request) { id = r.Header.Get("X-Attempt-Id") })
						mutex.Lock()
						defer mutex.Unlock()
						switch got.status {
						case http.StatusServiceUnavailable, http.StatusTooManyRequests:
							notRun[id] = got.status
						case http.StatusOK:
							answered++
							if got.complete && strings.HasPrefix(path, "/stream") {
								s.Expect(got.body).To(gomega.Equal(wholeStream(id, s.engines[0].Events)))
							}
						}
					})
					time.Sleep(15 * time.Millisecond)
					select {
					case <-done:
						group.Wait()
						s.expectOnceAndTruthful(notRun)
						s.Expect(answered).To(gomega.BeNumerically(">", 100))
						return
					default:
					}
				}
			})
		})
	}
}

// wholeStream returns the body of a complete stream.
func wholeStream(id string, events int) string {
	var body strings.Builder
	for number := 1; number <= events; number++ {
		body.WriteString(platformsim.Event(id, number))
	}
	return body.String()
}

// expectOnceAndTruthful checks that no request that must not be repeated ran twice, and that none of those
// that were said not to have run did.
func (s *pathScenario) expectOnceAndTruthful(notRun map[string]int) {
	for _, replica := range append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...) {
		for _, run := range replica.Runs() {
			s.Expect(notRun).NotTo(gomega.HaveKey(run.ID), "%s was said not to have run", run.Target)
		}
	}
	targets := map[string]string{}
	for _, replica := range append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...) {
		for _, run := range replica.Runs() {
			targets[run.ID] = run.Target
		}
	}
	for id, count := range s.runCounts() {
		if targets[id] == "/once/" || targets[id] == "/stream/" {
			s.Expect(count).To(gomega.Equal(1), "%s %s", targets[id], id)
		}
	}
}

// Guards against a replica that breaks off requests and keeps getting them, because the connections of the
// node that sends them are forwarded and the failures are taken for those of the path.
func TestReplicaThatBreaksOffForwardedRequestsIsQuarantined(t *testing.T) {
	runPathScenario(t, func(s *pathScenario) {
		listed := fleetHosts[:1]
		s.cutAndDetect(listed, memnet.CutReset)
		counts := map[*platformsim.Replica]int{}
		for _, replica := range s.plainReplicas {
			counts[replica] = replica.Arrivals()
		}
		for range 20 {
			s.do(listed[0], http.MethodPost, "/once/", nil)
		}
		broken := slices.MaxFunc(s.plainReplicas, func(a, b *platformsim.Replica) int {
			return a.Arrivals() - counts[a] - b.Arrivals() + counts[b]
		})
		broken.SetBehavior(always(platformsim.Reset))
		before := broken.Arrivals()
		for range 100 {
			s.do(listed[0], http.MethodPost, "/once/", nil)
			time.Sleep(20 * time.Millisecond)
		}
		s.Expect(s.deployment.Node(listed[0]).Status().Partitioned).To(gomega.BeTrue())
		s.Expect(broken.Arrivals() - before).To(gomega.BeNumerically(">", 0))
		s.Expect(broken.Arrivals()-before).To(gomega.BeNumerically("<=", 15), "of 100 requests")
	})
}

// Guards against a node without paths to replicas that is not served because all other nodes are slow.
func TestSlowNodesForwardWhereThereAreNoOthers(t *testing.T) {
	runWithDelayedTimers(t, func(s *scenario, timers map[string]*delayedTimers) {
		for _, host := range hosts {
			timers[host].delay.Store(int64(3 * time.Millisecond))
		}
		time.Sleep(time.Second)
		s.fabric.CutPaths(hosts[:1], []string{"p1", "p2"}, memnet.CutReset)
		for range 20 {
			s.Expect(s.do(hosts[0], http.MethodPost, "/once/", nil).status).To(gomega.Equal(http.StatusOK))
			time.Sleep(50 * time.Millisecond)
		}
	})
}
