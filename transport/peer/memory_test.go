package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/transport/network"
)

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against a process over its memory by frames of peers that are each below the limit: ones that never end, over
// many connections, and calls whose handlers wait, over one.
func TestFramesOfPeersAreLimitedInSum(t *testing.T) {
	const frameBytes, limit = 3 << 20, 32 << 20
	for name, send := range map[string]func(g *gomega.WithT, address string){
		"unfinished frames on 64 connections": func(g *gomega.WithT, address string) {
			unfinished := append(binary.BigEndian.AppendUint32(nil, frameBytes), make([]byte, frameBytes-1)...)
			for range 64 {
				connection, err := net.Dial("tcp", address)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				t.Cleanup(func() { _ = connection.Close() })
				go func() { _, _ = connection.Write(unfinished) }() // fails once the server closes it
			}
		},
		"64 calls that wait": func(g *gomega.WithT, address string) {
			connection, err := net.Dial("tcp", address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = connection.Close() })
			body, err := peerwire.Marshal(echo{Text: string(make([]byte, frameBytes))})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var frame bytes.Buffer
			_, err = peerwire.WriteFrame(&frame, &peerwire.Envelope{Call: 1, Kind: peerwire.KindAssign, Body: body})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			go func() {
				for range 64 {
					if _, err := connection.Write(frame.Bytes()); err != nil {
						return
					}
				}
			}()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			listener, err := network.TCP{}.Listen("127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			server := NewServer(nil)
			server.LimitReceived(limit)
			Handle(server, peerwire.KindAssign, func(ctx context.Context, request *echo) (*echo, error) {
				<-ctx.Done()
				return request, nil
			})
			var group sync.WaitGroup
			group.Go(func() { server.Serve(ctx, listener) })
			defer group.Wait()
			defer cancel()
			before := heapBytes()
			send(g, listener.Addr().String())
			g.Eventually(server.received.Evicted, 30*time.Second, 50*time.Millisecond).Should(gomega.BeNumerically(">", 0), "the frames arrive")
			// What was evicted is freed once its reader and its handlers have returned.
			held := func() int64 { return (heapBytes() - before) >> 20 }
			g.Eventually(held, 30*time.Second, 100*time.Millisecond).MustPassRepeatedly(5).Should(gomega.BeNumerically("<", (limit+limit/4)>>20), "MB")
			_, most := server.received.Held()
			g.Expect(most).To(gomega.BeNumerically("<=", limit))
		})
	}
}
