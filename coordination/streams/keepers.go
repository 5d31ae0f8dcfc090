package streams

import (
	"slices"

	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// Numbers of nodes in the zone of the node that relays a stream, and of nodes in all others, that keep its origin by its key
// and by the content of its request. Callers that name their streams should not depend on the content.
const (
	KeepersByKey     = 3
	KeepersByContent = 2
)

// Node is a node that may keep origins.
type Node struct{ Name, Zone, Address string }

// Keepers returns the nodes that keep the origin of a stream, for a node of the zone: those that it reports
// to and those that it asks. They are chosen by rendezvous hashing, so that nodes which know about the same others choose
// about the same. The number in each area is KeepersByKey or KeepersByContent.
func Keepers(nodes []Node, zone string, key streamorigins.Key, perArea int) []Node {
	isLocal := func(node Node) bool { return node.Zone == zone }
	isRemote := func(node Node) bool { return node.Zone != zone }
	hash := rendezvous.Hash(string(key[:]))
	return slices.Concat(top(nodes, isLocal, hash, perArea), top(nodes, isRemote, hash, perArea))
}

// top returns the nodes of the area with the highest weights.
func top(nodes []Node, isInArea func(Node) bool, hash uint64, count int) []Node {
	byName := map[string]Node{}
	var names []string
	for _, node := range nodes {
		if isInArea(node) {
			byName[node.Name] = node
			names = append(names, node.Name)
		}
	}
	var chosen []Node
	for _, name := range rendezvous.Top(names, hash, count) {
		chosen = append(chosen, byName[name])
	}
	return chosen
}
