// Package keptconn is an HTTP server that closes the connections that callers keep without losing a request.
//
// http.Server.SetKeepAlivesEnabled and Shutdown close the connections that are idle, and for net/http a kept connection is
// idle until the head of its next request is parsed. A request that is being read then is served, and its response lost.
// This server closes a connection only if no byte of a request was read from it.
package keptconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an http.Server with another way to close connections. It must be created by NewServer.
type Server struct {
	*http.Server
	mutex     sync.Mutex
	listener  net.Listener
	open      map[*conn]struct{}
	isClosing bool
}

// NewServer returns a server with the settings of inner, whose handler and ConnState it wraps.
func NewServer(inner *http.Server) *Server {
	s := &Server{Server: inner, open: map[*conn]struct{}{}}
	handler, observe := inner.Handler, inner.ConnState
	inner.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if s.closing() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
	inner.ConnState = func(connection net.Conn, state http.ConnState) {
		if observe != nil {
			observe(connection, state)
		}
		if kept, found := unwrap(connection); found {
			kept.observe(state)
		}
	}
	return s
}

// Serve accepts connections until the listener is closed, and returns an error then.
func (s *Server) Serve(inner net.Listener) error { return s.Server.Serve(s.Listen(inner)) }

// Listen returns a listener for http.Server.Serve, on which TLS may be put.
func (s *Server) Listen(inner net.Listener) net.Listener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = inner
	return &listener{inner, s}
}

func (s *Server) closing() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.isClosing
}

// SetKeepAlivesEnabled closes idle connections that have served a request, and others with their next response, if enabled is
// false. It can't be undone.
func (s *Server) SetKeepAlivesEnabled(enabled bool) {
	if enabled {
		return
	}
	s.mutex.Lock()
	s.isClosing = true
	s.mutex.Unlock()
	for _, connection := range s.connections() {
		if connection.hasServed() {
			connection.closeIfIdle()
		}
	}
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := make([]*conn, 0, len(s.open))
	for connection := range s.open {
		open = append(open, connection)
	}
	return open
}

const shutdownPollInterval = 10 * time.Millisecond

// Shutdown accepts no connections any more, closes idle ones and waits until the others have ended. It returns the error of
// the context if that ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mutex.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mutex.Unlock()
	s.SetKeepAlivesEnabled(false)
	for _, connection := range s.connections() {
		connection.closeIfIdle()
	}
	for len(s.connections()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
	return nil
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	added := &conn{Conn: accepted, server: l.server, isIdle: true}
	l.server.mutex.Lock()
	defer l.server.mutex.Unlock()
	l.server.open[added] = struct{}{}
	return added, nil
}

// unwrap returns the connection of a Server below others, such as TLS.
func unwrap(connection net.Conn) (*conn, bool) {
	for {
		if kept, found := connection.(*conn); found {
			return kept, true
		}
		outer, isWrapped := connection.(interface{ NetConn() net.Conn })
		if !isWrapped {
			return nil, false
		}
		connection = outer.NetConn()
	}
}

// conn is a connection that a server keeps.
type conn struct {
	net.Conn
	server *Server
	mutex  sync.Mutex
	// isIdle is true until bytes of the next request are read, isUsed once a request was served, and isClosed once the
	// connection was closed as idle.
	isIdle, isUsed, isClosed bool
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isClosed {
		return 0, net.ErrClosed
	}
	c.isIdle = c.isIdle && count == 0
	return count, err
}

// observe records a state that net/http reports. It does so before it reads the next request.
func (c *conn) observe(state http.ConnState) {
	c.mutex.Lock()
	c.isIdle = state == http.StateIdle || c.isIdle && state == http.StateNew
	c.isUsed = c.isUsed || state == http.StateIdle
	c.mutex.Unlock()
	if state == http.StateIdle && c.server.closing() {
		c.closeIfIdle()
	}
}

func (c *conn) hasServed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isUsed
}

// closeIfIdle closes the connection unless bytes of a request were read from it.
func (c *conn) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isIdle && !c.isClosed {
		c.isClosed = true
		_ = c.Close()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mutex.Lock()
	delete(c.server.open, c)
	c.server.mutex.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the direction to the peer, which net/http does before it drops the rest of a request.
func (c *conn) CloseWrite() error {
	if inner, can := c.Conn.(interface{ CloseWrite() error }); can {
		return inner.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent bytes at the close, as for a TCP connection.
func (c *conn) SetLinger(seconds int) error {
	if inner, can := c.Conn.(interface{ SetLinger(seconds int) error }); can {
		return inner.SetLinger(seconds)
	}
	return nil
}
