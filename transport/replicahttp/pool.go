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

// Bounds of the pool.
const (
	// defaultIdle is how long a connection is kept whose replica names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the replica names.
	idleMargin = 1200 * time.Millisecond
	// maximumIdle bounds the kept connections to one replica.
	maximumIdle  = 16
	readBuffer   = 4096
	keepAliveKey = "timeout="
)

// Pool keeps connections to replicas.
type Pool struct {
	network network.Network
	mutex   sync.Mutex
	idle    map[string][]*Conn
	opened  uint64
	reused  uint64
}

// NewPool returns an empty pool.
func NewPool(network network.Network) *Pool {
	return &Pool{network: network, idle: map[string][]*Conn{}}
}

// Conn is one connection to a replica. It serves one exchange at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	key    string
	// Reused is true if an earlier exchange used the connection.
	Reused  bool
	idleAt  time.Time
	idleFor time.Duration
}

// Connect returns a kept connection that rested no longer than maximumRest, or
// a new one. Its error proves that nothing was sent. The key names the replica
// and its incarnation, so that a reused address gets no old connection.
func (p *Pool) Connect(ctx context.Context, key, address string, maximumRest time.Duration) (*Conn, error) {
	for {
		kept := p.take(key)
		if kept == nil {
			break
		}
		if time.Since(kept.idleAt) < min(kept.idleFor, maximumRest) && kept.quiet() {
			kept.Reused = true
			p.count(&p.reused)
			return kept, nil
		}
		_ = kept.Close()
	}
	p.count(&p.opened)
	opened, err := p.network.Dial(ctx, address)
	if err != nil {
		return nil, errkind.Wrap(errkind.NoReplica, fmt.Errorf("connect to %s: %w", address, err))
	}
	return &Conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), key: key}, nil
}

func (p *Pool) count(counter *uint64) {
	p.mutex.Lock()
	*counter++
	p.mutex.Unlock()
}

// Counts returns how many connections were opened and how often one was reused.
func (p *Pool) Counts() (opened, reused uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened, p.reused
}

func (p *Pool) take(key string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[key]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[key] = kept[:len(kept)-1]
	return last
}

// keep takes a connection back after a whole answer.
func (p *Pool) keep(conn *Conn, keepAlive string) {
	conn.idleFor = idleTime(keepAlive)
	conn.idleAt = time.Now()
	p.mutex.Lock()
	full := len(p.idle[conn.key]) >= maximumIdle
	if !full && conn.idleFor > 0 {
		p.idle[conn.key] = append(p.idle[conn.key], conn)
	}
	p.mutex.Unlock()
	if full || conn.idleFor <= 0 {
		_ = conn.Close()
	}
}

// Sweep closes connections that rested too long.
func (p *Pool) Sweep() {
	p.closeKept(func(conn *Conn) bool { return time.Since(conn.idleAt) >= conn.idleFor })
}

// Forget closes the kept connections of a replica.
func (p *Pool) Forget(key string) {
	p.mutex.Lock()
	kept := p.idle[key]
	delete(p.idle, key)
	p.mutex.Unlock()
	for _, conn := range kept {
		_ = conn.Close()
	}
}

// CloseRested closes the kept connections that rested for so long or longer, and returns
// how many these were.
func (p *Pool) CloseRested(rested time.Duration) int {
	return p.closeKept(func(conn *Conn) bool { return time.Since(conn.idleAt) >= rested })
}

// closeKept closes the kept connections that the function picks.
func (p *Pool) closeKept(picks func(*Conn) bool) int {
	var picked []*Conn
	p.mutex.Lock()
	for key, kept := range p.idle {
		left := kept[:0]
		for _, conn := range kept {
			if picks(conn) {
				picked = append(picked, conn)
			} else {
				left = append(left, conn)
			}
		}
		if len(left) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = left
		}
	}
	p.mutex.Unlock()
	for _, conn := range picked {
		_ = conn.Close()
	}
	return len(picked)
}

// idleTime reads the time of a Keep-Alive header and takes the margin off.
func idleTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(strings.ToLower(part)), keepAliveKey)
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

// quiet returns whether the connection is open and has nothing to read: a
// close or a stray byte makes it unusable.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	holder, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, readErr := syscall.Read(int(descriptor), one[:])
		quiet = count < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
