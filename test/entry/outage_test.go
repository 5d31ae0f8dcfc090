package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// longOutage is long enough for every node to notice.
const longOutage = 8 * time.Second

// playOutage makes the store refuse every call of nodes that know a large configuration,
// and lets it come back.
func playOutage(t *testing.T, after func(s *newsScene)) {
	t.Helper()
	playNews(t, func(s *newsScene) {
		s.add(largeVersions * routesAdded)
		s.write()
		time.Sleep(newsWatched)
		s.Expect(s.inForce(s.version)).To(gomega.HaveLen(newsNodes))
		s.lab.Store.SetDown(true)
		time.Sleep(longOutage)
		s.lab.Store.SetDown(false)
		after(s)
	})
}

// While no node reaches the store each takes itself for the one that has to follow it.
// When it is back, not all of them may read the whole configuration that they have.
func TestStoreThatIsBackIsNotReadWholeByEveryNode(t *testing.T) {
	playOutage(t, func(s *newsScene) {
		_, before := s.sent()
		time.Sleep(newsLimit)
		_, after := s.sent()
		sent := float64(after - before)
		t.Logf("the store sent %.1f MB within %v of being back", sent/1e6, newsLimit)
		s.Expect(sent).To(gomega.BeNumerically("<", bytesFromStore), "bytes the store sent within %v of being back", newsLimit)
	})
}

// A change written when the store is back must be in force in time.
func TestChangeAfterAnOutageOfTheStoreReachesEveryNodeInTime(t *testing.T) {
	playOutage(t, func(s *newsScene) {
		time.Sleep(500 * time.Millisecond)
		s.added[routesAdded/2].Timeout++
		s.write()
		time.Sleep(newsWatched)
		found := s.inForce(s.version)
		t.Logf("change: %s", found.worst())
		s.Expect(s.late("change of one route", found)).To(gomega.BeEmpty())
	})
}

// Plain requests are served as ever while the store comes back.
func TestPlainRequestsAreAnsweredWhileTheStoreComesBack(t *testing.T) {
	playOutage(t, func(s *newsScene) {
		share := s.ask(s.narrow(requestNodes), int(newsLimit/requestGap))
		t.Logf("answered within %v: %.1f %%", requestLimit, share*100)
		s.Expect(share).To(gomega.BeNumerically(">=", leastAnswered), "share of requests answered within %v", requestLimit)
	})
}
