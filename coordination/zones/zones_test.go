package zones

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
)

// Guards against taking a zone for unreachable on silence or a failed connection alone, or for
// longer than it is.
func TestZoneIsUnreachableIfItIsSilentAndAConnectionFails(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	tracker.Observe(0, liveness.Heartbeat{Zone: "west", IntervalMS: 100})
	tracker.RecordFailure(100*time.Millisecond, "west")
	g.Expect(tracker.IsUnreachable("west")).To(gomega.BeFalse(), "its nodes sent heartbeats recently")
	tracker.RecordSuccess(200*time.Millisecond, "west")
	g.Expect(tracker.SilentZones(450*time.Millisecond)).To(gomega.BeEmpty(), "its replicas responded recently, though its nodes are silent")
	g.Expect(tracker.SilentZones(600 * time.Millisecond)).To(gomega.Equal([]string{"west"}))
	g.Expect(tracker.IsUnreachable("west")).To(gomega.BeFalse(), "silence alone is not sufficient")
	tracker.RecordFailure(600*time.Millisecond, "west")
	g.Expect(tracker.IsUnreachable("west")).To(gomega.BeTrue())
	tracker.RecordSuccess(900*time.Millisecond, "west")
	g.Expect(tracker.IsUnreachable("west")).To(gomega.BeFalse())
	tracker.RecordFailure(2*time.Second, "west")
	tracker.Observe(2100*time.Millisecond, liveness.Heartbeat{Zone: "west", IntervalMS: 100})
	g.Expect(tracker.IsUnreachable("west")).To(gomega.BeFalse(), "a heartbeat shows that the zone is reachable")
	tracker.RecordFailure(3*time.Second, "east")
	g.Expect(tracker.IsUnreachable("east")).To(gomega.BeFalse(), "a zone that sent no heartbeats is never unreachable")
}

// Guards against taking a zone for silent because its nodes send rare heartbeats, as those of a
// large fleet do.
func TestRareHeartbeatsAreNotSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	tracker.Observe(0, liveness.Heartbeat{Zone: "west", IntervalMS: 900})
	g.Expect(tracker.SilentZones(2 * time.Second)).To(gomega.BeEmpty())
	g.Expect(tracker.SilentZones(3 * time.Second)).To(gomega.Equal([]string{"west"}))
}

// Guards against applying the short interval of the fleet's start to a zone whose delegates now
// send heartbeats less often: each node would test the zone all the time.
func TestSilenceOfALargeZoneFollowsTheCurrentIntervalOfItsDelegates(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	tracker.Observe(0, liveness.Heartbeat{Zone: "west", IntervalMS: 100})
	for at := 500 * time.Millisecond; at <= 5*time.Second; at += 500 * time.Millisecond {
		tracker.Observe(at, liveness.Heartbeat{Zone: "west", IntervalMS: 500, ZoneLive: 200})
	}
	g.Expect(tracker.SilentZones(5900 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(tracker.SilentZones(6600 * time.Millisecond)).To(gomega.Equal([]string{"west"}))
	tracker.Observe(7*time.Second, liveness.Heartbeat{Zone: "west", IntervalMS: 250, ZoneLive: 200})
	tracker.Observe(7100*time.Millisecond, liveness.Heartbeat{Zone: "west", IntervalMS: 500, ZoneLive: 200})
	g.Expect(tracker.SilentZones(8*time.Second)).To(gomega.Equal([]string{"west"}), "the shorter of two recent intervals applies")
}
