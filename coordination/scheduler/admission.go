package scheduler

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/routing/filter"
	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/structs"
)

// capacity is the total capacity and mean speed of the replicas of a service
// that this node may use.
type capacity struct {
	engines float64
	slots   float64
	// meanPrefillRate is in tokens per second; the means are weighted by slots.
	meanPrefillRate float64
	meanStepTime    time.Duration
	minStepTime     time.Duration
	computedAt      structs.Instant
	known           bool
}

const capacityRefreshInterval = 100 * time.Millisecond

// maxQueueFactor is the multiple of QueueLimit to which the queue of a tier
// that may not be shed yet may grow while the floor is being raised.
const maxQueueFactor = 4

// Submit queues a request. It returns a rejection and true if the request is
// rejected at once; otherwise a later Schedule call returns its plan.
func (s *Scheduler) Submit(now structs.Instant, request *structs.Request) (structs.Plan, bool) {
	if request.Rank >= s.Floor(request.Service).RefuseFrom {
		return rejection(request, structs.ReasonFloor, s.options.FloorDemandTTL), true
	}
	p := s.poolFor(request)
	s.refreshCapacity(now, request.Service)
	if queued := p.queue.TierLen(request.Rank); queued >= s.options.QueueLimit {
		if s.requestShed(now, request) || queued >= maxQueueFactor*s.options.QueueLimit {
			return rejection(request, structs.ReasonQueueFull, s.estimateQueueWait(p, request.Rank)), true
		}
	}
	work := s.estimateWork(request)
	p.queue.Push(request, work)
	s.poolByRequest[request.ID] = p
	return structs.Plan{}, false
}

// estimateQueueWait predicts how long a new request of the rank would stay
// queued: the engine time ahead of it over the start rate.
func (s *Scheduler) estimateQueueWait(p *pool, rank structs.Rank) time.Duration {
	rate := s.startRate(p)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(p.queue.WorkAhead(rank)) / rate)
}

// startRate returns the engine time that this node can dispatch per second:
// the measured rate, and at least its equal share of the engines.
func (s *Scheduler) startRate(p *pool) float64 {
	return max(p.measuredStartRate, s.serviceState(p.key.service).capacity.engines/float64(s.liveNodes))
}

// estimateWork predicts the engine time that the request takes: the prefill of
// tokens that no replica caches, and its share of the decoding steps.
func (s *Scheduler) estimateWork(request *structs.Request) time.Duration {
	serviceCapacity := s.serviceState(request.Service).capacity
	if !serviceCapacity.known {
		return initialWorkEstimate
	}
	output := float64(s.lengths.Percentile(request, s.options.OutputLengthPercentile))
	work := time.Duration(output * float64(serviceCapacity.meanStepTime) * serviceCapacity.engines / serviceCapacity.slots)
	if serviceCapacity.meanPrefillRate > 0 {
		work += time.Duration(float64(s.uncachedTokens(request)) / serviceCapacity.meanPrefillRate * float64(time.Second))
	}
	return max(work, time.Microsecond)
}

// uncachedTokens returns the prompt tokens that no replica caches.
func (s *Scheduler) uncachedTokens(request *structs.Request) int {
	cached := 0
	for _, holder := range s.prefixes.Holders(request.Prefix) {
		cached = max(cached, s.prefixes.CachedTokens(holder, request.Prefix))
	}
	return max(0, request.PromptTokens-cached)
}

// refreshCapacity recomputes the capacity of the service if it is stale.
func (s *Scheduler) refreshCapacity(now structs.Instant, service string) {
	entry := s.serviceState(service)
	if entry.capacity.known && now-entry.capacity.computedAt < capacityRefreshInterval {
		return
	}
	total := capacity{computedAt: now}
	var stepSum, prefillSum float64
	for _, state := range s.view.Pool(service).States {
		if !s.isUsable(now, state) {
			continue
		}
		speed := s.view.Speed(state)
		slots := float64(state.Report.Slots)
		total.engines++
		total.slots += slots
		if total.minStepTime == 0 || speed.StepTime < total.minStepTime {
			total.minStepTime = speed.StepTime
		}
		stepSum += slots * float64(speed.StepTime)
		prefillSum += slots * speed.PrefillRate
	}
	if total.slots > 0 {
		total.meanStepTime = time.Duration(stepSum / total.slots)
		total.meanPrefillRate = prefillSum / total.slots
		total.known = true
	}
	entry.capacity = total
}

func (s *Scheduler) isUsable(now structs.Instant, state *backend.ReplicaState) bool {
	context := filter.Context{Now: now, Zones: []string{s.options.Zone}}
	anyRequest := structs.Request{}
	return state.HasReport && filter.Check(state, &anyRequest, &context) == filter.None
}

// maxEngineWait returns the longest predicted wait inside a replica at which a
// request of the rank is dispatched to it. Engines start requests by priority,
// so the highest tier may queue there for longer without being overtaken.
func (s *Scheduler) maxEngineWait(rank structs.Rank) time.Duration {
	if rank == 0 && s.options.LowestRank > 0 {
		return s.options.HoldAhead << s.options.TopTierHoldShift
	}
	return s.options.HoldAhead
}
