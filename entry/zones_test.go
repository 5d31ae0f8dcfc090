package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
)

func TestZoneIsCutOffIfNothingComesFromItAndNoConnectionComesUp(t *testing.T) {
	g := gomega.NewWithT(t)
	book := newZoneBook()
	book.heard(0, liveness.Beat{Zone: "west", Interval: 100})
	book.failed(100*time.Millisecond, "west")
	g.Expect(book.isCut("west")).To(gomega.BeFalse(), "its nodes were heard just now")
	book.answered(200*time.Millisecond, "west")
	g.Expect(book.suspects(450*time.Millisecond)).To(gomega.BeEmpty(), "its replicas answered, though its nodes are silent")
	g.Expect(book.suspects(600 * time.Millisecond)).To(gomega.Equal([]string{"west"}))
	g.Expect(book.isCut("west")).To(gomega.BeFalse(), "silence alone proves nothing")
	book.failed(600*time.Millisecond, "west")
	g.Expect(book.isCut("west")).To(gomega.BeTrue())
	book.answered(900*time.Millisecond, "west")
	g.Expect(book.isCut("west")).To(gomega.BeFalse())
	book.failed(2*time.Second, "west")
	book.heard(2100*time.Millisecond, liveness.Beat{Zone: "west", Interval: 100})
	g.Expect(book.isCut("west")).To(gomega.BeFalse(), "a heartbeat shows the way as well")
	book.failed(3*time.Second, "east")
	g.Expect(book.isCut("east")).To(gomega.BeFalse(), "a zone without other nodes is judged by its replicas only")
}

// Where nodes are many, each one's heartbeats are rare.
func TestRareHeartbeatsAreNoSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	book := newZoneBook()
	book.heard(0, liveness.Beat{Zone: "west", Interval: 900})
	g.Expect(book.suspects(2 * time.Second)).To(gomega.BeEmpty())
	g.Expect(book.suspects(3 * time.Second)).To(gomega.Equal([]string{"west"}))
}
