package forward

import (
	"io"
	"net"
	"testing"
)

// loopbackPair returns the two sides of a connection over the loopback interface.
func loopbackPair(b *testing.B) (dialed, accepted net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	if dialed, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		b.Fatal(err)
	}
	if accepted, err = listener.Accept(); err != nil {
		b.Fatal(err)
	}
	return dialed, accepted
}

// BenchmarkForwardedEvent measures the forwarding of one event of a stream over the loopback interface,
// with all of node, forwarder and replica in this process.
func BenchmarkForwardedEvent(b *testing.B) {
	event := make([]byte, 200)
	nodeSide, forwarderNode := loopbackPair(b)
	forwarderReplica, replica := loopbackPair(b)
	go Splice(forwarderNode, forwarderReplica)
	node := NewConn(nodeSide)
	b.SetBytes(int64(len(event)))
	for b.Loop() {
		if _, err := replica.Write(event); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(node, event); err != nil {
			b.Fatal(err)
		}
	}
	_ = node.Close()
	_ = replica.Close()
}
