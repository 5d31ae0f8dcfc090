package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Peer discovery. As the interval of heartbeats grows with the fleet and each names only a few
// nodes, many nodes that start at once would need seconds to agree on a scheduling node. Therefore
// a node answers the first heartbeat of a new peer or process at once, and sends a newcomer the
// list of known peers. In a large fleet that list has the delegates, and each node requests it
// periodically to find new ones.
const (
	// newcomerPercent is the share of the nodes known here, in percent, below which a sender counts
	// as a newcomer.
	newcomerPercent = 50
	// discoveryDelay is the time for which peers named in a large fleet are gathered, and
	// maxDiscoveredPeers how many of them are contacted then. Lists of
	// peers that knew less than informedPercent of the fleet size in a later list are dropped.
	discoveryDelay     = 50 * time.Millisecond
	maxDiscoveredPeers = 64
	informedPercent    = 90
	// peersPerHeartbeat is the number of nodes that one heartbeat to a newcomer names, and
	// maxPeerListHeartbeats bounds the number of such heartbeats.
	peersPerHeartbeat     = 16
	maxPeerListHeartbeats = 26
	// peerRequestInterval is the time between two requests for a peer list in a large fleet, and
	// settlingInterval that within settlingTime of a start or a change of roles, when delegates
	// also send their heartbeats at that interval.
	peerRequestInterval = 4 * time.Second
	settlingInterval    = 300 * time.Millisecond
	settlingTime        = 3 * time.Second
)

// addPeers adds the nodes that a peer named and returns the addresses of those that were unknown.
// The caller holds the mutex.
func (n *Node) addPeers(now structs.Instant, peers []liveness.Peer) []string {
	var addresses []string
	for _, other := range peers {
		if n.members.AddPeer(now, other) {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// discoveredPeers are the nodes named by others in a large fleet that are about to be contacted.
type discoveredPeers struct {
	peers []liveness.Peer
	// fleetSize is the fleet's size as known by the peer whose list was used last.
	fleetSize int
	// isContactPending is true while a timer runs that contacts them.
	isContactPending bool
}

// recordDiscoveredPeers gathers the peers that a heartbeat names. When many nodes start at once,
// each computes different delegates; the lists of the peers that know most nodes are used. The
// caller holds the mutex.
func (n *Node) recordDiscoveredPeers(heartbeat liveness.Heartbeat) {
	if len(heartbeat.Peers) == 0 || heartbeat.FleetSize < n.discovered.fleetSize {
		return
	}
	if heartbeat.FleetSize*informedPercent/100 > n.discovered.fleetSize {
		n.discovered.peers = nil
	}
	n.discovered.fleetSize = heartbeat.FleetSize
	n.discovered.peers = append(n.discovered.peers, heartbeat.Peers[:min(len(heartbeat.Peers), max(maxDiscoveredPeers-len(n.discovered.peers), 0))]...)
	if !n.discovered.isContactPending {
		n.discovered.isContactPending = true
		time.AfterFunc(discoveryDelay, n.contactDiscoveredPeers)
	}
}

// contactDiscoveredPeers sends a heartbeat to the gathered peers that are unknown or silent.
func (n *Node) contactDiscoveredPeers() {
	n.mutex.Lock()
	now := n.now()
	var addresses []string
	for _, peer := range n.discovered.peers {
		if n.members.AddPeer(now, peer) || n.members.IsSilent(now, peer.Name) {
			addresses = append(addresses, peer.Address)
		}
	}
	n.discovered = discoveredPeers{}
	n.mutex.Unlock()
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if n.ctx.Err() == nil {
			n.sendDiscoveryHeartbeat(address, "", false)
		}
	}
}

// peerListTimeout is how long a node waits for the remaining parts of a peer list. They are sent at
// once, but may queue at a narrow link.
const peerListTimeout = 200 * time.Millisecond

// incomingPeerList is a peer list that another node is sending to this one.
type incomingPeerList struct {
	// peerCount is the number of nodes that the sender knows.
	peerCount int
	expiresAt structs.Instant
}

// recordIncomingPeerList records that the heartbeat carries a part of a peer list: a regular one
// names at most peerSampleSize nodes. The caller holds the mutex.
func (n *Node) recordIncomingPeerList(now structs.Instant, heartbeat liveness.Heartbeat) {
	if len(heartbeat.Peers) <= peerSampleSize {
		return
	}
	n.incomingPeers.peerCount = max(n.incomingPeerCount(now), heartbeat.KnownNodes)
	n.incomingPeers.expiresAt = now + peerListTimeout
}

// incomingPeerCount returns the length of the peer list that this node is receiving, or zero.
func (n *Node) incomingPeerCount(now structs.Instant) int {
	if now >= n.incomingPeers.expiresAt {
		return 0
	}
	return n.incomingPeers.peerCount
}

// knownPeerCount returns how many other nodes this one knows or is about to know from a peer list
// that it is receiving, so that the peers it contacts meanwhile don't send it the list again. The
// caller holds the mutex.
func (n *Node) knownPeerCount(now structs.Instant) int {
	return max(n.members.Known(), n.incomingPeerCount(now))
}

// isNewcomer reports whether the sender knows so little of the fleet that it needs a peer list. The
// caller holds the mutex.
func (n *Node) isNewcomer(heartbeat liveness.Heartbeat) bool {
	if n.isLarge {
		return heartbeat.FleetSize < n.size.Known*newcomerPercent/100
	}
	return heartbeat.KnownNodes < n.members.Known()*newcomerPercent/100
}

// isSettling reports whether this node started or roles changed so recently that the delegates of a
// large fleet may not have found each other. The caller holds the mutex.
func (n *Node) isSettling(now structs.Instant) bool { return now-n.roleAt < settlingTime }

// beginPeerRequestIfDue reports whether a request for a peer list is due, and if so records that it
// is made now. The caller holds the mutex.
func (n *Node) beginPeerRequestIfDue(now structs.Instant) bool {
	interval := peerRequestInterval
	if n.isSettling(now) {
		interval = settlingInterval
	}
	if !n.isLarge || now-n.peersRequestedAt < interval {
		return false
	}
	n.peersRequestedAt = now
	return true
}

// requestFleetSize asks a random seed for a heartbeat, which contains the fleet's size: when many
// nodes start at once, the seed knew few of them when it answered first.
func (n *Node) requestFleetSize(heartbeat liveness.Heartbeat) {
	if seeds := n.seedAddresses(); len(seeds) > 0 {
		heartbeat.RelayRequested, heartbeat.WantsReply = false, true
		n.sendHeartbeat(heartbeat, []string{seeds[rand.IntN(len(seeds))]})
	}
}

// requestPeers asks a random node among the addresses and one seed for a peer list. The seed
// matters after a partition, when all nodes that this one receives from may be on its own side.
func (n *Node) requestPeers(heartbeat liveness.Heartbeat, addresses []string) {
	if seeds := n.seedAddresses(); len(seeds) > 0 {
		addresses = append(addresses, seeds[rand.IntN(len(seeds))])
	}
	if len(addresses) == 0 {
		return
	}
	heartbeat.RelayRequested, heartbeat.WantsReply, heartbeat.WantsPeers = false, false, true
	n.sendHeartbeat(heartbeat, []string{addresses[rand.IntN(len(addresses))]})
}

// sendDiscoveryHeartbeat sends a heartbeat to the address at once, and to a newcomer as many as the
// peer list needs. The zone is that of the receiver, or empty if unknown.
func (n *Node) sendDiscoveryHeartbeat(address, zone string, isNewcomer bool) {
	n.mutex.Lock()
	now := n.now()
	heartbeat := n.buildHeartbeat(now)
	if age := now - n.bucketLevelsAt; heartbeat.BucketLevels == nil && n.bucketLevels != nil && age < bucketLevelsRetention {
		heartbeat.BucketLevels, heartbeat.BucketLevelsAgeMS = n.bucketLevels, age.Milliseconds()
	}
	var others []liveness.Peer
	if isNewcomer {
		others = n.peerListFor(now, zone)
	}
	n.mutex.Unlock()
	for range maxPeerListHeartbeats {
		count := min(peersPerHeartbeat, len(others))
		heartbeat.Peers = append(heartbeat.Peers, others[:count]...)
		others = others[count:]
		n.sendHeartbeat(heartbeat, []string{address})
		heartbeat.Peers = nil
		if len(others) == 0 {
			return
		}
	}
}

// peerListFor returns the peer list for a node of the zone. The caller holds the mutex.
func (n *Node) peerListFor(now structs.Instant, zone string) []liveness.Peer {
	if n.isLarge {
		return liveness.PeersForZone(n.members.Live(now), zone)
	}
	var others []liveness.Peer
	for _, member := range n.members.All(now) {
		others = append(others, liveness.Peer{Name: member.Name, Address: member.Address})
	}
	return others
}
