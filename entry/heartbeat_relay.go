package entry

import (
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

// Heartbeats to a large zone cross its border once: one of the zone's nodes, the relay, sends them
// on to the others and confirms that. coordination/liveness chooses the relay.

// handleHeartbeat handles a received heartbeat: it relays it, answers it and applies it as its
// fields request.
func (n *Node) handleHeartbeat(heartbeat liveness.Heartbeat) {
	if heartbeat.RelayedTo > 0 {
		n.recordConfirmation(heartbeat)
		return
	}
	if heartbeat.RelayRequested {
		n.relayHeartbeat(heartbeat)
	}
	if heartbeat.WantsReply || heartbeat.WantsPeers {
		n.sendDiscoveryHeartbeat(heartbeat.Address, heartbeat.Zone, heartbeat.WantsPeers)
	}
	n.applyHeartbeat(heartbeat)
}

// recordConfirmation records that the sender relayed a heartbeat of this node.
func (n *Node) recordConfirmation(heartbeat liveness.Heartbeat) {
	n.mutex.Lock()
	overdue := n.relays.Confirmed(heartbeat.Zone, heartbeat.Name, heartbeat.RelayedTo)
	n.mutex.Unlock()
	if overdue > 0 {
		n.log.Write(eventlog.Event{Kind: "relay", Outcome: "confirmed", Peer: heartbeat.Name, Detail: heartbeat.Zone, Count: overdue})
	}
}

// reportUnconfirmed counts the heartbeats whose confirmation is overdue, and logs the first of a zone.
func (n *Node) reportUnconfirmed(recipients *liveness.Recipients) {
	n.counter("beats.unconfirmed").Inc(int64(len(recipients.Unconfirmed)))
	n.counter("beats.broadcast").Inc(int64(recipients.Broadcasts))
	for _, zone := range recipients.Unconfirmed {
		if zone.Heartbeats == 1 {
			n.log.Write(eventlog.Event{Kind: "relay", Outcome: "unconfirmed", Peer: zone.Relay, Detail: zone.Zone})
		}
	}
}

// relayHeartbeat sends another zone's heartbeat to the nodes of this zone and confirms that to the
// sender.
func (n *Node) relayHeartbeat(heartbeat liveness.Heartbeat) {
	own := n.settings.Load().Zone
	if heartbeat.Zone == own {
		return // the sender reaches this zone's nodes itself
	}
	relayed := heartbeat
	relayed.RelayRequested, relayed.Relayed, relayed.WantsReply, relayed.WantsPeers = false, true, false, false
	// The copy is about as long as the original, which fitted a datagram.
	content, err := peerwire.Marshal(relayed)
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
	n.sendHeartbeat(liveness.Heartbeat{Name: n.settings.Load().Name, Zone: own, RelayedTo: len(addresses) + 1}, []string{heartbeat.Address})
}

// suspectNode marks the node as suspected and asks it for a heartbeat, which would prove that this
// node reaches it.
func (n *Node) suspectNode(name string) {
	n.mutex.Lock()
	n.members.Suspect(name)
	var address string // received heartbeats change the member once the mutex is released
	if member, found := n.members.Get(name); found {
		address = member.Address
	}
	heartbeat := n.buildHeartbeat(n.now())
	n.mutex.Unlock()
	if address == "" {
		return
	}
	heartbeat.WantsReply = true
	n.sendHeartbeat(heartbeat, []string{address})
}
