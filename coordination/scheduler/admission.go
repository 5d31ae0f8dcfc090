package scheduler

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/routing/filter"
	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/structs"
)

// capacity sums the replicas of a service that this node may use.
type capacity struct {
	engines     float64
	slots       float64
	prefillRate float64
	stepTime    time.Duration
	// fastestStep is the step time of the fastest engine.
	fastestStep time.Duration
	at          structs.Instant
	known       bool
}

// capacityInterval is how long the sums are used before they are made anew.
const capacityInterval = 100 * time.Millisecond

// hardQueueFactor bounds a tier that may not be shed yet: its queue may grow
// to this multiple of the limit while the floor is being raised.
const hardQueueFactor = 4

// Submit admits a request to the queue. It returns a refusal and true if the
// request is refused at once; otherwise Schedule will plan it.
func (s *Scheduler) Submit(now structs.Instant, request *structs.Request) (structs.Plan, bool) {
	if request.Rank >= s.Floor(request.Service).RefuseFrom {
		return refusal(request, structs.ReasonFloor, s.options.FloorDemandTTL), true
	}
	p := s.pool(request)
	s.refreshCapacity(now, request.Service)
	if waiting := p.queue.TierLen(request.Rank); waiting >= s.options.QueueLimit {
		if s.mayShed(now, request) || waiting >= hardQueueFactor*s.options.QueueLimit {
			return refusal(request, structs.ReasonQueueFull, s.queueWait(p, request.Rank)), true
		}
	}
	work := s.work(request)
	p.queue.Push(request, work)
	s.waiting[request.ID] = p
	return structs.Plan{}, false
}

// queueWait predicts how long a new request of the rank would wait: the work
// ahead over the rate at which this node starts work.
func (s *Scheduler) queueWait(p *pool, rank structs.Rank) time.Duration {
	rate := s.startRate(p)
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(p.queue.WorkAhead(rank)) / rate)
}

// startRate is the engine time that this node can start in a second: what it
// did while requests waited, and at least its equal share of the engines.
func (s *Scheduler) startRate(p *pool) float64 {
	return max(p.measured, s.service(p.key.service).capacity.engines/float64(s.liveNode))
}

// work estimates the engine time that the request takes: prefill of what is
// not cached anywhere, and its share of the steps that decode its answer.
func (s *Scheduler) work(request *structs.Request) time.Duration {
	sums := s.service(request.Service).capacity
	if !sums.known {
		return initialWork
	}
	output := float64(s.lengths.Percentile(request, s.options.LengthPercentile))
	work := time.Duration(output * float64(sums.stepTime) * sums.engines / sums.slots)
	if sums.prefillRate > 0 {
		work += time.Duration(float64(s.uncached(request)) / sums.prefillRate * float64(time.Second))
	}
	return max(work, time.Microsecond)
}

func (s *Scheduler) uncached(request *structs.Request) int {
	cached := 0
	for _, holder := range s.prefixes.Holders(request.Prefix) {
		cached = max(cached, s.prefixes.CachedTokens(holder, request.Prefix))
	}
	return max(0, request.PromptTokens-cached)
}

// refreshCapacity sums slots and averages speeds, weighted by slots.
func (s *Scheduler) refreshCapacity(now structs.Instant, name string) {
	entry := s.service(name)
	if entry.capacity.known && now-entry.capacity.at < capacityInterval {
		return
	}
	sums := capacity{at: now}
	var stepSum, prefillSum float64
	for _, state := range s.view.Pool(name).States {
		if !s.countable(now, state) {
			continue
		}
		speed := s.view.Speed(state)
		slots := float64(state.Report.Slots)
		sums.engines++
		sums.slots += slots
		if sums.fastestStep == 0 || speed.StepTime < sums.fastestStep {
			sums.fastestStep = speed.StepTime
		}
		stepSum += slots * float64(speed.StepTime)
		prefillSum += slots * speed.PrefillRate
	}
	if sums.slots > 0 {
		sums.stepTime = time.Duration(stepSum / sums.slots)
		sums.prefillRate = prefillSum / sums.slots
		sums.known = true
	}
	entry.capacity = sums
}

func (s *Scheduler) countable(now structs.Instant, state *backend.ReplicaState) bool {
	context := filter.Context{Now: now, Zones: []string{s.options.Zone}}
	anything := structs.Request{}
	return state.HasReport && filter.Check(state, &anything, &context) == filter.None
}

// holdAhead is the work that may wait inside an engine for a request of the
// rank. Engines take waiting requests by priority, so that the highest tier
// loses nothing there and is at hand when a slot becomes free.
func (s *Scheduler) holdAhead(rank structs.Rank) time.Duration {
	if rank == 0 && s.options.LowestRank > 0 {
		return s.options.HoldAhead << s.options.HoldShift
	}
	return s.options.HoldAhead
}
