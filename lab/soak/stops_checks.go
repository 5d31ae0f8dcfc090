package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Constants of the rules on planned stops.
const (
	// lossSlack is the time from the last byte of a request after which its node counts as having read it.
	lossSlack = maxCrossingTime
	// minTriesInTime is how many times the work of a request has to fit into its deadline, beside stopsReserve, so that a
	// refusal leaves enough time elsewhere.
	minTriesInTime = 2
	stopsReserve   = time.Second
	// minUnanswered and maxUnansweredShare bound the requests that get no answer after their deadline.
	minUnanswered      = 8
	maxUnansweredShare = 1.0 / 4
)

// stopsRecord is what callers and replicas saw, and when nodes and replicas were disturbed.
type stopsRecord struct {
	startedAt time.Time
	calls     []*stopsCall
	// runs are by request ID.
	runs  map[string][]platformsim.Run
	stops []plannedStop
	// unplanned are the spans in which a fault other than a planned stop may cause losses, replicaFaults those in which
	// replicas may not serve.
	unplanned, replicaFaults []span
}

// stopsRule is a rule of the judge. It returns what is wrong with the try of the request, empty if nothing is.
type stopsRule struct {
	name  string
	check func(r *stopsRecord, call *stopsCall, try *stopsTry) string
}

var stopsRules = []stopsRule{
	{"LOST", (*stopsRecord).lost}, {"LATE", (*stopsRecord).cutLate}, {"TWICE", (*stopsRecord).repeated}, {"REFUSED", (*stopsRecord).refusedButRun},
	{"REFUSED", (*stopsRecord).refusedWithoutReturn}, {"MIXED", (*stopsRecord).wrong},
}

// lost finds a request that a node had read and whose connection ended without a complete answer. Responses that began
// and were broken off so that callers can tell are not lost if they are streams.
func (r *stopsRecord) lost(call *stopsCall, try *stopsTry) string {
	isBrokenOff := call.route.isStream() && try.status != 0
	if !try.isBroken || isBrokenOff || slices.ContainsFunc(r.unplanned, try.span.overlaps) || !r.wasRead(try) {
		return ""
	}
	return "got no complete answer: " + r.describe(call, try)
}

// wasRead reports whether the node had read the whole request: it was sent on, or its connection did not end as soon as
// its last byte was sent.
func (r *stopsRecord) wasRead(try *stopsTry) bool {
	return len(r.runs[try.id]) > 0 || !try.sentAt.IsZero() && try.span.to.Sub(try.sentAt) > lossSlack
}

// cutLate finds a request, of a stream too, that was sent when the balancer had taken its node out, was sent on and cut.
func (r *stopsRecord) cutLate(call *stopsCall, try *stopsTry) string {
	if !try.isBroken || len(r.runs[try.id]) == 0 || r.sinceSignal(try) <= lastSendTime || slices.ContainsFunc(r.unplanned, try.span.overlaps) {
		return ""
	}
	return "was sent on and cut: " + r.describe(call, try)
}

// sinceSignal returns the time from the signal of the stop during which the try was sent, 0 if there is none.
func (r *stopsRecord) sinceSignal(try *stopsTry) time.Duration {
	for _, stop := range stopsOf(r.stops, try.node) {
		if try.span.from.After(stop.from) && try.span.from.Before(stop.to) {
			return try.span.from.Sub(stop.from)
		}
	}
	return 0
}

// repeated finds a request that ran more than once and must not.
func (r *stopsRecord) repeated(call *stopsCall, try *stopsTry) string {
	if call.route.mayRepeat || len(r.runs[try.id]) < 2 {
		return ""
	}
	return fmt.Sprintf("ran %d times: %s", len(r.runs[try.id]), r.describe(call, try))
}

// refusedButRun finds a request that must not run twice, whose caller was told that it did not run, and that ran.
func (r *stopsRecord) refusedButRun(call *stopsCall, try *stopsTry) string {
	if call.route.mayRepeat || !try.isRefused() || len(r.runs[try.id]) == 0 {
		return ""
	}
	return "was told that it did not run, and ran: " + r.describe(call, try)
}

// refusedWithoutReturn finds a request whose caller was refused without a time to come back. One whose body was too late
// has no time left.
func (r *stopsRecord) refusedWithoutReturn(call *stopsCall, try *stopsTry) string {
	isOverloaded := try.status == http.StatusServiceUnavailable || try.status == http.StatusTooManyRequests
	if !isOverloaded || try.isBroken || try.hasRetryAfter {
		return ""
	}
	return "was refused without a time to come back: " + r.describe(call, try)
}

// wrong finds a success that is not the answer of a replica. The judge of pieces checks the bodies of streams.
func (r *stopsRecord) wrong(call *stopsCall, try *stopsTry) string {
	switch isPlain := !call.route.isStream(); {
	case try.status != http.StatusOK:
		return ""
	case try.stamp == "":
		return "is a success without a replica's stamp: " + r.describe(call, try)
	case isPlain && try.isComplete() && try.rest != platformsim.PlainBody(try.id):
		return fmt.Sprintf("got %.80q: %s", try.rest, r.describe(call, try))
	case isPlain && try.isComplete() && len(r.runs[try.id]) == 0:
		return "was answered, but no replica ran it: " + r.describe(call, try)
	}
	return ""
}

func (r *stopsRecord) describe(call *stopsCall, try *stopsTry) string {
	at := func(moment time.Time) float64 { return moment.Sub(r.startedAt).Seconds() }
	text := fmt.Sprintf("%s at node %d, sent at %.2f s, ended at %.2f s with status %d, deadline %.2f s", try.id, try.node, at(try.span.from), at(try.span.to), try.status, at(call.tries[0].span.from.Add(call.deadline)))
	if try.isFresh {
		text += ", new connection"
	}
	if since := r.sinceSignal(try); since > 0 {
		text += fmt.Sprintf(", %.2f s after the signal", since.Seconds())
	}
	if call.bodyDelay > 0 {
		text += fmt.Sprintf(", body after %.2f s", call.bodyDelay.Seconds())
	}
	var runs []string
	for _, run := range r.runs[try.id] {
		runs = append(runs, fmt.Sprintf("from %.2f s, %s at %.2f s", at(run.At), endingOf(run.Completed, run.Cancelled, run.EndedAt), at(run.EndedAt)))
	}
	if len(runs) == 0 {
		return text + ", did not run"
	}
	return text + ", ran " + strings.Join(runs, " and ")
}

// check applies all rules to all tries and returns the number of violations of each.
func (r *stopsRecord) check(violate reportViolation) map[string]int {
	counts := map[string]int{}
	for _, rule := range stopsRules {
		for _, call := range r.calls {
			for number := range call.tries {
				problem := rule.check(r, call, &call.tries[number])
				if problem == "" {
					continue
				}
				if counts[rule.name]++; counts[rule.name] <= maxShownPerRule {
					violate("%s: a request on %s %s", rule.name, call.route.name, problem)
				}
			}
		}
	}
	for name, count := range counts {
		violate("%s: %d requests in all", name, count)
	}
	return counts
}

// servedBesideStops counts the requests that were first sent to a node while it alone stopped, that may be answered in
// time after one refusal, and that no fault disturbed, and describes those that were not served. All of them are due:
// the node answers, or says in time that the request was not run.
func (r *stopsRecord) servedBesideStops() (judged servedCount, unserved []string) {
	for _, call := range r.calls {
		during, first := call.span(), &call.tries[0]
		if call.route.stopsService.name == stopsLasting || call.route.stopsService.name == stopsQueue || call.deadline < minTriesInTime*(call.route.work()+call.bodyDelay)+stopsReserve {
			continue
		}
		stopping := slices.DeleteFunc(slices.Clone(r.stops), func(stop plannedStop) bool { return !stop.overlaps(during) })
		if len(stopping) != 1 || r.sinceSignal(first) == 0 || slices.ContainsFunc(r.unplanned, during.overlaps) || slices.ContainsFunc(r.replicaFaults, during.overlaps) {
			continue
		}
		judged.sent++
		if call.isServed() {
			judged.served++
			continue
		}
		var tries []string
		for number := range call.tries {
			tries = append(tries, r.describe(call, &call.tries[number]))
		}
		unserved = append(unserved, fmt.Sprintf("%s on %s", strings.Join(tries, "; "), call.route.name))
	}
	return judged, unserved
}

// checkShare checks the share of requests that callers get served over their tries while one node stops. requiredAnswers
// allows for what a busy machine refuses by chance.
func (r *stopsRecord) checkShare(violate reportViolation) (judged servedCount, unserved []string) {
	judged, unserved = r.servedBesideStops()
	if required := requiredAnswers(judged.sent); judged.sent >= minJudged && judged.served < required {
		violate("SERVED: %d of %d requests sent to a node that stopped alone were served, fewer than %d", judged.served, judged.sent, required)
		for _, call := range unserved[:min(len(unserved), maxShownPerRule)] {
			violate("SERVED: not served: %s", call)
		}
	}
	return judged, unserved
}

// checkDeadlines checks that requests whose time is over get an answer, as the rule on route timeouts asks: not more than
// a quarter of them, or minUnanswered, may get none by stopsPatience after their deadline.
func (r *stopsRecord) checkDeadlines(violate reportViolation) {
	var judged servedCount
	for _, call := range r.calls {
		for number := range call.tries {
			try := &call.tries[number]
			isOver := !try.span.to.Before(call.tries[0].span.from.Add(call.deadline))
			if call.route.stopsService.name == stopsLasting || !isOver || slices.ContainsFunc(r.unplanned, try.span.overlaps) {
				continue
			}
			if judged.sent++; !try.hasLeft {
				judged.served++
			}
		}
	}
	if judged.failed() >= minUnanswered && judged.share() < 1-maxUnansweredShare {
		violate("DEADLINE: %d of %d requests whose time was over got no answer within %v", judged.failed(), judged.sent, stopsPatience)
	}
}

// checkExits checks that nodes that no fault disturbed end within their grace.
func (r *stopsRecord) checkExits(violate reportViolation) {
	for _, stop := range r.stops {
		if stop.isKilled && !slices.ContainsFunc(r.unplanned, stop.overlaps) {
			violate("EXIT: node %d, told to stop at %.2f s, was still there at the end of its grace", stop.node, stop.from.Sub(r.startedAt).Seconds())
		}
	}
}

// newStopsRecord collects what was recorded.
func newStopsRecord(d *deployment, callers *stopsCallers, i *injector) *stopsRecord {
	record := &stopsRecord{startedAt: i.startedAt, calls: callers.calls, runs: map[string][]platformsim.Run{}, stops: i.stopped, unplanned: i.unplanned, replicaFaults: i.replicaFaults}
	for _, replica := range d.stopping {
		for _, run := range replica.Runs() {
			record.runs[run.ID] = append(record.runs[run.ID], run)
		}
	}
	for _, runs := range record.runs {
		slices.SortFunc(runs, func(a, b platformsim.Run) int { return a.At.Compare(b.At) })
	}
	return record
}

// checkStops checks the requests beside planned stops, and that at the end every node serves every route to them.
func checkStops(result *Result, d *deployment, callers *stopsCallers, i *injector, violate reportViolation) {
	record := newStopsRecord(d, callers, i)
	counts := record.check(violate)
	judged, unserved := record.checkShare(violate)
	if len(unserved) > 0 {
		result.Worst["not served"] = strings.Join(unserved[:min(len(unserved), maxShownPerRule)], " | ")
	}
	record.checkDeadlines(violate)
	record.checkExits(violate)
	checkStopsRepeats(result, d, callers, violate)
	tally := map[string]int{}
	for _, call := range record.calls {
		for number := range call.tries {
			try := &call.tries[number]
			isLate := record.sinceSignal(try) > lastSendTime
			switch {
			case record.sinceSignal(try) == 0:
				continue
			case try.isAnswered():
				tally[lateName("answered", isLate)]++
			case try.isRefused():
				tally[lateName("refused", isLate)]++
				if len(record.runs[try.id]) > 0 {
					tally["refused after a run that may be repeated"]++
				}
			case try.isUnconnected, try.isBroken && !record.wasRead(try):
				tally[lateName("unread", isLate)]++
			case try.isBroken && call.route.isStream() && try.status != 0:
				tally[lateName("broken off", isLate)]++
			case try.isBroken:
				tally[lateName("cut", isLate)]++
			case call.tries[0].span.from.Add(call.deadline).Sub(try.span.to) < deadlineMargin:
				tally[lateName("unknown at its deadline", isLate)]++
			default:
				tally[lateName("unknown", isLate)]++
			}
		}
	}
	var names []string
	for name, count := range tally {
		names = append(names, fmt.Sprintf("%s %d", name, count))
	}
	sort.Strings(names)
	checkStopsEnd(d, callers, violate)
	result.Worst["stops"] += fmt.Sprintf("; %d stops, %d requests, tries sent to stopping nodes: %s; beside the stop of one node %d of %d served, %d required; broken rules %v",
		len(record.stops), len(record.calls), strings.Join(names, ", "), judged.served, judged.sent, requiredAnswers(judged.sent), counts)
}

// checkStopsEnd checks that every node serves every route, without the streams that outlast the grace and the service
// whose slots are too few.
func checkStopsEnd(d *deployment, callers *stopsCallers, violate reportViolation) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, route := range stopsRoutes() {
		if route.stopsService.name == stopsLasting || route.stopsService.name == stopsQueue {
			continue
		}
		for node := range d.processes {
			group.Go(func() {
				last := &stopsCall{name: fmt.Sprintf("st-end-%d-%s", node, route.name), route: route, ids: callers.ids, deadline: maxStopsTime}
				try := callers.sendTry(context.Background(), last, &callers.elsewhere, 0, node, time.Now().Add(maxStopsTime))
				mutex.Lock()
				defer mutex.Unlock()
				if !try.isAnswered() {
					violate("at the end node %d gives %d for %s", node, try.status, route.name)
				}
			})
		}
	}
	group.Wait()
}

// lateName returns the name of the tally for tries that were sent before or after lastSendTime.
func lateName(name string, isLate bool) string {
	if isLate {
		return "late " + name
	}
	return name
}

// checkStopsRepeats checks the retry bound of each service.
func checkStopsRepeats(result *Result, d *deployment, callers *stopsCallers, violate reportViolation) {
	requests, arrivals := map[string][]time.Time{}, map[string][]platformsim.Arrival{}
	for _, call := range callers.calls {
		for _, try := range call.tries {
			requests[call.route.stopsService.name] = append(requests[call.route.stopsService.name], try.span.from)
		}
	}
	for _, replica := range d.stopping {
		arrivals[replica.Service] = append(arrivals[replica.Service], replica.Arrived()...)
	}
	for _, service := range stopsServices {
		worst := retryBound.Worst(requests[service.name], arrivals[service.name])
		if worst.Over() > 0 {
			violate("%s got %v in %v from %v on", service.name, worst, retryBound.Window, worst.Start)
		}
	}
}
