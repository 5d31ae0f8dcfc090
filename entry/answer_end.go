package entry

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// A length or the last chunk proves that an answer is whole. Without framing only the close of the connection ends it, and
// the kernel closes the connections of a killed process in the same way. So such an end counts only if the replica's
// process is still there afterwards.

// endProofTimeout bounds the connect that shows whether the replica is still there; its caller waits meanwhile. A replica
// takes longer to be replaced in place.
const endProofTimeout = 100 * time.Millisecond

// errEndNotProven is the error of an answer without framing whose replica may have ended with the connection.
var errEndNotProven = fmt.Errorf("read answer: without framing, and the replica is not reached after the close: %w", io.ErrUnexpectedEOF)

// violationEndNotProven is the name of errEndNotProven in metrics.
const violationEndNotProven = "end-not-proven"

// checkEnd returns an error if nothing proves that an answer that has ended is whole. hasContent is true if it has a body,
// or an event.
func (c *call) checkEnd(answer *replicahttp.Answer, replica replicas.Replica, hasContent bool) error {
	switch {
	case !answer.IsUnframed:
		return nil
	case !hasContent:
		return errNothingSent
	case !c.isStillServing(replica):
		return errEndNotProven
	}
	return nil
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
