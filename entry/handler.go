package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

// call is one request of a caller on its way through the node.
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
	// fingerprint is known once the body is read.
	fingerprint fingerprint.Fingerprint
	// broke is how the last send broke.
	lastFailure failureCause
	// refusedConnects counts the replicas at whose addresses nobody listened.
	refusedConnects int
	// prompt and output are the tokens of the request; both are zero for
	// requests without a token count.
	promptTokens, outputTokens int
	// hint is the caller's guess at the tokens of the answer.
	lengthHint int
	arrived    structs.Instant
	// deadline is when the caller or the route gives up, whichever is first.
	deadline structs.Instant
	// headSent is true once the caller has the head of an answer.
	headSent bool
	ended    bool
	sends    int
	waited   time.Duration
	// lastEvent is the number of the last event that the caller has, and resumed
	// is true once the stream went on at another replica.
	lastEventID string
	resumed     bool
	// firstEvent is the time from the last send to the first event, and
	// longestPause the longest time between two events.
	firstEventDelay, maxEventGap time.Duration
	// answeredStatus and answeredBy are the status that the caller got and the replica
	// that gave it, once the whole answer is out.
	answeredStatus int
	answeredBy     string
	// kept is true if the request's lines are written in any case; if not, lines
	// holds them until its end is known.
	alwaysLogged   bool
	bufferedEvents []eventlog.Event
}

// defaultDeadline holds for requests that name none.
const defaultTimeout = 30 * time.Second

// Times after which refused callers should come back.
const (
	retryAfterNoConfiguration = 500 * time.Millisecond
	retryAfterStopping        = 100 * time.Millisecond
)

// ServeHTTP serves one request of a caller.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	c := &call{node: n, writer: w, request: r, arrived: n.now(), id: r.Header.Get(n.deps.Headers.RequestID)}
	c.alwaysLogged = n.log.Keep(c.id)
	if n.stopping.Load() != 0 {
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
	ctx, cancel := context.WithTimeout(r.Context(), c.remaining())
	defer cancel()
	c.ctx = ctx
	defer n.calls.add(c, cancel)()
	if !c.readBody(current) {
		return
	}
	c.computeFingerprint()
	if !c.canFinishBeforeStop() {
		c.endNotRun(http.StatusServiceUnavailable, reasonStopping, retryAfterStopping)
		return
	}
	c.serve()
}

// stopPlainTime is the longest that a plain answer is expected to take.
const maxPlainResponseTime = time.Second

// fitsBeforeStop returns whether the answer will surely end before this process
// does. Early in a stop every request is taken, as the balancer still sends them;
// later no stream is, since its length is only guessed.
func (c *call) canFinishBeforeStop() bool {
	stopped := c.node.stoppingFor()
	if stopped < rejectAfter {
		return true
	}
	if c.route.Kind == kindStreaming {
		return false
	}
	return stopped+maxPlainResponseTime < c.node.settings.Load().stopGrace()-stopMargin
}

// admit finds route, tenant and deadline, or answers the request.
func (c *call) admit(current *catalog.Catalog) bool {
	names := &c.node.deps.Headers
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
	allowed := defaultTimeout
	if given, err := strconv.ParseFloat(c.request.Header.Get(names.Deadline), 64); err == nil && given > 0 {
		allowed = time.Duration(given * float64(time.Millisecond))
	}
	if c.route.Timeout > 0 {
		allowed = min(allowed, c.route.Timeout)
	}
	c.deadline = c.arrived + allowed
	prompt, output, _ := strings.Cut(c.request.Header.Get(names.TokenUsage), ",")
	c.promptTokens = max(parseIntOrZero(prompt), 0)
	c.outputTokens = max(parseIntOrZero(output), 0)
	c.lengthHint = max(parseIntOrZero(c.request.Header.Get(names.LengthHint)), 0)
	return true
}

// refuseUnknown refuses what the configuration in force does not know. If a newer version
// is known to exist, that one may know it, and the caller is told to come back.
func (c *call) endNotConfigured(current *catalog.Catalog, status int, reason string) {
	if c.node.newerVersions.HasNewer(current.Version) {
		c.endNotRun(http.StatusServiceUnavailable, reasonConfigurationStale, retryAfterStaleConfiguration)
		return
	}
	c.endNotRun(status, reason, 0)
}

func parseIntOrZero(text string) int {
	value, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil {
		return 0
	}
	return value
}

// readBody reads the whole body, or answers the request.
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
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		c.body = body
		return true
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

// defaultBodyLimit holds for configurations that name none.
const defaultMaxBodyBytes = 4 << 20

// refuse answers that the request did not run.
func (c *call) endNotRun(status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	c.end(status, outcomeNotRun, reason)
}

// fail answers that the request may have run.
func (c *call) endOutcomeUnknown(status int, reason string) { c.end(status, outcomeUnknown, reason) }

// end gives the caller its final answer. If the caller has a part of an answer
// already, the connection is broken so that it can't be taken for whole.
func (c *call) end(status int, outcome, reason string) {
	if c.ended {
		return
	}
	event := c.newEvent("request.ended")
	event.Outcome, event.Reason, event.Status = outcome, reason, status
	c.recordEnd(event)
	c.node.counter("ended." + reason).Inc(1)
	if c.headSent {
		panic(http.ErrAbortHandler)
	}
	c.writer.Header()["Content-Type"] = nil
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
}

// answered records that the caller has the whole answer. Its line follows that of
// the send.
func (c *call) recordAnswer(status int, replica string) {
	c.answeredStatus, c.answeredBy = status, replica
}

// endAnswered writes the last line of an answered request.
func (c *call) endAnswered() {
	event := c.newEvent("request.ended")
	event.Outcome, event.Status, event.Replica = outcomeAnswered, c.answeredStatus, c.answeredBy
	c.recordEnd(event)
}
