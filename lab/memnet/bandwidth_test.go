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

// megabit is a bandwidth in bits a second, at which 125 bytes take a millisecond.
const megabit = 1e6

// pair connects two hosts.
func pair(g *gomega.WithT, fabric *Fabric, from, to string) (net.Conn, net.Conn) {
	listener, err := fabric.Host(to).Listen(to + ":0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := listener.Accept()
		accepted <- conn
	}()
	near, err := fabric.Host(from).Dial(context.Background(), listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return near, <-accepted
}

// onFabric runs the test under virtual time.
func onFabric(t *testing.T, test func(g *gomega.WithT, fabric *Fabric)) {
	synctest.Test(t, func(t *testing.T) { test(gomega.NewWithT(t), New()) })
}

func TestStreamTakesTheTimeOfTheSlowerLink(t *testing.T) {
	onFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("a", 100*megabit)
		fabric.SetBandwidth("b", 10*megabit)
		near, far := pair(g, fabric, "a", "b")
		begun := time.Now()
		go func() { _, _ = near.Write(make([]byte, 1_250_000)); _ = near.Close() }()
		got, err := io.ReadAll(far)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.HaveLen(1_250_000))
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("~", time.Second, time.Millisecond))
		g.Expect(fabric.Sent("a")).To(gomega.Equal(int64(1_250_000)))
		g.Expect(fabric.Sent("b")).To(gomega.BeZero())
	})
}

func TestStreamWithoutLimitTakesNoTime(t *testing.T) {
	onFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		near, far := pair(g, fabric, "a", "b")
		begun := time.Now()
		go func() { _, _ = near.Write(make([]byte, 1_250_000)); _ = near.Close() }()
		_, err := io.ReadAll(far)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(begun)).To(gomega.BeZero())
		g.Expect(fabric.Sent("a")).To(gomega.Equal(int64(1_250_000)))
	})
}

// A short stream is not held up by a long one for much longer than its share takes.
func TestConnectionsShareALinkByTurns(t *testing.T) {
	onFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("a", 10*megabit)
		long, longEnd := pair(g, fabric, "a", "b")
		short, shortEnd := pair(g, fabric, "a", "c")
		var group sync.WaitGroup
		group.Go(func() { _, _ = long.Write(make([]byte, 1_250_000)); _ = long.Close() })
		group.Go(func() { _, _ = io.Copy(io.Discard, longEnd) })
		group.Go(func() { _, _ = io.Copy(io.Discard, shortEnd) })
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		_, err := short.Write(make([]byte, 125_000))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("~", 200*time.Millisecond, 15*time.Millisecond))
		_ = short.Close()
		group.Wait()
	})
}

func TestWriteThatWaitsForALinkEndsAtItsDeadline(t *testing.T) {
	onFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("b", megabit)
		near, far := pair(g, fabric, "a", "b")
		go func() { _, _ = io.Copy(io.Discard, far) }()
		begun := time.Now()
		_ = near.SetWriteDeadline(begun.Add(time.Minute))
		time.AfterFunc(300*time.Millisecond, func() { _ = near.SetWriteDeadline(time.Unix(1, 0)) })
		count, err := near.Write(make([]byte, 125_000))
		g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
		g.Expect(time.Since(begun)).To(gomega.Equal(300 * time.Millisecond))
		g.Expect(count).To(gomega.BeNumerically("~", 37_500, pieceBytes))
		_ = near.SetWriteDeadline(time.Time{})
		_, err = near.Write([]byte("more"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = near.Close()
	})
}

func TestWriteThatWaitsForALinkEndsWhenEitherSideCloses(t *testing.T) {
	for _, closes := range []func(near, far net.Conn){
		func(near, _ net.Conn) { _ = near.Close() }, func(_, far net.Conn) { _ = far.Close() },
	} {
		onFabric(t, func(g *gomega.WithT, fabric *Fabric) {
			fabric.SetBandwidth("a", megabit)
			near, far := pair(g, fabric, "a", "b")
			go func() { _, _ = io.Copy(io.Discard, far) }()
			begun := time.Now()
			time.AfterFunc(100*time.Millisecond, func() { closes(near, far) })
			_, err := near.Write(make([]byte, 125_000))
			g.Expect(err).To(gomega.MatchError(io.ErrClosedPipe))
			g.Expect(time.Since(begun)).To(gomega.Equal(100 * time.Millisecond))
			_, _ = near.Close(), far.Close()
		})
	}
}

func TestPeerThatDoesNotReadHoldsTheWriterUp(t *testing.T) {
	onFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("a", megabit)
		near, far := pair(g, fabric, "a", "b")
		_ = near.SetWriteDeadline(time.Now().Add(10 * time.Second))
		count, err := near.Write(make([]byte, 125_000))
		g.Expect(err).To(gomega.MatchError(os.ErrDeadlineExceeded))
		g.Expect(count).To(gomega.BeZero())
		g.Expect(fabric.Sent("a")).To(gomega.Equal(int64(pieceBytes)))
		_, _ = near.Close(), far.Close()
	})
}

func TestDatagramsWaitForALinkAndAreDroppedBehindALongQueue(t *testing.T) {
	onFabric(t, func(g *gomega.WithT, fabric *Fabric) {
		fabric.SetBandwidth("b", megabit) // 1,250 bytes take 10 ms
		sender, err := fabric.Datagrams("a").ListenDatagrams("a:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		receiver, err := fabric.Datagrams("b").ListenDatagrams("b:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		begun := time.Now()
		for range 30 {
			g.Expect(sender.Send("b:1", make([]byte, 1250))).To(gomega.Succeed())
		}
		buffer := make([]byte, 2000)
		_, err = receiver.Receive(buffer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(begun)).To(gomega.Equal(10 * time.Millisecond))
		time.Sleep(time.Second)
		got := 1
		for len(receiver.(*socket).messages) > 0 {
			_, _ = receiver.Receive(buffer)
			got++
		}
		g.Expect(got).To(gomega.Equal(21)) // those with at most 200 ms ahead of them
		_, _ = sender.Close(), receiver.Close()
	})
}
