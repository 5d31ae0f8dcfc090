package entry

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/poison"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// result is what became of one send.
type result int

const (
	// resultAnswered means that the caller has the whole answer.
	resultAnswered result = iota
	// resultNotSent means that no byte was written.
	resultNotSent
	// resultRejected means that the replica proved that it did not run the request.
	resultRejected
	// resultBroken means that the request may have run and gave no whole answer.
	resultBroken
	// resultFailed means that the replica ran the request and answered a failure
	// that a repeatable request need not take for final.
	resultFailed
	// resultLeft means that the caller is gone.
	resultLeft
)

// Bounds of repeated sends.
const (
	// maximumSends bounds the sends of one request, those included that a replica rejected or
	// could not be reached for in time.
	maximumSends = 4
	// maximumRefusedConnects bounds the connects of one request to addresses where nobody
	// listens. Each costs 2 ms and nothing runs, while the replicas beside may be idle: with
	// six of eight down and connects counted as sends, a third of the first requests was
	// refused by four of them in a row.
	maximumRefusedConnects = 16
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 300 * time.Millisecond
	// restSafe and restOnce bound how long a connection may have rested that
	// carries a repeatable request, or one that must not run twice.
	restSafe = 10 * time.Second
	restOnce = 1500 * time.Millisecond
	// patienceShare is the part of the caller's time for which a place is waited for.
	patienceShare = 0.45
	// Callers give a stream up that is silent for the longest of minimumSilence,
	// silenceTargets times the route's target and silenceGaps times its longest pause.
	silenceTargets = 4
	silenceGaps    = 8
	minimumSilence = 2 * time.Second
)

// serve gets a place, sends, and sends again where that is allowed.
func (c *call) serve() {
	var tried []string
	runs := 0
	for {
		given := c.node.place(c.ctx, c.placeRequest(tried, c.sends > 0))
		c.waited += given.Waited
		c.node.observe("place_wait_ms", given.Waited)
		c.notePlace(given)
		if given.Reason != "" {
			c.unplaced(given, runs)
			return
		}
		if c.node.knownToLeave(given.Replica.ID) && len(tried) < maximumSends {
			c.node.finish(given, &finishRequest{Seen: admission.Observation{Left: true}, NotRun: true})
			tried = append(tried, given.Replica.ID)
			continue
		}
		outcome, seen := c.attempt(given)
		if outcome != resultNotSent {
			c.sends++
		}
		c.finish(given, outcome, seen)
		c.noteSend(given, outcome)
		if outcome == resultBroken || outcome == resultFailed {
			runs++
		}
		if outcome == resultAnswered {
			c.endAnswered()
			return
		}
		if outcome == resultLeft {
			return
		}
		c.resumed = c.resumed || c.headSent
		tried = append(tried, given.Replica.ID)
		if !c.mayRepeat(outcome, runs, len(tried)-c.refusedConnects) {
			c.giveUp(outcome, runs)
			return
		}
	}
}

// finish tells the scheduling node, and this node's own desk if that is another, how the
// send ended.
func (c *call) finish(given *grant, outcome result, seen admission.Observation) {
	finished := &finishRequest{ID: given.id, Seen: seen, NotRun: outcome == resultNotSent || outcome == resultRejected, Content: c.fingerprint}
	finished.Seen.Whole = outcome == resultAnswered || outcome == resultFailed
	if outcome == resultBroken && c.broke == breakClosed && c.node.hasEnded(given.Replica) {
		finished.Ended = &lifeEnded{Life: poison.LifeOf(given.Replica.ID, given.Replica.Born), Service: c.service, Route: c.route.Name}
	}
	if given.address != "" {
		c.node.desk.observe(c.service, c.prompt, finished, given.Replica.ID)
	}
	c.node.finish(given, finished)
}

// knownToLeave returns whether this node knows that the replica drains, or that its version
// gets no new requests, which the scheduling node may not have heard of yet.
func (n *Node) knownToLeave(id string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	known, found := n.table.Get(id)
	return found && (known.Draining || n.isBarred(known))
}

// placeRequest describes the request to the scheduling node.
func (c *call) placeRequest(tried []string, repeat bool) *placeRequest {
	node := c.node
	node.mutex.Lock()
	doubted := append(node.health.failing(node.now()), node.cutReplicas()...)
	node.mutex.Unlock()
	request := &placeRequest{
		Request: admission.Request{
			ID:   node.process() + "." + strconv.FormatUint(node.sequence.Add(1), 36),
			Node: node.process(), Zone: node.settings.Load().Zone, Service: c.service, Route: c.route.Name, Priority: c.priority(),
			Content: c.fingerprint, Prompt: c.prompt, Answer: c.expectedTokens(), Tried: tried, Doubted: doubted,
			Stride: c.stride(), Pause: c.route.TargetGap, Yields: c.route.Priority >= yieldFrom,
			Deadline: c.left(),
			Target:   max(c.route.Target-c.age(), 0), Patience: c.patience(),
		},
		Repeat: repeat, Known: node.desk.knownOf(c.fingerprint),
	}
	if c.tenant != nil {
		request.Tenant = c.tenant.Name
		if c.tenant.Rate > 0 {
			request.Limit = node.settings.Load().quotaLimit(c.tenant.Rate, c.tenant.Burst)
		}
		request.Cost = c.cost()
	}
	return request
}

// identify takes the request's fingerprint, once its body is read.
func (c *call) identify() {
	caller := ""
	if c.tenant != nil {
		caller = c.tenant.Name
	}
	c.fingerprint = fingerprint.Of(caller, c.request.Method, c.request.Host, c.request.RequestURI, c.body)
}

// routePriorities is more than any route's priority, so that the tenant's goes
// ahead of it.
const routePriorities = 64

// priority orders requests by the tenant's priority and then the route's.
func (c *call) priority() int {
	if c.tenant != nil && c.tenant.HasPriority {
		return c.tenant.Priority*routePriorities + c.route.Priority
	}
	return c.route.Priority
}

// yieldFrom is the first priority of routes whose requests leave some places
// free for more urgent ones.
const yieldFrom = 2

// expectedTokens is the likely length of the answer.
func (c *call) expectedTokens() int {
	if c.hint > 0 && c.output > 0 {
		return min(c.hint, c.output)
	}
	return c.hint
}

// cost is what the request takes of its tenant's quota.
func (c *call) cost() float64 {
	switch {
	case !c.tenant.CountTokens:
		return 1
	case c.prompt+c.output > 0:
		return float64(c.prompt + c.output)
	default:
		return float64(c.tenant.PlainTokens)
	}
}

// patience is how long the request may wait for a place.
func (c *call) patience() time.Duration {
	left := c.left()
	if c.route.Kind == catalogStreaming {
		silence := max(minimumSilence, silenceTargets*c.route.Target, silenceGaps*c.route.TargetGap)
		left = min(left, silence-c.age())
	}
	return max(time.Duration(float64(left)*patienceShare), 0)
}

// mayRepeat returns whether the request may be sent to another replica.
func (c *call) mayRepeat(outcome result, runs, tried int) bool {
	if c.ctx.Err() != nil || tried >= maximumSends || c.refusedConnects >= maximumRefusedConnects {
		return false
	}
	switch outcome {
	case resultNotSent, resultRejected:
		return runs == 0 || c.route.Repeatable()
	default:
		return c.route.Repeatable() && runs < c.route.Attempts
	}
}

// giveUp answers a request that is not sent again.
func (c *call) giveUp(outcome result, runs int) {
	switch {
	case c.request.Context().Err() != nil:
		c.end(http.StatusServiceUnavailable, outcomeOf(runs), "caller-left")
	case runs > 0 && c.ctx.Err() != nil:
		c.fail(http.StatusGatewayTimeout, "deadline")
	case runs > 0:
		c.fail(http.StatusBadGateway, "replica-broke-off")
	case outcome == resultRejected:
		c.refuse(http.StatusServiceUnavailable, "replicas-full", retryRejected)
	default:
		c.refuse(http.StatusServiceUnavailable, "replicas-unreachable", retryRejected)
	}
}

func outcomeOf(runs int) string {
	if runs > 0 {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// retryRejected is when a caller should come back whom several replicas rejected.
const retryRejected = 400 * time.Millisecond

// unplaced answers a request for which there is no place.
func (c *call) unplaced(given *grant, runs int) {
	switch {
	case c.request.Context().Err() != nil:
		c.end(http.StatusServiceUnavailable, outcomeOf(runs), "caller-left")
	case runs > 0:
		c.fail(http.StatusBadGateway, "replica-broke-off")
	case given.Reason == reasonQuota:
		c.refuse(http.StatusTooManyRequests, reasonQuota, given.RetryAfter)
	default:
		c.refuse(http.StatusServiceUnavailable, given.Reason, max(given.RetryAfter, retryRejected))
	}
}

// attempt sends the request to the replica once.
func (c *call) attempt(given *grant) (result, admission.Observation) {
	node := c.node
	c.broke = breakNone
	rest := restSafe
	if !c.route.Repeatable() {
		rest = restOnce
	}
	dialContext, cancelDial := context.WithTimeout(c.ctx, connectTimeout)
	conn, err := node.pool.Connect(dialContext, given.Replica.ID, given.Replica.Address, rest)
	cancelDial()
	if err != nil {
		if c.ctx.Err() == nil {
			node.noteUnreachable(given.Replica.ID)
			node.noteZone(given.Replica.Zone, false)
			c.noteConnect(err)
		}
		return resultNotSent, admission.Observation{Left: true}
	}
	sent := time.Now()
	sendContext, cancelSend := c.sendContext()
	defer cancelSend()
	answer, err := node.pool.Exchange(sendContext, conn, c.replicaRequest(given.Replica))
	if err != nil {
		return c.broken(given.Replica.ID, err), admission.Observation{Failed: true, Left: c.ctx.Err() != nil}
	}
	node.noteZone(given.Replica.Zone, true)
	node.begun(given, c.reportedLoad(answer))
	outcome, seen := c.relay(answer, given.Replica, sent)
	switch outcome {
	case resultAnswered, resultRejected, resultFailed:
		answer.Done()
	default:
		answer.Abandon()
	}
	if seen.FirstEvent > 0 {
		node.observe("first_event_ms", seen.FirstEvent)
	}
	seen.Duration, seen.Stride = time.Since(sent), c.stride()
	seen.Left = outcome == resultLeft || c.ctx.Err() != nil
	seen.Failed = seen.Failed || outcome != resultAnswered
	return outcome, seen
}

// noteConnect counts a connect that failed, by whether the replica's host refused it.
func (c *call) noteConnect(err error) {
	c.broke = breakUnreachable
	if network.IsRefused(err) {
		c.refusedConnects++
		c.broke = breakRefused
	}
	c.node.counter("breaks." + string(c.broke)).Inc(1)
}

// reportedLoad returns the number of requests that the replica said to have, or -1.
func (c *call) reportedLoad(answer *replicahttp.Answer) int {
	parts := splitList(answer.Header.Get(c.node.depend.Headers.Load))
	if len(parts) < 2 {
		return -1
	}
	return number(parts[0]) + number(parts[1])
}

// stride returns the tokens in one event of the service's streams.
func (c *call) stride() int {
	current := c.node.catalog.Load()
	if service := current.Service(c.service); service != nil && service.Engine != nil {
		return service.Engine.Stride
	}
	return 1
}

// firstTryShare is the part of the time left that the first try of a
// repeatable plain request may take.
const firstTryShare = 0.45

// sendContext bounds a send so that a silent replica leaves time for another.
func (c *call) sendContext() (context.Context, context.CancelFunc) {
	if c.route.Kind == catalogSafe && c.sends+1 < c.route.Attempts {
		return context.WithTimeout(c.ctx, time.Duration(float64(c.left())*firstTryShare))
	}
	return context.WithCancel(c.ctx)
}

// broken notes that the replica gave no whole answer, and why.
func (c *call) broken(id string, err error) result {
	if c.request.Context().Err() != nil {
		return resultLeft
	}
	c.broke = causeOf(err)
	c.node.counter("breaks." + string(c.broke)).Inc(1)
	c.node.mutex.Lock()
	c.node.health.broken(c.node.now(), id)
	c.node.mutex.Unlock()
	return resultBroken
}

func (n *Node) noteUnreachable(id string) {
	n.mutex.Lock()
	n.health.unreachable(n.now(), id)
	n.mutex.Unlock()
	n.pool.Forget(id)
}

func (n *Node) noteAnswered(id string) {
	n.mutex.Lock()
	n.health.answered(id)
	n.mutex.Unlock()
}

// replicaRequest is the caller's request as the replica gets it.
func (c *call) replicaRequest(replica replicas.Replica) *replicahttp.Request {
	names := &c.node.depend.Headers
	header, dropped := forReplica(c.request.Header, names)
	c.node.counter("headers.dropped").Inc(int64(dropped))
	if c.tenant != nil {
		header.Set(names.Tenant, c.tenant.Name)
	}
	header.Set(names.ExpectReplica, replica.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(c.left().Milliseconds(), 1), 10))
	if c.lastEvent != "" {
		header.Set(names.LastEvent, c.lastEvent)
	}
	return &replicahttp.Request{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: header, Body: c.body,
		HasBody:  c.request.ContentLength >= 0 && c.request.Method != http.MethodGet && c.request.Method != http.MethodHead,
		IDHeader: textproto.CanonicalMIMEHeaderKey(names.RequestID), ID: c.id,
		HeadTimeout: c.headTimeout(),
	}
}

// headTimeout bounds the wait for an answer that can be had from another replica.
func (c *call) headTimeout() time.Duration {
	if c.route.Resumable && c.sends+1 < c.route.Attempts {
		return stallFirst
	}
	return 0
}

// String returns the name of the result in logs and metrics.
func (r result) String() string {
	return [...]string{"answered", "not-sent", "rejected", "broken", "failed", "caller-left"}[r]
}
