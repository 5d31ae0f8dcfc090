package streams

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/streamorigins"
)

func fleetOf(count, zones int) []Node {
	var nodes []Node
	for i := range count {
		name := fmt.Sprint("n", i)
		nodes = append(nodes, Node{Name: name, Zone: fmt.Sprint("z", i%zones), Address: name + ":1"})
	}
	return nodes
}

func without(nodes []Node, isGone func(Node) bool) []Node {
	return slices.DeleteFunc(slices.Clone(nodes), isGone)
}

// survivalShare returns the share of the streams of killed nodes whose origin a node finds where the callers
// come back: in the zone of the killed node if a node is left there, else in another. Keep returns who keeps the
// origin of a stream that the node relays.
func survivalShare(random *rand.Rand, nodes []Node, killedShare float64, keep func(relay Node, key streamorigins.Key) []Node) float64 {
	const plays = 3000
	found := 0
	for play := range plays {
		shuffled := slices.Clone(nodes)
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		killed := shuffled[:max(1, int(killedShare*float64(len(nodes))))]
		left := shuffled[len(killed):]
		relay, key := killed[0], streamorigins.KeyOf("tenant", fmt.Sprint(play))
		keepers := keep(relay, key)
		asking := left[0]
		if i := slices.IndexFunc(left, func(node Node) bool { return node.Zone == relay.Zone }); i >= 0 {
			asking = left[i]
		}
		asked := append(Keepers(without(left, func(node Node) bool { return node == asking }), asking.Zone, key, KeepersByKey), asking)
		if slices.ContainsFunc(asked, func(node Node) bool { return slices.Contains(keepers, node) }) {
			found++
		}
	}
	return float64(found) / plays
}

// Guards against streams that can't go on since the nodes that knew their origins ended together.
func TestOriginsSurviveTheLossOfManyNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, size := range []int{7, 9, 30, 83} {
		nodes := fleetOf(size, 3)
		random := rand.New(rand.NewPCG(1, uint64(size)))
		keepersOf := func(relay Node, key streamorigins.Key) []Node {
			return Keepers(without(nodes, func(node Node) bool { return node == relay }), relay.Zone, key, KeepersByKey)
		}
		for _, killed := range []float64{0.1, 0.35, 0.6} {
			one := survivalShare(random, nodes, killed, func(relay Node, key streamorigins.Key) []Node { return keepersOf(relay, key)[:1] })
			kept := survivalShare(random, nodes, killed, keepersOf)
			t.Logf("%d nodes, %.2f killed: found %.3f with one keeper, %.3f with all keepers", size, killed, one, kept)
			g.Expect(kept).To(gomega.BeNumerically(">=", 0.95))
		}
	}
}

// Guards against origins that are all kept in the zone of the node that relays the stream.
func TestOriginsSurviveTheLossOfAZone(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := fleetOf(30, 3)
	for stream := range 300 {
		key := streamorigins.KeyOf("tenant", fmt.Sprint(stream))
		keepers := Keepers(without(nodes, func(node Node) bool { return node == nodes[0] }), nodes[0].Zone, key, KeepersByKey)
		left := without(nodes, func(node Node) bool { return node.Zone == nodes[0].Zone })
		for _, asking := range left {
			asked := append(Keepers(without(left, func(node Node) bool { return node == asking }), asking.Zone, key, KeepersByKey), asking)
			g.Expect(slices.ContainsFunc(asked, func(node Node) bool { return slices.Contains(keepers, node) })).To(gomega.BeTrue(), asking.Name)
		}
	}
}

// Guards against more reports the more nodes there are.
func TestNumberOfKeepersIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Keepers(fleetOf(400, 7), "z1", streamorigins.KeyOf("", "r"), KeepersByKey)).To(gomega.HaveLen(2 * KeepersByKey))
	g.Expect(Keepers(nil, "z1", streamorigins.KeyOf("", "r"), KeepersByKey)).To(gomega.BeEmpty())
}
