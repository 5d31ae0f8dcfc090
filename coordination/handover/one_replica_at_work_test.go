package handover

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a successor that goes on working, or is sent the request, after the current replica sent something.
func TestSuccessorIsGivenUpOnceTheCurrentReplicaSpeaks(t *testing.T) {
	t.Run("requested", func(t *testing.T) {
		g := gomega.NewWithT(t)
		var request Handover
		current := request.Begin()
		successor := request.RequestSuccessor()
		verdict, phase := request.CurrentSpoke(current)
		g.Expect(verdict).To(gomega.Equal(Keep))
		g.Expect(phase).To(gomega.Equal(Requested))
		g.Expect(request.Phase()).To(gomega.Equal(NoSuccessor))
		g.Expect(request.MaySend(successor)).To(gomega.Equal(GiveUp))
	})
	t.Run("sent", func(t *testing.T) {
		g := gomega.NewWithT(t)
		request, current, successor := sentSuccessor(g)
		verdict, phase := request.CurrentSpoke(current)
		g.Expect(verdict).To(gomega.Equal(Keep))
		g.Expect(phase).To(gomega.Equal(Sent))
		verdict, replaced := request.SuccessorAnswered(successor)
		g.Expect(verdict).To(gomega.Equal(GiveUp))
		g.Expect(replaced).To(gomega.BeFalse())
		g.Expect(request.HasCurrent()).To(gomega.BeTrue())
		verdict, phase = request.CurrentSpoke(current)
		g.Expect(verdict).To(gomega.Equal(Keep))
		g.Expect(phase).To(gomega.Equal(NoSuccessor))
	})
}

// Guards against a replica whose bytes are relayed, or that gives up a successor, after another one has answered: the
// caller would get the bytes of both.
func TestReplacedReplicaIsGivenUpOnceTheSuccessorAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	request, replaced, successor := sentSuccessor(g)
	verdict, isReplaced := request.SuccessorAnswered(successor)
	g.Expect(verdict).To(gomega.Equal(Keep))
	g.Expect(isReplaced).To(gomega.BeTrue())

	second := request.RequestSuccessor()
	verdict, phase := request.CurrentSpoke(replaced)
	g.Expect(verdict).To(gomega.Equal(GiveUp))
	g.Expect(phase).To(gomega.Equal(NoSuccessor))
	g.Expect(request.MaySend(second)).To(gomega.Equal(Keep))

	verdict, phase = request.CurrentSpoke(successor)
	g.Expect(verdict).To(gomega.Equal(Keep))
	g.Expect(phase).To(gomega.Equal(Sent))
}

// Guards against a replica that broke the request off and whose late bytes are taken for those of its successor.
func TestReplicaThatBrokeOffDoesNotSpeakForTheNextOne(t *testing.T) {
	g := gomega.NewWithT(t)
	var request Handover
	first := request.Begin()
	g.Expect(request.CurrentBroke(first)).To(gomega.BeFalse())
	second := request.Begin()
	g.Expect(second).NotTo(gomega.Equal(first))
	verdict, _ := request.CurrentSpoke(first)
	g.Expect(verdict).To(gomega.Equal(GiveUp))
	verdict, _ = request.CurrentSpoke(second)
	g.Expect(verdict).To(gomega.Equal(Keep))
}

// Guards against an answer of a successor that the request was not written to.
func TestSuccessorAnswersOnlyWhatItWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	var request Handover
	current := request.Begin()
	successor := request.RequestSuccessor()
	verdict, _ := request.SuccessorAnswered(successor)
	g.Expect(verdict).To(gomega.Equal(GiveUp))
	verdict, _ = request.CurrentSpoke(current)
	g.Expect(verdict).To(gomega.Equal(Keep))
}
