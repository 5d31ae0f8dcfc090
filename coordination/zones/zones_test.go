package zones

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
)

func TestZoneIsCutOffIfNothingComesFromItAndNoConnectionComesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	book := NewBook()
	book.Heard(0, liveness.Beat{Zone: "west", Interval: 100})
	book.Failed(100*time.Millisecond, "west")
	g.Expect(book.IsCut("west")).To(gomega.BeFalse(), "its nodes were heard just now")
	book.Answered(200*time.Millisecond, "west")
	g.Expect(book.Suspects(450*time.Millisecond)).To(gomega.BeEmpty(), "its replicas answered, though its nodes are silent")
	g.Expect(book.Suspects(600 * time.Millisecond)).To(gomega.Equal([]string{"west"}))
	g.Expect(book.IsCut("west")).To(gomega.BeFalse(), "silence alone proves nothing")
	book.Failed(600*time.Millisecond, "west")
	g.Expect(book.IsCut("west")).To(gomega.BeTrue())
	book.Answered(900*time.Millisecond, "west")
	g.Expect(book.IsCut("west")).To(gomega.BeFalse())
	book.Failed(2*time.Second, "west")
	book.Heard(2100*time.Millisecond, liveness.Beat{Zone: "west", Interval: 100})
	g.Expect(book.IsCut("west")).To(gomega.BeFalse(), "a heartbeat shows the way as well")
	book.Failed(3*time.Second, "east")
	g.Expect(book.IsCut("east")).To(gomega.BeFalse(), "a zone without other nodes is judged by its replicas only")
}

// Where nodes are many, each one's heartbeats are rare.
func TestRareHeartbeatsAreNoSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	book := NewBook()
	book.Heard(0, liveness.Beat{Zone: "west", Interval: 900})
	g.Expect(book.Suspects(2 * time.Second)).To(gomega.BeEmpty())
	g.Expect(book.Suspects(3 * time.Second)).To(gomega.Equal([]string{"west"}))
}

// While a large fleet starts its nodes beat often, and later only the delegates of a zone do, each now
// and then: 31,000 connections on a quiet day were trials of zones that nothing was wrong with.
func TestAZoneOfALargeFleetGoesByHowOftenItsDelegatesBeatNow(t *testing.T) {
	g := gomega.NewWithT(t)
	book := NewBook()
	book.Heard(0, liveness.Beat{Zone: "west", Interval: 100})
	for at := 500 * time.Millisecond; at <= 5*time.Second; at += 500 * time.Millisecond {
		book.Heard(at, liveness.Beat{Zone: "west", Interval: 500, ZoneLive: 200})
	}
	g.Expect(book.Suspects(5900 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(book.Suspects(6600 * time.Millisecond)).To(gomega.Equal([]string{"west"}))
	book.Heard(7*time.Second, liveness.Beat{Zone: "west", Interval: 250, ZoneLive: 200})
	book.Heard(7100*time.Millisecond, liveness.Beat{Zone: "west", Interval: 500, ZoneLive: 200})
	g.Expect(book.Suspects(8*time.Second)).To(gomega.Equal([]string{"west"}), "one that beats more often is missed sooner")
}
