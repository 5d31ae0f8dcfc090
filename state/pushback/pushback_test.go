package pushback

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	none       = Statement{Limit: Limit{State: LimitNone}}
	oneASecond = Statement{Limit: Limit{State: LimitNamed, PerSecond: 1}}
)

// Answers overtake each other: one to a request that was sent before the limit was heard says
// nothing of it.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	g.Expect(b.Hear(1*time.Second, 0, "r", none)).To(gomega.BeZero())
	g.Expect(b.records).To(gomega.BeEmpty(), "nothing is kept of a replica that says nothing")
	g.Expect(b.Hear(2*time.Second, 1*time.Second, "r", oneASecond).Limited).To(gomega.BeTrue())
	g.Expect(b.Hear(3*time.Second, 1*time.Second, "r", none).Limited).To(gomega.BeFalse())
	g.Expect(b.Hear(4*time.Second, 3*time.Second, "r", oneASecond).Limited).To(gomega.BeFalse(), "the same")
	g.Expect(b.Hear(6*time.Second, 5*time.Second, "r", Statement{}).Limited).To(gomega.BeFalse(), "unreadable")
	g.Expect(b.Hear(7*time.Second, 6*time.Second, "r", none).Limited).To(gomega.BeTrue())
	g.Expect(b.Hear(9*time.Second, 8*time.Second, "r", none).Limited).To(gomega.BeFalse())
}

func TestAReplicaThatLeftOnceLeavesUntilItStartsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	leaving := Statement{Leaving: true}
	g.Expect(b.Hear(time.Second, 0, "r", leaving).Left).To(gomega.BeTrue())
	g.Expect(b.Hear(2*time.Second, 0, "r", leaving).Left).To(gomega.BeFalse())
	g.Expect(b.Hear(3*time.Second, 2*time.Second, "r", none).Left).To(gomega.BeFalse())
	g.Expect(b.records["r"].leaving).To(gomega.BeTrue())
	b.Renew("r")
	g.Expect(b.records).To(gomega.BeEmpty())
}

// An entry that lapsed while the store was away may come back.
func TestWhatAReplicaSaidOutlivesItsEntryForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	b.Hear(time.Second, 0, "r", Statement{Leaving: true})
	b.Hear(time.Second, 0, "known", Statement{Leaving: true})
	isKnown := func(id string) bool { return id == "known" }
	b.Forget(memory, isKnown)
	g.Expect(b.records).To(gomega.HaveLen(2))
	b.Forget(memory+2*time.Second, isKnown)
	g.Expect(b.records).To(gomega.HaveLen(1))
}
