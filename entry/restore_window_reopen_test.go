package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a restore window that begins again because a peer that noticed the same restore later
// still reports it: the complete read at the end of the window is then applied within the window, and
// recorded as done.
func TestEndedRestoreWindowIsNotReopenedByAPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Minute
	log := eventlog.New("n", nil)
	defer log.Close()
	n := New(&Settings{Name: "n"}, Dependencies{Log: log, Now: func() time.Duration { return now }})
	window := structs.RestoreWindow{Base: 1, Era: 2, Listed: 20}
	n.mutex.Lock()
	n.era.isKnown, n.era.current = true, 1
	n.enterEra(window, n.now(), "store")
	n.mutex.Unlock()
	now += restoreWindowDuration
	n.endRestoreWindow()
	g.Expect(n.era.restoreWindow).To(gomega.BeZero())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	needsPull := n.mergePeerEra(liveness.Heartbeat{Name: "peer", Era: 2, RestoreWindow: &window, RestoreAgeMS: (restoreWindowDuration - 50*time.Millisecond).Milliseconds()})
	g.Expect(n.era.restoreWindow).To(gomega.BeZero(), "the window began again")
	g.Expect(needsPull).To(gomega.BeFalse(), "the earlier state is pulled from the peer")
}

// Guards against a replica that the restored store lists being removed again once it counts, by a pull of
// the state from before the restore.
func TestReplicaListedOnceTheWindowEndedIsNotRemovedByAPull(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Minute
	log := eventlog.New("n", nil)
	defer log.Close()
	n := New(&Settings{Name: "n"}, Dependencies{Log: log, Now: func() time.Duration { return now }})
	window := structs.RestoreWindow{Base: 1, Era: 2, Listed: 20}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.era.isKnown, n.era.current = true, 1
	n.table.Remove(n.now(), "r", positionInEra(1, 15))
	n.enterEra(window, n.now(), "store")
	now += restoreWindowDuration
	n.mutex.Unlock()
	n.endRestoreWindow()
	n.mutex.Lock()
	n.applyReplicaLocked(replicas.Replica{ID: "r", Service: "s", Address: "r:1", Slots: 1, Position: positionInEra(2, 10)})
	g.Expect(n.table.Count()).To(gomega.Equal(1))
	if n.mergePeerEra(liveness.Heartbeat{Name: "peer", Era: 2, RestoreWindow: &window, RestoreAgeMS: (restoreWindowDuration - 50*time.Millisecond).Milliseconds()}) {
		n.removeReplica("r", positionInEra(1, 15)) // what the peer replies to the pull
	}
	g.Expect(n.table.Count()).To(gomega.Equal(1), "the listed replica is known")
}
