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

// prefixHomes is the number of replicas that a prefix is spread over by
// rendezvous before anything is known of where it is cached.
const prefixHomes = 2

// homeDepth is the element of the prefix chain that chooses the homes: deep
// enough to pass a prompt that a whole route shares, and the same for every
// turn of one conversation.
const homeDepth = 12

// Pipeline chooses replicas. It is not safe for concurrent use: it keeps
// buffers between decisions to save allocations.
type Pipeline struct {
	View     *backend.Table
	Prefixes prefix.Index
	Weights  score.Weights
	// SampleSize is the number of replicas sampled beside the prefix homes.
	SampleSize int
	Random     *rand.Rand

	candidates []*backend.ReplicaState
	estimates  []structs.Candidate
}

// Choice is the result of one decision.
type Choice struct {
	// Found is false if the filters ruled out every replica.
	Found bool
	Best  structs.Candidate
	// Idle is the completion at an idle replica of the best one's kind.
	Idle time.Duration
	// Candidates lists what was weighed, best first.
	Candidates []structs.Candidate
}

// Query is one request to place.
type Query struct {
	Request      *structs.Request
	OutputTokens int
	MeanWork     time.Duration
	Context      filter.Context
}

// Choose runs the pipeline. The candidates of the choice are valid until the
// next call.
func (p *Pipeline) Choose(question *Query) Choice {
	p.gather(question)
	input := score.Input{
		Now: question.Context.Now, Request: question.Request, OutputTokens: question.OutputTokens,
		MeanWork: question.MeanWork, Prefixes: p.Prefixes, Weights: p.Weights,
	}
	p.estimates = p.estimates[:0]
	choice := Choice{Idle: time.Duration(1<<63 - 1)}
	for _, state := range p.candidates {
		estimate := score.Predict(p.View, state, &input)
		choice.Idle = min(choice.Idle, estimate.Idle)
		p.estimates = append(p.estimates, structs.Candidate{
			Replica: state.Replica.ID, Wait: estimate.Wait, FirstToken: estimate.FirstToken,
			Completion: estimate.Completion, CachedTokens: estimate.CachedTokens, Score: estimate.Value,
		})
	}
	if len(p.estimates) == 0 {
		return Choice{}
	}
	slices.SortFunc(p.estimates, func(a, b structs.Candidate) int {
		return cmp.Or(cmp.Compare(a.Score, b.Score), cmp.Compare(a.Replica, b.Replica))
	})
	choice.Found = true
	choice.Best = p.estimates[0]
	choice.Candidates = p.estimates
	return choice
}

// gather collects the candidates: every replica of a small pool, else the
// holders of the prefix, its homes and a random sample.
func (p *Pipeline) gather(question *Query) {
	p.candidates = p.candidates[:0]
	pool := p.View.Pool(question.Request.Service)
	if len(pool.States) <= p.SampleSize+prefixHomes {
		for _, state := range pool.States {
			p.admit(state, question)
		}
		return
	}
	for _, id := range p.Prefixes.Holders(question.Request.Prefix) {
		if state, known := p.View.Get(id); known && state.Replica.Service == question.Request.Service {
			p.admit(state, question)
		}
	}
	p.admitHomes(pool, question)
	p.admitSample(pool, question)
}

func (p *Pipeline) admit(state *backend.ReplicaState, question *Query) bool {
	if slices.Contains(p.candidates, state) {
		return false
	}
	if filter.Check(state, question.Request, &question.Context) != filter.None {
		return false
	}
	p.candidates = append(p.candidates, state)
	return true
}

// admitHomes adds the usable replicas with the highest rendezvous weights.
func (p *Pipeline) admitHomes(pool *backend.Pool, question *Query) {
	chain := question.Request.Prefix
	if len(chain) == 0 {
		return
	}
	key := chain[min(homeDepth, len(chain)-1)]
	var homes [prefixHomes]*backend.ReplicaState
	var weights [prefixHomes]uint64
	for _, state := range pool.States {
		weight := rendezvous.WeightHashed(state.IDHash, key)
		if weight <= weights[prefixHomes-1] || filter.Check(state, question.Request, &question.Context) != filter.None {
			continue
		}
		position := prefixHomes - 1
		for position > 0 && weights[position-1] < weight {
			homes[position], weights[position] = homes[position-1], weights[position-1]
			position--
		}
		homes[position], weights[position] = state, weight
	}
	for _, home := range homes {
		if home != nil {
			p.admit(home, question)
		}
	}
}

// admitSample adds random replicas. If none of a full sample may serve, the
// rest of the pool is tried in order, so that a usable replica is found
// whenever there is one.
func (p *Pipeline) admitSample(pool *backend.Pool, question *Query) {
	for range p.SampleSize {
		p.admit(pool.States[p.Random.IntN(len(pool.States))], question)
	}
	if len(p.candidates) > 0 {
		return
	}
	for _, state := range pool.States {
		if p.admit(state, question) && len(p.candidates) >= p.SampleSize {
			return
		}
	}
}
