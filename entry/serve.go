package entry

// Serving a request: an assignment, one send (attempt.go), and retries where these are allowed.

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/coordination/returns"
	"github.com/thornwalk/thornwalk/coordination/tenantstats"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/state/promptparts"
	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// serve requests an assignment and sends, with retries, until the request has ended.
func (c *call) serve() {
	defer c.silence.end()
	var begun *send
	for {
		granted := c.assign(begun)
		if granted == nil {
			return
		}
		outcome, observed := c.attempt(granted, begun)
		if outcome != resultNotSent {
			c.sends++
		}
		c.finish(granted, outcome, observed)
		c.logSend(granted, outcome)
		if outcome == resultIncomplete || outcome == resultServerError {
			c.executions++
		}
		if outcome == resultAnswered {
			c.endAnswered()
			return
		}
		if outcome == resultCallerLeft {
			c.abort()
		}
		c.resumed = c.resumed || c.headSent
		c.tried = append(c.tried, granted.Replica.ID)
		if begun = c.silence.next(); begun == nil && !c.mayRetry(outcome, c.executions, c.countedTries()) {
			c.endUnanswered(outcome)
			return
		}
	}
}

// assign returns the assignment of the next send, which is that of the send that has begun, if there is one. If it
// returns nil, it has ended the request.
func (c *call) assign(begun *send) *grant {
	if begun != nil {
		return begun.granted
	}
	for {
		request := c.newAssignRequest(c.tried, c.sends > 0)
		request.MayHaveRun = c.executions > 0
		granted := c.awaitAssignment(request)
		c.waited += granted.Waited
		c.node.recordDuration("place_wait_ms", granted.Waited)
		granted.origin = c.origin
		c.logAssignment(granted)
		if granted.Reason != "" {
			if c.sends > 0 {
				c.retryRefusal = granted.Reason
			}
			c.endUnassigned(granted)
			return nil
		}
		c.isGivenUp = !c.isWriteInTime()
		if !c.isGivenUp && c.node.maySend(granted) {
			c.retryRefusal = ""
			return granted
		}
		c.node.reportFinish(granted, &finishRequest{Observation: admission.Observation{CallerLeft: true}, NotRun: true, Unsent: true})
		c.tried = append(c.tried, granted.Replica.ID)
		if c.isGivenUp || len(c.tried)-c.unproven >= maxSends {
			c.endUnanswered(resultNotSent)
			return nil
		}
	}
}

// finish reports the end of the send to the scheduling node, and lets this node's own scheduling
// service observe it if the scheduling node is another one.
func (c *call) finish(granted *grant, outcome result, observed admission.Observation) {
	message := &finishRequest{ID: granted.id, Observation: observed, NotRun: outcome == resultNotSent || outcome == resultRejected, Unsent: outcome == resultNotSent, Rejected: c.lackedRoom, Fingerprint: c.fingerprint}
	message.Observation.Whole = outcome == resultAnswered || outcome == resultServerError
	message.Observation.Succeeded = outcome == resultAnswered && c.answeredStatus < http.StatusMultipleChoices
	if outcome == resultIncomplete && c.isReplicaAtFault(granted, message) {
		c.node.recordBroken(granted.Replica.ID)
	} else if outcome == resultIncomplete {
		message.Observation.CallerLeft = true // counts neither for nor against the replica
	}
	hasEnded := message.Ended != nil || outcome == resultNotSent && c.lastFailure == causeRefused
	message.HasReplicaEnded = hasEnded && c.node.mayStartUnseen()
	if granted.address != "" {
		c.node.scheduling.observe(c.service, c.promptTokens, message, granted.Replica.ID, c.partKeys)
	}
	if outcome != resultAnswered {
		message.Doubted = c.node.doubtOf(granted.Replica)
	}
	c.node.reportFinish(granted, message)
}

// isReplicaAtFault reports whether the replica failed the request, and not the path to it. It determines
// whether the replica has crashed, and enters the crash into the message, or defers the finding if the
// replica's state is unknown.
func (c *call) isReplicaAtFault(granted *grant, message *finishRequest) bool {
	crashed := &crashedIncarnation{Incarnation: poisonrecords.IncarnationOf(granted.Replica.ID, granted.Replica.StartedAt), Service: c.service, Route: c.route.Name}
	if !message.Observation.ProvesPrompt() {
		crashed.Parts, crashed.Tenant = c.promptParts(), c.tenantName()
	}
	state := incarnationUnknown // also after a timeout
	switch c.lastFailure {
	case causeClosed:
		state = c.node.probeIncarnation(granted.Replica)
	case causeInvalidResponse:
		return true
	case causeForwarderLost, causeMemoryFull, causeStopping:
		return false
	case causeTimeout:
		if c.forwarder == "" && c.node.isPathForwarded(granted.Replica.ID) {
			return false
		}
	}
	// A replica that accepts connections right after it closed one has not been replaced.
	if c.lastFailure.isDoubt() && state != incarnationNotCrashed && state != incarnationReachedByPeer {
		c.node.recordDoubt(incarnations.Of(granted.Replica))
	}
	switch state {
	case incarnationReachedByPeer:
		return c.forwarder != ""
	case incarnationEnded:
		message.Ended = crashed
	case incarnationUnknown:
		c.node.deferDisconnect(unresolvedDisconnect{replica: granted.Replica, fingerprint: c.fingerprint, crash: crashed})
	}
	return true
}

// maySend reports whether the assignment may still be used. It must be returned if the zone is
// evacuated, or if the replica leaves, asked for a pause, reported a rate limit that the assignment
// does not count against, or has an excluded version or one at which a begun stream must not go on. The
// scheduling node may not know of it yet.
func (n *Node) maySend(granted *grant) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.maySendLocked(granted)
}

// beginSend checks maySend again just before the request is written, and records the send.
func (n *Node) beginSend(granted *grant) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.maySendLocked(granted) {
		return false
	}
	n.pushback.Sent(n.now(), pushback.IncarnationOf(granted.Replica))
	return true
}

// maySendLocked is maySend for callers that hold the mutex.
func (n *Node) maySendLocked(granted *grant) bool {
	if !n.acceptsRequestsLocked(granted.Replica) || !n.mayGoOnAtLocked(granted) {
		return false
	}
	isCounted := granted.Limit != nil && granted.Limit.Limit.State == pushback.LimitSet
	return isCounted || !n.pushback.IsLimited(pushback.IncarnationOf(granted.Replica))
}

// acceptsRequestsLocked reports whether the replica may get requests, apart from its rate limit. The caller
// holds the mutex.
func (n *Node) acceptsRequestsLocked(replica replicas.Replica) bool {
	incarnation := pushback.IncarnationOf(replica)
	if n.evacuations.IsEvacuated(replica.Zone) || n.pushback.IsLeaving(incarnation) || n.pushback.PauseLeft(n.now(), incarnation) > 0 {
		return false
	}
	known, found := n.table.Get(replica.ID)
	return !found || !known.Draining && !n.isExcluded(known)
}

// newAssignRequest returns the request for an assignment; tried are the replicas of earlier ones.
func (c *call) newAssignRequest(tried []string, isRetry bool) *assignRequest {
	node := c.node
	isFirst := len(tried) == 0
	if !isFirst {
		c.refreshTenant()
	}
	node.mutex.Lock()
	suspected := append(node.health.Failing(node.now()), node.unreachableZoneReplicas()...)
	if !c.origin.IsZero() {
		tried = append(slices.Clone(tried), node.unprovableReplicas(c.origin)...)
	}
	node.mutex.Unlock()
	request := &assignRequest{
		Request: admission.Request{
			ID:   node.process() + "." + strconv.FormatUint(node.sequence.Add(1), 36),
			Node: node.process(), Zone: node.settings.Load().Zone, Service: c.service, Route: c.route.Name, Priority: c.priority(),
			Fingerprint: c.fingerprint, PromptTokens: c.promptTokens, AnswerTokens: c.expectedOutputTokens(), Tried: tried, Doubted: suspected,
			TokensPerEvent: c.tokensPerEvent(), MaxEventGap: c.route.TargetEventGap, Yields: c.route.Priority >= minYieldPriority,
			Deadline: c.remaining(), Parts: c.partKeys, Version: c.origin.Version,
			Target: max(c.route.TargetLatency-c.age(), 0), Patience: min(c.maxQueueWait(), c.writeTimeLeft()),
		},
		First: isFirst, Repeat: isRetry, RequestID: tenantstats.ShortName(c.id), PushbackReports: node.pushbackReports(c.service), RejectionLimits: node.rejectionLimits(c.service),
	}
	request.Known, request.KnownParts = node.scheduling.recentPoisonRecords(c.fingerprint, c.partKeys)
	if c.tenant != nil {
		request.Tenant, request.Request.Tenant = c.tenant.Name, c.tenant.Name
		request.Request.Weight = node.settings.Load().tenantWeight(node.catalog.Load(), c.tenant)
		if c.tenant.Rate > 0 {
			request.Limit = node.settings.Load().quotaLimit(c.tenant.Rate, c.tenant.Burst)
		}
		request.Cost = c.quotaCost()
	}
	return request
}

// computeFingerprint sets the request's fingerprint. The body must have been read.
func (c *call) computeFingerprint() {
	c.fingerprint = fingerprint.Of(c.tenantName(), c.request.Method, c.request.Host, c.request.RequestURI, c.body)
}

// computePartKeys sets the keys of the shared parts of the prompt. The service must be set.
func (c *call) computePartKeys() {
	for _, id := range c.partIDs {
		c.partKeys = append(c.partKeys, promptparts.Key(c.tenantName(), c.service, id))
	}
}

// promptParts returns the shared parts of the prompt.
func (c *call) promptParts() []poison.Part {
	parts := make([]poison.Part, len(c.partIDs))
	for i, id := range c.partIDs {
		parts[i] = poison.Part{Key: c.partKeys[i], ID: id}
	}
	return parts
}

// routePriorityRange is above any route's priority, so that the tenant's priority has precedence.
const routePriorityRange = 64

// priority returns the request's priority: the tenant's, if it has one, and then the route's.
func (c *call) priority() int {
	if c.tenant != nil && c.tenant.HasPriority {
		return c.tenant.Priority*routePriorityRange + c.route.Priority
	}
	return c.route.Priority
}

// minYieldPriority is the lowest priority value of routes whose requests leave some slots free
// for more urgent ones.
const minYieldPriority = 2

// expectedOutputTokens returns the expected length of the response in tokens; zero means unknown.
func (c *call) expectedOutputTokens() int {
	if c.lengthHint > 0 && c.outputTokens > 0 {
		return min(c.lengthHint, c.outputTokens)
	}
	return c.lengthHint
}

// quotaCost returns how many units of its tenant's quota the request uses.
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

// maxQueueWait returns how long the request may be queued.
func (c *call) maxQueueWait() time.Duration {
	remaining := c.remaining()
	if c.route.Kind == kindStreaming {
		silence := max(minSilence, silenceTargetLatencies*c.route.TargetLatency, silenceEventGaps*c.route.TargetEventGap)
		silentSince := max(c.arrived, c.lastEventAt)
		remaining = min(remaining, silence-(c.node.now()-silentSince))
	}
	return max(time.Duration(float64(remaining)*queueWaitShare), 0)
}

// countedTries returns the number of replicas that count as sends of the request.
func (c *call) countedTries() int { return len(c.tried) - c.refusedConnects - c.unproven }

// mayRetry reports whether the request may be sent to another replica.
func (c *call) mayRetry(outcome result, executions, tried int) bool {
	if c.isGivenUp || c.isOriginUncertain() && !c.resolveOrigin() || c.ctx.Err() != nil || tried >= maxSends || c.refusedConnects >= maxRefusedConnects || c.unproven >= maxUnproven {
		return false
	}
	switch outcome {
	case resultNotSent, resultRejected:
		return executions == 0 || c.route.Repeatable()
	default:
		return c.route.Repeatable() && executions < c.route.MaxAttempts
	}
}

// endUnanswered ends a request that is not retried.
func (c *call) endUnanswered(outcome result) {
	switch {
	case c.isStopped():
		c.endStopping()
	case c.request.Context().Err() != nil:
		c.end(http.StatusServiceUnavailable, outcomeForExecutions(c.executions), "caller-left")
	case c.isEvicted():
		c.endEvicted()
	case c.executions > 0 && c.lastFailure == causeMemoryFull:
		c.endOutcomeUnknown(http.StatusBadGateway, reasonMemoryFull)
	case c.executions > 0 && c.ctx.Err() != nil:
		c.endOutcomeUnknown(http.StatusGatewayTimeout, "deadline")
	case c.executions > 0:
		c.endOutcomeUnknown(http.StatusBadGateway, "replica-broke-off")
	case outcome == resultRejected:
		c.endNotRun(http.StatusServiceUnavailable, "replicas-full", retryAfterRejected)
	case c.lastFailure == causeUnproven:
		c.endNotRun(http.StatusServiceUnavailable, "replicas-unproven", retryAfterRejected)
	default:
		c.endNotRun(http.StatusServiceUnavailable, "replicas-unreachable", retryAfterRejected)
	}
}

// outcomeForExecutions returns the outcome of an unanswered request after some executions.
func outcomeForExecutions(executions int) string {
	if executions > 0 {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// retryAfterRejected is the minimum Retry-After of requests that replicas or the scheduler rejected. A
// planned return is never earlier, so that the caller is told the planned time.
const retryAfterRejected = returns.MinDelay

// minRetryAfterHeader is the shortest time in the Retry-After header, which has two decimals.
const minRetryAfterHeader = 10 * time.Millisecond

// retryAfter returns the Retry-After of a request without an assignment.
func (g *grant) retryAfter() time.Duration {
	if g.Reason == reasonQuota {
		return max(g.RetryAfter, minRetryAfterHeader)
	}
	return max(g.RetryAfter, retryAfterRejected)
}

// endUnassigned ends a request that got no assignment.
func (c *call) endUnassigned(granted *grant) {
	switch {
	case c.isStopped():
		c.endStopping()
	case c.request.Context().Err() != nil:
		c.end(http.StatusServiceUnavailable, outcomeForExecutions(c.executions), "caller-left")
	case c.isEvicted():
		c.endEvicted()
	case c.executions > 0:
		c.endOutcomeUnknown(http.StatusBadGateway, "replica-broke-off")
	case granted.Reason == reasonQuota:
		c.endNotRun(http.StatusTooManyRequests, reasonQuota, granted.retryAfter())
	default:
		c.endNotRun(http.StatusServiceUnavailable, granted.Reason, granted.retryAfter())
	}
}
