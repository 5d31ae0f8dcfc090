package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Streams whose own node is held up or is stopped by order while their engines are silent or at work.

// Guards against a node that was held up and takes healthy engines for silent: it would send their streams to others
// although the events wait to be read.
func TestNodeThatWasHeldUpKeepsItsEngines(t *testing.T) {
	for _, isScheduler := range []bool{false, true} {
		t.Run(fmt.Sprintf("scheduling node %v", isScheduler), func(t *testing.T) {
			runSilent(t, func(s *silentScenario) {
				s.setAttempts(3)
				node := s.followers()[0]
				if isScheduler {
					node = s.scheduler()
				}
				var group sync.WaitGroup
				replies := make([]reply, silentStreams)
				for i := range silentStreams {
					group.Go(func() {
						replies[i] = s.do(node, http.MethodPost, "/resume/", withDeadline(silentDeadline))
					})
				}
				s.silence([]string{node}, 1900*time.Millisecond)
				group.Wait()
				for _, got := range replies {
					s.Expect(isWholeStream(got)).To(gomega.BeTrue())
				}
				runs := 0
				for _, engine := range s.engines {
					runs += len(engine.Runs())
				}
				s.Expect(runs).To(gomega.Equal(silentStreams))
			})
		})
	}
}

// Guards against a planned stop that cuts streams whose engines are silent as it begins.
func TestStreamsOfSilentEnginesSurviveThePlannedStopOfTheirNodes(t *testing.T) {
	for _, silent := range []int{2, silentEngines} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			runSilent(t, func(s *silentScenario) {
				await := s.startStreams(silentStreams)
				time.Sleep(silenceAt)
				for _, host := range s.engineHosts[:silent] {
					s.fabric.Pause(host)
				}
				time.Sleep(time.Second)
				var group sync.WaitGroup
				for _, host := range hosts {
					group.Go(s.deployment.Node(host).Stop)
				}
				time.Sleep(900 * time.Millisecond)
				for _, host := range s.engineHosts[:silent] {
					s.fabric.Resume(host)
				}
				for _, got := range await() {
					s.Expect(isWholeStream(got)).To(gomega.BeTrue(), fmt.Sprint(got.status, " after ", got.took))
				}
				group.Wait()
			})
		})
	}
}
