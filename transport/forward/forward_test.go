package forward

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// spliced returns the node's side of a forwarded connection and the replica's side. The returned function
// waits for the end of the forwarding.
func spliced() (node *Conn, replica net.Conn, wait func()) {
	nodeSide, forwarderSide := net.Pipe()
	dialed, replica := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		Splice(forwarderSide, dialed)
	}()
	return NewConn(nodeSide), replica, func() { <-done }
}

// Guards against bytes that are lost or changed on the way, in either direction.
func TestBytesPassUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node, replica, wait := spliced()
		request, response := strings.Repeat("request ", 10_000), strings.Repeat("response ", 20_000)
		go func() {
			buffer := make([]byte, len(request))
			_, err := io.ReadFull(replica, buffer)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(buffer) == request).To(gomega.BeTrue())
			_, _ = io.WriteString(replica, response)
			_ = replica.Close()
		}()
		_, err := io.WriteString(node, request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got, err := io.ReadAll(node)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got) == response).To(gomega.BeTrue())
		_ = node.Close()
		wait()
	})
}

// brokenConn is a connection whose reads fail with err once its peer has closed.
type brokenConn struct {
	net.Conn
	err error
}

func (b brokenConn) Read(into []byte) (int, error) {
	count, err := b.Conn.Read(into)
	if err != nil {
		err = b.err
	}
	return count, err
}

// Guards against a truncated response that looks complete: how the replica's connection ended, or that the
// forwarder failed, must be visible to the node.
func TestEndOfTheReplicaIsToldFromAFailure(t *testing.T) {
	cases := map[string]struct {
		failure func(replica, forwarder net.Conn)
		readErr error
		want    error
	}{
		"closed":            {func(replica, _ net.Conn) { _ = replica.Close() }, io.EOF, nil},
		"reset":             {func(replica, _ net.Conn) { _ = replica.Close() }, syscall.ECONNRESET, syscall.ECONNRESET},
		"forwarder is lost": {func(_, forwarder net.Conn) { _ = forwarder.Close() }, io.EOF, ErrForwarderLost},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				nodeSide, forwarderSide := net.Pipe()
				dialed, replica := net.Pipe()
				go Splice(forwarderSide, brokenConn{dialed, test.readErr})
				node := NewConn(nodeSide)
				go func() {
					_, _ = io.WriteString(replica, "part")
					synctest.Wait()
					test.failure(replica, forwarderSide)
				}()
				got, err := io.ReadAll(node)
				g.Expect(string(got)).To(gomega.Equal("part"))
				if test.want == nil {
					g.Expect(err).NotTo(gomega.HaveOccurred())
				} else {
					g.Expect(errors.Is(err, test.want)).To(gomega.BeTrue(), "%v", err)
				}
				_, again := node.Read(make([]byte, 1))
				g.Expect(again).To(gomega.HaveOccurred())
				_ = node.Close()
				_ = replica.Close()
			})
		})
	}
}

// Guards against work that goes on at the replica after the node has closed its connection.
func TestReplicaConnectionIsClosedWithTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node, replica, wait := spliced()
		_ = node.Close()
		closed := make(chan error, 1)
		go func() {
			_, err := replica.Read(make([]byte, 1))
			closed <- err
		}()
		wait()
		g.Expect(<-closed).To(gomega.HaveOccurred())
	})
}

// Guards against a forwarder that buffers what a slow node does not read.
func TestSlowReaderHoldsBackTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		node, replica, wait := spliced()
		written := 0
		go func() {
			for {
				count, err := replica.Write(make([]byte, 1024))
				written += count
				if err != nil {
					return
				}
			}
		}()
		synctest.Wait()
		g.Expect(written).To(gomega.BeNumerically("<=", maxBlockBytes))
		_ = node.Close()
		wait()
	})
}

// Guards against a length that is lost when a deadline interrupts its read.
func TestInterruptedReadContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := net.Pipe()
		node := NewConn(near)
		go func() {
			_, _ = far.Write([]byte{0, 0})
			time.Sleep(time.Second)
			_, _ = far.Write([]byte{0, 2, 'o', 'k', 0, 0, 0, 0})
		}()
		_ = node.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := node.Read(make([]byte, 4))
		var timeout net.Error
		g.Expect(errors.As(err, &timeout) && timeout.Timeout()).To(gomega.BeTrue(), "%v", err)
		_ = node.SetReadDeadline(time.Time{})
		got, err := io.ReadAll(node)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(got)).To(gomega.Equal("ok"))
		_ = node.Close()
		_ = far.Close()
	})
}

// acceptedPair returns the two sides of a connection of the operating system.
func acceptedPair(t testing.TB) (dialed, accepted *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	opened, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	received, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return opened.(*net.TCPConn), received.(*net.TCPConn)
}

// Guards against a reset by the replica, or a forwarder that ends, that looks like the end of a response on
// connections of the operating system.
func TestResetsOfRealConnectionsAreToldApart(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(replica, forwarder *net.TCPConn)
		want error
	}{
		"closed by the replica": {func(replica, _ *net.TCPConn) { _ = replica.Close() }, nil},
		"reset by the replica":  {func(replica, _ *net.TCPConn) { _ = replica.SetLinger(0); _ = replica.Close() }, syscall.ECONNRESET},
		"forwarder ends":        {func(_, forwarder *net.TCPConn) { _ = forwarder.Close() }, ErrForwarderLost},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			nodeSide, forwarderNode := acceptedPair(t)
			forwarderReplica, replica := acceptedPair(t)
			go Splice(forwarderNode, forwarderReplica)
			node := NewConn(nodeSide)
			defer node.Close()
			_, err := io.WriteString(replica, "part")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.ReadFull(node, make([]byte, len("part")))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			test.end(replica, forwarderNode)
			_, err = io.ReadAll(node)
			if test.want == nil {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			g.Expect(errors.Is(err, test.want)).To(gomega.BeTrue(), "%v", err)
		})
	}
}

// Guards against a request that the node has given up and the forwarder still sends: a reset by the node must
// reset the replica's connection, and only that.
func TestResetByTheNodeReachesTheReplica(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(node *Conn)
		want error
	}{
		"closed": {func(node *Conn) { _ = node.Close() }, io.EOF},
		"reset":  {func(node *Conn) { _ = node.SetLinger(0); _ = node.Close() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			nodeSide, forwarderNode := acceptedPair(t)
			forwarderReplica, replica := acceptedPair(t)
			go Splice(forwarderNode, forwarderReplica)
			test.end(NewConn(nodeSide))
			_, err := replica.Read(make([]byte, 1))
			g.Expect(errors.Is(err, test.want)).To(gomega.BeTrue(), "%v", err)
			_ = replica.Close()
		})
	}
}
