package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/coordination/stops"
	"github.com/thornwalk/thornwalk/internal/eventlog"
)

const (
	// balancerUpdateTime is the time in which the balancer finds that the node is not ready. Idle connections are closed
	// after it, so that callers open new ones, to other nodes.
	balancerUpdateTime = stops.BalancerUpdateTime
	// stopPollInterval is the time between checks of the requests that wait.
	stopPollInterval = 50 * time.Millisecond
	// After the final answers, callers have finalAnswerTime to read them, and responses that are still being written then
	// are broken off. closeTime is the time until the servers are closed.
	finalAnswerTime = 200 * time.Millisecond
	closeTime       = 350 * time.Millisecond
)

// errStopping is the cause with which requests in progress are ended at the end of a planned stop.
var errStopping = errors.New("the node is stopping")

// Stop stops the node gracefully and returns once it has ended. The node is not ready at once, but serves requests until
// the balancer no longer sends any and the last response is complete, at most for StopGrace (coordination/stops). A further
// call waits for the first one.
func (n *Node) Stop() {
	if !n.isStopBegun.CompareAndSwap(false, true) {
		<-n.stopEnded
		return
	}
	defer close(n.stopEnded)
	// The grace began with the signal: settings that change later don't change it.
	n.stopGrace.Store(int64(n.settings.Load().stopGrace()))
	n.stoppingSince.Store(int64(max(n.now(), 1)))
	n.log.Write(eventlog.Event{Kind: "process.stop", Outcome: "begun", Count: int(n.inFlight.Load())})
	n.sendHeartbeats()
	startedAt := n.now()
	limit, unconditionalUntil := n.stopPlan().AnswerBy(), n.stopPlan().UnconditionalUntil()
	keepAlivesClosed := false
	for n.now()-startedAt < limit {
		if n.now()-startedAt > balancerUpdateTime && !keepAlivesClosed {
			n.callerServer.SetKeepAlivesEnabled(false)
			keepAlivesClosed = true
		}
		// Until then callers may send their first request over a connection that they have opened.
		if n.now()-startedAt >= unconditionalUntil && keepAlivesClosed && n.inFlight.Load() == 0 && n.forwarded.Load() == 0 {
			break
		}
		n.waits.giveUpLate(n)
		time.Sleep(min(stopPollInterval, max(limit-(n.now()-startedAt), time.Millisecond)))
	}
	n.waits.giveUpLate(n)
	ended := n.calls.endAll()
	n.closeServers()
	n.log.Write(eventlog.Event{Kind: "process.stop", Outcome: "ended", Count: ended, Detail: n.stopSummary()})
	n.Kill()
}

// closeServers closes the listeners and the connections as their responses end, for closeTime at most.
func (n *Node) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	interrupt := time.AfterFunc(finalAnswerTime, n.calls.interruptWrites)
	defer interrupt.Stop()
	for _, server := range n.servers {
		_ = server.Shutdown(ctx)
	}
}

// Kill ends the node without waiting for requests, and returns once its loops have ended.
func (n *Node) Kill() {
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.peerListener.Close()
	_ = n.heartbeatConn.Close()
	n.peers.Close()
	n.loops.Wait()
}

// stoppingFor returns for how long the node has been stopping, or zero if it is not.
func (n *Node) stoppingFor() time.Duration {
	startedAt := n.stoppingSince.Load()
	if startedAt == 0 {
		return 0
	}
	return n.now() - time.Duration(startedAt)
}

// stopPlan returns the plan of the stop that goes on.
func (n *Node) stopPlan() stops.Plan { return stops.Plan{Grace: time.Duration(n.stopGrace.Load())} }

// answerTimeLeft returns the time until requests get their final answer as the node stops; the longest time if it does not.
func (n *Node) answerTimeLeft() time.Duration {
	if n.stoppingSince.Load() == 0 {
		return math.MaxInt64
	}
	return max(n.stopPlan().AnswerBy()-n.stoppingFor(), 0)
}

// Counters of the requests that a stop refused or ended.
const (
	counterStopTaken     = "stop.taken_late"
	counterStopRefused   = "stop.refused"
	counterStopGivenUp   = "stop.given_up"
	counterStopUnknown   = "stop.outcome_unknown"
	counterStopBrokenOff = "stop.broken_off"
)

func (n *Node) stopSummary() string {
	count := func(name string) int64 { return n.counter(name).Count() }
	return fmt.Sprintf("taken late: %d, refused: %d, given up: %d, outcome unknown: %d, broken off: %d", count(counterStopTaken),
		count(counterStopRefused), count(counterStopGivenUp), count(counterStopUnknown), count(counterStopBrokenOff))
}

// countStopped counts a request that ended as the node stops.
func (c *call) countStopped(end eventlog.Event) {
	switch {
	case end.Reason != reasonStopping:
	case end.IsClosed:
		c.node.counter(counterStopBrokenOff).Inc(1)
	case end.Outcome == outcomeUnknown:
		c.node.counter(counterStopUnknown).Inc(1)
	case c.isGivenUp:
		c.node.counter(counterStopGivenUp).Inc(1)
	default:
		c.node.counter(counterStopRefused).Inc(1)
	}
}

// isStopped reports whether the request is to end as the node stops. A caller that closed its connection before that has
// left; later, the node may have closed it.
func (c *call) isStopped() bool { return c.isGivenUp || context.Cause(c.ctx) == errStopping }

// endStopping ends a request as the node stops.
func (c *call) endStopping() {
	if c.executions > 0 || c.headSent {
		c.endOutcomeUnknown(http.StatusBadGateway, reasonStopping)
		return
	}
	c.writer.Header().Set("Connection", "close")
	c.endNotRun(http.StatusServiceUnavailable, reasonStopping, retryAfterStopping)
}

// kind returns the kind of the request, by which its times are observed.
func (c *call) kind() stops.Kind { return stops.Kind{Service: c.service, Route: c.route.Name} }

// facts returns what a decision on the request rests on, without the times.
func (c *call) facts() stops.Request {
	return stops.Request{
		IsRepeatable: c.route.Repeatable(), IsStream: c.route.Kind == kindStreaming, HasBegun: c.executions > 0 || c.headSent,
	}
}

// decideStop decides on the request, now that the node has been stopping for the time.
func (c *call) decideStop(since time.Duration) stops.Decision {
	request := c.facts()
	request.Remaining, request.Expected = c.remaining(), c.node.times.Expect(c.node.now(), c.kind())
	return c.node.stopPlan().Decide(since, request)
}

// isTaken reports whether the node takes the request, whose body was read, although it may be stopping.
func (c *call) isTaken() bool {
	since := c.node.stoppingFor()
	if since == 0 {
		return true
	}
	isTaken := c.decideStop(since).Take
	if isTaken && since > c.node.stopPlan().UnconditionalUntil() {
		c.node.counter(counterStopTaken).Inc(1)
	}
	return isTaken
}

// writeTimeLeft returns the time in which the request may be written to a replica; the longest time if the node is not
// stopping.
func (c *call) writeTimeLeft() time.Duration {
	since := c.node.stoppingFor()
	if since == 0 {
		return math.MaxInt64
	}
	return max(c.decideStop(since).WriteBy-since, 0)
}

// isWriteInTime reports whether the request may still be written to a replica.
func (c *call) isWriteInTime() bool { return c.writeTimeLeft() > 0 }

// awaitAssignment requests an assignment. The wait is given up, and isGivenUp set, once the request can't be written in time
// as the node stops.
func (c *call) awaitAssignment(request *assignRequest) *grant {
	startedAt := c.node.now()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	waiting := c.beginWait(func() { cancel(errStopping) })
	granted := c.node.requestAssignment(ctx, request)
	c.isGivenUp = waiting.end() && granted.Reason != ""
	if (granted.Reason == "" || c.isGivenUp) && c.route.Kind != kindStreaming {
		c.node.times.Waited(c.kind(), c.node.now()-startedAt)
	}
	return granted
}

// beginRun records that the request is written to a replica, unless its response is a stream.
func (c *call) beginRun() *stops.Run {
	if c.route.Kind == kindStreaming {
		return nil
	}
	return c.node.times.Begin(c.node.now(), c.kind())
}

// endRun records the end of what beginRun returned.
func (n *Node) endRun(run *stops.Run, isComplete bool) {
	if run != nil {
		n.times.End(n.now(), run, isComplete)
	}
}
