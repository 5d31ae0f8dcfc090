package handover

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a second successor while one is looked for or has the request: three replicas could work on it.
func TestRequestHasOneSuccessorAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	var request Handover
	g.Expect(request.RequestSuccessor()).To(gomega.BeZero(), "no replica has the request")
	request.Begin()
	successor := request.RequestSuccessor()
	g.Expect(successor).NotTo(gomega.BeZero())
	g.Expect(request.RequestSuccessor()).To(gomega.BeZero(), "requested")
	g.Expect(request.MaySend(successor)).To(gomega.Equal(Keep))
	g.Expect(request.RequestSuccessor()).To(gomega.BeZero(), "sent")
	g.Expect(request.Phase()).To(gomega.Equal(Sent))
}

// Guards against a request that is written to two replicas with two grants of one successor.
func TestSuccessorIsSentTheRequestOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	request, _, successor := sentSuccessor(g)
	g.Expect(request.MaySend(successor)).To(gomega.Equal(GiveUp))
	g.Expect(request.MaySend(0)).To(gomega.Equal(GiveUp))
}

// Guards against late steps of a successor that was given up, which would be taken for those of the one after it.
func TestStepsOfAFormerSuccessorHaveNoEffect(t *testing.T) {
	for name, giveUp := range map[string]func(*Handover, Token, Token){
		"the current replica spoke": func(request *Handover, current, _ Token) { _, _ = request.CurrentSpoke(current) },
		"the successor failed":      func(request *Handover, _, successor Token) { request.SuccessorFailed(successor) },
		"the successor answered":    func(request *Handover, _, successor Token) { _, _ = request.SuccessorAnswered(successor) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			request, current, former := sentSuccessor(g)
			giveUp(&request, current, former)
			successor := request.RequestSuccessor()
			g.Expect(successor).NotTo(gomega.BeElementOf(Token(0), current, former))

			g.Expect(request.MaySend(former)).To(gomega.Equal(GiveUp))
			g.Expect(request.SuccessorFailed(former)).To(gomega.BeFalse())
			g.Expect(request.Phase()).To(gomega.Equal(Requested))
			g.Expect(request.MaySend(successor)).To(gomega.Equal(Keep))
			verdict, _ := request.SuccessorAnswered(former)
			g.Expect(verdict).To(gomega.Equal(GiveUp))
			g.Expect(request.SuccessorFailed(former)).To(gomega.BeFalse())
			g.Expect(request.Phase()).To(gomega.Equal(Sent))
			verdict, replaced := request.SuccessorAnswered(successor)
			g.Expect(verdict).To(gomega.Equal(Keep))
			g.Expect(replaced).To(gomega.BeTrue())
		})
	}
}

// Guards against a log or metric without a name for a phase.
func TestPhasesHaveNames(t *testing.T) {
	g := gomega.NewWithT(t)
	for phase, name := range map[Phase]string{NoSuccessor: "none", Requested: "requested", Sent: "sent"} {
		g.Expect(phase.String()).To(gomega.Equal(name))
	}
}
