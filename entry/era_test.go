package entry

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/structs"
)

// runEraNode runs the test with a node whose clock is virtual time.
func runEraNode(t *testing.T, test func(g *gomega.WithT, n *Node)) {
	synctest.Test(t, func(t *testing.T) {
		log := eventlog.New("n", nil)
		n := New(&Settings{Name: "n"}, Dependencies{Network: memnet.New().Host("n"), Log: log})
		defer func() { n.cancel(); log.Close() }()
		test(gomega.NewWithT(t), n)
	})
}

// checkEraOf applies a response of the store at the position.
func (n *Node) checkEraOf(position structs.StorePosition) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.checkEra(position)
}
