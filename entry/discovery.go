package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Heartbeats are the rarer the more nodes there are, and name two others each, so
// that many nodes that start at once would need seconds to agree on who schedules.
// So whoever hears of a node for the first time, or of a new process, answers with
// a heartbeat at once, and a newcomer is told all that are known. In a large fleet it is told the
// delegates, and each node asks for them now and then: that is how it finds those that changed
// while it heard of none.
const (
	// newcomerShare is the part, in percent, of the nodes known here below which a
	// sender counts as a newcomer.
	newcomerPercent = 50
	// greetGather is the time in which names told in a large fleet are gathered, mostNamed how
	// many of them are greeted then, and informedShare the part, in percent, of the fleet that is
	// known to the best informed that others have to know for their names to count beside.
	discoveryDelay     = 50 * time.Millisecond
	maxDiscoveredPeers = 64
	informedPercent    = 90
	// peersAtOnce is how many nodes one heartbeat to a newcomer names, and
	// introductions how many such heartbeats it gets at most.
	peersPerHeartbeat     = 16
	maxPeerListHeartbeats = 26
	// askPause is the time between two questions for names in a large fleet, and unsettledPause
	// that for the time unsettled after a start or a change of roles, in which the delegates are
	// found.
	peerRequestInterval = 4 * time.Second
	settlingInterval    = 300 * time.Millisecond
	settlingTime        = 3 * time.Second
)

// learn enters the nodes that a peer named and returns the addresses of those that
// were unknown. The caller holds the mutex.
func (n *Node) addPeers(now structs.Instant, peers []liveness.Peer) []string {
	var addresses []string
	for _, other := range peers {
		if n.members.AddPeer(now, other) {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// discoveredPeers are the nodes that others named in a large fleet and that are to be greeted.
type discoveredPeers struct {
	peers []liveness.Peer
	// fleet is how large those who named them take the fleet to be.
	fleetSize int
	// isAwaited is true if they are about to be greeted.
	isContactPending bool
}

// noteNamed keeps the names that a peer told for a moment: at a start of all, every node has its own
// idea of who the delegates will be, and that of whoever knows most nodes is the best. The caller
// holds the mutex.
func (n *Node) recordDiscoveredPeers(beat liveness.Heartbeat) {
	if len(beat.Peers) == 0 || beat.FleetSize < n.discovered.fleetSize {
		return
	}
	if beat.FleetSize*informedPercent/100 > n.discovered.fleetSize {
		n.discovered.peers = nil
	}
	n.discovered.fleetSize = beat.FleetSize
	n.discovered.peers = append(n.discovered.peers, beat.Peers[:min(len(beat.Peers), max(maxDiscoveredPeers-len(n.discovered.peers), 0))]...)
	if !n.discovered.isContactPending {
		n.discovered.isContactPending = true
		time.AfterFunc(discoveryDelay, n.contactDiscoveredPeers)
	}
}

// greetNamed greets the named nodes that this one hears nothing of.
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

// tellingTime is how long a node waits for the rest of a list of names. The heartbeats that
// carry it are sent in one go; 0.2 s is what the queue of a narrow link adds at most.
const peerListTimeout = 200 * time.Millisecond

// incomingPeerList is a list of names that another node is sending to this one.
type incomingPeerList struct {
	// names is how many the sender knows.
	peerCount int
	expiresAt structs.Instant
}

// noteTelling records that the heartbeat carries a part of a list of names: a regular one
// names toldPeers nodes. The caller holds the mutex.
func (n *Node) recordIncomingPeerList(now structs.Instant, beat liveness.Heartbeat) {
	if len(beat.Peers) <= peerSampleSize {
		return
	}
	n.incomingPeers.peerCount = max(n.incomingPeerCount(now), beat.KnownNodes)
	n.incomingPeers.expiresAt = now + peerListTimeout
}

// namesBeingTold returns the length of the list that this node is being sent, or zero.
func (n *Node) incomingPeerCount(now structs.Instant) int {
	if now >= n.incomingPeers.expiresAt {
		return 0
	}
	return n.incomingPeers.peerCount
}

// namesKnown returns how many other nodes this one knows by name, counting those that it
// is just being told of: whom it greets after the first part of a list need not send it
// the list again. Among 40 nodes each such list is 3 kB, and up to 16 nodes were greeted
// between its first part and its second. The caller holds the mutex.
func (n *Node) knownPeerCount(now structs.Instant) int {
	return max(n.members.Known(), n.incomingPeerCount(now))
}

// isNewcomer returns whether the sender knows so little of the fleet that it is told the names of
// others. The caller holds the mutex.
func (n *Node) isNewcomer(beat liveness.Heartbeat) bool {
	if n.isLarge {
		return beat.FleetSize < n.size.Known*newcomerPercent/100
	}
	return beat.KnownNodes < n.members.Known()*newcomerPercent/100
}

// isUnsettled returns whether this node started or roles changed so lately that the delegates of a
// large fleet may not have found each other. The caller holds the mutex.
func (n *Node) isSettling(now structs.Instant) bool { return now-n.roleAt < settlingTime }

// isAskDue returns whether this node asks for names with its next heartbeat. The caller holds the
// mutex.
func (n *Node) beginPeerRequestIfDue(now structs.Instant) bool {
	pause := peerRequestInterval
	if n.isSettling(now) {
		pause = settlingInterval
	}
	if !n.isLarge || now-n.peersRequestedAt < pause {
		return false
	}
	n.peersRequestedAt = now
	return true
}

// askSeed asks a seed how large the fleet is by now: one that starts among many heard of few when it
// answered first.
func (n *Node) requestFleetSize(beat liveness.Heartbeat) {
	if seeds := n.seedAddresses(); len(seeds) > 0 {
		beat.RelayRequested, beat.WantsReply = false, true
		n.sendHeartbeat(beat, []string{seeds[rand.IntN(len(seeds))]})
	}
}

// askForNames asks one of the nodes at the addresses, or a seed, for the names of others: all that
// this node hears of may be one side of a cut that has healed.
func (n *Node) requestPeers(beat liveness.Heartbeat, addresses []string) {
	if seeds := n.seedAddresses(); len(seeds) > 0 {
		addresses = append(addresses, seeds[rand.IntN(len(seeds))])
	}
	if len(addresses) == 0 {
		return
	}
	beat.RelayRequested, beat.WantsReply, beat.WantsPeers = false, false, true
	n.sendHeartbeat(beat, []string{addresses[rand.IntN(len(addresses))]})
}

// introduce sends a heartbeat to the address at once, and to a newcomer as many as
// it takes to name the other nodes. The zone is that of the node there, if it is known.
func (n *Node) sendDiscoveryHeartbeat(address, zone string, newcomer bool) {
	n.mutex.Lock()
	now := n.now()
	beat := n.buildHeartbeat(now)
	if age := now - n.bucketLevelsAt; beat.BucketLevels == nil && n.bucketLevels != nil && age < bucketLevelsRetention {
		beat.BucketLevels, beat.BucketLevelsAgeMS = n.bucketLevels, age.Milliseconds()
	}
	var others []liveness.Peer
	if newcomer {
		others = n.peerListFor(now, zone)
	}
	n.mutex.Unlock()
	for range maxPeerListHeartbeats {
		count := min(peersPerHeartbeat, len(others))
		beat.Peers = append(beat.Peers, others[:count]...)
		others = others[count:]
		n.sendHeartbeat(beat, []string{address})
		beat.Peers = nil
		if len(others) == 0 {
			return
		}
	}
}

// namesFor returns the nodes that one of the zone is told of. The caller holds the mutex.
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
