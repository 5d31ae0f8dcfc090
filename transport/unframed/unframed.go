// Package unframed lets callers of HTTP/1.0 tell a whole response without a length from one that is broken off. Only the
// close of the connection ends such a response, and the kernel closes the connections of a killed process in the same way.
// So from Begin on any close is a reset, until End.
package unframed

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/thornwalk/thornwalk/transport/network"
)

// Connections are the connections of an HTTP server. The zero value has none. It is safe for concurrent use.
type Connections struct {
	mutex sync.Mutex
	// unfinished are the connections with TLS and a response that has begun and is not whole.
	unfinished map[*connection]struct{}
}

// connection is the TCP connection to a caller, below TLS.
type connection struct {
	net.Conn
	connections *Connections
	isTLS       bool
}

type connectionKey struct{}

// Add returns the context of the requests over the connection. It implements http.Server.ConnContext.
func (c *Connections) Add(ctx context.Context, added net.Conn) context.Context {
	state := &connection{Conn: added, connections: c}
	if secured, isTLS := added.(*tls.Conn); isTLS {
		state.Conn, state.isTLS = secured.NetConn(), true
	}
	return context.WithValue(ctx, connectionKey{}, state)
}

// Begin prepares a response without a length to the request. It must be called before the head is written, and has no
// effect if the response is sent in chunks.
func Begin(request *http.Request) {
	if state := unframedConnection(request); state != nil {
		network.ResetOnClose(state.Conn)
		state.begin()
	}
}

// End sends what is written of the response, which is whole, and lets the connection be closed.
func End(writer http.ResponseWriter, request *http.Request) {
	state := unframedConnection(request)
	if state == nil || http.NewResponseController(writer).Flush() != nil {
		return
	}
	state.end()
	network.FlushOnClose(state.Conn)
}

// Abort ends the handler of the request so that its caller can't take what was written for a whole response. It does not
// return.
func Abort(request *http.Request) {
	if state := unframedConnection(request); state != nil && state.isTLS {
		_ = state.Close()
		state.end()
	}
	panic(http.ErrAbortHandler)
}

// Abort breaks off the responses that are not whole. It must precede http.Server.Close, as a close of TLS announces that
// all was sent.
func (c *Connections) Abort() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for state := range c.unfinished {
		_ = state.Close()
	}
}

// unframedConnection returns the connection of the request, or nil if responses without a length are sent in chunks.
func unframedConnection(request *http.Request) *connection {
	state, isKnown := request.Context().Value(connectionKey{}).(*connection)
	if !isKnown || request.ProtoAtLeast(1, 1) {
		return nil
	}
	return state
}

func (c *connection) begin() {
	if !c.isTLS {
		return
	}
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	if c.connections.unfinished == nil {
		c.connections.unfinished = map[*connection]struct{}{}
	}
	c.connections.unfinished[c] = struct{}{}
}

func (c *connection) end() {
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	delete(c.connections.unfinished, c)
}
