package entry

import (
	"cmp"
	"strings"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Under load the events of some requests are buffered until the request ends. Those of answered
// requests are then dropped, all others are logged. All other events are logged at once, so that
// they survive a crash of the process.

// maxBufferedEvents bounds the buffered events of one request, and maxBufferedSearchEvents those up to which events of
// searches for a successor are buffered. Searches recur while a replica is silent; what ends the silence and the sends
// must find room after them.
const (
	maxBufferedEvents       = 24
	maxBufferedSearchEvents = 16
)

// newEvent returns an event of the kind with the fields that identify the request.
func (c *call) newEvent(kind string) eventlog.Event {
	event := eventlog.Event{
		Kind: kind, Request: c.id, Service: c.service,
		TookMS: c.age().Milliseconds(), WaitedMS: c.waited.Milliseconds(),
	}
	if c.route != nil {
		event.Route = c.route.Name
	}
	if c.tenant != nil {
		event.Tenant = c.tenant.Name
	}
	if !c.fingerprint.IsZero() {
		event.Fingerprint = c.fingerprint.String()
	}
	return event
}

// logEvent logs the event, or buffers it.
func (c *call) logEvent(event eventlog.Event) { c.logUpTo(maxBufferedEvents, event) }

// logSearchEvent logs or buffers an event of a search for a successor.
func (c *call) logSearchEvent(event eventlog.Event) { c.logUpTo(maxBufferedSearchEvents, event) }

func (c *call) logUpTo(maxBuffered int, event eventlog.Event) {
	switch {
	case c.alwaysLogged:
		c.node.log.Write(event)
	case len(c.bufferedEvents) < maxBuffered:
		c.bufferedEvents = append(c.bufferedEvents, c.node.log.Stamp(event))
	}
}

// logReceived logs the request and the version of the configuration that serves it.
func (c *call) logReceived(version int64) {
	event := c.newEvent("request.received")
	event.Version, event.Prompt, event.Answer = version, c.promptTokens, c.expectedOutputTokens()
	event.RemainingMS = c.remaining().Milliseconds()
	event.Parts = strings.Join(c.partIDs, ",")
	event.ResumedRequest, event.LastEvent = c.resumedStream()
	if event.ResumedRequest != "" || event.LastEvent != "" {
		c.node.counter("streams.resumed_by_caller").Inc(1)
	}
	c.logEvent(event)
}

// logAssignment logs the scheduling node's decision and its grounds.
func (c *call) logAssignment(granted *grant) {
	event := c.newEvent("request.placed")
	event.Peer, event.Priority, event.IsRetry = granted.scheduler, c.priority(), c.sends > 0
	if granted.schedulerCalls > 1 {
		event.SchedulerCalls = granted.schedulerCalls
	}
	event.QueuedAhead, event.FreeSlots, event.ExpectedWaitMS = granted.Waiting, granted.Free, granted.Expected.Milliseconds()
	if granted.Reason != "" {
		event.Outcome, event.Reason = "refused", granted.Reason
		if granted.BlockedBy != nil {
			event.BlockedBy = granted.BlockedBy.String()
		}
		if c.executions == 0 { // otherwise the caller is not told
			event.RetryAfterMS = granted.retryAfter().Milliseconds()
		}
	} else {
		event.Outcome, event.Replica, event.ReplicaVersion = "granted", granted.Replica.ID, granted.Replica.Version
		event.Revision, event.Era = granted.Replica.Position.Revision(), granted.Replica.Position.Era()
	}
	c.logEvent(event)
}

// logSend logs and counts the outcome of one send.
func (c *call) logSend(granted *grant, outcome result) {
	event := c.newEvent("request.sent")
	event.Replica, event.ReplicaVersion, event.Outcome, event.Peer = granted.Replica.ID, granted.Replica.Version, outcome.String(), granted.scheduler
	if c.resumed {
		event.LastEvent = c.lastEventID
		c.node.counter("streams.continued").Inc(1)
	}
	event.FromEvent, event.ToEvent = c.fromEvent, c.toEvent
	event.Revision, event.Era = granted.Replica.Position.Revision(), granted.Replica.Position.Era()
	event.StartedAt, event.Identity, event.IdentityAgeMS = granted.Replica.StartedAt, string(c.identity.Proof), c.identity.Age.Milliseconds()
	event.Count, event.Reason, event.Forwarder = c.sends, string(c.lastFailure), c.forwarder
	event.Detail = c.failureDetail
	event.FirstEventMS, event.MaxPauseMS = c.firstEventDelay.Milliseconds(), c.maxEventGap.Milliseconds()
	c.logEvent(event)
	c.node.counter("sends." + outcome.String()).Inc(1)
	c.node.counter("streams.identity_sends." + cmp.Or(event.Identity, "none")).Inc(1)
}

// recordEnd logs the end of the request, and the buffered events unless it was answered.
func (c *call) recordEnd(event eventlog.Event) {
	c.ended = true
	event.FirstEventMS, event.MaxPauseMS = c.firstEventDelay.Milliseconds(), c.maxEventGap.Milliseconds()
	event.Prompt, event.Answer = c.promptTokens, c.expectedOutputTokens()
	c.node.counter("requests." + event.Outcome).Inc(1)
	c.node.recordDuration("request_ms."+event.Outcome, c.age())
	if event.Outcome == outcomeAnswered && !c.alwaysLogged {
		c.node.log.LeftOut(len(c.bufferedEvents) + 1)
		return
	}
	for _, line := range c.bufferedEvents {
		c.node.log.Write(line)
	}
	c.node.log.Write(event)
}

// Outcomes of requests in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// logCallerLeft logs that the caller left, unless the request's end is already logged.
func (c *call) logCallerLeft() {
	if c.ended {
		return
	}
	event := c.newEvent("request.ended")
	event.Outcome, event.Reason = outcomeUnknown, "caller-left"
	if c.isStopped() { // a write to the caller was interrupted
		event.Reason, event.IsClosed = reasonStopping, true
		c.countStopped(event)
	}
	c.recordEnd(event)
}
