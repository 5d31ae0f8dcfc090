package scheduler

import (
	"sort"

	"github.com/thornwalk/thornwalk/structs"
)

// Demand asks the zone to raise the floor so that the rank may be shed.
type Demand struct {
	Service string
	Rank    structs.Rank
}

// SetFloor takes the zone's floor for a service into force and returns the
// refusals of waiting requests that it lets go.
func (s *Scheduler) SetFloor(name string, floor Floor) []structs.Plan {
	entry := s.service(name)
	entry.floor = floor
	entry.hasFloor = true
	var plans []structs.Plan
	for _, p := range s.order {
		if p.key.service != name {
			continue
		}
		for _, request := range p.queue.LowerTiers(floor.RefuseFrom - 1) {
			s.remove(p, request.ID)
			plans = append(plans, refusal(request, structs.ReasonFloor, s.options.FloorDemandTTL))
		}
	}
	return plans
}

// Floor returns the floor in force for the service at this node.
func (s *Scheduler) Floor(name string) Floor {
	entry := s.service(name)
	if !entry.hasFloor {
		return Floor{RefuseFrom: NoRank, ShedFrom: s.options.LowestRank}
	}
	return entry.floor
}

// Demands returns the demands that stand, in the order of the services.
func (s *Scheduler) Demands(now structs.Instant) []Demand {
	var demands []Demand
	for name, entry := range s.services {
		if entry.demand == NoRank {
			continue
		}
		if now-entry.demandAt > s.options.FloorDemandTTL {
			entry.demand = NoRank
			continue
		}
		demands = append(demands, Demand{Service: name, Rank: entry.demand})
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Service < demands[j].Service })
	return demands
}

// sheddable returns whether the request may be refused for load now.
func (s *Scheduler) sheddable(request *structs.Request) bool {
	return request.Rank >= s.options.LowestRank || request.Rank >= s.Floor(request.Service).ShedFrom
}

// mayShed returns whether the request may be refused for load now. If not, it
// demands the floor that would allow it.
func (s *Scheduler) mayShed(now structs.Instant, request *structs.Request) bool {
	s.demand(now, request)
	return s.sheddable(request)
}

// demand renews the demand for the request's rank. A demand for a higher tier
// (smaller rank) covers those for lower tiers.
func (s *Scheduler) demand(now structs.Instant, request *structs.Request) {
	if request.Rank >= s.options.LowestRank {
		return
	}
	entry := s.service(request.Service)
	stale := now-entry.demandAt > s.options.FloorDemandTTL
	if stale || request.Rank <= entry.demand {
		entry.demand = request.Rank
		entry.demandAt = now
	}
}
