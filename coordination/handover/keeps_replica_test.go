package handover

import (
	"testing"

	"github.com/onsi/gomega"
)

// sentSuccessor returns a request whose replica is silent and that was written to a successor as well.
func sentSuccessor(g *gomega.WithT) (request Handover, current, successor Token) {
	current = request.Begin()
	successor = request.RequestSuccessor()
	g.Expect(request.MaySend(successor)).To(gomega.Equal(Keep))
	return request, current, successor
}

// Guards against a request that is taken from its replica before a successor has answered: it would end unfinished
// where the successor refuses or fails.
func TestRequestKeepsItsReplicaUntilASuccessorAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	var request Handover
	current := request.Begin()
	for range 3 {
		refused := request.RequestSuccessor()
		g.Expect(request.HasCurrent()).To(gomega.BeTrue())
		request.SuccessorFailed(refused)
		g.Expect(request.HasCurrent()).To(gomega.BeTrue())

		rejected := request.RequestSuccessor()
		g.Expect(request.MaySend(rejected)).To(gomega.Equal(Keep))
		g.Expect(request.HasCurrent()).To(gomega.BeTrue())
		request.SuccessorFailed(rejected)
		g.Expect(request.HasCurrent()).To(gomega.BeTrue())
	}
	verdict, phase := request.CurrentSpoke(current)
	g.Expect(verdict).To(gomega.Equal(Keep))
	g.Expect(phase).To(gomega.Equal(NoSuccessor))
}

// Guards against a request that ends although a successor is on the way, and against one that waits for a successor
// that does not exist.
func TestRequestGoesOnAtTheSuccessorOfAReplicaThatBreaksItOff(t *testing.T) {
	t.Run("no successor", func(t *testing.T) {
		g := gomega.NewWithT(t)
		var request Handover
		g.Expect(request.CurrentBroke(request.Begin())).To(gomega.BeFalse())
		g.Expect(request.HasCurrent()).To(gomega.BeFalse())
		g.Expect(request.RequestSuccessor()).To(gomega.BeZero())
	})
	t.Run("successor requested", func(t *testing.T) {
		g := gomega.NewWithT(t)
		var request Handover
		current := request.Begin()
		successor := request.RequestSuccessor()
		g.Expect(request.CurrentBroke(current)).To(gomega.BeTrue())
		g.Expect(request.MaySend(successor)).To(gomega.Equal(Keep))
		verdict, replaced := request.SuccessorAnswered(successor)
		g.Expect(verdict).To(gomega.Equal(Keep))
		g.Expect(replaced).To(gomega.BeFalse())
		g.Expect(request.HasCurrent()).To(gomega.BeTrue())
	})
	t.Run("successor sent, which fails", func(t *testing.T) {
		g := gomega.NewWithT(t)
		request, current, successor := sentSuccessor(g)
		g.Expect(request.CurrentBroke(current)).To(gomega.BeTrue())
		request.SuccessorFailed(successor)
		g.Expect(request.HasCurrent()).To(gomega.BeFalse())
		g.Expect(request.Phase()).To(gomega.Equal(NoSuccessor))
	})
}

// Guards against a replica that is taken for gone because the connection to the one before it was reset: its request
// would end unfinished while the replica answers it.
func TestErrorOfAReplacedReplicaDoesNotEndTheRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	request, replaced, successor := sentSuccessor(g)
	_, _ = request.SuccessorAnswered(successor)
	g.Expect(request.CurrentBroke(replaced)).To(gomega.BeTrue())
	g.Expect(request.HasCurrent()).To(gomega.BeTrue())
	verdict, _ := request.CurrentSpoke(successor)
	g.Expect(verdict).To(gomega.Equal(Keep))
}

// Guards against a request that is ended by the error of a replaced replica, while it is being sent again because the
// one that replaced it broke off.
func TestErrorOfAReplacedReplicaDoesNotEndTheRequestBeforeARetry(t *testing.T) {
	g := gomega.NewWithT(t)
	request, replaced, successor := sentSuccessor(g)
	_, _ = request.SuccessorAnswered(successor)
	g.Expect(request.CurrentBroke(successor)).To(gomega.BeFalse())
	g.Expect(request.CurrentBroke(replaced)).To(gomega.BeTrue())
	request.End()
	g.Expect(request.CurrentBroke(replaced)).To(gomega.BeFalse())
}

// Guards against replicas that work on a request that has ended.
func TestEndedRequestGoesOnNowhere(t *testing.T) {
	g := gomega.NewWithT(t)
	request, current, successor := sentSuccessor(g)
	g.Expect(request.End()).To(gomega.Equal(Sent))
	g.Expect(request.End()).To(gomega.Equal(NoSuccessor))
	verdict, _ := request.CurrentSpoke(current)
	g.Expect(verdict).To(gomega.Equal(GiveUp))
	verdict, _ = request.SuccessorAnswered(successor)
	g.Expect(verdict).To(gomega.Equal(GiveUp))
	g.Expect(request.CurrentBroke(current)).To(gomega.BeFalse())
	g.Expect(request.RequestSuccessor()).To(gomega.BeZero())
	g.Expect(request.Begin()).To(gomega.BeZero())
	g.Expect(request.HasCurrent()).To(gomega.BeFalse())

	var requested Handover
	requested.Begin()
	successor = requested.RequestSuccessor()
	g.Expect(requested.End()).To(gomega.Equal(Requested))
	g.Expect(requested.MaySend(successor)).To(gomega.Equal(GiveUp))
}

// HasCurrent reports whether a replica has the request.
func (h *Handover) HasCurrent() bool { return h.current != 0 }
