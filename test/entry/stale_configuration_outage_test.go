package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// outage is how long the store can't be reached.
const storeOutage = 20 * time.Second

// The only node that has read a newer version may end before it could send it on, and
// the store fail at the same moment. Nobody can have the version then until the store is
// back, and all go on by what they know, as they do in any outage of the store.
func TestNodesServeWhenNoLiveNodeHasTheNewerConfiguration(t *testing.T) {
	runScenario(t, func(s *scenario) {
		first := s.scheduler() // which also reads the store for the others
		time.Sleep(time.Second)
		for _, other := range s.followers() {
			s.fabric.Cut(other, first) // its heartbeats arrive and nobody can ask it
			s.fabric.Cut("store", other)
			s.fabric.Cut(other, "store")
		}
		s.configure(nil)
		time.Sleep(100 * time.Millisecond)
		s.Expect(s.deployment.Node(first).Status().Version).To(gomega.Equal(s.version))
		s.deployment.Node(first).Kill()
		refused, served := 0, 0
		for begun := time.Now(); time.Since(begun) < storeOutage; time.Sleep(200 * time.Millisecond) {
			for _, node := range s.followers() {
				got := s.do(node, http.MethodGet, "/safe/", nil)
				switch got.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
				}
			}
		}
		t.Logf("%d requests served and %d refused in %v", served, refused, storeOutage)
		s.Expect(served).To(gomega.BeNumerically(">", 9*refused))
	})
}
