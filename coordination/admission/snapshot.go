package admission

import (
	"math"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// poolSnapshot describes the usable replicas of a service during one call of Decide, which updates it
// with every assignment.
type poolSnapshot struct {
	replicas []*replicaSnapshot
	// canaries are replicas of a version in its canary phase, during a burst of canary requests.
	canaries []*replicaSnapshot
	// budgeted are all replicas of a version in its canary phase. They are not among replicas.
	budgeted []*replicaSnapshot
	// totalSlots is the sum of maxInFlight over the healthy replicas, and freeSlots the sum of what is
	// left of it.
	freeSlots, totalSlots, healthyReplicas int
	// capacity is the number of requests that the healthy replicas serve at a time, on average, and
	// limitedTokens counts the tokens in the buckets of the rate-limited ones.
	capacity, limitedTokens float64
	// evacuatedReplicas counts the replicas left out because their zone is evacuated.
	evacuatedReplicas int
	meanDuration      time.Duration
	// waitingPriority is the highest priority of the first requests that stay queued in this round, if hasWaiting is
	// true.
	waitingPriority int
	hasWaiting      bool
	suspectViews    map[*suspectList]*suspectView
}

// replicaSnapshot describes one replica in a poolSnapshot.
type replicaSnapshot struct {
	state *replicaState
	// index is the position in poolSnapshot.replicas, unless isBudgeted is true: then the replica is in
	// poolSnapshot.budgeted.
	index      int
	isBudgeted bool
	// maxInFlight bounds inFlight by the replica's slots, extra slots and current limits.
	maxInFlight  int
	inFlight     int
	unreadTokens int
	slowdown     float64
	// stepTime is speed.stepTime; zero if unknown.
	stepTime time.Duration
	// prefillTimePerToken and prefillFixedTime add up to the time to the first event: a part for each
	// prompt token, and a fixed part. Zero if unknown.
	prefillTimePerToken, prefillFixedTime time.Duration
	// isUnhealthy is true if the replica is quarantined or ejected. It is used only if no healthy replica
	// has a slot, or no eligible one is both healthy and unsuspected.
	isUnhealthy bool
	// isBrittle is true if a rejection limit applies. The replica is then believed to have room for that many
	// requests.
	isBrittle bool
	room      int
	// currentStepTime is stepTime at the speed of this moment.
	currentStepTime time.Duration
	// mayBeTarget is true if the replica may have been replaced by one of a version that gets only some of the new
	// requests, or none. It gets requests that no other replica has a suitable slot for.
	mayBeTarget bool
	// isLimited is true if the replica has announced a rate limit.
	isCold, isLimited bool
	// hasWorkTime is true if the replica recently reported its work time.
	hasWorkTime bool
}

// canFinish reports whether an answer of that many tokens, which callers may state as any number, is likely
// to be complete within the remaining time.
func (r *replicaSnapshot) canFinish(answerTokens int, remaining time.Duration) bool {
	return float64(answerTokens)*float64(r.stepTime) <= float64(remaining)*maxDeadlineShare
}

// snapshot returns the current state of the service's replicas. The result is valid until the next
// call, which reuses its memory.
func (s *Scheduler) snapshot(now structs.Instant, service string) *poolSnapshot {
	pool := s.pools[service]
	snapshot := &poolSnapshot{meanDuration: pool.meanDuration, suspectViews: map[*suspectList]*suspectView{}, replicas: make([]*replicaSnapshot, 0, len(pool.replicas))}
	fastest := pool.fastestStep()
	inBurst := pool.canaryBudget.InBurst(now)
	lowestRejectionLimit, isPoolBrittle := pool.brittleness()
	if cap(s.snapshotBuffer) < len(pool.replicas) {
		s.snapshotBuffer = make([]replicaSnapshot, len(pool.replicas))
	}
	for i, state := range pool.replicas {
		access := pool.versionPolicy.AccessFor(state.entry.Version)
		if s.evacuatedZones[state.entry.Zone] {
			snapshot.evacuatedReplicas++
			continue
		}
		if state.superseded || state.leaving || state.entry.Draining || access == rollouts.AccessDenied {
			continue
		}
		isCold := state.isCold(now, pool)
		speed := state.speedFor(isCold)
		timePerToken := speed.prefill.timePerToken()
		replica := &s.snapshotBuffer[:cap(s.snapshotBuffer)][i]
		*replica = replicaSnapshot{
			state: state, maxInFlight: state.entry.Slots + s.extraSlots(pool, state.entry.Slots, i), inFlight: state.inFlight(now),
			unreadTokens: state.unreadTokens(now), slowdown: speed.slowdown(fastest), stepTime: speed.stepTime, currentStepTime: speed.stepTime,
			prefillTimePerToken: timePerToken, prefillFixedTime: speed.prefill.fixedTime(timePerToken),
			isUnhealthy: state.ejected || state.isQuarantined(now), isCold: isCold, isLimited: state.limit.known.IsSet(),
			hasWorkTime: state.workTime.isRecent(now), mayBeTarget: state.mayBeSuccessor && pool.versionPolicy.RestrictsTarget(),
		}
		if replica.hasWorkTime {
			replica.applyWorkTime(state.workTime.factorDuring(now, 0))
		}
		if state.isProbing() {
			replica.maxInFlight = 1
		}
		if isCold {
			replica.maxInFlight = min(replica.maxInFlight, replica.inFlight+s.coldTokens(now, state, pool))
		}
		if replica.isLimited {
			replica.maxInFlight = min(replica.maxInFlight, replica.inFlight+s.limitedTokens(now, state))
		}
		if limit, isBrittle := state.rejectionLimitOf(lowestRejectionLimit, isPoolBrittle); isBrittle {
			s.limitRejections(now, replica, limit)
		}
		if access == rollouts.AccessBudgeted {
			replica.isBudgeted = true
			snapshot.budgeted = append(snapshot.budgeted, replica)
			if inBurst {
				snapshot.canaries = append(snapshot.canaries, replica)
			}
			continue
		}
		replica.index, state.index = len(snapshot.replicas), len(snapshot.replicas)
		snapshot.replicas = append(snapshot.replicas, replica)
		if !replica.isUnhealthy {
			snapshot.addHealthy(replica, s.followerShare)
		}
	}
	snapshot.useUnhealthyIfNoHealthySlots(s.followerShare)
	snapshot.selectCanaries(pool.canaryBudget.BurstCount())
	return snapshot
}

// extraSlots returns how many requests beyond its slots a replica may be assigned. A slot would
// otherwise be idle between the end of an answer and the arrival of the next request, which matters
// where answers take little longer than that. Requests that arrive early wait at the replica.
func (p *servicePool) extraSlots(slots int) int {
	return int(float64(slots) * float64(slotHandoverTime) / float64(max(p.meanDuration, slotHandoverTime)))
}

// extraSlots returns how many requests beyond its slots the replica at the index in the pool may be
// assigned. With Policy.SlotHandover the fractional part is spread over the replicas: where responses take
// longer, each replica has room for less than one extra request, and rounding down would leave all their
// slots idle at each handover.
func (s *Scheduler) extraSlots(pool *servicePool, slots, index int) int {
	if s.policy.SlotHandover <= 0 {
		return pool.extraSlots(slots)
	}
	extra := float64(slots) * float64(s.policy.SlotHandover) / float64(max(pool.meanDuration, s.policy.SlotHandover))
	whole := math.Floor(extra)
	if _, position := math.Modf(firstPosition + float64(index)*goldenRatio); position < extra-whole {
		whole++
	}
	return int(whole)
}

// The replicas of a pool have positions between 0 and 1, which are spread evenly by multiples of the
// fractional part of the golden ratio. The first is in the middle, so that a single replica is rounded.
const (
	firstPosition = 0.5
	goldenRatio   = 0.6180339887498949
)

// useUnhealthyIfNoHealthySlots treats all replicas as healthy if no healthy one has a slot, free or not: an
// unhealthy replica is better than none.
func (p *poolSnapshot) useUnhealthyIfNoHealthySlots(followerShare float64) {
	if p.totalSlots > 0 {
		return
	}
	p.healthyReplicas, p.capacity, p.limitedTokens = 0, 0, 0
	for _, replica := range p.replicas {
		replica.isUnhealthy = false
		p.addHealthy(replica, followerShare)
	}
}

// addHealthy counts the slots and the capacity of a healthy replica. The capacity of a rate-limited
// one is bounded by the requests that this scheduler may assign to it during one mean duration.
func (p *poolSnapshot) addHealthy(replica *replicaSnapshot, followerShare float64) {
	p.healthyReplicas++
	p.totalSlots += replica.maxInFlight
	p.freeSlots += max(0, replica.maxInFlight-replica.inFlight)
	capacity := float64(replica.maxInFlight)
	if replica.isBrittle {
		capacity = float64(replica.room)
	}
	if replica.isLimited {
		capacity = min(float64(replica.state.entry.Slots), replica.state.limit.refillRate(followerShare)*p.meanDuration.Seconds())
		p.limitedTokens += replica.state.limit.bucket.tokens
	}
	p.capacity += capacity
}

// eligible returns the replicas that the request has not tried and that its node has no pause for. A request
// that is bound to a version may also use those that get only some of the new requests.
func (p *poolSnapshot) eligible(now structs.Instant, request *Request, pauses replicaPauses) []*replicaSnapshot {
	if len(request.Tried)+len(pauses) == 0 && request.Version == "" {
		return p.replicas
	}
	candidates := p.replicas
	if request.Version != "" && len(p.budgeted) > 0 {
		candidates = slices.Concat(p.replicas, p.budgeted)
	}
	var eligible []*replicaSnapshot
	for _, replica := range candidates {
		if request.Version != "" && replica.state.entry.Version != request.Version {
			continue
		}
		if id := replica.state.entry.ID; !slices.Contains(request.Tried, id) && !pauses.isPaused(now, id) {
			eligible = append(eligible, replica)
		}
	}
	return eligible
}

// addWaiting records that the request stays queued. First requests are decided in the order of their priorities.
func (p *poolSnapshot) addWaiting(request *Request) {
	if len(request.Tried) == 0 && !request.Held && !p.hasWaiting {
		p.hasWaiting, p.waitingPriority = true, request.Priority
	}
}

// mustYield reports whether a held request of the priority must not take a slot, as a first request of the same or a
// higher priority waits for a more suitable one.
func (p *poolSnapshot) mustYield(priority int) bool {
	return p.hasWaiting && p.waitingPriority <= priority
}

const maxExpectedWait = time.Hour

// expectedWait estimates the time until a request with that many queued ahead of it gets a slot.
func (p *poolSnapshot) expectedWait(queuedAhead int) time.Duration {
	if p.capacity <= 0 {
		return p.meanDuration * time.Duration(queuedAhead+1)
	}
	requests := max(float64(queuedAhead+1)-p.limitedTokens, 0)
	return time.Duration(min(float64(p.meanDuration)*requests/p.capacity, float64(maxExpectedWait)))
}

// completionRate returns the number of requests that the healthy replicas are expected to complete per
// second while all their slots are occupied.
func (p *poolSnapshot) completionRate() float64 {
	return p.capacity / max(p.meanDuration, time.Millisecond).Seconds()
}

// canAnyFinish reports whether any replica, busy or not, is fast enough to finish the answer.
func (p *poolSnapshot) canAnyFinish(answerTokens int, remaining time.Duration) bool {
	for _, replica := range p.replicas {
		if replica.canFinish(answerTokens, remaining) {
			return true
		}
	}
	return false
}

// cost returns the cost of running the request at the replica, in prompt tokens of the fastest replica.
func (r *replicaSnapshot) cost(now structs.Instant, request *Request) float64 {
	cost := r.slowdown * float64(requestCostTokens+r.unreadTokens+request.PromptTokens+r.inFlight*inFlightCostTokens)
	if !r.hasWorkTime {
		return cost
	}
	duration := time.Duration(request.AnswerTokens)*r.stepTime + time.Duration(request.PromptTokens)*r.prefillTimePerToken
	return cost * r.state.workTime.factorDuring(now, duration)
}
