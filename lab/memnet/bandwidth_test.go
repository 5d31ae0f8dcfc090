package memnet

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// megabit is a bandwidth in bits per second. At one megabit, 125 bytes take 1 ms.
const megabit = 1e6

// connect opens a connection and returns the endpoints of the two hosts.
func connect(g *gomega.WithT, fabric *Fabric, from, to string) (net.Conn, net.Conn) {
	listener, err := fabric.Host(to).Listen(to + ":0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := listener.Accept()
		accepted <- conn
	}()
	local, err := fabric.Host(from).Dial(context.Background(), listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return local, <-accepted
}

// runWithFabric runs the test on a new fabric under virtual time.
func runWithFabric(t *testing.T, test func(g *gomega.WithT, fabric *Fabric)) {
	synctest.Test(t, func(t *testing.T) { test(gomega.NewWithT(t), New()) })
}

// Guards against a stream that ignores the bandwidth of either host.
func TestStreamIsLimitedByTheSlowerLink(t *testing.T) {
	runWithFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("a", 100*megabit)
		fabric.SetBandwidth("b", 10*megabit)
		local, remote := connect(g, fabric, "a", "b")
		start := time.Now()
		go func() { _, _ = local.Write(make([]byte, 1_250_000)); _ = local.Close() }()
		received, err := io.ReadAll(remote)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(received).To(gomega.HaveLen(1_250_000))
		g.Expect(time.Since(start)).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
		g.Expect(fabric.SentBytes("a")).To(gomega.Equal(int64(1_250_000)))
		g.Expect(fabric.SentBytes("b")).To(gomega.BeZero())
	})
}

// Guards against delays on links without a limit, and against bytes that are not counted.
func TestStreamWithoutLimitTakesNoTime(t *testing.T) {
	runWithFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		local, remote := connect(g, fabric, "a", "b")
		start := time.Now()
		go func() { _, _ = local.Write(make([]byte, 1_250_000)); _ = local.Close() }()
		_, err := io.ReadAll(remote)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(start)).To(gomega.BeZero())
		g.Expect(fabric.SentBytes("a")).To(gomega.Equal(int64(1_250_000)))
	})
}

// Guards against a long stream that starves a short one on the same link.
func TestConnectionsShareALinkFairly(t *testing.T) {
	runWithFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("a", 10*megabit)
		long, longEnd := connect(g, fabric, "a", "b")
		short, shortEnd := connect(g, fabric, "a", "c")
		var group sync.WaitGroup
		group.Go(func() { _, _ = long.Write(make([]byte, 1_250_000)); _ = long.Close() })
		group.Go(func() { _, _ = io.Copy(io.Discard, longEnd) })
		group.Go(func() { _, _ = io.Copy(io.Discard, shortEnd) })
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		_, err := short.Write(make([]byte, 125_000))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("~", 200*time.Millisecond, 15*time.Millisecond))
		_ = short.Close()
		group.Wait()
	})
}

// Guards against a write that ignores a deadline that is moved while it waits for a link.
func TestWriteOverALimitedLinkEndsAtItsDeadline(t *testing.T) {
	runWithFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("b", megabit)
		local, remote := connect(g, fabric, "a", "b")
		go func() { _, _ = io.Copy(io.Discard, remote) }()
		start := time.Now()
		_ = local.SetWriteDeadline(start.Add(time.Minute))
		time.AfterFunc(300*time.Millisecond, func() { _ = local.SetWriteDeadline(time.Unix(1, 0)) })
		count, err := local.Write(make([]byte, 125_000))
		g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
		g.Expect(time.Since(start)).To(gomega.Equal(300 * time.Millisecond))
		g.Expect(count).To(gomega.BeNumerically("~", 37_500, chunkBytes))
		_ = local.SetWriteDeadline(time.Time{})
		_, err = local.Write([]byte("more"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = local.Close()
	})
}

// Guards against a write that keeps waiting for a link after the connection was closed.
func TestWriteOverALimitedLinkEndsWhenEitherSideCloses(t *testing.T) {
	for _, closeSide := range []func(local, remote net.Conn){
		func(local, _ net.Conn) { _ = local.Close() }, func(_, remote net.Conn) { _ = remote.Close() },
	} {
		runWithFabric(t, func(g *gomega.WithT, fabric *Fabric) {
			fabric.SetBandwidth("a", megabit)
			local, remote := connect(g, fabric, "a", "b")
			go func() { _, _ = io.Copy(io.Discard, remote) }()
			start := time.Now()
			time.AfterFunc(100*time.Millisecond, func() { closeSide(local, remote) })
			_, err := local.Write(make([]byte, 125_000))
			g.Expect(err).To(gomega.MatchError(io.ErrClosedPipe))
			g.Expect(time.Since(start)).To(gomega.Equal(100 * time.Millisecond))
			_, _ = local.Close(), remote.Close()
		})
	}
}

// Guards against a writer that fills the link while the peer does not read.
func TestPeerThatDoesNotReadBlocksTheWriter(t *testing.T) {
	runWithFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("a", megabit)
		local, remote := connect(g, fabric, "a", "b")
		_ = local.SetWriteDeadline(time.Now().Add(10 * time.Second))
		count, err := local.Write(make([]byte, 125_000))
		g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
		g.Expect(count).To(gomega.BeZero())
		g.Expect(fabric.SentBytes("a")).To(gomega.Equal(int64(chunkBytes)))
		_, _ = local.Close(), remote.Close()
	})
}

// Guards against datagrams without queueing delay and against queues without a limit.
func TestDatagramsQueueAtALinkAndAreDroppedWhenTheQueueIsTooLong(t *testing.T) {
	runWithFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("b", megabit) // 1,250 bytes take 10 ms
		sender, err := fabric.Datagrams("a").ListenDatagrams("a:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		receiver, err := fabric.Datagrams("b").ListenDatagrams("b:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		start := time.Now()
		for range 30 {
			g.Expect(sender.Send("b:1", make([]byte, 1250))).To(gomega.Succeed())
		}
		buffer := make([]byte, 2000)
		_, err = receiver.Receive(buffer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(start)).To(gomega.Equal(10 * time.Millisecond))
		time.Sleep(time.Second)
		received := 1
		for len(receiver.(*socket).messages) > 0 {
			_, _ = receiver.Receive(buffer)
			received++
		}
		g.Expect(received).To(gomega.Equal(21)) // those with a queueing delay of at most 200 ms
		_, _ = sender.Close(), receiver.Close()
	})
}
