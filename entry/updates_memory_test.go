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

// BenchmarkRepliesHeldForSlowPeers measures how many bytes a server holds while peers have each
// requested a configuration and read nothing of the reply.
func BenchmarkRepliesHeldForSlowPeers(b *testing.B) {
	for _, routes := range []int{1400, 2800, 4 * 1400} {
		for _, peers := range []int{1, 20, 60} {
			for _, requests := range []int{1, 2} {
				b.Run(fmt.Sprintf("routes=%d/peers=%d/asked=%d", routes, peers, requests), func(b *testing.B) {
					for b.Loop() {
						bodyBytes, heldBytes := bytesHeldForSlowPeers(b, documents.Large(2, routes), peers, requests)
						b.ReportMetric(float64(bodyBytes), "body-B")
						b.ReportMetric(float64(heldBytes), "held-B")
						b.ReportMetric(float64(heldBytes)/float64(peers*requests*bodyBytes), "held/body")
					}
				})
			}
		}
	}
}

// bytesHeldForSlowPeers returns the length of a reply's body, and the maximum number of bytes held
// while the peers do not read.
func bytesHeldForSlowPeers(b *testing.B, document *catalog.Document, peers, requests int) (bodyBytes int, heldBytes int64) {
	n := New(&Settings{Name: "n1", StoreRecoveryWindow: 4000}, Dependencies{Log: eventlog.New("n1", nil)})
	n.applyCatalog(document, "test")
	request := &dissemination.Request{Version: 1}
	reply, _ := n.parts.Respond(request, maxReplyPartsBytes)
	encoded, err := peerwire.Marshal(reply)
	if err != nil {
		b.Fatal(err)
	}
	bodyBytes = len(encoded)
	server := peer.NewServer(nil)
	peer.Handle(server, peerwire.KindConfigurationParts, n.serveParts)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	network := memnet.New()
	listener, err := network.Host("n1").Listen("n1:7600")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(ctx, listener)
	baseline := heapAfterCollection()
	for range peers {
		connection, err := network.Host("peer").Dial(ctx, "n1:7600")
		if err != nil {
			b.Fatal(err)
		}
		defer connection.Close()
		encodedRequest, _ := peerwire.Marshal(request)
		for call := range requests {
			if _, err := peerwire.WriteFrame(connection, &peerwire.Envelope{Call: uint64(call + 1), Kind: peerwire.KindConfigurationParts, Body: encodedRequest}); err != nil {
				b.Fatal(err)
			}
		}
	}
	for startedAt := time.Now(); time.Since(startedAt) < observationTime; time.Sleep(50 * time.Millisecond) {
		heldBytes = max(heldBytes, heapAfterCollection()-baseline)
	}
	runtime.KeepAlive(n)
	return bodyBytes, heldBytes
}

// observationTime is shorter than the timeout of a write.
const observationTime = 1500 * time.Millisecond

// heapAfterCollection returns the bytes of live heap objects.
func heapAfterCollection() int64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}
