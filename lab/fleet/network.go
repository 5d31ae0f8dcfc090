package fleet

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/thornwalk/thornwalk/transport/network"
)

// countingNetwork counts the bytes that a node sends and receives over all connections,
// including accepted ones.
type countingNetwork struct {
	network.Network
	in, out *atomic.Int64
}

func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConnection{connection, n.in, n.out}, nil
}

func (n countingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := n.Network.Listen(address)
	return countingListener{listener, n}, err
}

type countingListener struct {
	net.Listener
	network countingNetwork
}

func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConnection{connection, l.network.in, l.network.out}, nil
}

type countingConnection struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConnection) Read(content []byte) (int, error) {
	count, err := c.Conn.Read(content)
	c.in.Add(int64(count))
	return count, err
}

func (c countingConnection) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.out.Add(int64(count))
	return count, err
}
