package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// longOutage is long enough for every node to notice.
const detectableOutage = 8 * time.Second

// playOutage makes the store refuse every call of nodes that know a large configuration,
// and lets it come back.
func runOutage(t *testing.T, after func(s *disseminationScenario)) {
	t.Helper()
	runDissemination(t, func(s *disseminationScenario) {
		s.addRoutes(versionCount * routesPerVersion)
		s.writeConfiguration()
		time.Sleep(updateWatchTime)
		s.Expect(s.delaysUntilActive(s.version)).To(gomega.HaveLen(disseminationNodes))
		s.deployment.Store.SetDown(true)
		time.Sleep(detectableOutage)
		s.deployment.Store.SetDown(false)
		after(s)
	})
}

// While no node reaches the store each takes itself for the one that has to follow it.
// When it is back, not all of them may read the whole configuration that they have.
func TestNotEveryNodeReadsTheConfigurationAfterAStoreOutage(t *testing.T) {
	runOutage(t, func(s *disseminationScenario) {
		_, before := s.sentBytes()
		time.Sleep(updateLimit)
		_, after := s.sentBytes()
		sent := float64(after - before)
		t.Logf("the store sent %.1f MB within %v of being back", sent/1e6, updateLimit)
		s.Expect(sent).To(gomega.BeNumerically("<", maxBytesFromStore), "bytes the store sent within %v of being back", updateLimit)
	})
}

// A change written when the store is back must be in force in time.
func TestChangeAfterAStoreOutageReachesEveryNodeInTime(t *testing.T) {
	runOutage(t, func(s *disseminationScenario) {
		time.Sleep(500 * time.Millisecond)
		s.addedRoutes[routesPerVersion/2].Timeout++
		s.writeConfiguration()
		time.Sleep(updateWatchTime)
		found := s.delaysUntilActive(s.version)
		t.Logf("change: %s", found.describeMax())
		s.Expect(s.lateNodes("change of one route", found)).To(gomega.BeEmpty())
	})
}

// Plain requests are served as ever while the store comes back.
func TestPlainRequestsAreServedAfterAStoreOutage(t *testing.T) {
	runOutage(t, func(s *disseminationScenario) {
		share := s.answeredShare(s.narrowLinkNodes(requestNodes), int(updateLimit/requestInterval))
		t.Logf("answered within %v: %.1f %%", requestLimit, share*100)
		s.Expect(share).To(gomega.BeNumerically(">=", minAnsweredShare), "share of requests answered within %v", requestLimit)
	})
}
