package entry

import (
	"slices"
	"strconv"
	"strings"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// What a replica says of itself in its answers (state/pushback).

// applyPushback enters what the answer to a request says that was sent at the instant. It returns that if the
// node that schedules has to hear of it, and else nil.
func (n *Node) applyPushback(answer *replicahttp.Answer, replica replicas.Replica, sent structs.Instant) *pushback.Signals {
	said, err := n.deps.ParsePushback(answer.StatusCode, answer.Header)
	if err != nil {
		n.recordUnreadablePushback(replica, err)
	}
	n.mutex.Lock()
	change := n.pushback.Observe(n.now(), sent, pushback.IncarnationOf(replica), said)
	n.mutex.Unlock()
	n.logPushback(replica, said, change)
	if said.Leaving || change.PauseRequested || said.Limit.State == pushback.LimitSet || change.LimitChanged {
		return &said
	}
	return nil
}

// pushbackReports returns what the node that schedules has to know of the service's replicas.
func (n *Node) pushbackReports(service string) []pushback.Report {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.pushback.Reports(n.now(), func(life pushback.Incarnation) bool {
		known, found := n.table.Get(life.Replica)
		return found && known.Service == service && pushback.IncarnationOf(known) == life && !known.Draining // whoever schedules knows those that drain
	})
}

// notePushback writes a line for each thing that an answer changed.
func (n *Node) logPushback(replica replicas.Replica, said pushback.Signals, change pushback.Change) {
	tell := func(outcome, detail string) {
		n.counter("pushback." + outcome).Inc(1)
		n.log.Write(eventlog.Event{Kind: "replica.said", Service: replica.Service, Replica: replica.ID, Outcome: outcome, Detail: detail})
	}
	if change.StartedLeaving {
		tell("leaving", "")
	}
	switch {
	case change.LimitChanged && said.Limit.State == pushback.LimitSet:
		tell("limited", strconv.FormatFloat(said.Limit.PerSecond, 'g', 6, 64)+" a second")
	case change.LimitChanged:
		tell("unlimited", "")
	}
	if change.PauseRequested {
		tell("pause", said.Pause.String())
	}
}

// noteUnreadableAnswer counts an answer that can't be read in part, and tells of the first from
// each replica.
func (n *Node) recordUnreadablePushback(replica replicas.Replica, err error) {
	n.counter("pushback.unreadable").Inc(1)
	n.mutex.Lock()
	isNew := n.isNewProblem(replica.ID + " answers: " + err.Error())
	n.mutex.Unlock()
	if isNew {
		n.log.Write(eventlog.Event{Kind: "replica.said", Service: replica.Service, Replica: replica.ID, Outcome: "unreadable", Detail: err.Error()})
	}
}

// PushbackStatus is what operators see of a replica that holds requests back.
type PushbackStatus struct {
	Replica string `json:"replica"`
	Leaving bool   `json:"leaving,omitempty"`
	// Limit is the requests a second that it takes from all nodes together; nil if it names none.
	Limit *float64 `json:"limit_per_s,omitempty"`
	// Pause is for how many milliseconds this node sends it nothing.
	Pause int64 `json:"pause_ms,omitempty"`
}

// pushbackStatus returns what operators see. The caller holds the mutex.
func (n *Node) pushbackStatus(now structs.Instant) []PushbackStatus {
	var told []PushbackStatus
	for _, note := range n.pushback.Reports(now, func(pushback.Incarnation) bool { return true }) {
		status := PushbackStatus{Replica: note.Life.Replica, Leaving: note.Leaving, Pause: note.Pause.Milliseconds()}
		if note.Limit.State == pushback.LimitSet {
			status.Limit = &note.Limit.PerSecond
		}
		told = append(told, status)
	}
	slices.SortFunc(told, func(a, b PushbackStatus) int { return strings.Compare(a.Replica, b.Replica) })
	return told
}
