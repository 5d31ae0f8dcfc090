package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/platform"
)

// headers are the names of the headers that clients, nodes and replicas use.
var headers = platform.Headers()

// sent is one request of a client and what it saw.
type sent struct {
	id, path string
	node     *node
	deadline time.Duration
	// wasKept is true if the connection had carried an answered request before.
	wasKept bool
	// sentAt is when the last byte was sent, endedAt when the answer was complete or the connection ended.
	sentAt, endedAt time.Time
	// status is zero without the head of an answer.
	status     int
	isSigned   bool
	isComplete bool
	// versions are the software versions that the events of the answer name.
	versions []string
	// isBroken is true if the connection ended, by the node's side, before a complete answer.
	isBroken bool
	// hasGivenUp is true if the client closed the connection after its deadline.
	hasGivenUp bool
}

// clients are the callers of one deployment.
type clients struct {
	run     *caseRun
	counter atomic.Int64
	mutex   sync.Mutex
	all     []*sent
	active  sync.WaitGroup
}

// client is a caller that keeps its connection for many requests.
type client struct {
	callers *clients
	zone    string
	path    string
	// deadline is how long it waits for an answer.
	deadline time.Duration
	// events is the number of events of a whole answer.
	events   int
	conn     net.Conn
	reader   *bufio.Reader
	node     *node
	answered int
}

// maxPause is the longest time between two requests of a client.
const maxPause = 400 * time.Millisecond

// startSpread is the time over which the clients begin to send.
const startSpread = 2 * time.Second

// keepSending sends requests one after the other until the end, over one connection as long as it lasts.
func (c *client) keepSending(end time.Time) {
	defer c.disconnect()
	time.Sleep(rand.N(startSpread))
	for time.Now().Before(end) {
		c.sendOne()
		time.Sleep(rand.N(maxPause))
	}
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.answered = nil, 0
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	c.node = c.callers.run.choose(c.zone)
	conn, err := net.DialTimeout("tcp", c.callers.run.address(c.node.number, callersPort), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// sendOne sends one request and records what came of it.
func (c *client) sendOne() {
	if err := c.connect(); err != nil {
		c.callers.run.record.write("client: no connection to %s", c.node.name)
		return
	}
	s := &sent{id: fmt.Sprintf("%016x", c.callers.counter.Add(1)), path: c.path, node: c.node, deadline: c.deadline, wasKept: c.answered > 0}
	err := c.exchange(s)
	s.endedAt = time.Now()
	var timeout net.Error
	s.hasGivenUp = errors.As(err, &timeout) && timeout.Timeout()
	s.isBroken = err != nil && !s.hasGivenUp
	c.callers.mutex.Lock()
	c.callers.all = append(c.callers.all, s)
	c.callers.mutex.Unlock()
	c.callers.run.record.write("client: %s %s at %s, kept connection %v: status %d, signed %v, complete %v, after %v, error %v", s.path, s.id, s.node.name, s.wasKept, s.status, s.isSigned, s.isComplete, s.endedAt.Sub(s.sentAt).Round(time.Millisecond), err)
	if err != nil {
		c.disconnect()
		return
	}
	c.answered++
}

// exchange sends the request and reads the answer.
func (c *client) exchange(s *sent) error {
	s.sentAt = time.Now()
	body := fmt.Sprintf(`{"subject":%q}`, s.id)
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", s.path, routeHost, headers.RequestID, s.id, headers.Deadline, s.deadline.Milliseconds(), clientKey, len(body))
	if _, err := c.conn.Write([]byte(head + body)); err != nil {
		return err
	}
	s.sentAt = time.Now()
	_ = c.conn.SetReadDeadline(s.sentAt.Add(s.deadline))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	s.status, s.isSigned = response.StatusCode, response.Header.Get(headers.Signature) != ""
	content, err := io.ReadAll(response.Body)
	s.versions = versionsOf(string(content))
	if err != nil {
		return err
	}
	isStream := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	s.isComplete = !isStream || platformsim.ReadEvents(string(content)).LastID == c.events
	if response.Close {
		c.disconnect()
	}
	return nil
}

// start starts count clients in each zone until the end.
func (c *clients) start(count int, end time.Time, model client) {
	for _, zone := range zones {
		for range count {
			one := model
			one.callers, one.zone = c, zone
			c.active.Go(func() { one.keepSending(end) })
		}
	}
}

// sentAll returns all requests once the clients have ended.
func (c *clients) sentAll() []*sent {
	c.active.Wait()
	return c.all
}

// runsByID returns the runs of all engines by the ID of the request, and records them.
func (r *caseRun) runsByID() map[string][]platformsim.Run {
	runs := map[string][]platformsim.Run{}
	for _, replica := range r.replicas {
		for _, run := range replica.Runs() {
			runs[run.ID] = append(runs[run.ID], run)
			r.record.write("engine: %s ran %s from %.3f s, cut off by the node: %v", replica.ID, run.ID, run.At.Sub(r.record.started).Seconds(), run.Cancelled)
		}
	}
	return runs
}
