package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// silenceCase is a record of one request, made up in seconds from its start.
type silenceCase struct {
	name   string
	record *silenceRecord
	broken bool
}

// recordBuilder makes up a record with one call, whose replicas complete nothing unless told so.
type recordBuilder struct {
	start  time.Time
	record *silenceRecord
}

// newRecord returns a record of a call on the route that ended with the status after the time; a broken one lost its
// connection.
func newRecord(route string, took time.Duration, status int, isBroken bool) *recordBuilder {
	start := time.Now()
	call := heldCall{id: "r1", route: route, status: status, isBroken: isBroken, span: span{start, start.Add(took)}}
	if status == 200 {
		call.stamp, call.body = "held-0", call.expectedBody()
	}
	if status == 200 && isBroken {
		call.body = call.body[:len(call.body)/2]
	}
	return &recordBuilder{start, &silenceRecord{
		startedAt: start, endedAt: start.Add(time.Minute), calls: []heldCall{call},
		runs: map[string][]heldRun{}, holds: map[int][]span{}, kills: map[int][]span{}, stops: map[int][]span{}, frozen: map[int][]span{},
	}}
}

func (b *recordBuilder) span(from, to time.Duration) span {
	return span{b.start.Add(from), b.start.Add(to)}
}

// run adds a run at the replica, which the node cancelled.
func (b *recordBuilder) run(replica int, from, to time.Duration) *recordBuilder {
	ran := b.span(from, to)
	b.record.runs["r1"] = append(b.record.runs["r1"], heldRun{replica, replicaRun{ID: "r1", At: ran.from, EndedAt: ran.to, Cancelled: true}})
	return b
}

// brokenOff makes the last run one that the replica broke off.
func (b *recordBuilder) brokenOff() *recordBuilder {
	runs := b.record.runs["r1"]
	runs[len(runs)-1].Cancelled = false
	return b
}

func (b *recordBuilder) hold(replica int, from, to time.Duration) *recordBuilder {
	b.record.holds[replica] = append(b.record.holds[replica], b.span(from, to))
	return b
}

// kill, stop and freeze disturb node 0, which the call went to, or another one.
func (b *recordBuilder) kill(node int, from time.Duration) *recordBuilder {
	b.record.kills[node] = append(b.record.kills[node], b.span(from, from+restartDelay))
	return b
}

func (b *recordBuilder) stop(node int, from time.Duration) *recordBuilder {
	b.record.stops[node] = append(b.record.stops[node], b.span(from, from+stopGrace+restartDelay))
	return b
}

func (b *recordBuilder) freeze(node int, from, to time.Duration) *recordBuilder {
	b.record.frozen[node] = append(b.record.frozen[node], b.span(from, to))
	return b
}

func (b *recordBuilder) cut(node, replica int, from, to time.Duration) *recordBuilder {
	b.record.cuts = append(b.record.cuts, cutSpan{b.span(from, to), fault{nodes: []int{node}, replicas: []int{replica}}})
	return b
}

// change changes the call.
func (b *recordBuilder) change(edit func(call *heldCall)) *recordBuilder {
	edit(&b.record.calls[0])
	return b
}

// expectJudged checks that the rule finds exactly the broken cases.
func expectJudged(t *testing.T, rule func(r *silenceRecord, call *heldCall) string, cases []silenceCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			problem := rule(test.record, &test.record.calls[0])
			g.Expect(problem != "").To(gomega.Equal(test.broken), "found: %q", problem)
		})
	}
}

const (
	halfSecond = 500 * time.Millisecond
	second     = time.Second
)

// Guards against a judge that misses answers which end unfinished while their replica is silent, or that blames the
// node for what the caller, the replica or a fault ended.
func TestUnfinishedAnswersOfSoundReplicasAreLost(t *testing.T) {
	closed := func() *recordBuilder {
		return newRecord(resumableRoute, 2*second, 200, true).run(0, 0, 2*second).hold(0, second, 3*second)
	}
	long := func() *recordBuilder { return newRecord(resumableRoute, 4*second, 200, true).run(0, 0, 4*second) }
	expectJudged(t, (*silenceRecord).lost, []silenceCase{
		{"closed while its replica was silent", closed().record, true},
		{"closed before the head", newRecord(unsafeRoute, 2*second, 0, true).run(0, 0, 2*second).record, true},
		{"502", newRecord(safeRoute, 2*second, 502, false).run(0, 0, 2*second).record, true},
		{"504 before its time was over", newRecord(safeRoute, 2*second, 504, false).run(0, 0, 2*second).record, true},
		{"whole", newRecord(resumableRoute, 2*second, 200, false).run(0, 0, 2*second).record, false},
		{"refused", newRecord(resumableRoute, 2*second, 503, false).run(0, 0, 2*second).record, false},
		{"never run", newRecord(safeRoute, 2*second, 0, true).record, false},
		{"its time was over", newRecord(safeRoute, minHeldTimeout-deadlineMargin/2, 504, false).run(0, 0, 2*second).record, false},
		{"its caller left", closed().change(func(call *heldCall) { call.hasLeft = true }).record, false},
		{"its replica broke off", closed().brokenOff().record, false},
		{"one of its replicas broke off", closed().brokenOff().run(1, second, 2*second).record, true},
		{"its node was killed", closed().kill(0, 2*second-time.Millisecond).record, false},
		{"its node was killed before", closed().kill(0, -second).record, true},
		{"another node was killed", closed().kill(1, 2*second-time.Millisecond).record, true},
		{"its node stopped and had grace time", closed().stop(0, halfSecond).record, true},
		{"its node's grace time was over", closed().stop(0, 2*second-stopGrace).record, false},
		{"its node's grace time was over, sent too late", newRecord(resumableRoute, halfSecond, 200, true).run(0, 0, halfSecond).stop(0, halfSecond-stopGrace).record, true},
		{"its node exited long before", closed().stop(0, -stopGrace-2*second).record, true},
		{"its node was suspended in its grace time", long().stop(0, -lastSendTime).freeze(0, 0, 2*second).record, false},
		{"its node exited before", long().stop(0, -lastSendTime).record, true},
		{"another node's grace time was over", closed().stop(1, 2*second-stopGrace).record, true},
		{"its node was suspended", closed().freeze(0, halfSecond, second).record, true},
		{"its forwarder was killed", closed().cut(0, 7, -second, 0).kill(1, 2*second-forwarderLossTime/2).record, false},
		{"its forwarder's grace time was over", closed().cut(0, 7, -second, 0).stop(1, 2*second-stopGrace).record, false},
		{"its forwarder had grace time", closed().cut(0, 7, -second, 0).stop(1, halfSecond).record, true},
		{"its forwarder was killed earlier", closed().cut(0, 7, -second, 0).kill(1, 2*second-2*forwarderLossTime).record, true},
		{"another node was killed long after a cut", closed().cut(0, 7, -2*recoveryTime, -recoveryTime-second).kill(1, 2*second-forwarderLossTime/2).record, true},
		{"another node with a cut was killed", closed().cut(1, 7, -second, 0).kill(1, 2*second-forwarderLossTime/2).record, true},
		{"its path was cut", closed().cut(0, 0, second, 2*second).record, false},
		{"its path was cut shortly before", closed().cut(0, 0, -second, -halfSecond).record, false},
		{"its path was cut long before", closed().cut(0, 0, -2*recoveryTime, -recoveryTime-second).record, true},
		{"the path to another replica was cut", closed().cut(0, 1, second, 2*second).record, true},
		{"the path of another node was cut", closed().cut(1, 0, second, 2*second).record, true},
	})
}

// Guards against a judge that misses two replicas at work on one request, or that takes a replica which is held, or
// which the node can't reach, for one at work.
func TestReplicasAtWorkOnOneRequestAtTheSameTimeAreFound(t *testing.T) {
	twice := func(second time.Duration) *recordBuilder {
		return newRecord(resumableRoute, 4*time.Second, 200, false).run(0, 0, 3*time.Second).run(1, second, 4*time.Second)
	}
	expectJudged(t, (*silenceRecord).sharedWork, []silenceCase{
		{"for a second", twice(2 * second).record, true},
		{"for less than allowed", twice(3*second - maxSharedWork/2).record, false},
		{"one after the other", twice(3 * second).record, false},
		{"the first one held throughout", twice(second).hold(0, second, 3*second).record, false},
		{"the second one held throughout", twice(second).hold(1, second, 4*second).record, false},
		{"the first one went on early", twice(second).hold(0, second, 2*second).record, true},
		{"each held for a part, together throughout", twice(second).hold(0, second, 2*second+halfSecond).hold(1, 2*second, 4*second).record, false},
		{"held at the same time, which counts once", twice(second).hold(0, second, 2*second).hold(1, second, 2*second).record, true},
		{"another replica held", twice(second).hold(2, 0, 4*second).record, true},
		{"its node suspended", twice(2*second).freeze(0, 2*second, 3*second).record, false},
		{"another node suspended", twice(2*second).freeze(1, 2*second, 3*second).record, true},
		{"the path to the first one cut", twice(2*second).cut(0, 0, second, 3*second).record, false},
		{"the path to another replica cut", twice(2*second).cut(0, 2, second, 3*second).record, true},
		{"twice at one replica", newRecord(resumableRoute, 4*second, 200, false).run(0, 0, 3*second).run(0, second, 4*second).record, true},
	})
	unended := twice(2 * second)
	unended.record.runs["r1"][0].EndedAt = time.Time{}
	expectJudged(t, (*silenceRecord).sharedWork, []silenceCase{{"the first one never ends", unended.record, true}})
}

// Guards against a judge that misses second runs of requests that must not be repeated.
func TestSecondRunsOfRequestsThatMustNotRepeatAreFound(t *testing.T) {
	runs := func(route string, count int) *silenceRecord {
		b := newRecord(route, 2*second, 0, true)
		for number := range count {
			b.run(number, time.Duration(number)*second, time.Duration(number)*second+halfSecond)
		}
		return b.record
	}
	expectJudged(t, (*silenceRecord).repeated, []silenceCase{
		{"unsafe, once", runs(unsafeRoute, 1), false},
		{"unsafe, twice", runs(unsafeRoute, 2), true},
		{"stream that may not go on, twice", runs(singleRoute, 2), true},
		{"stream that may go on, twice", runs(resumableRoute, 2), false},
		{"safe, twice", runs(safeRoute, 2), false},
	})
}

// Guards against a judge that believes a status which promises that a request was not run.
func TestRefusedRequestsThatRanAreFound(t *testing.T) {
	ran := func(route string, status int) *silenceRecord {
		return newRecord(route, second, status, false).run(0, 0, halfSecond).record
	}
	expectJudged(t, (*silenceRecord).refusedButRun, []silenceCase{
		{"503 and ran", ran(unsafeRoute, 503), true},
		{"429 and ran", ran(singleRoute, 429), true},
		{"408 and ran", ran(unsafeRoute, 408), true},
		{"421 and ran", ran(unsafeRoute, 421), true},
		{"503 and did not run", newRecord(unsafeRoute, second, 503, false).record, false},
		{"502 and ran", ran(unsafeRoute, 502), false},
		{"503 and ran, may repeat", ran(safeRoute, 503), false},
	})
}

// Guards against a judge that misses events which are missing, come twice, out of order or from another request, or
// an answer that appears complete too early.
func TestEventsOutOfOrderAreFound(t *testing.T) {
	event := func(id string, number int) string {
		return platformsim.VersionComment + heldVersion + "\n" + platformsim.Event(id, number)
	}
	whole := platformsim.StreamBody("r1", heldVersion, heldEvents)
	body := func(text string, isBroken bool) *silenceRecord {
		return newRecord(resumableRoute, second, 200, isBroken).change(func(call *heldCall) { call.body = text }).record
	}
	expectJudged(t, (*silenceRecord).misordered, []silenceCase{
		{"whole", body(whole, false), false},
		{"cut short", body(event("r1", 1)+event("r1", 2), true), false},
		{"cut short before the first event", body("", true), false},
		{"complete too early", body(event("r1", 1)+event("r1", 2), false), true},
		{"an event twice", body(event("r1", 1)+event("r1", 1), true), true},
		{"an event missing", body(event("r1", 1)+event("r1", 3), true), true},
		{"out of order", body(event("r1", 2)+event("r1", 1), true), true},
		{"more than whole", body(whole+event("r1", heldEvents+1), false), true},
		{"of another request", body(event("r2", 1), true), true},
		{"plain and whole", newRecord(safeRoute, second, 200, false).record, false},
		{"plain and not whole", newRecord(safeRoute, second, 200, false).change(func(call *heldCall) { call.body = "answer" }).record, true},
		{"without a stamp", newRecord(safeRoute, second, 200, false).change(func(call *heldCall) { call.stamp = "" }).record, true},
		{"refused", newRecord(resumableRoute, second, 503, false).record, false},
	})
}

// Guards against rules that are not applied, and against a result that lists every one of many violations.
func TestAllRulesAreAppliedAndCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newRecord(singleRoute, 4*second, 502, false).run(0, 0, 2*second).run(1, second, 4*second)
	for range 3 * maxShownPerRule {
		b.record.calls = append(b.record.calls, b.record.calls[0])
	}
	refused, misordered := b.record.calls[0], b.record.calls[0]
	refused.status = 503
	misordered.status = 200
	b.record.calls = append(b.record.calls, refused, misordered)
	var violations int
	counts := b.record.check(func(string, ...any) { violations++ })
	requests := 3*maxShownPerRule + 3
	g.Expect(counts).To(gomega.Equal(map[string]int{"LOST": requests - 2, "TWICE": 2 * requests, "REFUSED": 1, "ORDER": 1}))
	g.Expect(violations).To(gomega.Equal(2*maxShownPerRule + 2 + len(counts)))
}

// Guards against plans of three series that leave out a quarter, three quarters or all of the replicas, or that need
// too many processes.
func TestPlansHoldEveryShareWithinTheProcessBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	const seeds = 200
	sizes := map[int]bool{}
	for seed := range uint64(seeds) {
		plan := drawSilence(seed, 18*time.Second)
		g.Expect(plan.processes()).To(gomega.BeNumerically("<=", maxProcesses))
		sizes[plan.engines] = true
		held := map[int]bool{}
		for _, planned := range plan.faults {
			if planned.kind != kindHold {
				continue
			}
			g.Expect(planned.duration).To(gomega.And(gomega.BeNumerically(">=", minHold), gomega.BeNumerically("<", maxHold)))
			engines := 0
			for _, number := range planned.replicas {
				if number < plan.engines {
					engines++
				}
			}
			quarters := 4 * engines / plan.engines
			if engines == 0 {
				quarters = 4 * len(planned.replicas) / plan.plain
			}
			held[quarters] = true
		}
		g.Expect(held).To(gomega.Equal(map[int]bool{1: true, 3: true, 4: true}), "quarters of seed %d", seed)
		g.Expect(plan).To(gomega.Equal(drawSilence(seed, 18*time.Second)), "the seed determines the plan")
	}
	g.Expect(sizes).To(gomega.HaveLen(3))
}
