package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// stopsBuilder makes up a record with one request, beside a stop of node 0 from 10 s on.
type stopsBuilder struct {
	start  time.Time
	record *stopsRecord
	call   *stopsCall
}

// newStopsCase returns a record with a request on the route.
func newStopsCase(service string, mayRepeat bool) *stopsBuilder {
	b := &stopsBuilder{start: time.Now(), call: &stopsCall{name: "st1", deadline: maxStopsTime}}
	for _, route := range stopsRoutes() {
		if route.stopsService.name == service && route.mayRepeat == mayRepeat {
			b.call.route = route
		}
	}
	b.record = &stopsRecord{startedAt: b.start, calls: []*stopsCall{b.call}, runs: map[string][]platformsim.Run{}}
	b.record.stops = []plannedStop{{span: span{b.at(10), b.at(18)}}}
	return b
}

func (b *stopsBuilder) at(seconds float64) time.Time {
	return b.start.Add(time.Duration(seconds * float64(time.Second)))
}

// try adds a try to node 0, sent and ended at the times, with the status. An answered plain one has its body.
func (b *stopsBuilder) try(from, to float64, status int) *stopsBuilder {
	try := stopsTry{sentAt: b.at(from), replacedTry: replacedTry{id: fmt.Sprintf("st1-%d", len(b.call.tries)), span: span{b.at(from), b.at(to)}, status: status, hasRetryAfter: status == 503}}
	if status == 200 {
		try.stamp, try.rest = "stops-0", platformsim.PlainBody(try.id)
	}
	b.call.tries = append(b.call.tries, try)
	return b
}

// with changes the last try.
func (b *stopsBuilder) with(change func(*stopsTry)) *stopsBuilder {
	change(&b.call.tries[len(b.call.tries)-1])
	return b
}

// broken breaks the connection of the last try.
func (b *stopsBuilder) broken() *stopsBuilder {
	return b.with(func(try *stopsTry) { try.isBroken = true })
}

// ran adds a run of the last try.
func (b *stopsBuilder) ran() *stopsBuilder {
	last := b.call.tries[len(b.call.tries)-1]
	b.record.runs[last.id] = append(b.record.runs[last.id], platformsim.Run{ID: last.id, At: last.span.from, EndedAt: last.span.to, Cancelled: true})
	return b
}

// unplanned adds a fault.
func (b *stopsBuilder) unplanned(from, to float64) *stopsBuilder {
	b.record.unplanned = append(b.record.unplanned, span{b.at(from), b.at(to)})
	return b
}

// Guards against a judge that overlooks a request that a stopping node lost, cut, repeated or answered untruly, or finds
// one in what is allowed.
func TestStopsRulesFindBrokenPromises(t *testing.T) {
	once := func() *stopsBuilder { return newStopsCase(stopsMiddling, false) }
	safe := func() *stopsBuilder { return newStopsCase(stopsMiddling, true) }
	stream := func() *stopsBuilder { return newStopsCase(stopsEvents, true) }
	lasting := func() *stopsBuilder { return newStopsCase(stopsLasting, false) }
	cases := []struct {
		name  string
		made  *stopsBuilder
		found []string
	}{
		{"answered", once().try(15, 16.5, 200).ran(), nil},
		{"refused and not run", once().try(15, 15, 503), nil},
		{"refused and served elsewhere", once().try(15, 15, 503).try(15.1, 16.6, 200).ran(), nil},
		{"outcome unknown", once().try(15, 16, 502).ran(), nil},
		{"sent in time, run and cut", once().try(12, 17.7, 0).broken().ran(), []string{"LOST"}},
		{"sent late, run and cut", once().try(15, 17.7, 0).broken().ran(), []string{"LOST", "LATE"}},
		{"a repeatable one that is cut", safe().try(15, 17.7, 0).broken().ran(), []string{"LOST", "LATE"}},
		{"cut in the middle of a plain answer", once().try(12, 14, 200).broken().ran(), []string{"LOST"}},
		{"cut at once, run", once().try(15, 15.1, 0).broken().ran(), []string{"LOST", "LATE"}},
		{"cut while it waits for a slot", once().try(15, 17.7, 0).broken(), []string{"LOST"}},
		{"cut outside of stops", once().try(3, 4, 0).broken().ran(), []string{"LOST"}},
		{"crossed the close of an idle connection", once().try(15, 15.1, 0).broken(), nil},
		{"crossed the close with a body that came late", once().try(15, 16.1, 0).broken().with(func(try *stopsTry) { try.sentAt = b(try, 1) }), nil},
		{"closed before its body was sent", once().try(15, 17, 0).broken().with(func(try *stopsTry) { try.sentAt = time.Time{} }), nil},
		{"cut beside a kill", once().try(15, 17.7, 0).broken().ran().unplanned(16, 17), nil},
		{"cut after a kill", once().try(15, 17.7, 0).broken().ran().unplanned(12, 14.9), []string{"LOST", "LATE"}},
		{"a stream that is broken off at the end", lasting().try(12, 17.7, 200).broken().ran(), nil},
		{"a stream that is closed before its head", lasting().try(12, 17.7, 0).broken().ran(), []string{"LOST"}},
		{"a late stream that is broken off", stream().try(14, 17.7, 200).broken().ran(), []string{"LATE"}},
		{"two runs", once().try(12, 13.5, 200).ran().ran(), []string{"TWICE"}},
		{"two runs of one that may be repeated", safe().try(12, 13.5, 200).ran().ran(), nil},
		{"refused and run", once().try(12, 13, 503).ran(), []string{"REFUSED"}},
		{"too late and run", once().try(12, 13, 408).ran(), []string{"REFUSED"}},
		{"refused and run, where it may run twice", safe().try(12, 13, 503).ran(), nil},
		{"refused without a time to come back", once().try(12, 13, 503).with(func(try *stopsTry) { try.hasRetryAfter = false }), []string{"REFUSED"}},
		{"another's answer", once().try(12, 13.5, 200).ran().with(func(try *stopsTry) { try.rest = platformsim.PlainBody("st2-0") }), []string{"MIXED"}},
		{"an answer that nobody gave", once().try(12, 13.5, 200), []string{"MIXED"}},
		{"a success without a stamp", once().try(12, 13.5, 200).ran().with(func(try *stopsTry) { try.stamp = "" }), []string{"MIXED"}},
	}
	for _, made := range cases {
		t.Run(made.name, func(t *testing.T) {
			var found []string
			for _, rule := range stopsRules {
				for number := range made.made.call.tries {
					if rule.check(made.made.record, made.made.call, &made.made.call.tries[number]) != "" && !slices.Contains(found, rule.name) {
						found = append(found, rule.name)
					}
				}
			}
			gomega.NewWithT(t).Expect(found).To(gomega.Equal(made.found))
			var violations []string
			counts := made.made.record.check(func(format string, arguments ...any) {
				violations = append(violations, fmt.Sprintf(format, arguments...))
			})
			gomega.NewWithT(t).Expect(counts).To(gomega.HaveLen(len(made.found)))
			gomega.NewWithT(t).Expect(violations).To(gomega.HaveLen(2 * len(made.found)))
		})
	}
}

// b returns the time after the start of the try.
func b(try *stopsTry, seconds float64) time.Time {
	return try.span.from.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a share of served requests that counts what a stopping node need not serve, or that is too small
// without a violation.
func TestStopsShareCountsWhatIsDue(t *testing.T) {
	g := gomega.NewWithT(t)
	refused := func() *stopsBuilder { return newStopsCase(stopsBrief, false).try(15, 15, 503) }
	counted := func(made *stopsBuilder) servedCount {
		judged, unserved := made.record.servedBesideStops()
		g.Expect(unserved).To(gomega.HaveLen(judged.failed()))
		return judged
	}
	g.Expect(counted(refused())).To(gomega.Equal(servedCount{1, 0}))
	g.Expect(counted(refused().try(15.1, 15.2, 200))).To(gomega.Equal(servedCount{1, 1}))
	g.Expect(counted(newStopsCase(stopsBrief, false).try(3, 3.1, 503))).To(gomega.BeZero(), "outside of stops")
	g.Expect(counted(refused().unplanned(14, 16))).To(gomega.BeZero(), "beside a fault")
	g.Expect(counted(newStopsCase(stopsQueue, false).try(15, 15, 503))).To(gomega.BeZero(), "full replicas")
	short := refused()
	short.call.deadline = stopsReserve
	g.Expect(counted(short)).To(gomega.BeZero(), "no time after a refusal")
	several := refused()
	several.record.stops = append(several.record.stops, plannedStop{span: span{several.at(14), several.at(20)}, node: 1})
	g.Expect(counted(several)).To(gomega.BeZero(), "beside another stop")

	many := newStopsCase(stopsBrief, false)
	many.record.calls = nil
	share := func(served, sent int) (violations []string) {
		many.record.calls = slices.Repeat([]*stopsCall{refused().call}, sent-served)
		many.record.calls = append(many.record.calls, slices.Repeat([]*stopsCall{refused().try(15.1, 15.2, 200).call}, served)...)
		many.record.checkShare(func(format string, arguments ...any) {
			violations = append(violations, fmt.Sprintf(format, arguments...))
		})
		return violations
	}
	g.Expect(share(requiredAnswers(200), 200)).To(gomega.BeEmpty())
	g.Expect(share(requiredAnswers(200)-1, 200)).To(gomega.HaveLen(1 + maxShownPerRule))
}

// Guards against requests that get no answer long after their deadline without a violation.
func TestRequestsWhoseTimeIsOverGetAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	made := newStopsCase(stopsBrief, true)
	fill := func(service string, unanswered, answered int) (violations int) {
		left := newStopsCase(service, true).try(2, 9, 0).with(func(try *stopsTry) { try.hasLeft = true }).call
		made.record.calls = append(slices.Repeat([]*stopsCall{left}, unanswered), slices.Repeat([]*stopsCall{newStopsCase(service, true).try(2, 8.1, 504).call}, answered)...)
		made.record.checkDeadlines(func(string, ...any) { violations++ })
		return violations
	}
	g.Expect(fill(stopsBrief, minUnanswered, 2*minUnanswered)).To(gomega.Equal(1))
	g.Expect(fill(stopsBrief, minUnanswered, 3*minUnanswered)).To(gomega.BeZero())
	g.Expect(fill(stopsBrief, minUnanswered-1, 0)).To(gomega.BeZero())
	g.Expect(fill(stopsLasting, minUnanswered, 0)).To(gomega.BeZero(), "callers leave these at the end")
	made.unplanned(4, 5)
	g.Expect(fill(stopsBrief, minUnanswered, 0)).To(gomega.BeZero(), "beside a fault")
}

// Guards against a node that is still there at the end of its grace without a violation.
func TestNodesHaveToEndWithinTheirGrace(t *testing.T) {
	g := gomega.NewWithT(t)
	count := func(made *stopsBuilder) (violations int) {
		made.record.checkExits(func(string, ...any) { violations++ })
		return violations
	}
	made := newStopsCase(stopsBrief, true)
	g.Expect(count(made)).To(gomega.BeZero())
	made.record.stops[0].isKilled = true
	g.Expect(count(made)).To(gomega.Equal(1))
	g.Expect(count(made.unplanned(11, 12))).To(gomega.BeZero(), "a fault may have held it up")
}

// Guards against a body that counts as sent before it is, so that a close before it would count as a loss.
func TestLateBodiesCountAsSentOnceTheyAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var sentAt atomic.Int64
		start := time.Now()
		body := &lateBody{strings.NewReader("st1"), time.Second, &sentAt}
		content, err := io.ReadAll(body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(content)).To(gomega.Equal("st1"))
		g.Expect(time.Unix(0, sentAt.Load()).Sub(start)).To(gomega.Equal(time.Second))
	})
}

// Guards against plans that differ between two draws of a seed, stop all nodes at once, have unplanned faults in a calm
// run or no stop of a single node, and against kinds that no seed draws.
func TestStopPlans(t *testing.T) {
	g := gomega.NewWithT(t)
	const traffic = 40 * time.Second
	kindsSeen, sizesSeen, calm, seconds, overlapping := map[kind]bool{}, map[int]bool{}, 0, 0, 0
	for seed := range uint64(80) {
		plan := drawStops(seed, traffic)
		g.Expect(plan).To(gomega.Equal(drawStops(seed, traffic)), "the seed determines the plan")
		g.Expect(plan.nodes).To(gomega.BeNumerically("<=", maxProcesses))
		sizesSeen[plan.nodes] = true
		var stops []fault
		for _, planned := range plan.faults {
			kindsSeen[planned.kind] = true
			if planned.kind == kindPlannedStop {
				stops = append(stops, planned)
				if planned.second > 0 {
					seconds++
				}
			} else {
				g.Expect(plan.isCalm).To(gomega.BeFalse(), "seed %d: %v", seed, planned)
			}
		}
		if plan.isCalm {
			calm++
		}
		for number, stop := range stops {
			atOnce := 0
			for _, other := range stops {
				if other.offset <= stop.offset && stop.offset < other.offset+stopsGrace {
					atOnce++
				}
			}
			g.Expect(atOnce).To(gomega.BeNumerically("<", plan.nodes), "seed %d", seed)
			if number == 0 {
				g.Expect(atOnce).To(gomega.Equal(1))
			}
			if atOnce > 1 {
				overlapping++
			}
		}
	}
	g.Expect(sizesSeen).To(gomega.HaveLen(5))
	g.Expect(calm).To(gomega.And(gomega.BeNumerically(">", 20), gomega.BeNumerically("<", 60)))
	g.Expect(seconds).To(gomega.BeNumerically(">", 10))
	g.Expect(overlapping).To(gomega.BeNumerically(">", 30))
	for _, expected := range []kind{kindHangUp, kindChange, kindGrow, kindReplicaEnds, kindReplicaSilent, kindKill, kindFreeze, kindStoreDown, kindStoreHang, kindStoreReset, kindStoreLost} {
		g.Expect(kindsSeen).To(gomega.HaveKey(expected))
	}
}
