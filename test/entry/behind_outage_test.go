package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// outage is how long the store can't be reached.
const outage = 20 * time.Second

// The only node that has read a newer version may end before it could send it on, and
// the store fail at the same moment. Nobody can have the version then until the store is
// back, and all go on by what they know, as they do in any outage of the store.
func TestNodesServeByWhatTheyKnowWhenNobodyLivingHasTheNewerConfiguration(t *testing.T) {
	play(t, func(s *scene) {
		first := s.scheduler() // which also reads the store for the others
		time.Sleep(time.Second)
		for _, other := range s.others() {
			s.fabric.Cut(other, first) // its heartbeats arrive and nobody can ask it
			s.fabric.Cut("store", other)
			s.fabric.Cut(other, "store")
		}
		s.configure(nil)
		time.Sleep(100 * time.Millisecond)
		s.Expect(s.lab.Node(first).Status().Version).To(gomega.Equal(s.version))
		s.lab.Node(first).Kill()
		refused, served := 0, 0
		for begun := time.Now(); time.Since(begun) < outage; time.Sleep(200 * time.Millisecond) {
			for _, node := range s.others() {
				got := s.get(node, http.MethodGet, "/safe/", nil)
				switch got.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					refused++
				}
			}
		}
		t.Logf("%d requests served and %d refused in %v", served, refused, outage)
		s.Expect(served).To(gomega.BeNumerically(">", 9*refused))
	})
}
