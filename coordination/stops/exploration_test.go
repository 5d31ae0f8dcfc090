package stops

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The exploration visits every state that one request can reach, without a network and without a clock: the signal before or
// after any step of the request, a body and a grant that come at any time or never, replicas that reject, break off, go
// silent, answer or end, a service that turns slow, a caller that leaves, a second signal, the deadline and the end of the
// grace. The decisions are those of the package, and the model does what they say.

const (
	tick = 250 * time.Millisecond
	// grace and the deadlines are multiples of the tick.
	modelGrace = 8 * time.Second
)

// phase is how far the request is.
type phase uint8

const (
	absent phase = iota
	// reading means that the head was read, and the body is still to come.
	reading
	waiting
	// granted means that a slot was granted, and the connection is being opened.
	granted
	written
	// relaying means that the caller has a part of the response.
	relaying
	ended
)

// end is what the caller got.
type end uint8

const (
	nothing end = iota
	toldNotRun
	toldUnknown
	gotAnswer
	brokenOff
	callerLeft
)

// state is that of the request and its node.
type state struct {
	phase phase
	end   end
	// since and nodeSince are the ticks since the signal, in truth and as the node counts, plus one; zero before it.
	since, nodeSince int
	// left are the ticks until the deadline.
	left int
	// sends is the number of times that it was written, and hasBegun is true once a replica may have run it.
	sends    int
	hasBegun bool
	// isSlow is true once the service takes long.
	isSlow bool
	// overdue are the ticks for which the request has waited although it may not be written any more.
	overdue int
}

// course is a request and what its node knows of the service.
type course struct {
	isRepeatable, isStream bool
	deadline               time.Duration
	usual, slow            Expectation
}

// variant is the node, or one with a flaw.
type variant struct {
	name string
	// finds is what the exploration must find, empty for the node itself.
	finds                                                                            string
	assumesASecond, answersNothing, writesAnyGrant, waitsOn, saysNotRun, forgetsRuns bool
	restartsGrace, refusesAll, ignoresBodies                                         bool
}

const modelSends = 2

// model explores a course with a variant.
type model struct {
	variant
	course
	plan   Plan
	seen   map[state]bool
	faults map[string]bool
	// isFound is true once the flaw of the variant was found.
	isFound bool
}

func (m *model) explore(s state) {
	if m.seen[s] || m.isFound {
		return
	}
	m.seen[s] = true
	for _, next := range m.next(s) {
		m.explore(next)
	}
}

func (m *model) fail(fault string) {
	m.faults[fault] = true
	m.isFound = m.finds != "" && strings.Contains(fault, m.finds)
}

func sinceOf(ticks int) time.Duration { return time.Duration(max(ticks-1, 0)) * tick }

// request returns what the node knows of the request.
func (m *model) request(s state) Request {
	expected := m.usual
	if s.isSlow {
		expected = m.slow
	}
	return Request{
		IsRepeatable: m.isRepeatable, IsStream: m.isStream, HasBegun: s.hasBegun, Remaining: time.Duration(s.left) * tick, Expected: expected,
	}
}

// decide returns the decision of the variant.
func (m *model) decide(s state) Decision {
	if s.nodeSince == 0 {
		return Decision{Take: true, WriteBy: modelGrace, AnswerBy: modelGrace}
	}
	decision := m.plan.Decide(sinceOf(s.nodeSince), m.request(s))
	if m.assumesASecond && !m.isStream {
		decision.WriteBy = m.plan.AnswerBy() - time.Second
		decision.Take = sinceOf(s.nodeSince) < decision.WriteBy
	}
	decision.Take = decision.Take && !m.refusesAll
	return decision
}

// isLate reports whether the request may not be written any more.
func (m *model) isLate(s state) bool {
	return s.nodeSince > 0 && sinceOf(s.nodeSince) >= m.decide(s).WriteBy
}

// finish gives the request a final answer of the node.
func (m *model) finish(s state) state {
	switch {
	case s.phase == relaying:
		s.end = brokenOff
	case s.hasBegun && !m.forgetsRuns || s.phase == written && !m.saysNotRun:
		s.end = toldUnknown
	default:
		s.end = toldNotRun
	}
	s.phase = ended
	return m.checkEnd(s)
}

// checkEnd checks the second point of the invariant.
func (m *model) checkEnd(s state) state {
	if s.end == toldNotRun && s.hasBegun {
		m.fail("told that it had not run, although a replica may have run it")
	}
	return s
}

// write writes the request and checks the third point of the invariant.
func (m *model) write(s state) state {
	if s.since > 0 && !s.hasBegun {
		since, request := sinceOf(s.since), m.request(s)
		isExpected := !request.IsStream && (since+request.Remaining <= m.plan.AnswerBy() || request.Expected.IsKnown && since+request.Expected.LongWork <= m.plan.AnswerBy())
		isTypical := !request.Expected.IsKnown || request.IsStream || since+request.Expected.TypicalWork <= m.plan.AnswerBy()
		switch {
		case isExpected:
		case since >= m.plan.UnconditionalUntil():
			m.fail("written although no answer is expected in time")
		case !m.isRepeatable && !isTypical:
			m.fail("one that must not be repeated was written although it typically takes longer")
		}
	}
	s.phase, s.sends, s.overdue = written, s.sends+1, 0
	return s
}

// admit is the arrival of the whole request.
func (m *model) admit(s state) state {
	decision := m.decide(s)
	if decision.Take {
		s.phase = waiting
		return s
	}
	if request := m.request(s); sinceOf(s.since) < m.plan.UnconditionalUntil() && (m.isRepeatable || m.isStream || !request.Expected.IsKnown || sinceOf(s.since)+request.Expected.TypicalWork < m.plan.AnswerBy()) {
		m.fail("refused although the balancer still sends requests")
	} else if !m.isStream && request.Expected.IsKnown && sinceOf(s.since)+request.Expected.Wait+request.Expected.LongWork < m.plan.AnswerBy() {
		m.fail("refused although it is expected to end in time")
	}
	return m.finish(s)
}

// next returns the states that may follow.
func (m *model) next(s state) []state {
	var found []state
	add := func(next state) { found = append(found, next) }
	if s.phase == ended {
		return nil
	}
	if s.since > 0 && sinceOf(s.since) >= m.plan.Grace { // the process is killed
		if s.phase != absent {
			m.fail("no final answer at the end of the grace")
		}
		return nil
	}
	add(m.passTime(s))
	if s.since == 0 {
		signalled := s
		signalled.since, signalled.nodeSince = 1, 1
		add(signalled)
	} else if m.restartsGrace { // a second signal is without effect otherwise
		again := s
		again.nodeSince = 1
		add(again)
	}
	if !s.isSlow && s.since > 0 {
		slow := s
		slow.isSlow = true
		add(slow)
	}
	if s.phase != absent {
		left := s
		left.phase, left.end = ended, callerLeft
		add(left)
	}
	switch s.phase {
	case absent:
		begun := s
		begun.phase = reading
		add(begun)
	case reading:
		add(m.admit(s))
	case waiting:
		given := s
		given.phase = granted
		add(given)
	case granted:
		if m.isLate(s) && !m.writesAnyGrant {
			add(m.finish(s))
			break
		}
		add(m.write(s))
		unreached := s
		unreached.phase = waiting
		add(unreached)
	case written, relaying:
		found = append(found, m.afterWrite(s)...)
	}
	return found
}

// afterWrite returns what replicas may do with the request.
func (m *model) afterWrite(s state) []state {
	whole, rejected, broken, head := s, s, s, s
	whole.phase, whole.end = ended, gotAnswer
	found := []state{whole}
	if s.phase == written {
		rejected.phase = waiting
		if s.sends >= modelSends {
			rejected = m.finish(rejected)
		}
		found = append(found, rejected)
	}
	if m.isStream && s.phase == written {
		head.phase, head.hasBegun = relaying, true
		found = append(found, head)
	}
	broken.hasBegun = true
	switch {
	case s.phase == relaying || !m.isRepeatable || s.sends >= modelSends:
		broken = m.finish(broken)
	default:
		broken.phase = waiting
	}
	return append(found, broken)
}

// passTime lets a tick pass.
func (m *model) passTime(s state) state {
	if s.since > 0 {
		s.since, s.nodeSince = s.since+1, s.nodeSince+1
	}
	if s.phase == absent {
		return s
	}
	if s.left = max(s.left-1, 0); s.left == 0 {
		if s.phase == written {
			s.hasBegun = true // as far as anyone knows
		}
		return m.finish(s)
	}
	if s.phase == written && s.nodeSince > 0 && sinceOf(s.nodeSince) >= m.decide(s).AnswerBy && !m.answersNothing {
		s.hasBegun = true
		return m.finish(s)
	}
	if s.phase == relaying && s.nodeSince > 0 && sinceOf(s.nodeSince) >= m.decide(s).AnswerBy && !m.answersNothing {
		return m.finish(s)
	}
	if s.phase == written || s.phase == relaying {
		return s
	}
	isGivenUp := m.isLate(s) && !m.waitsOn && (s.phase != reading || !m.ignoresBodies)
	if isGivenUp {
		return m.finish(s)
	}
	if !s.hasBegun && s.since > 0 && sinceOf(s.since) >= m.plan.Decide(sinceOf(s.since), m.request(s)).WriteBy {
		if s.overdue++; s.overdue > 1 {
			m.fail("waits on although it can't be written any more")
			s.overdue = 1
		}
	}
	return s
}

// known returns the expectation of work that takes about the time.
func known(wait, work time.Duration) Expectation {
	return Expectation{IsKnown: true, Wait: wait, TypicalWork: work, LongWork: work + work/10 + longMargin}
}

// exploreCourses explores all courses and returns what went wrong, and the number of states.
func exploreCourses(v variant) (faults map[string]bool, states int) {
	faults = map[string]bool{}
	second := known(0, 10*time.Second)
	for _, isRepeatable := range []bool{false, true} {
		for _, isStream := range []bool{false, true} {
			for _, deadline := range []time.Duration{time.Second, 4 * time.Second, 12 * time.Second} {
				for _, usual := range []Expectation{{}, known(0, 30*time.Millisecond), known(time.Second, 2500*time.Millisecond), second} {
					for _, plan := range []Plan{{modelGrace}, {3 * time.Second}, {tick}} {
						m := &model{variant: v, course: course{isRepeatable, isStream, deadline, usual, second}, plan: plan, seen: map[state]bool{}, faults: faults}
						m.explore(state{left: int(deadline / tick)})
						if states += len(m.seen); m.isFound {
							return faults, states
						}
					}
				}
			}
		}
	}
	return faults, states
}

// Guards against an order of events in which a request that was read gets no answer or an untrue one, is written although
// it can't end in time, or waits or is refused without need.
func TestEveryOrderEndsInATrueAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	faults, states := exploreCourses(variant{})
	g.Expect(faults).To(gomega.BeEmpty())
	g.Expect(states).To(gomega.BeNumerically(">", 10_000))
	t.Log("states:", states)
}

// Guards against an exploration that finds nothing.
func TestExplorationFindsFlaws(t *testing.T) {
	for _, flawed := range []variant{
		{name: "plain requests take a second", finds: "written although no answer", assumesASecond: true},
		{name: "servers close with no answers", finds: "no final answer", answersNothing: true},
		{name: "each grant is used", finds: "written although no answer", writesAnyGrant: true, waitsOn: true},
		{name: "waits go on", finds: "waits on", waitsOn: true},
		{name: "bodies are awaited", finds: "waits on", ignoresBodies: true},
		{name: "all that runs has not run", finds: "told that it had not run", saysNotRun: true, forgetsRuns: true},
		{name: "earlier sends are forgotten", finds: "told that it had not run", forgetsRuns: true},
		{name: "a second signal restarts the grace", finds: "no final answer", restartsGrace: true},
		{name: "all is refused", finds: "refused although the balancer", refusesAll: true},
	} {
		t.Run(flawed.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			faults, _ := exploreCourses(flawed)
			var found []string
			for fault := range faults {
				found = append(found, fault)
			}
			g.Expect(strings.Join(found, "\n")).To(gomega.ContainSubstring(flawed.finds))
		})
	}
}
