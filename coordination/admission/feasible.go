package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// With Policy.FeasibleOrder a request counts as late once its response can no longer be expected to meet
// its target, not only when the target has passed. Late requests get the slots that requests in time
// leave.

const (
	// A priority of a service becomes overloaded when for overloadEnterTime targets there is always a
	// request that has waited for a slot for more than overloadEnterShare of its target, and stays so
	// until all of them wait for less than overloadLeaveShare. Under lasting overload a request that would
	// wait for longer takes the slots of newer ones, and is better rejected while most of its deadline is
	// left for a return. In a short burst it is better served late in the target: without overloadEnterTime
	// the highest priority loses 2 % of its responses in time, as it has such bursts whenever lower ones
	// occupy the other slots.
	overloadEnterShare = 0.25
	overloadLeaveShare = 0.05
	overloadEnterTime  = 2
	// overloadRetention is how long the overloads of the latest round hold. Rounds follow each other in
	// 50 ms or less while requests are queued; after the last one is cancelled there are none.
	overloadRetention = 2 * time.Second
	// responseDecay is the factor on the weight of earlier response times at each new one. It is closer
	// to 1 than prefillDecay because all replicas of the service are observed together.
	responseDecay = 0.995
	// maxTransferTime bounds an observed transfer time. A message about an ended request that was lost is
	// sent again seconds later.
	maxTransferTime = 100 * time.Millisecond
)

// responseTimes estimates the time from the assignment of a request to the first part of its response,
// which for a plain service is the whole response, over all replicas of a service.
type responseTimes struct {
	// response is the time since the send, and deviation its smoothed absolute deviation from the estimate.
	response  prefillEstimator
	deviation time.Duration
	// transfer is the smoothed time that an assignment takes beyond the response: to the node and the
	// replica's connection, and back at the end. The way back stands for the way to the scheduling node,
	// which is part of the caller's wait but lies before the submission.
	transfer time.Duration
}

// observe learns from a request that succeeded.
func (r *responseTimes) observe(promptTokens int, observed Observation) {
	response := observed.Duration
	if observed.Events > 0 {
		response = observed.FirstEvent
	}
	if response <= 0 {
		return
	}
	if known := r.estimate(); known.isKnown {
		r.deviation = smooth(r.deviation, (response - known.of(promptTokens)).Abs())
	}
	r.response.observeWithDecay(promptTokens, response, responseDecay)
}

// observeTransfer learns the time between the assignment and the report of the end that the response
// did not take.
func (r *responseTimes) observeTransfer(transfer time.Duration) {
	r.transfer = smooth(r.transfer, min(max(transfer, 0), maxTransferTime))
}

// responseEstimate is an estimate for all requests of a round.
type responseEstimate struct {
	fixed, perToken time.Duration
	isKnown         bool
}

// estimate returns the estimate without transfer and deviation.
func (r *responseTimes) estimate() responseEstimate {
	perToken := r.response.timePerToken()
	fixed := r.response.fixedTime(perToken)
	return responseEstimate{fixed: fixed, perToken: perToken, isKnown: fixed > 0 || perToken > 0}
}

// safeEstimate returns the estimate with transfer and deviation; zero times if it is unknown.
func (r *responseTimes) safeEstimate() responseEstimate {
	estimate := r.estimate()
	if estimate.isKnown {
		estimate.fixed += r.transfer + r.deviation
	}
	return estimate
}

// of returns the estimated time for a prompt.
func (e responseEstimate) of(promptTokens int) time.Duration {
	return e.fixed + time.Duration(promptTokens)*e.perToken
}

// overload is the state of one priority of a service, or of a tenant in it.
type overload struct {
	// since is when requests began to wait too long.
	since structs.Instant
	// isLasting is true if the priority or tenant is overloaded.
	isLasting bool
}

// tenantPriority is a tenant in one priority.
type tenantPriority struct {
	tenant   tenantHash
	priority int
}

// updateOverload determines the overloaded priorities by the requests that stayed queued after a round of
// decisions, which are sorted by priority. With tenant shares, tenants that are overloaded by themselves do not count: the
// others would otherwise be refused for their excess.
func (p *servicePool) updateOverload(now structs.Instant, snapshot *poolSnapshot) {
	p.updateTenantOverloads(now, snapshot)
	var updated map[int]overload
	var lasting *queuedRequest
	for _, request := range p.queue {
		if !request.waitsTooLong(now, snapshot) || p.tenantOverloads[request.tenantPriority()].isLasting {
			continue
		}
		if lasting != nil && lasting.Priority == request.Priority {
			continue
		}
		state, wasAbove := p.overloads[request.Priority]
		state = state.continued(now, wasAbove, request.Target)
		if state.isLasting {
			lasting = request
		}
		if updated == nil {
			updated = map[int]overload{}
		}
		updated[request.Priority] = state
	}
	p.overloads, p.overloadsAt = updated, now
}

// minOverloadRequests is the number of requests of one tenant that wait too long at once from which on the tenant counts as
// overloaded by itself.
const minOverloadRequests = 2

// updateTenantOverloads determines the tenants that are overloaded by themselves: those of which several requests wait too
// long, not one as of each of many tenants that are too many together. There are none without tenant shares.
func (p *servicePool) updateTenantOverloads(now structs.Instant, snapshot *poolSnapshot) {
	var waiting map[tenantPriority]int
	var updated map[tenantPriority]overload
	for _, request := range p.queue {
		if request.share.account == nil || !request.waitsTooLong(now, snapshot) {
			continue
		}
		if waiting == nil {
			waiting, updated = map[tenantPriority]int{}, map[tenantPriority]overload{}
		}
		key := request.tenantPriority()
		if waiting[key]++; waiting[key] == minOverloadRequests {
			state, wasAbove := p.tenantOverloads[key]
			updated[key] = state.continued(now, wasAbove, request.Target)
			if updated[key].isLasting && !state.isLasting {
				// Its requests made up the overload of the priority, or a part of it: the others have to show theirs.
				delete(p.overloads, key.priority)
			}
		}
	}
	p.tenantOverloads = updated
}

func (r *queuedRequest) tenantPriority() tenantPriority { return tenantPriority{r.tenant, r.Priority} }

// waitsTooLong reports whether the queued request waits for so long that it counts for an overload. A request that waits
// while slots are free waits for a suitable replica. One with little or no time left does not tell how long the others
// wait.
func (r *queuedRequest) waitsTooLong(now structs.Instant, snapshot *poolSnapshot) bool {
	share := overloadEnterShare
	if r.isOverloaded {
		share = overloadLeaveShare
	}
	return r.Target > 0 && len(r.Tried) == 0 && now-r.submittedAt > shareOf(r.Target, share) && snapshot.isFullFor(&r.Request)
}

// continued returns the state after a round in which a request with the target waits too long. wasAbove is true if one did
// in the round before.
func (o overload) continued(now structs.Instant, wasAbove bool, target time.Duration) overload {
	if !wasAbove {
		o.since = now
	}
	o.isLasting = o.isLasting || now-o.since >= shareOf(target, overloadEnterTime)
	return o
}

func shareOf(target time.Duration, share float64) time.Duration {
	return time.Duration(float64(target) * share)
}

// isFullFor reports whether no slot is free for requests of this kind.
func (p *poolSnapshot) isFullFor(request *Request) bool {
	if request.Yields && request.PromptTokens > 0 {
		return float64(p.freeSlots) <= reservedSlotShare*float64(p.totalSlots)
	}
	return p.freeSlots <= 0
}

// sortFeasible classifies the requests and orders those that no replica has before held ones, then by priority,
// then those confined to a part of the replicas, as others can go elsewhere, then those in time before late ones,
// then callers that returned when told before others. Requests in time are ordered by the length of their
// responses, shortest first, but those of an underserved length band before all others. Among equals the
// newest goes first if they are overloaded, as the oldest would then be served just too late, after those that are not.
// Otherwise, and among late ones, the one whose target ends first goes first.
func (p *servicePool) sortFeasible(now structs.Instant) {
	if now-p.overloadsAt > overloadRetention {
		p.overloads, p.tenantOverloads = nil, nil
	}
	estimate := p.responseTimes.safeEstimate()
	for _, request := range p.queue {
		request.sortLength = request.effectiveLength(minFeasibleServedRatio)
		request.responseTime = estimate.of(request.PromptTokens)
		request.late = now+request.responseTime > request.submittedAt+request.Target
		request.isOverloaded = p.overloads[request.Priority].isLasting || p.tenantOverloads[request.tenantPriority()].isLasting
	}
	slices.SortStableFunc(p.queue, func(a, b *queuedRequest) int {
		if a.Held != b.Held {
			return trueFirst(b.Held)
		}
		if order := cmp.Compare(a.Priority, b.Priority); order != 0 {
			return order
		}
		if a.isConfined != b.isConfined {
			return trueFirst(a.isConfined)
		}
		if a.late != b.late {
			return trueFirst(b.late)
		}
		if a.HasReservation != b.HasReservation {
			return trueFirst(a.HasReservation)
		}
		if !a.late && a.sortLength != b.sortLength {
			return cmp.Compare(a.sortLength, b.sortLength)
		}
		if !a.late && a.isOverloaded != b.isOverloaded {
			return trueFirst(b.isOverloaded)
		}
		if !a.late && a.isOverloaded && !p.oldestFirst {
			return cmp.Compare(b.submittedAt, a.submittedAt)
		}
		return cmp.Compare(a.submittedAt+a.Target, b.submittedAt+b.Target)
	})
}

// trueFirst returns the order of two requests that differ in a property, if the first one has it or not.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// isHopeless reports whether the request, for which no slot was found, is rejected instead of waiting
// on. The rules against overload do not apply to the first in the queue, because the next slot is its own.
func (p *servicePool) isHopeless(request *queuedRequest, snapshot *poolSnapshot, waited time.Duration, queuedAhead int) bool {
	// The time until those ahead have slots is the least that it has to wait.
	if queuedAhead > maxQueueLength || waited+snapshot.expectedWait(queuedAhead-1) > request.Patience {
		return true
	}
	isOverloaded := queuedAhead > 0 && request.isOverloaded && snapshot.isFullFor(&request.Request)
	if request.late {
		return isOverloaded
	}
	if (request.WasRejected || request.HasReservation) && !isOverloaded {
		return false
	}
	latestStart := min(shareOf(request.Target, maxStartShare), request.Target-request.responseTime)
	if isOverloaded && !request.HasReservation {
		latestStart = min(latestStart, shareOf(request.Target, overloadEnterShare))
	}
	return waited >= shareOf(request.Target, backlogRejectShare) && waited+snapshot.expectedWait(queuedAhead) > latestStart
}

// streamProtectionTime returns for how long the request waits for a replica where it delays no streams
// too long. A request in time must be assigned before it becomes late.
func (r *queuedRequest) streamProtectionTime() time.Duration {
	if r.late {
		return shareOf(r.Target, streamProtectionShare)
	}
	return shareOf(r.Target-r.responseTime, streamProtectionShare)
}
