package entry

import (
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Heartbeats are the rarer the more nodes there are, and name two others each, so
// that many nodes that start at once would need seconds to agree on who schedules.
// So whoever hears of a node for the first time, or of a new process, answers with
// a heartbeat at once, and a newcomer is told all that are known.
const (
	// newcomerShare is the part, in percent, of the nodes known here below which a
	// sender counts as a newcomer.
	newcomerShare = 50
	// peersAtOnce is how many nodes one heartbeat to a newcomer names, and
	// introductions how many such heartbeats it gets at most.
	peersAtOnce   = 16
	introductions = 26
)

// learn enters the nodes that a peer named and returns the addresses of those that
// were unknown. The caller holds the mutex.
func (n *Node) learn(now structs.Instant, peers []liveness.Peer) []string {
	var addresses []string
	for _, other := range peers {
		if n.members.Learn(now, other) {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// introduce sends a heartbeat to the address at once, and to a newcomer as many as
// it takes to name the other nodes.
func (n *Node) introduce(address string, newcomer bool) {
	n.mutex.Lock()
	now := n.now()
	beat := n.beat(now)
	var others []liveness.Peer
	if newcomer {
		for _, member := range n.members.All(now) {
			others = append(others, liveness.Peer{Name: member.Name, Address: member.Address})
		}
	}
	n.mutex.Unlock()
	for range introductions {
		count := min(peersAtOnce, len(others))
		beat.Peers = append(beat.Peers, others[:count]...)
		others = others[count:]
		n.sendBeat(beat, []string{address})
		beat.Peers = nil
		if len(others) == 0 {
			return
		}
	}
}
