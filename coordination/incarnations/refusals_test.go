package incarnations

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a replacement that is missed, against one that counts anew each time that a peer's message about its refusal
// arrives, and against a crash that counts as one.
func TestAcceptedConnectionAfterARefusalIsASign(t *testing.T) {
	g := gomega.NewWithT(t)
	refusals := NewRefusals()
	run := Incarnation{Replica: "r", StartedAt: 1}
	g.Expect(refusals.Accepted(time.Second, run)).To(gomega.BeFalse(), "none was refused")
	refusals.Observe(3*time.Second, run)
	refusals.ObserveReported(2*time.Second, run) // it arrives late
	at, isOpen := refusals.Latest(run)
	g.Expect(isOpen).To(gomega.BeTrue())
	g.Expect(at).To(gomega.Equal(3 * time.Second))
	g.Expect(refusals.Accepted(2*time.Second, run)).To(gomega.BeFalse(), "before the refusal")
	g.Expect(refusals.Accepted(4*time.Second, run)).To(gomega.BeTrue())
	g.Expect(refusals.Accepted(5*time.Second, run)).To(gomega.BeFalse(), "one sign for one refusal")
	refusals.ObserveReported(3*time.Second, run)
	_, isOpen = refusals.Latest(run)
	g.Expect(isOpen).To(gomega.BeFalse(), "a message about the same refusal")
	refusals.ObserveReported(6*time.Second, run)
	_, isOpen = refusals.LatestOwn(run)
	g.Expect(isOpen).To(gomega.BeFalse(), "the peer's")
	g.Expect(refusals.Accepted(7*time.Second, run)).To(gomega.BeTrue(), "another one")
	refusals.Observe(8*time.Second, run)
	refusals.End(9*time.Second, run)
	refusals.ObserveReported(8*time.Second, run)
	g.Expect(refusals.Accepted(10*time.Second, run)).To(gomega.BeFalse(), "its successor is known")
	refusals.Observe(11*time.Second, run)
	refusals.Forget(func(Incarnation) bool { return false })
	g.Expect(refusals.Accepted(12*time.Second, run)).To(gomega.BeFalse())
	g.Expect(refusals.known).To(gomega.BeEmpty())
}
