package entry

import (
	runtimemetrics "runtime/metrics"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// Names of the runtime's figures. Reading them does not stop the process.
const (
	heapMetric     = "/memory/classes/heap/objects:bytes"
	totalMetric    = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
)

// newsToldFrom is how many bytes of news are being sent when a line tells of it: half of
// the longest reply with parts of the configuration.
const minLoggedSendingBytes = maxReplyPartsBytes / 2

// heapInUse returns the bytes of the heap's objects, those included that the collector
// has yet to find unused.
func heapBytes() int64 { return runtimeMetric(heapMetric) }

// memoryHeld returns the bytes that the process holds of the machine's memory.
func mappedBytes() int64 { return runtimeMetric(totalMetric) - runtimeMetric(releasedMetric) }

// runtimeFigure returns a figure of the runtime, or zero if it has none by the name.
func runtimeMetric(name string) int64 {
	sample := []runtimemetrics.Sample{{Name: name}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

// registerMemory enters what the process holds in the node's metrics.
func (n *Node) registerMemoryMetrics(server *peer.Server) {
	n.sendingBytes = func() int64 {
		return server.Sending(peerwire.KindNews) + server.Sending(peerwire.KindConfigurationParts)
	}
	for name, value := range map[string]func() int64{
		"memory.heap_bytes": heapBytes, "memory.held_bytes": mappedBytes, "news.sending_bytes": n.sendingBytes,
	} {
		// A node registers once, so that no name is taken.
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
}

// tellMemory writes a line while much news is being sent. It is called at each
// housekeeping, which bounds the lines.
func (n *Node) logSendingMemory() {
	sending := n.sendingBytes()
	if sending < minLoggedSendingBytes {
		return
	}
	n.log.Write(eventlog.Event{
		Kind: "news", Outcome: "sending", Count: int(sending),
		Detail: "heap " + strconv.FormatInt(heapBytes(), 10) + ", held " + strconv.FormatInt(mappedBytes(), 10),
	})
}
