package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/rollouts"
)

// Guards against a doubtful version that gets every request because the scheduling node changed, and the evidence
// against it is forgotten although the record still counts its answers.
func TestDoubtfulVersionIsNotSwitchedToAfterAChangeOfTheSchedulingNode(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("the scheduling node changes: ", changes), func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := startCanary(g)
			recordAnswers(c, 600, false)
			doubt := func() float64 { score, _ := c.RegressionScore(); return score }
			for i := 0; doubt() <= maxAcceptedScore; i++ {
				c.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(true, i%4), Target: true, Failed: i%4 != 3, EventInterval: 20 * time.Millisecond}, true)
			}
			g.Expect(doubt()).To(gomega.BeNumerically("<", 1))
			next, due := c.Propose(10*time.Second, inputsAt(10*time.Second))
			g.Expect(due).To(gomega.BeTrue())
			g.Expect(next.Phase).To(gomega.Equal(rollouts.PhaseCanary))
			c.WriteCommitted(10*time.Second, next, 7)
			if changes {
				c = NewController(testPolicy, 16*time.Second, c.Record())
			}
			if next, due = c.Propose(17*time.Second, inputsAt(17*time.Second)); due {
				g.Expect(next.Phase).NotTo(gomega.Equal(rollouts.PhaseSwitching))
			}
		})
	}
}
