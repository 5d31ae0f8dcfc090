package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against streams that are closed unfinished, or worked on by two engines for long, on courses on which engines
// fall silent and go on again and again, before the first event, in the middle and after they took over.
func TestStreamsSurviveDrawnSilences(t *testing.T) {
	const courses, pauses = 60, 14
	for seed := range uint64(courses) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSilent(t, func(s *silentScenario) {
				random := rand.New(rand.NewPCG(seed, 1))
				s.setAttempts(2 + int(seed%2))
				await := s.startStreams(silentStreams)
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				for range pauses {
					host := s.engineHosts[random.IntN(silentEngines)]
					if !s.fabric.IsPaused(host) {
						s.fabric.Pause(host)
						time.AfterFunc(time.Duration(1100+random.IntN(900))*time.Millisecond, func() { s.fabric.Resume(host) })
					}
					time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
				}
				unfinished := 0
				for _, got := range await() {
					if !isWholeStream(got) {
						unfinished++
						t.Log(got.status, got.took, len(got.body))
					}
				}
				id, shared := s.work.longest()
				for _, host := range s.engineHosts {
					s.fabric.Resume(host)
				}
				time.Sleep(2 * time.Second)
				s.Expect(unfinished).To(gomega.BeZero(), "streams that were not whole in one try, of %d", silentStreams)
				s.Expect(shared).To(gomega.BeNumerically("<=", maxSharedWork), "time for which two engines worked on %s", id)
			})
		})
	}
}
