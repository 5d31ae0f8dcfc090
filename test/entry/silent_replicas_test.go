package entry

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// silentTime is how long a healthy replica may be silent and then go on.
const silentTime = 1100 * time.Millisecond

// requestResult is the reply to one request of a caller.
type requestResult struct {
	id, path string
	got      reply
}

// startRequests starts the number of requests, in turn to all nodes and kinds. The returned function waits for
// their replies.
func (s *pathScenario) startRequests(count int) func() []requestResult {
	var mutex sync.Mutex
	var results []requestResult
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			id, path := "", mixedPaths[i%len(mixedPaths)]
			got := s.do(fleetHosts[i%len(fleetHosts)], http.MethodPost, path, func(r *http.Request) { id = r.Header.Get("X-Attempt-Id") })
			mutex.Lock()
			defer mutex.Unlock()
			results = append(results, requestResult{id, path, got})
		})
	}
	return func() []requestResult {
		group.Wait()
		return results
	}
}

// replicaRunning returns the host of a replica that is running a request to the path, and the IDs of all
// requests to the path that it is running.
func (s *pathScenario) replicaRunning(path string) (host string, ids []string) {
	for _, replica := range slices.Concat(s.plainReplicas, s.engines) {
		for _, run := range replica.Unfinished() {
			if run.Target == path {
				ids = append(ids, run.ID)
			}
		}
		if len(ids) > 0 {
			host, _, err := net.SplitHostPort(replica.Address)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			return host, ids
		}
	}
	s.Expect(ids).NotTo(gomega.BeEmpty(), "no replica is running a request to "+path)
	return "", nil
}

// Guards against requests that are cut off, repeated or taken for the victims of a lost path while a replica is
// silent for about a second and then goes on. Plain requests that may be repeated are tried elsewhere after a part
// of their time; all others wait.
func TestRequestsSurviveASilentSecondOfTheirReplica(t *testing.T) {
	for _, waitingPath := range []string{"/stream/", "/once/"} {
		t.Run(waitingPath, func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				pathLoad{rate: 60, duration: time.Second, callPaths: mixedPaths}.run(s, nil)
				await := s.startRequests(24)
				time.Sleep(10 * time.Millisecond)
				silent, waiting := s.replicaRunning(waitingPath)
				s.fabric.Pause(silent)
				time.Sleep(silentTime)
				s.fabric.Resume(silent)
				for _, r := range await() {
					what := fmt.Sprint(r.path, " ", r.id)
					s.Expect(r.got.status).To(gomega.Equal(http.StatusOK), what)
					s.Expect(r.got.complete).To(gomega.BeTrue(), what)
					if r.path != "/safe/" {
						s.Expect(s.runsOf(r.id)).To(gomega.HaveLen(1), what)
					}
					if slices.Contains(waiting, r.id) {
						s.Expect(r.got.took).To(gomega.BeNumerically(">", silentTime/2), what)
					}
				}
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
