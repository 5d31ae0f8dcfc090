package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// longList is more replicas than the store tells in one answer.
const replicaCount = 1200

// Each look whether a watch fell silent was a complete read: of 3,000 replicas fifteen calls, more than
// one each 60 ms.
func TestWatchChecksCostOneCallWithManyReplicas(t *testing.T) {
	const watched = 10 * time.Second
	runScenario(t, func(s *scenario) {
		for i := range replicaCount {
			(&platformsim.Replica{ID: fmt.Sprintf("far%04d", i), Service: "elsewhere", Address: "far:1", Zone: "east", Slots: 1}).Register(s.deployment.Store, "ready")
		}
		time.Sleep(3 * time.Second)
		before := s.deployment.Store.Calls()
		time.Sleep(watched)
		calls := float64(s.deployment.Store.Calls() - before)
		t.Logf("%.0f calls in %v", calls, watched)
		s.Expect(calls).To(gomega.BeNumerically("<=", baselineCallsPerSecond*watched.Seconds()))
	})
}

// What a silent watch misses is found as soon as with few replicas.
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
