package liveness

import (
	"sort"

	"github.com/thornwalk/thornwalk/state/rendezvous"
)

// strongShare is the part of the strongest node's cores, and of the widest link, that a
// candidate has.
const strongShare = 0.75

// schedulerKey is the rendezvous key of the order in which nodes do work for all.
const schedulerKey = "scheduler"

// EligibleNodes returns the names of the nodes that may do work for all: those that do
// not leave and are about as strong as the strongest of them, of these the ones with
// about the widest link. The beats are of live nodes, this one's included.
func EligibleNodes(beats []*Heartbeat) []string {
	strong := strongest(beats, func(beat *Heartbeat) float64 { return beat.Cores })
	strong = strongest(strong, func(beat *Heartbeat) float64 { return beat.LinkMbps })
	names := make([]string, 0, len(strong))
	for _, beat := range strong {
		names = append(names, beat.Name)
	}
	sort.Strings(names)
	return names
}

// TopEligible returns the first of the candidates in the order in which they schedule, as far as
// the count.
func TopEligible(beats []*Heartbeat, count int) []string {
	return rendezvous.Top(EligibleNodes(beats), rendezvous.Key(schedulerKey), count)
}

// RankNodes returns the names of the nodes with the beats in the order in which they do work for all,
// as far as the count: the candidates first.
func RankNodes(beats []*Heartbeat, count int) []string {
	strong := EligibleNodes(beats)
	order := rendezvous.Top(strong, rendezvous.Key(schedulerKey), count)
	if len(order) == count || len(strong) == len(beats) {
		return order
	}
	isStrong := make(map[string]bool, len(strong))
	for _, name := range strong {
		isStrong[name] = true
	}
	var weak []string
	for _, beat := range beats {
		if !isStrong[beat.Name] {
			weak = append(weak, beat.Name)
		}
	}
	return append(order, rendezvous.Top(weak, rendezvous.Key(schedulerKey), count-len(order))...)
}

// FirstNotSlow returns the first of the ordered nodes that is not slow, or the first of all if
// every one is. It is empty if there is none.
func FirstNotSlow(order []string, beats []*Heartbeat) string {
	slow := map[string]bool{}
	for _, beat := range beats {
		slow[beat.Name] = beat.Slow
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

// strongest returns the beats of nodes that do not leave and have about the most.
func strongest(beats []*Heartbeat, strength func(*Heartbeat) float64) []*Heartbeat {
	most := 0.0
	for _, beat := range beats {
		if !beat.Leaving {
			most = max(most, strength(beat))
		}
	}
	var strong []*Heartbeat
	for _, beat := range beats {
		if !beat.Leaving && strength(beat) >= most*strongShare {
			strong = append(strong, beat)
		}
	}
	return strong
}

// Heartbeats returns the latest heartbeats of the members.
func Heartbeats(members []*Member) []*Heartbeat {
	beats := make([]*Heartbeat, 0, len(members))
	for _, member := range members {
		beats = append(beats, &member.Heartbeat)
	}
	return beats
}
