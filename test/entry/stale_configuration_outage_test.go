package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// storeOutage is the time for which no node reaches the store.
const storeOutage = 20 * time.Second

// Guards against nodes that reject requests during an outage because the only node that had
// read a newer configuration failed before it could send it.
func TestNodesServeWhenNoLiveNodeHasTheNewerConfiguration(t *testing.T) {
	runScenario(t, func(s *scenario) {
		reader := s.scheduler() // which also reads the store for the others
		time.Sleep(time.Second)
		for _, other := range s.followers() {
			s.fabric.BlockLink(other, reader) // its heartbeats arrive, and pulls from it fail
			s.fabric.BlockLink("store", other)
			s.fabric.BlockLink(other, "store")
		}
		s.configure(nil)
		time.Sleep(100 * time.Millisecond)
		s.Expect(s.deployment.Node(reader).Status().Version).To(gomega.Equal(s.version))
		s.deployment.Node(reader).Kill()
		rejected, served := 0, 0
		for started := time.Now(); time.Since(started) < storeOutage; time.Sleep(200 * time.Millisecond) {
			for _, node := range s.followers() {
				got := s.do(node, http.MethodGet, "/safe/", nil)
				switch got.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					rejected++
				}
			}
		}
		t.Logf("%d requests served and %d rejected in %v", served, rejected, storeOutage)
		s.Expect(served).To(gomega.BeNumerically(">", 9*rejected))
	})
}
