package entry

// How a request is served: a place, one send (attempt.go), and once more where that is allowed.

import (
	"net/http"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/pushback"
)

// serve gets a place, sends, and sends again where that is allowed.
func (c *call) serve() {
	var tried []string
	runs := 0
	for {
		given := c.node.requestAssignment(c.ctx, c.newAssignRequest(tried, c.sends > 0))
		c.waited += given.Waited
		c.node.recordDuration("place_wait_ms", given.Waited)
		c.logAssignment(given)
		if given.Reason != "" {
			c.endUnassigned(given, runs)
			return
		}
		if !c.node.maySend(given) {
			c.node.finish(given, &finishRequest{Seen: admission.Observation{Left: true}, NotRun: true})
			tried = append(tried, given.Replica.ID)
			if len(tried) >= maxSends {
				c.endUnanswered(resultNotSent, runs)
				return
			}
			continue
		}
		outcome, seen := c.attempt(given)
		if outcome != resultNotSent {
			c.sends++
		}
		c.finish(given, outcome, seen)
		c.logSend(given, outcome)
		if outcome == resultIncomplete || outcome == resultServerError {
			runs++
		}
		if outcome == resultAnswered {
			c.endAnswered()
			return
		}
		if outcome == resultCallerLeft {
			return
		}
		c.resumed = c.resumed || c.headSent
		tried = append(tried, given.Replica.ID)
		if !c.mayRetry(outcome, runs, len(tried)-c.refusedConnects) {
			c.endUnanswered(outcome, runs)
			return
		}
	}
}

// finish tells the scheduling node, and this node's own desk if that is another, how the
// send ended.
func (c *call) finish(given *grant, outcome result, seen admission.Observation) {
	finished := &finishRequest{ID: given.id, Seen: seen, NotRun: outcome == resultNotSent || outcome == resultRejected, Content: c.fingerprint}
	finished.Seen.Whole = outcome == resultAnswered || outcome == resultServerError
	if outcome == resultIncomplete {
		c.checkReplicaCrash(given, finished)
	}
	if given.address != "" {
		c.node.scheduling.observe(c.service, c.promptTokens, finished, given.Replica.ID)
	}
	c.node.finish(given, finished)
}

// noteLife finds out whether the replica that broke the request off ended under it. Where that
// can't be told yet, it is remembered.
func (c *call) checkReplicaCrash(given *grant, finished *finishRequest) {
	ended := &crashedIncarnation{Life: poisonrecords.IncarnationOf(given.Replica.ID, given.Replica.StartedAt), Service: c.service, Route: c.route.Name}
	state := incarnationUnknown // of one that fell silent
	switch c.lastFailure {
	case causeClosed:
		state = c.node.probeIncarnation(given.Replica)
	case causeInvalidResponse:
		return
	}
	switch state {
	case incarnationEnded:
		finished.Ended = ended
	case incarnationUnknown:
		c.node.deferDisconnect(unresolvedDisconnect{replica: given.Replica, content: c.fingerprint, ended: ended})
	}
}

// maySend returns whether the place may be used. It goes back if the operators emptied the replica's
// zone, if the replica leaves, has asked this node to pause or has named a rate limit that the place
// does not count against, or if its version gets no new requests: the scheduling node that gave the
// place may not have known of it.
func (n *Node) maySend(given *grant) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.maySendLocked(given)
}

// beginSend is maySend just before the request is written, and enters that it is.
func (n *Node) beginSend(given *grant) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.maySendLocked(given) {
		return false
	}
	n.pushback.Sent(n.now(), pushback.IncarnationOf(given.Replica))
	return true
}

// isOpen is maySend for who holds the mutex.
func (n *Node) maySendLocked(given *grant) bool {
	life := pushback.IncarnationOf(given.Replica)
	if n.evacuations.IsEvacuated(given.Replica.Zone) || n.pushback.IsLeaving(life) || n.pushback.PauseLeft(n.now(), life) > 0 {
		return false
	}
	if known, found := n.table.Get(life.Replica); found && (known.Draining || n.isExcluded(known)) {
		return false
	}
	isCounted := given.Limit != nil && given.Limit.Limit.State == pushback.LimitSet
	return isCounted || !n.pushback.IsLimited(life)
}

// placeRequest describes the request to the scheduling node.
func (c *call) newAssignRequest(tried []string, repeat bool) *assignRequest {
	node := c.node
	node.mutex.Lock()
	doubted := append(node.health.Failing(node.now()), node.unreachableZoneReplicas()...)
	node.mutex.Unlock()
	request := &assignRequest{
		Request: admission.Request{
			ID:   node.process() + "." + strconv.FormatUint(node.sequence.Add(1), 36),
			Node: node.process(), Zone: node.settings.Load().Zone, Service: c.service, Route: c.route.Name, Priority: c.priority(),
			Content: c.fingerprint, Prompt: c.promptTokens, Answer: c.expectedOutputTokens(), Tried: tried, Doubted: doubted,
			Stride: c.tokensPerEvent(), Pause: c.route.TargetEventGap, Yields: c.route.Priority >= minYieldPriority,
			Deadline: c.remaining(),
			Target:   max(c.route.TargetLatency-c.age(), 0), Patience: c.maxQueueWait(),
		},
		First: len(tried) == 0, Repeat: repeat, Heard: node.pushbackReports(c.service), Known: node.scheduling.poisonRecordOf(c.fingerprint),
	}
	if c.tenant != nil {
		request.Tenant = c.tenant.Name
		if c.tenant.Rate > 0 {
			request.Limit = node.settings.Load().quotaLimit(c.tenant.Rate, c.tenant.Burst)
		}
		request.Cost = c.quotaCost()
	}
	return request
}

// identify takes the request's fingerprint, once its body is read.
func (c *call) computeFingerprint() {
	caller := ""
	if c.tenant != nil {
		caller = c.tenant.Name
	}
	c.fingerprint = fingerprint.Of(caller, c.request.Method, c.request.Host, c.request.RequestURI, c.body)
}

// routePriorities is more than any route's priority, so that the tenant's goes
// ahead of it.
const routePriorityRange = 64

// priority orders requests by the tenant's priority and then the route's.
func (c *call) priority() int {
	if c.tenant != nil && c.tenant.HasPriority {
		return c.tenant.Priority*routePriorityRange + c.route.Priority
	}
	return c.route.Priority
}

// yieldFrom is the first priority of routes whose requests leave some places
// free for more urgent ones.
const minYieldPriority = 2

// expectedTokens is the likely length of the answer.
func (c *call) expectedOutputTokens() int {
	if c.lengthHint > 0 && c.outputTokens > 0 {
		return min(c.lengthHint, c.outputTokens)
	}
	return c.lengthHint
}

// cost is what the request takes of its tenant's quota.
func (c *call) quotaCost() float64 {
	switch {
	case !c.tenant.CountTokens:
		return 1
	case c.promptTokens+c.outputTokens > 0:
		return float64(c.promptTokens + c.outputTokens)
	default:
		return float64(c.tenant.DefaultTokens)
	}
}

// patience is how long the request may wait for a place.
func (c *call) maxQueueWait() time.Duration {
	left := c.remaining()
	if c.route.Kind == kindStreaming {
		silence := max(minSilence, silenceTargetLatencies*c.route.TargetLatency, silenceEventGaps*c.route.TargetEventGap)
		left = min(left, silence-c.age())
	}
	return max(time.Duration(float64(left)*queueWaitShare), 0)
}

// mayRepeat returns whether the request may be sent to another replica.
func (c *call) mayRetry(outcome result, runs, tried int) bool {
	if c.ctx.Err() != nil || tried >= maxSends || c.refusedConnects >= maxRefusedConnects {
		return false
	}
	switch outcome {
	case resultNotSent, resultRejected:
		return runs == 0 || c.route.Repeatable()
	default:
		return c.route.Repeatable() && runs < c.route.MaxAttempts
	}
}

// giveUp answers a request that is not sent again.
func (c *call) endUnanswered(outcome result, runs int) {
	switch {
	case c.request.Context().Err() != nil:
		c.end(http.StatusServiceUnavailable, outcomeForRuns(runs), "caller-left")
	case runs > 0 && c.ctx.Err() != nil:
		c.endOutcomeUnknown(http.StatusGatewayTimeout, "deadline")
	case runs > 0:
		c.endOutcomeUnknown(http.StatusBadGateway, "replica-broke-off")
	case outcome == resultRejected:
		c.endNotRun(http.StatusServiceUnavailable, "replicas-full", retryAfterRejected)
	default:
		c.endNotRun(http.StatusServiceUnavailable, "replicas-unreachable", retryAfterRejected)
	}
}

func outcomeForRuns(runs int) string {
	if runs > 0 {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// retryRejected is when a caller should come back whom several replicas rejected.
const retryAfterRejected = 400 * time.Millisecond

// unplaced answers a request for which there is no place.
func (c *call) endUnassigned(given *grant, runs int) {
	switch {
	case c.request.Context().Err() != nil:
		c.end(http.StatusServiceUnavailable, outcomeForRuns(runs), "caller-left")
	case runs > 0:
		c.endOutcomeUnknown(http.StatusBadGateway, "replica-broke-off")
	case given.Reason == reasonQuota:
		c.endNotRun(http.StatusTooManyRequests, reasonQuota, given.RetryAfter)
	default:
		c.endNotRun(http.StatusServiceUnavailable, given.Reason, max(given.RetryAfter, retryAfterRejected))
	}
}
