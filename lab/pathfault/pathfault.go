// Package pathfault cuts the paths of one process to some addresses while it runs, as told by a file. It stands
// between a daemon and the operating system's network, where a soak can't cut the paths of one of several
// processes on a host.
package pathfault

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
)

// FileVariable is the environment variable that holds the path of the file.
const FileVariable = "THORNWALK_LAB_CUTS"

// Mode is how paths are cut.
type Mode string

// Modes of cuts.
const (
	// Silent holds back all bytes, and dials block.
	Silent Mode = "silent"
	// Reset resets open connections, and dials are refused.
	Reset Mode = "reset"
	// RefuseNew refuses dials; open connections work.
	RefuseNew Mode = "refuse-new"
	// SilenceNew blocks dials; open connections work.
	SilenceNew Mode = "silence-new"
)

// Modes are all modes.
var Modes = []Mode{Silent, Reset, RefuseNew, SilenceNew}

// pollInterval is the time between reads of the file, and between checks of a connection that is held back.
const pollInterval = 10 * time.Millisecond

// writing serializes writes, as cuts of one process may overlap.
var writing sync.Mutex

// Write cuts the paths to the addresses for the process that reads the file. Without addresses it ends the
// cut.
func Write(path string, mode Mode, addresses []string) error {
	writing.Lock()
	defer writing.Unlock()
	next := path + ".next"
	content := strings.Join(append([]string{string(mode)}, addresses...), "\n")
	if err := os.WriteFile(next, []byte(content), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// Network is a network with cuts.
type Network struct {
	network.Network
	path  string
	mutex sync.Mutex
	// mode applies to the addresses.
	mode      Mode
	addresses []string
	open      map[*conn]bool
}

// Wrap returns the network with the cuts that the file tells. It reads the file until the process ends.
func Wrap(inner network.Network, path string) *Network {
	n := &Network{Network: inner, path: path, open: map[*conn]bool{}}
	go func() {
		for {
			n.readFile()
			time.Sleep(pollInterval)
		}
	}()
	return n
}

// readFile applies the file; one that can't be read means that nothing is cut.
func (n *Network) readFile() {
	content, _ := os.ReadFile(n.path)
	lines := strings.Split(string(content), "\n")
	n.mutex.Lock()
	n.mode, n.addresses = Mode(lines[0]), lines[1:]
	var resets []*conn
	for c := range n.open {
		if n.mode == Reset && slices.Contains(n.addresses, c.address) {
			resets = append(resets, c)
		}
	}
	n.mutex.Unlock()
	for _, c := range resets {
		c.reset()
	}
}

// modeOf returns the mode of the cut of the address, empty if it is not cut.
func (n *Network) modeOf(address string) Mode {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if slices.Contains(n.addresses, address) {
		return n.mode
	}
	return ""
}

// Dial implements network.Network.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch n.modeOf(address) {
	case Reset, RefuseNew:
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	case Silent, SilenceNew:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	inner, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, network: n, address: address}
	n.mutex.Lock()
	n.open[c] = true
	n.mutex.Unlock()
	return c, nil
}

// conn is a connection that can be held back or reset.
type conn struct {
	net.Conn
	network *Network
	address string

	mutex                       sync.Mutex
	isReset, isClosed           bool
	readDeadline, writeDeadline time.Time
}

// reset closes the connection as if the other side had reset it.
func (c *conn) reset() {
	c.mutex.Lock()
	c.isReset = true
	c.mutex.Unlock()
	_ = c.Conn.Close()
}

// awaitPath blocks while the connection is held back, until the deadline that deadline returns.
func (c *conn) awaitPath(deadline func() time.Time) error {
	for c.network.modeOf(c.address) == Silent {
		c.mutex.Lock()
		until, isClosed := deadline(), c.isClosed
		c.mutex.Unlock()
		switch {
		case isClosed:
			return net.ErrClosed
		case !until.IsZero() && !time.Now().Before(until):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// errorOf replaces the error of an operation on a connection that was reset.
func (c *conn) errorOf(err error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil && c.isReset {
		return syscall.ECONNRESET
	}
	return err
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if err == nil {
		err = c.awaitPath(func() time.Time { return c.readDeadline })
	}
	return count, c.errorOf(err)
}

// Write implements net.Conn.
func (c *conn) Write(content []byte) (int, error) {
	if err := c.awaitPath(func() time.Time { return c.writeDeadline }); err != nil {
		return 0, err
	}
	count, err := c.Conn.Write(content)
	return count, c.errorOf(err)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	c.mutex.Lock()
	c.readDeadline, c.writeDeadline = at, at
	c.mutex.Unlock()
	return c.Conn.SetDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	c.readDeadline = at
	c.mutex.Unlock()
	return c.Conn.SetReadDeadline(at)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = at
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(at)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mutex.Lock()
	c.isClosed = true
	c.mutex.Unlock()
	c.network.mutex.Lock()
	delete(c.network.open, c)
	c.network.mutex.Unlock()
	return c.Conn.Close()
}

// SetLinger sets what happens to unsent bytes at the close, as for a TCP connection.
func (c *conn) SetLinger(seconds int) error {
	return c.Conn.(interface{ SetLinger(seconds int) error }).SetLinger(seconds)
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
