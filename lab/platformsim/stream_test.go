package platformsim

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// closedPeerConn is a connection on which writes fail after a number of them while reads still wait, as on a process
// that was suspended when its peer closed the connection.
type closedPeerConn struct {
	net.Conn
	writesLeft atomic.Int32
}

func (c *closedPeerConn) Write(content []byte) (int, error) {
	if c.writesLeft.Add(-1) < 0 {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(content)
}

// oneConnListener accepts one connection and then waits until it is closed.
type oneConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConnListener) Close() error   { close(l.closed); return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a run that counts as broken off by the replica because a failed write shows before the read that the
// node closed the connection. Checks excuse what a replica breaks off by itself.
func TestRunsWhoseWritesFailAreCancelled(t *testing.T) {
	for _, test := range []struct {
		name       string
		writes     int32
		isComplete bool
	}{{"after the head and two events", 3, false}, {"not at all", 1000, true}} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client, server := net.Pipe()
			conn := &closedPeerConn{Conn: server}
			conn.writesLeft.Store(test.writes)
			listener := &oneConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
			listener.conns <- conn
			replica := &Replica{ID: "i-1", Events: 5, Step: time.Millisecond}
			go replica.Serve(listener)
			defer func() { _, _ = client.Close(), listener.Close() }()
			request, err := http.NewRequest(http.MethodPost, "http://replica/stream/", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			request.Header.Set("X-Expect-Instance", "i-1")
			request.Header.Set("X-Attempt-Id", "r1")
			g.Expect(request.Write(client)).To(gomega.Succeed())
			response, err := http.ReadResponse(bufio.NewReader(client), request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.ReadAll(response.Body)
			g.Expect(err == nil).To(gomega.Equal(test.isComplete))
			g.Eventually(func() int { return len(replica.Unfinished()) }).Should(gomega.BeZero())
			run := replica.Runs()[0]
			g.Expect(run.Completed).To(gomega.Equal(test.isComplete))
			g.Expect(run.Cancelled).To(gomega.Equal(!test.isComplete))
			g.Expect(run.EndedAt).NotTo(gomega.BeZero())
		})
	}
}
