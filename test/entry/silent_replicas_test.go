package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// silentTime is how long a healthy replica may be silent and then go on.
const silentTime = 1100 * time.Millisecond

// Guards against requests that are cut off, repeated or taken for the victims of a lost path while a replica is
// silent for about a second and then goes on. Plain requests that may be repeated are tried elsewhere after a part
// of their time; all others wait.
func TestRequestsSurviveASilentSecondOfTheirReplica(t *testing.T) {
	for _, silent := range []string{"e1", "p3"} {
		t.Run(silent, func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				pathLoad{rate: 60, duration: time.Second, callPaths: mixedPaths}.run(s, nil)
				type result struct {
					id, path string
					got      reply
				}
				var mutex sync.Mutex
				var results []result
				var group sync.WaitGroup
				for i := range 24 {
					group.Go(func() {
						id, path := "", mixedPaths[i%len(mixedPaths)]
						got := s.do(fleetHosts[i%len(fleetHosts)], http.MethodPost, path, func(r *http.Request) { id = r.Header.Get("X-Attempt-Id") })
						mutex.Lock()
						defer mutex.Unlock()
						results = append(results, result{id, path, got})
					})
				}
				time.Sleep(10 * time.Millisecond)
				s.fabric.Pause(silent)
				time.Sleep(silentTime)
				s.fabric.Resume(silent)
				group.Wait()
				delayed := 0
				for _, r := range results {
					what := fmt.Sprint(r.path, " ", r.id)
					s.Expect(r.got.status).To(gomega.Equal(http.StatusOK), what)
					s.Expect(r.got.complete).To(gomega.BeTrue(), what)
					if r.path != "/safe/" {
						s.Expect(s.runsOf(r.id)).To(gomega.HaveLen(1), what)
					}
					if r.got.took > silentTime/2 {
						delayed++
					}
				}
				s.Expect(delayed).To(gomega.BeNumerically(">", 0), "requests at the silent replica")
				for _, node := range fleetHosts {
					s.Expect(s.deployment.Node(node).Status().Partitioned).To(gomega.BeFalse(), node)
				}
				s.Expect(s.forwarding()).To(gomega.BeZero())
			})
		})
	}
}

// Guards against a replica that stays without requests long after it was silent for about a second.
func TestSilentReplicaIsUsedAgain(t *testing.T) {
	const limit = 5 * time.Second
	runPathScenario(t, func(s *pathScenario) {
		load := pathLoad{rate: 60, duration: time.Second, callPaths: mixedPaths}
		load.run(s, nil)
		s.fabric.Pause("e1")
		resume := time.AfterFunc(silentTime, func() { s.fabric.Resume("e1") })
		defer resume.Stop()
		load.duration = silentTime + limit
		_, tries := load.run(s, nil)
		s.Expect(tries.sent - tries.served).To(gomega.BeNumerically("<=", 2))
		before := len(s.engines[0].Runs())
		load.duration = 2 * time.Second
		load.run(s, nil)
		s.Expect(len(s.engines[0].Runs())).To(gomega.BeNumerically(">", before+5))
	})
}
