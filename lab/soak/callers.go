package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

const (
	routeHost         = "soak.example"
	tenantKey         = "soak-key"
	requestDeadlineMS = 3000
	// callerTimeout is when a caller abandons its request regardless of the deadline.
	callerTimeout = 5 * time.Second
)

// outcome is the result of a request as its caller sees it.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not run"
	outcomeUnknown  outcome = "unknown"
	// outcomeLost is a connection that ended before the answer was complete.
	outcomeLost outcome = "lost"
	// outcomeWrong is a success with the wrong content, or a rejection without Retry-After.
	outcomeWrong outcome = "wrong"
)

// callResult is one request and its result as the caller saw it.
type callResult struct {
	outgoing
	outcome outcome
	status  int
	detail  string
	span    span
	// retryAfter is the time to come back of a rejection, zero without one.
	retryAfter time.Duration
	// stream is set if the route is one of streams.
	stream *pieces
}

// outgoing is a request to a node.
type outgoing struct {
	id, route string
	node      int
	// key is the key of its tenant.
	key string
	// body is that of a request with POST.
	body string
}

// callers sends requests and records their results.
type callers struct {
	block string
	// ids are those of the events of all streams.
	ids     platformsim.EventIDs
	client  http.Client
	group   sync.WaitGroup
	mutex   sync.Mutex
	results []callResult
	// streams are those of sendVersioned.
	streams []versionedStream
	// movedStreams are those of sendMoved.
	movedStreams []versionedStream
}

// trafficRoutes are the routes that callers use in rotation.
var trafficRoutes = []string{"once", "status", "report", "chat"}

// sendTraffic sends requests at the rate, per second, for the duration. It returns when all of them
// ended.
func (c *callers) sendTraffic(ctx context.Context, duration time.Duration, rate float64) {
	interval := time.Duration(float64(time.Second) / rate)
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		route, node := trafficRoutes[number%len(trafficRoutes)], number/len(trafficRoutes)%nodeCount
		c.group.Go(func() { c.record(c.sendOne(fmt.Sprintf("r%06d", number), route, node)) })
		time.Sleep(interval)
	}
	c.group.Wait()
}

func (c *callers) record(result callResult) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, result)
}

// sendOne sends one request of the first tenant to the node and classifies the answer.
func (c *callers) sendOne(id, route string, node int) callResult {
	return c.send(outgoing{id: id, route: route, node: node, key: tenantKey, body: "soak"})
}

// send sends the request and classifies the answer.
func (c *callers) send(sent outgoing) callResult {
	result := callResult{outgoing: sent, span: span{from: time.Now()}}
	method, body := http.MethodGet, []byte(nil)
	if sent.route == "once" || sent.route == "report" || sent.route == "chat" || sent.route == relistedRoute {
		method, body = http.MethodPost, []byte(sent.body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+hostAddress(c.block, nodeHost(sent.node), callersPort)+"/"+sent.route+"/", bytes.NewReader(body))
	if err != nil {
		result.outcome, result.detail = outcomeWrong, err.Error()
		return result
	}
	request.Host, request.GetBody = routeHost, nil
	request.Header.Set("X-Attempt-Id", sent.id)
	request.Header.Set("X-Deadline-Ms", strconv.Itoa(requestDeadlineMS))
	request.Header.Set("Authorization", "Bearer "+sent.key)
	response, err := c.client.Do(request)
	if err != nil {
		result.outcome, result.detail = outcomeOfError(err), err.Error()
	} else {
		result.classify(response, c.ids)
	}
	result.span.to = time.Now()
	return result
}

// outcomeOfError distinguishes a connection that was never established from one that was lost.
func outcomeOfError(err error) outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return outcomeNotRun
	}
	return outcomeLost
}

// classify reads the response and sets the outcome.
func (r *callResult) classify(response *http.Response, ids platformsim.EventIDs) {
	defer response.Body.Close()
	r.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if r.isStream() {
		try := pieceTry{id: r.id, node: r.node, status: r.status, isComplete: err == nil && r.status == http.StatusOK}
		r.stream = &pieces{name: r.id, route: r.route, startedAt: r.span.from, isResumable: r.route == "chat", count: engineEvents, ids: ids, tries: []pieceTry{parsePieces(try, string(body), ids)}}
	}
	switch {
	case err != nil:
		r.outcome, r.detail = outcomeLost, err.Error()
	case r.status == http.StatusOK:
		r.outcome = outcomeAnswered
		// The judge of pieces checks the bodies of streams.
		if response.Header.Get("X-Server-Stamp") == "" || !r.isStream() && string(body) != platformsim.PlainBody(r.id) {
			r.outcome, r.detail = outcomeWrong, fmt.Sprintf("%.80q", body)
		}
	case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests || r.status == http.StatusRequestTimeout:
		r.outcome, r.retryAfter = outcomeNotRun, parseRetryAfter(response.Header.Get("Retry-After"))
		if response.Header.Get("Retry-After") == "" {
			r.outcome, r.detail = outcomeWrong, "refused without a time to come back"
		}
	case r.status == http.StatusNotFound:
		r.outcome = outcomeNotRun
	default:
		r.outcome = outcomeUnknown
	}
}

// isStream reports whether the answer is a stream.
func (o outgoing) isStream() bool { return o.route == "report" || o.route == "chat" }
