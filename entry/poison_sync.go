package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Poison records (coordination/poison) are exchanged as follows: the node that sees a crash reports
// it to the scheduling node with the end of the request; other nodes see in heartbeats that records
// changed and pull them; records of blocked requests are also written to the store, which survives
// the loss of all nodes.

const (
	// crashProbeTimeout bounds the probe of a replica that broke a request off. An unreachable host
	// proves nothing, and a caller waits meanwhile.
	crashProbeTimeout = 100 * time.Millisecond
	// poisonSyncInterval is the time between checks that the store has the scheduling node's
	// records, and poisonIdleInterval that at all other nodes.
	poisonSyncInterval = 250 * time.Millisecond
	poisonIdleInterval = time.Second
	// poisonStoreTimeout bounds a write to the store and the read that follows a failed one.
	poisonStoreTimeout = 800 * time.Millisecond
)

// incarnationState is what is known of an incarnation that broke a request off.
type incarnationState int

const (
	// incarnationNotCrashed means that the replica still runs, or that its end was planned.
	incarnationNotCrashed incarnationState = iota
	incarnationEnded
	// incarnationUnknown means that the replica is unreachable, which proves no crash.
	incarnationUnknown
	// incarnationReachedByPeer means that a peer reaches the replica and this node does not.
	incarnationReachedByPeer
)

// probeIncarnation finds out whether the replica that broke a request off has crashed: it has a new
// incarnation, or its address refuses the connections of this node and of a peer that reaches other
// replicas. A replica that drains or whose entry is gone was to end anyway, and a reset, a partition or a
// refusal that only this node gets proves nothing. It blocks up to crashProbeTimeout.
func (n *Node) probeIncarnation(replica replicas.Replica) incarnationState {
	n.mutex.Lock()
	known, listed := n.table.Get(replica.ID)
	n.mutex.Unlock()
	if !listed || known.Draining {
		return incarnationNotCrashed
	}
	if !known.IsSameIncarnation(replica) {
		return incarnationEnded // it has restarted
	}
	ctx, cancel := context.WithTimeout(n.ctx, crashProbeTimeout)
	defer cancel()
	conn, err := n.dialReplica(ctx, replica, crashProbeTimeout/2)
	if err == nil {
		n.pool.Keep(n.addDirect(conn, replica))
		return incarnationNotCrashed
	}
	conn, _, peerErr := n.openThroughPeer(ctx, replica)
	if peerErr == nil {
		_ = conn.Close()
		return incarnationReachedByPeer
	}
	if n.provesEnd(ctx, replica, errors.Join(err, peerErr)) {
		return incarnationEnded
	}
	return incarnationUnknown
}

// provesEnd reports whether the error of a connect, direct and through peers, proves that the replica has
// ended. Without peers that forward connections, this node must reach another replica.
func (n *Node) provesEnd(ctx context.Context, replica replicas.Replica, err error) bool {
	var failed *forwardError
	if errors.As(err, &failed) {
		return failed.outcome == forwardRefused
	}
	return network.IsRefused(err) && n.reachesAnother(ctx, replica.ID)
}

// logPoisonTransition counts and logs a change of a request's poison state.
func (n *Node) logPoisonTransition(outcome string, record poisonrecords.Record) {
	n.counter("contents." + outcome).Inc(1)
	incarnations := make([]string, 0, len(record.Incarnations))
	for _, incarnation := range record.Incarnations {
		incarnations = append(incarnations, string(incarnation))
	}
	n.log.Write(eventlog.Event{
		Kind: "content", Outcome: outcome, Fingerprint: record.Fingerprint.String(), Service: record.Service, Route: record.Route, Tenant: record.Tenant, Parts: record.Part,
		Count: len(record.Incarnations), Detail: strings.Join(incarnations, " "),
	})
}

// poisonPullDue reports whether the peer has poison records that this node lacks and should be
// asked for them now. The caller holds the mutex.
func (n *Node) poisonPullDue(now structs.Instant, heartbeat liveness.Heartbeat) bool {
	if heartbeat.Poison == nil {
		return false
	}
	own := n.scheduling.poisonSummary()
	changeCount := heartbeat.Poison.Weight
	if changeCount == own.ChangeCount && heartbeat.Poison.Digest != own.Digest {
		changeCount++ // as many changes, but different ones
	}
	return n.poisonPull.ShouldPull(now, own.ChangeCount, changeCount, 0)
}

// poisonRequest asks a peer for its poison records.
type poisonRequest struct{}

type poisonReply struct{ Records []poisonrecords.Record }

func (n *Node) servePoisonRecords(context.Context, *poisonRequest) (*poisonReply, error) {
	return &poisonReply{Records: n.scheduling.sharedPoisonRecords()}, nil
}

// pullPoisonRecords pulls and merges a peer's poison records. A pull that brings nothing new delays
// the next one as a failed pull does.
func (n *Node) pullPoisonRecords(address string) {
	ctx, cancel := context.WithTimeout(n.ctx, updatesTimeout)
	defer cancel()
	before := n.scheduling.poisonSummary()
	reply := &poisonReply{}
	err := n.peers.Call(ctx, address, peerwire.KindPoisonRecords, &poisonRequest{}, reply)
	if err == nil {
		n.scheduling.mergePoisonRecords(reply.Records)
	} else if n.ctx.Err() == nil {
		n.counter("contents.pulls_failed").Inc(1)
	}
	changed := n.scheduling.poisonSummary() != before
	n.mutex.Lock()
	n.poisonPull.PullDone(n.now(), changed)
	n.mutex.Unlock()
	if changed {
		n.sendHeartbeats()
	}
}

// storedPoisonRecords describes the records that the store is known to have.
type storedPoisonRecords struct {
	position structs.StorePosition
	summary  poisonrecords.Summary
}

// applyPoisonRecords merges the records that the store has at the position. It does nothing if the
// position is zero. The answer to a call from before a restore does not tell what the restored store has.
func (n *Node) applyPoisonRecords(records []poisonrecords.Record, position structs.StorePosition) {
	if position == 0 {
		return
	}
	n.mutex.Lock()
	if position > n.poisonStored.position && position.Era() >= n.era.current {
		n.poisonStored = storedPoisonRecords{position: position, summary: poisonrecords.SummaryOf(records)}
	}
	n.mutex.Unlock()
	n.scheduling.mergePoisonRecords(records)
}

// poisonSyncLoop keeps the store's records up to date while this node is the active scheduler.
func (n *Node) poisonSyncLoop() {
	if n.dependencies.PoisonRecords == nil {
		return
	}
	wait := poisonIdleInterval
	for n.sleep(wait) {
		wait = poisonIdleInterval
		if !n.isActiveScheduler() {
			continue
		}
		wait = poisonSyncInterval
		records := n.scheduling.persistentPoisonRecords()
		n.mutex.Lock()
		stored := n.poisonStored
		n.mutex.Unlock()
		if poisonrecords.SummaryOf(records) != stored.summary {
			n.writePoisonRecords(records, stored.position)
		}
	}
}

// isActiveScheduler reports whether this node schedules and is not stopping.
func (n *Node) isActiveScheduler() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.scheduler == n.settings.Load().Name && n.stoppingSince.Load() == 0
}

// writePoisonRecords writes the records to the store if that is still at the position. Otherwise it
// merges the store's records, and the next round writes the result.
func (n *Node) writePoisonRecords(persistent []poisonrecords.Record, position structs.StorePosition) {
	ctx, cancel := context.WithTimeout(n.ctx, poisonStoreTimeout)
	defer cancel()
	written, err := n.dependencies.PoisonRecords.WritePoisonRecords(ctx, persistent, position)
	if err == nil {
		n.counter("contents.writes").Inc(1)
		n.applyPoisonRecords(persistent, written)
		return
	}
	n.counter("contents.writes_failed").Inc(1)
	if errors.Is(err, errkind.StoreUnavailable) {
		return // nothing was written, and a second call would fail too
	}
	records, found, err := n.dependencies.PoisonRecords.ReadPoisonRecords(ctx)
	if err != nil {
		n.counter("contents.reads_failed").Inc(1)
		return
	}
	if found == 0 {
		n.forgetStoredPoisonRecords(position)
	}
	n.applyPoisonRecords(records, found)
}

// forgetStoredPoisonRecords records that the store has no poison records any more, unless it was known to have some at a
// later position than this.
func (n *Node) forgetStoredPoisonRecords(position structs.StorePosition) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.poisonStored.position == position {
		n.poisonStored = storedPoisonRecords{}
	}
}

// PoisonStatus is a blocked request as shown to operators.
type PoisonStatus struct {
	poisonrecords.Record
	// Unchanged is the time since the record last changed, in milliseconds.
	Unchanged int64 `json:"unchanged_ms"`
}

// poisonStatus returns the blocked requests.
func (n *Node) poisonStatus() []PoisonStatus {
	var statuses []PoisonStatus
	for _, record := range n.scheduling.blockedRequests() {
		statuses = append(statuses, PoisonStatus{Record: record, Unchanged: record.Age})
	}
	return statuses
}

// Unblock lets the suspect or blocked request with this fingerprint be sent again, on all nodes. It
// returns an error if the text is no fingerprint or this node has no such record.
func (n *Node) Unblock(text string) error {
	var record poisonrecords.Record
	if err := record.Fingerprint.UnmarshalText([]byte(text)); err != nil {
		return err
	}
	if !n.scheduling.unblock(record.Fingerprint) {
		return fmt.Errorf("unblock %s: request is neither suspect nor blocked on this node", text)
	}
	n.sendHeartbeats()
	return nil
}
