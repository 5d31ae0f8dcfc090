package streams

import (
	"slices"

	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// keepersPerArea is how many nodes in the zone of the node that relays a stream, and how many in all others, keep
// its origin.
const keepersPerArea = 3

// Node is a node that may keep origins.
type Node struct{ Name, Zone, Address string }

// Keepers returns the nodes that keep the origin of a stream, for a node of the zone: those that it reports
// to and those that it asks. They are chosen by rendezvous hashing, so that nodes which know about the same others choose
// about the same.
func Keepers(nodes []Node, zone string, key streamorigins.Key) []Node {
	isLocal := func(node Node) bool { return node.Zone == zone }
	isRemote := func(node Node) bool { return node.Zone != zone }
	hash := rendezvous.Hash(string(key[:]))
	return slices.Concat(top(nodes, isLocal, hash), top(nodes, isRemote, hash))
}

// top returns the nodes of the area with the highest weights.
func top(nodes []Node, isInArea func(Node) bool, hash uint64) []Node {
	byName := map[string]Node{}
	var names []string
	for _, node := range nodes {
		if isInArea(node) {
			byName[node.Name] = node
			names = append(names, node.Name)
		}
	}
	var chosen []Node
	for _, name := range rendezvous.Top(names, hash, keepersPerArea) {
		chosen = append(chosen, byName[name])
	}
	return chosen
}
