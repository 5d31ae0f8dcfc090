package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// reopenedWindow is the restore window of these tests. A peer that noticed the restore peerDelay later
// still reports it when it has ended here.
var reopenedWindow = structs.RestoreWindow{Base: 1, Era: 2, Listed: 20}

const peerDelay = 50 * time.Millisecond

// enterReopenedWindow enters the restore window.
func (n *Node) enterReopenedWindow() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.era.isKnown, n.era.current = true, 1
	n.enterEra(reopenedWindow, n.now(), "store")
}

// Guards against a restore window that begins again because a peer that noticed the same restore later
// still reports it: the complete read at the end of the window is then applied within the window, and
// recorded as done.
func TestEndedRestoreWindowIsNotReopenedByAPeer(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		n.enterReopenedWindow()
		time.Sleep(restoreWindowDuration)
		n.endRestoreWindow()
		g.Expect(n.era.restoreWindow).To(gomega.BeZero())
		needsPull := n.mergePeerWindow(reopenedWindow, restoreWindowDuration-peerDelay)
		g.Expect(n.era.restoreWindow).To(gomega.BeZero(), "the window began again")
		g.Expect(needsPull).To(gomega.BeFalse(), "the earlier state is pulled from the peer")
	})
}

// Guards against a replica that the restored store lists being removed again once it counts, by a pull of
// the state from before the restore.
func TestReplicaListedOnceTheWindowEndedIsNotRemovedByAPull(t *testing.T) {
	runEraNode(t, func(g *gomega.WithT, n *Node) {
		n.table.Remove(n.now(), "r", positionInEra(1, 15))
		n.enterReopenedWindow()
		time.Sleep(restoreWindowDuration)
		n.endRestoreWindow()
		n.mutex.Lock()
		n.applyReplicaLocked(replicas.Replica{ID: "r", Service: "s", Address: "r:1", Slots: 1, Position: positionInEra(2, 10)})
		n.mutex.Unlock()
		g.Expect(n.table.Count()).To(gomega.Equal(1))
		if n.mergePeerWindow(reopenedWindow, restoreWindowDuration-peerDelay) {
			n.mutex.Lock()
			n.removeReplica("r", positionInEra(1, 15)) // what the peer replies to the pull
			n.mutex.Unlock()
		}
		g.Expect(n.table.Count()).To(gomega.Equal(1), "the listed replica is known")
	})
}
