package emulator

import (
	"math/rand/v2"

	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

// chooser picks a replica for a request at a node.
type chooser func(n *baselineNode, r *record) *replica

// baselineNode hands each request to an engine at once; the engines honour
// priorities. It stands for what operators would otherwise run.
type baselineNode struct {
	simulation *simulation
	replicas   []*replica
	choose     chooser
	random     *rand.Rand
	next       int
	// reported is the last reported load, and own the requests that this node
	// has at each replica.
	reportedLoad map[structs.ReplicaID]int
	inFlight     map[structs.ReplicaID]int
}

func newBaselineNode(s *simulation, zone int, choose chooser, random *rand.Rand) *baselineNode {
	return &baselineNode{
		simulation: s, replicas: s.zones[zone], choose: choose, random: random, next: random.IntN(len(s.zones[zone])),
		reportedLoad: map[structs.ReplicaID]int{}, inFlight: map[structs.ReplicaID]int{},
	}
}

func (n *baselineNode) arrive(r *record) {
	target := n.choose(n, r)
	n.inFlight[target.ID]++
	n.simulation.dispatch(r, target)
}

func (n *baselineNode) report(report structs.LoadReport) {
	n.reportedLoad[report.Replica] = report.Running + report.Waiting
}

func (n *baselineNode) cacheEvents(structs.ReplicaID, []structs.CacheEvent) {}
func (n *baselineNode) firstToken(*record)                                  {}
func (n *baselineNode) done(r *record)                                      { n.inFlight[r.replica.ID]-- }
func (n *baselineNode) abandon(r *record)                                   { n.inFlight[r.replica.ID]-- }

func roundRobin(n *baselineNode, _ *record) *replica {
	n.next++
	return n.replicas[n.next%len(n.replicas)]
}

func leastReportedLoad(n *baselineNode, _ *record) *replica {
	best := n.replicas[0]
	for _, candidate := range n.replicas[1:] {
		if n.reportedLoad[candidate.ID] < n.reportedLoad[best.ID] {
			best = candidate
		}
	}
	return best
}

// powerOfTwo compares two random replicas by the larger of the reported load
// and this node's own requests there.
func powerOfTwo(n *baselineNode, _ *record) *replica {
	first := n.random.IntN(len(n.replicas))
	second := n.random.IntN(len(n.replicas) - 1)
	if second >= first {
		second++
	}
	load := func(r *replica) int { return max(n.reportedLoad[r.ID], n.inFlight[r.ID]) }
	if load(n.replicas[second]) < load(n.replicas[first]) {
		return n.replicas[second]
	}
	return n.replicas[first]
}

// prefixHash sends a conversation always to the same replica, by the part of
// the prompt behind what its whole kind shares.
func prefixHash(n *baselineNode, r *record) *replica {
	key := uint64(r.arrival.Session)
	if shared := n.simulation.kind(r).SharedTokens / structs.BlockTokens; len(r.arrival.Chain) > shared {
		key = r.arrival.Chain[shared]
	}
	best := n.replicas[0]
	for _, candidate := range n.replicas[1:] {
		if rendezvous.Weight(string(candidate.ID), key) > rendezvous.Weight(string(best.ID), key) {
			best = candidate
		}
	}
	return best
}
