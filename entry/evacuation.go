package entry

import (
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/structs"
)

// Evacuation orders reach the nodes that watch the store, and from them all others: every heartbeat
// carries all orders that its sender knows, so that no node gets newer replicas or configuration
// without them. The scheduling node assigns no request to an evacuated zone, and the sending node
// checks again before it writes, as the scheduling node may not have known of the order.

// applyEvacuations applies the evacuation orders of a store update and reports whether any zone was
// evacuated or any order lifted.
func (n *Node) applyEvacuations(update *outside.Update) bool {
	n.mutex.Lock()
	orders := update.Evacuations
	if update.FullSnapshot {
		orders = append(orders, n.evacuations.LiftsForUnlisted(orders, update.Position)...)
	}
	n.mutex.Unlock()
	return n.applyEvacuationOrders(orders, "store")
}

// mergeEvacuations applies the evacuation orders that a peer knows.
func (n *Node) mergeEvacuations(heartbeat *liveness.Heartbeat) {
	if len(heartbeat.Evacuations) > 0 {
		n.applyEvacuationOrders(heartbeat.Evacuations[:min(len(heartbeat.Evacuations), evacuations.MaxZones)], heartbeat.Name)
	}
}

// applyEvacuationOrders applies the orders and reports whether any of them changed a zone.
func (n *Node) applyEvacuationOrders(orders []evacuations.Order, source string) bool {
	var changed []evacuations.Order
	n.mutex.Lock()
	for _, order := range orders {
		if n.evacuations.Put(order) {
			changed = append(changed, order)
		}
	}
	if len(changed) > 0 {
		n.scheduling.setEvacuatedZones(n.evacuations.EvacuatedZones()) // under the mutex, so that an older set can't replace a newer one
	}
	n.mutex.Unlock()
	for _, order := range changed {
		outcome := "emptied"
		if order.Lifted {
			outcome = "taken-back"
		}
		n.counter("evacuations." + outcome).Inc(1)
		n.log.Write(eventlog.Event{Kind: "evacuation", Outcome: outcome, Detail: order.Zone, Peer: source, Revision: order.Position.Revision(), Era: order.Position.Era()})
	}
	return len(changed) > 0
}

// evacuationStatus returns the orders as shown to operators. The caller holds the mutex.
func (n *Node) evacuationStatus() []EvacuationStatus {
	var statuses []EvacuationStatus
	for _, order := range n.evacuations.All() {
		status := EvacuationStatus{Zone: order.Zone, Evacuated: !order.Lifted, Position: order.Position}
		for _, assigned := range n.assignments {
			if replica, known := n.table.Get(assigned.replica); known && replica.Zone == order.Zone {
				status.InProgress++
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// EvacuationStatus is the state of a zone that is or was evacuated, as shown to operators.
type EvacuationStatus struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"emptied"`
	// Position is the order's store position.
	Position structs.StorePosition `json:"place"`
	// InProgress counts this node's requests in flight in the zone.
	InProgress int `json:"in_progress"`
}
