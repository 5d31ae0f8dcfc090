package entry

import (
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/structs"
)

// How a node goes by the operators' orders to empty a zone. The nodes that follow the store hear
// of an order; every heartbeat names all that its sender knows, so that whoever hears of the
// replicas or the configuration has heard of the orders before. The scheduling node gives no place
// in such a zone, and the node that sends looks once more just before it writes: the place may be
// of a scheduling node that did not know yet.

// applyEvacuations takes what the store tells of emptied zones into force, and returns whether any
// was emptied or taken back.
func (n *Node) applyEvacuations(update *outside.Update) bool {
	n.mutex.Lock()
	orders := update.Evacuations
	if update.FullSnapshot {
		orders = append(orders, n.evacuations.LiftsForUnlisted(orders, update.Revision)...)
	}
	n.mutex.Unlock()
	return n.applyEvacuationOrders(orders, "store")
}

// heardEvacuations takes what a peer knows of emptied zones into force.
func (n *Node) mergeEvacuations(beat *liveness.Heartbeat) {
	if len(beat.Evacuations) > 0 {
		n.applyEvacuationOrders(beat.Evacuations[:min(len(beat.Evacuations), evacuations.MaxZones)], beat.Name)
	}
}

// putEvacuations enters the orders and returns whether any zone was emptied or taken back by them.
func (n *Node) applyEvacuationOrders(orders []evacuations.Order, source string) bool {
	var changed []evacuations.Order
	n.mutex.Lock()
	for _, order := range orders {
		if n.evacuations.Put(order) {
			changed = append(changed, order)
		}
	}
	if len(changed) > 0 {
		n.scheduling.setEvacuatedZones(n.evacuations.EvacuatedZones()) // in one step with the table: the later state stays
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

// evacuationsStatus returns what operators see of the orders. The caller holds the mutex.
func (n *Node) evacuationsStatus() []EvacuationStatus {
	var told []EvacuationStatus
	for _, order := range n.evacuations.All() {
		status := EvacuationStatus{Zone: order.Zone, Evacuated: !order.Lifted, Position: order.Position}
		for _, place := range n.assignments {
			if replica, known := n.table.Get(place.replica); known && replica.Zone == order.Zone {
				status.InProgress++
			}
		}
		told = append(told, status)
	}
	return told
}

// EvacuationStatus is what operators see of a zone that is, or was, emptied.
type EvacuationStatus struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"emptied"`
	// Position is where the order stands in the store's history.
	Position structs.StorePosition `json:"place"`
	// InProgress counts the requests of this node that still run there.
	InProgress int `json:"in_progress"`
}
