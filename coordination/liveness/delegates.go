package liveness

import (
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// Heartbeats between all nodes of a large fleet would cost each node too much. So only a few
// nodes of each zone, its delegates, send heartbeats to all nodes, schedule and access the store.
// The other nodes send heartbeats to the delegates of their own zone and to the scheduling node.
// Each node derives its role from the heartbeats that it receives.

const (
	// A fleet becomes large above maxSmallFleetNodes and small again below minLargeFleetNodes, so
	// that its mode doesn't change with each node that comes or goes. With more nodes in a small
	// fleet, heartbeats would be too rare to detect failures within a few seconds: with 100 nodes they are 1.2 s
	// apart, so that a failure is detected after 5 s.
	maxSmallFleetNodes = 100
	minLargeFleetNodes = 80
	// delegatesPerZone makes it unlikely that a zone loses all its delegates at once.
	delegatesPerZone = 4
	// maxExtraOwnZonePeers bounds the non-delegates of its own zone that a node learns from a
	// peer list. With them it finds new delegates if the zone has lost all of them.
	maxExtraOwnZonePeers = 16
)

// IsLarge reports whether a fleet of the given size counts as large, given whether it did before.
func IsLarge(nodes int, wasLarge bool) bool {
	if wasLarge {
		return nodes >= minLargeFleetNodes
	}
	return nodes > maxSmallFleetNodes
}

// ReportedFleetSize returns the fleet size according to the delegates among the members. With two
// or more reports it returns the second largest, so that one wrong report has no effect.
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

// Delegates returns the members that are not marked as non-delegates. In a small fleet these are
// all members.
func Delegates(members []*Member) []*Member {
	var delegates []*Member
	for _, member := range members {
		if !member.NonDelegate {
			delegates = append(delegates, member)
		}
	}
	return delegates
}

// IsDelegate reports whether the node with the heartbeat own is a delegate of its zone in a large
// fleet, given the delegates among the members that it receives heartbeats from.
func IsDelegate(own *Heartbeat, members []*Member) bool {
	candidates := []*Heartbeat{own}
	for _, member := range Delegates(members) {
		if member.Zone == own.Zone {
			candidates = append(candidates, &member.Heartbeat)
		}
	}
	return slices.Contains(RankNodes(candidates, delegatesPerZone), own.Name)
}

// PeersForZone returns the peer list for a node of the zone: the delegates of each zone and some
// more nodes of its own zone.
func PeersForZone(live []*Member, zone string) []Peer {
	zones := map[string][]*Member{}
	for _, member := range live {
		zones[member.Zone] = append(zones[member.Zone], member)
	}
	var peers []Peer
	for name, members := range zones {
		peers = append(peers, zonePeers(members, name == zone)...)
	}
	return peers
}

func zonePeers(members []*Member, isOwnZone bool) []Peer {
	byName := map[string]*Member{}
	for _, member := range members {
		byName[member.Name] = member
	}
	selected := RankNodes(Heartbeats(Delegates(members)), delegatesPerZone)
	if isOwnZone {
		for _, member := range members[:min(len(members), maxExtraOwnZonePeers)] {
			if !slices.Contains(selected, member.Name) {
				selected = append(selected, member.Name)
			}
		}
	}
	peers := make([]Peer, 0, len(selected))
	for _, name := range selected {
		peers = append(peers, Peer{Name: name, Address: byName[name].Address})
	}
	return peers
}

// Size is a number of nodes in a fleet or zone.
type Size struct {
	// Live counts the nodes whose heartbeats arrive at this node or at the delegates of their
	// zone. Known also counts nodes that became silent recently.
	Live, Known int
}

// Size returns the size of a large fleet and the size of this node's zone, each including this
// node. The fleet's size combines what this node observes with what the delegates of each zone
// report; the zone's size is only what this node observes.
func (t *Table) Size(now structs.Instant, ownZone string) (fleet, zone Size) {
	type zoneCount struct{ observed, reported Size }
	zones := map[string]*zoneCount{ownZone: {observed: Size{Live: 1, Known: 1}}}
	for _, member := range t.members {
		if !member.confirmed {
			continue // its zone is unknown
		}
		count, found := zones[member.Zone]
		if !found {
			count = &zoneCount{}
			zones[member.Zone] = count
		}
		count.observed.Known++
		count.reported.Known = max(count.reported.Known, member.ZoneKnown)
		if member.isLive(now) {
			count.observed.Live++
			count.reported.Live = max(count.reported.Live, member.ZoneLive)
		}
	}
	for _, count := range zones {
		fleet.Live += max(count.observed.Live, count.reported.Live)
		fleet.Known += max(count.observed.Known, count.reported.Known)
	}
	return fleet, zones[ownZone].observed
}
