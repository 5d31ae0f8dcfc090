package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a process started after a restore that never pulls the earlier state, and takes part in
// the restore window as if it had it, because the store is restored again before it has pulled it.
func TestProcessStillPullsEarlierStateAfterASecondRestore(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		n.checkEraOf(positionInEra(2, 20)) // the first response that this process has
		g.Expect(n.mergePeerWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20}, time.Second)).To(gomega.BeTrue())
		n.pullAll("absent:1") // fails
		g.Expect(n.era.lacksEarlierState).To(gomega.BeTrue())
		n.checkEraOf(positionInEra(3, 20))
		g.Expect(n.mergePeerWindow(structs.RestoreWindow{Base: 1, Era: 3, Listed: 20}, time.Millisecond)).To(gomega.BeTrue(), "pulls the state from before the restores")
	})
}
