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

// Floor is the shed floor that the nodes of the zone agreed on for one
// service; see package shedding.
type Floor struct {
	// RefuseFrom is the first rank that is rejected on arrival.
	RefuseFrom structs.Rank `msgpack:"r" json:"refuse_from"`
	// ShedFrom is the first rank that may be rejected for load.
	ShedFrom structs.Rank `msgpack:"s" json:"shed_from"`
}

// Options are the settings of a scheduler. New does not replace zero values;
// start from DefaultOptions.
type Options struct {
	Zone string
	// LowestRank is the greatest rank of any tier; it may always be shed.
	LowestRank structs.Rank
	// HoldAhead is the longest predicted wait inside a replica at which a
	// request is still dispatched to it.
	HoldAhead time.Duration
	// TopTierHoldShift is how many times HoldAhead is doubled for rank zero.
	TopTierHoldShift int
	// AgingLimit is passed to the queues.
	AgingLimit time.Duration
	// QueueLimit bounds the queued requests of one tier and pool.
	QueueLimit int
	// SampleSize is passed to the pipeline.
	SampleSize int
	// FloorDemandTTL is how long a demand for the floor is valid without
	// renewal. Rejections for load carry it as the time to retry after.
	FloorDemandTTL time.Duration
	// OutputLengthPercentile is the percentile, 0 to 1, of the output lengths
	// seen that is used as the predicted length.
	OutputLengthPercentile float64
	// MaxQueueWaitFraction is the fraction of a request's time from arrival to
	// deadline that queueing and execution together may take before its tier
	// sheds requests.
	MaxQueueWaitFraction float64
	// MaxCacheWaitFraction is the fraction of a request's time from arrival to
	// deadline that it may stay queued for a replica that caches its prompt
	// while other replicas have capacity.
	MaxCacheWaitFraction float64
	Weights              score.Weights
	// PrefixCapacityBlocks bounds the prefix index.
	PrefixCapacityBlocks int
	// Prefixes and Lengths replace the scheduler's own prefix index and length
	// estimator. Nil selects the scheduler's own.
	Prefixes prefix.Index
	Lengths  length.Estimator
	// LimitEngineQueue keeps requests queued at this node until a replica would
	// start them within HoldAhead. False dispatches them at once; for experiments.
	LimitEngineQueue bool
	// RejectEarly rejects requests as soon as they are predicted to miss their
	// deadline. False keeps them until the deadline; for experiments.
	RejectEarly bool
}

const (
	defaultHoldAhead              = 60 * time.Millisecond
	defaultTopTierHoldShift       = 4
	defaultAgingLimit             = 5 * time.Second
	defaultQueueLimit             = 2000
	defaultSampleSize             = 8
	defaultFloorDemandTTL         = time.Second
	defaultOutputLengthPercentile = 0.6
	defaultMaxQueueWaitFraction   = 0.6
	defaultMaxCacheWaitFraction   = 0.4
	defaultPrefixCapacityBlocks   = 40000
	maxLengthKeys                 = 4096
	// initialMeanSlotTime is used until an answer has completed.
	initialMeanSlotTime = time.Second
	// initialWorkEstimate is used until a replica has reported its slots.
	initialWorkEstimate = 50 * time.Millisecond
)

// DefaultOptions returns the default options of a node in the zone.
func DefaultOptions(zone string, lowestRank structs.Rank) Options {
	return Options{
		Zone: zone, LowestRank: lowestRank,
		HoldAhead: defaultHoldAhead, TopTierHoldShift: defaultTopTierHoldShift, AgingLimit: defaultAgingLimit, QueueLimit: defaultQueueLimit,
		SampleSize: defaultSampleSize, FloorDemandTTL: defaultFloorDemandTTL,
		OutputLengthPercentile: defaultOutputLengthPercentile,
		MaxQueueWaitFraction:   defaultMaxQueueWaitFraction, MaxCacheWaitFraction: defaultMaxCacheWaitFraction,
		Weights: score.DefaultWeights, PrefixCapacityBlocks: defaultPrefixCapacityBlocks,
		LimitEngineQueue: true, RejectEarly: true,
	}
}

// poolKey identifies requests that compete for the same replicas.
type poolKey struct{ service, model, adapter string }

// pool holds the queued requests of one key.
type pool struct {
	key   poolKey
	queue *queue.Queue
	// excluded lists by request id the replicas that failed to connect.
	excluded map[string][]structs.ReplicaID
	// backlogged is set if the last Schedule call left requests queued.
	backlogged bool
	// measuredStartRate is a moving average of the engine time dispatched per
	// second while the pool was backlogged.
	measuredStartRate float64
	// startedWork is the engine time dispatched since startRateMeasuredAt.
	startedWork         time.Duration
	startRateMeasuredAt structs.Instant
	sweptAt             structs.Instant
}

type serviceState struct {
	floor    Floor
	floorSet bool
	// demandedRank is the highest tier that needs shedding, or NoRank.
	demandedRank structs.Rank
	demandedAt   structs.Instant
	// meanSlotTime is the mean time that a request occupies a slot.
	meanSlotTime time.Duration
	capacity     capacity
}

// Scheduler queues the requests of one node and assigns them to replicas.
type Scheduler struct {
	options      Options
	view         *backend.Table
	prefixes     prefix.Index
	reservations *reserve.Reservations
	lengths      length.Estimator
	pipeline     routing.Pipeline
	pools        map[poolKey]*pool
	sortedPools  []*pool
	services     map[string]*serviceState
	// poolByRequest maps the id of each queued request to its pool.
	poolByRequest map[string]*pool
	liveNodes     int
	overflowZones func(service string) []string
}

// New returns a scheduler that samples replicas with random.
func New(options Options, random *rand.Rand) *Scheduler {
	view := backend.NewTable()
	prefixes := options.Prefixes
	if prefixes == nil {
		prefixes = prefix.NewLRUIndex(options.PrefixCapacityBlocks)
	}
	lengths := options.Lengths
	if lengths == nil {
		lengths = length.NewPredictor(maxLengthKeys)
	}
	return &Scheduler{
		options: options, view: view, prefixes: prefixes,
		reservations: reserve.NewReservations(view, prefixes),
		lengths:      lengths,
		pipeline: routing.Pipeline{
			View: view, Prefixes: prefixes, Weights: options.Weights,
			SampleSize: options.SampleSize, Random: random,
		},
		pools: map[poolKey]*pool{}, services: map[string]*serviceState{}, poolByRequest: map[string]*pool{},
		liveNodes:     1,
		overflowZones: func(string) []string { return nil },
	}
}

// SetOptions applies changed settings. Queued requests stay queued; the score
// weights, the prefix index and the length estimator stay as New set them.
func (s *Scheduler) SetOptions(options Options) {
	options.Weights = s.options.Weights
	options.PrefixCapacityBlocks = s.options.PrefixCapacityBlocks
	s.options = options
	s.pipeline.SampleSize = options.SampleSize
}

// SetLiveNodes sets the number of nodes that share the zone's replicas.
func (s *Scheduler) SetLiveNodes(count int) { s.liveNodes = max(1, count) }

// SetOverflow sets the function that returns the zones to which requests of a
// service may overflow, nearest first.
func (s *Scheduler) SetOverflow(zones func(service string) []string) {
	s.overflowZones = zones
}

// View returns the table of replicas, which the caller keeps up to date.
func (s *Scheduler) View() *backend.Table { return s.view }

// Prefixes returns the index of the replicas' prefix caches.
func (s *Scheduler) Prefixes() prefix.Index { return s.prefixes }

// InFlight returns the number of dispatched requests that have not ended.
func (s *Scheduler) InFlight() int { return s.reservations.Len() }

// QueuedCount returns the number of queued requests.
func (s *Scheduler) QueuedCount() int { return len(s.poolByRequest) }

// QueuedByRank returns the number of queued requests of the service and rank.
func (s *Scheduler) QueuedByRank(service string, rank structs.Rank) int {
	count := 0
	for _, p := range s.sortedPools {
		if p.key.service == service {
			count += p.queue.TierLen(rank)
		}
	}
	return count
}

func (s *Scheduler) serviceState(name string) *serviceState {
	entry, found := s.services[name]
	if !found {
		entry = &serviceState{meanSlotTime: initialMeanSlotTime, demandedRank: NoRank}
		s.services[name] = entry
	}
	return entry
}

func (s *Scheduler) poolFor(request *structs.Request) *pool {
	key := poolKey{request.Service, request.Model, request.Adapter}
	entry, found := s.pools[key]
	if found {
		return entry
	}
	entry = &pool{key: key, queue: queue.New(), excluded: map[string][]structs.ReplicaID{}}
	s.pools[key] = entry
	s.sortedPools = append(s.sortedPools, entry)
	sort.Slice(s.sortedPools, func(i, j int) bool { return s.sortedPools[i].key.less(s.sortedPools[j].key) })
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

// Cancel removes a queued request. It returns false if the request is not
// queued, because it was planned already or never submitted.
func (s *Scheduler) Cancel(id string) bool {
	p, found := s.poolByRequest[id]
	if !found {
		return false
	}
	s.dequeue(p, id)
	return true
}

// dequeue removes a queued request that does not start.
func (s *Scheduler) dequeue(p *pool, id string) {
	p.queue.Remove(id)
	s.forgetQueued(p, id)
}

// dispatch removes a queued request that starts now.
func (s *Scheduler) dispatch(p *pool, id string) {
	p.queue.Dispatch(id)
	s.forgetQueued(p, id)
}

func (s *Scheduler) forgetQueued(p *pool, id string) {
	delete(p.excluded, id)
	delete(s.poolByRequest, id)
}

// FirstToken records that the first token of an answer arrived.
func (s *Scheduler) FirstToken(now structs.Instant, id string) {
	s.reservations.RecordFirstToken(now, id)
}

// Finish ends a dispatched request, successful or not. Complete answers update
// the estimates of output length and slot time.
func (s *Scheduler) Finish(now structs.Instant, id string, result reserve.Result) {
	reservation, found := s.reservations.Release(now, id, result)
	if !found || !result.Complete {
		return
	}
	s.lengths.Observe(reservation.Request, result.OutputTokens)
	entry := s.serviceState(reservation.Request.Service)
	const slotTimeGain = 0.05
	entry.meanSlotTime += time.Duration(slotTimeGain * float64(now-reservation.ReservedAt-entry.meanSlotTime))
}

// Requeue queues a dispatched request again after its connection failed before
// any byte was sent. The replica is excluded for this request. It returns a
// rejection and true if the deadline has passed.
func (s *Scheduler) Requeue(now structs.Instant, id string) (structs.Plan, bool) {
	reservation, found := s.reservations.Release(now, id, reserve.Result{})
	if !found {
		return structs.Plan{}, false
	}
	request := reservation.Request
	if now >= request.Deadline {
		return rejection(request, structs.ReasonExpired, 0), true
	}
	p := s.poolFor(request)
	p.excluded[id] = append(p.excluded[id], reservation.Replica)
	p.queue.Push(request, s.estimateWork(request))
	s.poolByRequest[id] = p
	return structs.Plan{}, false
}

// Drain rejects every queued request with the reason.
func (s *Scheduler) Drain(reason structs.Reason) []structs.Plan {
	var plans []structs.Plan
	for _, p := range s.sortedPools {
		for _, request := range p.queue.All() {
			s.dequeue(p, request.ID)
			plans = append(plans, rejection(request, reason, s.options.FloorDemandTTL))
		}
	}
	return plans
}

func rejection(request *structs.Request, reason structs.Reason, retryAfter time.Duration) structs.Plan {
	return structs.Plan{Request: request, Verdict: structs.VerdictReject, Reason: reason, RetryAfter: retryAfter, Chosen: -1}
}
