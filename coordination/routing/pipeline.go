package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/routing/filter"
	"github.com/thornwalk/thornwalk/coordination/routing/score"
	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

// affinityReplicaCount is the number of replicas that rendezvous hashing
// assigns to a prefix, so that requests with the same prefix share caches
// before the prefix index has entries for it.
const affinityReplicaCount = 2

// affinityChainIndex is the element of the prefix chain that is hashed: beyond
// a system prompt that all requests of a route share, and the same for every
// turn of one conversation.
const affinityChainIndex = 12

// Pipeline chooses replicas. It is not safe for concurrent use: it reuses
// buffers between calls.
type Pipeline struct {
	View     *backend.Table
	Prefixes prefix.Index
	Weights  score.Weights
	// SampleSize is the number of random replicas considered besides the prefix
	// holders and affinity replicas.
	SampleSize int
	Random     *rand.Rand

	eligible   []*backend.ReplicaState
	candidates []structs.Candidate
}

// Choice is the result of one decision.
type Choice struct {
	// Found is false if the filters rejected every replica.
	Found bool
	Best  structs.Candidate
	// IdleCompletion is the shortest predicted completion among the candidates
	// if they had no other requests.
	IdleCompletion time.Duration
	// Candidates lists all scored replicas, best first.
	Candidates []structs.Candidate
}

// Query describes the request to choose a replica for.
type Query struct {
	Request *structs.Request
	// OutputTokens is the predicted length of the answer.
	OutputTokens int
	// MeanSlotTime is the mean time that a request occupies a slot.
	MeanSlotTime time.Duration
	Context      filter.Context
}

// Choose runs the pipeline. Choice.Candidates is valid until the next call.
func (p *Pipeline) Choose(query *Query) Choice {
	p.collectCandidates(query)
	input := score.Input{
		Now: query.Context.Now, Request: query.Request, OutputTokens: query.OutputTokens,
		MeanSlotTime: query.MeanSlotTime, Prefixes: p.Prefixes, Weights: p.Weights,
	}
	p.candidates = p.candidates[:0]
	choice := Choice{IdleCompletion: time.Duration(1<<63 - 1)}
	for _, state := range p.eligible {
		estimate := score.Predict(p.View, state, &input)
		choice.IdleCompletion = min(choice.IdleCompletion, estimate.IdleCompletion)
		p.candidates = append(p.candidates, structs.Candidate{
			Replica: state.Replica.ID, Wait: estimate.Wait, FirstToken: estimate.FirstToken,
			Completion: estimate.Completion, CachedTokens: estimate.CachedTokens, Score: estimate.Score,
		})
	}
	if len(p.candidates) == 0 {
		return Choice{}
	}
	slices.SortFunc(p.candidates, func(a, b structs.Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Replica, b.Replica))
	})
	choice.Found = true
	choice.Best = p.candidates[0]
	choice.Candidates = p.candidates
	return choice
}

// collectCandidates collects every eligible replica of a small pool; of a larger
// one the prefix holders, the affinity replicas and a random sample.
func (p *Pipeline) collectCandidates(query *Query) {
	p.eligible = p.eligible[:0]
	pool := p.View.Pool(query.Request.Service)
	if len(pool.States) <= p.SampleSize+affinityReplicaCount {
		for _, state := range pool.States {
			p.addEligible(state, query)
		}
		return
	}
	for _, id := range p.Prefixes.Holders(query.Request.Prefix) {
		if state, known := p.View.Get(id); known && state.Replica.Service == query.Request.Service {
			p.addEligible(state, query)
		}
	}
	p.addAffinityReplicas(pool, query)
	p.addSample(pool, query)
}

// addEligible adds the replica unless it is already a candidate or filtered
// out, and reports whether it did.
func (p *Pipeline) addEligible(state *backend.ReplicaState, query *Query) bool {
	if slices.Contains(p.eligible, state) {
		return false
	}
	if filter.Check(state, query.Request, &query.Context) != filter.None {
		return false
	}
	p.eligible = append(p.eligible, state)
	return true
}

// addAffinityReplicas adds the eligible replicas with the highest rendezvous
// weights for the request's prefix.
func (p *Pipeline) addAffinityReplicas(pool *backend.Pool, query *Query) {
	chain := query.Request.Prefix
	if len(chain) == 0 {
		return
	}
	key := chain[min(affinityChainIndex, len(chain)-1)]
	var top [affinityReplicaCount]*backend.ReplicaState
	var weights [affinityReplicaCount]uint64
	for _, state := range pool.States {
		weight := rendezvous.WeightOfHash(state.IDHash, key)
		if weight <= weights[affinityReplicaCount-1] || filter.Check(state, query.Request, &query.Context) != filter.None {
			continue
		}
		position := affinityReplicaCount - 1
		for position > 0 && weights[position-1] < weight {
			top[position], weights[position] = top[position-1], weights[position-1]
			position--
		}
		top[position], weights[position] = state, weight
	}
	for _, state := range top {
		if state != nil {
			p.addEligible(state, query)
		}
	}
}

// addSample adds random replicas. If there is no candidate after that, it tries
// the whole pool in order, so that an eligible replica is always found.
func (p *Pipeline) addSample(pool *backend.Pool, query *Query) {
	for range p.SampleSize {
		p.addEligible(pool.States[p.Random.IntN(len(pool.States))], query)
	}
	if len(p.eligible) > 0 {
		return
	}
	for _, state := range pool.States {
		if p.addEligible(state, query) && len(p.eligible) >= p.SampleSize {
			return
		}
	}
}
