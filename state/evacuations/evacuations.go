// Package evacuations is a node's view of the zones that the operators have emptied: nothing is
// to be sent to the replicas of such a zone until it is taken back. It is a passive table without
// I/O or clock: news comes from the platform's store and from peers.
//
// Guarantee: of two orders for a zone the one with the later place in the store's history holds,
// whatever older news arrives later.
package evacuations

import (
	"cmp"
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// Order empties a zone or takes it back.
type Order struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone string `json:"zone"`
	// Position is that of the order in the store's history.
	Position structs.StorePosition `json:"place"`
	// Lifted is true if the zone may be sent to again.
	Lifted bool `json:"lifted"`
}

// MaxZones bounds the zones that a table knows. Orders for more are false input: a platform has
// some ten zones.
const MaxZones = 64

// Table is the set of known orders, the latest of each zone.
type Table struct {
	orders map[string]Order
	// restored is set while the store has just come back from a copy.
	restored structs.RestoreWindow
}

// NewTable returns a table that knows no order.
func NewTable() *Table { return &Table{orders: map[string]Order{}} }

// SetRestoreWindow tells that the store came back from a copy: what it lists takes back no order that
// came later. It ends with the zero value.
func (t *Table) SetRestoreWindow(restored structs.RestoreWindow) { t.restored = restored }

// Put applies an order and returns whether the zone is emptied or taken back by it.
func (t *Table) Put(order Order) bool {
	known, found := t.orders[order.Zone]
	if found && !t.restored.IsBefore(known.Position, order.Position) {
		return false
	}
	if !found && !t.makeRoom(order) {
		return false
	}
	t.orders[order.Zone] = order
	return known.isInForce() != order.isInForce()
}

// makeRoom returns whether one more zone may be known. A zone that was taken back longest ago
// gives way to one that is emptied.
func (t *Table) makeRoom(order Order) bool {
	if len(t.orders) < MaxZones {
		return true
	}
	if order.Lifted {
		return false
	}
	for _, known := range t.All() {
		if known.Lifted {
			delete(t.orders, known.Zone)
			return true
		}
	}
	return false
}

// isInForce returns whether the order keeps its zone empty.
func (o *Order) isInForce() bool { return o.Zone != "" && !o.Lifted }

// LiftsForUnlisted returns the orders by which the zones are taken back that a complete list as of the
// place does not name.
func (t *Table) LiftsForUnlisted(listed []Order, place structs.StorePosition) []Order {
	var lifts []Order
	for _, known := range t.All() {
		isListed := slices.ContainsFunc(listed, func(order Order) bool { return order.Zone == known.Zone })
		if known.isInForce() && !isListed && t.restored.IsBefore(known.Position, place) {
			lifts = append(lifts, Order{Zone: known.Zone, Position: place, Lifted: true})
		}
	}
	return lifts
}

// IsEvacuated returns whether nothing is to be sent to the zone.
func (t *Table) IsEvacuated(zone string) bool {
	order := t.orders[zone]
	return order.isInForce()
}

// EvacuatedZones returns the zones that nothing is to be sent to.
func (t *Table) EvacuatedZones() map[string]bool {
	zones := map[string]bool{}
	for zone, order := range t.orders {
		if order.isInForce() {
			zones[zone] = true
		}
	}
	return zones
}

// All returns the latest order of each zone, the oldest first.
func (t *Table) All() []Order {
	orders := make([]Order, 0, len(t.orders))
	for _, order := range t.orders {
		orders = append(orders, order)
	}
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Position, b.Position), cmp.Compare(a.Zone, b.Zone))
	})
	return orders
}
