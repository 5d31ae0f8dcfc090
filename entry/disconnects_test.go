package entry

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
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

// Guards against crashes that are counted although the replica, or another one, has proven since that the request did
// not end it: a replica that was only silent goes on, and may later end without a notice.
func TestCrashFoundLaterIsNotCountedAfterAProofToTheContrary(t *testing.T) {
	const leftAt = time.Second
	key, otherKey := fingerprint.Of("office", "POST", "a.example", "/x", nil), fingerprint.Of("office", "POST", "a.example", "/y", nil)
	ended := func(n *Node, request fingerprint.Fingerprint, observed admission.Observation) {
		n.reportFinish(&grant{id: "a", assignReply: &assignReply{}}, &finishRequest{Fingerprint: request, Observation: observed})
	}
	signed, unsigned := http.Header{"X-Stamp": {"x"}}, http.Header{}
	answeredOver := func(n *Node, replica replicas.Replica, openedAt time.Duration, status int, header http.Header, sentAt time.Duration) {
		connection := incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: openedAt}
		n.applyPushback(&replicahttp.Answer{Response: &http.Response{StatusCode: status, Header: header}}, replica, connection, sentAt)
	}
	answered := func(n *Node, replica replicas.Replica, status int, header http.Header, sentAt time.Duration) {
		answeredOver(n, replica, sentAt, status, header, sentAt)
	}
	loseStore := func(n *Node) { n.isStoreDown, n.storeFailedAt = true, 0 }
	for name, test := range map[string]struct {
		proof     func(n *Node, replica replicas.Replica)
		isCounted bool
	}{
		"none": {func(*Node, replicas.Replica) {}, true},
		"it answers a later request": {func(n *Node, replica replicas.Replica) {
			answered(n, replica, http.StatusOK, signed, leftAt+1)
		}, false},
		"it rejects a later request": {func(n *Node, replica replicas.Replica) {
			answered(n, replica, http.StatusServiceUnavailable, http.Header{"X-Not-Run": {"1"}}, leftAt+1)
		}, false},
		"it answers an earlier request": {func(n *Node, replica replicas.Replica) {
			answered(n, replica, http.StatusOK, signed, leftAt)
		}, true},
		"another server answers at its address": {func(n *Node, replica replicas.Replica) {
			answered(n, replica, http.StatusMisdirectedRequest, http.Header{"X-Not-Run": {"1"}}, leftAt+1)
			answered(n, replica, http.StatusOK, unsigned, leftAt+1)
		}, true},
		"its next incarnation answers": {func(n *Node, replica replicas.Replica) {
			replica.StartedAt = 2
			answered(n, replica, http.StatusOK, signed, leftAt+1)
		}, true},
		"what answers without the store may be its successor": {func(n *Node, replica replicas.Replica) {
			loseStore(n)
			answered(n, replica, http.StatusOK, signed, leftAt+1)
		}, true},
		"it answers without the store over a connection of before": {func(n *Node, replica replicas.Replica) {
			loseStore(n)
			answeredOver(n, replica, leftAt, http.StatusOK, signed, leftAt+1)
		}, false},
		"it answers without the store and states its start": {func(n *Node, replica replicas.Replica) {
			loseStore(n)
			n.identities.ConfirmByReport(leftAt+1, incarnations.Of(replica))
			answered(n, replica, http.StatusOK, signed, leftAt+1)
		}, false},
		"the request is answered elsewhere": {func(n *Node, _ replicas.Replica) {
			ended(n, key, admission.Observation{Whole: true})
		}, false},
		"the request is broken off elsewhere": {func(n *Node, _ replicas.Replica) {
			ended(n, key, admission.Observation{})
		}, true},
		"another request is answered elsewhere": {func(n *Node, _ replicas.Replica) {
			ended(n, otherKey, admission.Observation{Whole: true})
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				log := eventlog.New("n", nil)
				defer log.Close()
				now := time.Duration(0)
				n := New(&Settings{Name: "n", BlockedAfter: 3}, Dependencies{
					Log: log, Now: func() time.Duration { return now }, Headers: outside.HeaderNames{Signature: "X-Stamp", NotRun: "X-Not-Run"},
					ParsePushback: func(int, http.Header) (pushback.Signals, error) { return pushback.Signals{}, nil },
				})
				defer n.scheduling.timer.Stop()
				replica := replicas.Replica{ID: "r", Service: "s", Position: 1, StartedAt: 1}
				n.applyReplicaLocked(replica)
				now = leftAt
				n.deferDisconnect(unresolvedDisconnect{replica: replica, fingerprint: key, crash: &crashedIncarnation{Incarnation: poisonrecords.IncarnationOf("r", 1)}})
				now += time.Second
				test.proof(n, replica)
				n.isStoreDown, n.storeFailedAt = false, -time.Hour
				n.mutex.Lock()
				n.handleEntryRemovedLocked(outside.RemovedReplica{ID: replica.ID, Position: 9})
				n.mutex.Unlock()
				synctest.Wait()
				_, isRecorded := n.scheduling.poisonTracker.Get(key)
				g.Expect(isRecorded).To(gomega.Equal(test.isCounted))
			})
		})
	}
}
