package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// Reasons of a change of the scheduling node, as logged.
const (
	// reasonSilent means that no heartbeat of the former one arrived within its failure timeout, reasonSuspected
	// that a call to it failed.
	reasonSilent    = "silent"
	reasonSuspected = "suspected"
	reasonLeaving   = "leaving"
	reasonSlow      = "slow"
	// reasonHeardAgain means that the new one was regarded as failed less than schedulerReturnTime ago, so
	// that its heartbeats were missing rather than the node.
	reasonHeardAgain = "heard-again"
	// reasonPreferred means that the new one precedes the former one, which could schedule as well.
	reasonPreferred = "preferred"
)

// schedulerReturnTime is the time after which a scheduling node that is heard again is more likely to have been
// unreachable than to have been missed. A restarted process has another incarnation.
const schedulerReturnTime = 10 * time.Second

// failedScheduler is the scheduling node that this node last regarded as failed.
type failedScheduler struct {
	name        string
	incarnation uint64
	at          structs.Instant
}

// recordSchedulerChange counts a change from the former scheduling node, which may be empty, and returns the event that
// explains it. The caller holds the mutex.
func (n *Node) recordSchedulerChange(now structs.Instant, former string) eventlog.Event {
	event := eventlog.Event{Kind: "scheduler", Peer: n.scheduler, Outcome: "moved", Detail: "from " + former, Count: n.size.Live}
	if current, found := n.members.Get(n.scheduler); found && n.isHeardAgain(now, current.Incarnation) {
		event.Reason, event.AgeMS = reasonHeardAgain, (now - n.failedScheduler.at).Milliseconds()
		n.counter("scheduler.heard_again").Inc(1)
		return event
	}
	member, found := n.members.Get(former)
	if !found {
		return event
	}
	event.AgeMS = member.SinceHeartbeat(now).Milliseconds()
	switch {
	case member.Suspected():
		event.Reason = reasonSuspected
	case n.members.IsSilent(now, former):
		event.Reason = reasonSilent
		n.counter("scheduler.silent").Inc(1)
		n.failedScheduler = failedScheduler{name: former, incarnation: member.Incarnation, at: now}
	case member.Leaving:
		event.Reason = reasonLeaving
	case member.Slow:
		event.Reason = reasonSlow
	default:
		event.Reason = reasonPreferred
	}
	return event
}

// isHeardAgain reports whether the scheduling node is the process that this node regarded as failed a short time
// ago. The caller holds the mutex.
func (n *Node) isHeardAgain(now structs.Instant, incarnation uint64) bool {
	failed := n.failedScheduler
	return failed.name == n.scheduler && failed.incarnation == incarnation && now-failed.at < schedulerReturnTime
}
