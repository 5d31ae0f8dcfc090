package zones

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
)

func TestZoneIsCutOffIfNothingComesFromItAndNoConnectionComesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	book := NewTracker()
	book.Observe(0, liveness.Heartbeat{Zone: "west", IntervalMS: 100})
	book.RecordFailure(100*time.Millisecond, "west")
	g.Expect(book.IsUnreachable("west")).To(gomega.BeFalse(), "its nodes were heard just now")
	book.RecordSuccess(200*time.Millisecond, "west")
	g.Expect(book.SilentZones(450*time.Millisecond)).To(gomega.BeEmpty(), "its replicas answered, though its nodes are silent")
	g.Expect(book.SilentZones(600 * time.Millisecond)).To(gomega.Equal([]string{"west"}))
	g.Expect(book.IsUnreachable("west")).To(gomega.BeFalse(), "silence alone proves nothing")
	book.RecordFailure(600*time.Millisecond, "west")
	g.Expect(book.IsUnreachable("west")).To(gomega.BeTrue())
	book.RecordSuccess(900*time.Millisecond, "west")
	g.Expect(book.IsUnreachable("west")).To(gomega.BeFalse())
	book.RecordFailure(2*time.Second, "west")
	book.Observe(2100*time.Millisecond, liveness.Heartbeat{Zone: "west", IntervalMS: 100})
	g.Expect(book.IsUnreachable("west")).To(gomega.BeFalse(), "a heartbeat shows the way as well")
	book.RecordFailure(3*time.Second, "east")
	g.Expect(book.IsUnreachable("east")).To(gomega.BeFalse(), "a zone without other nodes is judged by its replicas only")
}

// Where nodes are many, each one's heartbeats are rare.
func TestRareHeartbeatsAreNoSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	book := NewTracker()
	book.Observe(0, liveness.Heartbeat{Zone: "west", IntervalMS: 900})
	g.Expect(book.SilentZones(2 * time.Second)).To(gomega.BeEmpty())
	g.Expect(book.SilentZones(3 * time.Second)).To(gomega.Equal([]string{"west"}))
}

// While a large fleet starts its nodes beat often, and later only the delegates of a zone do, each now
// and then: 31,000 connections on a quiet day were trials of zones that nothing was wrong with.
func TestAZoneOfALargeFleetGoesByHowOftenItsDelegatesBeatNow(t *testing.T) {
	g := gomega.NewWithT(t)
	book := NewTracker()
	book.Observe(0, liveness.Heartbeat{Zone: "west", IntervalMS: 100})
	for at := 500 * time.Millisecond; at <= 5*time.Second; at += 500 * time.Millisecond {
		book.Observe(at, liveness.Heartbeat{Zone: "west", IntervalMS: 500, ZoneLive: 200})
	}
	g.Expect(book.SilentZones(5900 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(book.SilentZones(6600 * time.Millisecond)).To(gomega.Equal([]string{"west"}))
	book.Observe(7*time.Second, liveness.Heartbeat{Zone: "west", IntervalMS: 250, ZoneLive: 200})
	book.Observe(7100*time.Millisecond, liveness.Heartbeat{Zone: "west", IntervalMS: 500, ZoneLive: 200})
	g.Expect(book.SilentZones(8*time.Second)).To(gomega.Equal([]string{"west"}), "one that beats more often is missed sooner")
}
