package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/handover"
	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/memorybudget"
	"github.com/thornwalk/thornwalk/state/promptparts"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/unframed"
)

// call is one caller's request in progress.
type call struct {
	node    *Node
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	id      string
	route   *catalog.Route
	tenant  *catalog.Tenant
	service string
	body    []byte
	// fingerprint is set once the body is read. partIDs name the shared parts of the prompt, and partKeys are their
	// keys, set with the service that serves the request.
	fingerprint fingerprint.Fingerprint
	partIDs     []string
	partKeys    []fingerprint.Fingerprint
	// lastFailure is the failure cause of the last send.
	lastFailure failureCause
	// failureDetail is why the last connect or read failed, for the log.
	failureDetail string
	// memory is what the request holds, and answerMemory what the answer of the current send does.
	memory, answerMemory *memorybudget.Account
	// retryRefusal is why the last assignment was refused, if a replica had the request before.
	retryRefusal string
	// forwarder is the peer that forwards the connection of the last send, empty if it is direct.
	forwarder string
	// unproven is the number of replicas that the stream did not go on at, as nothing showed their version.
	unproven int
	// identity is what was known, at the last send, of whether its connection leads to the replica's incarnation.
	identity incarnations.Verdict
	// connection is the one from which the answer is read, and connectionAliveAt when it was last recorded to be alive.
	connection        incarnations.Connection
	connectionAliveAt structs.Instant
	// lackedRoom is true if the last send was rejected by the replica for lack of room.
	lackedRoom bool
	// isGivenUp is true if the request was not written, or waits no longer, as the node stops.
	isGivenUp bool
	// refusedConnects counts the connects that were refused.
	refusedConnects int
	// promptTokens and outputTokens are the tokens of the request; both are zero for
	// requests without a token count.
	promptTokens, outputTokens int
	// lengthHint is the caller's estimate of the tokens of the response.
	lengthHint int
	arrived    structs.Instant
	// deadline is the earlier of the caller's and the route's.
	deadline structs.Instant
	// headSent is true once the head of a response was sent to the caller.
	headSent bool
	ended    bool
	sends    int
	// executions is the number of sends under which the request may have run, tried has the replicas of all
	// assignments that have ended, and currentReplica is that of the current one.
	executions     int
	tried          []string
	currentReplica string
	// silence watches the current replica. The copy of a call with which a successor is looked for has the
	// successorToken, which is zero otherwise.
	// Its isHeld is true in the first search of a silence: short pauses are frequent, and such a request must not delay
	// others that no replica has.
	silence        *silenceWatch
	successorToken handover.Token
	isHeld         bool
	// waited is the total time in queues.
	waited time.Duration
	// lastEventID is the ID of the last event that the caller has, and resumed
	// is true once the stream continued at another replica.
	lastEventID string
	resumed     bool
	streamState
	// firstEventDelay is the time from the last send to the first event, and
	// maxEventGap the longest time between two events.
	firstEventDelay, maxEventGap time.Duration
	// serverError is the last complete answer with a server error, nil if there is none. The caller gets it if no other
	// replica answers.
	serverError *bufferedAnswer
	// answeredStatus and answeredBy are the status of the complete response and the
	// ID of the replica that sent it.
	answeredStatus int
	answeredBy     string
	// alwaysLogged is true if the request's events are logged at once; otherwise
	// bufferedEvents holds them until the request ends.
	alwaysLogged   bool
	bufferedEvents []eventlog.Event
}

// defaultTimeout applies to requests without a deadline.
const defaultTimeout = 30 * time.Second

// Retry-After values of rejected requests.
const (
	retryAfterNoConfiguration = 500 * time.Millisecond
	retryAfterStopping        = 100 * time.Millisecond
)

// ServeHTTP handles one request of a caller and returns when its response is complete.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer beginRequest(r.Context())()
	c := &call{node: n, writer: w, request: r, arrived: n.now(), id: r.Header.Get(n.dependencies.Headers.RequestID)}
	c.silence = &silenceWatch{call: c}
	c.alwaysLogged = n.log.Keep(c.id)
	if n.stoppingSince.Load() != 0 {
		w.Header().Set("Connection", "close")
	}
	current := n.catalog.Load()
	if current == nil {
		c.endNotRun(http.StatusServiceUnavailable, "no-configuration", retryAfterNoConfiguration)
		return
	}
	if n.isConfigurationStale() {
		c.endNotRun(http.StatusServiceUnavailable, reasonConfigurationStale, retryAfterStaleConfiguration)
		return
	}
	if !c.admit(current) {
		return
	}
	c.logReceived(current.Version)
	defer c.logCallerLeft()
	deadlineContext, cancelDeadline := context.WithTimeout(r.Context(), c.remaining())
	defer cancelDeadline()
	ctx, end := context.WithCancelCause(deadlineContext)
	cancel := func() { end(nil) }
	defer cancel()
	c.ctx = ctx
	defer n.calls.add(c, end)()
	c.memory = n.memory.Open(c.interruptBody)
	defer c.memory.Close()
	if !c.readBody(current) {
		return
	}
	if !c.memory.OnEvict(cancel) {
		c.endEvicted()
		return
	}
	c.computeFingerprint()
	if !c.isTaken() {
		c.endStopping()
		return
	}
	if !c.bindResumedStream() {
		return
	}
	c.computePartKeys()
	c.serve()
}

// admit determines route, tenant, service and deadline. If it returns false, it has ended the request.
func (c *call) admit(current *catalog.Catalog) bool {
	names := &c.node.dependencies.Headers
	c.route = current.Match(c.request.Host, c.request.URL.EscapedPath())
	if c.route == nil {
		c.endNotConfigured(current, http.StatusNotFound, "no-route")
		return false
	}
	if current.RequiresKey(c.route) {
		key, _ := strings.CutPrefix(c.request.Header.Get("Authorization"), "Bearer ")
		if c.tenant = current.TenantOfKey(strings.TrimSpace(key)); c.tenant == nil {
			c.endNotConfigured(current, http.StatusUnauthorized, "unknown-key")
			return false
		}
	}
	c.service = c.route.PickService(rand.Float64())
	timeout := defaultTimeout
	if timeoutMS, err := strconv.ParseFloat(c.request.Header.Get(names.Deadline), 64); err == nil && timeoutMS > 0 {
		timeout = time.Duration(timeoutMS * float64(time.Millisecond))
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived + timeout
	prompt, output, _ := strings.Cut(c.request.Header.Get(names.TokenUsage), ",")
	c.promptTokens = max(parseIntOrZero(prompt), 0)
	c.outputTokens = max(parseIntOrZero(output), 0)
	c.lengthHint = max(parseIntOrZero(c.request.Header.Get(names.LengthHint)), 0)
	c.partIDs = promptparts.Shared(c.request.Header.Get(names.PromptPrefix))
	return true
}

// endNotConfigured ends a request whose route or key the active configuration lacks. If a newer
// version exists, which may have it, the caller is asked to retry.
func (c *call) endNotConfigured(current *catalog.Catalog, status int, reason string) {
	if c.node.newerVersions.HasNewer(current.Version) {
		c.endNotRun(http.StatusServiceUnavailable, reasonConfigurationStale, retryAfterStaleConfiguration)
		return
	}
	c.endNotRun(status, reason, 0)
}

// parseIntOrZero returns zero for text that is no integer.
func parseIntOrZero(text string) int {
	value, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return value
}

// readBody reads the whole body. If it returns false, it has ended the request.
func (c *call) readBody(current *catalog.Catalog) bool {
	limit := current.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.request.ContentLength > limit {
		c.endNotRun(http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return false
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(time.Now().Add(c.remaining()))
	wait := c.beginWait(c.interruptBody)
	body, err := readHeld(http.MaxBytesReader(c.writer, c.request.Body, limit), c.memory, c.request.ContentLength, limit+1)
	isGivenUp := wait.end()
	if c.isEvicted() {
		// The caller may read the response only once it has sent more of the body.
		_ = control.SetReadDeadline(time.Now().Add(rejectedBodyTimeout))
		c.endEvicted()
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		c.body = body
		return true
	}
	if isGivenUp {
		// The caller may read the response only once it has sent more of the body.
		_ = control.SetReadDeadline(time.Now().Add(rejectedBodyTimeout))
		c.endStopping()
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.writer.Header().Set("Connection", "close")
		c.endNotRun(http.StatusRequestTimeout, "body-too-slow", 0)
		return false
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.endNotRun(http.StatusRequestEntityTooLarge, "body-too-large", 0)
	} else {
		c.endNotRun(http.StatusBadRequest, "body-unreadable", 0)
	}
	return false
}

// rejectedBodyTimeout is how long the rest of a body is read and dropped after its request was rejected.
const rejectedBodyTimeout = 500 * time.Millisecond

// defaultMaxBodyBytes applies to configurations without a limit.
const defaultMaxBodyBytes = 4 << 20

// endNotRun ends the request with the outcome that it did not run.
func (c *call) endNotRun(status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	c.end(status, outcomeNotRun, reason)
}

// endOutcomeUnknown ends the request with the outcome that it may have run.
func (c *call) endOutcomeUnknown(status int, reason string) { c.end(status, outcomeUnknown, reason) }

// end logs the end of the request and sends the status. If a part of a response was sent already,
// it aborts the connection instead, so that the caller detects the truncation, and so it does if the caller left a
// request that may have run.
func (c *call) end(status int, outcome, reason string) {
	if c.ended {
		return
	}
	if c.serverError != nil && !c.headSent && c.request.Context().Err() == nil {
		c.endWithServerError()
		return
	}
	event := c.newEvent("request.ended")
	event.Outcome, event.Reason, event.Status = outcome, reason, status
	event.IsClosed, event.RetryRefusal = c.headSent, c.retryRefusal
	c.recordEnd(event)
	c.node.counter("ended." + reason).Inc(1)
	c.countStopped(event)
	if c.headSent {
		c.node.counter("closed." + reason).Inc(1)
		c.abort()
	}
	if outcome == outcomeUnknown && c.request.Context().Err() != nil {
		c.abort()
	}
	c.writer.Header()["Content-Type"] = nil
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
}

// abort closes the caller's connection. A caller that left may have closed its direction only and read on, and the end of
// the handler would complete its response.
func (c *call) abort() { unframed.Abort(c.request) }

// endWithServerError sends the answer with a server error, as there is no other one.
func (c *call) endWithServerError() {
	if c.sendBuffered(c.serverError) {
		c.endAnswered()
	}
}

// recordAnswer records the complete response, which endAnswered logs after the send.
func (c *call) recordAnswer(status int, replica string) {
	c.answeredStatus, c.answeredBy = status, replica
}

// endAnswered logs the end of an answered request.
func (c *call) endAnswered() {
	event := c.newEvent("request.ended")
	event.Outcome, event.Status, event.Replica, event.RetryRefusal = outcomeAnswered, c.answeredStatus, c.answeredBy, c.retryRefusal
	c.recordEnd(event)
}
