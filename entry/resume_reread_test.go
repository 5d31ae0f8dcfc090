package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a watching node that doesn't count as one that watches the store without failures for up
// to fullReadInterval after the process was suspended, because nothing requests the read that ends this.
func TestNodeWatchesHealthilySoonAfterASuspension(t *testing.T) {
	runReread(t, func(s *rereadScenario) {
		s.node.handleResume(3 * time.Second)
		resumedAt := s.directory.now()
		isHealthy := func() bool {
			s.node.mutex.Lock()
			defer s.node.mutex.Unlock()
			return s.node.watchHealthy
		}
		for !isHealthy() {
			time.Sleep(10 * time.Millisecond)
		}
		s.Expect(s.directory.now() - resumedAt).To(gomega.BeNumerically("<=", maxRereadDelay))
	})
}
