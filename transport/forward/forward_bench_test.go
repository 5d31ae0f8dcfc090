package forward

import (
	"io"
	"testing"
)

// BenchmarkForwardedEvent measures the forwarding of one event of a stream over the loopback interface,
// with all of node, forwarder and replica in this process.
func BenchmarkForwardedEvent(b *testing.B) {
	event := make([]byte, 200)
	nodeSide, forwarderNode := acceptedPair(b)
	forwarderReplica, replica := acceptedPair(b)
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
