package entry

import (
	"context"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/handover"
	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/stops"
	"github.com/thornwalk/thornwalk/state/loadreport"
	"github.com/thornwalk/thornwalk/state/memorybudget"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// result is the outcome of one send.
type result int

const (
	// resultAnswered means that the caller has the complete response.
	resultAnswered result = iota
	// resultNotSent means that no byte of the request was written.
	resultNotSent
	// resultRejected means that the replica proved that it did not run the request.
	resultRejected
	// resultIncomplete means that the request may have run, but no complete response arrived.
	resultIncomplete
	// resultServerError means that the replica ran the request and responded with a server
	// error, and that a retry is allowed.
	resultServerError
	// resultCallerLeft means that the caller closed its connection.
	resultCallerLeft
	// resultNotNeeded means that the replica was the successor of one that was silent and then went on.
	resultNotNeeded
)

// Bounds of the sends of one request.
const (
	// maxSends includes rejected sends, connects that failed without being refused, and assignments
	// that were returned unused.
	maxSends = 4
	// maxRefusedConnects bounds refused connects. They are not counted as sends because they
	// fail within milliseconds and run nothing. With six of eight replicas down and connects counted as
	// sends, a third of the first requests was rejected after four of them.
	maxRefusedConnects = 16
	// maxUnproven bounds the replicas that a stream did not go on at, as nothing showed their version. Nothing is written
	// to them, so they are not counted as sends either.
	maxUnproven = 16
	// maxIdleRepeatable and maxIdleNonRepeatable bound how long a connection may have been
	// idle before it is reused for a request that may, or must not, run twice.
	maxIdleRepeatable    = 10 * time.Second
	maxIdleNonRepeatable = 1500 * time.Millisecond
	// queueWaitShare is the share of the caller's remaining time that a request may be queued.
	queueWaitShare = 0.45
	// A stream's caller is assumed to give up after a silence of the longest of minSilence,
	// silenceTargetLatencies times the route's target latency and silenceEventGaps times its
	// target event gap.
	silenceTargetLatencies = 4
	silenceEventGaps       = 8
	minSilence             = 2 * time.Second
)

// send is a request that was written to a replica, which has begun to answer it.
type send struct {
	granted   *grant
	answer    *replicahttp.Answer
	forwarder string
	// identity is what was known, just before the request was written, of whether the connection leads to the replica's
	// incarnation.
	identity   incarnations.Verdict
	connection incarnations.Connection
	// token identifies a successor that the request goes on at.
	token handover.Token
	// startedAt is when the request was written, and headDelay the time from then to the head, zero unless the
	// replica reported its workTime.
	startedAt time.Time
	headDelay time.Duration
	workTime  int
	// run is what node.times observes of the send, nil for streams.
	run *stops.Run
	// memory is what the answer holds, and reset resets the connection to the replica.
	memory *memorybudget.Account
	reset  context.CancelFunc
	// release must be called once the exchange has ended.
	release func()
}

// attempt sends the request to the granted replica once, or goes on with a send to it that has begun.
func (c *call) attempt(granted *grant, begun *send) (result, admission.Observation) {
	if begun != nil {
		c.resetSendState()
		c.forwarder, c.identity = begun.forwarder, begun.identity
		return c.complete(begun)
	}
	begun, outcome, observed := c.startSend(granted)
	if begun == nil {
		return outcome, observed
	}
	return c.complete(begun)
}

// resetSendState clears what is known of the last send.
func (c *call) resetSendState() {
	c.lastFailure, c.failureDetail, c.lackedRoom, c.forwarder = causeNone, "", false, ""
	c.identity = incarnations.Verdict{}
	c.fromEvent, c.toEvent = "", ""
}

// startSend sends the request to the granted replica and waits for the head of its answer. If there is none, it returns
// nil and the outcome of the send.
func (c *call) startSend(granted *grant) (*send, result, admission.Observation) {
	node := c.node
	grantedAt := node.now()
	c.resetSendState()
	maxIdle := maxIdleRepeatable
	if !c.route.Repeatable() {
		maxIdle = maxIdleNonRepeatable
	}
	conn, err := c.connectProven(granted, maxIdle)
	if errors.Is(err, errUnproven) {
		c.lastFailure, c.failureDetail = causeUnproven, shortened(err)
		c.unproven++
		node.counter("streams.identity_unproven").Inc(1)
		return nil, resultNotSent, admission.Observation{CallerLeft: true}
	}
	if err != nil {
		if c.ctx.Err() == nil {
			node.recordUnreachable(granted.Replica)
			node.recordZoneContact(granted.Replica.Zone, false)
			c.recordConnectFailure(granted.Replica, err)
		}
		return nil, resultNotSent, admission.Observation{CallerLeft: true}
	}
	if !c.mayWrite() || !node.beginSend(granted) {
		_ = conn.Close()
		return nil, resultNotSent, admission.Observation{CallerLeft: true}
	}
	endExchange := node.exchanges.begin(conn, granted.Replica)
	sendContext, cancelSend := context.WithCancel(c.ctx)
	memory := node.memory.Open(cancelSend)
	begun := &send{granted: granted, forwarder: conn.Forwarder, identity: c.identity, connection: connectionOf(conn), startedAt: time.Now(), run: c.beginRun(), memory: memory, reset: cancelSend}
	begun.release = func() {
		cancelSend()
		endExchange()
		node.endRun(begun.run, false)
		memory.Close()
	}
	c.answerMemory = memory
	c.forwarder = begun.forwarder
	sentAt := node.now()
	c.watchCurrent(granted.Replica, cancelSend)
	begun.answer, err = c.exchange(sendContext, cancelSend, conn, granted.Replica)
	if err = c.headArrived(begun.answer, err); err != nil {
		begun.release()
		return nil, c.recordIncomplete(err), admission.Observation{Failed: true, CallerLeft: c.ctx.Err() != nil}
	}
	c.recordReceived()
	node.recordAnswerHead(begun.answer, conn, sentAt)
	c.lackedRoom = c.isRejection(begun.answer) && begun.answer.StatusCode == http.StatusServiceUnavailable
	node.recordZoneContact(granted.Replica.Zone, true)
	load, workTime := c.reportedLoad(begun.answer)
	started := &firstEventRequest{Load: load, Rejected: c.lackedRoom, WorkTime: workTime, Pushback: node.applyPushback(begun.answer, granted.Replica, begun.connection, sentAt)}
	if begun.workTime = workTime; workTime > 0 {
		begun.headDelay, started.SinceGrant = time.Since(begun.startedAt), node.now()-grantedAt
	}
	node.reportFirstEvent(granted, started)
	return begun, resultAnswered, admission.Observation{}
}

// exchange writes the request and reads the head of its answer; reset resets the connection.
func (c *call) exchange(ctx context.Context, reset context.CancelFunc, conn *replicahttp.Conn, replica replicas.Replica) (*replicahttp.Answer, error) {
	limit := c.successorLimit()
	if limit == 0 {
		return c.node.pool.Exchange(ctx, conn, c.replicaRequest(replica))
	}
	timer := time.AfterFunc(limit, reset)
	answer, err := c.node.pool.Exchange(ctx, conn, c.replicaRequest(replica))
	if timer.Stop() {
		return answer, err
	}
	if err == nil {
		answer.Abandon()
	}
	return nil, context.DeadlineExceeded
}

// mayWrite reports whether the request may be written, just before it is.
func (c *call) mayWrite() bool {
	if c.successorToken != 0 {
		return c.silence.maySend(c.successorToken)
	}
	c.isGivenUp = !c.isWriteInTime()
	return !c.isGivenUp
}

// watchCurrent makes the replica the current one, unless it is a successor, and begins to watch it; reset resets the
// connection to it.
func (c *call) watchCurrent(replica replicas.Replica, reset context.CancelFunc) {
	if c.successorToken != 0 {
		return
	}
	c.currentReplica = replica.ID
	c.silence.setCurrent(reset)
	c.silence.wait(c.silenceLimit(false))
}

// errReplaced means that the request has gone on at another replica.
var errReplaced = errors.New("the request has gone on at another replica")

// headArrived records the result of the wait for the head of the answer, and returns its error. The error is
// errReplaced if the answer must not be used.
func (c *call) headArrived(answer *replicahttp.Answer, err error) error {
	switch {
	case c.successorToken != 0:
		return err
	case err != nil:
		c.silence.interrupted()
		return err
	case !c.isUsable(answer):
		c.silence.interrupted() // a successor may still answer with success
		return nil
	case !c.silence.received():
		answer.Abandon()
		return errReplaced
	}
	return nil
}

// complete forwards the rest of the answer to the caller.
func (c *call) complete(begun *send) (result, admission.Observation) {
	defer begun.release()
	c.currentReplica, c.answerMemory = begun.granted.Replica.ID, begun.memory
	c.connection, c.connectionAliveAt = begun.connection, 0
	// If it is evicted already, its connection is reset and the read fails.
	_ = begun.memory.OnEvict(func() {
		begun.reset()
		c.interruptWrite()
	})
	outcome, observed := c.relay(begun.answer, begun.granted.Replica, begun.startedAt)
	observed.WorkTime, observed.HeadDelay = begun.workTime, begun.headDelay
	c.endExchange(begun, outcome)
	c.node.endRun(begun.run, outcome == resultAnswered || outcome == resultServerError)
	if observed.FirstEvent > 0 {
		c.node.recordDuration("first_event_ms", observed.FirstEvent)
	}
	observed.Duration, observed.TokensPerEvent = time.Since(begun.startedAt), c.tokensPerEvent()
	observed.CallerLeft = outcome == resultCallerLeft || c.ctx.Err() != nil
	observed.Failed = observed.Failed || outcome != resultAnswered
	return outcome, observed
}

// endExchange ends the exchange after a send with the outcome. The connection may be used again if the answer is complete.
func (c *call) endExchange(begun *send, outcome result) {
	switch outcome {
	case resultAnswered, resultRejected, resultServerError:
		begun.answer.Done()
	default:
		begun.answer.Abandon()
	}
}

// recordConnectFailure records the failure cause of a connect that failed with err.
func (c *call) recordConnectFailure(replica replicas.Replica, err error) {
	c.lastFailure, c.failureDetail = causeUnreachable, shortened(err)
	c.node.recordDoubt(incarnations.Of(replica))
	if network.IsRefused(err) {
		c.refusedConnects++
		c.lastFailure = causeRefused
	}
	if c.node.hasDisconnects(replica) && c.node.provesEnd(c.ctx, replica, err) {
		c.node.mutex.Lock()
		c.node.resolveDisconnects(replica)
		c.node.mutex.Unlock()
	}
	c.node.counter("breaks." + string(c.lastFailure)).Inc(1)
}

// reportedLoad returns the number of requests and the work time that the replica reported. The number is
// -1 if it reported none, and the work time zero. A report that can't be read is counted and ignored.
func (c *call) reportedLoad(answer *replicahttp.Answer) (load, workTime int) {
	names := &c.node.dependencies.Headers
	text := answer.Header.Get(names.Load)
	if text == "" {
		return -1, 0
	}
	report, err := loadreport.Parse(text)
	if err != nil {
		c.node.counter("loads.unreadable").Inc(1)
		return -1, 0
	}
	if !c.node.isFromReplica(answer) {
		return report.InFlight(), 0 // the work time may be another server's
	}
	return report.InFlight(), report.WorkTime
}

// isFromReplica reports whether the replica itself sent the answer, and not another server at its address.
func (n *Node) isFromReplica(answer *replicahttp.Answer) bool {
	names := &n.dependencies.Headers
	isSigned := answer.Header.Get(names.Signature) != "" || answer.Header.Get(names.NotRun) != ""
	return isSigned && answer.StatusCode != http.StatusMisdirectedRequest
}

// tokensPerEvent returns the number of tokens in one event of the service's streams.
func (c *call) tokensPerEvent() int {
	current := c.node.catalog.Load()
	if service := current.Service(c.service); service != nil && service.Engine != nil {
		return service.Engine.TokensPerEvent
	}
	return 1
}

// recordIncomplete records why no complete response arrived. It returns resultCallerLeft if the caller caused the
// failure.
func (c *call) recordIncomplete(err error) result {
	switch {
	case c.request.Context().Err() != nil && !c.isStopped():
		return resultCallerLeft
	case c.successorToken != 0 && c.ctx.Err() != nil:
		return resultNotNeeded
	}
	c.lastFailure = failureCauseOf(err)
	switch {
	case c.successorToken == 0 && c.silence.isReplaced():
		c.lastFailure = causeTimeout // this node reset the connection
	case c.isStopped():
		c.lastFailure = causeStopping // here too
	case c.answerMemory.IsEvicted() || c.isEvicted():
		c.lastFailure = causeMemoryFull // so did it here
		c.resumeWrites()
	case c.lastFailure == causeInvalidResponse:
		c.failureDetail = shortened(err)
		c.node.counter("answers.invalid." + violationOf(err)).Inc(1)
	case errors.Is(err, answerend.ErrNotServing), errors.Is(err, answerend.ErrNothingSent):
		c.failureDetail = shortened(err)
		c.node.counter("answers.invalid." + violationOf(err)).Inc(1)
	}
	c.node.counter("breaks." + string(c.lastFailure)).Inc(1)
	return resultIncomplete
}

// recordBroken records that the replica gave an incomplete or malformed response.
func (n *Node) recordBroken(id string) {
	n.mutex.Lock()
	n.health.RecordBroken(n.now(), id)
	n.mutex.Unlock()
}

// recordReceived records that bytes of the response arrived.
func (c *call) recordReceived() {
	if c.forwarder == "" {
		c.node.exchanges.recordReceived()
	}
}

// recordUnreachable records that no connection to the replica could be opened.
func (n *Node) recordUnreachable(replica replicas.Replica) {
	n.mutex.Lock()
	n.health.RecordUnreachable(n.now(), replica.ID)
	n.mutex.Unlock()
	n.pool.Forget(incarnationOf(replica))
}

// recordSuccess records a complete response of the replica.
func (n *Node) recordSuccess(id string) {
	n.mutex.Lock()
	n.health.RecordSuccess(id)
	n.mutex.Unlock()
}

// replicaRequest returns the request in the form that is sent to the replica.
func (c *call) replicaRequest(replica replicas.Replica) *replicahttp.Request {
	names := &c.node.dependencies.Headers
	header, dropped := replicaHeaders(c.request.Header, names)
	c.node.counter("headers.dropped").Inc(int64(dropped))
	if c.tenant != nil {
		header.Set(names.Tenant, c.tenant.Name)
	}
	header.Set(names.ExpectReplica, replica.ID)
	header.Set(names.Deadline, strconv.FormatInt(max(min(c.remaining(), c.node.answerTimeLeft()).Milliseconds(), 1), 10))
	if c.lastEventID != "" {
		header.Set(names.LastEvent, c.lastEventID)
	}
	return &replicahttp.Request{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: header, Body: c.body,
		HasBody:    c.request.ContentLength >= 0 && c.request.Method != http.MethodGet && c.request.Method != http.MethodHead,
		HeadLimits: c.node.settings.Load().headLimits(c.answerMemory),
		IDHeader:   textproto.CanonicalMIMEHeaderKey(names.RequestID), ID: c.id, AcceptsWithoutID: c.acceptsWithoutID,
	}
}

// String returns the name of the result in logs and metrics.
func (r result) String() string {
	return [...]string{"answered", "not-sent", "rejected", "broken", "failed", "caller-left", "not-needed"}[r]
}
