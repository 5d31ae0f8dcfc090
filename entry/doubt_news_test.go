package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Guards against a stream that goes on at a replica that another node found ended, as the news of it come after the
// assignment.
func TestDoubtsOfOtherNodesComeWithAssignments(t *testing.T) {
	for name, startedAt := range map[string]int64{"": 1, "no start is stated": 0} {
		t.Run(name, func(t *testing.T) {
			doubtElsewhere(t, replicas.Replica{ID: "first", Service: "engines", Version: "v1", StartedAt: startedAt})
		})
	}
}

// doubtElsewhere has another node doubt the replica, and tells the scheduling node and the one that sends of it.
func doubtElsewhere(t *testing.T, replica replicas.Replica) {
	g := gomega.NewWithT(t)
	next := replica
	next.StartedAt = 2
	observing, scheduling, sending := newForwardingNode(replica), newForwardingNode(replica), newForwardingNode(replica)
	for _, n := range []*Node{observing, scheduling, sending} {
		n.identities.ObserveView(n.now())
		g.Expect(n.doubtOf(replica)).To(gomega.BeNil())
	}
	observing.identities.Doubt(observing.now(), incarnations.Of(replica))
	message := &finishRequest{ID: "r", Doubted: observing.doubtOf(replica)}
	_, err := scheduling.serveFinish(t.Context(), message)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(scheduling.doubtAge(replica)).To(gomega.BeNumerically(">", 0))
	g.Expect(scheduling.doubtAge(next)).To(gomega.BeZero(), "another incarnation")

	proofAt := func() incarnations.Proof {
		sending.mutex.Lock()
		defer sending.mutex.Unlock()
		return sending.verdictLocked(incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: sending.now()}).Proof
	}
	g.Expect(proofAt()).To(gomega.Equal(incarnations.ProofAssumed))
	reply := &assignReply{Replica: replica, DoubtAge: scheduling.doubtAge(replica)}
	sending.recordGrant(&grant{assignReply: reply, id: "g"})
	g.Expect(proofAt()).To(gomega.Equal(incarnations.ProofNone))
}

// Guards against an age in a message that dates a doubt in the future, which nothing later could end.
func TestDoubtsAreNotDatedInTheFuture(t *testing.T) {
	g := gomega.NewWithT(t)
	replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", StartedAt: 1}
	n := newForwardingNode(replica)
	_, err := n.serveFinish(t.Context(), &finishRequest{Doubted: &doubtedIncarnation{Replica: "first", StartedAt: 1, Age: -time.Hour}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.identities.ConfirmByReport(n.now()+time.Minute, incarnations.Of(replica))
	g.Expect(n.doubtAge(replica)).To(gomega.BeZero())
}
