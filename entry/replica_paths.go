package entry

import (
	"errors"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/transport/network"
)

// connectOutcome is how a connect to a replica ended.
type connectOutcome string

// Outcomes of connects.
const (
	connectEstablished connectOutcome = "established"
	connectRefused     connectOutcome = "refused"
	connectTimedOut    connectOutcome = "timed-out"
	connectFailed      connectOutcome = "failed"
)

// connectOutcomeOf returns the outcome of a connect that ended with err.
func connectOutcomeOf(err error) connectOutcome {
	var timeout net.Error
	switch {
	case err == nil:
		return connectEstablished
	case network.IsRefused(err):
		return connectRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return connectTimedOut
	default:
		return connectFailed
	}
}

// recordConnect counts a connect to the replica that ended with err after the time, and logs a change of
// the path between this node and the replica.
func (n *Node) recordConnect(replica string, err error, took time.Duration) {
	outcome := connectOutcomeOf(err)
	n.counter("connects." + string(outcome)).Inc(1)
	n.mutex.Lock()
	changed := n.paths.RecordConnect(n.now(), replica, err == nil)
	lost := len(n.paths.Lost())
	n.mutex.Unlock()
	if !changed {
		return
	}
	event := eventlog.Event{Kind: "path", Replica: replica, Outcome: "lost", Reason: string(outcome), TookMS: took.Milliseconds(), Count: lost}
	if err == nil {
		event.Outcome, event.Reason = "regained", ""
	}
	n.log.Write(event)
}

// registerPathMetrics registers the gauge of the replicas that the last connect did not reach.
func (n *Node) registerPathMetrics() {
	// Registration fails only for a name in use, and a node registers once.
	_ = n.metrics.Register("replicas.unreached", metrics.NewFunctionalGauge(func() int64 {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		return int64(len(n.paths.Lost()))
	}))
}
