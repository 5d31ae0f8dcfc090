package incarnations

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

var first = Incarnation{Replica: "r", StartedAt: 1}

// observeSteadily records views from the instant to the other, each second.
func observeSteadily(t *Tracker, from, to structs.Instant) {
	for at := from; at <= to; at += time.Second {
		t.ObserveView(at)
	}
}

// Guards against an old entry that counts as proof although the replica may have been replaced since.
func TestEntryProvesOnlyWhatASuccessorWouldHaveReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	observeSteadily(tracker, 0, 10*time.Second)
	verdict := func(now, openedAt structs.Instant) Proof {
		return tracker.Verdict(now, Connection{first, openedAt}, true).Proof
	}
	g.Expect(verdict(10*time.Second, 4*time.Second)).To(gomega.Equal(ProofEntry))
	g.Expect(verdict(10*time.Second, 5*time.Second)).To(gomega.Equal(ProofAssumed), "a short outage may have delayed the entry")
	g.Expect(verdict(13*time.Second, 7*time.Second)).To(gomega.Equal(ProofNone), "the view is old")
	tracker.ObserveView(13 * time.Second)
	g.Expect(verdict(13*time.Second, 4*time.Second)).To(gomega.Equal(ProofEntry))
	g.Expect(verdict(13*time.Second, 7*time.Second)).To(gomega.Equal(ProofNone), "the store may list what was replaced while it was away")
	observeSteadily(tracker, 14*time.Second, 16*time.Second)
	g.Expect(verdict(16*time.Second, 7*time.Second)).To(gomega.Equal(ProofNone), "the store's return is too recent")
	observeSteadily(tracker, 17*time.Second, 18*time.Second)
	g.Expect(verdict(18*time.Second, 7*time.Second)).To(gomega.Equal(ProofNone), "the store's return is too recent")
	observeSteadily(tracker, 19*time.Second, 19*time.Second)
	g.Expect(verdict(19*time.Second, 7*time.Second)).To(gomega.Equal(ProofEntry))
}

// Guards against a connection that counts as one to the listed incarnation after a sign of its end.
func TestDoubtEndsTheAssumption(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	observeSteadily(tracker, 0, 10*time.Second)
	tracker.Doubt(10*time.Second, first)
	connection := Connection{first, 10 * time.Second}
	g.Expect(tracker.Verdict(10*time.Second, connection, true).Proof).To(gomega.Equal(ProofNone))
	g.Expect(tracker.Verdict(10*time.Second, Connection{first, 4 * time.Second}, true).Proof).To(gomega.Equal(ProofEntry), "it was opened before")
	tracker.ConfirmByReport(10*time.Second+1, first)
	g.Expect(tracker.Verdict(11*time.Second, connection, true).Proof).To(gomega.Equal(ProofReport))
	g.Expect(tracker.Verdict(11*time.Second, Connection{first, 11 * time.Second}, true).Proof).To(gomega.Equal(ProofAssumed))
}

// Guards against the entry of a backup that counts as proof, as former views seemed to list it.
func TestRestoredEntryIsNotProvenByFormerViews(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	toSuccessor := Connection{first, 4 * time.Second}
	observeSteadily(tracker, 0, 10*time.Second)
	g.Expect(tracker.Verdict(10*time.Second, toSuccessor, false).IsProven()).To(gomega.BeFalse())
	tracker.Restore(10 * time.Second)
	tracker.ObserveView(11 * time.Second)
	g.Expect(tracker.Verdict(11*time.Second, toSuccessor, true).IsProven()).To(gomega.BeFalse())
}

// Guards against an interruption that is forgotten because an earlier one is told after it.
func TestLateInterruptionKeepsALaterOne(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	observeSteadily(tracker, 0, 10*time.Second)
	tracker.Interrupt(12 * time.Second)
	tracker.Interrupt(10 * time.Second)
	tracker.ObserveView(11 * time.Second)
	g.Expect(tracker.Verdict(12*time.Second, Connection{first, 11 * time.Second}, true).Proof).To(gomega.Equal(ProofNone))
}

// Guards against a doubt that ends because no successor had started yet: the process may have ended all the same.
func TestEntryEndsADoubtOnlyOnceItWouldBeGone(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	observeSteadily(tracker, 0, 10*time.Second)
	tracker.Doubt(10*time.Second, first)
	for at := 11 * time.Second; at <= 21*time.Second; at += time.Second {
		tracker.ObserveView(at)
		g.Expect(tracker.Verdict(at, Connection{first, at}, true).Proof).To(gomega.Equal(ProofNone), at.String())
	}
	tracker.ObserveView(22 * time.Second)
	g.Expect(tracker.Verdict(22*time.Second, Connection{first, 22 * time.Second}, true).Proof).To(gomega.Equal(ProofAssumed))
}

// Guards against connections that lose their proof while the store is away, although the replica goes on answering.
func TestAnswersRenewTheProofWithoutTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker()
	observeSteadily(tracker, 0, 10*time.Second)
	tracker.Interrupt(10 * time.Second)
	old, late := Connection{first, 4 * time.Second}, Connection{first, 12 * time.Second}
	g.Expect(tracker.Verdict(12*time.Second, late, true).Proof).To(gomega.Equal(ProofNone))
	tracker.Received(13*time.Second, late, true)
	g.Expect(tracker.Verdict(13*time.Second, late, true).Proof).To(gomega.Equal(ProofNone), "it proves itself")
	tracker.Received(13*time.Second, old, true)
	g.Expect(tracker.Verdict(20*time.Second, late, false).Proof).To(gomega.Equal(ProofAnswers))
	g.Expect(tracker.Verdict(20*time.Second, Connection{first, 14 * time.Second}, true).Proof).To(gomega.Equal(ProofNone))
}
