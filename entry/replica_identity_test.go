package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
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
