package entry

import "time"

// maxBehindShare is the share of Settings.ConfigurationBound after which a node that lacks a
// newer version rejects requests. It is below 1 because the node may learn of the version some
// heartbeats after it was accepted.
const maxBehindShare = 0.6

// retryAfterStaleConfiguration is the Retry-After of a node with a stale configuration, about
// the time that a fetch takes.
const retryAfterStaleConfiguration = 200 * time.Millisecond

// isConfigurationStale reports whether a newer configuration has been known for so long that
// this node must not serve requests by its own.
func (n *Node) isConfigurationStale() bool {
	return n.newerVersions.BehindFor(n.now(), n.version()) > n.settings.Load().maxBehindTime()
}

// dropVersionsOfDeadPeers drops the known newer versions that no live peer has.
func (n *Node) dropVersionsOfDeadPeers() {
	newest := int64(0)
	n.mutex.Lock()
	for _, member := range n.members.Live(n.now()) {
		newest = max(newest, member.Version)
	}
	n.mutex.Unlock()
	n.newerVersions.DropAbove(newest)
}
