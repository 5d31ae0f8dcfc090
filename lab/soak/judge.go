package soak

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// judge enters the violations of the promises.
func judge(result *Result, options *Options, d *deployment, c *callers, i *injector) {
	runs := map[string]int{}
	for _, replica := range d.replicas {
		for _, run := range replica.Runs() {
			runs[run.ID]++
		}
	}
	violate := func(format string, arguments ...any) {
		result.Violations = append(result.Violations, fmt.Sprintf(format, arguments...))
	}
	judgeRequests(result, c, i, runs, violate)
	judgeRepeats(result, d, c, violate)
	if options.Bounds {
		judgeQuota(result, d, violate)
	}
	if options.Pushback {
		judgePushback(result, d, c, i, violate)
	}
	judgeEnd(d, c, i, violate)
	for _, each := range d.processes {
		for _, failure := range each.failures {
			violate("%s", failure)
		}
	}
	sort.Strings(result.Violations)
}

// violation enters one violation.
type violation func(format string, arguments ...any)

// judgeRequests compares what callers saw with what replicas ran.
func judgeRequests(result *Result, c *callers, i *injector, runs map[string]int, violate violation) {
	for _, one := range c.all {
		result.Counts[string(one.outcome)]++
		count := runs[one.id]
		repeatable := one.route == "status" || one.route == "chat"
		switch {
		case !repeatable && count > 1:
			violate("%s (%s) ran %d times", one.id, one.route, count)
		case one.outcome == outcomeNotRun && !repeatable && count > 0:
			violate("%s (%s) was told %d not run, but ran", one.id, one.route, one.status)
		case one.outcome == outcomeAnswered && count == 0:
			violate("%s (%s) was answered, but no replica ran it", one.id, one.route)
		case one.outcome == outcomeWrong:
			violate("%s (%s) got %d: %s", one.id, one.route, one.status, one.detail)
		case one.outcome == outcomeLost && i.cutByStop(one) && !crossedClose(one, count):
			violate("%s (%s) was cut by the planned stop of node %d: %s", one.id, one.route, one.node, one.detail)
		}
	}
}

// serviceOf returns the service that a route leads to.
func serviceOf(route string) string {
	if route == "report" || route == "chat" {
		return "engines"
	}
	return "registry"
}

// judgeRepeats counts, by service, what arrived beyond the first of each request.
func judgeRepeats(result *Result, d *deployment, c *callers, violate violation) {
	requests, arrivals := map[string][]time.Time{}, map[string][]platformsim.Arrival{}
	for _, one := range c.all {
		service := serviceOf(one.route)
		requests[service] = append(requests[service], one.span.from)
	}
	for _, replica := range d.replicas {
		arrivals[replica.Service] = append(arrivals[replica.Service], replica.Arrived()...)
	}
	for service := range arrivals {
		worst := retryBound.Worst(requests[service], arrivals[service])
		result.Worst[service+" repeats"] = worst.String()
		if worst.Over() > 0 {
			violate("%s got %v in %v from %v on", service, worst, retryBound.Window, worst.Begins)
		}
	}
}

// drainBound is the time after which a replica that said that it leaves gets nothing from a node that
// it told so.
const drainBound = 2 * time.Second

// judgePushback looks whether what replicas said in their answers was kept. Each start of a node is a
// node of its own; of a request that crossed an end it can't be told which one sent it.
func judgePushback(result *Result, d *deployment, c *callers, i *injector, violate violation) {
	type origin struct {
		node, life int
		asked      time.Time
	}
	origins := map[string]origin{}
	for _, one := range c.all {
		life := 0
		for _, end := range i.ends[one.node] {
			if end.overlaps(one.span) {
				life = -1
				break
			}
			if one.span.from.After(end.to) {
				life++
			}
		}
		if life >= 0 {
			origins[one.id] = origin{one.node, life, one.span.from}
		}
	}
	nodes := map[string]int{}
	rule := checker.Pushback{Contact: contactBound, Drain: drainBound, Excused: func(name string, from, to time.Time) bool {
		return slices.ContainsFunc(i.freezes[nodes[name]], func(frozen span) bool { return frozen.overlaps(span{from, to}) })
	}}
	for _, replica := range d.replicas {
		var sent []checker.Sent
		for _, arrival := range replica.Arrived() {
			from, known := origins[arrival.ID]
			if !known {
				continue
			}
			name := fmt.Sprintf("node %d start %d", from.node, from.life)
			nodes[name] = from.node
			sent = append(sent, checker.Sent{Arrival: arrival, Node: name, Asked: from.asked})
		}
		if excess := rule.RateLimit(sent); excess != "" {
			violate("%s got %s", replica.ID, excess)
		}
		for _, broken := range slices.Concat(rule.Leaving(sent), rule.Pauses(sent)) {
			violate("%s: %s", replica.ID, broken)
		}
	}
}

// judgeQuota counts what the tenant's requests took that ran.
func judgeQuota(result *Result, d *deployment, violate violation) {
	var taken []checker.Mark
	for _, replica := range d.replicas {
		for _, run := range replica.Runs() {
			taken = append(taken, checker.Mark{At: run.At, Amount: plainTokens})
		}
	}
	allowed := (d.rate*quotaWindow.Seconds()+d.burst)*(1+quotaOverage) + quotaSlack
	begins, worst := checker.Worst(taken, quotaWindow)
	result.Worst["tokens"] = fmt.Sprintf("%.0f tokens of %.0f allowed", worst, allowed)
	if worst > allowed {
		violate("the tenant got %.0f tokens of %.0f allowed in %v from %v on", worst, allowed, quotaWindow, begins)
	}
}

// lossSlack is the time after the end of a request after which its connection may
// not be closed without an answer.
const lossSlack = 200 * time.Millisecond

// crossedClose returns whether the request may have been on its way while the node
// closed a resting connection: it ran nowhere and its caller heard of it at once.
func crossedClose(one seen, runs int) bool {
	return runs == 0 && one.span.to.Sub(one.span.from) <= lossSlack
}

// cutByStop returns whether the request was lost at a node in a planned stop with
// nothing unplanned near it.
func (i *injector) cutByStop(one seen) bool {
	for _, disturbed := range i.disturbed {
		if disturbed.overlaps(one.span) {
			return false
		}
	}
	for _, stop := range i.stops[one.node] {
		if stop.overlaps(one.span) {
			return true
		}
	}
	return false
}

// judgeEnd demands that every node serves every route once all is healed, by the
// newest configuration, and sends nothing to a replica that left.
func judgeEnd(d *deployment, c *callers, i *injector, violate violation) {
	left := len(d.replicas) - 1
	before := len(d.replicas[left].Runs())
	routes := append([]string{}, mix...)
	present, gone := staleRouteName, freshRouteName
	if i.changed {
		present, gone = gone, present
	}
	for node := range nodeCount {
		for _, route := range append(routes, present) {
			one := c.one(fmt.Sprintf("end-%d-%s", node, route), route, node)
			if one.outcome != outcomeAnswered {
				violate("at the end node %d gives %s %d %s for %s", node, one.outcome, one.status, one.detail, route)
			}
		}
		if one := c.one(fmt.Sprintf("end-%d-%s", node, gone), gone, node); one.status != 404 {
			violate("at the end node %d gives %d for the route %s, which is not there", node, one.status, gone)
		}
	}
	if i.drained != "" && len(d.replicas[left].Runs()) > before {
		violate("at the end %s, which drains, still gets requests", i.drained)
	}
}
