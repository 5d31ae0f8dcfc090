package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// checkRun checks all promises and adds their violations to the result, sorted.
func checkRun(result *Result, options *Options, d *deployment, c *callers, held *heldCallers, streams *replacedCallers, stops *stopsCallers, i *injector) {
	runs := map[string]int{}
	for _, replica := range d.allReplicas() {
		for _, run := range replica.Runs() {
			runs[run.ID]++
		}
	}
	violate := func(format string, arguments ...any) {
		result.Violations = append(result.Violations, fmt.Sprintf(format, arguments...))
	}
	checkRequests(result, c, i, runs, violate)
	var judged []*pieces
	for _, call := range c.results {
		if call.stream != nil {
			judged = append(judged, call.stream)
		}
	}
	for _, stream := range slices.Concat(c.streams, c.movedStreams) {
		judged = append(judged, stream.pieces(c.ids))
	}
	for _, call := range stops.calls {
		if call.route.isStream() {
			judged = append(judged, call.pieces())
		}
	}
	result.Worst["pieces"] = fmt.Sprintf("%d streams judged, found %v", len(judged), checkPieces(judged, i.startedAt, violate))
	checkRetries(result, d, c, violate)
	if options.Bounds {
		checkQuota(result, d, violate)
	}
	if options.Pushback {
		checkPushback(result, d, c, i, violate)
	}
	if options.Cuts {
		checkCuts(result, c, i, violate)
	}
	if options.Tenants {
		checkShares(result, options, c, i, violate)
	}
	if options.Restore {
		checkRelisted(result, c, i, violate)
	}
	if options.Versions {
		checkVersions(result, c, i, violate)
	}
	if options.Moved {
		checkMoved(result, c, violate)
	}
	if options.Spoiled {
		checkSpoiled(result, d, c, i, violate)
	}
	if options.Silence {
		checkSilence(result, d, held, i, violate)
	}
	if options.Replaced {
		checkReplaced(result, d, streams, i, violate)
	}
	if options.Stops {
		checkStops(result, d, stops, i, violate)
	}
	checkRecovery(d, c, i, violate)
	for _, p := range d.processes {
		for _, failure := range p.failures {
			violate("%s", failure)
		}
	}
	sort.Strings(result.Violations)
}

// reportViolation adds one formatted violation to the result.
type reportViolation func(format string, arguments ...any)

// checkRequests compares the results of callers with the runs of replicas.
func checkRequests(result *Result, c *callers, i *injector, runs map[string]int, violate reportViolation) {
	for _, call := range c.results {
		result.Counts[string(call.outcome)]++
		count := runs[call.id]
		repeatable := call.route == "status" || call.route == "chat"
		switch {
		case !repeatable && count > 1:
			violate("%s (%s) ran %d times", call.id, call.route, count)
		case call.outcome == outcomeNotRun && !repeatable && count > 0:
			violate("%s (%s) was told %d not run, but ran", call.id, call.route, call.status)
		case call.outcome == outcomeAnswered && count == 0:
			violate("%s (%s) was answered, but no replica ran it", call.id, call.route)
		case call.outcome == outcomeWrong:
			violate("%s (%s) got %d: %s", call.id, call.route, call.status, call.detail)
		case call.outcome == outcomeLost && i.lostInPlannedStop(call) && !mayHaveCrossedClose(call, count):
			violate("%s (%s) was cut by the planned stop of node %d: %s", call.id, call.route, call.node, call.detail)
		}
	}
}

func serviceOf(route string) string {
	switch route {
	case "report", "chat":
		return "engines"
	case relistedRoute:
		return relistedService
	}
	return "registry"
}

// checkRetries checks the retry bound of each service.
func checkRetries(result *Result, d *deployment, c *callers, violate reportViolation) {
	requests, arrivals := map[string][]time.Time{}, map[string][]platformsim.Arrival{}
	for _, call := range c.results {
		service := serviceOf(call.route)
		requests[service] = append(requests[service], call.span.from)
	}
	for _, replica := range d.allReplicas() {
		arrivals[replica.Service] = append(arrivals[replica.Service], replica.Arrived()...)
	}
	for service := range arrivals {
		worst := retryBound.Worst(requests[service], arrivals[service])
		result.Worst[service+" repeats"] = worst.String()
		if worst.Over() > 0 {
			violate("%s got %v in %v from %v on", service, worst, retryBound.Window, worst.Start)
		}
	}
}

// maxDrainDelay is how long a node may send requests to a replica after it received Server-Leaving
// from it.
const maxDrainDelay = 2 * time.Second

// checkPushback checks that nodes follow the pushback in replicas' answers. Each process of a node
// counts as a separate node. Requests that overlap a restart are ignored, because the process that
// sent them is unknown.
func checkPushback(result *Result, d *deployment, c *callers, i *injector, violate reportViolation) {
	type origin struct {
		node, start int
		sentAt      time.Time
	}
	origins := map[string]origin{}
	for _, call := range c.results {
		start := 0
		for _, restart := range i.restarts[call.node] {
			if restart.overlaps(call.span) {
				start = -1
				break
			}
			if call.span.from.After(restart.to) {
				start++
			}
		}
		if start >= 0 {
			origins[call.id] = origin{call.node, start, call.span.from}
		}
	}
	nodes := map[string]int{}
	rule := checker.Pushback{Contact: storeRecoveryWindow, Drain: maxDrainDelay, Excused: func(name string, from, to time.Time) bool {
		return slices.ContainsFunc(i.suspensions[nodes[name]], func(suspended span) bool { return suspended.overlaps(span{from, to}) })
	}}
	for _, replica := range d.replicas {
		var sent []checker.Sent
		for _, arrival := range replica.Arrived() {
			sender, known := origins[arrival.ID]
			if !known {
				continue
			}
			name := fmt.Sprintf("node %d start %d", sender.node, sender.start)
			nodes[name] = sender.node
			sent = append(sent, checker.Sent{Arrival: arrival, Node: name, SentAt: sender.sentAt})
		}
		if excess := rule.RateLimit(sent); excess != "" {
			violate("%s got %s", replica.ID, excess)
		}
		for _, problem := range slices.Concat(rule.Leaving(sent), rule.Pauses(sent)) {
			violate("%s: %s", replica.ID, problem)
		}
	}
}

// checkQuota checks that the tokens of the requests that ran stay within the tenant's quota.
func checkQuota(result *Result, d *deployment, violate reportViolation) {
	var used []checker.Mark
	for _, replica := range d.allReplicas() {
		for _, run := range replica.Runs() {
			used = append(used, checker.Mark{At: run.At, Amount: tokensPerRequest})
		}
	}
	allowed := (d.rate*quotaWindow.Seconds()+d.burst)*(1+quotaOverage) + quotaSlack
	start, worst := checker.Worst(used, quotaWindow)
	result.Worst["tokens"] = fmt.Sprintf("%.0f tokens of %.0f allowed", worst, allowed)
	if worst > allowed {
		violate("the tenant got %.0f tokens of %.0f allowed in %v from %v on", worst, allowed, quotaWindow, start)
	}
}

// maxCrossingTime is how soon a caller notices that its request met a connection that the node was
// closing.
const maxCrossingTime = 200 * time.Millisecond

// mayHaveCrossedClose reports whether the request may have been in transit while the node closed an
// idle connection: no replica ran it, and its caller noticed at once.
func mayHaveCrossedClose(call callResult, runs int) bool {
	return runs == 0 && call.span.to.Sub(call.span.from) <= maxCrossingTime
}

// lostInPlannedStop reports whether the request overlaps a planned stop of its node and no unplanned
// fault.
func (i *injector) lostInPlannedStop(call callResult) bool {
	for _, fault := range i.unplanned {
		if fault.overlaps(call.span) {
			return false
		}
	}
	for _, stop := range i.plannedStops[call.node] {
		if stop.overlaps(call.span) {
			return true
		}
	}
	return false
}

// checkRecovery checks after all faults are healed that every node serves every route of the latest
// configuration and sends no request to the drained replica.
func checkRecovery(d *deployment, c *callers, i *injector, violate reportViolation) {
	last := len(d.replicas) - 1
	runsBefore := len(d.replicas[last].Runs())
	routes := append([]string{}, trafficRoutes...)
	present, removed := staleRouteName, freshRouteName
	if i.routeReplaced {
		present, removed = removed, present
	}
	for node := range d.processes {
		for _, route := range append(routes, present) {
			call := c.sendOne(fmt.Sprintf("end-%d-%s", node, route), route, node)
			if call.outcome != outcomeAnswered {
				violate("at the end node %d gives %s %d %s for %s", node, call.outcome, call.status, call.detail, route)
			}
		}
		if call := c.sendOne(fmt.Sprintf("end-%d-%s", node, removed), removed, node); call.status != 404 {
			violate("at the end node %d gives %d for the route %s, which is not there", node, call.status, removed)
		}
	}
	if i.drainedReplica != "" && len(d.replicas[last].Runs()) > runsBefore {
		violate("at the end %s, which drains, still gets requests", i.drainedReplica)
	}
}
