package entry

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// pingTimeout bounds the check of a peer on a new connection after the old one fell silent.
const pingTimeout = 500 * time.Millisecond

// handleSilentConnection checks a peer whose connection was closed as silent. If it answers on a new
// connection, something on the path drops connections without notice, and idle ones to replicas may
// be broken as well. These are closed, as a request written to one would be lost.
func (n *Node) handleSilentConnection(address string) {
	ctx, cancel := context.WithTimeout(n.ctx, pingTimeout)
	defer cancel()
	err := n.peers.Ping(ctx, address)
	if n.ctx.Err() != nil {
		return
	}
	if err != nil {
		n.log.Write(eventlog.Event{Kind: "peer", Outcome: "silent", Detail: address})
		return
	}
	n.closeIdle("connection to a peer silent: " + address)
}

// closeIdle closes the connections to replicas that have been idle for at least the time in which
// silence is detected.
func (n *Node) closeIdle(reason string) {
	closed := n.pool.CloseIdle(peer.SilenceTime)
	n.counter("links.silent").Inc(1)
	n.log.Write(eventlog.Event{Kind: "connections", Outcome: "closed", Reason: reason, Count: closed})
}
