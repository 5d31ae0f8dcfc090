package entry

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Times of a planned stop.
const (
	// lookAway is the time in which the balancer learns that the node leaves.
	// Connections that rest are closed then: the callers' next requests come by new
	// ones, which lead to other nodes.
	balancerUpdateTime = 2500 * time.Millisecond
	// refuseAfter is when requests that still come are refused.
	rejectAfter = 2900 * time.Millisecond
	// stopMargin is kept before the process would be killed.
	stopMargin       = 700 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// Stop is a planned stop: not ready at once, then serving until the balancer
// has looked away and the last answer is out, but no longer than the grace.
func (n *Node) Stop() {
	n.stopping.Store(int64(max(n.now(), 1)))
	n.log.Write(eventlog.Event{Kind: "process.stop", Outcome: "begun", Count: int(n.inFlight.Load())})
	n.sendHeartbeats()
	begun := n.now()
	limit := n.settings.Load().stopGrace() - stopMargin
	closed := false
	for n.now()-begun < limit {
		if n.now()-begun > balancerUpdateTime && !closed {
			n.callerServer.SetKeepAlivesEnabled(false)
			closed = true
		}
		if closed && n.inFlight.Load() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	for _, server := range n.servers {
		_ = server.Shutdown(ctx)
	}
	n.log.Write(eventlog.Event{Kind: "process.stop", Outcome: "ended", Count: int(n.inFlight.Load())})
	n.Kill()
}

// Kill ends the node at once.
func (n *Node) Kill() {
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.peerListener.Close()
	_ = n.heartbeatConn.Close()
	n.peers.Close()
	n.group.Wait()
}

// stopped returns for how long the node has been stopping, or zero.
func (n *Node) stoppingFor() time.Duration {
	begun := n.stopping.Load()
	if begun == 0 {
		return 0
	}
	return n.now() - time.Duration(begun)
}
