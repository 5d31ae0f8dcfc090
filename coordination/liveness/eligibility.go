package liveness

import (
	"sort"

	"github.com/thornwalk/thornwalk/state/rendezvous"
)

// nearMaxFraction is the fraction of the largest number of cores, and of the largest link
// bandwidth, that a node needs to be eligible.
const nearMaxFraction = 0.75

// schedulerOrderKey is the rendezvous key of the order in which nodes take on the scheduling
// role.
const schedulerOrderKey = "scheduler"

// EligibleNodes returns the sorted names of the nodes that may become scheduling node. These are
// the nodes that are not leaving and have close to the largest number of cores, and of them the
// ones with close to the largest link bandwidth. The heartbeats are those of live nodes,
// including this one.
func EligibleNodes(heartbeats []*Heartbeat) []string {
	eligible := nearMaximum(heartbeats, func(heartbeat *Heartbeat) float64 { return heartbeat.Cores })
	eligible = nearMaximum(eligible, func(heartbeat *Heartbeat) float64 { return heartbeat.LinkMbps })
	names := make([]string, 0, len(eligible))
	for _, heartbeat := range eligible {
		names = append(names, heartbeat.Name)
	}
	sort.Strings(names)
	return names
}

// TopEligible returns up to count eligible nodes in the order in which they take on the
// scheduling role.
func TopEligible(heartbeats []*Heartbeat, count int) []string {
	return rendezvous.Top(EligibleNodes(heartbeats), rendezvous.Hash(schedulerOrderKey), count)
}

// RankNodes returns up to count nodes in the order in which they take on the scheduling role: the
// eligible nodes first, then the others.
func RankNodes(heartbeats []*Heartbeat, count int) []string {
	eligible := EligibleNodes(heartbeats)
	order := rendezvous.Top(eligible, rendezvous.Hash(schedulerOrderKey), count)
	if len(order) == count || len(eligible) == len(heartbeats) {
		return order
	}
	isEligible := make(map[string]bool, len(eligible))
	for _, name := range eligible {
		isEligible[name] = true
	}
	var others []string
	for _, heartbeat := range heartbeats {
		if !isEligible[heartbeat.Name] {
			others = append(others, heartbeat.Name)
		}
	}
	return append(order, rendezvous.Top(others, rendezvous.Hash(schedulerOrderKey), count-len(order))...)
}

// FirstNotSlow returns the first node in order that is not slow, or the first node if all are
// slow. It returns an empty string if order is empty.
func FirstNotSlow(order []string, heartbeats []*Heartbeat) string {
	slow := map[string]bool{}
	for _, heartbeat := range heartbeats {
		slow[heartbeat.Name] = heartbeat.Slow
	}
	for _, name := range order {
		if !slow[name] {
			return name
		}
	}
	if len(order) == 0 {
		return ""
	}
	return order[0]
}

// nearMaximum returns the heartbeats of nodes that are not leaving and whose value is at least
// nearMaxFraction of the largest.
func nearMaximum(heartbeats []*Heartbeat, value func(*Heartbeat) float64) []*Heartbeat {
	maximum := 0.0
	for _, heartbeat := range heartbeats {
		if !heartbeat.Leaving {
			maximum = max(maximum, value(heartbeat))
		}
	}
	var selected []*Heartbeat
	for _, heartbeat := range heartbeats {
		if !heartbeat.Leaving && value(heartbeat) >= maximum*nearMaxFraction {
			selected = append(selected, heartbeat)
		}
	}
	return selected
}

// Heartbeats returns the latest heartbeat of each member.
func Heartbeats(members []*Member) []*Heartbeat {
	heartbeats := make([]*Heartbeat, 0, len(members))
	for _, member := range members {
		heartbeats = append(heartbeats, &member.Heartbeat)
	}
	return heartbeats
}
