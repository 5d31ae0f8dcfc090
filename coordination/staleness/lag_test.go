package staleness

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestPullsThatFailBecomeRarer(t *testing.T) {
	g := gomega.NewWithT(t)
	lag := &PullTracker[int64]{}
	g.Expect(lag.ShouldPull(0, 3, 4, 0)).To(gomega.BeTrue())
	g.Expect(lag.ShouldPull(0, 3, 4, 0)).To(gomega.BeFalse(), "one at a time")
	var pauses []time.Duration
	for range 6 {
		lag.PullDone(0, false)
		pauses = append(pauses, lag.next)
	}
	g.Expect(pauses).To(gomega.Equal([]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, longestPause, longestPause, longestPause}))
	lag.PullDone(0, true)
	g.Expect(lag.next).To(gomega.Equal(MinPullBackoff))
}
