package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
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

// mergePeerWindow applies a peer's report of a restore of this age, and reports whether a pull of all state
// is due.
func (n *Node) mergePeerWindow(window structs.RestoreWindow, age time.Duration) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.mergePeerEra(liveness.Heartbeat{Name: "peer", Era: window.Era, RestoreWindow: &window, RestoreAgeMS: age.Milliseconds()})
}

// Guards against a node that enters a restore window again after its end, and again orders the entries
// that count since then as those of the backup, because a peer learned of the restore later.
func TestEndedRestoreWindowIsNotEnteredAgain(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		n.checkEraOf(positionInEra(1, 90))
		n.checkEraOf(positionInEra(2, 20))
		window := n.era.restoreWindow
		g.Expect(window).To(gomega.Equal(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20}))
		time.Sleep(restoreWindowDuration)
		n.endRestoreWindow()
		g.Expect(n.mergePeerWindow(window, restoreWindowDuration-500*time.Millisecond)).To(gomega.BeFalse(), "pulls all state of a peer that is half a second behind")
		g.Expect(n.era.isInRestoreWindow(n.now())).To(gomega.BeFalse())
		g.Expect(n.era.restoreWindow).To(gomega.Equal(structs.RestoreWindow{}))
	})
}

// Guards against a process that ignores a restore window that its peers are in, because it has read the
// restored store.
func TestProcessThatReadTheRestoredStoreEntersItsPeersWindow(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		n.checkEraOf(positionInEra(2, 20))
		window := structs.RestoreWindow{Base: 1, Era: 2, Listed: 20}
		g.Expect(n.mergePeerWindow(window, time.Second)).To(gomega.BeTrue())
		g.Expect(n.era.restoreWindow).To(gomega.Equal(window))
	})
}
