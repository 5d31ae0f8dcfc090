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
	heapFigure     = "/memory/classes/heap/objects:bytes"
	totalFigure    = "/memory/classes/total:bytes"
	releasedFigure = "/memory/classes/heap/released:bytes"
)

// newsToldFrom is how many bytes of news are being sent when a line tells of it: half of
// the longest reply with parts of the configuration.
const newsToldFrom = partsBudget / 2

// heapInUse returns the bytes of the heap's objects, those included that the collector
// has yet to find unused.
func heapInUse() int64 { return runtimeFigure(heapFigure) }

// memoryHeld returns the bytes that the process holds of the machine's memory.
func memoryHeld() int64 { return runtimeFigure(totalFigure) - runtimeFigure(releasedFigure) }

// runtimeFigure returns a figure of the runtime, or zero if it has none by the name.
func runtimeFigure(name string) int64 {
	sample := []runtimemetrics.Sample{{Name: name}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}

// registerMemory enters what the process holds in the node's metrics.
func (n *Node) registerMemory(server *peer.Server) {
	n.newsSending = func() int64 {
		return server.Sending(peerwire.KindNews) + server.Sending(peerwire.KindConfigurationParts)
	}
	for name, value := range map[string]func() int64{
		"memory.heap_bytes": heapInUse, "memory.held_bytes": memoryHeld, "news.sending_bytes": n.newsSending,
	} {
		// A node registers once, so that no name is taken.
		_ = n.metrics.Register(name, metrics.NewFunctionalGauge(value))
	}
}

// tellMemory writes a line while much news is being sent. It is called at each
// housekeeping, which bounds the lines.
func (n *Node) tellMemory() {
	sending := n.newsSending()
	if sending < newsToldFrom {
		return
	}
	n.log.Write(eventlog.Event{
		Kind: "news", Outcome: "sending", Count: int(sending),
		Detail: "heap " + strconv.FormatInt(heapInUse(), 10) + ", held " + strconv.FormatInt(memoryHeld(), 10),
	})
}
