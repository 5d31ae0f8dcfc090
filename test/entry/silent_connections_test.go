package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Open connections may fall silent for good while new ones work: those to the scheduling
// node, to replicas and to the store. Callers should lose no more than the second in which
// this is found out.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	const (
		found  = time.Second
		rounds = 20
		gap    = 100 * time.Millisecond
	)
	runScenario(t, func(s *scenario) {
		ask := func(kind string) (late int) {
			var group sync.WaitGroup
			var mutex sync.Mutex
			for range rounds {
				for _, node := range hosts {
					group.Go(func() {
						got := s.do(node, http.MethodPost, kind, nil)
						mutex.Lock()
						defer mutex.Unlock()
						if got.status != http.StatusOK || got.took > found {
							late++
						}
					})
				}
				time.Sleep(gap)
			}
			group.Wait()
			return late
		}
		s.Expect(ask("/once/")).To(gomega.BeZero(), "late before the silence")
		s.fabric.Silence()
		var first sync.WaitGroup
		for _, node := range hosts {
			first.Go(func() { _ = s.do(node, http.MethodPost, "/once/", nil) })
		}
		time.Sleep(found)
		s.Expect(ask("/once/")).To(gomega.BeZero(), "late a second after connections fell silent")
		first.Wait()
	})
}

// News of the store goes on though the watch and the resting connections fell silent.
func TestConfigurationReachesNodesWithSilentStoreConnections(t *testing.T) {
	const limit = 3 * time.Second
	runScenario(t, func(s *scenario) {
		s.fabric.Silence()
		time.Sleep(100 * time.Millisecond)
		s.configure(nil)
		time.Sleep(limit)
		for _, node := range hosts {
			s.Expect(s.deployment.Node(node).Status().Version).To(gomega.Equal(s.version), node)
		}
	})
}
