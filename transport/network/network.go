// Package network is the narrow interface through which the daemon reaches
// other processes, so that tests can run the whole daemon on a network of
// their own, with cuts and pauses, under virtual time.
package network

import (
	"context"
	"net"
)

// Network dials and listens. Addresses are IP and port, or names that the
// implementation understands.
type Network interface {
	// Dial connects within the context. An error proves that nothing was sent.
	Dial(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections at the address; port 0 chooses a free one.
	Listen(address string) (net.Listener, error)
}

// TCP is the operating system's network.
type TCP struct{}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }
