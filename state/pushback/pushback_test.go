package pushback

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	testIncarnation = Incarnation{Replica: "r", StartedAt: 1}
	noLimit         = Signals{Limit: Limit{State: LimitNone}}
	onePerSecond    = Signals{Limit: Limit{State: LimitSet, PerSecond: 1}}
)

// Guards against a limit that is ended by a response to a request sent before the limit was received.
func TestOnlyALaterResponseEndsALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	g.Expect(tracker.Observe(1*time.Second, 0, testIncarnation, noLimit)).To(gomega.BeZero())
	g.Expect(tracker.states).To(gomega.BeEmpty(), "replicas without signals have no state")
	g.Expect(tracker.Observe(2*time.Second, 1*time.Second, testIncarnation, onePerSecond).LimitChanged).To(gomega.BeTrue())
	g.Expect(tracker.Observe(3*time.Second, 1*time.Second, testIncarnation, noLimit).LimitChanged).To(gomega.BeFalse())
	g.Expect(tracker.Observe(4*time.Second, 3*time.Second, testIncarnation, onePerSecond).LimitChanged).To(gomega.BeFalse(), "the same limit")
	g.Expect(tracker.Observe(6*time.Second, 5*time.Second, testIncarnation, Signals{}).LimitChanged).To(gomega.BeFalse(), "unreadable")
	g.Expect(tracker.Observe(7*time.Second, 6*time.Second, testIncarnation, noLimit).LimitChanged).To(gomega.BeTrue())
	g.Expect(tracker.Observe(9*time.Second, 8*time.Second, testIncarnation, noLimit).LimitChanged).To(gomega.BeFalse())
}

// Guards against a leaving replica that gets requests again before it has started anew.
func TestLeavingIsKeptForOneIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	leaving := Signals{Leaving: true}
	g.Expect(tracker.Observe(time.Second, 0, testIncarnation, leaving).StartedLeaving).To(gomega.BeTrue())
	g.Expect(tracker.Observe(2*time.Second, 0, testIncarnation, leaving).StartedLeaving).To(gomega.BeFalse())
	g.Expect(tracker.Observe(3*time.Second, 2*time.Second, testIncarnation, noLimit).StartedLeaving).To(gomega.BeFalse())
	g.Expect(tracker.IsLeaving(testIncarnation)).To(gomega.BeTrue())
	g.Expect(tracker.IsLeaving(Incarnation{Replica: testIncarnation.Replica, StartedAt: 2})).To(gomega.BeFalse())
}

// Guards against signals that are lost while a replica's entry is missing because of a store outage.
func TestSignalsOutliveTheEntryForTheRetention(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	tracker.Observe(time.Second, 0, testIncarnation, Signals{Leaving: true})
	tracker.Observe(time.Second, 0, Incarnation{Replica: "known"}, Signals{Leaving: true})
	isKnown := func(incarnation Incarnation) bool { return incarnation.Replica == "known" }
	tracker.Sweep(retention, isKnown)
	g.Expect(tracker.states).To(gomega.HaveLen(2))
	tracker.Sweep(retention+2*time.Second, isKnown)
	g.Expect(tracker.states).To(gomega.HaveLen(1))
}

// Guards against a pause that is ended by an older response, and against a burst of requests after it:
// until a probe succeeds, only one request at a time is sent.
func TestOneRequestAtATimeProbesAfterAPause(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	pause := Signals{Limit: noLimit.Limit, Pause: 3 * time.Second}
	g.Expect(tracker.Observe(time.Second, 0, testIncarnation, pause).PauseRequested).To(gomega.BeTrue())
	tracker.Observe(2*time.Second, 500*time.Millisecond, testIncarnation, noLimit)
	g.Expect(tracker.PauseLeft(2*time.Second, testIncarnation)).To(gomega.Equal(2*time.Second), "the response is to an older request")
	g.Expect(tracker.PauseLeft(4*time.Second, testIncarnation)).To(gomega.BeZero())
	tracker.Sent(4*time.Second, testIncarnation)
	g.Expect(tracker.PauseLeft(4*time.Second, testIncarnation)).To(gomega.Equal(probeTimeout), "a probe is in flight")
	g.Expect(tracker.Reports(4*time.Second, func(Incarnation) bool { return true })).To(gomega.HaveLen(1))
	g.Expect(tracker.PauseLeft(4*time.Second+probeTimeout, testIncarnation)).To(gomega.BeZero(), "the probe timed out")
	tracker.Sent(6*time.Second, testIncarnation)
	tracker.Observe(6100*time.Millisecond, 6*time.Second, testIncarnation, noLimit)
	g.Expect(tracker.PauseLeft(6100*time.Millisecond, testIncarnation)).To(gomega.BeZero())
	g.Expect(tracker.Reports(6100*time.Millisecond, func(Incarnation) bool { return true })).To(gomega.BeEmpty())
}
