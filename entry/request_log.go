package entry

import (
	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Under load the lines of some requests are held until their end is known: those
// of a request that went well are then left out, those of all others are written.
// All other lines are written at once, so that they outlive the process.

// maximumLines bounds the lines that are held for one request.
const maxBufferedEvents = 24

// event returns a line with what names the request.
func (c *call) newEvent(kind string) eventlog.Event {
	event := eventlog.Event{
		Kind: kind, Request: c.id, Service: c.service,
		Took: c.age().Milliseconds(), Waited: c.waited.Milliseconds(),
	}
	if c.route != nil {
		event.Route = c.route.Name
	}
	if c.tenant != nil {
		event.Tenant = c.tenant.Name
	}
	if !c.fingerprint.IsZero() {
		event.Content = c.fingerprint.String()
	}
	return event
}

// note writes a line, or holds it.
func (c *call) logEvent(event eventlog.Event) {
	switch {
	case c.alwaysLogged:
		c.node.log.Write(event)
	case len(c.bufferedEvents) < maxBufferedEvents:
		c.bufferedEvents = append(c.bufferedEvents, c.node.log.Stamp(event))
	}
}

// noteReceived tells what the request is and by which configuration it is served.
func (c *call) logReceived(version int64) {
	event := c.newEvent("request.received")
	event.Version, event.Prompt, event.Answer = version, c.promptTokens, c.expectedOutputTokens()
	event.Remaining = c.remaining().Milliseconds()
	c.logEvent(event)
}

// notePlace tells the scheduling node's decision and what it went by.
func (c *call) logAssignment(given *grant) {
	event := c.newEvent("request.placed")
	event.Peer, event.Priority, event.Repeat = given.scheduler, c.priority(), c.sends > 0
	if given.asked > 1 {
		event.Asked = given.asked
	}
	event.Waiting, event.Free, event.Expected = given.Waiting, given.Free, given.Expected.Milliseconds()
	if given.Reason != "" {
		event.Outcome, event.Reason = "refused", given.Reason
	} else {
		event.Outcome, event.Replica = "granted", given.Replica.ID
		event.Revision, event.Era = given.Replica.Position.Revision(), given.Replica.Position.Era()
	}
	c.logEvent(event)
}

// noteSend tells what became of one send.
func (c *call) logSend(given *grant, outcome result) {
	event := c.newEvent("request.sent")
	event.Replica, event.Outcome, event.Peer = given.Replica.ID, outcome.String(), given.scheduler
	event.Revision, event.Era = given.Replica.Position.Revision(), given.Replica.Position.Era()
	event.Count, event.Reason = c.sends, string(c.lastFailure)
	event.First, event.Pause = c.firstEventDelay.Milliseconds(), c.maxEventGap.Milliseconds()
	c.logEvent(event)
	c.node.counter("sends." + outcome.String()).Inc(1)
}

// noteEnd writes the last line of the request and those before it.
func (c *call) recordEnd(event eventlog.Event) {
	c.ended = true
	event.First, event.Pause = c.firstEventDelay.Milliseconds(), c.maxEventGap.Milliseconds()
	event.Prompt, event.Answer = c.promptTokens, c.expectedOutputTokens()
	c.logEvent(event)
	c.node.counter("requests." + event.Outcome).Inc(1)
	c.node.recordDuration("request_ms."+event.Outcome, c.age())
	if event.Outcome == outcomeAnswered {
		c.node.log.LeftOut(len(c.bufferedEvents))
		return
	}
	for _, line := range c.bufferedEvents {
		c.node.log.Write(line)
	}
}

// Outcomes of requests in lines and metrics.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// noteLeft ends the lines of a request whose caller left in the middle of it.
func (c *call) logCallerLeft() {
	if c.ended {
		return
	}
	event := c.newEvent("request.ended")
	event.Outcome, event.Reason = outcomeUnknown, "caller-left"
	c.recordEnd(event)
}
