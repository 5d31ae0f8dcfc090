package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// How callers of the replaced replicas behave, in turn.
const (
	// lastingEach is how many streams there are for one that may not be resumed.
	lastingEach = 6
	// leavingEach is how many streams there are for one whose caller closes its connection after some events and resumes
	// it elsewhere.
	leavingEach = 4
	// namelessEach is how many streams there are for one whose caller resumes it without the name of the first request.
	namelessEach     = 5
	maxReplacedTries = 8
	// replacedDeadline is the time of a caller over all tries, replacedSilence the silence after which it leaves a try:
	// the longest of 2 s, 4 times the objective and 8 times the objective for gaps.
	replacedDeadline = 7 * time.Second
	replacedSilence  = 3200 * time.Millisecond
	replacedPause    = 50 * time.Millisecond
)

// replacedTry is one request of a stream as its caller saw it.
type replacedTry struct {
	id   string
	node int
	// lastID is the Last-Event-Id that it sent, 0 without one.
	lastID int
	span   span
	// status is zero without the head of an answer. stamp is the replica named in the head.
	status int
	stamp  string
	// events are the whole events, rest is the text after the last one, and malformed is set if an event is not one of
	// a replica.
	events    []platformsim.StreamEvent
	rest      string
	malformed error
	// isBroken is true if the connection ended before the answer was complete, hasLeft if the caller gave up, and
	// isUnconnected if it got no connection.
	isBroken, hasLeft, isUnconnected bool
	// retryAfter is the time to come back, hasRetryAfter true if the answer named one.
	retryAfter    time.Duration
	hasRetryAfter bool
}

// isComplete reports whether the answer ended as a complete one.
func (t *replacedTry) isComplete() bool {
	return t.status == http.StatusOK && !t.isBroken && !t.hasLeft
}

func (t *replacedTry) pieces() pieceTry {
	return pieceTry{id: t.id, node: t.node, status: t.status, isComplete: t.isComplete(), events: t.events, rest: t.rest, malformed: t.malformed}
}

// isRefused reports whether the caller was told that the request was not run.
func (t *replacedTry) isRefused() bool { return (&heldCall{status: t.status}).isRefused() }

// replacedStreamCall is a stream as its caller saw it over all tries.
type replacedStreamCall struct {
	name, route string
	// leaveAfter is the number of events after which the caller leaves the first try that brings them, 0 for never.
	leaveAfter int
	isNameless bool
	ids        platformsim.EventIDs
	tries      []replacedTry
}

// pieces returns the events for the judge of pieces.
func (s *replacedStreamCall) pieces() *pieces {
	judged := &pieces{name: s.name, route: s.route, isResumable: s.isResumable(), count: replacedEvents, ids: s.ids}
	for _, try := range s.tries {
		judged.tries = append(judged.tries, try.pieces())
	}
	return judged
}

func (s *replacedStreamCall) isResumable() bool { return s.route == replacedRoute }

// events returns the events of all tries.
func (s *replacedStreamCall) events() []platformsim.StreamEvent {
	var all []platformsim.StreamEvent
	for _, try := range s.tries {
		all = append(all, try.events...)
	}
	return all
}

func (s *replacedStreamCall) lastID() int {
	last := 0
	for _, event := range s.events() {
		last = max(last, event.ID)
	}
	return last
}

// first returns the ID of the first request that began the stream, empty if none did.
func (s *replacedStreamCall) first() string {
	for _, try := range s.tries {
		if len(try.events) > 0 {
			return try.id
		}
	}
	return ""
}

// newStreamCall returns the stream with the number.
func newStreamCall(number int, ids platformsim.EventIDs) *replacedStreamCall {
	stream := &replacedStreamCall{ids: ids, name: fmt.Sprintf("rs%06d", number), route: replacedRoute, isNameless: number%namelessEach == 0}
	if number%lastingEach == 0 {
		stream.route = lastingRoute
	} else if number%leavingEach == 1 {
		stream.leaveAfter = 1 + number/leavingEach%(replacedEvents-2)
	}
	return stream
}

// replacedCallers send streams to the replaced replicas and resume broken ones at other nodes.
type replacedCallers struct {
	block   string
	client  http.Client
	rate    float64
	ids     platformsim.EventIDs
	mutex   sync.Mutex
	streams []*replacedStreamCall
}

func newReplacedCallers(block string, plan *replacedPlan, ids platformsim.EventIDs) *replacedCallers {
	connections := replacedSlots * len(plan.versions)
	return &replacedCallers{
		block: block, rate: plan.streamRate(), ids: ids,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}},
	}
}

// send begins streams for the duration and returns when all of them ended.
func (c *replacedCallers) send(ctx context.Context, duration time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	start, interval := time.Now(), time.Duration(float64(time.Second)/c.rate)
	for number := 0; time.Since(start) < duration && ctx.Err() == nil; number++ {
		group.Go(func() { c.sendStream(newStreamCall(number, c.ids), number%nodeCount) })
		time.Sleep(time.Until(start.Add(time.Duration(number+1) * interval)))
	}
}

// sendStream sends the stream to the node and resumes it at the others until it is complete, may not be repeated or its
// time is over, and records it.
func (c *replacedCallers) sendStream(stream *replacedStreamCall, node int) {
	deadline := time.Now().Add(replacedDeadline)
	for number := range maxReplacedTries {
		try := c.sendTry(stream, number, (node+number)%nodeCount, deadline)
		stream.tries = append(stream.tries, try)
		mayRepeat := stream.isResumable() || try.isRefused() || try.isUnconnected
		pause := max(try.retryAfter, replacedPause)
		if try.isComplete() || !mayRepeat || time.Until(deadline) < pause {
			break
		}
		time.Sleep(pause)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streams = append(c.streams, stream)
}

// sendTry sends one request of the stream and reads its answer. It is never sent a second time, as its body can't be
// read again.
func (c *replacedCallers) sendTry(stream *replacedStreamCall, number, node int, deadline time.Time) replacedTry {
	try := replacedTry{id: fmt.Sprintf("%s-%d", stream.name, number), node: node, lastID: stream.lastID(), span: span{from: time.Now()}}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostAddress(c.block, node+1, callersPort)+"/"+stream.route+"/", strings.NewReader(stream.name))
	if err != nil {
		try.isUnconnected = true
		return try
	}
	request.Host, request.GetBody = routeHost, nil
	request.Header.Set("X-Attempt-Id", try.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	if try.lastID > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(try.lastID))
		if !stream.isNameless {
			request.Header.Set("Resumes", stream.first())
		}
	}
	silence := time.AfterFunc(replacedSilence, cancel)
	defer silence.Stop()
	response, err := c.client.Do(request)
	if err == nil {
		leaveAfter := 0
		if try.lastID == 0 {
			leaveAfter = stream.leaveAfter
		}
		err = try.read(response, stream.ids, leaveAfter, func() { silence.Reset(replacedSilence) })
	}
	try.span.to = time.Now()
	try.setError(ctx, err)
	return try
}

// read reads the answer until its end, or until it has leaveAfter events unless that is 0, and calls heard for each
// line.
func (t *replacedTry) read(response *http.Response, ids platformsim.EventIDs, leaveAfter int, heard func()) error {
	defer response.Body.Close()
	t.status, t.stamp = response.StatusCode, response.Header.Get("X-Server-Stamp")
	t.retryAfter, t.hasRetryAfter = parseRetryAfter(response.Header.Get("Retry-After")), response.Header.Get("Retry-After") != ""
	var text strings.Builder
	reader := bufio.NewReader(response.Body)
	events := 0
	var err error
	for err == nil && !t.hasLeft {
		var line string
		line, err = reader.ReadString('\n')
		heard()
		text.WriteString(line)
		if line == "\n" {
			events++
			t.hasLeft = leaveAfter > 0 && events == leaveAfter
		}
	}
	if t.status == http.StatusOK {
		t.events, t.rest, t.malformed = platformsim.ParseEvents(text.String(), ids)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// setError classifies the error that ended the request.
func (t *replacedTry) setError(ctx context.Context, err error) {
	var operation *net.OpError
	switch {
	case err == nil:
	case ctx.Err() != nil:
		t.hasLeft = true
	case errors.As(err, &operation) && operation.Op == "dial":
		t.isUnconnected = true
	default:
		t.isBroken = true
	}
}
