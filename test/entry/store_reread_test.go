package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Guards against a restore and an outage of the store that leave no trace in the event log of
// which complete reads they called for, and which of them were made.
func TestEventLogShowsRequestedReadsOfTheStore(t *testing.T) {
	runRestore(t, func(s *restoreScenario) {
		s.restore(time.Second)
		s.repeatWritesAfterDelay()
		time.Sleep(restoreWindow)
		found := map[string]map[string][]eventlog.Event{"requested": {}, "done": {}}
		for _, event := range s.loggedEvents("store.reread") {
			t.Logf("%d ms: %s %s %s, era %d, age %d ms, %s", event.Uptime, event.Node, event.Outcome, event.Reason, event.Era, event.AgeMS, event.Detail)
			s.Expect(found).To(gomega.HaveKey(event.Outcome))
			found[event.Outcome][event.Reason] = append(found[event.Outcome][event.Reason], event)
		}
		for _, reason := range []string{"new-era", "restore-window-ended"} {
			s.Expect(found["requested"][reason]).To(gomega.HaveLen(len(hosts)), "one request of each node: %s", reason)
			s.Expect(found["requested"][reason]).To(gomega.HaveEach(gomega.HaveField("Era", int64(2))))
		}
		s.Expect(found["requested"]["store-failed"]).NotTo(gomega.BeEmpty())
		for _, reason := range []string{"new-era", "restore-window-ended", "store-failed"} {
			s.Expect(found["done"][reason]).NotTo(gomega.BeEmpty(), "reads requested: %s", reason)
			s.Expect(found["done"][reason]).To(gomega.HaveEach(gomega.HaveField("Era", int64(2))))
		}
	})
}
