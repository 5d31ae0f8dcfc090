package shedding

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/structs"
)

// suspensionGap is the time between two ticks from which the process is assumed
// to have been suspended.
const suspensionGap = 600 * time.Millisecond

// Member merges the floors that a node received from owners. It is not safe for
// concurrent use.
type Member struct {
	self       string
	lowestRank structs.Rank
	// floorsByOwner is keyed by service and owner.
	floorsByOwner map[string]map[string]ownerFloor
	tickedAt      structs.Instant
}

// ownerFloor is the last FloorUpdate of one owner.
type ownerFloor struct {
	epoch uint64
	floor scheduler.Floor
	// The leases of the thresholds start at these times.
	refuseFromRenewedAt, shedFromRenewedAt structs.Instant
}

// NewMember returns the member for the node self, without any floor.
func NewMember(self string, lowest structs.Rank) *Member {
	return &Member{self: self, lowestRank: lowest, floorsByOwner: map[string]map[string]ownerFloor{}}
}

// SetLowest sets the greatest rank of any tier.
func (m *Member) SetLowest(lowest structs.Rank) { m.lowestRank = lowest }

// Apply records a FloorUpdate and returns its acknowledgement. The caller must
// apply Floor to its scheduler before it sends the acknowledgement.
func (m *Member) Apply(now structs.Instant, update FloorUpdate) Ack {
	owners, found := m.floorsByOwner[update.Service]
	if !found {
		owners = map[string]ownerFloor{}
		m.floorsByOwner[update.Service] = owners
	}
	last, known := owners[update.Owner]
	if !known || update.Epoch >= last.epoch || now-last.refuseFromRenewedAt > RefuseFromLease {
		floor := update.Floor
		if update.KeepRefuseFrom {
			floor.RefuseFrom = m.Floor(now, update.Service).RefuseFrom
		}
		owners[update.Owner] = ownerFloor{epoch: update.Epoch, floor: floor, refuseFromRenewedAt: now, shedFromRenewedAt: now}
	}
	return Ack{Service: update.Service, Epoch: update.Epoch, From: m.self, Floor: m.Floor(now, update.Service)}
}

// Floor returns the lowest RefuseFrom and the highest ShedFrom of the owners whose
// leases have not expired. Without a lease it admits every rank and sheds only the
// lowest tier.
func (m *Member) Floor(now structs.Instant, service string) scheduler.Floor {
	floor := scheduler.Floor{RefuseFrom: scheduler.NoRank, ShedFrom: 0}
	active := 0
	for _, entry := range m.floorsByOwner[service] {
		if now-entry.refuseFromRenewedAt <= RefuseFromLease {
			floor.RefuseFrom = min(floor.RefuseFrom, entry.floor.RefuseFrom)
		}
		if now-entry.shedFromRenewedAt <= ShedFromLease {
			floor.ShedFrom = max(floor.ShedFrom, entry.floor.ShedFrom)
			active++
		}
	}
	if active == 0 {
		floor.ShedFrom = m.lowestRank
	}
	return floor
}

// Tick removes expired floors and returns all services that received a floor, since
// each may have changed. After a suspension of the process it renews the leases of
// RefuseFrom but not those of ShedFrom: until an update arrives, a resumed node
// rejects too much rather than too little.
func (m *Member) Tick(now structs.Instant) []string {
	resumed := now-m.tickedAt > suspensionGap
	m.tickedAt = now
	services := make([]string, 0, len(m.floorsByOwner))
	for service, owners := range m.floorsByOwner {
		services = append(services, service)
		for owner, entry := range owners {
			if resumed {
				entry.refuseFromRenewedAt = now
				owners[owner] = entry
			}
			if now-entry.refuseFromRenewedAt > RefuseFromLease {
				delete(owners, owner)
			}
		}
	}
	return services
}

// Snapshot returns the active floors, which a joining node applies before it
// admits requests.
func (m *Member) Snapshot(now structs.Instant) []FloorUpdate {
	var updates []FloorUpdate
	for service, owners := range m.floorsByOwner {
		for owner, entry := range owners {
			if now-entry.refuseFromRenewedAt <= RefuseFromLease {
				updates = append(updates, FloorUpdate{Service: service, Owner: owner, Epoch: entry.epoch, Floor: entry.floor})
			}
		}
	}
	return updates
}
