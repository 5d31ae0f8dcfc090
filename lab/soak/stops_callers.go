package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// How callers behave.
const (
	// lateBodyShare is the share of plain requests whose bodies arrive after their heads.
	lateBodyShare                  = 1.0 / 5
	minBodyDelay, maxBodyDelay     = 200 * time.Millisecond, 2500 * time.Millisecond
	minStopsDeadline, maxStopsTime = time.Second, 6 * time.Second
	// lastingDeadline is the deadline of streams that outlast the grace.
	lastingDeadline = 16 * time.Second
	// stopsPatience is the time after its deadline for which a caller waits for an answer.
	stopsPatience = time.Second
	maxStopsTries = 12
	stopsPause    = 50 * time.Millisecond
	// deadNodePause is the time until a caller goes back to a node that it could not connect to.
	deadNodePause = 100 * time.Millisecond
)

// stopsTry is one request as its caller saw it.
type stopsTry struct {
	replacedTry
	// sentAt is when the last byte of its body was sent, zero before.
	sentAt time.Time
	// isFresh is true if the request had a connection of its own.
	isFresh bool
}

// isAnswered reports whether the caller has a whole answer of a replica.
func (t *stopsTry) isAnswered() bool { return t.isComplete() }

// stopsCall is a request as its caller saw it over all tries.
type stopsCall struct {
	name  string
	route *stopsRoute
	// deadline is its time over all tries, bodyDelay that from the head to the body of each.
	deadline, bodyDelay time.Duration
	ids                 platformsim.EventIDs
	tries               []stopsTry
}

// span returns the time over all tries.
func (c *stopsCall) span() span {
	return span{c.tries[0].span.from, c.tries[len(c.tries)-1].span.to}
}

// isServed reports whether the caller has the whole answer after the last try.
func (c *stopsCall) isServed() bool { return c.tries[len(c.tries)-1].isAnswered() }

// lastID returns the ID of the last event, 0 without one.
func (c *stopsCall) lastID() int {
	last := 0
	for _, try := range c.tries {
		for _, event := range try.events {
			last = event.ID
		}
	}
	return last
}

// first returns the ID of the first request that began the stream, empty if none did.
func (c *stopsCall) first() string {
	for _, try := range c.tries {
		if len(try.events) > 0 {
			return try.id
		}
	}
	return ""
}

// pieces returns the events for the judge of pieces.
func (c *stopsCall) pieces() *pieces {
	judged := &pieces{name: c.name, route: c.route.name, startedAt: c.tries[0].span.from, isResumable: c.route.mayRepeat, count: c.route.events, ids: c.ids}
	for _, try := range c.tries {
		judged.tries = append(judged.tries, try.pieces())
	}
	return judged
}

// stopsCallers send requests to the nodes, each caller to its own node until the process is gone, and try again at
// others.
type stopsCallers struct {
	block string
	nodes int
	seed  uint64
	ids   platformsim.EventIDs
	// elsewhere sends further tries, which share connections.
	elsewhere http.Client
	number    atomic.Int64
	mutex     sync.Mutex
	calls     []*stopsCall
}

func newStopsCallers(options *Options, plan *stopsPlan, ids platformsim.EventIDs) *stopsCallers {
	return &stopsCallers{
		block: options.Block, nodes: plan.nodes, seed: options.Seed, ids: ids,
		elsewhere: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}},
	}
}

// send has all callers send until the channel is closed, and returns when all requests ended.
func (c *stopsCallers) send(ctx context.Context, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { <-done; cancel() }()
	var group sync.WaitGroup
	defer group.Wait()
	caller := uint64(0)
	for node := range c.nodes {
		for _, route := range stopsRoutes() {
			for range route.callers(c.nodes) {
				caller++
				random, isFresh := rand.New(rand.NewPCG(c.seed, stopsStream+caller)), caller%2 == 0
				group.Go(func() { c.sendSeries(ctx, random, route, node, isFresh) })
			}
		}
	}
}

// sendSeries sends one request after the other to the node, over one connection or a new one for each, until the context
// ends.
func (c *stopsCallers) sendSeries(ctx context.Context, random *rand.Rand, route *stopsRoute, node int, isFresh bool) {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: isFresh, DisableCompression: true}}
	// Callers of a large deployment send as much together as those of a small one.
	pause := route.pause * time.Duration(max(1, c.nodes/nodeCount))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(2 * pause))))
		call := c.drawCall(random, route)
		c.sendCall(ctx, call, random, &client, node, isFresh)
		if call.tries[0].isUnconnected {
			time.Sleep(deadNodePause)
		}
	}
}

func (c *stopsCallers) drawCall(random *rand.Rand, route *stopsRoute) *stopsCall {
	call := &stopsCall{name: fmt.Sprintf("st%06d", c.number.Add(1)), route: route, ids: c.ids, deadline: between(random, minStopsDeadline, maxStopsTime)}
	if route.stopsService.name == stopsLasting {
		call.deadline = lastingDeadline
	}
	if !route.isStream() && random.Float64() < lateBodyShare {
		call.bodyDelay = between(random, minBodyDelay, maxBodyDelay)
	}
	return call
}

// sendCall sends the request to the node, and then to others until it is answered, may not be repeated or its time is
// over, and records it. The end of the context ends streams that outlast the grace, as the run does not wait for them.
func (c *stopsCallers) sendCall(ctx context.Context, call *stopsCall, random *rand.Rand, client *http.Client, node int, isFresh bool) {
	deadline := time.Now().Add(call.deadline)
	if call.route.stopsService.name != stopsLasting {
		ctx = context.Background()
	}
	for number := range maxStopsTries {
		try := c.sendTry(ctx, call, client, number, node, deadline)
		try.isFresh = isFresh
		call.tries = append(call.tries, try)
		mayRepeat := call.route.mayRepeat || try.isRefused() || try.isUnconnected
		pause := max(try.retryAfter, stopsPause)
		if try.isAnswered() || !mayRepeat || ctx.Err() != nil || time.Until(deadline) < pause {
			break
		}
		time.Sleep(pause)
		client, isFresh = &c.elsewhere, false
		node = (node + 1 + random.IntN(max(1, c.nodes-1))) % c.nodes
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls = append(c.calls, call)
}

// lateBody is a body that arrives after a time. It records when the last byte was read to be sent.
type lateBody struct {
	io.Reader
	delay  time.Duration
	sentAt *atomic.Int64
}

func (b *lateBody) Read(buffer []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	count, err := b.Reader.Read(buffer)
	if count > 0 {
		b.sentAt.Store(time.Now().UnixNano())
	}
	return count, err
}

// sendTry sends one try and reads its answer. It is never sent a second time, as its body can't be read again.
func (c *stopsCallers) sendTry(ctx context.Context, call *stopsCall, client *http.Client, number, node int, deadline time.Time) stopsTry {
	try := stopsTry{replacedTry: replacedTry{id: fmt.Sprintf("%s-%d", call.name, number), node: node, lastID: call.lastID(), span: span{from: time.Now()}}}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(stopsPatience))
	defer cancel()
	var sentAt atomic.Int64
	body := &lateBody{strings.NewReader(call.name), call.bodyDelay, &sentAt}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostAddress(c.block, nodeHost(node), callersPort)+"/"+call.route.name+"/", body)
	if err != nil {
		try.isUnconnected = true
		return try
	}
	request.Host, request.ContentLength = routeHost, int64(len(call.name))
	request.Header.Set("X-Attempt-Id", try.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	if try.lastID > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(try.lastID))
		request.Header.Set("Resumes", call.first())
	}
	response, err := client.Do(request)
	if err == nil {
		err = try.read(response, call.ids, 0, func() {})
	}
	try.span.to = time.Now()
	if sent := sentAt.Load(); sent > 0 {
		try.sentAt = time.Unix(0, sent)
	}
	try.setError(ctx, err)
	return try
}
