package incarnations

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// The exploration visits every state that one node's knowledge of one replica can reach, without a network, in ticks of
// a second. The replica's process ends and a successor starts in place, whose entry is written as late as the package
// assumes; the store is away for a moment or for long, and comes back, also from a copy that lists the former entry;
// views arrive late or never; connections are opened, carry requests whose answers are read late, also after the end of
// the process, and break, which the node notices late. Whatever happens in one tick happens in any order. The decisions
// are those of Tracker.

const (
	modelTick = time.Second
	// modelNow is the present instant of every state: instants are kept relative to it, so that visited states are
	// recognized. What is older than modelMemory is dropped. Doubts, and what ends them, are told apart up to an age of
	// doubtMemory.
	modelNow    = structs.Instant(time.Hour)
	modelMemory = 7
	doubtMemory = 11
	// maxModelStates bounds the memory of an exploration.
	maxModelStates = 20_000_000
	// modelDelay is EntryDelay, and assumedFor how long after the start of a successor ProofAssumed may be wrong.
	modelDelay = int8(EntryDelay / modelTick)
	assumedFor = int8((EntryDelay + maxViewGap + maxViewAge) / modelTick)
	// maxViewLateness is how late a view arrives.
	maxViewLateness   = 1
	maxAnswerLateness = 1
	never             = int8(-1)
	// isNoticed stands for an outage that the node notices, as a call fails or views are missing.
	isNoticed         = int8(2)
	noProcess         = int8(0)
	former, successor = int8(1), int8(2)
)

// formerRun is the incarnation for which the connections are opened.
var formerRun = Incarnation{Replica: "r", StartedAt: 1}

// question is what an exploration judges. Proofs don't depend on doubts, and an assumption does not depend on when the
// connection was opened, so that each is explored without what the other depends on.
type question uint8

const (
	proofs question = iota
	// restored is proofs by entries if the store may be restored, without requests.
	restored
	assumptions
	// chains is what follows from a connection without a break, without requests and outages of the store. The successor
	// starts at least a tick after the end, so that nothing proven reaches over a replacement.
	chains
)

// modelRequest is a request on a connection. The process answers it at once, and the node reads the answer late. Only
// one is under way.
type modelRequest struct {
	isUnderWay, isReport bool
	// process is the one that answers.
	process, age int8
}

// modelView is a view under way to the node.
type modelView struct {
	isUnderWay, isAfterRestore bool
	isListed                   bool
	age                        int8
}

// modelTracker is a Tracker without its map.
type modelTracker struct {
	hasView, isInterrupted, hasCover bool
	hasLived                         bool
	livedUntil                       structs.Instant
	viewAsOf, steadySince            structs.Instant
	interruptedAt, coversUntil       structs.Instant
	known                            knowledge
}

// modelState is comparable.
type modelState struct {
	// endedAge and startedAge are the ticks since the former process ended and the successor started, or never.
	endedAge, startedAge int8
	// listed is the process whose entry the store has. due are the ticks within which that entry is replaced or
	// removed while the store is up.
	listed, due         int8
	isAway, wasRestored bool
	isRestoreKnown      bool
	// awayFor are the ticks since the store went away, up to isNoticed. hadShortOutage is true if the successor's entry was delayed by
	// an outage that the node did not notice.
	awayFor        int8
	hadShortOutage bool
	view           modelView
	// isListed is true if the latest view lists the former incarnation.
	isListed bool
	tracker  modelTracker
	// isConnected is true while there is a connection to the former process, which was opened long ago. openedAge are the
	// ticks since a connection to the successor was opened while the node had the former entry, or never. More of them
	// add nothing: all evidence is of connections to the former process, and each one to the successor is judged by itself.
	isConnected bool
	openedAge   int8
	request     modelRequest
	// isEndNoticed is true once the node has noticed that a connection broke with the former process.
	isEndNoticed bool
}

// trackerVariant is a deliberately broken use or design of the tracker.
type trackerVariant struct {
	name     string
	question question
	// countsEntryAtOnce and countsEntryEarly take the entry for proof too early: at once, and without regard to outages
	// that are not noticed.
	countsEntryAtOnce, countsEntryEarly bool
	ignoresGaps, ignoresInterruptions   bool
	keepsCoverOverRestore               bool
	datesViewsAtArrival                 bool
	provesItself                        bool
	datesAnswersAtArrival               bool
	datesReportsAtArrival               bool
	countsReportForLater                bool
	ignoresDoubts                       bool
	assumesAtOnce                       bool
	// promotesAssumed takes a connection that was assumed to lead to the incarnation when it was opened for one that does.
	promotesAssumed bool
}

func (m *modelState) load() *Tracker {
	saved := m.tracker
	tracker := NewTracker()
	tracker.hasView, tracker.isInterrupted, tracker.hasCover = saved.hasView, saved.isInterrupted, saved.hasCover
	tracker.viewAsOf, tracker.steadySince = saved.viewAsOf, saved.steadySince
	tracker.interruptedAt, tracker.coversUntil = saved.interruptedAt, saved.coversUntil
	tracker.livedUntil, tracker.hasLived = saved.livedUntil, saved.hasLived
	if saved.known != (knowledge{}) {
		tracker.known[formerRun] = saved.known
	}
	return tracker
}

func (m *modelState) save(t *Tracker) {
	m.tracker = modelTracker{
		hasView: t.hasView, isInterrupted: t.isInterrupted, hasCover: t.hasCover,
		viewAsOf: t.viewAsOf, steadySince: t.steadySince, interruptedAt: t.interruptedAt, coversUntil: t.coversUntil,
		livedUntil: t.livedUntil, hasLived: t.hasLived, known: t.known[formerRun],
	}
}

// ago returns the instant before the given number of ticks.
func ago(ticks int8) structs.Instant { return modelNow - time.Duration(ticks)*modelTick }

// shift makes the instants one tick older. It limits the age of those whose age does not matter beyond that, and drops
// what concerns no connection any more.
func (t *modelTracker) shift() {
	oldest := ago(modelMemory + 1)
	age := func(instant *structs.Instant, limit structs.Instant) {
		if *instant != 0 {
			*instant = max(*instant-modelTick, limit)
		}
	}
	age(&t.viewAsOf, ago(maxViewLateness+2))
	age(&t.interruptedAt, ago(maxViewLateness+2))
	age(&t.steadySince, ago(doubtMemory+3))
	age(&t.coversUntil, oldest)
	age(&t.livedUntil, ago(doubtMemory+2))
	age(&t.known.confirmedAt, oldest)
	age(&t.known.doubtedAt, ago(doubtMemory+1))
	for _, alive := range []*lastAlive{&t.known.alive, &t.known.assumedAlive} {
		if age(&alive.at, oldest); alive.at == oldest {
			*alive = lastAlive{}
		}
	}
	if t.viewAsOf <= ago(maxViewLateness+2) || t.isInterrupted {
		t.steadySince = 0 // the next view sets it
	} else {
		t.steadySince = max(t.steadySince, t.viewAsOf-(doubtMemory+1)*modelTick)
	}
	if !t.isInterrupted {
		t.interruptedAt = 0
	}
	if t.coversUntil <= oldest {
		t.hasCover, t.coversUntil = false, 0
	}
	if t.known.proof != ProofNone && t.known.confirmedAt > t.known.doubtedAt {
		t.known.doubtedAt, t.known.isDoubted = 0, false
	}
	if t.known.confirmedAt == oldest {
		t.known.confirmedAt, t.known.proof = 0, ProofNone
	}
	if t.known.proof != ProofNone {
		t.known.proof = ProofReport // which proof it was makes no difference
	}
}

func age(ticks int8) int8 {
	if ticks == never {
		return never
	}
	return min(ticks+1, modelMemory+1)
}

// process returns the process at the address.
func (m *modelState) process() int8 {
	switch {
	case m.endedAge == never:
		return former
	case m.startedAge == never:
		return noProcess
	}
	return successor
}

// isDelayed reports whether the entry in the store is that of a process which has ended.
func (m *modelState) isDelayed() bool { return m.listed == former && m.endedAge != never }

// step is a successor with its description.
type step struct {
	name  string
	state modelState
}

type stepper struct {
	from     *modelState
	variant  *trackerVariant
	question question
	steps    []step
}

func (s *stepper) add(name string, change func(*modelState)) {
	s.steps = append(s.steps, step{name, *s.from})
	next := &s.steps[len(s.steps)-1].state
	change(next)
	if !next.isDelayed() {
		next.due, next.hadShortOutage = 0, false
	}
}

// addWithTracker adds a step that changes the tracker too.
func (s *stepper) addWithTracker(name string, change func(*modelState, *Tracker)) {
	s.add(name, func(m *modelState) {
		tracker := m.load()
		change(m, tracker)
		m.save(tracker)
	})
}

func (s *stepper) addSteps() {
	s.addTick()
	s.addProcesses()
	s.addStore()
	s.addViews()
	s.addConnections()
	s.addRequests()
}

func (s *stepper) addTick() {
	if s.from.isDelayed() && s.from.due == 0 && !s.from.isAway {
		return // the entry is replaced first
	}
	s.add("a second passes", func(m *modelState) {
		m.endedAge, m.startedAge = min(age(m.endedAge), 1), age(m.startedAge)
		if m.isAway {
			m.awayFor = min(age(m.awayFor), isNoticed)
		} else if m.isDelayed() {
			m.due--
		}
		if s.question != assumptions {
			m.startedAge = min(m.startedAge, 0)
		}
		m.tracker.shift()
		if s.question == assumptions {
			m.tracker.hasCover, m.tracker.coversUntil = false, 0
		} else {
			m.tracker.hasLived, m.tracker.livedUntil = false, 0
			m.tracker.steadySince = max(m.tracker.steadySince, m.tracker.viewAsOf-6*modelTick)
		}
		if m.view.isUnderWay {
			m.view.age++
			if m.view.age > maxViewLateness {
				m.view = modelView{}
			}
		}
		if m.openedAge = age(m.openedAge); m.openedAge > modelMemory {
			m.openedAge = never
		}
		if m.request.isUnderWay {
			m.request.age++
			if m.request.age > maxAnswerLateness {
				m.request = modelRequest{}
			}
		}
	})
}

func (s *stepper) addProcesses() {
	switch {
	case s.from.endedAge == never:
		s.add("the process ends", func(m *modelState) { m.endedAge, m.due = 0, modelDelay })
	case s.from.startedAge == never && s.from.endedAge > 0:
		s.add("the successor starts", func(m *modelState) {
			m.startedAge, m.due = 0, modelDelay
			m.hadShortOutage = m.isAway
		})
	}
}

func (s *stepper) addStore() {
	if s.from.isAway {
		s.add("the store returns", func(m *modelState) {
			if m.awayFor >= isNoticed {
				m.due, m.hadShortOutage = modelDelay, false
			}
			m.isAway, m.awayFor = false, 0
		})
		return
	}
	if s.question != chains && (s.from.endedAge != never || s.from.startedAge != never) {
		// Outages before the end have no effect on the entry.
		s.addWithTracker("the store goes away, which is noticed", func(m *modelState, t *Tracker) {
			m.isAway, m.awayFor = true, isNoticed
			if !s.variant.ignoresInterruptions {
				t.Interrupt(modelNow)
			} else {
				t.isInterrupted = false
			}
		})
		if !s.from.hadShortOutage {
			s.add("the store goes away", func(m *modelState) {
				m.isAway, m.awayFor = true, 0
				m.hadShortOutage = true
			})
		}
	}
	if s.from.isDelayed() {
		s.add("the entry is removed", func(m *modelState) { m.listed = noProcess })
	}
	if s.from.process() == successor && s.from.listed != successor {
		s.add("the successor writes its entry", func(m *modelState) { m.listed = successor })
	}
	if s.from.process() == successor && s.from.listed == successor && s.question == restored && !s.from.wasRestored {
		s.add("the store is restored", func(m *modelState) { m.listed, m.wasRestored, m.due = former, true, modelDelay })
	}
}

func (s *stepper) addViews() {
	if !s.from.isAway && !s.from.view.isUnderWay {
		s.add("the store is read", func(m *modelState) {
			m.view = modelView{isUnderWay: true, isListed: m.listed == former, isAfterRestore: m.wasRestored}
		})
	}
	if !s.from.view.isUnderWay {
		return
	}
	s.add("the view is lost", func(m *modelState) { m.view = modelView{} })
	s.addWithTracker("the view arrives", func(m *modelState, t *Tracker) {
		asOf := ago(m.view.age)
		if m.view.isAfterRestore && !m.isRestoreKnown {
			m.isRestoreKnown = true
			s.variant.restore(t, asOf)
		}
		m.isListed = m.view.isListed
		s.variant.observeView(t, asOf)
		m.view = modelView{}
	})
}

func (v *trackerVariant) restore(t *Tracker, asOf structs.Instant) {
	if v.keepsCoverOverRestore {
		t.Interrupt(asOf - 1)
		return
	}
	t.Restore(asOf - 1)
}

func (v *trackerVariant) observeView(t *Tracker, asOf structs.Instant) {
	if v.datesViewsAtArrival {
		asOf = modelNow
	}
	if v.ignoresGaps && t.hasView {
		for at := t.viewAsOf + modelTick; at < asOf; at += modelTick {
			t.ObserveView(at)
		}
	}
	t.ObserveView(asOf)
	if v.countsEntryAtOnce {
		t.coversUntil, t.hasCover = asOf, true
	}
	if covered := asOf - EntryDelay - 1; v.countsEntryEarly && covered >= t.steadySince {
		t.coversUntil, t.hasCover = covered, true
	}
}

func (s *stepper) addConnections() {
	if s.from.isConnected && s.from.process() != former {
		s.addWithTracker("the end of the former process is noticed", func(m *modelState, t *Tracker) {
			m.isConnected = false
			if s.question != assumptions {
				return
			}
			m.isEndNoticed = true
			if !s.variant.ignoresDoubts {
				t.Doubt(modelNow, formerRun)
			}
		})
	}
	if s.question == chains {
		s.addChains()
		return
	}
	if s.question != assumptions && s.from.process() == successor && s.from.isListed && s.from.openedAge != 0 {
		s.add("a connection leads to the successor", func(m *modelState) { m.openedAge = 0 })
	}
}

// addChains adds what shows that a connection is alive: that it was opened, and that bytes arrived over it.
func (s *stepper) addChains() {
	if s.from.process() == former && s.from.isConnected {
		s.addWithTracker("the former process is alive", func(m *modelState, t *Tracker) {
			t.Alive(modelNow, Connection{formerRun, ago(modelMemory + 1)}, m.isListed)
		})
	}
	if s.from.process() == former {
		s.addWithTracker("a connection to the former process is opened", func(m *modelState, t *Tracker) {
			s.variant.open(t, Connection{formerRun, modelNow}, m.isListed)
		})
	}
	if s.from.process() != successor {
		return
	}
	if s.from.isListed && s.from.openedAge != 0 {
		s.addWithTracker("a connection leads to the successor", func(m *modelState, t *Tracker) {
			m.openedAge = 0
			s.variant.open(t, Connection{formerRun, modelNow}, m.isListed)
		})
	}
	if s.from.openedAge != never {
		s.addWithTracker("the successor is alive", func(m *modelState, t *Tracker) {
			t.Alive(modelNow, Connection{formerRun, ago(m.openedAge)}, m.isListed)
		})
	}
}

func (v *trackerVariant) open(t *Tracker, connection Connection, isListed bool) {
	t.Opened(connection, isListed)
	if v.promotesAssumed && t.Verdict(connection.OpenedAt, connection, isListed).IsAssumed() {
		known := t.known[connection.Incarnation]
		known.alive.observe(connection.OpenedAt)
		t.known[connection.Incarnation] = known
	}
}

func (s *stepper) addRequests() {
	if s.question == restored || s.question == chains {
		return
	}
	if s.from.request.isUnderWay {
		s.addWithTracker("the answer is read", func(m *modelState, t *Tracker) {
			s.variant.read(t, m)
			m.request = modelRequest{}
		})
		return
	}
	for _, isReport := range []bool{false, true} {
		request := modelRequest{isUnderWay: true, isReport: isReport, process: s.from.process()}
		switch {
		case s.from.isConnected && request.process == former && (isReport || s.question == proofs):
			s.add(fmt.Sprintf("the former process answers, report %t", isReport), func(m *modelState) { m.request = request })
		case s.from.openedAge != never && request.process == successor && !isReport:
			s.add("the successor answers", func(m *modelState) { m.request = request })
		}
	}
}

// read handles the answer.
func (v *trackerVariant) read(t *Tracker, m *modelState) {
	writtenAt := ago(m.request.age)
	if m.request.isReport {
		switch {
		case v.countsReportForLater:
			writtenAt = modelNow + modelMemory*modelTick
		case v.datesReportsAtArrival:
			writtenAt = modelNow
		}
		t.ConfirmByReport(writtenAt, formerRun)
		return
	}
	if v.datesAnswersAtArrival {
		writtenAt = modelNow
	}
	if v.provesItself {
		t.confirm(writtenAt, formerRun, ProofAnswers)
		return
	}
	openedAt := ago(modelMemory + 1)
	if m.request.process == successor {
		openedAt = ago(m.openedAge)
	}
	t.Received(writtenAt, Connection{formerRun, openedAt}, m.isListed)
}

// findViolation returns what is wrong with the verdict on a connection to the successor, or "", and whether it is
// assumed wrongly, as the package admits. Whether it is assumed is judged of a connection that is opened now.
func (m *modelState) findViolation(variant *trackerVariant, question question) (string, bool) {
	openedAge := m.openedAge
	if question == assumptions {
		openedAge = 0
	}
	if m.process() != successor || openedAge == never {
		return "", false
	}
	tracker := m.load()
	verdict := tracker.Verdict(modelNow, Connection{formerRun, ago(openedAge)}, m.isListed)
	if variant.assumesAtOnce && !verdict.IsProven() && m.isListed && verdict.DoubtAge == 0 && modelNow-tracker.viewAsOf <= maxViewAge {
		verdict.Proof = ProofAssumed
	}
	switch {
	case verdict.IsUnbrokenFromProof():
		return "it leads to the successor: " + string(verdict.Proof), false
	case verdict.Proof == ProofAssumedUnbroken && question == chains:
		return "", true
	case verdict.Proof != ProofAssumed || question != assumptions:
		return "", false
	case m.isEndNoticed:
		return "it leads to the successor, and the end was noticed: assumed", false
	case m.startedAge > assumedFor:
		return fmt.Sprintf("it leads to the successor, which started %d s ago: assumed", m.startedAge), false
	}
	return "", true
}

type exploration struct {
	states, assumedWrongly int
	violation, course      string
}

// explore visits the states in the order of the length of their courses, up to the first violation.
func explore(variant *trackerVariant, question question) exploration {
	type origin struct {
		from int32
		name string
	}
	first := modelState{endedAge: never, startedAge: never, openedAge: never, isConnected: true, listed: former}
	steady := first
	steady.isListed = true
	steady.tracker = modelTracker{
		hasView: true, hasCover: true, viewAsOf: modelNow, steadySince: ago(modelMemory + 1),
		coversUntil: modelNow - EntryDelay - maxViewGap,
	}
	visited := map[modelState]struct{}{first: {}, steady: {}}
	queue := []modelState{first, steady}
	origins := []origin{{-1, "a node starts"}, {-1, "a node has steady views"}}
	result := exploration{}
	for at := int32(0); int(at) < len(queue); at++ {
		violation, isAssumedWrongly := queue[at].findViolation(variant, question)
		if isAssumedWrongly {
			result.assumedWrongly++
		}
		if violation != "" {
			var names []string
			for i := at; i >= 0; i = origins[i].from {
				names = append([]string{origins[i].name}, names...)
			}
			result.violation, result.course = violation, strings.Join(names, "; ")
			break
		}
		steps := &stepper{from: &queue[at], variant: variant, question: question}
		steps.addSteps()
		for _, next := range steps.steps {
			if _, found := visited[next.state]; !found {
				visited[next.state] = struct{}{}
				queue = append(queue, next.state)
				origins = append(origins, origin{at, next.name})
			}
		}
		if len(queue) > maxModelStates {
			result.violation = "too many states to visit all"
			break
		}
	}
	result.states = len(visited)
	return result
}

// Guards against any order of ends, starts, outages, views, answers and reports in which a connection to a successor is
// proven to lead to the former process.
func TestProofsHoldInEveryOrder(t *testing.T) {
	for _, question := range []question{proofs, restored} {
		result := explore(&trackerVariant{}, question)
		t.Logf("%d states", result.states)
		gomega.NewWithT(t).Expect(result.violation).To(gomega.BeEmpty(), result.course)
	}
}

// Guards against a connection to a successor that is assumed to lead to the former process although the node noticed its
// end, or for longer than the package says.
func TestAssumptionsEndInEveryOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	result := explore(&trackerVariant{}, assumptions)
	t.Logf("%d states, wrongly assumed in %d", result.states, result.assumedWrongly)
	g.Expect(result.violation).To(gomega.BeEmpty(), result.course)
	g.Expect(result.assumedWrongly).To(gomega.BeNumerically(">", 0))
}

// Guards against an assumption that turns into more with the connection for which it was made, so that one which is wrong
// lasts for as long as the successor is connected.
func TestAssumptionsStayAssumptionsInEveryOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	result := explore(&trackerVariant{}, chains)
	t.Logf("%d states, wrongly assumed in %d", result.states, result.assumedWrongly)
	g.Expect(result.violation).To(gomega.BeEmpty(), result.course)
	g.Expect(result.assumedWrongly).To(gomega.BeNumerically(">", 0))
}

// Guards against an exploration that finds nothing: each broken variant must lead to a wrong verdict.
func TestExplorationFindsBrokenVariants(t *testing.T) {
	for _, variant := range []*trackerVariant{
		{name: "an entry counts at once", countsEntryAtOnce: true},
		{name: "an entry counts without regard to short outages", countsEntryEarly: true},
		{name: "a gap is not noticed", ignoresGaps: true},
		{name: "an interruption is ignored", ignoresInterruptions: true, ignoresGaps: true},
		{name: "a restored entry proves what a later one refuted", question: restored, keepsCoverOverRestore: true},
		{name: "a late view counts from its arrival", datesViewsAtArrival: true},
		{name: "a connection proves itself", provesItself: true},
		{name: "bytes count from their arrival", datesAnswersAtArrival: true},
		{name: "a report counts from its arrival", datesReportsAtArrival: true},
		{name: "a report counts for connections opened after it", countsReportForLater: true},
		{name: "what is assumed at the opening counts as shown", question: chains, promotesAssumed: true},
		{name: "a doubt is ignored", question: assumptions, ignoresDoubts: true},
		{name: "an entry is assumed to be current at the store's return", question: assumptions, assumesAtOnce: true},
	} {
		t.Run(variant.name, func(t *testing.T) {
			result := explore(variant, variant.question)
			t.Logf("%d states: %s: %s", result.states, result.course, result.violation)
			gomega.NewWithT(t).Expect(result.violation).NotTo(gomega.BeEmpty())
		})
	}
}
