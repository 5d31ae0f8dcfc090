package scheduler

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/routing"
	"github.com/thornwalk/thornwalk/coordination/routing/filter"
	"github.com/thornwalk/thornwalk/coordination/routing/score"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// sweepInterval is the time between looks at the whole queue for requests
	// that will be late.
	sweepInterval = 50 * time.Millisecond
	// measureInterval is the time over which the rate of starts is measured.
	measureInterval = 200 * time.Millisecond
	// scanLimit bounds the waiting requests that one Schedule call looks at in a pool.
	scanLimit = 48
	// leastLoss is the cached tokens below which no request waits for them.
	leastLoss = 2 * structs.BlockTokens
	// measureGain weighs a new measurement of the rate of starts.
	measureGain = 0.3
	// suspensionGrace is how long requests wait for replicas that all refuse
	// connections before they are refused.
	suspensionGrace = time.Second
	// loggedCandidates bounds the candidates kept in a plan.
	loggedCandidates = 5
)

// Schedule plans what can start or must be refused now. The driver carries the
// plans out; a dispatch is already reserved in the ledger.
func (s *Scheduler) Schedule(now structs.Instant) []structs.Plan {
	var plans []structs.Plan
	for _, p := range s.order {
		if p.queue.Len() == 0 {
			p.held = false
			continue
		}
		s.refreshCapacity(now, p.key.service)
		plans = s.sweep(now, p, plans)
		plans = s.pumpPool(now, p, plans)
		p.measure(now)
	}
	return plans
}

// pumpPool goes through the waiting requests in their order. A request that
// waits for the replica which caches its prompt does not keep those behind it
// from replicas that it passed over.
func (s *Scheduler) pumpPool(now structs.Instant, p *pool, plans []structs.Plan) []structs.Plan {
	p.held = false
	items := p.queue.Order(now, s.options.AgingLimit, scanLimit)
	if len(items) == 0 {
		return plans
	}
	room := s.anyRoom(now, p, items[0].Request.Rank)
	for _, item := range items {
		if !room {
			p.held = true
			return plans
		}
		rank := item.Request.Rank
		plan, decided := s.decide(now, p, item.Request)
		if !decided {
			p.held = true
			continue
		}
		s.remove(p, item.Request.ID)
		if plan.Verdict == structs.VerdictDispatch {
			p.startedWork += item.Work
			s.ledger.Add(now, item.Request, plan.Candidates[plan.Chosen])
			room = s.anyRoom(now, p, rank)
		}
		plans = append(plans, plan)
	}
	return plans
}

// anyRoom returns whether deciding could start anything: some replica has
// room for the rank, overflow is allowed, or no replica can be used at all.
func (s *Scheduler) anyRoom(now structs.Instant, p *pool, rank structs.Rank) bool {
	if !s.options.Hold || len(s.overflow(p.key.service)) > 0 {
		return true
	}
	usable := false
	anything := structs.Request{}
	context := filter.Context{Now: now, Zones: []string{s.options.Zone}}
	meanWork := s.service(p.key.service).meanWork
	for _, state := range s.view.Pool(p.key.service).States {
		if filter.Check(state, &anything, &context) != filter.None {
			continue
		}
		usable = true
		if score.Wait(s.view, state, now, meanWork) <= s.holdAhead(rank) {
			return true
		}
	}
	return !usable
}

// decide returns a plan, or false if the request has to wait.
func (s *Scheduler) decide(now structs.Instant, p *pool, request *structs.Request) (structs.Plan, bool) {
	if now >= request.Deadline {
		return refusal(request, structs.ReasonExpired, 0), true
	}
	question := routing.Query{
		Request:      request,
		OutputTokens: s.lengths.Percentile(request, s.options.LengthPercentile),
		MeanWork:     s.service(request.Service).meanWork,
		Context:      filter.Context{Now: now, Zones: []string{s.options.Zone}, Excluded: p.excluded[request.ID]},
	}
	choice := s.pipeline.Choose(&question)
	if index, found := s.room(now, request, choice); found {
		if s.worthWaiting(now, request, choice, index) {
			return structs.Plan{}, false
		}
		return dispatchPlan(s, request, choice, index), true
	}
	if plan, found := s.overflowPlan(&question); found {
		return plan, true
	}
	if !choice.Found {
		return s.noReplica(now, p, request)
	}
	return s.lateOrHold(now, request, choice)
}

// room returns the best candidate that would start the request soon and end it
// in time.
func (s *Scheduler) room(now structs.Instant, request *structs.Request, choice routing.Choice) (int, bool) {
	for i := range choice.Candidates {
		candidate := &choice.Candidates[i]
		if s.options.Hold && candidate.Wait > s.holdAhead(request.Rank) {
			continue
		}
		if s.options.RefuseEarly && now+candidate.Completion > request.Deadline {
			continue
		}
		return i, true
	}
	return 0, false
}

// worthWaiting returns whether the request should rather wait for a candidate
// that caches more of its prompt: prefill that was done before costs every
// request of the batch, while waiting costs only this one, and little.
func (s *Scheduler) worthWaiting(now structs.Instant, request *structs.Request, choice routing.Choice, index int) bool {
	if !s.options.Hold {
		return false
	}
	home := index
	for i := range choice.Candidates {
		if choice.Candidates[i].CachedTokens > choice.Candidates[home].CachedTokens {
			home = i
		}
	}
	lost := choice.Candidates[home].CachedTokens - choice.Candidates[index].CachedTokens
	if lost < leastLoss {
		return false
	}
	allowed := time.Duration(s.options.Patience * float64(request.Deadline-request.Arrived))
	return now-request.Arrived+choice.Candidates[home].Wait < allowed && now+choice.Candidates[home].Completion <= request.Deadline
}

// overflowPlan looks for room in the zones that may take overflow.
func (s *Scheduler) overflowPlan(question *routing.Query) (structs.Plan, bool) {
	for _, zone := range s.overflow(question.Request.Service) {
		question.Context.Zones = []string{zone}
		choice := s.pipeline.Choose(question)
		if index, found := s.room(question.Context.Now, question.Request, choice); found {
			return dispatchPlan(s, question.Request, choice, index), true
		}
	}
	question.Context.Zones = []string{s.options.Zone}
	return structs.Plan{}, false
}

// noReplica refuses the request, unless replicas are only suspended and may
// come back within the grace.
func (s *Scheduler) noReplica(now structs.Instant, p *pool, request *structs.Request) (structs.Plan, bool) {
	waited := now - request.Arrived
	if waited < suspensionGrace {
		for _, state := range s.view.Pool(request.Service).States {
			context := filter.Context{Now: now, Zones: []string{s.options.Zone}, Excluded: p.excluded[request.ID]}
			if filter.Check(state, request, &context) == filter.Suspended {
				return structs.Plan{}, false
			}
		}
	}
	return refusal(request, structs.ReasonNoReplica, s.options.FloorDemandTTL), true
}

// lateOrHold is reached when no candidate has room that ends in time.
func (s *Scheduler) lateOrHold(now structs.Instant, request *structs.Request, choice routing.Choice) (structs.Plan, bool) {
	if !s.options.RefuseEarly || now+choice.Best.Completion <= request.Deadline {
		return structs.Plan{}, false
	}
	if request.Arrived+choice.Idle > request.Deadline {
		return refusal(request, structs.ReasonDeadline, 0), true
	}
	if s.sheddable(request) {
		return refusal(request, structs.ReasonShed, s.options.FloorDemandTTL), true
	}
	// The lateness comes from this request's own length and the pace of the
	// engines, not from lower tiers, so that the floor would not help it.
	if index, found := s.anyPace(request, choice); found {
		return dispatchPlan(s, request, choice, index), true
	}
	return structs.Plan{}, false
}

// anyPace returns the fastest candidate with room.
func (s *Scheduler) anyPace(request *structs.Request, choice routing.Choice) (int, bool) {
	best, found := 0, false
	for i := range choice.Candidates {
		if choice.Candidates[i].Wait > s.holdAhead(request.Rank) {
			continue
		}
		if !found || choice.Candidates[i].Completion < choice.Candidates[best].Completion {
			best, found = i, true
		}
	}
	return best, found
}

func dispatchPlan(s *Scheduler, request *structs.Request, choice routing.Choice, index int) structs.Plan {
	kept := min(loggedCandidates, len(choice.Candidates))
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

// sweep refuses waiting requests that are past their deadline and, of each
// tier that cannot all be answered in time, the most expensive ones.
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
			plans = s.refuseWaiting(p, items[0].Request, structs.ReasonExpired, plans)
			items = items[1:]
		}
		if !p.held || !s.options.RefuseEarly || rate <= 0 {
			continue
		}
		for _, item := range excess(now, items, ahead, rate, s.residence(p.key.service), s.options.Slack) {
			if s.mayShed(now, item.Request) {
				plans = s.refuseWaiting(p, item.Request, structs.ReasonShed, plans)
			}
		}
		ahead = p.queue.WorkAhead(rank)
	}
	return plans
}

func (s *Scheduler) refuseWaiting(p *pool, request *structs.Request, reason structs.Reason, plans []structs.Plan) []structs.Plan {
	s.remove(p, request.ID)
	return append(plans, refusal(request, reason, s.options.FloorDemandTTL))
}

// residence returns a function that predicts the time from start to answer, at
// the pace of the fastest engine, since a refusal can't be taken back.
func (s *Scheduler) residence(name string) func(*structs.Request) time.Duration {
	sums := s.service(name).capacity
	return func(request *structs.Request) time.Duration {
		return time.Duration(s.lengths.Percentile(request, s.options.LengthPercentile)) * sums.fastestStep
	}
}

// measure averages the rate of starts while the pool is held.
func (p *pool) measure(now structs.Instant) {
	elapsed := now - p.measuredAt
	if elapsed < measureInterval {
		return
	}
	rate := p.startedWork.Seconds() / elapsed.Seconds()
	if p.held {
		p.measured += measureGain * (rate - p.measured)
	}
	p.startedWork = 0
	p.measuredAt = now
}
