// Package memnet implements a network in memory, on which nodes run under virtual time.
// Traffic between hosts can be blocked in one or both directions, hosts can be paused, and the
// link of a host can have a limited bandwidth. It does not model latency.
package memnet

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
)

// Fabric is a network of named hosts. It is safe for concurrent use.
type Fabric struct {
	mutex        sync.Mutex
	listeners    map[string]*listener
	blockedLinks map[hostPair]bool
	cutPaths     map[hostPair]PathCut
	paused       map[string]chan struct{}
	connections  map[*connection]bool
	nextPort     int
	sockets      map[string]*socket
	hostLinks    hostLinks
}

// hostPair is a sending and a receiving host.
type hostPair struct{ from, to string }

// connection is a stream connection between two hosts.
type connection struct {
	hostPair
	// broken means that everything written to the connection is lost.
	broken bool
	pipes  [2]net.Conn
	// closed is closed when either endpoint is closed.
	closed chan struct{}
	once   sync.Once
	// isReset is true once an endpoint was closed by a reset.
	isReset atomic.Bool
}

// New returns a fabric without hosts.
func New() *Fabric {
	return &Fabric{
		listeners: map[string]*listener{}, blockedLinks: map[hostPair]bool{}, cutPaths: map[hostPair]PathCut{}, paused: map[string]chan struct{}{},
		connections: map[*connection]bool{}, nextPort: 1000, sockets: map[string]*socket{}, hostLinks: newHostLinks(),
	}
}

// Host returns the network as seen from the named host.
func (f *Fabric) Host(name string) network.Network { return host{fabric: f, name: name} }

// BlockLink drops all traffic from one host to the other until Heal. Dialing between the two
// hosts blocks in either direction.
func (f *Fabric) BlockLink(from, to string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.blockedLinks[hostPair{from, to}] = true
}

// Partition blocks the traffic between the two groups of hosts in both directions.
func (f *Fabric) Partition(left, right []string) {
	for _, a := range left {
		for _, b := range right {
			f.BlockLink(a, b)
			f.BlockLink(b, a)
		}
	}
}

// Heal unblocks all links and ends all cuts of paths. Connections that lost data are closed.
func (f *Fabric) Heal() {
	f.mutex.Lock()
	clear(f.blockedLinks)
	clear(f.cutPaths)
	var broken []*connection
	for c := range f.connections {
		if c.broken {
			broken = append(broken, c)
			delete(f.connections, c)
		}
	}
	f.mutex.Unlock()
	for _, c := range broken {
		c.close()
	}
}

// DropOnOpenConnections makes every open connection lose all data written from now on, without an error
// at either endpoint. New connections are not affected.
func (f *Fabric) DropOnOpenConnections() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for c := range f.connections {
		c.broken = true
	}
}

// Pause blocks a host's network calls until Resume, as if its process were suspended. Its
// timers continue to run.
func (f *Fabric) Pause(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, already := f.paused[name]; !already {
		f.paused[name] = make(chan struct{})
	}
}

// Resume ends the pause of a host.
func (f *Fabric) Resume(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if resumed, paused := f.paused[name]; paused {
		close(resumed)
		delete(f.paused, name)
	}
}

// IsPaused reports whether the host is paused.
func (f *Fabric) IsPaused(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.paused[name] != nil
}

// WaitResumed blocks while the host is paused.
func (f *Fabric) WaitResumed(name string) {
	f.mutex.Lock()
	resumed := f.paused[name]
	f.mutex.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// signalClosed wakes writes that wait for the hosts' links.
func (c *connection) signalClosed() { c.once.Do(func() { close(c.closed) }) }

func (c *connection) close() {
	c.signalClosed()
	_ = c.pipes[0].Close()
	_ = c.pipes[1].Close()
}

// host is the network as seen from one host.
type host struct {
	fabric *Fabric
	name   string
}

// Listen implements network.Network. An empty port or port 0 selects an unused one.
func (h host) Listen(address string) (net.Listener, error) {
	h.fabric.mutex.Lock()
	defer h.fabric.mutex.Unlock()
	_, port, _ := strings.Cut(address, ":")
	if port == "" || port == "0" {
		h.fabric.nextPort++
		port = strconv.Itoa(h.fabric.nextPort)
	}
	l := &listener{fabric: h.fabric, address: h.name + ":" + port, backlog: make(chan net.Conn), closed: make(chan struct{})}
	if _, taken := h.fabric.listeners[l.address]; taken {
		return nil, fmt.Errorf("listen on %s: address already in use", l.address)
	}
	h.fabric.listeners[l.address] = l
	return l, nil
}

// errRefused is the error of dialing an address without a listener.
var errRefused error = syscall.ECONNREFUSED

// Dial implements network.Network. Over a blocked link it blocks until the context ends.
func (h host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.fabric.WaitResumed(h.name)
	target, _, _ := strings.Cut(address, ":")
	h.fabric.mutex.Lock()
	found := h.fabric.listeners[address]
	h.fabric.mutex.Unlock()
	if err := h.awaitPath(ctx, target, address); err != nil {
		return nil, err
	}
	if found == nil {
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	}
	local, remote := h.fabric.connect(h.name, target)
	select {
	case found.backlog <- remote:
		return local, nil
	case <-found.closed:
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *Fabric) connect(from, to string) (net.Conn, net.Conn) {
	left, right := net.Pipe()
	c := &connection{hostPair: hostPair{from, to}, pipes: [2]net.Conn{left, right}, closed: make(chan struct{})}
	f.mutex.Lock()
	f.connections[c] = true
	f.mutex.Unlock()
	near, far := newEndpoint(f, c, left, from, to), newEndpoint(f, c, right, to, from)
	near.other, far.other = far, near
	return near, far
}

// endpoint is a host's side of a connection.
type endpoint struct {
	net.Conn
	fabric        *Fabric
	connection    *connection
	local, remote string
	// writeSlot is a semaphore of size one for writes over limited links.
	writeSlot chan struct{}
	deadline  *writeDeadline
	// other is the other endpoint.
	other *endpoint
	// resetsOnClose makes Close a reset, isClosed is true once it was called, and hasEnded once the other endpoint
	// closed its direction.
	resetsOnClose, isClosed, hasEnded atomic.Bool
}

func newEndpoint(f *Fabric, c *connection, conn net.Conn, local, remote string) *endpoint {
	return &endpoint{Conn: conn, fabric: f, connection: c, local: local, remote: remote, writeSlot: make(chan struct{}, 1), deadline: newWriteDeadline()}
}

// Read implements net.Conn. It blocks while the host is paused.
func (e *endpoint) Read(content []byte) (int, error) {
	count, err := 0, io.EOF
	if !e.hasEnded.Load() {
		count, err = e.Conn.Read(content)
	}
	e.fabric.WaitResumed(e.local)
	switch {
	case err == nil || e.isClosed.Load():
	case e.connection.isReset.Load():
		err = syscall.ECONNRESET
	case e.hasEnded.Load():
		err = io.EOF
	}
	return count, err
}

// SetLinger makes Close a reset if the seconds are zero, as for a TCP connection.
func (e *endpoint) SetLinger(seconds int) error {
	if e.isClosed.Load() {
		return net.ErrClosed
	}
	e.resetsOnClose.Store(seconds == 0)
	return nil
}

// CloseWrite ends the direction to the other endpoint, as for a TCP connection.
func (e *endpoint) CloseWrite() error {
	e.other.hasEnded.Store(true)
	return e.other.Conn.SetReadDeadline(pastTime) // wakes a read in progress
}

// Write implements net.Conn. Content written over a blocked link is lost without an error. Over
// a limited link, Write returns when the content has been transmitted and read.
func (e *endpoint) Write(content []byte) (int, error) {
	if e.fabric.isLimited(e.local, e.remote) {
		return e.writeChunks(content)
	}
	e.fabric.enqueueStream(e.local, e.remote, len(content))
	return e.deliver(content)
}

// deliver writes content to the peer's pipe, or drops it if the connection is broken or
// the direction is blocked.
func (e *endpoint) deliver(content []byte) (int, error) {
	e.fabric.WaitResumed(e.local)
	e.fabric.mutex.Lock()
	lost := e.connection.broken || e.fabric.blockedLinks[hostPair{e.local, e.remote}]
	if lost {
		e.connection.broken = true
	}
	e.fabric.mutex.Unlock()
	if lost {
		return len(content), nil
	}
	return e.Conn.Write(content)
}

// Close implements net.Conn. Over a blocked link, or on a broken connection, the peer is not
// notified.
func (e *endpoint) Close() error {
	e.isClosed.Store(true)
	e.fabric.mutex.Lock()
	isLost := e.connection.broken || e.fabric.blockedLinks[hostPair{e.local, e.remote}]
	if isLost {
		e.connection.broken = true
	} else {
		delete(e.fabric.connections, e.connection)
	}
	e.fabric.mutex.Unlock()
	if isLost {
		// Closing a pipe wakes both ends. A deadline on this half only leaves the peer
		// blocked in its read until the link is unblocked.
		return e.SetDeadline(pastTime)
	}
	if e.resetsOnClose.Load() {
		e.connection.isReset.Store(true)
		e.connection.close()
		return nil
	}
	e.connection.signalClosed()
	return e.Conn.Close()
}

// LocalAddr implements net.Conn. The address is the name of the host.
func (e *endpoint) LocalAddr() net.Addr { return address(e.local) }

// RemoteAddr implements net.Conn. The address is the name of the peer's host.
func (e *endpoint) RemoteAddr() net.Addr { return address(e.remote) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// listener accepts connections at an address.
type listener struct {
	fabric  *Fabric
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.backlog:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.fabric.mutex.Lock()
		delete(l.fabric.listeners, l.address)
		l.fabric.mutex.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// pastTime is a deadline in the past.
var pastTime = time.Unix(1, 0)
