package liveness

import (
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// In a small fleet every node knows every other one. Were that so in a large one, the work of each
// node would grow with the fleet, and that of a start of all nodes with its cube. So in a large
// fleet a few nodes of each zone, its delegates, beat to all nodes, and are the only ones that do
// work for all; the others beat to the delegates of their own zone and to the scheduling node.
// Each node finds by itself whether it is a delegate, from the delegates of its zone that it hears.

const (
	// largeFleet is the number of nodes from which a fleet is large: where all beat to all, each
	// node hears some 90 heartbeats a second at any size, and at this one they are 1.2 s apart, so
	// that the death of a node is noticed after 5 s. smallAgain is the number below which a large
	// fleet is small again.
	largeFleet = 100
	smallAgain = 80
	// delegates is how many nodes of a zone speak for it: with a third of the nodes lost at once,
	// one in eighty zones loses all of them, and finds new ones within some heartbeats.
	delegates = 4
	// namesOfOwnZone is how many nodes of the asking node's zone a list names, so that a zone
	// whose delegates are all lost finds itself again.
	namesOfOwnZone = 16
)

// IsLarge returns whether a fleet of so many nodes, which was taken for large before or not, is
// large now.
func IsLarge(nodes int, before bool) bool {
	if before {
		return nodes >= smallAgain
	}
	return nodes > largeFleet
}

// ReportedFleetSize returns how many nodes the fleet has as its delegates tell. One of them alone may be
// wrong: of two or more the second largest number counts.
func ReportedFleetSize(members []*Member) int {
	largest, second := 0, 0
	for _, member := range Delegates(members) {
		if member.FleetSize > largest {
			largest, second = member.FleetSize, largest
		} else {
			second = max(second, member.FleetSize)
		}
	}
	if second == 0 {
		return largest
	}
	return second
}

// Delegates returns the members that may do work for all.
func Delegates(members []*Member) []*Member {
	var core []*Member
	for _, member := range members {
		if !member.NonDelegate {
			core = append(core, member)
		}
	}
	return core
}

// IsDelegate returns whether the node with the beat speaks for its zone in a large fleet, given
// the delegates that it hears.
func IsDelegate(own *Heartbeat, heard []*Member) bool {
	zone := []*Heartbeat{own}
	for _, member := range Delegates(heard) {
		if member.Zone == own.Zone {
			zone = append(zone, &member.Heartbeat)
		}
	}
	return slices.Contains(RankNodes(zone, delegates), own.Name)
}

// PeersForZone returns what a node of the zone is told of the fleet: the delegates of each zone, and some
// more nodes of its own.
func PeersForZone(live []*Member, zone string) []Peer {
	zones := map[string][]*Member{}
	for _, member := range live {
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	var peers []Peer
	for name, members := range zones {
		peers = append(peers, namesOf(members, name == zone)...)
	}
	return peers
}

func namesOf(members []*Member, ownZone bool) []Peer {
	byName := map[string]*Member{}
	for _, member := range members {
		byName[member.Name] = member
	}
	wanted := RankNodes(Heartbeats(Delegates(members)), delegates)
	if ownZone {
		for _, member := range members[:min(len(members), namesOfOwnZone)] {
			if !slices.Contains(wanted, member.Name) {
				wanted = append(wanted, member.Name)
			}
		}
	}
	peers := make([]Peer, 0, len(wanted))
	for _, name := range wanted {
		peers = append(peers, Peer{Name: name, Address: byName[name].Address})
	}
	return peers
}

// Size is how many nodes a fleet has.
type Size struct {
	// Live are those that are heard of, by this node or the delegates of their zone, and Known
	// also those that fell silent lately.
	Live, Known int
}

// Size returns the size of a large fleet as this node of the zone, which counts itself, and the
// delegates of each zone know it, and the size of its own zone by its own ears.
func (t *Table) Size(now structs.Instant, own string) (fleet, zone Size) {
	type count struct{ heard, told Size }
	zones := map[string]*count{own: {heard: Size{Live: 1, Known: 1}}}
	for _, member := range t.members {
		if !member.known {
			continue // nobody told its zone
		}
		counted, found := zones[member.Zone]
		if !found {
			counted = &count{}
			zones[member.Zone] = counted
		}
		counted.heard.Known++
		counted.told.Known = max(counted.told.Known, member.ZoneKnown)
		if member.live(now, 1) {
			counted.heard.Live++
			counted.told.Live = max(counted.told.Live, member.ZoneLive)
		}
	}
	for _, counted := range zones {
		fleet.Live += max(counted.heard.Live, counted.told.Live)
		fleet.Known += max(counted.heard.Known, counted.told.Known)
	}
	return fleet, zones[own].heard
}
