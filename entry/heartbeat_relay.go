package entry

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/liveness"
)

// Heartbeats cross a zone's border once where the zone is large: one of its nodes, the
// relay, passes them on and confirms that. coordination/liveness chooses the relay.

// receive handles one heartbeat, for this node or to be passed on.
func (n *Node) handleHeartbeat(beat liveness.Heartbeat) {
	if beat.RelayedTo > 0 {
		n.mutex.Lock()
		n.relays.Confirmed(beat.Zone, beat.Name, beat.RelayedTo)
		n.mutex.Unlock()
		return
	}
	if beat.RelayRequested {
		n.relayHeartbeat(beat)
	}
	if beat.WantsReply || beat.WantsPeers {
		n.sendDiscoveryHeartbeat(beat.Address, beat.Zone, beat.WantsPeers)
	}
	n.applyHeartbeat(beat)
}

// passOn sends another zone's heartbeat to the nodes of this one and confirms it.
func (n *Node) relayHeartbeat(beat liveness.Heartbeat) {
	own := n.settings.Load().Zone
	if beat.Zone == own {
		return // the sender reaches them itself
	}
	copied := beat
	copied.RelayRequested, copied.Relayed, copied.WantsReply, copied.WantsPeers = false, true, false, false
	// The copy is about as long as the original, which had room in a datagram.
	content, err := msgpack.Marshal(copied)
	if err != nil {
		n.counter("beats.unencodable").Inc(1)
		return
	}
	n.mutex.Lock()
	var addresses []string
	for _, member := range n.members.Live(n.now()) {
		if member.Zone == own {
			addresses = append(addresses, member.Address)
		}
	}
	n.mutex.Unlock()
	n.sendEncoded(content, addresses)
	n.counter("beats.passed_on").Inc(1)
	n.sendHeartbeat(liveness.Heartbeat{Name: n.settings.Load().Name, Zone: own, RelayedTo: len(addresses) + 1}, []string{beat.Address})
}

// suspect takes the node for dead, and asks it to show at once that this node reaches it.
func (n *Node) suspectNode(name string) {
	n.mutex.Lock()
	n.members.Suspect(name)
	member, found := n.members.Get(name)
	beat := n.buildHeartbeat(n.now())
	n.mutex.Unlock()
	if !found {
		return
	}
	beat.WantsReply = true
	n.sendHeartbeat(beat, []string{member.Address})
}
