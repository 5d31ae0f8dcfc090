package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// heldStreamRoutes and heldPlainRoutes are the routes that callers use in rotation.
var (
	heldStreamRoutes = []string{resumableRoute, resumableRoute, singleRoute}
	heldPlainRoutes  = []string{safeRoute, unsafeRoute, movedRoute}
)

// heldCall is a request to a held replica as its caller saw it.
type heldCall struct {
	id, route string
	node      int
	span      span
	// status is zero without the head of an answer. stamp is the replica named in the head.
	status      int
	stamp, body string
	// ids are those of the events of its stream.
	ids platformsim.EventIDs
	// isBroken is true if the connection ended before the answer was complete, hasLeft if the caller gave up, and
	// isUnconnected if it got no connection.
	isBroken, hasLeft, isUnconnected bool
}

func (c *heldCall) isStream() bool { return c.route == resumableRoute || c.route == singleRoute }

// isRepeatable reports whether the request may run more than once.
func (c *heldCall) isRepeatable() bool { return c.route != singleRoute && c.route != unsafeRoute }

// isAnswered reports whether the caller has the replica's whole answer.
func (c *heldCall) isAnswered() bool { return c.status == http.StatusOK && !c.isBroken && !c.hasLeft }

// isUnfinished reports whether the node closed the connection before the answer was complete, or answered that it
// did not get one.
func (c *heldCall) isUnfinished() bool {
	return c.isBroken || c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout
}

// isRefused reports whether the caller was told that the request was not run.
func (c *heldCall) isRefused() bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, c.status)
}

// pieces returns the events of a stream for the judge of pieces.
func (c *heldCall) pieces() *pieces {
	try := parsePieces(pieceTry{id: c.id, node: c.node, status: c.status, isComplete: c.isAnswered()}, c.body, c.ids)
	return &pieces{name: c.id, route: c.route, startedAt: c.span.from, isResumable: c.route == resumableRoute, count: heldEvents, ids: c.ids, tries: []pieceTry{try}}
}

// expectedBody returns the replica's whole answer to a plain request, or to a stream of a replica that names no runs.
func (c *heldCall) expectedBody() string {
	if c.isStream() {
		return platformsim.StreamBody(c.id, heldVersion, heldEvents)
	}
	return platformsim.PlainBody(c.id)
}

// heldCallers send requests to the held replicas and record what they got. Their connections stay open as long as
// the nodes keep them.
type heldCallers struct {
	block      string
	client     http.Client
	streamRate float64
	plainRate  float64
	ids        platformsim.EventIDs
	mutex      sync.Mutex
	calls      []heldCall
}

// newHeldCallers returns callers that ask for heldLoad of the plan's replicas.
func newHeldCallers(block string, plan *silencePlan, ids platformsim.EventIDs) *heldCallers {
	// Only idle connections count; there are as many as requests in progress at one node.
	connections := heldSlots * (plan.engines + plan.plain)
	return &heldCallers{
		block: block, ids: ids, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}},
		streamRate: heldLoad * float64(plan.engines*heldSlots) / (heldEvents * heldEventStep).Seconds(),
		// All plain routes may be at one of the two services, which has half of the plain replicas.
		plainRate: heldLoad * float64(plan.plain/2*heldSlots) / heldPlainStep.Seconds(),
	}
}

// send sends streams and plain requests for the duration and returns when all of them ended.
func (h *heldCallers) send(ctx context.Context, duration time.Duration) {
	var group sync.WaitGroup
	group.Go(func() { h.sendRoutes(ctx, duration, heldStreamRoutes, h.streamRate, "hs") })
	group.Go(func() { h.sendRoutes(ctx, duration, heldPlainRoutes, h.plainRate, "hp") })
	group.Wait()
}

func (h *heldCallers) sendRoutes(ctx context.Context, duration time.Duration, routes []string, rate float64, prefix string) {
	var group sync.WaitGroup
	defer group.Wait()
	end, interval := time.Now().Add(duration), time.Duration(float64(time.Second)/rate)
	for number := 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		route, node := routes[number%len(routes)], number/len(routes)%nodeCount
		group.Go(func() { h.record(h.sendOne(fmt.Sprintf("%s%06d", prefix, number), route, node)) })
		time.Sleep(interval)
	}
}

func (h *heldCallers) record(call heldCall) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.calls = append(h.calls, call)
}

// sendOne sends one request to the node and reads its answer. The request is never sent a second time, as its body
// can't be read again.
func (h *heldCallers) sendOne(id, route string, node int) heldCall {
	call := heldCall{id: id, route: route, node: node, ids: h.ids, span: span{from: time.Now()}}
	ctx, cancel := context.WithTimeout(context.Background(), heldDeadline+heldCallerPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostAddress(h.block, node+1, callersPort)+"/"+route+"/", strings.NewReader(id))
	if err != nil {
		call.isUnconnected = true
		return call
	}
	request.Host, request.GetBody = routeHost, nil
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(heldDeadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	response, err := h.client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		call.status, call.stamp, call.body = response.StatusCode, response.Header.Get("X-Server-Stamp"), string(body)
	}
	call.span.to = time.Now()
	call.setError(err)
	return call
}

// setError classifies the error that ended the request.
func (c *heldCall) setError(err error) {
	var operation *net.OpError
	switch {
	case err == nil:
	case errors.Is(err, context.DeadlineExceeded):
		c.hasLeft = true
	case errors.As(err, &operation) && operation.Op == "dial":
		c.isUnconnected = true
	default:
		c.isBroken = true
	}
}
