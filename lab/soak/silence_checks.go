package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The rules on requests to held replicas.
const (
	// maxSharedWork is how long two replicas may work on one request at the same time, neither of them held.
	maxSharedWork = 400 * time.Millisecond
	// deadlineMargin is how long before its deadline a request counts as out of time.
	deadlineMargin = 300 * time.Millisecond
	// A planned stop may cut what its replica is still at work on in the last sixth of the grace time, unless it was
	// sent later than lastSendTime after SIGTERM: such a request has to be refused.
	graceMargin  = stopGrace / 6
	lastSendTime = 3 * time.Second
	// stopExitTime is the time from the end of the grace time until the process is gone.
	stopExitTime = time.Second
	// maxShownPerRule bounds the violations of a rule that the result lists one by one.
	maxShownPerRule = 6
)

// heldRun is a run of a request at the replica with the number.
type heldRun struct {
	replica int
	replicaRun
}

// brokeOff reports whether the replica gave up the run by itself.
func (r heldRun) brokeOff() bool { return !r.EndedAt.IsZero() && !r.Cancelled && !r.Completed }

// silenceRecord is what callers and replicas saw, and when nodes and replicas were disturbed.
type silenceRecord struct {
	startedAt, endedAt time.Time
	calls              []heldCall
	// runs are by request ID.
	runs map[string][]heldRun
	// holds are by replica; kills, planned stops and suspensions by node.
	holds                map[int][]span
	kills, stops, frozen map[int][]span
	cuts                 []cutSpan
}

// silenceRule is a rule of the judge. It returns what is wrong with the request, empty if nothing is.
type silenceRule struct {
	name  string
	check func(r *silenceRecord, call *heldCall) string
}

var silenceRules = []silenceRule{
	{"LOST", (*silenceRecord).lost}, {"TWICE", (*silenceRecord).sharedWork}, {"TWICE", (*silenceRecord).repeated},
	{"REFUSED", (*silenceRecord).refusedButRun}, {"ORDER", (*silenceRecord).misordered},
}

// lost finds a request that a sound replica ran and that ended unfinished although nobody broke off, its time was
// not over and no fault of its node or its connections explains it.
func (r *silenceRecord) lost(call *heldCall) string {
	if !call.isUnfinished() || len(r.runs[call.id]) == 0 || r.excuse(call) != "" {
		return ""
	}
	end := fmt.Sprintf("status %d", call.status)
	if call.isBroken {
		end = "a closed connection"
	}
	return fmt.Sprintf("ended after %.2f s, %d bytes, with %s; replicas ran it %s", call.span.to.Sub(call.span.from).Seconds(), len(call.body), end, r.describe(r.runs[call.id]))
}

// excuseBrokeOff is the excuse of requests that their replicas gave up by themselves.
const excuseBrokeOff = "replica broke off"

// excuse returns why the request, which replicas ran, may end unfinished; empty if it may not.
func (r *silenceRecord) excuse(call *heldCall) string {
	sound := slices.DeleteFunc(slices.Clone(r.runs[call.id]), heldRun.brokeOff)
	switch {
	case call.hasLeft:
		return "caller left"
	case len(sound) == 0:
		return excuseBrokeOff
	case call.span.to.Sub(call.span.from) > min(heldDeadline, minHeldTimeout)-deadlineMargin:
		return "time over"
	case slices.ContainsFunc(r.kills[call.node], call.span.overlaps):
		return "node killed"
	case r.isStopEnding(call, call.node):
		return "grace time over"
	case r.isCut(call, sound, call.span):
		return "path cut"
	case r.isForwarderGone(call):
		return "forwarder ended"
	}
	return ""
}

// forwarderLossTime is the time from the kill of a node to the end of what it forwarded.
const forwarderLossTime = 300 * time.Millisecond

// isForwarderGone reports whether another node was killed, or its grace time was over, just before the call ended, while
// the call's node may have had connections forwarded: a node that loses some of its paths may have peers forward all of
// its connections.
func (r *silenceRecord) isForwarderGone(call *heldCall) bool {
	mayBeForwarded := slices.ContainsFunc(r.cuts, func(cut cutSpan) bool {
		return slices.Contains(cut.fault.nodes, call.node) && call.span.overlaps(span{cut.from, cut.to.Add(recoveryTime)})
	})
	if !mayBeForwarded {
		return false
	}
	end := span{call.span.to.Add(-forwarderLossTime), call.span.to}
	for node := range nodeCount {
		if node == call.node {
			continue
		}
		isKilled := slices.ContainsFunc(r.kills[node], func(kill span) bool { return end.overlaps(span{kill.from, kill.from.Add(time.Nanosecond)}) })
		if isKilled || r.isStopEnding(call, node) {
			return true
		}
	}
	return false
}

// isStopEnding reports whether a planned stop of the node had no grace time left as the call ended.
func (r *silenceRecord) isStopEnding(call *heldCall, node int) bool {
	return slices.ContainsFunc(r.stops[node], func(stop span) bool {
		graceEnd := stop.from.Add(stopGrace)
		exit := graceEnd.Add(stopExitTime + timeWithin(span{stop.from, call.span.to}, r.frozen[node]))
		isInTime := !call.span.from.After(stop.from.Add(lastSendTime))
		return isInTime && call.span.to.After(graceEnd.Add(-graceMargin)) && !call.span.to.After(exit)
	})
}

// isCut reports whether the node's path to one of the replicas was cut during the span or shortly before. After a
// cut the connections may still go through other nodes.
func (r *silenceRecord) isCut(call *heldCall, runs []heldRun, during span) bool {
	return slices.ContainsFunc(r.cuts, func(cut cutSpan) bool {
		hitsReplica := slices.ContainsFunc(runs, func(run heldRun) bool { return slices.Contains(cut.fault.replicas, run.replica) })
		return hitsReplica && slices.Contains(cut.fault.nodes, call.node) && during.overlaps(span{cut.from, cut.to.Add(recoveryTime)})
	})
}

// sharedWork finds a request on which two replicas worked side by side while neither of them was held and its node
// ran and reached them.
func (r *silenceRecord) sharedWork(call *heldCall) string {
	runs := r.runs[call.id]
	for i, first := range runs {
		for _, second := range runs[i+1:] {
			shared := span{later(first.At, second.At), earlier(r.endOf(first), r.endOf(second))}
			if !shared.from.Before(shared.to) || r.isCut(call, []heldRun{first, second}, shared) {
				continue
			}
			excluded := slices.Concat(r.holds[first.replica], r.holds[second.replica], r.frozen[call.node])
			if worked := shared.to.Sub(shared.from) - timeWithin(shared, excluded); worked > maxSharedWork {
				return fmt.Sprintf("ran %.2f s at two replicas at the same time: %s", worked.Seconds(), r.describe(runs))
			}
		}
	}
	return ""
}

// repeated finds a request that ran more than once and must not.
func (r *silenceRecord) repeated(call *heldCall) string {
	if runs := r.runs[call.id]; !call.isRepeatable() && len(runs) > 1 {
		return fmt.Sprintf("ran %d times: %s", len(runs), r.describe(runs))
	}
	return ""
}

// refusedButRun finds a request that must not run twice, whose caller was told that it did not run, and that ran.
func (r *silenceRecord) refusedButRun(call *heldCall) string {
	if runs := r.runs[call.id]; !call.isRepeatable() && call.isRefused() && len(runs) > 0 {
		return fmt.Sprintf("was answered %d and ran: %s", call.status, r.describe(runs))
	}
	return ""
}

// misordered finds an answer that is not the replica's: events that are missing, come twice or out of order, or an
// answer that appears complete too early. The part of an answer that was cut short must be its beginning.
func (r *silenceRecord) misordered(call *heldCall) string {
	if call.status != http.StatusOK {
		return ""
	}
	if call.stamp == "" {
		return "is a success without a replica's stamp"
	}
	if call.isStream() {
		for _, rule := range pieceRules {
			if problem := rule.check(call.pieces()); problem != "" {
				return rule.name + ": " + problem
			}
		}
		return ""
	}
	expected := call.expectedBody()
	switch {
	case call.isAnswered() && call.body != expected:
		return fmt.Sprintf("appears complete with %d bytes of %d, in order %t", len(call.body), len(expected), strings.HasPrefix(expected, call.body))
	case !strings.HasPrefix(expected, call.body):
		return fmt.Sprintf("got other bytes than the replica's, %d", len(call.body))
	}
	return ""
}

// endOf returns the end of the run, or that of the record if it did not end.
func (r *silenceRecord) endOf(run heldRun) time.Time {
	if run.EndedAt.IsZero() {
		return r.endedAt
	}
	return run.EndedAt
}

// endingOf returns how a run ended.
func endingOf(isCompleted, isCancelled bool, endedAt time.Time) string {
	switch {
	case isCompleted:
		return "completed"
	case isCancelled:
		return "cancelled"
	case endedAt.IsZero():
		return "running"
	}
	return "broke off"
}

// describe returns where and when the runs ran, in seconds since the start.
func (r *silenceRecord) describe(runs []heldRun) string {
	var parts []string
	for _, run := range runs {
		parts = append(parts, fmt.Sprintf("#%d %.2f-%.2f %s", run.replica, run.At.Sub(r.startedAt).Seconds(), r.endOf(run).Sub(r.startedAt).Seconds(), endingOf(run.Completed, run.Cancelled, run.EndedAt)))
	}
	return strings.Join(parts, ", ")
}

// check applies all rules and returns the number of violations of each.
func (r *silenceRecord) check(violate reportViolation) map[string]int {
	counts := map[string]int{}
	for _, rule := range silenceRules {
		for number := range r.calls {
			call := &r.calls[number]
			problem := rule.check(r, call)
			if problem == "" {
				continue
			}
			if counts[rule.name]++; counts[rule.name] <= maxShownPerRule {
				violate("%s: %s (%s) at node %d, sent at %.2f s, %s", rule.name, call.id, call.route, call.node, call.span.from.Sub(r.startedAt).Seconds(), problem)
			}
		}
	}
	for name, count := range counts {
		violate("%s: %d requests in all", name, count)
	}
	return counts
}

// timeWithin returns how much of the span the others cover.
func timeWithin(whole span, others []span) time.Duration {
	var covered time.Duration
	reached := whole.from
	for _, other := range slices.SortedFunc(slices.Values(others), func(a, b span) int { return a.from.Compare(b.from) }) {
		from, to := later(other.from, reached), earlier(other.to, whole.to)
		if from.Before(to) {
			covered += to.Sub(from)
			reached = to
		}
	}
	return covered
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// newSilenceRecord ends the held replicas and collects what was recorded.
func newSilenceRecord(d *deployment, held *heldCallers, i *injector) *silenceRecord {
	d.collectHeld()
	record := &silenceRecord{startedAt: i.startedAt, endedAt: time.Now(), calls: held.calls, runs: map[string][]heldRun{}, holds: map[int][]span{}, kills: i.kills, stops: i.plannedStops, frozen: i.frozen}
	for _, cut := range i.cuts {
		if len(cut.fault.replicas) > 0 {
			record.cuts = append(record.cuts, cut)
		}
	}
	for number, replica := range d.held {
		record.holds[number] = replica.holds
		for _, run := range replica.runs {
			record.runs[run.ID] = append(record.runs[run.ID], heldRun{number, run})
		}
	}
	return record
}

// checkSilence checks that requests to replicas that were silent for a while end like others, and that at the end
// every node serves every route to them.
func checkSilence(result *Result, d *deployment, held *heldCallers, i *injector, violate reportViolation) {
	for node := range nodeCount {
		for _, route := range []string{resumableRoute, singleRoute, safeRoute, unsafeRoute, movedRoute} {
			if call := held.sendOne(fmt.Sprintf("held-end-%d-%s", node, route), route, node); !call.isAnswered() {
				violate("at the end node %d gives %d for %s", node, call.status, route)
			}
		}
	}
	record := newSilenceRecord(d, held, i)
	for _, replica := range d.held {
		if replica.failure != nil {
			violate("replica %s ended by itself: %v", replica.options.ID, replica.failure)
		}
	}
	counts := record.check(violate)
	var holds, answered, refused int
	excused := map[string]int{}
	for _, spans := range record.holds {
		holds += len(spans)
	}
	for _, call := range record.calls {
		switch {
		case call.isAnswered():
			answered++
		case call.isRefused():
			refused++
		case len(record.runs[call.id]) > 0:
			excused[cmp.Or(record.excuse(&call), "nothing")]++
		}
	}
	if count := excused[excuseBrokeOff]; count > 0 {
		violate("%d requests were broken off by replicas, which the plan does not have", count)
	}
	result.Worst["silence"] += fmt.Sprintf("; %d holds, %d of %d requests answered, %d refused, that ran and ended unfinished by cause %v; broken rules %v", holds, answered, len(record.calls), refused, excused, counts)
}
