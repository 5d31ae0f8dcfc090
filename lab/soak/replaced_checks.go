package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// The rules on streams at replicas that start again in place. maxMixedStreams, minResumedStreams and minGoOnShare hold
// for them too.
const (
	// maxLostStreams is how many streams may be lost without a fault, over all nodes.
	maxLostStreams = 3
	// minBegunShare is the least share of new streams that begin outside of faults. Pauses of a busy machine refuse some
	// by chance.
	minBegunShare = 0.8
	// minServedShare is the least share of new streams at replicas that started again, in relation to their share of the
	// replicas, and minExpectedRuns the least number to expect there for a judgement.
	minServedShare  = 0.5
	minExpectedRuns = 12
)

// replacedIncarnation is a process of a replica. Its times are zero for what did not happen.
type replacedIncarnation struct {
	name, version                string
	isFirst                      bool
	startedAt, listedAt, endedAt time.Time
}

// replacedRun is a run of a request at an incarnation.
type replacedRun struct {
	incarnation *replacedIncarnation
	at          time.Time
}

// replacedRecord is what callers and replicas saw, and when they were disturbed.
type replacedRecord struct {
	startedAt, endedAt time.Time
	streams            []*replacedStreamCall
	incarnations       map[string]*replacedIncarnation
	// runs are by request ID, in the order of their start.
	runs map[string][]replacedRun
	// unplanned are the spans in which a fault other than a planned stop or the end of a replica may cause losses,
	// storeFaults those of the store; stops are the planned stops by node.
	unplanned, storeFaults []span
	stops                  map[int][]span
}

// newReplacedRecord returns the record of the run so far.
func newReplacedRecord(d *deployment, callers *replacedCallers, i *injector) *replacedRecord {
	record := &replacedRecord{
		startedAt: i.startedAt, streams: callers.streams, incarnations: map[string]*replacedIncarnation{}, runs: map[string][]replacedRun{},
		unplanned: i.unplanned, storeFaults: i.storeFaults, stops: i.plannedStops,
	}
	for _, stream := range record.streams {
		record.endedAt = later(record.endedAt, stream.tries[len(stream.tries)-1].span.to)
	}
	for _, replica := range d.reincarnated {
		for number, process := range replica.incarnations {
			process.mutex.Lock()
			added := &replacedIncarnation{name: process.options.Incarnation, version: process.options.Version, isFirst: number == 0, startedAt: process.startedAt, listedAt: process.listedAt, endedAt: process.endedAt}
			for _, run := range process.runs {
				record.runs[run.ID] = append(record.runs[run.ID], replacedRun{added, run.At})
			}
			process.mutex.Unlock()
			record.incarnations[added.name] = added
		}
	}
	for _, runs := range record.runs {
		slices.SortFunc(runs, func(a, b replacedRun) int { return a.at.Compare(b.at) })
	}
	return record
}

// replacedRule is a rule of the judge. It returns what is wrong with the stream, empty if nothing is. A run may break
// it allowed times.
type replacedRule struct {
	name    string
	allowed int
	check   func(r *replacedRecord, stream *replacedStreamCall) string
}

var replacedRules = []replacedRule{
	{"VERSIONS", maxMixedStreams, (*replacedRecord).mixed}, {"ORDER", 0, (*replacedRecord).misordered}, {"ORDER", 0, (*replacedRecord).joined},
	{"MIXED", 0, (*replacedRecord).foreign}, {"TWICE", 0, (*replacedRecord).repeated}, {"REFUSED", 0, (*replacedRecord).refusedButRun},
	{"REFUSED", 0, (*replacedRecord).refusedWithoutReturn},
	{"LOST", maxLostStreams, (*replacedRecord).lost},
}

// mixed finds a stream with events of two versions.
func (r *replacedRecord) mixed(stream *replacedStreamCall) string {
	problem := stream.pieces().mixed()
	if problem == "" {
		return ""
	}
	for _, try := range stream.tries {
		if len(try.events) > 0 {
			problem += "; " + try.id + ": " + r.describeRuns(try.id)
		}
	}
	return problem
}

// misordered finds a stream whose events are not whole and in order.
func (r *replacedRecord) misordered(stream *replacedStreamCall) string {
	return stream.pieces().misordered()
}

// joined finds a stream with events of two runs that may not follow each other.
func (r *replacedRecord) joined(stream *replacedStreamCall) string { return stream.pieces().joined() }

// foreign finds an answer with what belongs to no run of its request.
func (r *replacedRecord) foreign(stream *replacedStreamCall) string {
	if problem := stream.pieces().foreign(); problem != "" {
		return problem
	}
	for _, try := range stream.tries {
		if try.status == http.StatusOK && try.stamp == "" {
			return "is a success without a replica's stamp"
		}
		for _, event := range try.events {
			sender := r.incarnations[event.Incarnation]
			isRun := slices.ContainsFunc(r.runs[try.id], func(run replacedRun) bool { return run.incarnation == sender })
			if sender == nil || sender.version != event.Version || !isRun {
				return fmt.Sprintf("request %s has an event that %s (%s) sent: %s", try.id, event.Incarnation, event.Version, r.describeRuns(try.id))
			}
		}
	}
	return ""
}

// repeated finds a request that ran more than once and must not.
func (r *replacedRecord) repeated(stream *replacedStreamCall) string {
	for _, try := range stream.tries {
		if !stream.isResumable() && len(r.runs[try.id]) > 1 {
			return fmt.Sprintf("ran %d times: %s", len(r.runs[try.id]), r.describeRuns(try.id))
		}
	}
	return ""
}

// refusedButRun finds a request that must not run twice, whose caller was told that it did not run, and that ran.
func (r *replacedRecord) refusedButRun(stream *replacedStreamCall) string {
	for _, try := range stream.tries {
		if !stream.isResumable() && try.isRefused() && len(r.runs[try.id]) > 0 {
			return fmt.Sprintf("was answered %d and ran: %s", try.status, r.describeRuns(try.id))
		}
	}
	return ""
}

// refusedWithoutReturn finds a request whose caller was refused without a time to come back.
func (r *replacedRecord) refusedWithoutReturn(stream *replacedStreamCall) string {
	for _, try := range stream.tries {
		if try.isRefused() && !try.hasRetryAfter && try.status != http.StatusMisdirectedRequest {
			return fmt.Sprintf("request %s was answered %d without a time to come back", try.id, try.status)
		}
	}
	return ""
}

// lost finds a request that a sound replica ran and that ended unfinished although no fault explains it.
func (r *replacedRecord) lost(stream *replacedStreamCall) string {
	for number := range stream.tries {
		try := &stream.tries[number]
		isUnfinished := try.isBroken || try.status == http.StatusBadGateway || try.status == http.StatusGatewayTimeout
		if isUnfinished && len(r.runs[try.id]) > 0 && !r.isExcused(stream, try) {
			return fmt.Sprintf("ended unfinished at node %d, %.2f s after it was sent, with status %d: %s", try.node, try.span.to.Sub(try.span.from).Seconds(), try.status, r.describeRuns(try.id))
		}
	}
	return ""
}

// isExcused reports whether a fault, the end of one of its replicas or that of its time explains that the request ended
// unfinished.
func (r *replacedRecord) isExcused(stream *replacedStreamCall, try *replacedTry) bool {
	isReplicaGone := slices.ContainsFunc(r.runs[try.id], func(run replacedRun) bool {
		return !run.incarnation.endedAt.IsZero() && run.incarnation.endedAt.Before(try.span.to)
	})
	isStopEnding := slices.ContainsFunc(r.stops[try.node], func(stop span) bool {
		graceEnd := stop.from.Add(stopGrace)
		return try.span.overlaps(span{graceEnd.Add(-graceMargin), graceEnd.Add(stopExitTime)})
	})
	timeLeft := stream.tries[0].span.from.Add(replacedDeadline).Sub(try.span.to)
	return isReplicaGone || isStopEnding || timeLeft < deadlineMargin || slices.ContainsFunc(r.unplanned, try.span.overlaps)
}

func (r *replacedRecord) describeRuns(id string) string {
	var parts []string
	for _, run := range r.runs[id] {
		part := fmt.Sprintf("%s (%s) at %.2f s", run.incarnation.name, run.incarnation.version, run.at.Sub(r.startedAt).Seconds())
		if !run.incarnation.isFirst {
			part += fmt.Sprintf(" up since %.2f s", run.incarnation.startedAt.Sub(r.startedAt).Seconds())
			if !run.incarnation.listedAt.IsZero() {
				part += fmt.Sprintf(" and listed at %.2f s", run.incarnation.listedAt.Sub(r.startedAt).Seconds())
			}
		}
		parts = append(parts, part)
	}
	return "it ran at " + cmp.Or(strings.Join(parts, ", "), "no replica")
}

// check applies all rules. It returns the number of streams that each of them finds, and those that it allows.
func (r *replacedRecord) check(violate reportViolation) (counts map[string]int, allowed []string) {
	counts = map[string]int{}
	for _, rule := range replacedRules {
		var found []string
		for _, stream := range r.streams {
			if problem := rule.check(r, stream); problem != "" {
				found = append(found, fmt.Sprintf("%s: %s (%s), sent at %.2f s, %s", rule.name, stream.name, stream.route, stream.tries[0].span.from.Sub(r.startedAt).Seconds(), problem))
			}
		}
		counts[rule.name] += len(found)
		if len(found) <= rule.allowed {
			allowed = append(allowed, found...)
			continue
		}
		violate("%s: %d streams in all, %d allowed", rule.name, len(found), rule.allowed)
		for _, line := range found[:min(len(found), maxShownPerRule)] {
			violate("%s", line)
		}
	}
	return counts, allowed
}

// replacements are the spans from the end of a replica until its successor is listed, with the time of recovery.
func (r *replacedRecord) replacements() []span {
	var spans []span
	for _, incarnation := range r.incarnations {
		if incarnation.isFirst {
			continue
		}
		listed := incarnation.listedAt
		if listed.IsZero() {
			listed = later(incarnation.startedAt, incarnation.endedAt)
		}
		spans = append(spans, span{incarnation.startedAt.Add(-maxDowntime), listed.Add(recoveryTime)})
	}
	return spans
}

// goOnTallies are the streams whose callers resume them with the name of the first request, by what happened meanwhile:
// nothing, replacements only, or a fault of the store. Other faults are left out.
type goOnTallies struct {
	calm, replaced, withoutStore, nameless streamTally
}

// tallies counts the resumable streams.
func (r *replacedRecord) tallies() goOnTallies {
	var tallies goOnTallies
	replacements := r.replacements()
	for _, stream := range r.streams {
		if !stream.isResumable() {
			continue
		}
		during := span{stream.tries[0].span.from, stream.tries[len(stream.tries)-1].span.to}
		counted := versionedStream{began: stream.first() != ""}
		for _, try := range stream.tries {
			counted.resumed = counted.resumed || try.lastID > 0
			counted.wentOn = counted.wentOn || try.lastID > 0 && (len(try.events) > 0 || try.isComplete())
		}
		switch {
		case stream.isNameless:
			tallies.nameless.add(counted)
		case slices.ContainsFunc(r.storeFaults, during.overlaps):
			tallies.withoutStore.add(counted)
		case slices.ContainsFunc(r.unplanned, during.overlaps):
		case slices.ContainsFunc(replacements, during.overlaps):
			tallies.replaced.add(counted)
		default:
			tallies.calm.add(counted)
		}
	}
	return tallies
}

// servedShare is how many new streams began at replicas that started again, and how many would have if all replicas had
// been assigned as many.
type servedShare struct{ served, expected float64 }

func (s servedShare) isTooSmall() bool {
	return s.expected >= minExpectedRuns && s.served < minServedShare*s.expected
}

func (s servedShare) String() string { return fmt.Sprintf("%.0f of %.0f", s.served, s.expected) }

// servedShares returns the shares of the replicas that started again, from recoveryTime after their start: before they
// are listed, and from recoveryTime after they were.
func (r *replacedRecord) servedShares() (unlisted, listed servedShare) {
	var begun []replacedRun
	for _, stream := range r.streams {
		for _, try := range stream.tries {
			if runs := r.runs[try.id]; try.lastID == 0 && len(runs) > 0 {
				begun = append(begun, runs[0])
			}
		}
	}
	for _, incarnation := range r.incarnations {
		if incarnation.isFirst {
			continue
		}
		recovered, ended := incarnation.startedAt.Add(recoveryTime), r.endOf(incarnation)
		if incarnation.listedAt.IsZero() {
			unlisted.add(r.shareWithin(incarnation, begun, span{recovered, ended}))
			continue
		}
		unlisted.add(r.shareWithin(incarnation, begun, span{recovered, incarnation.listedAt}))
		listed.add(r.shareWithin(incarnation, begun, span{incarnation.listedAt.Add(recoveryTime), ended}))
	}
	return unlisted, listed
}

func (s *servedShare) add(other servedShare) {
	s.served += other.served
	s.expected += other.expected
}

// shareWithin returns the share of the incarnation in the streams that began within the span.
func (r *replacedRecord) shareWithin(incarnation *replacedIncarnation, begun []replacedRun, within span) servedShare {
	if !within.from.Before(within.to) {
		return servedShare{}
	}
	alive := time.Duration(0)
	for _, other := range r.incarnations {
		alive += timeWithin(within, []span{{other.startedAt, r.endOf(other)}})
	}
	share, all := servedShare{}, 0
	for _, run := range begun {
		if run.at.Before(within.from) || !run.at.Before(within.to) {
			continue
		}
		all++
		if run.incarnation == incarnation {
			share.served++
		}
	}
	share.expected = float64(all) * within.to.Sub(within.from).Seconds() / alive.Seconds()
	return share
}

// endOf returns the end of the incarnation, or that of the record if it did not end.
func (r *replacedRecord) endOf(incarnation *replacedIncarnation) time.Time {
	if incarnation.endedAt.IsZero() {
		return r.endedAt
	}
	return incarnation.endedAt
}

// checkShares checks that new streams are served, also by replicas that started again, and that resumed ones go on.
func (r *replacedRecord) checkShares(violate reportViolation) string {
	tallies := r.tallies()
	unlisted, listed := r.servedShares()
	if calm := tallies.calm; calm.goesOnTooSeldom() {
		violate("streams are resumed too seldom outside of faults: %v", calm)
	} else if calm.sent >= minExpectedRuns && float64(calm.began) < minBegunShare*float64(calm.sent) {
		violate("new streams begin too seldom outside of faults: %v", calm)
	}
	if unlisted.isTooSmall() {
		violate("replicas that started again and are not listed yet serve too few new streams: %v", unlisted)
	}
	if listed.isTooSmall() {
		violate("replicas that started again serve too few new streams: %v", listed)
	}
	return fmt.Sprintf("outside of faults %v; while replicas are replaced %v; while the store fails %v; without the first name %v; new streams at replicas that started again %v expected, before they are listed %v",
		tallies.calm, tallies.replaced, tallies.withoutStore, tallies.nameless, listed, unlisted)
}

// checkReplaced checks the streams at replicas that start again in place, and that at the end every node serves both of
// their routes.
func checkReplaced(result *Result, d *deployment, callers *replacedCallers, i *injector, violate reportViolation) {
	record := newReplacedRecord(d, callers, i)
	for node := range nodeCount {
		for _, route := range []string{replacedRoute, lastingRoute} {
			last := &replacedStreamCall{name: fmt.Sprintf("rs-end-%d-%s", node, route), route: route}
			if try := callers.sendTry(last, 0, node, time.Now().Add(replacedDeadline)); !try.isComplete() {
				violate("at the end node %d gives %d for %s", node, try.status, route)
			}
		}
	}
	starts := 0
	for _, replica := range d.reincarnated {
		starts += len(replica.incarnations)
		for _, failure := range replica.failures {
			violate("%v", failure)
		}
		for _, process := range replica.incarnations {
			process.mutex.Lock()
			if process.failure != nil {
				violate("%v", process.failure)
			}
			process.mutex.Unlock()
		}
	}
	counts, allowed := record.check(violate)
	if len(allowed) > 0 {
		result.Worst["allowed"] = strings.Join(allowed, " | ")
	}
	shares := record.checkShares(violate)
	checkReplacedRepeats(result, record, violate)
	result.Worst["replaced"] += fmt.Sprintf("; %d starts, %d streams, %d of two versions; found %v; %s", starts, len(record.streams), counts["VERSIONS"], counts, shares)
}

// checkReplacedRepeats checks the retry bound of the service by the requests that ran.
func checkReplacedRepeats(result *Result, record *replacedRecord, violate reportViolation) {
	var requests []time.Time
	var arrivals []platformsim.Arrival
	for _, stream := range record.streams {
		for _, try := range stream.tries {
			requests = append(requests, try.span.from)
			for _, run := range record.runs[try.id] {
				arrivals = append(arrivals, platformsim.Arrival{ID: try.id, At: run.at})
			}
		}
	}
	worst := retryBound.Worst(requests, arrivals)
	result.Worst[replacedService+" repeats"] = worst.String()
	if worst.Over() > 0 {
		violate("%s got %v in %v from %v on", replacedService, worst, retryBound.Window, worst.Start)
	}
}
