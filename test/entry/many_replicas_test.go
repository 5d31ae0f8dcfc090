package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// replicaCount exceeds the replicas that the store returns in one answer.
const replicaCount = 1200

// Guards against checks for silent watches that each read the complete list of replicas.
func TestWatchChecksCostOneCallWithManyReplicas(t *testing.T) {
	const watchTime = 10 * time.Second
	runScenario(t, func(s *scenario) {
		for i := range replicaCount {
			(&platformsim.Replica{ID: fmt.Sprintf("far%04d", i), Service: "elsewhere", Address: "far:1", Zone: "east", Slots: 1}).Register(s.deployment.Store, "ready")
		}
		time.Sleep(3 * time.Second)
		before := s.deployment.Store.Calls()
		time.Sleep(watchTime)
		calls := float64(s.deployment.Store.Calls() - before)
		t.Logf("%.0f calls in %v", calls, watchTime)
		s.Expect(calls).To(gomega.BeNumerically("<=", baselineCallsPerSecond*watchTime.Seconds()))
	})
}

// Guards against a silent watch that is detected later than with few replicas.
func TestSilentWatchIsDetectedWithManyReplicas(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for i := range replicaCount {
			(&platformsim.Replica{ID: fmt.Sprintf("far%04d", i), Service: "elsewhere", Address: "far:1", Zone: "east", Slots: 1}).Register(s.deployment.Store, "ready")
		}
		time.Sleep(3 * time.Second)
		s.breakWatches()
		s.plainReplicas[0].Register(s.deployment.Store, "draining")
		time.Sleep(2 * time.Second)
		before := len(s.plainReplicas[0].Runs())
		for i := range 9 {
			s.Expect(s.do(hosts[i%3], "GET", "/safe/", nil).status).To(gomega.Equal(200))
		}
		s.Expect(s.plainReplicas[0].Runs()).To(gomega.HaveLen(before))
	})
}
