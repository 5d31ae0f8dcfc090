package entry

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Streams whose engines fall silent in their middle and go on later.

const (
	silentStreams      = 24
	silentEngines      = 8
	silentEngineSlots  = 4
	silentEngineEvents = 20
	silentEngineStep   = 60 * time.Millisecond
	// silenceAt is the time from the start of the streams to the silence of their engines, and silentDeadline that to
	// their deadline.
	silenceAt      = 400 * time.Millisecond
	silentDeadline = 8 * time.Second
	// maxSharedWork is how long two engines may work on one stream at the same time.
	maxSharedWork = 400 * time.Millisecond
)

// silentScenario is a scenario with engines for streams that can go on elsewhere.
type silentScenario struct {
	*scenario
	engineHosts []string
	work        workObserver
}

// runSilent starts the engines, which have a few more slots than there are streams, and runs the test.
func runSilent(t *testing.T, test func(s *silentScenario)) {
	t.Helper()
	runScenario(t, func(base *scenario) {
		s := &silentScenario{scenario: base}
		for _, replica := range s.engines {
			replica.Crash()
			s.deployment.Store.Delete("servers/" + replica.ID)
		}
		s.engines = nil
		s.configure(func(configuration *entrylab.Configuration) {
			for i := range configuration.Routes {
				configuration.Routes[i].Timeout = int(silentDeadline.Milliseconds())
			}
		})
		for i := range silentEngines {
			host := fmt.Sprint("s", i)
			replica := &platformsim.Replica{ID: "i-" + host, Service: "engines", Zone: "east", Version: "v1", Slots: silentEngineSlots, Events: silentEngineEvents, Step: silentEngineStep}
			s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
			s.engines, s.engineHosts = append(s.engines, replica), append(s.engineHosts, host)
		}
		time.Sleep(time.Second)
		stop := s.work.observe(s.engines, s.fabric.IsPaused)
		defer stop()
		test(s)
	})
}

// workObserver looks regularly for how long several engines have been working on one stream.
type workObserver struct {
	mutex  sync.Mutex
	shared map[string]time.Duration
}

// workInterval is the time between two looks.
const workInterval = 10 * time.Millisecond

// observe looks until the returned function is called. An engine that is paused does no work.
func (w *workObserver) observe(engines []*platformsim.Replica, isPaused func(host string) bool) (stop func()) {
	w.shared = map[string]time.Duration{}
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(workInterval):
				w.look(engines, isPaused)
			}
		}
	}()
	return func() { close(ended) }
}

func (w *workObserver) look(engines []*platformsim.Replica, isPaused func(host string) bool) {
	working := map[string]int{}
	for _, engine := range engines {
		host, _, err := net.SplitHostPort(engine.Address)
		if err != nil || isPaused(host) {
			continue
		}
		for _, run := range engine.Unfinished() {
			working[run.ID]++
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, count := range working {
		if count > 1 {
			w.shared[id] += workInterval
		}
	}
}

// longest returns the stream on which two engines worked at the same time for longest.
func (w *workObserver) longest() (id string, shared time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for stream, duration := range w.shared {
		if duration > shared {
			id, shared = stream, duration
		}
	}
	return id, shared
}

// startStreams starts resumable streams at all nodes in turn. The returned function waits for their replies.
func (s *silentScenario) startStreams(count int) func() []reply {
	replies := make([]reply, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			replies[i] = s.do(hosts[i%len(hosts)], http.MethodPost, "/resume/", func(request *http.Request) {
				request.Header.Set("X-Deadline-Ms", strconv.FormatInt(silentDeadline.Milliseconds(), 10))
			})
		})
	}
	return func() []reply {
		group.Wait()
		return replies
	}
}

// isWholeStream reports whether the reply has each event of the stream once, in order.
func isWholeStream(got reply) bool {
	if got.status != http.StatusOK || !got.complete {
		return false
	}
	events := platformsim.ReadEvents(got.body)
	return events.LastID == silentEngineEvents && events.Count == silentEngineEvents
}

// silence pauses the hosts for the time, from silenceAt on.
func (s *silentScenario) silence(silentHosts []string, silentFor time.Duration) {
	time.Sleep(silenceAt)
	for _, host := range silentHosts {
		s.fabric.Pause(host)
	}
	time.Sleep(silentFor)
	for _, host := range silentHosts {
		s.fabric.Resume(host)
	}
}

// Guards against streams that are closed unfinished while their healthy engines are silent and then go on: silence
// may have a node look for another engine, but the stream may only end with the engine that has it.
func TestStreamsSurviveTheSilenceOfTheirEngines(t *testing.T) {
	for _, silentFor := range []time.Duration{time.Second, 1300 * time.Millisecond, 1600 * time.Millisecond, 1900 * time.Millisecond, 2500 * time.Millisecond} {
		for _, silent := range []int{2, 6, 8} {
			for _, isSchedulerSilent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v, %d of %d engines, scheduling node too %v", silentFor, silent, silentEngines, isSchedulerSilent), func(t *testing.T) {
					runSilent(t, func(s *silentScenario) {
						silentHosts := s.engineHosts[:silent]
						if isSchedulerSilent {
							silentHosts = append([]string{s.scheduler()}, silentHosts...)
						}
						await := s.startStreams(silentStreams)
						s.silence(silentHosts, silentFor)
						unfinished := 0
						for _, got := range await() {
							if !isWholeStream(got) {
								unfinished++
							}
						}
						s.Expect(unfinished).To(gomega.BeZero(), "streams that were not whole in one try, of %d", silentStreams)
						id, shared := s.work.longest()
						s.Expect(shared).To(gomega.BeNumerically("<=", maxSharedWork), "time for which two engines worked on %s", id)
					})
				})
			}
		}
	}
}

// maxReplacementTime is the time in which streams of engines that stay silent must be whole: their own time, the wait
// for the silent engine and a second for the choice of another one.
const maxReplacementTime = silentEngineEvents*silentEngineStep + 1500*time.Millisecond + time.Second

// Guards against streams that wait for an engine that stays silent while others are free.
func TestStreamsGoOnWithoutEnginesThatStaySilent(t *testing.T) {
	for _, silent := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of %d engines", silent, silentEngines), func(t *testing.T) {
			runSilent(t, func(s *silentScenario) {
				await := s.startStreams(silentStreams)
				time.Sleep(silenceAt)
				for _, host := range s.engineHosts[:silent] {
					s.fabric.Pause(host)
				}
				for _, got := range await() {
					s.Expect(isWholeStream(got)).To(gomega.BeTrue())
					s.Expect(got.took).To(gomega.BeNumerically("<=", maxReplacementTime))
				}
				for _, host := range s.engineHosts[:silent] {
					s.fabric.Resume(host)
				}
			})
		})
	}
}
