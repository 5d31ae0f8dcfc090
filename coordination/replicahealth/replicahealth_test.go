package replicahealth

import (
	"testing"

	"github.com/onsi/gomega"
)

// Only failed connections and broken responses make a replica failing; complete responses never
// do.
func TestOnlyUnreachableAndBrokenReplicasAreFailing(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	for range 20 {
		tracker.RecordSuccess("r0")
	}
	g.Expect(tracker.Failing(0)).To(gomega.BeEmpty())
	tracker.RecordUnreachable(0, "r0")
	g.Expect(tracker.Failing(0)).To(gomega.Equal([]string{"r0"}))
	tracker.RecordSuccess("r0")
	tracker.RecordBroken(0, "r1")
	g.Expect(tracker.Failing(minBackoff)).To(gomega.BeEmpty())
	tracker.RecordBroken(minBackoff, "r1")
	g.Expect(tracker.Failing(minBackoff)).To(gomega.Equal([]string{"r1"}))
}

// Guards against requests to an unreachable replica: a broken response must not shorten the time for
// which it is avoided.
func TestBrokenResponseKeepsALongerBackoff(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	for range 5 {
		tracker.RecordUnreachable(0, "r0")
	}
	tracker.RecordBroken(0, "r0")
	g.Expect(tracker.Failing(maxBackoff - 1)).To(gomega.Equal([]string{"r0"}))
}
