package replicahttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
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
	network network.Network
	mutex   sync.Mutex
	idle    map[string][]*Conn
	opened  uint64
	reused  uint64
}

// NewPool returns an empty pool. Callers must call Sweep regularly to close expired connections.
func NewPool(network network.Network) *Pool {
	return &Pool{network: network, idle: map[string][]*Conn{}}
}

// Conn is a connection to a replica, for one exchange at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	key    string
	// Reused is true if the connection was used by an earlier exchange.
	Reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
}

// Connect returns a connection that has been idle for less than maxIdle and is still open, or a new
// one. An error, of kind NoReplica, proves that nothing was sent. The key identifies the replica
// and its incarnation, so that a new replica at a reused address gets no connection of the previous
// one.
func (p *Pool) Connect(ctx context.Context, key, address string, maxIdle time.Duration) (*Conn, error) {
	for {
		idle := p.takeIdle(key)
		if idle == nil {
			break
		}
		if time.Since(idle.idleSince) < min(idle.idleTimeout, maxIdle) && idle.isReusable() {
			idle.Reused = true
			p.count(&p.reused)
			return idle, nil
		}
		_ = idle.Close()
	}
	p.count(&p.opened)
	opened, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(errkind.NoReplica, fmt.Errorf("connect to %s: %w", address, err))
	}
	return &Conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferBytes), key: key}, nil
}

func (p *Pool) count(counter *uint64) {
	p.mutex.Lock()
	*counter++
	p.mutex.Unlock()
}

// Counts returns the numbers of dials and of reuses of idle connections.
func (p *Pool) Counts() (opened, reused uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened, p.reused
}

// takeIdle removes and returns the most recently used idle connection of the key, or nil.
func (p *Pool) takeIdle(key string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[key] = idle[:len(idle)-1]
	return last
}

// putIdle returns a connection to the pool after a complete answer, or closes it if the pool is
// full for its key or its idle timeout is not positive. keepAlive is the answer's Keep-Alive
// header.
func (p *Pool) putIdle(conn *Conn, keepAlive string) {
	conn.idleTimeout = parseIdleTimeout(keepAlive)
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

// Forget closes the idle connections with the key.
func (p *Pool) Forget(key string) {
	p.mutex.Lock()
	idle := p.idle[key]
	delete(p.idle, key)
	p.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
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

// parseIdleTimeout returns the timeout of a Keep-Alive header less the margin, or the default.
func parseIdleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(strings.ToLower(part)), keepAliveTimeoutKey)
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}

// isReusable reports whether the connection is open and has no bytes to read, without blocking. For
// a connection without a file descriptor it only checks the buffered bytes.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	withRaw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	isIdle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, readErr := syscall.Read(int(descriptor), buffer[:])
		isIdle = count < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && isIdle
}
