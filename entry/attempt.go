package entry

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
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
	resultIncomplete
	// resultFailed means that the replica ran the request and answered a failure
	// that a repeatable request need not take for final.
	resultServerError
	// resultLeft means that the caller is gone.
	resultCallerLeft
)

// Bounds of repeated sends.
const (
	// maximumSends bounds the sends of one request, those included that a replica rejected or
	// could not be reached for in time.
	maxSends = 4
	// maximumRefusedConnects bounds the connects of one request to addresses where nobody
	// listens. Each costs 2 ms and nothing runs, while the replicas beside may be idle: with
	// six of eight down and connects counted as sends, a third of the first requests was
	// refused by four of them in a row.
	maxRefusedConnects = 16
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 300 * time.Millisecond
	// restSafe and restOnce bound how long a connection may have rested that
	// carries a repeatable request, or one that must not run twice.
	maxIdleRepeatable    = 10 * time.Second
	maxIdleNonRepeatable = 1500 * time.Millisecond
	// patienceShare is the part of the caller's time for which a place is waited for.
	queueWaitShare = 0.45
	// Callers give a stream up that is silent for the longest of minimumSilence,
	// silenceTargets times the route's target and silenceGaps times its longest pause.
	silenceTargetLatencies = 4
	silenceEventGaps       = 8
	minSilence             = 2 * time.Second
)

// attempt sends the request to the replica once.
func (c *call) attempt(given *grant) (result, admission.Observation) {
	node := c.node
	c.lastFailure = causeNone
	rest := maxIdleRepeatable
	if !c.route.Repeatable() {
		rest = maxIdleNonRepeatable
	}
	dialContext, cancelDial := context.WithTimeout(c.ctx, connectTimeout)
	conn, err := node.pool.Connect(dialContext, given.Replica.ID, given.Replica.Address, rest)
	cancelDial()
	if err != nil {
		if c.ctx.Err() == nil {
			node.recordUnreachable(given.Replica.ID)
			node.noteZone(given.Replica.Zone, false)
			c.recordConnectFailure(given.Replica, err)
		}
		return resultNotSent, admission.Observation{Left: true}
	}
	if !node.beginSend(given) {
		_ = conn.Close()
		return resultNotSent, admission.Observation{Left: true}
	}
	sent, sentAt := time.Now(), node.now()
	sendContext, cancelSend := c.sendContext()
	defer cancelSend()
	answer, err := node.pool.Exchange(sendContext, conn, c.replicaRequest(given.Replica))
	if err != nil {
		return c.recordIncomplete(given.Replica.ID, err), admission.Observation{Failed: true, Left: c.ctx.Err() != nil}
	}
	node.noteZone(given.Replica.Zone, true)
	node.reportFirstEvent(given, c.reportedLoad(answer), node.applyPushback(answer, given.Replica, sentAt))
	outcome, seen := c.relay(answer, given.Replica, sent)
	switch outcome {
	case resultAnswered, resultRejected, resultServerError:
		answer.Done()
	default:
		answer.Abandon()
	}
	if seen.FirstEvent > 0 {
		node.recordDuration("first_event_ms", seen.FirstEvent)
	}
	seen.Duration, seen.Stride = time.Since(sent), c.tokensPerEvent()
	seen.Left = outcome == resultCallerLeft || c.ctx.Err() != nil
	seen.Failed = seen.Failed || outcome != resultAnswered
	return outcome, seen
}

// noteConnect counts a connect that failed, by whether the replica's host refused it.
func (c *call) recordConnectFailure(replica replicas.Replica, err error) {
	c.lastFailure = causeUnreachable
	if network.IsRefused(err) {
		c.refusedConnects++
		c.lastFailure = causeRefused
		c.node.mutex.Lock()
		c.node.resolveDisconnects(replica)
		c.node.mutex.Unlock()
	}
	c.node.counter("breaks." + string(c.lastFailure)).Inc(1)
}

// reportedLoad returns the number of requests that the replica said to have, or -1.
func (c *call) reportedLoad(answer *replicahttp.Answer) int {
	parts := splitList(answer.Header.Get(c.node.deps.Headers.Load))
	if len(parts) < 2 {
		return -1
	}
	return parseIntOrZero(parts[0]) + parseIntOrZero(parts[1])
}

// stride returns the tokens in one event of the service's streams.
func (c *call) tokensPerEvent() int {
	current := c.node.catalog.Load()
	if service := current.Service(c.service); service != nil && service.Engine != nil {
		return service.Engine.TokensPerEvent
	}
	return 1
}

// firstTryShare is the part of the time left that the first try of a
// repeatable plain request may take.
const firstSendShare = 0.45

// sendContext bounds a send so that a silent replica leaves time for another.
func (c *call) sendContext() (context.Context, context.CancelFunc) {
	if c.route.Kind == kindSafe && c.sends+1 < c.route.MaxAttempts {
		return context.WithTimeout(c.ctx, time.Duration(float64(c.remaining())*firstSendShare))
	}
	return context.WithCancel(c.ctx)
}

// broken notes that the replica gave no whole answer, and why.
func (c *call) recordIncomplete(id string, err error) result {
	if c.request.Context().Err() != nil {
		return resultCallerLeft
	}
	c.lastFailure = failureCauseOf(err)
	c.node.counter("breaks." + string(c.lastFailure)).Inc(1)
	c.node.mutex.Lock()
	c.node.health.RecordBroken(c.node.now(), id)
	c.node.mutex.Unlock()
	return resultIncomplete
}

func (n *Node) recordUnreachable(id string) {
	n.mutex.Lock()
	n.health.RecordUnreachable(n.now(), id)
	n.mutex.Unlock()
	n.pool.Forget(id)
}

func (n *Node) recordSuccess(id string) {
	n.mutex.Lock()
	n.health.RecordSuccess(id)
	n.mutex.Unlock()
}

// replicaRequest is the caller's request as the replica gets it.
func (c *call) replicaRequest(replica replicas.Replica) *replicahttp.Request {
	names := &c.node.deps.Headers
	header, dropped := replicaHeaders(c.request.Header, names)
	c.node.counter("headers.dropped").Inc(int64(dropped))
	if c.tenant != nil {
		header.Set(names.Tenant, c.tenant.Name)
	}
	header.Set(names.ExpectReplica, replica.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(c.remaining().Milliseconds(), 1), 10))
	if c.lastEventID != "" {
		header.Set(names.LastEvent, c.lastEventID)
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
	if c.route.Resumable && c.sends+1 < c.route.MaxAttempts {
		return firstEventTimeout
	}
	return 0
}

// String returns the name of the result in logs and metrics.
func (r result) String() string {
	return [...]string{"answered", "not-sent", "rejected", "broken", "failed", "caller-left"}[r]
}
