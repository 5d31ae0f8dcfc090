package incarnations

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a process that is taken to have run while another one was at its address: without a start, two processes of
// one version count as one incarnation.
func TestReplicaWithoutAStartRanOnlyWhileConnectionsShowIt(t *testing.T) {
	unstated := Incarnation{Replica: "r", Version: "v1"}
	first := structs.Instant(20 * time.Second)
	type times struct{ openedAt, aliveAt time.Duration }
	for name, testCase := range map[string]struct {
		alive    []times
		isKnown  bool
		from, to time.Duration
	}{
		"no connection":                           {nil, false, 0, 0},
		"one connection":                          {[]times{{0, 9 * time.Second}}, true, 0, 9 * time.Second},
		"they overlap":                            {[]times{{0, 9 * time.Second}, {5 * time.Second, 12 * time.Second}}, true, 0, 12 * time.Second},
		"one follows at once":                     {[]times{{0, 9 * time.Second}, {9*time.Second + minReplacementTime, 12 * time.Second}}, true, 0, 12 * time.Second},
		"one follows after a break":               {[]times{{0, 9 * time.Second}, {9*time.Second + minReplacementTime + 1, 12 * time.Second}}, true, 9*time.Second + minReplacementTime + 1, 12 * time.Second},
		"an idle one bridges the break":           {[]times{{0, 9 * time.Second}, {10 * time.Second, 11 * time.Second}, {time.Second, 12 * time.Second}}, true, time.Second, 12 * time.Second},
		"a read that is told late":                {[]times{{5 * time.Second, 9 * time.Second}, {0, 2 * time.Second}}, true, 5 * time.Second, 9 * time.Second},
		"a read that is told late, of an overlap": {[]times{{5 * time.Second, 9 * time.Second}, {0, 6 * time.Second}}, true, 0, 9 * time.Second},
		"alive before it was opened":              {[]times{{5 * time.Second, 4 * time.Second}}, false, 0, 0},
		"a successor may have started before":     {[]times{{15 * time.Second, 19 * time.Second}}, false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := NewTracker()
			observeSteadily(tracker, 0, first)
			for _, alive := range testCase.alive {
				tracker.Alive(alive.aliveAt, Connection{unstated, alive.openedAt}, true)
			}
			since, until, isKnown := tracker.Ran(unstated, true)
			g.Expect(isKnown).To(gomega.Equal(testCase.isKnown))
			if isKnown {
				g.Expect([]time.Duration{since, until}).To(gomega.Equal([]time.Duration{testCase.from, testCase.to}))
			}
			tracker.Forget(func(Incarnation) bool { return false })
			g.Expect(tracker.rows).To(gomega.BeEmpty())
		})
	}
}

// Guards against a row of connections that is taken for one to the incarnation as an answer came before it began or after
// it broke.
func TestRowIsProvenByWhatItCovers(t *testing.T) {
	for name, testCase := range map[string]struct {
		at       time.Duration
		isProven bool
	}{
		"before": {4 * time.Second, false}, "within": {7 * time.Second, true}, "after": {11 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tracker := NewTracker()
			unstated := Incarnation{Replica: "r", Version: "v1"}
			tracker.Alive(10*time.Second, Connection{unstated, 5 * time.Second}, false)
			tracker.ConfirmByReport(testCase.at, unstated)
			_, _, isKnown := tracker.Ran(unstated, false)
			g.Expect(isKnown).To(gomega.Equal(testCase.isProven))
		})
	}
}
