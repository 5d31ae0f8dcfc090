package entry

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Guards against crashes that are proven late and not counted, and against ends of other causes
// being counted as crashes.
func TestCrashFoundLaterCountsAgainstTheRequest(t *testing.T) {
	for name, test := range map[string]struct {
		event     func(n *Node, replica replicas.Replica)
		isCounted bool
	}{
		"the entry is gone": {func(n *Node, replica replicas.Replica) {
			n.handleEntryRemovedLocked(outside.RemovedReplica{ID: replica.ID, Position: 9})
		}, true},
		"it has restarted": {func(n *Node, replica replicas.Replica) {
			replica.StartedAt, replica.Position = 2, 9
			n.applyReplicaLocked(replica)
		}, true},
		"it drained before its entry is gone": {func(n *Node, replica replicas.Replica) {
			replica.Draining, replica.Position = true, 8
			n.applyReplicaLocked(replica)
			n.handleEntryRemovedLocked(outside.RemovedReplica{ID: replica.ID, Position: 9})
		}, false},
		"it drained before it restarted": {func(n *Node, replica replicas.Replica) {
			replica.Draining, replica.Position = true, 8
			n.applyReplicaLocked(replica)
			replica.Draining, replica.StartedAt, replica.Position = false, 2, 9
			n.applyReplicaLocked(replica)
		}, false},
		"it drained before its address refuses connections": {func(n *Node, replica replicas.Replica) {
			draining := replica
			draining.Draining, draining.Position = true, 8
			n.applyReplicaLocked(draining)
			n.resolveDisconnects(replica)
		}, false},
		"it drained and its entry is gone before its address refuses connections": {func(n *Node, replica replicas.Replica) {
			draining := replica
			draining.Draining, draining.Position = true, 8
			n.applyReplicaLocked(draining)
			n.handleEntryRemovedLocked(outside.RemovedReplica{ID: replica.ID, Position: 9})
			n.resolveDisconnects(replica)
		}, false},
		"another replica's entry is gone": {func(n *Node, replica replicas.Replica) {
			n.handleEntryRemovedLocked(outside.RemovedReplica{ID: "other", Position: 9})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				log := eventlog.New("n", nil)
				defer log.Close()
				n := New(&Settings{Name: "n", BlockedAfter: 3}, Dependencies{Log: log})
				defer n.scheduling.timer.Stop()
				replica := replicas.Replica{ID: "r", Service: "s", Position: 1, StartedAt: 1}
				n.applyReplicaLocked(replica)
				n.applyReplicaLocked(replicas.Replica{ID: "other", Service: "s", Position: 2})
				key := fingerprint.Of("office", "POST", "a.example", "/x", nil)
				n.deferDisconnect(unresolvedDisconnect{replica: replica, fingerprint: key, crash: &crashedIncarnation{Incarnation: poisonrecords.IncarnationOf("r", 1)}})
				n.mutex.Lock()
				test.event(n, replica)
				n.mutex.Unlock()
				synctest.Wait()
				_, isRecorded := n.scheduling.poisonTracker.Get(key)
				g.Expect(isRecorded).To(gomega.Equal(test.isCounted))
			})
		})
	}
}
