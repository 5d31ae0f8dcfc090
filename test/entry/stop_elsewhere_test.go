package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against requests that wait for a slot at a scheduling node that stops, and get no true answer as their calls to it
// are cut.
func TestRequestsThatWaitAtASchedulingNodeThatStopsAreAnswered(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				for _, replica := range s.plainReplicas {
					replica.Step = 120 * time.Millisecond
				}
				time.Sleep(time.Second)
				scheduler, followers := s.scheduler(), s.followers()
				var group sync.WaitGroup
				var mutex sync.Mutex
				replies := map[string]reply{}
				send := func(i int) {
					id := fmt.Sprint("w", i)
					got := s.do(followers[i%2], http.MethodPost, path, withRequestID(id))
					mutex.Lock()
					replies[id] = got
					mutex.Unlock()
				}
				stopped := s.stopInBackground(scheduler)
				for i := range 160 { // 10 s, more than the stop takes
					group.Go(func() { send(i) })
					if i%8 == 7 { // twice the slots
						time.Sleep(500 * time.Millisecond)
					}
				}
				group.Wait()
				<-stopped
				runs, answered := s.runCounts(), 0
				for id, got := range replies {
					s.Expect(got.status).To(gomega.BeElementOf(200, 503, 504), id)
					if got.status == 503 {
						s.Expect(runs[id]).To(gomega.Equal(0), "%s was told that it had not run", id)
					}
					if path == "/once/" {
						s.Expect(runs[id]).To(gomega.BeNumerically("<=", 1), id)
					}
					if got.status == 200 {
						answered++
					}
				}
				s.Expect(answered).To(gomega.BeNumerically(">=", 150), "of 160")
			})
		})
	}
}

// takeAllSlots sends as many requests to the node as the plain replicas have slots.
func (s *scenario) takeAllSlots(group *sync.WaitGroup, node string) {
	for range 4 {
		group.Go(func() {
			s.Expect(s.do(node, http.MethodPost, "/once/", deadline("4000")).status).To(gomega.Equal(200))
		})
	}
}

// Guards against slots that stay taken after a node has stopped, as the messages on its last responses were lost.
func TestSlotsOfANodeThatStoppedAreFree(t *testing.T) {
	const lostLimit = 2 * time.Second // after the end, without a message
	for name, limit := range map[string]time.Duration{"in contact": 0, "cut from the scheduling node": lostLimit} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				time.Sleep(time.Second)
				node, scheduler := s.followers()[0], s.scheduler()
				for _, replica := range s.plainReplicas {
					replica.Step = 3 * time.Second
				}
				var group sync.WaitGroup
				s.takeAllSlots(&group, node)
				time.Sleep(50 * time.Millisecond)
				stopped := s.stopInBackground(node)
				if limit > 0 {
					time.Sleep(2900 * time.Millisecond)
					s.fabric.Partition([]string{node}, []string{scheduler})
				}
				group.Wait()
				for _, replica := range s.plainReplicas {
					replica.Step = 20 * time.Millisecond
				}
				<-stopped
				time.Sleep(limit)
				for range 4 {
					group.Go(func() {
						got := s.do(scheduler, http.MethodPost, "/once/", nil)
						s.Expect(got.status).To(gomega.Equal(200))
						s.Expect(got.took).To(gomega.BeNumerically("<", 300*time.Millisecond))
					})
				}
				group.Wait()
			})
		})
	}
}

// Guards against a stopping node that sends to replicas that drain, or of an evacuated zone, as it hears no news any more.
func TestStoppingNodeHearsOfDrainsAndEvacuations(t *testing.T) {
	for name, order := range map[string]func(s *scenario){
		"drain":      func(s *scenario) { s.plainReplicas[0].Register(s.deployment.Store, "draining") },
		"evacuation": func(s *scenario) { s.deployment.Store.Put("op/evacuate/east", []byte("x")) },
	} {
		for _, at := range []time.Duration{100 * time.Millisecond, 2600 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(name, " ", at), func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					west := &platformsim.Replica{ID: "i-w1", Service: "registry", Zone: "west", Slots: 8, Step: 20 * time.Millisecond}
					s.Expect(s.deployment.AddReplica("w1", west)).To(gomega.Succeed())
					s.keepRunning()
					stopped := s.stopInBackground("n1")
					time.Sleep(at)
					order(s)
					time.Sleep(time.Second)
					closed := s.plainReplicas[:1]
					if name == "evacuation" {
						closed = s.plainReplicas
					}
					before := 0
					for _, replica := range closed {
						before += len(replica.Runs())
					}
					for range 10 {
						s.Expect(s.do("n1", http.MethodPost, "/once/", deadline("500")).status).To(gomega.Equal(200))
					}
					after := 0
					for _, replica := range closed {
						after += len(replica.Runs())
					}
					s.Expect(after).To(gomega.Equal(before))
					<-stopped
				})
			})
		}
	}
}

// Guards against requests without an answer at a node that is suspended during its stop and wakes after its grace.
func TestNodeThatWakesAfterItsStopAnswers(t *testing.T) {
	runWithSuspensions(t, func(s *scenario, c *suspendableClocks) {
		s.setBehavior(append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...), always(platformsim.Silent))
		node := s.followers()[0]
		s.configure(func(configuration *entrylab.Configuration) {
			for i := range configuration.Routes {
				configuration.Routes[i].Timeout = 60_000
			}
		})
		var group sync.WaitGroup
		time.Sleep(time.Second)
		stopped := s.stopInBackground(node)
		time.Sleep(time.Second)
		for _, path := range []string{"/once/", "/stream/"} {
			group.Go(func() {
				got := s.do(node, http.MethodPost, path, deadline("60000"))
				s.Expect(got.status).To(gomega.BeElementOf(502, 503), path)
			})
		}
		time.Sleep(200 * time.Millisecond)
		c.suspend(node)
		c.suspend(node)
		group.Wait()
		<-stopped
	})
}

// Guards against a caller that is told when to come back and finds nothing at the node that told it, which has ended, or
// that is refused again by the others for no reason.
func TestCallersThatComeBackAfterTheStopOfTheirNodeAreServed(t *testing.T) {
	for _, role := range []string{"scheduling node", "other node"} {
		t.Run(role, func(t *testing.T) {
			runFullPool(t, true, func(s *fullPool) {
				time.Sleep(200 * time.Millisecond)
				node, other := s.scheduler(), s.followers()[0]
				if role == "other node" {
					node, other = other, node
				}
				// The slots are taken by n1's own callers, which a planned stop of n1 completes.
				told := s.refuse(node, "/pool/first", "first")
				stopped := s.stopInBackground(node)
				time.Sleep(told)
				got := s.do(other, http.MethodGet, "/pool/first", withRequestID("again"))
				s.Expect(got.status).To(gomega.Equal(200))
				<-stopped
			})
		})
	}
}

// Guards against requests that are broken off, or run twice, as their replica drains, is gone from the store, says that it
// leaves, or its zone is evacuated: what runs there ends by itself.
func TestRequestsInProgressAtReplicasThatLeaveAreAnswered(t *testing.T) {
	for name, leave := range map[string]func(s *scenario, replica *platformsim.Replica){
		"drains": func(s *scenario, replica *platformsim.Replica) { replica.Register(s.deployment.Store, "draining") },
		"gone": func(s *scenario, replica *platformsim.Replica) {
			s.deployment.Store.Delete("servers/" + replica.ID)
		},
		"says that it leaves": func(s *scenario, replica *platformsim.Replica) {
			replica.SetPushback(platformsim.Pushback{Leaving: "1"})
		},
		"zone evacuated": func(s *scenario, _ *platformsim.Replica) { s.deployment.Store.Put("op/evacuate/east", []byte("x")) },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				time.Sleep(time.Second)
				for _, replica := range append(append([]*platformsim.Replica{}, s.plainReplicas...), s.engines...) {
					if replica.Events == 0 {
						replica.Step = 2500 * time.Millisecond
					} else {
						replica.Step = 400 * time.Millisecond
					}
				}
				var group sync.WaitGroup
				for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
					for _, host := range []string{"n1", "n2"} {
						if path == "/resume/" && host == "n2" {
							continue // room for the others
						}
						group.Go(func() {
							got := s.do(host, http.MethodPost, path, nil)
							s.Expect(got.status).To(gomega.Equal(200), path)
							s.Expect(got.complete).To(gomega.BeTrue(), path)
						})
					}
				}
				time.Sleep(100 * time.Millisecond)
				leave(s, s.plainReplicas[0])
				leave(s, s.engines[0])
				group.Wait()
				for id, count := range s.runCounts() {
					s.Expect(count).To(gomega.Equal(1), id)
				}
			})
		})
	}
}
