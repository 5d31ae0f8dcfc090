package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Plain requests that may be repeated, whose first replica is given up or has failed them while no second one is to be
// had.

// heldPath is the path of requests that replicas run without an answer, so that their slots stay occupied.
const heldPath = "/once/held"

// behaveUnlessHeld returns the behavior for all requests but those to heldPath.
func behaveUnlessHeld(behavior platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	return func(request *http.Request) platformsim.Behavior {
		if strings.HasPrefix(request.URL.Path, heldPath) {
			return platformsim.Silent
		}
		return behavior
	}
}

// plainSlots is the number of slots of the plain replicas together.
func (s *scenario) plainSlots() int {
	slots := 0
	for _, replica := range s.plainReplicas {
		slots += replica.Slots
	}
	return slots
}

// startAll sends as many requests to the path, to all nodes in turn. The returned function waits for their replies.
func (s *scenario) startAll(count int, path string) func() []reply {
	replies := make([]reply, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { replies[i] = s.do(hosts[i%len(hosts)], http.MethodPost, path, nil) })
	}
	return func() []reply {
		group.Wait()
		return replies
	}
}

// Guards against repeatable requests that are taken from a silent replica after a part of their time and then
// refused a second one, although the first goes on and would have answered within their deadline.
func TestSafeRequestIsAnsweredByItsSilentReplicaIfNoOtherIsFree(t *testing.T) {
	const silentFor = 2300 * time.Millisecond // of a deadline of 3 s
	for _, occupant := range []string{"/safe/", "/once/"} {
		t.Run("queued "+occupant, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setBehavior(s.plainReplicas, behaveUnlessHeld(platformsim.Answer))
				awaitSafe := s.startAll(s.plainSlots(), "/safe/")
				time.Sleep(5 * time.Millisecond)
				for _, host := range []string{"p1", "p2"} {
					s.fabric.Pause(host)
				}
				time.Sleep(300 * time.Millisecond)
				awaitQueued := s.startAll(2*s.plainSlots(), occupant)
				time.Sleep(silentFor - 300*time.Millisecond)
				for _, host := range []string{"p1", "p2"} {
					s.fabric.Resume(host)
				}
				for _, got := range awaitSafe() {
					s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
				}
				awaitQueued()
			})
		})
	}
}

// Guards against a replica's complete answer to a repeatable request, a server error, that is discarded for a second
// try and replaced by a failure of the node when the second try is refused.
func TestServerErrorReachesTheCallerIfNoOtherReplicaIsFree(t *testing.T) {
	t.Run("the places are taken", func(t *testing.T) {
		runScenario(t, func(s *scenario) {
			s.setBehavior(s.plainReplicas, behaveUnlessHeld(platformsim.Fail))
			awaitHeld := s.startAll(s.plainSlots()-1, heldPath)
			time.Sleep(100 * time.Millisecond)
			got := s.do("n1", http.MethodGet, "/safe/", nil)
			s.Expect(got.status).To(gomega.Equal(http.StatusInternalServerError), fmt.Sprint("after ", got.took))
			s.Expect(got.header.Get("X-Server-Stamp")).NotTo(gomega.BeEmpty())
			awaitHeld()
		})
	})
	t.Run("the retry budget is used up", func(t *testing.T) {
		runScenario(t, func(s *scenario) {
			s.setBehavior(s.plainReplicas, always(platformsim.Fail))
			statuses := map[int]int{}
			for i := range 150 {
				got := s.do(hosts[i%len(hosts)], http.MethodGet, "/safe/", nil)
				statuses[got.status]++
			}
			s.Expect(statuses).To(gomega.Equal(map[int]int{http.StatusInternalServerError: 150}))
		})
	})
}
