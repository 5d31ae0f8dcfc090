// Package network is the narrow interface through which the daemon reaches
// other processes, so that tests can run the whole daemon on a network of
// their own, with cuts and pauses, under virtual time.
package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Network dials and listens. Addresses are IP and port, or names that the
// implementation understands.
type Network interface {
	// Dial connects within the context. An error proves that nothing was sent.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at the address; port 0 chooses a free one.
	Listen(address string) (net.Listener, error)
}

// IsRefused returns whether the error of a Dial says that nobody listens at the address, as
// against a host that can't be reached.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// TCP is the operating system's network.
type TCP struct {
	// SilenceLimit is the time after which a connection that this side opened,
	// and whose other side says nothing at all, not even that it received, is
	// broken; zero means the system's default.
	SilenceLimit time.Duration
}

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	if t.SilenceLimit > 0 {
		dialer.KeepAliveConfig = t.keepAlive()
		dialer.Control = t.control
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

// probes is the number of unanswered keep-alive probes that break a connection.
const probes = 3

func (t TCP) keepAlive() net.KeepAliveConfig {
	interval := max(t.SilenceLimit/probes, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: probes}
}

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT on Linux.
const tcpUserTimeout = 18

// control bounds how long written bytes may stay unacknowledged.
func (t TCP) control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(t.SilenceLimit.Milliseconds()))
	})
}

// Bounded gives up a connection that does not come up within the limit, whoever
// asks for it: some clients go on dialling after their caller left.
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
