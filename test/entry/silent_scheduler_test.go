package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// Requests that are queued at a scheduling node that is silent for a while and goes on.

const queuedRequests = 2

// queueCase is how long the requests that have all slots run, and the deadline of the ones that are queued behind
// them, which may wait for longer than that.
type queueCase struct {
	occupied time.Duration
	deadline string
}

// freeSlots returns the number of free slots of the plain replicas that the scheduling node sees.
func (s *scenario) freeSlots() int {
	offset := s.logs.size()
	s.do("n1", http.MethodGet, "/safe/", nil)
	placed := s.loggedEventsFrom(offset, "request.placed")
	s.Expect(placed).NotTo(gomega.BeEmpty())
	return placed[len(placed)-1].FreeSlots
}

// Guards against queued requests that are refused, or lose their claim to an assignment, because the scheduling node was
// silent for a while, and against assignments of the same request by two nodes that both run.
func TestQueuedRequestsSurviveTheSilenceOfTheSchedulingNode(t *testing.T) {
	for _, silentFor := range []time.Duration{0, time.Second, 1300 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		for _, queue := range []queueCase{{2500 * time.Millisecond, "8000"}, {time.Second, "3000"}} {
			t.Run(fmt.Sprint(silentFor, " of ", queue), func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					s.configure(func(configuration *entrylab.Configuration) {
						for i := range configuration.Routes {
							configuration.Routes[i].Timeout, configuration.Routes[i].Target = 8000, 4000
						}
					})
					time.Sleep(500 * time.Millisecond)
					for _, replica := range s.plainReplicas {
						replica.SetStep(queue.occupied)
					}
					scheduler, followers := s.scheduler(), s.followers()
					statuses := map[int]int{}
					var mutex sync.Mutex
					var group sync.WaitGroup
					start := func(count int, path string) {
						for i := range count {
							group.Go(func() {
								got := s.do(followers[i%len(followers)], http.MethodPost, path, deadline(queue.deadline))
								mutex.Lock()
								defer mutex.Unlock()
								statuses[got.status]++
							})
						}
					}
					start(s.plainSlots(), "/once/")
					time.Sleep(100 * time.Millisecond)
					for _, replica := range s.plainReplicas {
						replica.SetStep(20 * time.Millisecond)
					}
					start(queuedRequests, "/once/")
					time.Sleep(200 * time.Millisecond)
					s.fabric.Pause(scheduler)
					time.Sleep(silentFor)
					s.fabric.Resume(scheduler)
					group.Wait()
					s.Expect(statuses).To(gomega.Equal(map[int]int{http.StatusOK: s.plainSlots() + queuedRequests}))
					for id, count := range s.runCounts() {
						s.Expect(count).To(gomega.Equal(1), id)
					}
					time.Sleep(time.Second)
					s.Expect(s.freeSlots()).To(gomega.Equal(s.plainSlots()), "slots that no request occupies")
				})
			})
		}
	}
}

// Guards against assignments that stay occupied after the scheduling node was silent under load: it gets the requests
// that were given up meanwhile together with their cancellations.
func TestSlotsAreFreeAfterTheSilenceOfTheSchedulingNode(t *testing.T) {
	const loadInterval = 60 * time.Millisecond
	for _, silentFor := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(fmt.Sprint(silentFor), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				scheduler, followers := s.scheduler(), s.followers()
				for _, replica := range s.plainReplicas {
					replica.SetStep(300 * time.Millisecond) // so long that no extra slots are used between two answers
				}
				var group sync.WaitGroup
				load := func(duration time.Duration) {
					for i := range int(duration / loadInterval) {
						group.Go(func() { s.do(followers[i%len(followers)], http.MethodGet, "/safe/", nil) })
						time.Sleep(loadInterval)
					}
				}
				load(time.Second)
				group.Wait()
				time.Sleep(100 * time.Millisecond) // the ends arrive at the scheduling node
				s.Expect(s.freeSlots()).To(gomega.Equal(s.plainSlots()))
				s.fabric.Pause(scheduler)
				load(silentFor)
				s.fabric.Resume(scheduler)
				group.Wait()
				time.Sleep(3 * time.Second)
				s.Expect(s.scheduler()).To(gomega.Equal(scheduler))
				s.Expect(s.freeSlots()).To(gomega.Equal(s.plainSlots()), "slots that no request occupies")
			})
		})
	}
}
