package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/transport/unframed"
)

const (
	// connectionBytes is what a caller's connection takes at most before its request is served: the head, what is parsed
	// of it, buffers and a stack.
	connectionBytes = 40 << 10
	// connectionMemoryShare is the share of the memory limit that callers' connections may take.
	connectionMemoryShare = 1.0 / 4
	minMaxConnections     = 64
)

// callerConnections limits the connections of callers that serve no request. Above the limit a new connection replaces
// the one that has been idle, or has sent no whole head, for longest: its caller can tell that the node has not read a
// request. Connections that serve a request are never closed. It is safe for concurrent use.
type callerConnections struct {
	mutex sync.Mutex
	// max is the limit; zero means none.
	max    int
	open   map[net.Conn]*callerConnection
	closed int64
	// responses are those of which only the close of the connection shows the end.
	responses unframed.Connections
}

// callerConnection is the state of one connection.
type callerConnection struct {
	connections *callerConnections
	isServing   bool
	// since is when the connection was opened or last served a request.
	since time.Time
}

// maxConnections returns the limit for the memory of the process; zero means none.
func (s *Settings) maxConnections() int {
	if s.MemoryLimitMB == 0 {
		return 0
	}
	return max(int(float64(s.MemoryLimitMB<<20)*connectionMemoryShare)/connectionBytes, minMaxConnections)
}

func newCallerConnections(limit int) *callerConnections {
	return &callerConnections{max: limit, open: map[net.Conn]*callerConnection{}}
}

type callerConnectionKey struct{}

// add registers a new connection and returns the context of its requests. It implements http.Server.ConnContext.
func (c *callerConnections) add(ctx context.Context, connection net.Conn) context.Context {
	added := &callerConnection{connections: c, since: time.Now()}
	c.mutex.Lock()
	replaced := c.longestIdle()
	if replaced != nil {
		delete(c.open, replaced)
		c.closed++
	}
	c.open[connection] = added
	c.mutex.Unlock()
	if replaced != nil {
		_ = replaced.Close()
	}
	return context.WithValue(c.responses.Add(ctx, connection), callerConnectionKey{}, added)
}

// longestIdle returns the connection that serves no request for longest, or nil below the limit or if all serve one.
func (c *callerConnections) longestIdle() net.Conn {
	if c.max == 0 || len(c.open) < c.max {
		return nil
	}
	var found net.Conn
	var since time.Time
	for connection, state := range c.open {
		if !state.isServing && (found == nil || state.since.Before(since)) {
			found, since = connection, state.since
		}
	}
	return found
}

// observe removes connections that have ended. It implements http.Server.ConnState.
func (c *callerConnections) observe(connection net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, connection)
}

// beginRequest records that the connection of the request serves it. The returned function records its end.
func beginRequest(ctx context.Context) (end func()) {
	state, isTracked := ctx.Value(callerConnectionKey{}).(*callerConnection)
	if !isTracked {
		return func() {}
	}
	state.setServing(true)
	return func() { state.setServing(false) }
}

func (s *callerConnection) setServing(isServing bool) {
	s.connections.mutex.Lock()
	defer s.connections.mutex.Unlock()
	s.isServing, s.since = isServing, time.Now()
}

// counts returns the number of open connections and of those that were replaced.
func (c *callerConnections) counts() (open, replaced int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return int64(len(c.open)), c.closed
}

// registerCallerConnectionMetrics registers the gauges of open connections and of those that were replaced.
func (n *Node) registerCallerConnectionMetrics() {
	n.registerGauges(map[string]func() int64{
		"callers.connections": func() int64 { open, _ := n.callerConnections.counts(); return open },
		"callers.replaced":    func() int64 { _, replaced := n.callerConnections.counts(); return replaced },
	})
}
