package entry

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/thornwalk/thornwalk/coordination/dissemination"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/documents"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// BenchmarkRepliesHeldForSlowPeers tells how many bytes a server holds while so many
// peers have each asked so often for a configuration, and read nothing of it.
func BenchmarkRepliesHeldForSlowPeers(b *testing.B) {
	for _, routes := range []int{1400, 2800, 4 * 1400} {
		for _, peers := range []int{1, 20, 60} {
			for _, asked := range []int{1, 2} {
				b.Run(fmt.Sprintf("routes=%d/peers=%d/asked=%d", routes, peers, asked), func(b *testing.B) {
					for b.Loop() {
						body, held := bytesHeldForSlowPeers(b, documents.Large(2, routes), peers, asked)
						b.ReportMetric(float64(body), "body-B")
						b.ReportMetric(float64(held), "held-B")
						b.ReportMetric(float64(held)/float64(peers*asked*body), "held/body")
					}
				})
			}
		}
	}
}

// heldForSlowPeers returns the length of a reply's body, and the bytes held while
// the peers do not read.
func bytesHeldForSlowPeers(b *testing.B, document *catalog.Document, peers, asked int) (body int, held int64) {
	n := New(&Settings{Name: "n1", StoreRecoveryWindow: 4000}, Dependencies{Log: eventlog.New("n1", nil)})
	n.applyCatalog(document, "test")
	request := &dissemination.Request{Version: 1}
	reply, _ := n.parts.Respond(request, maxReplyPartsBytes)
	encoded, err := peerwire.Marshal(reply)
	if err != nil {
		b.Fatal(err)
	}
	body = len(encoded)
	server := peer.NewServer(nil)
	peer.Handle(server, peerwire.KindConfigurationParts, n.serveParts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fabric := memnet.New()
	listener, err := fabric.Host("n1").Listen("n1:7600")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(ctx, listener)
	calm := heapAfterCollection()
	for range peers {
		connection, err := fabric.Host("peer").Dial(ctx, "n1:7600")
		if err != nil {
			b.Fatal(err)
		}
		defer connection.Close()
		question, _ := peerwire.Marshal(request)
		for call := range asked {
			if _, err := peerwire.WriteFrame(connection, &peerwire.Envelope{Call: uint64(call + 1), Kind: peerwire.KindConfigurationParts, Body: question}); err != nil {
				b.Fatal(err)
			}
		}
	}
	for begun := time.Now(); time.Since(begun) < observationTime; time.Sleep(50 * time.Millisecond) {
		held = max(held, heapAfterCollection()-calm)
	}
	runtime.KeepAlive(n)
	return body, held
}

// watchedTime is less than the time-out of a write.
const observationTime = 1500 * time.Millisecond

// heapAfterCollection returns the bytes of objects that are in use.
func heapAfterCollection() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}
