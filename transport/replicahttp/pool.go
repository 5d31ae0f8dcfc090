package replicahttp

import (
	"errors"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/httphead"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Parameters of the pool.
const (
	// defaultIdleTimeout applies if the replica's answer has no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout of the replica's answer, so that the connection
	// is not used while the replica closes it.
	idleMargin = 1200 * time.Millisecond
	// maxIdlePerReplica bounds the idle connections to one replica.
	maxIdlePerReplica   = 16
	readBufferBytes     = 4096
	keepAliveTimeoutKey = "timeout="
)

// Pool keeps idle connections to replicas. It is safe for concurrent use.
type Pool struct {
	mutex  sync.Mutex
	idle   map[poolKey][]*Conn
	opened uint64
	reused uint64
	// onEarlyEnd is called with the incarnation of an idle connection that was found ended before its time.
	onEarlyEnd func(Incarnation)
}

// poolKey identifies the idle connections that can replace each other.
type poolKey struct {
	incarnation Incarnation
	isForwarded bool
}

// NewPool returns an empty pool. Callers must call Sweep regularly to close expired connections.
func NewPool() *Pool {
	return &Pool{idle: map[poolKey][]*Conn{}, onEarlyEnd: func(Incarnation) {}}
}

// OnEarlyEnd has the function called before TakeIdle returns if an idle connection of the incarnation was found to have
// been closed, and not reset, before the idle timeout that the replica stated. It must be called before the pool is used.
func (p *Pool) OnEarlyEnd(call func(Incarnation)) { p.onEarlyEnd = call }

// Incarnation is one run of a replica's process.
type Incarnation struct {
	Replica string
	// StartedAt is its start in Unix milliseconds by the replica's clock; zero if it states none.
	StartedAt int64
	// Version tells incarnations apart that state no start.
	Version string
}

// Conn is a connection to a replica, for one exchange at a time.
type Conn struct {
	net.Conn
	reader *httphead.Reader
	key    poolKey
	// OpenedAt is when the connection had been opened.
	OpenedAt structs.Instant
	// Forwarder is the name of the peer that forwards the connection, empty if it is direct.
	Forwarder string
	// Reused is true if the connection was used by an earlier exchange.
	Reused bool
	// lastID is the ID of the latest request.
	lastID      string
	idleSince   time.Time
	idleTimeout time.Duration
	// isTimeoutStated is true if the idle timeout is that of an answer.
	isTimeoutStated bool
}

// MayCarry reports whether answers to a request with the ID can be told from late ones to the latest request of the
// connection.
func (c *Conn) MayCarry(id string) bool {
	return !c.Reused || id != "" && id != c.lastID
}

// abort resets the connection. A close would have the kernel go on sending what a silent path holds back, so that
// a request could reach the replica long after it was given up.
func (c *Conn) abort() {
	network.ResetOnClose(c.Conn)
	_ = c.Close()
}

// AnyTime is later than the opening of any connection.
const AnyTime = structs.Instant(math.MaxInt64)

// TakeIdle removes and returns a direct connection that was open by the instant, has been idle for less than maxIdle and
// is still open, or nil.
func (p *Pool) TakeIdle(incarnation Incarnation, maxIdle time.Duration, openedBy structs.Instant) *Conn {
	return p.takeReusable(poolKey{incarnation: incarnation}, maxIdle, openedBy)
}

// TakeIdleForwarded is TakeIdle for forwarded connections.
func (p *Pool) TakeIdleForwarded(incarnation Incarnation, maxIdle time.Duration, openedBy structs.Instant) *Conn {
	return p.takeReusable(poolKey{incarnation: incarnation, isForwarded: true}, maxIdle, openedBy)
}

// HasIdle reports whether a connection of the incarnation that was open by the instant is idle.
func (p *Pool) HasIdle(incarnation Incarnation, openedBy structs.Instant) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, isForwarded := range []bool{false, true} {
		if slices.ContainsFunc(p.idle[poolKey{incarnation: incarnation, isForwarded: isForwarded}], func(conn *Conn) bool {
			return conn.OpenedAt <= openedBy && time.Since(conn.idleSince) < conn.idleTimeout
		}) {
			return true
		}
	}
	return false
}

func (p *Pool) takeReusable(key poolKey, maxIdle time.Duration, openedBy structs.Instant) *Conn {
	for {
		idle := p.takeIdle(key, openedBy)
		if idle == nil {
			return nil
		}
		state := idle.state()
		if time.Since(idle.idleSince) < min(idle.idleTimeout, maxIdle) && state == connIdle {
			idle.Reused = true
			p.count(&p.reused)
			return idle
		}
		if state == connEnded && idle.isTimeoutStated && time.Since(idle.idleSince) < idle.idleTimeout {
			p.onEarlyEnd(key.incarnation)
		}
		_ = idle.Close()
	}
}

// AddDirect returns a new direct connection, which was opened for the incarnation by the instant. Only connections of
// one incarnation replace each other: a later one may run other software, and a connection that was opened before its
// start can't lead to it.
func (p *Pool) AddDirect(opened net.Conn, incarnation Incarnation, openedAt structs.Instant) *Conn {
	p.count(&p.opened)
	return newConn(answerend.NewConn(opened), poolKey{incarnation: incarnation}, openedAt)
}

// AddForwarded is AddDirect for a connection that the named peer forwards, which checks how it ends.
func (p *Pool) AddForwarded(opened net.Conn, incarnation Incarnation, openedAt structs.Instant, forwarder string) *Conn {
	p.count(&p.opened)
	conn := newConn(opened, poolKey{incarnation: incarnation, isForwarded: true}, openedAt)
	conn.Forwarder = forwarder
	return conn
}

// Incarnation returns the incarnation for which the connection was opened.
func (c *Conn) Incarnation() Incarnation { return c.key.incarnation }

func newConn(opened net.Conn, key poolKey, openedAt structs.Instant) *Conn {
	return &Conn{Conn: opened, reader: httphead.NewReader(opened, readBufferBytes), key: key, OpenedAt: openedAt}
}

func (p *Pool) count(counter *uint64) {
	p.mutex.Lock()
	*counter++
	p.mutex.Unlock()
}

// Counts returns the numbers of new connections and of reuses of idle ones.
func (p *Pool) Counts() (opened, reused uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened, p.reused
}

// takeIdle removes and returns the most recently used idle connection of the key that was open by the instant, or nil.
func (p *Pool) takeIdle(key poolKey, openedBy structs.Instant) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	for i, conn := range slices.Backward(idle) {
		if conn.OpenedAt <= openedBy {
			p.idle[key] = slices.Delete(idle, i, i+1)
			return conn
		}
	}
	return nil
}

// Keep puts a connection without an exchange in progress into the pool.
func (p *Pool) Keep(conn *Conn) { p.putIdle(conn, "") }

// putIdle returns a connection to the pool after a complete answer, or closes it if the pool is
// full for its key or its idle timeout is not positive. keepAlive is the answer's Keep-Alive
// header.
func (p *Pool) putIdle(conn *Conn, keepAlive string) {
	conn.idleTimeout, conn.isTimeoutStated = parseIdleTimeout(keepAlive)
	conn.idleSince = time.Now()
	p.mutex.Lock()
	isFull := len(p.idle[conn.key]) >= maxIdlePerReplica
	if !isFull && conn.idleTimeout > 0 {
		p.idle[conn.key] = append(p.idle[conn.key], conn)
	}
	p.mutex.Unlock()
	if isFull || conn.idleTimeout <= 0 {
		_ = conn.Close()
	}
}

// Sweep closes the connections whose idle timeout has passed.
func (p *Pool) Sweep() {
	p.closeIdleIf(func(conn *Conn) bool { return time.Since(conn.idleSince) >= conn.idleTimeout })
}

// Forget closes the idle connections of the incarnation.
func (p *Pool) Forget(incarnation Incarnation) {
	p.ForgetDirect(incarnation)
	p.closeAll(poolKey{incarnation: incarnation, isForwarded: true})
}

// ForgetDirect closes the idle direct connections of the incarnation.
func (p *Pool) ForgetDirect(incarnation Incarnation) { p.closeAll(poolKey{incarnation: incarnation}) }

// ForgetAllDirect closes the idle direct connections to all replicas.
func (p *Pool) ForgetAllDirect() {
	p.closeIdleIf(func(conn *Conn) bool { return !conn.key.isForwarded })
}

// closeAll closes the idle connections of the key.
func (p *Pool) closeAll(key poolKey) {
	p.mutex.Lock()
	closing := p.idle[key]
	delete(p.idle, key)
	p.mutex.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
}

// HasIdleForwarded reports whether any idle connection is forwarded.
func (p *Pool) HasIdleForwarded() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for key := range p.idle {
		if key.isForwarded {
			return true
		}
	}
	return false
}

// ForgetForwarded closes the idle connections that are forwarded by peers for which isForwarder returns
// false.
func (p *Pool) ForgetForwarded(isForwarder func(name string) bool) {
	p.closeIdleIf(func(conn *Conn) bool { return conn.key.isForwarded && !isForwarder(conn.Forwarder) })
}

// CloseIdle closes the connections that have been idle for minIdle or longer, and returns how
// many.
func (p *Pool) CloseIdle(minIdle time.Duration) int {
	return p.closeIdleIf(func(conn *Conn) bool { return time.Since(conn.idleSince) >= minIdle })
}

// closeIdleIf closes the idle connections for which the condition is true, and returns how many.
func (p *Pool) closeIdleIf(condition func(*Conn) bool) int {
	var closing []*Conn
	p.mutex.Lock()
	for key, idle := range p.idle {
		remaining := idle[:0]
		for _, conn := range idle {
			if condition(conn) {
				closing = append(closing, conn)
			} else {
				remaining = append(remaining, conn)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = remaining
		}
	}
	p.mutex.Unlock()
	for _, conn := range closing {
		_ = conn.Close()
	}
	return len(closing)
}

// parseIdleTimeout returns the timeout of a Keep-Alive header less the margin, or the default and false.
func parseIdleTimeout(header string) (timeout time.Duration, isStated bool) {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(strings.ToLower(part)), keepAliveTimeoutKey)
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin, true
		}
	}
	return defaultIdleTimeout, false
}

// connState is the state of a connection without an exchange in progress.
type connState int

const (
	// connIdle means that it is open and has no bytes to read.
	connIdle connState = iota
	// connEnded means that the other side closed it.
	connEnded
	// connUnusable means that it was reset, has bytes to read or can't be examined.
	connUnusable
)

// isReusable reports whether the connection may carry a request.
func (c *Conn) isReusable() bool { return c.state() == connIdle }

// state returns the connection's state without blocking. For a connection without a file descriptor it only checks the
// buffered bytes.
func (c *Conn) state() connState {
	if c.reader.Buffered() > 0 {
		return connUnusable
	}
	if withBuffer, ok := c.Conn.(interface{ Buffered() int }); ok && withBuffer.Buffered() > 0 {
		return connUnusable
	}
	withRaw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return connIdle
	}
	raw, err := withRaw.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return connIdle
	}
	if err != nil {
		return connUnusable
	}
	state := connUnusable
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, readErr := syscall.Read(int(descriptor), buffer[:])
		switch {
		case count < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK):
			state = connIdle
		case count == 0 && readErr == nil:
			state = connEnded
		}
		return true
	})
	if err != nil {
		return connUnusable
	}
	return state
}
