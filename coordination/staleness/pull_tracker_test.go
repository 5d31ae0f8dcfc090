package staleness

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against concurrent pulls, and against pulls that overload a link on which they fail.
func TestFailedPullsBackOff(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := &PullTracker[int64]{}
	g.Expect(tracker.ShouldPull(0, 3, 4, 0)).To(gomega.BeTrue())
	g.Expect(tracker.ShouldPull(0, 3, 4, 0)).To(gomega.BeFalse(), "only one pull at a time")
	var backoffs []time.Duration
	for range 6 {
		tracker.PullDone(0, false)
		backoffs = append(backoffs, tracker.nextPullAt)
	}
	g.Expect(backoffs).To(gomega.Equal([]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, maxPullBackoff, maxPullBackoff, maxPullBackoff}))
	tracker.PullDone(0, true)
	g.Expect(tracker.nextPullAt).To(gomega.Equal(MinPullBackoff))
}
