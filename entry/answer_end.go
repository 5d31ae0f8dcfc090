package entry

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// endProofTimeout bounds the connect that shows whether the replica is still there; its caller waits meanwhile. A replica
// takes longer to be replaced in place.
const endProofTimeout = 100 * time.Millisecond

// checkEnd returns an error if nothing proves that an answer that has ended is whole. hasContent is true if it has a body,
// or an event.
func (c *call) checkEnd(answer *replicahttp.Answer, replica replicas.Replica, hasContent bool) error {
	if !answer.IsUnframed {
		return nil
	}
	return answerend.CheckClosed(hasContent, func() bool { return c.isStillServing(replica) })
}

// isStillServing reports whether the replica's incarnation accepts a connection, direct or through a peer. A direct one is
// kept for the next request, as the answer's was closed.
func (c *call) isStillServing(replica replicas.Replica) bool {
	n := c.node
	n.mutex.Lock()
	known, isListed := n.table.Get(replica.ID)
	n.mutex.Unlock()
	if isListed && !known.IsSameIncarnation(replica) {
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, endProofTimeout)
	defer cancel()
	if direct, err := n.connectDirect(ctx, replica, endProofTimeout/2); err == nil {
		n.pool.Keep(direct)
		return true
	}
	forwarded, _, err := n.openThroughPeer(ctx, replica)
	if err != nil {
		return false
	}
	_ = forwarded.Close()
	return true
}
