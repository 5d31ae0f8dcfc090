package forward

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/answerend"
)

// connectionPair returns the two sides of a connection on loopback.
func connectionPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a request that the node gave up and that its replica takes for one that was sent in order, because the
// direction towards the node was told of the reset.
func TestReplicaIsResetWhenTheNodeIsResetDuringTheResponse(t *testing.T) {
	const plays = 200
	g := gomega.NewWithT(t)
	closed := 0
	for range plays {
		node, nodeSide := connectionPair(t)
		replicaSide, accepted := connectionPair(t)
		replica := answerend.NewConn(accepted) // it writes and reads at the same time too
		go Splice(nodeSide, replicaSide)
		go func() {
			response := make([]byte, 64<<10)
			for {
				if _, err := replica.Write(response); err != nil {
					return
				}
			}
		}()
		_, _ = io.WriteString(node, "part of a request")
		_, _ = io.CopyN(io.Discard, node, 256<<10)
		_ = node.SetLinger(0)
		_ = node.Close()
		_ = replica.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.Copy(io.Discard, replica); err == nil {
			closed++
		}
		_ = replica.Close()
	}
	g.Expect(closed).To(gomega.BeZero(), "connections to the replica that were closed in order, of %d", plays)
}
