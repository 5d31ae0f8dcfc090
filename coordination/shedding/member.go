package shedding

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/structs"
)

// pauseGap is the time between two ticks from which the process is taken to
// have been paused.
const pauseGap = 600 * time.Millisecond

// Member is a node's side: it merges what owners told. It is not safe for
// concurrent use.
type Member struct {
	self   string
	lowest structs.Rank
	floors map[string]map[string]heard
	tickAt structs.Instant
}

// heard is the last FloorUpdate of one owner.
type heard struct {
	epoch uint64
	floor scheduler.Floor
	// refuseAt and shedAt start the leases of the marks.
	refuseAt, shedAt structs.Instant
}

// NewMember returns the member's side of the node.
func NewMember(self string, lowest structs.Rank) *Member {
	return &Member{self: self, lowest: lowest, floors: map[string]map[string]heard{}}
}

// SetLowest takes changed settings into force.
func (m *Member) SetLowest(lowest structs.Rank) { m.lowest = lowest }

// Apply records a FloorUpdate and returns the acknowledgement. The caller must take
// Floor into force before it sends the acknowledgement.
func (m *Member) Apply(now structs.Instant, set FloorUpdate) Ack {
	owners, found := m.floors[set.Service]
	if !found {
		owners = map[string]heard{}
		m.floors[set.Service] = owners
	}
	last, known := owners[set.Owner]
	if !known || set.Epoch >= last.epoch || now-last.refuseAt > RefuseLease {
		floor := set.Floor
		if set.KeepRefuse {
			floor.RefuseFrom = m.Floor(now, set.Service).RefuseFrom
		}
		owners[set.Owner] = heard{epoch: set.Epoch, floor: floor, refuseAt: now, shedAt: now}
	}
	return Ack{Service: set.Service, Epoch: set.Epoch, From: m.self, Floor: m.Floor(now, set.Service)}
}

// Floor merges the owners' marks that have not lapsed.
func (m *Member) Floor(now structs.Instant, service string) scheduler.Floor {
	floor := scheduler.Floor{RefuseFrom: scheduler.NoRank, ShedFrom: 0}
	fresh := 0
	for _, entry := range m.floors[service] {
		if now-entry.refuseAt <= RefuseLease {
			floor.RefuseFrom = min(floor.RefuseFrom, entry.floor.RefuseFrom)
		}
		if now-entry.shedAt <= ShedLease {
			floor.ShedFrom = max(floor.ShedFrom, entry.floor.ShedFrom)
			fresh++
		}
	}
	if fresh == 0 {
		floor.ShedFrom = m.lowest
	}
	return floor
}

// Tick returns the services whose floor may have changed by a lapse. After a
// pause of the process the lease on RefuseFrom starts again, while that on
// ShedFrom does not: a node that wakes refuses too much rather than too little
// until an owner is heard.
func (m *Member) Tick(now structs.Instant) []string {
	paused := now-m.tickAt > pauseGap
	m.tickAt = now
	services := make([]string, 0, len(m.floors))
	for service, owners := range m.floors {
		services = append(services, service)
		for owner, entry := range owners {
			if paused {
				entry.refuseAt = now
				owners[owner] = entry
			}
			if now-entry.refuseAt > RefuseLease {
				delete(owners, owner)
			}
		}
	}
	return services
}

// Snapshot returns the marks that a joining node needs before it admits work.
func (m *Member) Snapshot(now structs.Instant) []FloorUpdate {
	var sets []FloorUpdate
	for service, owners := range m.floors {
		for owner, entry := range owners {
			if now-entry.refuseAt <= RefuseLease {
				sets = append(sets, FloorUpdate{Service: service, Owner: owner, Epoch: entry.epoch, Floor: entry.floor})
			}
		}
	}
	return sets
}
