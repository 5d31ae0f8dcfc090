// Package network defines the interface through which the daemon reaches other processes, with
// implementations for TCP, UDP and TLS. Tests replace it by simulated networks with partitions and
// virtual time.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Network dials and listens. Addresses are host:port, or names that the implementation resolves.
type Network interface {
	// Dial connects within the context. An error proves that no application data was sent.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at the address; port 0 selects a free one.
	Listen(address string) (net.Listener, error)
}

// IsRefused reports whether the error of a Dial means that the host is reachable, but nothing
// listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ResetOnClose makes a later Close reset the connection, so that the kernel doesn't go on sending what was
// written. It has no effect on connections without that option.
func ResetOnClose(connection net.Conn) { setLinger(connection, 0) }

// FlushOnClose undoes ResetOnClose.
func FlushOnClose(connection net.Conn) { setLinger(connection, -1) }

// setLinger sets the time for which a close waits for unsent bytes: 0 resets the connection, and -1 has the kernel go on
// sending.
func setLinger(connection net.Conn, seconds int) {
	if withLinger, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = withLinger.SetLinger(seconds)
	}
}

// TCP is the operating system's network.
type TCP struct {
	// SilenceLimit is how long the other side may send nothing at all, not even acknowledgements,
	// before the connection is broken; zero means the system's default. On accepted connections
	// only the keep-alive probes use it.
	SilenceLimit time.Duration
}

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	if t.SilenceLimit > 0 {
		dialer.KeepAliveConfig = t.keepAlive()
		dialer.Control = t.setUserTimeout
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (t TCP) Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	if t.SilenceLimit > 0 {
		config.KeepAliveConfig = t.keepAlive()
	}
	return config.Listen(context.Background(), "tcp", address)
}

// maxUnansweredProbes is the number of unanswered keep-alive probes that break a connection.
const maxUnansweredProbes = 3

func (t TCP) keepAlive() net.KeepAliveConfig {
	interval := max(t.SilenceLimit/maxUnansweredProbes, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: maxUnansweredProbes}
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

// setUserTimeout bounds how long written bytes may stay unacknowledged.
func (t TCP) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(t.SilenceLimit.Milliseconds()))
	})
}

// Bounded adds a time limit to each Dial, since some clients continue to dial after their caller
// gave up.
type Bounded struct {
	Network
	Limit time.Duration
}

// Dial implements Network.
func (b Bounded) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, b.Limit)
	defer cancel()
	return b.Network.Dial(ctx, address)
}
