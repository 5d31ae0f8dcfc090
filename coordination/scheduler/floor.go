package scheduler

import (
	"sort"

	"github.com/thornwalk/thornwalk/structs"
)

// Demand requests that the zone's floor be raised so that the rank may be shed.
type Demand struct {
	Service string
	Rank    structs.Rank
}

// SetFloor applies the zone's floor for a service and returns the rejections
// of queued requests that the floor no longer admits.
func (s *Scheduler) SetFloor(service string, floor Floor) []structs.Plan {
	entry := s.serviceState(service)
	entry.floor = floor
	entry.floorSet = true
	var plans []structs.Plan
	for _, p := range s.sortedPools {
		if p.key.service != service {
			continue
		}
		for _, request := range p.queue.LowerTiers(floor.RefuseFrom - 1) {
			s.dequeue(p, request.ID)
			plans = append(plans, rejection(request, structs.ReasonFloor, s.options.FloorDemandTTL))
		}
	}
	return plans
}

// Floor returns the floor that this node applies to the service.
func (s *Scheduler) Floor(service string) Floor {
	entry := s.serviceState(service)
	if !entry.floorSet {
		return Floor{RefuseFrom: NoRank, ShedFrom: s.options.LowestRank}
	}
	return entry.floor
}

// Demands returns the demands that have not expired, ordered by service.
func (s *Scheduler) Demands(now structs.Instant) []Demand {
	var demands []Demand
	for name, entry := range s.services {
		if entry.demandedRank == NoRank {
			continue
		}
		if now-entry.demandedAt > s.options.FloorDemandTTL {
			entry.demandedRank = NoRank
			continue
		}
		demands = append(demands, Demand{Service: name, Rank: entry.demandedRank})
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Service < demands[j].Service })
	return demands
}

// canShed reports whether the request may be rejected for load now.
func (s *Scheduler) canShed(request *structs.Request) bool {
	return request.Rank >= s.options.LowestRank || request.Rank >= s.Floor(request.Service).ShedFrom
}

// requestShed reports whether the request may be rejected for load now. It
// also records or renews the demand for a floor that allows this.
func (s *Scheduler) requestShed(now structs.Instant, request *structs.Request) bool {
	s.demandFloor(now, request)
	return s.canShed(request)
}

// demandFloor renews the demand for the request's rank. A demand for a higher
// tier (smaller rank) covers those for lower tiers.
func (s *Scheduler) demandFloor(now structs.Instant, request *structs.Request) {
	if request.Rank >= s.options.LowestRank {
		return
	}
	entry := s.serviceState(request.Service)
	expired := now-entry.demandedAt > s.options.FloorDemandTTL
	if expired || request.Rank <= entry.demandedRank {
		entry.demandedRank = request.Rank
		entry.demandedAt = now
	}
}
