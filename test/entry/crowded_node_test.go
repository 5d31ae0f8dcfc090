package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// crowdShare is the share of the new connections that one node gets, and crowdRate how many more there are.
	crowdShare, crowdRate = 0.9, 1.5
	calmRate              = 100
	// crowdGraceTime is the time from which on callers must be served as before, and minCrowdShare the least share
	// of requests that are served on their first try, in relation to the time before.
	crowdGraceTime = 3 * time.Second
	minCrowdShare  = 0.75
)

// crowdTries sends requests on new connections for the duration, the crowd's share of them to one node and the
// others to all, and returns the tries from crowdGraceTime on.
func crowdTries(s *pathScenario, crowded string, others []string, rate float64, duration time.Duration) firstTries {
	var group sync.WaitGroup
	var mutex sync.Mutex
	var tries firstTries
	started := time.Now()
	for i := 0; time.Since(started) < duration; i++ {
		node, path := others[i%len(others)], mixedPaths[i%len(mixedPaths)]
		if crowded != "" && float64(i%100) < crowdShare*100 {
			node = crowded
		}
		sent := time.Since(started)
		group.Go(func() {
			got := s.do(node, http.MethodPost, path, nil)
			mutex.Lock()
			defer mutex.Unlock()
			if sent < crowdGraceTime {
				return
			}
			tries.sent++
			if got.status == http.StatusOK && got.complete {
				tries.served++
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	group.Wait()
	return tries
}

// Guards against callers that are served less while most new connections go to one node, be it the scheduling node
// or another, and then to a second one when the first is out.
func TestCallersOfACrowdedNodeAreServedAsBefore(t *testing.T) {
	for _, schedules := range []bool{true, false} {
		runPathScenario(t, func(s *pathScenario) {
			before := crowdTries(s, "", fleetHosts, calmRate, 8*time.Second)
			scheduler := s.deployment.Node(fleetHosts[0]).Status().Scheduler
			var first, second string
			var others []string
			for _, host := range fleetHosts {
				switch {
				case first == "" && (host == scheduler) == schedules:
					first = host
				case second == "" && host != scheduler:
					second = host
				default:
					others = append(others, host)
				}
			}
			crowd := crowdTries(s, first, others, calmRate*crowdRate, 8*time.Second)
			s.deployment.Node(first).Kill()
			moved := crowdTries(s, second, others, calmRate*crowdRate, 8*time.Second)
			t.Logf("served on the first try: %d of %d before, %d of %d at the crowded node, %d of %d once the crowd has moved", before.served, before.sent, crowd.served, crowd.sent, moved.served, moved.sent)
			for _, tries := range []firstTries{crowd, moved} {
				s.Expect(tries.servedShare()).To(gomega.BeNumerically(">=", minCrowdShare*before.servedShare()))
			}
		})
	}
}
