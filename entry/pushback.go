package entry

import (
	"slices"
	"strconv"
	"strings"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// Pushback that replicas send in their responses (state/pushback).

// applyPushback applies the pushback signals in the response to a request that was sent over the connection at the
// given time. It returns the signals if the scheduling node needs them, and nil otherwise.
func (n *Node) applyPushback(answer *replicahttp.Answer, replica replicas.Replica, connection incarnations.Connection, sentAt structs.Instant) *pushback.Signals {
	signals, err := n.dependencies.ParsePushback(answer.StatusCode, answer.Header)
	if err != nil {
		n.recordUnreadablePushback(replica, err)
	}
	isFromReplica := n.isFromReplica(answer)
	n.mutex.Lock()
	if isFromReplica {
		n.dismissSurvived(replica, connection, sentAt)
	}
	change := n.pushback.Observe(n.now(), sentAt, pushback.IncarnationOf(replica), signals)
	n.mutex.Unlock()
	n.logPushback(replica, signals, change)
	isLimited := signals.Limit.State == pushback.LimitSet || signals.RejectionLimit.State == pushback.LimitSet
	if signals.Leaving || change.PauseRequested || isLimited || change.LimitChanged || change.RejectionLimitChanged {
		return &signals
	}
	return nil
}

// pushbackReports returns the reports on the service's replicas that the scheduling node needs.
func (n *Node) pushbackReports(service string) []pushback.Report {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.pushback.Reports(n.now(), n.isReported(service))
}

// rejectionLimits returns the reports of the rejection limits of the service's replicas.
func (n *Node) rejectionLimits(service string) []pushback.Report {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.pushback.RejectionLimits(n.now(), n.isReported(service))
}

// isReported returns the condition for reports on the service's replicas. The caller of the condition holds
// the mutex.
func (n *Node) isReported(service string) func(incarnation pushback.Incarnation) bool {
	return func(incarnation pushback.Incarnation) bool {
		known, found := n.table.Get(incarnation.Replica)
		return found && known.Service == service && pushback.IncarnationOf(known) == incarnation && !known.Draining // the scheduling node knows the draining ones
	}
}

// logPushback counts and logs each change that a response caused.
func (n *Node) logPushback(replica replicas.Replica, signals pushback.Signals, change pushback.Change) {
	log := func(outcome, detail string) {
		n.counter("pushback." + outcome).Inc(1)
		n.log.Write(eventlog.Event{Kind: "replica.said", Service: replica.Service, Replica: replica.ID, Outcome: outcome, Detail: detail})
	}
	if change.StartedLeaving {
		log("leaving", "")
	}
	switch {
	case change.LimitChanged && signals.Limit.State == pushback.LimitSet:
		log("limited", strconv.FormatFloat(signals.Limit.PerSecond, 'g', 6, 64)+" a second")
	case change.LimitChanged:
		log("unlimited", "")
	}
	switch {
	case change.RejectionLimitChanged && signals.RejectionLimit.State == pushback.LimitSet:
		log("brittle", strconv.FormatFloat(signals.RejectionLimit.PerSecond, 'g', 6, 64)+" rejections a second")
	case change.RejectionLimitChanged:
		log("not-brittle", "")
	}
	if change.PauseRequested {
		log("pause", signals.Pause.String())
	}
}

// recordUnreadablePushback counts a response whose pushback signals can't be parsed, and logs each
// distinct error of a replica once.
func (n *Node) recordUnreadablePushback(replica replicas.Replica, err error) {
	n.counter("pushback.unreadable").Inc(1)
	n.mutex.Lock()
	isNew := n.isNewProblem(replica.ID + " answers: " + err.Error())
	n.mutex.Unlock()
	if isNew {
		n.log.Write(eventlog.Event{Kind: "replica.said", Service: replica.Service, Replica: replica.ID, Outcome: "unreadable", Detail: err.Error()})
	}
}

// PushbackStatus is the pushback of a replica as shown to operators.
type PushbackStatus struct {
	Replica string `json:"replica"`
	Leaving bool   `json:"leaving,omitempty"`
	// Limit is the number of requests per second that the replica accepts from all nodes together;
	// nil if it sets none.
	Limit *float64 `json:"limit_per_s,omitempty"`
	// RejectionLimit is the number of requests per second that the replica may reject for lack of room
	// without crashing; nil if it is not brittle.
	RejectionLimit *float64 `json:"rejections_per_s,omitempty"`
	// Pause is the time for which this node sends the replica nothing, in milliseconds.
	Pause int64 `json:"pause_ms,omitempty"`
}

// pushbackStatus returns the pushback of all replicas, sorted by replica. The caller holds the
// mutex.
func (n *Node) pushbackStatus(now structs.Instant) []PushbackStatus {
	var statuses []PushbackStatus
	for _, report := range n.pushback.Reports(now, func(pushback.Incarnation) bool { return true }) {
		status := PushbackStatus{Replica: report.Incarnation.Replica, Leaving: report.Leaving, Pause: report.Pause.Milliseconds()}
		if report.Limit.State == pushback.LimitSet {
			status.Limit = &report.Limit.PerSecond
		}
		statuses = append(statuses, status)
	}
	for _, report := range n.pushback.RejectionLimits(now, func(pushback.Incarnation) bool { return true }) {
		if report.Limit.State == pushback.LimitSet {
			statuses = append(statuses, PushbackStatus{Replica: report.Incarnation.Replica, RejectionLimit: &report.Limit.PerSecond})
		}
	}
	slices.SortFunc(statuses, func(a, b PushbackStatus) int { return strings.Compare(a.Replica, b.Replica) })
	return statuses
}
