package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/structs"
)

// Decide assigns or rejects every queued request that can be decided now. The others stay queued.
func (s *Scheduler) Decide(now structs.Instant) []Decision {
	s.decidedAt = now
	var decisions []Decision
	names := make([]string, 0, len(s.pools))
	for name, pool := range s.pools {
		if len(pool.queue) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		decisions = s.decidePool(now, name, decisions)
	}
	return decisions
}

// Sweep removes assignments whose end was probably lost, and counts answers that have not started
// within firstEventTimeout as failures of their replicas, unless the node is isolated from these.
func (s *Scheduler) Sweep(now structs.Instant) {
	for id, assignment := range s.assignments {
		if !assignment.started && !assignment.late && now-assignment.assignedAt > firstEventTimeout {
			assignment.late = true
			if s.isCurrentIncarnation(assignment) && !s.isolatedNodes[assignment.node] {
				s.recordOutcome(now, assignment.service, assignment.replicaID, true)
			}
		}
		if now-assignment.assignedAt > maxAssignmentAge {
			s.removeAssignment(id)
		}
	}
	s.dropIdleLedgers()
}

// decidePool appends the decisions on one service's queue.
func (s *Scheduler) decidePool(now structs.Instant, service string, decisions []Decision) []Decision {
	pool := s.pools[service]
	snapshot := s.snapshot(now, service)
	pool.markConfined()
	s.sortQueue(now, pool)
	undecided := pool.queue[:0]
	queuedAhead := 0
	// The queue may hold a thousand requests: skip their lookups while nothing is tracked.
	checkPoison := !s.poisonTracker.IsEmpty()
	for _, request := range pool.queue {
		var decision Decision
		done := false
		if checkPoison {
			decision, done = s.decidePoison(now, request)
		}
		if !done && decision.Reason != ReasonNone {
			undecided = append(undecided, request) // not counted in queuedAhead: it delays no other request
			continue
		}
		if !done {
			decision, done = s.decideRequest(now, request, snapshot, queuedAhead)
		}
		if !done {
			undecided = append(undecided, request)
			if !request.isConfined {
				queuedAhead++
				snapshot.addWaiting(&request.Request)
			}
			continue
		}
		if decision.Reason != ReasonNone {
			request.share.withdraw()
		}
		if !request.Held {
			request.lengths.recordDecision(request.band, decision.Reason == ReasonNone)
		}
		delete(s.queued, request.ID)
		decisions = append(decisions, decision)
	}
	clear(pool.queue[len(undecided):])
	pool.queue = undecided
	if s.policy.FeasibleOrder {
		pool.updateOverload(now, snapshot)
	}
	return decisions
}

// sortQueue classifies and orders the queue of the pool by the policy.
func (s *Scheduler) sortQueue(now structs.Instant, pool *servicePool) {
	if s.policy.FeasibleOrder {
		pool.sortFeasible(now)
	} else {
		sortByTarget(now, pool.queue)
	}
	if s.policy.TenantShares {
		pool.orderByShares(pool.queue)
	}
}

// sortByTarget orders requests that no replica has before held ones, then by priority, then those confined to a
// part of the replicas, as others can go elsewhere, then those that can still meet their target before late
// ones. The former are ordered by the length of their answers, shortest first, but those of an
// underserved length band before all others; late ones by the time their target ended.
func sortByTarget(now structs.Instant, queue []*queuedRequest) {
	for _, request := range queue {
		request.sortLength = request.effectiveLength(minServedRatio)
		request.late, request.responseTime = now > request.submittedAt+request.Target, 0
	}
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if a.Held != b.Held {
			return b.Held
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		if a.isConfined != b.isConfined {
			return a.isConfined
		}
		if a.late != b.late {
			return b.late
		}
		if !a.late && a.sortLength != b.sortLength {
			return a.sortLength < b.sortLength
		}
		return a.submittedAt+a.Target < b.submittedAt+b.Target
	})
}

// decideRequest decides one request, and returns false if it stays queued.
func (s *Scheduler) decideRequest(now structs.Instant, request *queuedRequest, snapshot *poolSnapshot, queuedAhead int) (Decision, bool) {
	decision := Decision{ID: request.ID, Waited: now - request.submittedAt, QueuedAhead: queuedAhead, FreeSlots: snapshot.freeSlots, ExpectedWait: snapshot.expectedWait(queuedAhead)}
	if canary := s.chooseCanary(now, request, snapshot, request.Deadline-decision.Waited); canary != nil {
		s.assign(now, request, canary, &decision)
		return decision, true
	}
	pauses := s.pauses[pauseKey{request.Node, request.Service}]
	eligible := snapshot.eligible(now, &request.Request, pauses)
	if len(eligible) == 0 && len(snapshot.replicas) > 0 {
		decision.Reason, decision.RetryAfter = ReasonNoReplica, minRetryAfter
		if request.isBound() {
			decision.Reason = ReasonNoVersion
		}
		if paused := snapshot.eligible(now, &request.Request, nil); len(paused) > 0 {
			decision.Reason, decision.RetryAfter = ReasonPaused, max(pauses.shortestRemaining(now, paused), minRetryAfter)
		}
		return decision, true
	}
	if len(eligible) == 0 {
		decision.Reason, decision.RetryAfter = ReasonNoReplica, minRetryAfter
		if snapshot.evacuatedReplicas > 0 {
			// Operators don't lift an evacuation within seconds.
			decision.Reason, decision.RetryAfter = ReasonEvacuated, maxRetryAfter
			return decision, true
		}
		return decision, decision.Waited >= request.Patience
	}
	remaining := request.Deadline - decision.Waited
	if request.AnswerTokens > 0 && !snapshot.canAnyFinish(request.AnswerTokens, remaining) {
		decision.Reason, decision.RetryAfter = ReasonDeadline, maxRetryAfter
		return decision, true
	}
	if replica := s.chooseReplica(now, request, snapshot, eligible, remaining); replica != nil {
		snapshot.updateCounts(replica)
		if budget := s.pool(request.Service).canaryBudget; replica.isBudgeted && budget != nil {
			budget.Consume(request.Route)
		}
		s.assign(now, request, replica, &decision)
		return decision, true
	}
	expectedWait := decision.ExpectedWait
	decision.RetryAfter, decision.LatestReturn = retryAfter(expectedWait, remaining), latestReturn(remaining)
	decision.CompletionRate = snapshot.completionRate()
	if decision.Waited >= request.Patience {
		decision.Reason = ReasonNoSlot
		return decision, true
	}
	if request.isConfined {
		return Decision{}, false // the rules against overload look at all replicas
	}
	if s.policy.FeasibleOrder {
		if s.pools[request.Service].isHopeless(request, snapshot, decision.Waited, queuedAhead) {
			decision.Reason = ReasonBacklog
			return decision, true
		}
		return Decision{}, false
	}
	late := decision.Waited+expectedWait > time.Duration(float64(request.Target)*maxStartShare)
	if !request.WasRejected && late && decision.Waited >= time.Duration(float64(request.Target)*backlogRejectShare) || queuedAhead > maxQueueLength {
		decision.Reason = ReasonBacklog
		return decision, true
	}
	return Decision{}, false
}

// assign assigns the request to the replica and completes the decision.
func (s *Scheduler) assign(now structs.Instant, request *queuedRequest, replica *replicaSnapshot, decision *Decision) {
	decision.Trials = s.recordAssignment(now, request, replica)
	decision.Replica, decision.Limit = replica.state.entry, replica.state.limit.known
}

// recordAssignment records the assignment with the replica's limits and the poison tracker. It
// returns the keys of what is tried with it.
func (s *Scheduler) recordAssignment(now structs.Instant, request *queuedRequest, replica *replicaSnapshot) []fingerprint.Fingerprint {
	request.share.dispatch(request.Deadline - (now - request.submittedAt))
	replica.inFlight++
	replica.unreadTokens += request.PromptTokens
	trials := s.recordTrials(now, request)
	assigned := &assignment{
		fingerprint: request.Fingerprint, parts: request.Parts, node: request.Node, service: request.Service, route: request.Route, replicaID: replica.state.entry.ID, startedAt: replica.state.entry.StartedAt, version: replica.state.entry.Version,
		promptTokens: request.PromptTokens, assignedAt: now, isCold: replica.isCold, mayBeSuccessor: replica.state.mayBeSuccessor, share: request.share,
	}
	s.addAssignment(request.ID, assigned)
	if replica.isBrittle {
		replica.state.rejections.atRisk = append(replica.state.rejections.atRisk, assigned)
	}
	if replica.isCold {
		replica.state.warmUp.bucket.consume()
	}
	if replica.isLimited {
		replica.state.limit.bucket.consume()
	}
	return trials
}

// retryAfter returns when a rejected caller should come back: after the expected wait, within limits that
// depend on the remaining time so that most of it is left for the answer.
func retryAfter(expectedWait, remaining time.Duration) time.Duration {
	latest := time.Duration(float64(remaining) * retryAfterShare)
	return min(max(expectedWait, minRetryAfter, latest/2), latestReturn(remaining))
}

// latestReturn returns the latest useful time for a rejected caller to come back.
func latestReturn(remaining time.Duration) time.Duration {
	return max(time.Duration(float64(remaining)*retryAfterShare), minRetryAfter)
}

// chooseReplica returns the cheapest of the eligible replicas with a free slot, or nil if the request
// should wait. It skips replicas where the request would miss its target if another one could still
// meet it, and at first those where its prompt would delay other streams too long. One that may be of the
// target of a roll-out comes last: to leave it idle would cost capacity if it is of the same version as before.
func (s *Scheduler) chooseReplica(now structs.Instant, request *queuedRequest, snapshot *poolSnapshot, eligible []*replicaSnapshot, remaining time.Duration) *replicaSnapshot {
	if request.Held && snapshot.mustYield(request.Priority) {
		return nil
	}
	isRestricted := len(request.Tried) > 0 || request.isBound()
	if !isRestricted && snapshot.hasNoPreferredSlot(len(request.Doubted)) {
		return nil
	}
	view := s.suspectView(snapshot, request.suspects)
	if view.freeSlots <= 0 && view.preferredReplicas > 0 && !isRestricted {
		return nil
	}
	if request.Yields && float64(snapshot.freeSlots) <= reservedSlotShare*float64(snapshot.totalSlots) && request.PromptTokens > 0 {
		return nil
	}
	waited := now - request.submittedAt
	protectStreams := waited < request.streamProtectionTime()
	canMeetTarget := slices.ContainsFunc(eligible, func(r *replicaSnapshot) bool {
		return !r.isUnhealthy && !r.wouldMissTarget(&request.Request, waited, 0)
	})
	anyPreferred := slices.ContainsFunc(eligible, func(r *replicaSnapshot) bool { return snapshot.isPreferred(view, r) })
	var best *replicaSnapshot
	var bestCost float64
	for _, replica := range eligible {
		if replica.inFlight >= replica.maxInFlight || anyPreferred && !snapshot.isPreferred(view, replica) || !replica.canFinish(request.AnswerTokens, remaining) {
			continue
		}
		if canMeetTarget && replica.wouldMissTarget(&request.Request, waited, replica.unreadTokens) {
			continue
		}
		cost := replica.cost(now, &request.Request)
		cost *= s.localityFactor(request.Zone, replica.state.entry.Zone)
		if replica.wouldDelayStreams(&request.Request) {
			if protectStreams {
				continue
			}
			cost += streamDelayCostTokens * float64(replica.inFlight)
		}
		if best == nil || best.mayBeTarget && !replica.mayBeTarget || best.mayBeTarget == replica.mayBeTarget && cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	return best
}
