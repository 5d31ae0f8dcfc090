package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// replacedBuilder makes up a record with one stream.
type replacedBuilder struct {
	start  time.Time
	record *replacedRecord
	stream *replacedStreamCall
}

// newReplacedCase returns a record with a stream on the route and three replicas, of which again-0 is replaced at 5 s by
// the other version.
func newReplacedCase(route string) *replacedBuilder {
	start := time.Now()
	b := &replacedBuilder{start: start, stream: &replacedStreamCall{name: "rs1", route: route}}
	b.record = &replacedRecord{
		startedAt: start, endedAt: start.Add(20 * time.Second), streams: []*replacedStreamCall{b.stream},
		incarnations: map[string]*replacedIncarnation{}, runs: map[string][]replacedRun{}, stops: map[int][]span{},
	}
	b.incarnation("again-0.0", "v1", 0).endedAt = b.at(5)
	b.incarnation("again-0.1", "v2", 5)
	b.incarnation("again-1.0", "v2", 0)
	b.incarnation("again-2.0", "v1", 0)
	return b
}

func (b *replacedBuilder) at(seconds float64) time.Time {
	return b.start.Add(time.Duration(seconds * float64(time.Second)))
}

func (b *replacedBuilder) incarnation(name, version string, startedAt float64) *replacedIncarnation {
	added := &replacedIncarnation{name: name, version: version, isFirst: strings.HasSuffix(name, ".0"), startedAt: b.at(startedAt), listedAt: b.at(startedAt)}
	b.record.incarnations[name] = added
	return added
}

// run adds a run of the request at the incarnation.
func (b *replacedBuilder) run(id, incarnation string, at float64) *replacedBuilder {
	b.record.runs[id] = append(b.record.runs[id], replacedRun{b.record.incarnations[incarnation], b.at(at)})
	return b
}

// try adds a try from the time on for a second that ended as complete with the events, which the incarnation sent.
func (b *replacedBuilder) try(from float64, incarnation string, numbers ...int) *replacedBuilder {
	try := replacedTry{id: fmt.Sprintf("rs1-%d", len(b.stream.tries)), lastID: b.stream.lastID(), span: span{b.at(from), b.at(from + 1)}, status: 200, stamp: "again"}
	b.stream.tries = append(b.stream.tries, try)
	b.run(try.id, incarnation, from)
	return b.events(incarnation, numbers...)
}

// events adds events that the incarnation sent to the last try.
func (b *replacedBuilder) events(incarnation string, numbers ...int) *replacedBuilder {
	last := b.last()
	for _, number := range numbers {
		last.events = append(last.events, platformsim.StreamEvent{Number: number, ID: number, Request: last.id, Version: b.record.incarnations[incarnation].version, Incarnation: incarnation})
	}
	return b
}

func (b *replacedBuilder) last() *replacedTry { return &b.stream.tries[len(b.stream.tries)-1] }

// broken breaks the connection of the last try.
func (b *replacedBuilder) broken() *replacedBuilder {
	b.last().isBroken = true
	return b
}

// left has the caller leave the last try.
func (b *replacedBuilder) left() *replacedBuilder {
	b.last().hasLeft = true
	return b
}

// with changes the last try.
func (b *replacedBuilder) with(change func(*replacedTry)) *replacedBuilder {
	change(b.last())
	return b
}

// found returns the names of the rules that find the stream.
func (b *replacedBuilder) found() []string {
	var names []string
	for _, rule := range replacedRules {
		if rule.check(b.record, b.stream) != "" && !slices.Contains(names, rule.name) {
			names = append(names, rule.name)
		}
	}
	return names
}

// numbersFrom returns the numbers of the events.
func numbersFrom(first, last int) []int {
	var numbers []int
	for number := first; number <= last; number++ {
		numbers = append(numbers, number)
	}
	return numbers
}

// Guards against a judge that overlooks a broken promise on streams at replicas that start again in place, or finds one
// in what is allowed.
func TestReplacedRulesFindBrokenPromises(t *testing.T) {
	all := numbersFrom(1, replacedEvents)
	resumable := func() *replacedBuilder { return newReplacedCase(replacedRoute) }
	lasting := func() *replacedBuilder { return newReplacedCase(lastingRoute) }
	refused := func(try *replacedTry) { try.status, try.events, try.stamp, try.hasRetryAfter = 503, nil, "", true }
	cases := []struct {
		name  string
		made  *replacedBuilder
		found []string
	}{
		{"a whole stream", resumable().try(1, "again-0.0", all...), nil},
		{"a stream that its caller resumes at the same version", resumable().try(1, "again-0.0", 1, 2).left().try(2, "again-2.0", numbersFrom(3, replacedEvents)...), nil},
		{"a stream that a node resumes at the same version", resumable().try(4.5, "again-0.0", 1, 2).run("rs1-0", "again-2.0", 5).events("again-2.0", numbersFrom(3, replacedEvents)...), nil},
		{"a stream that its caller resumes at the replaced replica", resumable().try(4.5, "again-0.0", 1, 2).broken().try(6, "again-0.1", numbersFrom(3, replacedEvents)...), []string{"VERSIONS"}},
		{"a stream that a node resumes at another version", resumable().try(4.5, "again-0.0", 1, 2).run("rs1-0", "again-1.0", 5).events("again-1.0", numbersFrom(3, replacedEvents)...), []string{"VERSIONS"}},
		{"an event is missing", resumable().try(1, "again-0.0", append([]int{1}, numbersFrom(3, replacedEvents)...)...), []string{"ORDER"}},
		{"an event is missing after a resumption", resumable().try(1, "again-0.0", 1, 2).left().try(2, "again-2.0", numbersFrom(4, replacedEvents)...), []string{"ORDER"}},
		{"an event comes twice", resumable().try(1, "again-0.0", 1, 2).left().try(2, "again-2.0", numbersFrom(2, replacedEvents)...), []string{"ORDER"}},
		{"a resumed stream begins anew", resumable().try(1, "again-0.0", 1, 2).left().try(2, "again-2.0", all...), []string{"ORDER"}},
		{"a number goes back", resumable().try(1, "again-0.0", 1, 3, 2).left(), []string{"ORDER"}},
		{"an early end that looks complete", resumable().try(1, "again-0.0", 1, 2, 3), []string{"ORDER"}},
		{"an end that looks complete without an event", resumable().try(1, "again-0.0", 1, 2).left().try(2, "again-2.0"), []string{"ORDER"}},
		{"an end that looks complete within an event", resumable().try(1, "again-0.0", all...).with(func(try *replacedTry) { try.rest = "id: 17\n" }), []string{"ORDER"}},
		{"two runs in a stream that may not be resumed", lasting().try(1, "again-0.0", 1, 2).left().try(2, "again-2.0", numbersFrom(3, replacedEvents)...), []string{"ORDER"}},
		{"an event of another request", resumable().try(1, "again-0.0", all...).with(func(try *replacedTry) { try.events[4].Request = "rs2-0" }), []string{"MIXED"}},
		{"an event of the stream's former request", resumable().try(1, "again-0.0", 1).left().try(2, "again-0.0", numbersFrom(2, replacedEvents)...).with(func(try *replacedTry) { try.events[0].Request = "rs1-0" }), []string{"MIXED"}},
		{"events of an incarnation that did not run the request", resumable().try(1, "again-0.0").events("again-2.0", all...), []string{"MIXED"}},
		{"a version that the incarnation does not have", resumable().try(1, "again-0.0", all...).with(func(try *replacedTry) {
			for i := range try.events {
				try.events[i].Version = "v2"
			}
		}), []string{"MIXED"}},
		{"bytes that are no event", resumable().try(1, "again-0.0", 1).left().with(func(try *replacedTry) { try.malformed = fmt.Errorf("no event") }), []string{"MIXED"}},
		{"a success without a stamp", resumable().try(1, "again-0.0", all...).with(func(try *replacedTry) { try.stamp = "" }), []string{"MIXED"}},
		{"two runs of a stream that may be resumed", resumable().try(1, "again-0.0", all...).run("rs1-0", "again-2.0", 1.2), nil},
		{"two runs of a stream that may not", lasting().try(1, "again-0.0", all...).run("rs1-0", "again-2.0", 1.2), []string{"TWICE"}},
		{"two runs at one replica of a stream that may not", lasting().try(1, "again-0.0", all...).run("rs1-0", "again-0.0", 1.2), []string{"TWICE"}},
		{"refused and not run", lasting().try(1, "again-0.0").with(func(try *replacedTry) { refused(try); try.id = "rs1-9" }), nil},
		{"refused and run", lasting().try(1, "again-0.0").with(refused), []string{"REFUSED"}},
		{"refused and run, where it may run twice", resumable().try(1, "again-0.0").with(refused), nil},
		{"refused without a time to come back", resumable().try(1, "again-0.0").with(func(try *replacedTry) { try.status, try.stamp = 503, "" }), []string{"REFUSED"}},
		{"lost at a sound replica", resumable().try(1, "again-1.0", 1, 2).broken(), []string{"LOST"}},
		{"lost with 502 at a sound replica", resumable().try(1, "again-1.0").with(func(try *replacedTry) { try.status = 502 }), []string{"LOST"}},
		{"lost as the replica ended", lasting().try(4.5, "again-0.0", 1, 2).broken(), nil},
		{"left by its caller", resumable().try(1, "again-1.0", 1, 2).left(), nil},
	}
	for _, made := range cases {
		t.Run(made.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(made.made.found()).To(gomega.Equal(made.found))
		})
	}
}

// Guards against a loss that the judge excuses although no fault explains it, or counts although one does.
func TestLostStreamsAreExcusedByFaultsOfTheirNodeOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	lostAt := func(disturb func(*replacedBuilder)) []string {
		made := newReplacedCase(replacedRoute).try(6, "again-1.0", 1, 2).broken()
		disturb(made)
		return made.found()
	}
	stop := func(node int, from float64) func(*replacedBuilder) {
		return func(b *replacedBuilder) {
			b.record.stops[node] = []span{{b.at(from), b.at(from + 4)}}
		}
	}
	g.Expect(lostAt(func(b *replacedBuilder) { b.record.unplanned = []span{{b.at(6.5), b.at(8)}} })).To(gomega.BeEmpty())
	g.Expect(lostAt(func(b *replacedBuilder) { b.record.unplanned = []span{{b.at(1), b.at(5)}} })).To(gomega.Equal([]string{"LOST"}))
	g.Expect(lostAt(stop(0, 6.5))).To(gomega.Equal([]string{"LOST"}), "the stop has grace time left")
	g.Expect(lostAt(stop(0, 6.9-stopGrace.Seconds()))).To(gomega.BeEmpty(), "the grace time is over")
	g.Expect(lostAt(stop(1, 6.9-stopGrace.Seconds()))).To(gomega.Equal([]string{"LOST"}), "the stop of another node")
}

// Guards against a number of mixed or lost streams beyond the allowed one that is no violation, or one that is not
// reported.
func TestReplacedRulesAllowAsManyAsTheirBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	made := newReplacedCase(replacedRoute).try(4.5, "again-0.0", 1, 2).broken().try(6, "again-0.1", numbersFrom(3, replacedEvents)...)
	var violations []string
	violate := func(format string, arguments ...any) {
		violations = append(violations, fmt.Sprintf(format, arguments...))
	}
	made.record.streams = slices.Repeat(made.record.streams, maxMixedStreams)
	counts, allowed := made.record.check(violate)
	g.Expect(counts["VERSIONS"]).To(gomega.Equal(maxMixedStreams))
	g.Expect(allowed).To(gomega.HaveLen(maxMixedStreams))
	g.Expect(violations).To(gomega.BeEmpty())
	made.record.streams = append(made.record.streams, made.stream)
	counts, allowed = made.record.check(violate)
	g.Expect(counts["VERSIONS"]).To(gomega.Equal(maxMixedStreams + 1))
	g.Expect(allowed).To(gomega.BeEmpty())
	g.Expect(violations).To(gomega.HaveLen(1 + maxMixedStreams + 1))
}

// sharesCase returns a record of 20 s in which a stream begins each 100 ms at the incarnation that the function names,
// and a caller resumes each of them after that.
func sharesCase(incarnationOf func(number int) string, goesOn func(number int) bool) *replacedBuilder {
	b := newReplacedCase(replacedRoute)
	b.record.streams = nil
	for number := range 200 {
		from := float64(number) / 10
		b.stream = &replacedStreamCall{name: fmt.Sprintf("rs%d", number), route: replacedRoute}
		b.record.streams = append(b.record.streams, b.stream)
		incarnation := incarnationOf(number)
		if incarnation == "" {
			b.stream.tries = []replacedTry{{id: b.stream.name, status: 503, span: span{b.at(from), b.at(from)}}}
			continue
		}
		b.stream.tries = []replacedTry{{id: b.stream.name, status: 200, span: span{b.at(from), b.at(from)}}}
		b.events(incarnation, 1).run(b.stream.name, incarnation, from)
		b.stream.tries = append(b.stream.tries, replacedTry{id: b.stream.name + "-1", lastID: 1, status: 503, span: span{b.at(from), b.at(from)}})
		if goesOn(number) {
			b.events(incarnation, 2)
		}
	}
	return b
}

// Guards against replicas that get no new streams after they started again, and resumed streams that are refused, which
// the judge does not notice.
func TestReplacedSharesAreJudged(t *testing.T) {
	evenly := func(number int) string {
		if names := []string{"again-0.0", "again-1.0", "again-2.0"}; number < 50 {
			return names[number%3]
		}
		return []string{"again-0.1", "again-1.0", "again-2.0"}[number%3]
	}
	passedOver := func(number int) string { return []string{"again-1.0", "again-2.0"}[number%2] }
	always := func(int) bool { return true }
	unlist := func(b *replacedBuilder) { b.record.incarnations["again-0.1"].listedAt = time.Time{} }
	cases := []struct {
		name    string
		made    *replacedBuilder
		change  func(*replacedBuilder)
		problem string
	}{
		{"served evenly", sharesCase(evenly, always), nil, ""},
		{"served evenly before it is listed", sharesCase(evenly, always), unlist, ""},
		{"passed over", sharesCase(passedOver, always), nil, "replicas that started again serve too few"},
		{"passed over before it is listed", sharesCase(passedOver, always), unlist, "not listed yet serve too few"},
		{"resumed streams are refused", sharesCase(evenly, func(number int) bool { return number%3 == 0 }), nil, "resumed too seldom"},
		{"resumed streams are refused while the store fails", sharesCase(evenly, func(number int) bool { return number%3 == 0 }), func(b *replacedBuilder) {
			b.record.storeFaults = []span{{b.at(-1), b.at(21)}}
		}, ""},
		{"new streams are refused", sharesCase(func(number int) string {
			if number%2 == 0 {
				return ""
			}
			return evenly(number / 2 * 2)
		}, always), nil, "begin too seldom"},
	}
	for _, made := range cases {
		t.Run(made.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			if made.change != nil {
				made.change(made.made)
			}
			var violations []string
			made.made.record.checkShares(func(format string, arguments ...any) {
				violations = append(violations, fmt.Sprintf(format, arguments...))
			})
			if made.problem == "" {
				g.Expect(violations).To(gomega.BeEmpty())
				return
			}
			g.Expect(violations).To(gomega.ConsistOf(gomega.ContainSubstring(made.problem)))
		})
	}
}

// Guards against plans that differ between two draws of a seed, start a replica before it ended, leave a version
// without replicas, or need more processes than the budget has, and against kinds that no seed draws.
func TestReplacementPlans(t *testing.T) {
	g := gomega.NewWithT(t)
	const traffic = 18 * time.Second
	largest, kindsSeen, versionChanges, soonAgain := 0, map[kind]bool{}, 0, 0
	for seed := range uint64(60) {
		plan := drawReplaced(seed, traffic)
		g.Expect(plan).To(gomega.Equal(drawReplaced(seed, traffic)), "the seed determines the plan")
		g.Expect(plan.processes()).To(gomega.BeNumerically("<=", maxProcesses))
		largest = max(largest, plan.processes())
		free, present := map[int]time.Duration{}, slices.Clone(plan.versions)
		for _, planned := range plan.faults {
			g.Expect(planned.offset+planned.duration).To(gomega.BeNumerically("<", traffic+replacedCalm), "%v", planned)
			kindsSeen[planned.kind] = true
			if planned.kind != kindReincarnate {
				continue
			}
			if last, found := free[planned.target]; found {
				g.Expect(planned.offset).To(gomega.BeNumerically(">", last))
				if planned.offset-last < maxAgainGap {
					soonAgain++
				}
			}
			free[planned.target] = planned.offset + planned.duration
			if planned.version != present[planned.target] {
				versionChanges++
			}
			present[planned.target] = planned.version
		}
		for _, version := range replacedVersions {
			count := len(slices.DeleteFunc(slices.Clone(present), func(other string) bool { return other != version }))
			g.Expect(count).To(gomega.BeNumerically(">=", max(1, len(present)/4)), "seed %d leaves %s", seed, version)
		}
	}
	g.Expect(largest).To(gomega.BeNumerically(">", maxProcesses-10))
	g.Expect(versionChanges).To(gomega.BeNumerically(">", 200))
	g.Expect(soonAgain).To(gomega.BeNumerically(">", 50))
	for _, expected := range []kind{kindStoreDown, kindStoreCut, kindStoreLost, kindKill, kindStop, kindFreeze, kindHangUp, kindChange, kindGrow, kindPathCut} {
		g.Expect(kindsSeen).To(gomega.HaveKey(expected))
	}
}
