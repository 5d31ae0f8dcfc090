package scheduler

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/routing"
	"github.com/thornwalk/thornwalk/coordination/routing/filter"
	"github.com/thornwalk/thornwalk/coordination/routing/score"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// sweepInterval is the time between scans of the whole queue for requests
	// that will be late.
	sweepInterval     = 50 * time.Millisecond
	startRateInterval = 200 * time.Millisecond
	// maxScannedRequests bounds the requests that one Schedule call considers in
	// a pool.
	maxScannedRequests = 48
	// minCacheGainTokens is the number of additional cached tokens from which a
	// request stays queued for the replica that has them.
	minCacheGainTokens = 2 * structs.BlockTokens
	// startRateGain is the weight of a new measurement in the moving average.
	startRateGain = 0.3
	// maxSuspensionWait is how long after its arrival a request stays queued for
	// suspended replicas if no other replica is usable.
	maxSuspensionWait = time.Second
	// maxPlanCandidates bounds the best candidates kept in a plan; the chosen one
	// is always kept.
	maxPlanCandidates = 5
)

// Schedule returns the dispatches and rejections that are due. Dispatched
// requests are already reserved at their replicas; the caller carries the plans
// out and reports the results with Finish or Requeue.
func (s *Scheduler) Schedule(now structs.Instant) []structs.Plan {
	var plans []structs.Plan
	for _, p := range s.sortedPools {
		if p.queue.Len() == 0 {
			p.backlogged = false
			continue
		}
		s.refreshCapacity(now, p.key.service)
		plans = s.sweep(now, p, plans)
		plans = s.schedulePool(now, p, plans)
		p.updateStartRate(now)
	}
	return plans
}

// schedulePool plans the pool's requests in queue order. A request that stays
// queued for a replica that caches its prompt does not block those behind it.
func (s *Scheduler) schedulePool(now structs.Instant, p *pool, plans []structs.Plan) []structs.Plan {
	p.backlogged = false
	items := p.queue.NextItems(now, s.options.AgingLimit, maxScannedRequests)
	if len(items) == 0 {
		return plans
	}
	canPlan := s.hasCapacity(now, p, items[0].Request.Rank)
	for _, item := range items {
		if !canPlan {
			p.backlogged = true
			return plans
		}
		rank := item.Request.Rank
		plan, decided := s.planRequest(now, p, item.Request)
		if !decided {
			p.backlogged = true
			continue
		}
		if plan.Verdict == structs.VerdictReject {
			s.dequeue(p, item.Request.ID)
		} else {
			s.dispatch(p, item.Request.ID)
		}
		if plan.Verdict == structs.VerdictDispatch {
			p.startedWork += item.Work
			s.reservations.Add(now, item.Request, plan.Candidates[plan.Chosen])
			canPlan = s.hasCapacity(now, p, rank)
		}
		plans = append(plans, plan)
	}
	return plans
}

// hasCapacity reports whether planning can have a result: a replica has
// capacity for the rank, overflow is allowed, or no replica is usable, in which
// case requests may have to be rejected.
func (s *Scheduler) hasCapacity(now structs.Instant, p *pool, rank structs.Rank) bool {
	if !s.options.LimitEngineQueue || len(s.overflowZones(p.key.service)) > 0 {
		return true
	}
	usable := false
	anyRequest := structs.Request{}
	context := filter.Context{Now: now, Zones: []string{s.options.Zone}}
	meanSlotTime := s.serviceState(p.key.service).meanSlotTime
	for _, state := range s.view.Pool(p.key.service).States {
		if filter.Check(state, &anyRequest, &context) != filter.None {
			continue
		}
		usable = true
		if score.PredictWait(s.view, state, now, meanSlotTime) <= s.maxEngineWait(rank) {
			return true
		}
	}
	return !usable
}

// planRequest returns a plan, or false if the request stays queued.
func (s *Scheduler) planRequest(now structs.Instant, p *pool, request *structs.Request) (structs.Plan, bool) {
	if now >= request.Deadline {
		return rejection(request, structs.ReasonExpired, 0), true
	}
	query := routing.Query{
		Request:      request,
		OutputTokens: s.lengths.Percentile(request, s.options.OutputLengthPercentile),
		MeanSlotTime: s.serviceState(request.Service).meanSlotTime,
		Context:      filter.Context{Now: now, Zones: []string{s.options.Zone}, Excluded: p.excluded[request.ID]},
	}
	choice := s.pipeline.Choose(&query)
	if index, found := s.firstFeasible(now, request, choice); found {
		if s.shouldWaitForCache(now, request, choice, index) {
			return structs.Plan{}, false
		}
		return newDispatchPlan(s, request, choice, index), true
	}
	if plan, found := s.planOverflow(&query); found {
		return plan, true
	}
	if !choice.Found {
		return s.rejectUnlessSuspended(now, p, request)
	}
	return s.planLate(now, request, choice)
}

// firstFeasible returns the index of the best candidate that would start the
// request within maxEngineWait and complete it before the deadline.
func (s *Scheduler) firstFeasible(now structs.Instant, request *structs.Request, choice routing.Choice) (int, bool) {
	for i := range choice.Candidates {
		candidate := &choice.Candidates[i]
		if s.options.LimitEngineQueue && candidate.Wait > s.maxEngineWait(request.Rank) {
			continue
		}
		if s.options.RejectEarly && now+candidate.Completion > request.Deadline {
			continue
		}
		return i, true
	}
	return 0, false
}

// shouldWaitForCache reports whether the request should stay queued for a
// candidate that caches more of its prompt than the one at index. Repeated
// prefill delays every request of the batch; waiting delays only this one.
func (s *Scheduler) shouldWaitForCache(now structs.Instant, request *structs.Request, choice routing.Choice, index int) bool {
	if !s.options.LimitEngineQueue {
		return false
	}
	mostCached := index
	for i := range choice.Candidates {
		if choice.Candidates[i].CachedTokens > choice.Candidates[mostCached].CachedTokens {
			mostCached = i
		}
	}
	gainTokens := choice.Candidates[mostCached].CachedTokens - choice.Candidates[index].CachedTokens
	if gainTokens < minCacheGainTokens {
		return false
	}
	maxWait := time.Duration(s.options.MaxCacheWaitFraction * float64(request.Deadline-request.Arrived))
	return now-request.Arrived+choice.Candidates[mostCached].Wait < maxWait && now+choice.Candidates[mostCached].Completion <= request.Deadline
}

// planOverflow dispatches the request to a zone that accepts overflow, if a
// replica there has capacity.
func (s *Scheduler) planOverflow(query *routing.Query) (structs.Plan, bool) {
	for _, zone := range s.overflowZones(query.Request.Service) {
		query.Context.Zones = []string{zone}
		choice := s.pipeline.Choose(query)
		if index, found := s.firstFeasible(query.Context.Now, query.Request, choice); found {
			return newDispatchPlan(s, query.Request, choice, index), true
		}
	}
	query.Context.Zones = []string{s.options.Zone}
	return structs.Plan{}, false
}

// rejectUnlessSuspended is called when no replica is usable. It rejects the
// request, unless a replica is only suspended and may return within
// maxSuspensionWait.
func (s *Scheduler) rejectUnlessSuspended(now structs.Instant, p *pool, request *structs.Request) (structs.Plan, bool) {
	waited := now - request.Arrived
	if waited < maxSuspensionWait {
		for _, state := range s.view.Pool(request.Service).States {
			context := filter.Context{Now: now, Zones: []string{s.options.Zone}, Excluded: p.excluded[request.ID]}
			if filter.Check(state, request, &context) == filter.Suspended {
				return structs.Plan{}, false
			}
		}
	}
	return rejection(request, structs.ReasonNoReplica, s.options.FloorDemandTTL), true
}

// planLate is called when no candidate has capacity to complete the request in
// time. The request stays queued if the best candidate may still be in time.
func (s *Scheduler) planLate(now structs.Instant, request *structs.Request, choice routing.Choice) (structs.Plan, bool) {
	if !s.options.RejectEarly || now+choice.Best.Completion <= request.Deadline {
		return structs.Plan{}, false
	}
	if request.Arrived+choice.IdleCompletion > request.Deadline {
		return rejection(request, structs.ReasonDeadline, 0), true
	}
	if s.canShed(request) {
		return rejection(request, structs.ReasonShed, s.options.FloorDemandTTL), true
	}
	// The request is late because of its own length and the engines' speed, not
	// because of lower tiers, so raising the floor would not help.
	if index, found := s.fastestWithCapacity(request, choice); found {
		return newDispatchPlan(s, request, choice, index), true
	}
	return structs.Plan{}, false
}

// fastestWithCapacity returns the index of the candidate with capacity that
// completes first, even if after the deadline.
func (s *Scheduler) fastestWithCapacity(request *structs.Request, choice routing.Choice) (int, bool) {
	best, found := 0, false
	for i := range choice.Candidates {
		if choice.Candidates[i].Wait > s.maxEngineWait(request.Rank) {
			continue
		}
		if !found || choice.Candidates[i].Completion < choice.Candidates[best].Completion {
			best, found = i, true
		}
	}
	return best, found
}

func newDispatchPlan(s *Scheduler, request *structs.Request, choice routing.Choice, index int) structs.Plan {
	kept := min(maxPlanCandidates, len(choice.Candidates))
	plan := structs.Plan{Request: request, Verdict: structs.VerdictDispatch, Chosen: index}
	plan.Candidates = append(make([]structs.Candidate, 0, kept+1), choice.Candidates[:kept]...)
	if index >= kept {
		plan.Candidates = append(plan.Candidates, choice.Candidates[index])
		plan.Chosen = kept
	}
	if state, found := s.view.Get(choice.Candidates[index].Replica); found {
		plan.Replica = state.Replica
	}
	return plan
}

// sweep rejects queued requests that are past their deadline. In a backlogged
// pool it also sheds the most expensive requests of tiers that cannot complete
// all requests in time.
func (s *Scheduler) sweep(now structs.Instant, p *pool, plans []structs.Plan) []structs.Plan {
	if now-p.sweptAt < sweepInterval {
		return plans
	}
	p.sweptAt = now
	rate := s.startRate(p)
	var ahead time.Duration
	for _, rank := range p.queue.Ranks() {
		items := p.queue.ByDeadline(rank)
		for len(items) > 0 && now >= items[0].Request.Deadline {
			plans = s.rejectQueued(p, items[0].Request, structs.ReasonExpired, plans)
			items = items[1:]
		}
		if !p.backlogged || !s.options.RejectEarly || rate <= 0 {
			continue
		}
		for _, item := range selectToShed(now, items, ahead, rate, s.completionTimePredictor(p.key.service), s.options.MaxQueueWaitFraction) {
			if s.requestShed(now, item.Request) {
				plans = s.rejectQueued(p, item.Request, structs.ReasonShed, plans)
			}
		}
		ahead = p.queue.WorkAhead(rank)
	}
	return plans
}

func (s *Scheduler) rejectQueued(p *pool, request *structs.Request, reason structs.Reason, plans []structs.Plan) []structs.Plan {
	s.dequeue(p, request.ID)
	return append(plans, rejection(request, reason, s.options.FloorDemandTTL))
}

// completionTimePredictor returns a function that predicts the time from start
// to answer. It assumes the fastest engine, since a rejection is final.
func (s *Scheduler) completionTimePredictor(service string) func(*structs.Request) time.Duration {
	serviceCapacity := s.serviceState(service).capacity
	return func(request *structs.Request) time.Duration {
		return time.Duration(s.lengths.Percentile(request, s.options.OutputLengthPercentile)) * serviceCapacity.minStepTime
	}
}

// updateStartRate adds the work started since the last measurement to the
// moving average, if the pool is backlogged.
func (p *pool) updateStartRate(now structs.Instant) {
	elapsed := now - p.startRateMeasuredAt
	if elapsed < startRateInterval {
		return
	}
	rate := p.startedWork.Seconds() / elapsed.Seconds()
	if p.backlogged {
		p.measuredStartRate += startRateGain * (rate - p.measuredStartRate)
	}
	p.startedWork = 0
	p.startRateMeasuredAt = now
}
