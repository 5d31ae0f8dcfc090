package emulator

import (
	"math/rand/v2"

	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

// chooser selects the replica of a request at a node.
type chooser func(n *baselineNode, r *record) *replica

// baselineNode dispatches each request to an engine on arrival, without queueing. The
// engines order requests by rank.
type baselineNode struct {
	simulation *simulation
	replicas   []*replica
	choose     chooser
	random     *rand.Rand
	next       int
	// reportedLoad is the load in the latest report of each replica, inFlight the
	// number of requests of this node at each replica.
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

// powerOfTwo selects the less loaded of two random replicas. The load of a replica is
// the larger of its reported load and this node's requests in flight.
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

// prefixHash always selects the same replica for a conversation. The key is the first
// block of the prompt after the part that all requests of its kind share.
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
