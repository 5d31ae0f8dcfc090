package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// detectableOutage is the duration of an outage that every node detects.
const detectableOutage = 8 * time.Second

// runOutage takes the store down for detectableOutage after all nodes have a large configuration,
// and then calls after.
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

// Guards against an outage after which every node reads the complete configuration, since no node
// watched the store meanwhile.
func TestNotEveryNodeReadsTheConfigurationAfterAStoreOutage(t *testing.T) {
	runOutage(t, func(s *disseminationScenario) {
		_, before := s.sentBytes()
		time.Sleep(updateLimit)
		_, after := s.sentBytes()
		sent := float64(after - before)
		t.Logf("the store sent %.1f MB within %v of the outage's end", sent/1e6, updateLimit)
		s.Expect(sent).To(gomega.BeNumerically("<", maxBytesFromStore), "bytes sent by the store within %v of the outage's end", updateLimit)
	})
}

// Guards against a change after an outage that is active too late.
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

// Guards against delayed requests while nodes read the store after an outage.
func TestPlainRequestsAreServedAfterAStoreOutage(t *testing.T) {
	runOutage(t, func(s *disseminationScenario) {
		share := s.answeredShare(s.narrowLinkNodes(requestNodes), int(updateLimit/requestInterval))
		t.Logf("answered within %v: %.1f %%", requestLimit, share*100)
		s.Expect(share).To(gomega.BeNumerically(">=", minAnsweredShare), "share of requests answered within %v", requestLimit)
	})
}
