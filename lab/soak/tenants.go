package soak

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/entry"
)

// With Options.Tenants a second tenant of equal priority and quota sends more requests to the engines
// than these can answer, during the faults and for calmTime after the last one.
const (
	surgeTenantKey = "surge-key"
	// contestedRoute is the route that both tenants use and that is full. urgentRoute has a higher
	// priority at the same replicas.
	contestedRoute, urgentRoute = "chat", "report"
	// usualTime is how long the second tenant sends as many requests as the first one.
	usualTime = 2 * time.Second
	// surgeLoad is the rate of the second tenant during its surge, in multiples of what the engines can
	// answer. At the default rate this is eleven times its usual rate.
	surgeLoad = 1.5
	// calmTime is how long requests are sent after the time in which faults start. Those may last 2.5 s,
	// a planned stop 4.2 s, both with 3 s of recovery.
	calmTime = 10 * time.Second
	// maxReturnShare is the share of the deadline up to which callers of the second tenant follow
	// Retry-After.
	maxReturnShare = 1.0 / 3
)

// sendSurge sends the requests of the second tenant for the duration, at first as many as the first
// tenant sends to the route. It returns when all of them ended.
func (c *callers) sendSurge(ctx context.Context, duration time.Duration, usualRate float64) {
	const engineRate = engineCount * engineSlots / (engineEvents * float64(engineStep) / float64(time.Second))
	start := time.Now()
	for number := 0; time.Since(start) < duration && ctx.Err() == nil; number++ {
		c.group.Go(func() { c.sendReturning(fmt.Sprintf("s%06d", number), number%nodeCount) })
		rate := usualRate
		if time.Since(start) >= usualTime {
			rate = surgeLoad * engineRate
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// sendReturning sends a request of the second tenant, and once more at another node after the
// Retry-After of its refusal. The second attempt has the same body and an id of its own.
func (c *callers) sendReturning(id string, node int) {
	request := outgoing{id: id, route: contestedRoute, node: node, key: surgeTenantKey, body: id}
	result := c.send(request)
	c.record(result)
	if result.retryAfter <= 0 || result.retryAfter > time.Duration(maxReturnShare*requestDeadlineMS)*time.Millisecond {
		return
	}
	time.Sleep(result.retryAfter)
	request.id, request.node = id+"-again", (node+1)%nodeCount
	c.record(c.send(request))
}

// parseRetryAfter returns the time of a Retry-After header in seconds, zero if there is none.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// Constants of requiredAnswers.
const (
	// maxShareError is the number of requests by which the service of a tenant may be behind its share.
	maxShareError = 2
	// maxChanceRefusals is the share of requests that may be refused or lost by chance.
	maxChanceRefusals = 0.02
	// maxDeviations is the number of standard deviations by which a sample may exceed
	// maxChanceRefusals.
	maxDeviations = 3
	// minJudged is the least number of requests without a fault that a run must have.
	minJudged = 20
)

// requiredAnswers returns how many of the requests of a tenant below its share have to be answered.
//
// With weighted max-min fairness a tenant gets the smaller of its demand and its share. Both tenants
// have equal weights, so that the share of the first one is half of what the engines leave to the
// priority: (112 - 15) / 2 = 48 a second at the default rate, of which it asks for 15. So all of its
// requests are due. It may be behind by the bound of start-time fair queueing, the largest request of
// each tenant (state/fairshare): 2 requests, as all have the same length. Pauses of a busy machine
// refuse further ones by chance. If each of n requests has a chance of 0.02, more than
// 0.02 n + 3 sqrt(n 0.02 0.98) of them are refused in about one of 200 runs. Of the 87 requests in the
// 5.8 s that the default run leaves after its last fault at least, 79 have to be answered; with service
// in proportion to demand it would be about 46.
func requiredAnswers(count int) int {
	n := float64(count)
	byChance := maxChanceRefusals*n + maxDeviations*math.Sqrt(n*maxChanceRefusals*(1-maxChanceRefusals))
	return int(math.Floor(n - maxShareError - byChance))
}

// tally counts requests and their answers.
type tally struct{ requests, answers int }

func (t *tally) add(call callResult) {
	t.requests++
	if call.outcome == outcomeAnswered {
		t.answers++
	}
}

// checkShares checks that the first tenant, which is below its share, is answered regardless of the
// excess of the second one, and that the route of higher priority is answered regardless of both. Only
// requests during the surge and without a fault of a node, a replica or the store count. Tenants have
// shares only if the setting is on and all nodes know it; priorities always hold.
func checkShares(result *Result, options *Options, c *callers, i *injector, violate reportViolation) {
	var contested, urgent, surge tally
	for _, call := range c.results {
		switch {
		case call.span.from.Before(i.startedAt.Add(usualTime)) || i.isDisturbed(call.span):
		case call.key == surgeTenantKey:
			surge.add(call)
		case call.route == contestedRoute:
			contested.add(call)
		case call.route == urgentRoute:
			urgent.add(call)
		}
	}
	sharesOn := drawPolicies(options.Seed).tenantShares != entry.SharesOff && options.Previous == ""
	for _, judged := range []struct {
		name     string
		tally    tally
		mustHold bool
	}{{"below share", contested, sharesOn}, {"higher priority", urgent, true}} {
		required := requiredAnswers(judged.tally.requests)
		result.Worst[judged.name] = fmt.Sprintf("%d of %d answered, %d required", judged.tally.answers, judged.tally.requests, required)
		switch {
		case judged.tally.requests < minJudged:
			violate("%s: only %d requests without a fault, fewer than %d", judged.name, judged.tally.requests, minJudged)
		case judged.mustHold && judged.tally.answers < required:
			violate("%s: %d of %d requests were answered, fewer than %d", judged.name, judged.tally.answers, judged.tally.requests, required)
		case !judged.mustHold:
			result.Worst[judged.name] += " if tenants had shares"
		}
	}
	result.Worst["surge"] = fmt.Sprintf("%d of %d answered", surge.answers, surge.requests)
	if surge.answers == surge.requests {
		violate("the engines were not full: all %d requests of the surge were answered", surge.requests)
	}
}

// isDisturbed reports whether a fault of a node, a replica or the store may affect the span.
func (i *injector) isDisturbed(during span) bool {
	for _, fault := range i.unplanned {
		if fault.overlaps(during) {
			return true
		}
	}
	for _, stops := range i.plannedStops {
		for _, stop := range stops {
			if (span{stop.from, stop.to.Add(recoveryTime)}).overlaps(during) {
				return true
			}
		}
	}
	return false
}
