package entry

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// linkTrial is how long a peer whose connection fell silent may take to answer by a new
// one.
const pingTimeout = 500 * time.Millisecond

// handleSilentLink tries a peer whose connection was given up for its silence. If it answers
// by a new one, something between took old connections away without a word, and those to
// replicas that rest may be gone as well. They are closed: a request that must not run
// twice and is written to one of them is lost.
func (n *Node) handleSilentLink(address string) {
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

// closeIdle closes the connections to replicas that rested for as long as it takes to
// find out that connections fell silent; those used since then are well.
func (n *Node) closeIdle(reason string) {
	closed := n.pool.CloseRested(peer.SilenceTime)
	n.counter("links.silent").Inc(1)
	n.log.Write(eventlog.Event{Kind: "connections", Outcome: "closed", Reason: reason, Count: closed})
}
