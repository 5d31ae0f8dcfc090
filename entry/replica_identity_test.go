package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/liveness"
)

// Guards against a log that is flooded by the doubts of one replica.
func TestIdentityLinesAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	identities := newReplicaIdentities()
	first := identityLine{incarnation: incarnations.Incarnation{Replica: "r1", StartedAt: 1}, outcome: identityDoubted}
	g.Expect(identities.mayLog(0, first)).To(gomega.BeTrue())
	g.Expect(identities.mayLog(time.Second, first)).To(gomega.BeFalse())
	successor := first
	successor.incarnation.StartedAt = 2
	g.Expect(identities.mayLog(time.Second, successor)).To(gomega.BeTrue())
	g.Expect(identities.mayLog(identityLogInterval, first)).To(gomega.BeTrue())
	identities.forget(func(incarnation incarnations.Incarnation) bool { return incarnation.StartedAt == 2 })
	g.Expect(identities.loggedAt).To(gomega.HaveLen(1))
}

// Guards against heartbeats that were on their way for long and count as recent views of the store, so that an entry
// proves which process answers although the store was away when its successor would have replaced it.
func TestLateHeartbeatsProveNoEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	receive := func(sentAt, arrivesAt time.Duration) {
		heartbeat := liveness.Heartbeat{Name: "m", Incarnation: 1, UptimeMS: sentAt.Milliseconds(), Version: 3, LatestPosition: 7, StoreHealthyMS: sentAt.Milliseconds()}
		n.members.Observe(arrivesAt, heartbeat)
		n.recordFreshness(arrivesAt, heartbeat)
	}
	const storeAwayAt = 10 * time.Second
	for at := 100 * time.Millisecond; at <= storeAwayAt; at += 100 * time.Millisecond {
		receive(at, at+time.Millisecond)
	}
	receive(storeAwayAt, 11400*time.Millisecond)
	receive(storeAwayAt, 12800*time.Millisecond)
	verdictOf := func(openedAt time.Duration) incarnations.Verdict {
		connection := incarnations.Connection{Incarnation: incarnations.Incarnation{Replica: "r"}, OpenedAt: openedAt}
		return n.identities.Verdict(12800*time.Millisecond, connection, true)
	}
	g.Expect(verdictOf(storeAwayAt - incarnations.EntryDelay + time.Second).Proof).To(gomega.Equal(incarnations.ProofNone))
	g.Expect(verdictOf(4 * time.Second).Proof).To(gomega.Equal(incarnations.ProofEntry))
}
