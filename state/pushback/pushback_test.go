package pushback

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	life       = Life{Replica: "r", Born: 1}
	none       = Statement{Limit: Limit{State: LimitNone}}
	oneASecond = Statement{Limit: Limit{State: LimitNamed, PerSecond: 1}}
)

// Answers overtake each other: one to a request that was sent before the limit was heard says
// nothing of it.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	g.Expect(b.Hear(1*time.Second, 0, life, none)).To(gomega.BeZero())
	g.Expect(b.records).To(gomega.BeEmpty(), "nothing is kept of a replica that says nothing")
	g.Expect(b.Hear(2*time.Second, 1*time.Second, life, oneASecond).Limited).To(gomega.BeTrue())
	g.Expect(b.Hear(3*time.Second, 1*time.Second, life, none).Limited).To(gomega.BeFalse())
	g.Expect(b.Hear(4*time.Second, 3*time.Second, life, oneASecond).Limited).To(gomega.BeFalse(), "the same")
	g.Expect(b.Hear(6*time.Second, 5*time.Second, life, Statement{}).Limited).To(gomega.BeFalse(), "unreadable")
	g.Expect(b.Hear(7*time.Second, 6*time.Second, life, none).Limited).To(gomega.BeTrue())
	g.Expect(b.Hear(9*time.Second, 8*time.Second, life, none).Limited).To(gomega.BeFalse())
}

func TestAReplicaThatLeftOnceLeavesUntilItStartsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	leaving := Statement{Leaving: true}
	g.Expect(b.Hear(time.Second, 0, life, leaving).Left).To(gomega.BeTrue())
	g.Expect(b.Hear(2*time.Second, 0, life, leaving).Left).To(gomega.BeFalse())
	g.Expect(b.Hear(3*time.Second, 2*time.Second, life, none).Left).To(gomega.BeFalse())
	g.Expect(b.IsLeaving(life)).To(gomega.BeTrue())
	g.Expect(b.IsLeaving(Life{Replica: life.Replica, Born: 2})).To(gomega.BeFalse())
}

// An entry that lapsed while the store was away may come back.
func TestWhatAReplicaSaidOutlivesItsEntryForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	b.Hear(time.Second, 0, life, Statement{Leaving: true})
	b.Hear(time.Second, 0, Life{Replica: "known"}, Statement{Leaving: true})
	isKnown := func(life Life) bool { return life.Replica == "known" }
	b.Forget(memory, isKnown)
	g.Expect(b.records).To(gomega.HaveLen(2))
	b.Forget(memory+2*time.Second, isKnown)
	g.Expect(b.records).To(gomega.HaveLen(1))
}

// A pause holds for its time, and then one request at a time finds out whether it is over.
func TestAfterAPauseOneRequestFindsOut(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBook()
	pause := Statement{Limit: none.Limit, Pause: 3 * time.Second}
	g.Expect(b.Hear(time.Second, 0, life, pause).Paused).To(gomega.BeTrue())
	b.Hear(2*time.Second, 500*time.Millisecond, life, none)
	g.Expect(b.PauseLeft(2*time.Second, life)).To(gomega.Equal(2*time.Second), "that answer is older")
	g.Expect(b.PauseLeft(4*time.Second, life)).To(gomega.BeZero())
	b.Sent(4*time.Second, life)
	g.Expect(b.PauseLeft(4*time.Second, life)).To(gomega.Equal(trialTime), "another request is on its way")
	g.Expect(b.Notes(4*time.Second, func(Life) bool { return true })).To(gomega.HaveLen(1))
	g.Expect(b.PauseLeft(4*time.Second+trialTime, life)).To(gomega.BeZero(), "it has taken too long")
	b.Sent(6*time.Second, life)
	b.Hear(6100*time.Millisecond, 6*time.Second, life, none)
	g.Expect(b.PauseLeft(6100*time.Millisecond, life)).To(gomega.BeZero())
	g.Expect(b.Notes(6100*time.Millisecond, func(Life) bool { return true })).To(gomega.BeEmpty())
}
