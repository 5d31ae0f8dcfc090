package entry

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Times of a planned stop.
const (
	// balancerUpdateTime is the time in which the balancer finds that the node is not ready.
	// Idle connections are closed after it, so that callers open new ones, to other nodes.
	balancerUpdateTime = 2500 * time.Millisecond
	// rejectAfter is the time after which requests that can't finish in time are rejected.
	rejectAfter = 2900 * time.Millisecond
	// stopMargin is how long before the end of the grace the stop must be complete.
	stopMargin       = 700 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// Stop stops the node gracefully and returns once it has ended. The node is not ready at once, but
// serves requests until the balancer no longer sends any and the last response is complete, at most
// for StopGrace.
func (n *Node) Stop() {
	n.stoppingSince.Store(int64(max(n.now(), 1)))
	n.log.Write(eventlog.Event{Kind: "process.stop", Outcome: "begun", Count: int(n.inFlight.Load())})
	n.sendHeartbeats()
	startedAt := n.now()
	limit := n.settings.Load().stopGrace() - stopMargin
	keepAlivesClosed := false
	for n.now()-startedAt < limit {
		if n.now()-startedAt > balancerUpdateTime && !keepAlivesClosed {
			n.callerServer.SetKeepAlivesEnabled(false)
			keepAlivesClosed = true
		}
		if keepAlivesClosed && n.inFlight.Load() == 0 && n.forwarded.Load() == 0 {
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

// Kill ends the node without waiting for requests, and returns once its loops have ended.
func (n *Node) Kill() {
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.peerListener.Close()
	_ = n.heartbeatConn.Close()
	n.peers.Close()
	n.loops.Wait()
}

// stoppingFor returns for how long the node has been stopping, or zero if it is not.
func (n *Node) stoppingFor() time.Duration {
	startedAt := n.stoppingSince.Load()
	if startedAt == 0 {
		return 0
	}
	return n.now() - time.Duration(startedAt)
}
