package entry

import (
	runtimemetrics "runtime/metrics"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// Names of the runtime's metrics, which can be read without stopping the process.
const (
	heapMetric     = "/memory/classes/heap/objects:bytes"
	totalMetric    = "/memory/classes/total:bytes"
	releasedMetric = "/memory/classes/heap/released:bytes"
)

// minLoggedSendingBytes is the minimum number of update and configuration bytes being sent for
// which the memory in use is logged.
const minLoggedSendingBytes = maxReplyPartsBytes / 2

// heapBytes returns the bytes of heap objects, including those not yet collected.
func heapBytes() int64 { return runtimeMetric(heapMetric) }

// mappedBytes returns the bytes of memory that the process has mapped and not released.
func mappedBytes() int64 { return runtimeMetric(totalMetric) - runtimeMetric(releasedMetric) }

// runtimeMetric returns the value of a runtime metric, or zero if the runtime has none of the name.
func runtimeMetric(name string) int64 {
	sample := []runtimemetrics.Sample{{Name: name}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

// registerMemoryMetrics registers the gauges of memory and of bytes being sent.
func (n *Node) registerMemoryMetrics(server *peer.Server) {
	n.sendingBytes = func() int64 {
		return server.Sending(peerwire.KindUpdates) + server.Sending(peerwire.KindConfigurationParts)
	}
	for name, value := range map[string]func() int64{
		"memory.heap_bytes": heapBytes, "memory.held_bytes": mappedBytes, "news.sending_bytes": n.sendingBytes,
	} {
		// Registration fails only for a name in use, and a node registers once.
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
}

// logSendingMemory logs the memory in use while many bytes are being sent. Housekeeping calls
// it, which limits the rate of lines.
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
