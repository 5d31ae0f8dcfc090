package pushback

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var (
	life       = Incarnation{Replica: "r", Born: 1}
	none       = Signals{Limit: Limit{State: LimitNone}}
	oneASecond = Signals{Limit: Limit{State: LimitSet, PerSecond: 1}}
)

// Answers overtake each other: one to a request that was sent before the limit was heard says
// nothing of it.
func TestOnlyALaterAnswerEndsALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewTracker()
	g.Expect(b.Observe(1*time.Second, 0, life, none)).To(gomega.BeZero())
	g.Expect(b.records).To(gomega.BeEmpty(), "nothing is kept of a replica that says nothing")
	g.Expect(b.Observe(2*time.Second, 1*time.Second, life, oneASecond).LimitChanged).To(gomega.BeTrue())
	g.Expect(b.Observe(3*time.Second, 1*time.Second, life, none).LimitChanged).To(gomega.BeFalse())
	g.Expect(b.Observe(4*time.Second, 3*time.Second, life, oneASecond).LimitChanged).To(gomega.BeFalse(), "the same")
	g.Expect(b.Observe(6*time.Second, 5*time.Second, life, Signals{}).LimitChanged).To(gomega.BeFalse(), "unreadable")
	g.Expect(b.Observe(7*time.Second, 6*time.Second, life, none).LimitChanged).To(gomega.BeTrue())
	g.Expect(b.Observe(9*time.Second, 8*time.Second, life, none).LimitChanged).To(gomega.BeFalse())
}

func TestAReplicaThatLeftOnceLeavesUntilItStartsAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewTracker()
	leaving := Signals{Leaving: true}
	g.Expect(b.Observe(time.Second, 0, life, leaving).StartedLeaving).To(gomega.BeTrue())
	g.Expect(b.Observe(2*time.Second, 0, life, leaving).StartedLeaving).To(gomega.BeFalse())
	g.Expect(b.Observe(3*time.Second, 2*time.Second, life, none).StartedLeaving).To(gomega.BeFalse())
	g.Expect(b.IsLeaving(life)).To(gomega.BeTrue())
	g.Expect(b.IsLeaving(Incarnation{Replica: life.Replica, Born: 2})).To(gomega.BeFalse())
}

// An entry that lapsed while the store was away may come back.
func TestWhatAReplicaSaidOutlivesItsEntryForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewTracker()
	b.Observe(time.Second, 0, life, Signals{Leaving: true})
	b.Observe(time.Second, 0, Incarnation{Replica: "known"}, Signals{Leaving: true})
	isKnown := func(life Incarnation) bool { return life.Replica == "known" }
	b.Forget(memory, isKnown)
	g.Expect(b.records).To(gomega.HaveLen(2))
	b.Forget(memory+2*time.Second, isKnown)
	g.Expect(b.records).To(gomega.HaveLen(1))
}

// A pause holds for its time, and then one request at a time finds out whether it is over.
func TestAfterAPauseOneRequestFindsOut(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewTracker()
	pause := Signals{Limit: none.Limit, Pause: 3 * time.Second}
	g.Expect(b.Observe(time.Second, 0, life, pause).PauseRequested).To(gomega.BeTrue())
	b.Observe(2*time.Second, 500*time.Millisecond, life, none)
	g.Expect(b.PauseLeft(2*time.Second, life)).To(gomega.Equal(2*time.Second), "that answer is older")
	g.Expect(b.PauseLeft(4*time.Second, life)).To(gomega.BeZero())
	b.Sent(4*time.Second, life)
	g.Expect(b.PauseLeft(4*time.Second, life)).To(gomega.Equal(trialTime), "another request is on its way")
	g.Expect(b.Reports(4*time.Second, func(Incarnation) bool { return true })).To(gomega.HaveLen(1))
	g.Expect(b.PauseLeft(4*time.Second+trialTime, life)).To(gomega.BeZero(), "it has taken too long")
	b.Sent(6*time.Second, life)
	b.Observe(6100*time.Millisecond, 6*time.Second, life, none)
	g.Expect(b.PauseLeft(6100*time.Millisecond, life)).To(gomega.BeZero())
	g.Expect(b.Reports(6100*time.Millisecond, func(Incarnation) bool { return true })).To(gomega.BeEmpty())
}
