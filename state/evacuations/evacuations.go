// Package evacuations is a node's table of the zones that operators evacuated: the replicas of such a
// zone get no requests until the order is lifted. It does no I/O and reads no clock; callers apply updates
// from the platform's store and from peers.
//
// Guarantee: of two orders for a zone, the one with the later store position is active, whichever
// arrives first.
package evacuations

import (
	"cmp"
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// Order evacuates a zone, or lifts its evacuation.
type Order struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Zone string `json:"zone"`
	// Position is the store position of the order.
	Position structs.StorePosition `json:"place"`
	// Lifted is true if the zone may get requests again.
	Lifted bool `json:"lifted"`
}

// MaxZones bounds the zones in a table, so that invalid orders can't make it grow without bound.
const MaxZones = 64

// Table holds the latest order of each zone. It is not safe for concurrent use.
type Table struct {
	orders map[string]Order
	// restoreWindow is the zero value unless the store was restored recently.
	restoreWindow structs.RestoreWindow
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{orders: map[string]Order{}} }

// SetRestoreWindow sets by which restore window orders are compared. While it is set, entries from the
// backup do not replace later orders. The zero value ends it.
func (t *Table) SetRestoreWindow(window structs.RestoreWindow) { t.restoreWindow = window }

// Put applies an order, and reports whether the zone's evacuation started or ended. It ignores an order
// that is not later than the zone's present one, and one for a new zone if the table is full.
func (t *Table) Put(order Order) bool {
	current, found := t.orders[order.Zone]
	if found && !t.restoreWindow.IsBefore(current.Position, order.Position) {
		return false
	}
	if !found && !t.ensureCapacity(order) {
		return false
	}
	t.orders[order.Zone] = order
	return current.isActive() != order.isActive()
}

// ensureCapacity reports whether the order of a new zone fits into the table. If the table is full, it
// makes space for an evacuation by removing the oldest lifted order.
func (t *Table) ensureCapacity(order Order) bool {
	if len(t.orders) < MaxZones {
		return true
	}
	if order.Lifted {
		return false
	}
	for _, existing := range t.All() {
		if existing.Lifted {
			delete(t.orders, existing.Zone)
			return true
		}
	}
	return false
}

// isActive reports whether the order evacuates its zone. The zero value does not.
func (o *Order) isActive() bool { return o.Zone != "" && !o.Lifted }

// LiftsForUnlisted returns orders that lift the evacuations missing from listed, a complete list of the
// store's orders as of the position. It does not apply them.
func (t *Table) LiftsForUnlisted(listed []Order, position structs.StorePosition) []Order {
	var lifts []Order
	for _, existing := range t.All() {
		isListed := slices.ContainsFunc(listed, func(order Order) bool { return order.Zone == existing.Zone })
		if existing.isActive() && !isListed && t.restoreWindow.IsBefore(existing.Position, position) {
			lifts = append(lifts, Order{Zone: existing.Zone, Position: position, Lifted: true})
		}
	}
	return lifts
}

// IsEvacuated reports whether the zone is evacuated.
func (t *Table) IsEvacuated(zone string) bool {
	order := t.orders[zone]
	return order.isActive()
}

// EvacuatedZones returns the names of the evacuated zones.
func (t *Table) EvacuatedZones() map[string]bool {
	zones := map[string]bool{}
	for zone, order := range t.orders {
		if order.isActive() {
			zones[zone] = true
		}
	}
	return zones
}

// All returns the latest order of each zone, lifts included, sorted by position.
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
