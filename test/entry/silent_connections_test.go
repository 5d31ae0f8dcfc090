package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against requests that are late for more than a second after all open connections fell
// silent while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	const (
		detectionLimit = time.Second
		rounds         = 20
		interval       = 100 * time.Millisecond
	)
	runScenario(t, func(s *scenario) {
		countLate := func(path string) (late int) {
			var group sync.WaitGroup
			var mutex sync.Mutex
			for range rounds {
				for _, node := range hosts {
					group.Go(func() {
						got := s.do(node, http.MethodPost, path, nil)
						mutex.Lock()
						defer mutex.Unlock()
						if got.status != http.StatusOK || got.took > detectionLimit {
							late++
						}
					})
				}
				time.Sleep(interval)
			}
			group.Wait()
			return late
		}
		s.Expect(countLate("/once/")).To(gomega.BeZero(), "late requests before connections fell silent")
		s.fabric.DropOnOpenConnections()
		var first sync.WaitGroup
		for _, node := range hosts {
			first.Go(func() { _ = s.do(node, http.MethodPost, "/once/", nil) })
		}
		time.Sleep(detectionLimit)
		s.Expect(countLate("/once/")).To(gomega.BeZero(), "late requests a second after connections fell silent")
		first.Wait()
	})
}

// Guards against a configuration that is missed because the watch and the idle connections to the
// store fell silent.
func TestConfigurationReachesNodesWithSilentStoreConnections(t *testing.T) {
	const limit = 3 * time.Second
	runScenario(t, func(s *scenario) {
		s.fabric.DropOnOpenConnections()
		time.Sleep(100 * time.Millisecond)
		s.configure(nil)
		time.Sleep(limit)
		for _, node := range hosts {
			s.Expect(s.deployment.Node(node).Status().Version).To(gomega.Equal(s.version), node)
		}
	})
}
