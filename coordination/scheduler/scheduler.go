package scheduler

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/coordination/routing"
	"github.com/thornwalk/thornwalk/coordination/routing/reserve"
	"github.com/thornwalk/thornwalk/coordination/routing/score"
	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/state/length"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/state/queue"
	"github.com/thornwalk/thornwalk/structs"
)

// NoRank is a rank below every tier.
const NoRank structs.Rank = 1 << 20

// Floor is what the zone agreed for one service; see package shedding.
type Floor struct {
	// RefuseFrom is the first rank that is refused on arrival.
	RefuseFrom structs.Rank `msgpack:"r" json:"refuse_from"`
	// ShedFrom is the first rank that may be refused for load.
	ShedFrom structs.Rank `msgpack:"s" json:"shed_from"`
}

// Options are the settings of a scheduler. Zero values take the defaults.
type Options struct {
	Zone string
	// LowestRank is the greatest rank of any tier; it may always be shed.
	LowestRank structs.Rank
	// HoldAhead is the work that may wait inside an engine.
	HoldAhead time.Duration
	// HoldShift is how often the limit is doubled for the highest tier.
	HoldShift int
	// AgingLimit is passed to the queues.
	AgingLimit time.Duration
	// QueueLimit bounds the waiting requests of one tier and pool.
	QueueLimit int
	// SampleSize is passed to the pipeline.
	SampleSize int
	// FloorDemandTTL is how long a demand for the floor stands without renewal.
	FloorDemandTTL time.Duration
	// LengthPercentile is the share of answers that a prediction covers.
	LengthPercentile float64
	// Slack is the share of the waiting time that the queue may use up.
	Slack float64
	// Patience is the share of the waiting time for which a request waits for a
	// replica that caches its prompt while others have room.
	Patience float64
	// Weights are the factors of the score.
	Weights score.Weights
	// PrefixCapacity bounds the prefix view, in blocks.
	PrefixCapacity int
	// Prefixes and Lengths replace the views that the scheduler would make; the
	// emulator's oracle does so.
	Prefixes prefix.Index
	Lengths  length.Estimator
	// Hold is false to hand work to engines at once; for experiments.
	Hold bool
	// RefuseEarly is false to keep late work; for experiments.
	RefuseEarly bool
}

// Defaults of the options, chosen in the emulator; see docs/decisions.
const (
	defaultHoldAhead        = 60 * time.Millisecond
	defaultHoldShift        = 4
	defaultAgingLimit       = 5 * time.Second
	defaultQueueLimit       = 2000
	defaultSampleSize       = 8
	defaultFloorHold        = time.Second
	defaultLengthPercentile = 0.6
	defaultSlack            = 0.6
	defaultPatience         = 0.4
	defaultPrefixCapacity   = 40000
	lengthKeys              = 4096
	// initialMeanWork and initialWork serve until answers were observed.
	initialMeanWork = time.Second
	initialWork     = 50 * time.Millisecond
)

// DefaultOptions returns the options of a node in the zone.
func DefaultOptions(zone string, lowestRank structs.Rank) Options {
	return Options{
		Zone: zone, LowestRank: lowestRank,
		HoldAhead: defaultHoldAhead, HoldShift: defaultHoldShift, AgingLimit: defaultAgingLimit, QueueLimit: defaultQueueLimit,
		SampleSize: defaultSampleSize, FloorDemandTTL: defaultFloorHold,
		LengthPercentile: defaultLengthPercentile,
		Slack:            defaultSlack, Patience: defaultPatience,
		Weights: score.DefaultWeights, PrefixCapacity: defaultPrefixCapacity,
		Hold: true, RefuseEarly: true,
	}
}

// poolKey names the requests that compete for the same replicas.
type poolKey struct{ service, model, adapter string }

// pool is the waiting requests of one key.
type pool struct {
	key      poolKey
	queue    *queue.Queue
	excluded map[string][]structs.ReplicaID
	// held is true while the head waits for room.
	held bool
	// measured is the work a second started while held, averaged.
	measured    float64
	startedWork time.Duration
	measuredAt  structs.Instant
	sweptAt     structs.Instant
}

// service is what is kept per service.
type service struct {
	floor    Floor
	hasFloor bool
	demand   structs.Rank
	demandAt structs.Instant
	meanWork time.Duration
	capacity capacity
}

// Scheduler is the decision core of one node.
type Scheduler struct {
	options  Options
	view     *backend.Table
	prefixes prefix.Index
	ledger   *reserve.Ledger
	lengths  length.Estimator
	pipeline routing.Pipeline
	pools    map[poolKey]*pool
	order    []*pool
	services map[string]*service
	waiting  map[string]*pool
	liveNode int
	overflow func(service string) []string
}

// New returns a scheduler that draws its samples from random.
func New(options Options, random *rand.Rand) *Scheduler {
	view := backend.NewTable()
	prefixes := options.Prefixes
	if prefixes == nil {
		prefixes = prefix.NewLRUIndex(options.PrefixCapacity)
	}
	lengths := options.Lengths
	if lengths == nil {
		lengths = length.NewPredictor(lengthKeys)
	}
	return &Scheduler{
		options: options, view: view, prefixes: prefixes,
		ledger:  reserve.NewLedger(view, prefixes),
		lengths: lengths,
		pipeline: routing.Pipeline{
			View: view, Prefixes: prefixes, Weights: options.Weights,
			SampleSize: options.SampleSize, Random: random,
		},
		pools: map[poolKey]*pool{}, services: map[string]*service{}, waiting: map[string]*pool{},
		liveNode: 1,
		overflow: func(string) []string { return nil },
	}
}

// SetOptions takes changed settings into force. Queued requests stay queued.
func (s *Scheduler) SetOptions(options Options) {
	options.Weights = s.options.Weights
	options.PrefixCapacity = s.options.PrefixCapacity
	s.options = options
	s.pipeline.SampleSize = options.SampleSize
}

// SetLiveNodes tells how many nodes of the zone share its replicas.
func (s *Scheduler) SetLiveNodes(count int) { s.liveNode = max(1, count) }

// SetOverflow sets the function that names the zones which may take overflow
// of a service now, nearest first.
func (s *Scheduler) SetOverflow(overflow func(service string) []string) { s.overflow = overflow }

// View returns the view of the replicas; the driver keeps it up to date.
func (s *Scheduler) View() *backend.Table { return s.view }

// Prefixes returns the view of the prefix caches.
func (s *Scheduler) Prefixes() prefix.Index { return s.prefixes }

// InFlight returns the number of requests dispatched and not ended.
func (s *Scheduler) InFlight() int { return s.ledger.Len() }

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// WaitingByRank returns the number of queued requests of the service and rank.
func (s *Scheduler) WaitingByRank(name string, rank structs.Rank) int {
	count := 0
	for _, p := range s.order {
		if p.key.service == name {
			count += p.queue.TierLen(rank)
		}
	}
	return count
}

func (s *Scheduler) service(name string) *service {
	entry, found := s.services[name]
	if !found {
		entry = &service{meanWork: initialMeanWork, demand: NoRank}
		s.services[name] = entry
	}
	return entry
}

func (s *Scheduler) pool(request *structs.Request) *pool {
	key := poolKey{request.Service, request.Model, request.Adapter}
	entry, found := s.pools[key]
	if found {
		return entry
	}
	entry = &pool{key: key, queue: queue.New(), excluded: map[string][]structs.ReplicaID{}}
	s.pools[key] = entry
	s.order = append(s.order, entry)
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].key.less(s.order[j].key) })
	return entry
}

func (k poolKey) less(other poolKey) bool {
	if k.service != other.service {
		return k.service < other.service
	}
	if k.model != other.model {
		return k.model < other.model
	}
	return k.adapter < other.adapter
}

// Cancel takes a waiting request out. It returns false if the request does not
// wait, which means that it was planned already or never submitted.
func (s *Scheduler) Cancel(id string) bool {
	p, found := s.waiting[id]
	if !found {
		return false
	}
	s.remove(p, id)
	return true
}

func (s *Scheduler) remove(p *pool, id string) {
	p.queue.Remove(id)
	delete(p.excluded, id)
	delete(s.waiting, id)
}

// FirstToken records the first token of an answer.
func (s *Scheduler) FirstToken(now structs.Instant, id string) { s.ledger.FirstToken(now, id) }

// Finish ends a dispatched request, whatever its end.
func (s *Scheduler) Finish(now structs.Instant, id string, result reserve.Result) {
	reservation, found := s.ledger.Release(now, id, result)
	if !found || !result.Complete {
		return
	}
	s.lengths.Observe(reservation.Request, result.OutputTokens)
	entry := s.service(reservation.Request.Service)
	const meanGain = 0.05
	entry.meanWork += time.Duration(meanGain * float64(now-reservation.At-entry.meanWork))
}

// Requeue puts a planned request back after its connection failed before any
// byte was sent; the replica is excluded for it. It returns a refusal if the
// request cannot wait any more.
func (s *Scheduler) Requeue(now structs.Instant, id string) (structs.Plan, bool) {
	reservation, found := s.ledger.Release(now, id, reserve.Result{})
	if !found {
		return structs.Plan{}, false
	}
	request := reservation.Request
	if now >= request.Deadline {
		return refusal(request, structs.ReasonExpired, 0), true
	}
	p := s.pool(request)
	p.excluded[id] = append(p.excluded[id], reservation.Replica)
	p.queue.Push(request, s.work(request))
	s.waiting[id] = p
	return structs.Plan{}, false
}

// Drain refuses every waiting request, such as at the end of a planned stop.
func (s *Scheduler) Drain(reason structs.Reason) []structs.Plan {
	var plans []structs.Plan
	for _, p := range s.order {
		for _, request := range p.queue.All() {
			s.remove(p, request.ID)
			plans = append(plans, refusal(request, reason, s.options.FloorDemandTTL))
		}
	}
	return plans
}

func refusal(request *structs.Request, reason structs.Reason, retryAfter time.Duration) structs.Plan {
	return structs.Plan{Request: request, Verdict: structs.VerdictRefuse, Reason: reason, RetryAfter: retryAfter, Chosen: -1}
}
