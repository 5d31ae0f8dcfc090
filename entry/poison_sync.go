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

// How a node learns and tells under which requests replicas end (coordination/poison). What
// a node sees goes to the scheduling node with the end of the request; from there all nodes
// hear of it by heartbeat and fetch it, and what is barred is written to the store, which
// outlives a loss of power of all nodes.

const (
	// endedDial bounds the look whether a replica ended that broke a request off. A host
	// that can't be reached says nothing, and a caller waits meanwhile.
	crashProbeTimeout = 100 * time.Millisecond
	// contentsStep is the time between two looks at whether the store knows what is barred, at
	// the node that schedules; contentsRest is that at all others, as each look wakes the
	// process.
	poisonSyncInterval = 250 * time.Millisecond
	poisonIdleInterval = time.Second
	// contentsWriteLimit bounds a write or read of what is barred.
	poisonStoreTimeout = 800 * time.Millisecond
)

// lifeState is what is known of the life of a replica that broke a request off.
type incarnationState int

const (
	// lifeGoesOn means that the request can't have ended it: it goes on, or was to end anyway.
	incarnationNotCrashed incarnationState = iota
	incarnationEnded
	// incarnationUnknown means that the replica can't be reached, which need not be its own doing.
	incarnationUnknown
)

// probeIncarnation looks whether the replica, which broke off a request, has ended: nobody listens at
// its address any more. A reset alone, a cut link or a planned end say nothing of the request:
// a replica that drains, or whose entry is gone, was to end anyway.
func (n *Node) probeIncarnation(replica replicas.Replica) incarnationState {
	n.mutex.Lock()
	known, listed := n.table.Get(replica.ID)
	n.mutex.Unlock()
	if !listed || known.Draining {
		return incarnationNotCrashed
	}
	if !known.IsSameIncarnation(replica) {
		return incarnationEnded // it has started again already
	}
	ctx, cancel := context.WithTimeout(n.ctx, crashProbeTimeout)
	defer cancel()
	conn, err := n.deps.Network.Dial(ctx, replica.Address)
	switch {
	case err == nil:
		_ = conn.Close()
		return incarnationNotCrashed
	case network.IsRefused(err):
		return incarnationEnded
	}
	return incarnationUnknown
}

// logPoisonTransition tells of a change of a request's standing.
func (n *Node) logPoisonTransition(outcome string, record poisonrecords.Record) {
	n.counter("contents." + outcome).Inc(1)
	lives := make([]string, 0, len(record.Incarnations))
	for _, life := range record.Incarnations {
		lives = append(lives, string(life))
	}
	n.log.Write(eventlog.Event{
		Kind: "content", Outcome: outcome, Content: record.Fingerprint.String(), Service: record.Service, Route: record.Route,
		Count: len(record.Incarnations), Detail: strings.Join(lives, " "),
	})
}

// behindContents returns whether the peer knows more of barred requests and is to be asked
// now. The caller holds the mutex.
func (n *Node) poisonPullDue(now structs.Instant, beat liveness.Heartbeat) bool {
	if beat.Poison == nil {
		return false
	}
	own := n.scheduling.poisonSummary()
	told := beat.Poison.Weight
	if told == own.ChangeCount && beat.Poison.Digest != own.Digest {
		told++ // as much, but not the same
	}
	return n.poisonPull.ShouldPull(now, own.ChangeCount, told, 0)
}

// contentsRequest asks a peer for what it knows of requests that replicas ended under.
type poisonRequest struct{}

type poisonReply struct{ Records []poisonrecords.Record }

func (n *Node) servePoisonRecords(context.Context, *poisonRequest) (*poisonReply, error) {
	return &poisonReply{Records: n.scheduling.sharedPoisonRecords()}, nil
}

// pullContents asks a peer that knows more than this node. One that brought nothing new is
// followed by a longer pause, as one that failed is.
func (n *Node) pullPoisonRecords(address string) {
	ctx, cancel := context.WithTimeout(n.ctx, updatesTimeout)
	defer cancel()
	before := n.scheduling.poisonSummary()
	reply := &poisonReply{}
	err := n.peers.Call(ctx, address, peerwire.KindContents, &poisonRequest{}, reply)
	if err == nil {
		n.scheduling.mergePoisonRecords(reply.Records)
	} else if n.ctx.Err() == nil {
		n.counter("contents.pulls_failed").Inc(1)
	}
	news := n.scheduling.poisonSummary() != before
	n.mutex.Lock()
	n.poisonPull.PullDone(n.now(), news)
	n.mutex.Unlock()
	if news {
		n.sendHeartbeats()
	}
}

// storedPoisonRecords is what the store is known to hold.
type storedPoisonRecords struct {
	position structs.StorePosition
	summary  poisonrecords.Summary
}

// applyPoisonRecords takes what the store holds into force.
func (n *Node) applyPoisonRecords(records []poisonrecords.Record, revision structs.StorePosition) {
	if revision == 0 {
		return
	}
	n.mutex.Lock()
	if revision > n.poisonStored.position {
		n.poisonStored = storedPoisonRecords{position: revision, summary: poisonrecords.SummaryOf(records)}
	}
	n.mutex.Unlock()
	n.scheduling.mergePoisonRecords(records)
}

// poisonSyncLoop sees to it, while this node schedules, that the store holds what is barred.
func (n *Node) poisonSyncLoop() {
	if n.deps.PoisonRecords == nil {
		return
	}
	wait := poisonIdleInterval
	for n.sleep(wait) {
		wait = poisonIdleInterval
		if !n.isActiveScheduler() {
			continue
		}
		wait = poisonSyncInterval
		lasting := n.scheduling.persistentPoisonRecords()
		n.mutex.Lock()
		stored := n.poisonStored
		n.mutex.Unlock()
		if poisonrecords.SummaryOf(lasting) != stored.summary {
			n.writePoisonRecords(lasting, stored.position)
		}
	}
}

// schedules returns whether this node schedules and goes on to do so.
func (n *Node) isActiveScheduler() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.scheduler == n.settings.Load().Name && n.stopping.Load() == 0
}

// storeContents writes what is barred. If the store holds something else than this node
// thought, that is merged, and written with the next step.
func (n *Node) writePoisonRecords(lasting []poisonrecords.Record, revision structs.StorePosition) {
	ctx, cancel := context.WithTimeout(n.ctx, poisonStoreTimeout)
	defer cancel()
	written, err := n.deps.PoisonRecords.WriteContents(ctx, lasting, revision)
	if err == nil {
		n.counter("contents.writes").Inc(1)
		n.applyPoisonRecords(lasting, written)
		return
	}
	n.counter("contents.writes_failed").Inc(1)
	if errors.Is(err, errkind.StoreUnavailable) {
		return // nothing was written, and the store is not asked twice in one step
	}
	records, found, err := n.deps.PoisonRecords.ReadContents(ctx)
	if err != nil {
		n.counter("contents.reads_failed").Inc(1)
		return
	}
	n.applyPoisonRecords(records, found)
}

// PoisonStatus is what operators see of a barred request.
type PoisonStatus struct {
	poisonrecords.Record
	// Unchanged is for how long nothing was learned of it, in milliseconds.
	Unchanged int64 `json:"unchanged_ms"`
}

// poisonStatus returns what is barred.
func (n *Node) poisonStatus() []PoisonStatus {
	var told []PoisonStatus
	for _, record := range n.scheduling.blockedRequests() {
		told = append(told, PoisonStatus{Record: record, Unchanged: record.Age})
	}
	return told
}

// Unblock lets a barred request be sent again, at all nodes.
func (n *Node) Unblock(content string) error {
	var wanted poisonrecords.Record
	if err := wanted.Fingerprint.UnmarshalText([]byte(content)); err != nil {
		return err
	}
	if !n.scheduling.unblock(wanted.Fingerprint) {
		return fmt.Errorf("%s: nothing speaks against this request here", content)
	}
	n.sendHeartbeats()
	return nil
}
