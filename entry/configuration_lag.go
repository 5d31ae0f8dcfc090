package entry

import "time"

// behindShare is the part of the time that a version may take to be in force everywhere
// after which a node that still lacks it refuses requests: it may have heard of the
// version some heartbeats after it was accepted.
const maxBehindShare = 0.6

// retryBehind is when a caller should come back that this node can't answer rightly, as
// it knows of a newer version: about the time that a fetch takes. Another node may have
// the version at once.
const retryAfterStaleConfiguration = 200 * time.Millisecond

// behindTooLong returns whether this node has lacked a newer configuration for so long
// that it may not answer by its own any more.
func (n *Node) isConfigurationStale() bool {
	return n.newerVersions.BehindFor(n.now(), n.version()) > n.settings.Load().maxBehindTime()
}

// forgetVersionsOfDeadPeers drops what no living peer has from the versions heard of.
func (n *Node) dropVersionsOfDeadPeers() {
	newest := int64(0)
	n.mutex.Lock()
	for _, member := range n.members.Live(n.now()) {
		newest = max(newest, member.Version)
	}
	n.mutex.Unlock()
	n.newerVersions.DropAbove(newest)
}
