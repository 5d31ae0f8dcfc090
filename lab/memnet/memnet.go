// Package memnet is a network in memory, on which whole nodes run under virtual
// time. Links between hosts can be cut, one way or both, and hosts paused; the link of
// a host may have a limited bandwidth.
package memnet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
)

// Fabric joins hosts. It is safe for concurrent use.
type Fabric struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	cuts      map[direction]bool
	paused    map[string]chan struct{}
	links     map[*link]bool
	nextPort  int
	sockets   map[string]*socket
	bandwidth bandwidth
}

// direction is one way between two hosts.
type direction struct{ from, to string }

// link is one connection.
type link struct {
	direction
	broken bool
	ends   [2]net.Conn
	// closed is closed when one of the ends is.
	closed chan struct{}
	once   sync.Once
}

// New returns a fabric without hosts.
func New() *Fabric {
	return &Fabric{
		listeners: map[string]*listener{}, cuts: map[direction]bool{}, paused: map[string]chan struct{}{},
		links: map[*link]bool{}, nextPort: 1000, sockets: map[string]*socket{}, bandwidth: newBandwidth(),
	}
}

// Host returns the network as seen from the named host.
func (f *Fabric) Host(name string) network.Network { return host{fabric: f, name: name} }

// Cut stops what is sent from one host to another; what was sent is lost.
func (f *Fabric) Cut(from, to string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cuts[direction{from, to}] = true
}

// CutGroups cuts both ways between every pair of the two groups of hosts.
func (f *Fabric) CutGroups(left, right []string) {
	for _, a := range left {
		for _, b := range right {
			f.Cut(a, b)
			f.Cut(b, a)
		}
	}
}

// Heal ends all cuts. Connections that lost something are closed.
func (f *Fabric) Heal() {
	f.mutex.Lock()
	clear(f.cuts)
	var broken []*link
	for l := range f.links {
		if l.broken {
			broken = append(broken, l)
			delete(f.links, l)
		}
	}
	f.mutex.Unlock()
	for _, l := range broken {
		l.close()
	}
}

// Silence makes every open connection lose all that is written to it from now on, without
// either end learning of it. New connections work.
func (f *Fabric) Silence() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for l := range f.links {
		l.broken = true
	}
}

// Pause stops a host's reading and writing until Resume, as a stopped process
// would; its timers go on.
func (f *Fabric) Pause(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, already := f.paused[name]; !already {
		f.paused[name] = make(chan struct{})
	}
}

// Resume ends a pause.
func (f *Fabric) Resume(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if gate, paused := f.paused[name]; paused {
		close(gate)
		delete(f.paused, name)
	}
}

// WaitResumed returns when the host is not paused.
func (f *Fabric) WaitResumed(name string) {
	f.mutex.Lock()
	gate := f.paused[name]
	f.mutex.Unlock()
	if gate != nil {
		<-gate
	}
}

// end tells writes that wait for the hosts' links that the connection is closed.
func (l *link) end() { l.once.Do(func() { close(l.closed) }) }

func (l *link) close() {
	l.end()
	_ = l.ends[0].Close()
	_ = l.ends[1].Close()
}

// host is the network of one host.
type host struct {
	fabric *Fabric
	name   string
}

// Listen implements network.Network; the address may be ":0".
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
		return nil, fmt.Errorf("address %s is in use", l.address)
	}
	h.fabric.listeners[l.address] = l
	return l, nil
}

// errRefused is what dialling an address without a listener gives.
var errRefused error = syscall.ECONNREFUSED

// Dial implements network.Network. Across a cut it waits for the context.
func (h host) Dial(ctx context.Context, address string) (net.Conn, error) {
	h.fabric.WaitResumed(h.name)
	target, _, _ := strings.Cut(address, ":")
	h.fabric.mutex.Lock()
	cut := h.fabric.cuts[direction{h.name, target}] || h.fabric.cuts[direction{target, h.name}]
	found := h.fabric.listeners[address]
	h.fabric.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if found == nil {
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	}
	near, far := h.fabric.connect(h.name, target)
	select {
	case found.backlog <- far:
		return near, nil
	case <-found.closed:
		return nil, fmt.Errorf("dial %s: %w", address, errRefused)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *Fabric) connect(from, to string) (net.Conn, net.Conn) {
	left, right := net.Pipe()
	l := &link{direction: direction{from, to}, ends: [2]net.Conn{left, right}, closed: make(chan struct{})}
	f.mutex.Lock()
	f.links[l] = true
	f.mutex.Unlock()
	return newEnd(f, l, left, from, to), newEnd(f, l, right, to, from)
}

// end is one end of a connection.
type end struct {
	net.Conn
	fabric        *Fabric
	link          *link
	local, remote string
	// turn holds one token; who has it may write over a limited link.
	turn     chan struct{}
	deadline *writeDeadline
}

func newEnd(f *Fabric, l *link, conn net.Conn, local, remote string) *end {
	return &end{Conn: conn, fabric: f, link: l, local: local, remote: remote, turn: make(chan struct{}, 1), deadline: newWriteDeadline()}
}

// Read waits while the host is paused.
func (e *end) Read(content []byte) (int, error) {
	count, err := e.Conn.Read(content)
	e.fabric.WaitResumed(e.local)
	return count, err
}

// Write loses what is written across a cut. Over a limited link it returns when the
// content has passed and was read.
func (e *end) Write(content []byte) (int, error) {
	if e.fabric.limited(e.local, e.remote) {
		return e.writePieces(content)
	}
	e.fabric.passStream(e.local, e.remote, len(content))
	return e.deliver(content)
}

// deliver hands content to the other end once it has passed the links.
func (e *end) deliver(content []byte) (int, error) {
	e.fabric.WaitResumed(e.local)
	e.fabric.mutex.Lock()
	lost := e.link.broken || e.fabric.cuts[direction{e.local, e.remote}]
	if lost {
		e.link.broken = true
	}
	e.fabric.mutex.Unlock()
	if lost {
		return len(content), nil
	}
	return e.Conn.Write(content)
}

// Close closes the connection; across a cut, or of one that is silent, the other end does
// not notice.
func (e *end) Close() error {
	e.fabric.mutex.Lock()
	cut := e.link.broken || e.fabric.cuts[direction{e.local, e.remote}]
	if cut {
		e.link.broken = true
	} else {
		delete(e.fabric.links, e.link)
	}
	e.fabric.mutex.Unlock()
	if cut {
		// Closing a pipe wakes both ends; the far end is kept waiting by a
		// deadline-free read on its own half until the cut heals.
		return e.SetDeadline(past)
	}
	e.link.end()
	return e.Conn.Close()
}

// LocalAddr and RemoteAddr name the hosts.
func (e *end) LocalAddr() net.Addr { return address(e.local) }

// RemoteAddr names the other host.
func (e *end) RemoteAddr() net.Addr { return address(e.remote) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// listener accepts connections at one address.
type listener struct {
	fabric  *Fabric
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.backlog:
		return connection, nil
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

// past is a deadline that has passed.
var past = time.Unix(1, 0)
