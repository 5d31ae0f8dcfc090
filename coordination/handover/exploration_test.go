package handover

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// The exploration visits every state that one request can reach, without a network and without a clock: replicas that
// work, pause, go on, reject, break off and finish; bytes that are under way to the node, or read and not handled yet;
// silence timers that fire at any time while the node waits for bytes; successors whose assignment is refused, granted,
// granted late or by the next scheduling node, that are connected to or not, and answer or are given up; sends after one that broke
// off; a caller that leaves, the deadline and a stop of the process. A caller that left counts from when the node sees
// it: until then the node acts as before. The decisions are those of the package, and the model does what its methods
// return.

const (
	// modelReplicas are the first replica, and the successors and retries after it.
	modelReplicas = 4
	// modelPieces are the pieces of an answer after its head.
	modelPieces = 2
	// none stands for no replica.
	none = -1
)

// progress is how far the node is with one replica.
type progress uint8

const (
	unused progress = iota
	// requested means that an assignment is requested; granted and refused that the answer of the scheduling node is
	// under way.
	requested
	granted
	refused
	connecting
	// cleared means that the request may be written.
	cleared
	// reading means that the request was written, and the node reads the answer.
	reading
	// whole means that the whole answer was relayed, and the request does not count as ended yet.
	whole
	done
)

// run is what a replica does with the request.
type run uint8

const (
	notThere run = iota
	onWire
	working
	paused
	// finished means that the replica has sent the whole answer.
	finished
	// brokenOff means that the replica rejected the request or ended the exchange.
	brokenOff
	wasReset
)

// formerRequest is how far the request to a former scheduling node is.
type formerRequest uint8

const (
	noFormer formerRequest = iota
	formerRequested
	// formerGranted means that an assignment is held that the node no longer expects.
	formerGranted
)

// modelReplica is one replica of the request and what the node does with it.
type modelReplica struct {
	token    Token
	progress progress
	run      run
	// isRetry is true for a send after one that broke off, which has no token before it is written; isRelayed if
	// the node relays the answer of the replica, so that its bytes are those of the current replica.
	isRetry, isRelayed bool
	// isHeld is true while there is an assignment.
	isHeld bool
	// from is the number of pieces that the caller had when the replica was asked to go on; sent and read count the
	// head and the pieces after it. What was sent and not read is under way to the node.
	from, sent, read int8
	// isInHand is true while the node has read bytes and not handled them, and isRelaying while it writes to the
	// caller what it has handled.
	isInHand, isRelaying bool
	// isOutdated is true for a successor if the node has handled bytes of another replica since it was requested.
	isOutdated bool
	isReset    bool
}

// modelState is comparable, so that visited states are recognized.
type modelState struct {
	request  Handover
	replicas [modelReplicas]modelReplica
	// current and successor are the replicas that the node takes for these, or none.
	current, successor int8
	// relayed counts the pieces that the caller has.
	relayed int8
	// sends is the number of sends that are left of the attempts.
	sends int8
	// former is the assignment request to a scheduling node that was replaced while it was asked.
	former formerRequest
	// awaitsSuccessor is true while a send that broke off waits for the successor; mustDecide once the request must
	// be sent again, or end.
	awaitsSuccessor, mustDecide bool
	// wasTaken is true if the node took the request from a replica, and none has answered since.
	wasTaken  bool
	isEnded   bool
	violation violation
}

// violation is a number, so that states are small.
type violation uint8

const (
	noViolation violation = iota
	endedUnfinished
	endedAtWork
	waitsForNothing
	twoAtWork
	threeAtWork
	workAfterEnd
	mixed
	notReturned
	tooManySends
	notDone
)

func (v violation) String() string {
	return [...]string{
		"",
		"the request ends unfinished, and no replica broke it off",
		"the request ends as broken off while a replica has it",
		"the request waits for nothing",
		"two replicas work on the request after bytes of one were handled",
		"three replicas work on the request",
		"a replica works on a request that has ended",
		"the caller gets bytes of both replicas",
		"an assignment stays held",
		"more sends than attempts",
		"the request has ended, and the node is not done with it",
	}[v]
}

// decisions are the methods of Handover, and what the node does around them. Variants replace some of them.
type decisions interface {
	Begin() Token
	RequestSuccessor() Token
	CurrentSpoke(Token) (Verdict, Phase)
	CurrentBroke(Token) bool
	MaySend(Token) Verdict
	SuccessorAnswered(Token) (Verdict, bool)
	SuccessorFailed(Token) bool
	End() Phase
	HasCurrent() bool
	Phase() Phase
	// leavesCurrentAt reports whether the node resets the current replica once the successor is that far.
	leavesCurrentAt(progress) bool
	// returnsUnsent reports whether an assignment is returned if nothing may be written, and returnsLate whether the
	// late grant of a former scheduling node is.
	returnsUnsent() bool
	returnsLate() bool
	// givesUpLast reports whether a silent successor is given up even if no replica has the request.
	givesUpLast() bool
	// isSilentWhileRelaying reports whether silence counts while the node writes to the caller.
	isSilentWhileRelaying() bool
}

// design is the node as the package wants it.
type design struct{ *Handover }

func (design) leavesCurrentAt(progress) bool { return false }
func (design) returnsUnsent() bool           { return true }
func (design) returnsLate() bool             { return true }
func (design) givesUpLast() bool             { return false }
func (design) isSilentWhileRelaying() bool   { return false }

// wrap returns the decisions of a request.
type wrap func(*Handover) decisions

func asDesigned(request *Handover) decisions { return design{request} }

func (r *modelReplica) isAtWork() bool { return r.run == onWire || r.run == working || r.run == paused }

// has reports whether the replica has the request, or the rest of its answer is under way.
func (r *modelReplica) has() bool { return r.isAtWork() || r.run == finished }

// keeps reports whether the replica is one that the request was sent to, or went on at, and the node still reads it.
func (r *modelReplica) keeps() bool { return r.progress == reading && r.isRelayed && !r.isReset }

// reset resets the connection to the replica. A paused replica sees it before it goes on.
func (m *modelState) reset(index int8) {
	if index == none {
		return
	}
	replica := &m.replicas[index]
	if replica.progress != cleared && replica.progress != reading && replica.progress != whole {
		return
	}
	had := replica.has()
	if replica.run != notThere {
		replica.run = wasReset
	}
	replica.isReset = true
	if had && !m.isEnded {
		m.wasTaken = !slices.ContainsFunc(m.replicas[:], func(other modelReplica) bool { return other.keeps() })
	}
	replica.from, replica.sent, replica.read, replica.isOutdated = 0, 0, 0, false
}

// finish ends what the node does with the replica. The assignment ends with it.
func (m *modelState) finish(index int8) { m.replicas[index] = modelReplica{progress: done} }

// finishSearch ends the search for a successor, for which a send that broke off may wait.
func (m *modelState) finishSearch(by decisions, index int8) {
	m.finish(index)
	if m.awaitsSuccessor && !by.HasCurrent() && by.Phase() == NoSuccessor {
		m.awaitsSuccessor, m.mustDecide = false, true
	}
}

// giveUpSuccessor resets a successor that the request was sent to. An assignment is returned when MaySend is asked.
func (m *modelState) giveUpSuccessor(phase Phase) {
	if phase == Sent {
		m.reset(m.successor)
	}
	if phase != NoSuccessor {
		m.successor = none
	}
}

func (m *modelState) end(by decisions) {
	m.isEnded = true
	phase := by.End()
	m.reset(m.current)
	m.giveUpSuccessor(phase)
	m.current, m.successor, m.awaitsSuccessor, m.mustDecide, m.wasTaken = none, none, false, false, false
}

// markHandled marks that bytes of the replica were handled.
func (m *modelState) markHandled(index int8) {
	m.wasTaken = false
	for other := range m.replicas {
		replica := &m.replicas[other]
		replica.isOutdated = replica.progress != unused && replica.progress != done && !replica.isRelayed && !replica.isReset
	}
	handled := &m.replicas[index]
	handled.isInHand, handled.isRelayed, handled.isRelaying, handled.isOutdated = false, true, true, false
}

// step is a successor with its description.
type step struct {
	name  string
	index int8
	state modelState
}

func (s step) String() string {
	if s.index == none {
		return s.name
	}
	return fmt.Sprint(s.index, " ", s.name)
}

// stepper collects the steps of a state.
type stepper struct {
	from  *modelState
	wrap  wrap
	steps []step
}

// add adds a step that change makes to a copy of the state.
func (s *stepper) add(name string, index int8, change func(*modelState, decisions)) {
	s.steps = append(s.steps, step{name, index, *s.from})
	next := &s.steps[len(s.steps)-1].state
	change(next, s.wrap(&next.request))
	if next.violation == noViolation {
		next.violation = next.findViolation()
	}
}

// addSteps adds all steps.
func (s *stepper) addSteps() {
	for index := range int8(modelReplicas) {
		s.addAssignment(index)
		s.addSend(index)
		s.addReplica(index)
		s.addAnswer(index)
		s.addSilentSuccessor(index)
	}
	s.addSilence()
	s.addEnds()
}

// addAssignment adds the steps of an assignment request.
func (s *stepper) addAssignment(index int8) {
	become := func(name string, next progress, isHeld bool, change func(*modelState)) {
		s.add(name, index, func(m *modelState, _ decisions) {
			m.replicas[index].progress, m.replicas[index].isHeld = next, isHeld
			if change != nil {
				change(m)
			}
		})
	}
	before := s.from.replicas[index].progress
	switch before {
	case requested:
		become("is granted", granted, true, nil)
		become("is refused", refused, false, nil)
	case granted:
		s.add("has its grant arrive", index, func(m *modelState, by decisions) {
			m.replicas[index].progress = connecting
			m.leaveCurrent(by, granted)
		})
	case refused:
		s.add("has its refusal arrive", index, func(m *modelState, by decisions) {
			by.SuccessorFailed(m.replicas[index].token)
			m.finishSearch(by, index)
		})
	default:
		return
	}
	if s.from.former == noFormer {
		become("is requested from the next scheduling node", requested, false, func(m *modelState) {
			switch before {
			case requested:
				m.former = formerRequested
			case granted:
				m.former = formerGranted
			}
		})
	}
}

// addSend adds the steps of connections that are opened, and requests that are written.
func (s *stepper) addSend(index int8) {
	replica := &s.from.replicas[index]
	switch {
	case replica.progress == connecting && replica.isRetry:
		s.add("is not reached", index, func(m *modelState, _ decisions) {
			m.finish(index)
			m.mustDecide = !m.isEnded
		})
		s.add("is sent the retry", index, func(m *modelState, by decisions) {
			token := by.Begin()
			if token == 0 {
				m.finish(index)
				return
			}
			m.sends--
			m.current = index
			m.replicas[index] = modelReplica{token: token, progress: reading, run: onWire, isRelayed: true, isHeld: true, from: m.relayed}
		})
	case replica.progress == connecting:
		s.add("is not reached", index, func(m *modelState, by decisions) {
			by.SuccessorFailed(m.replicas[index].token)
			m.finishSearch(by, index)
		})
		s.add("is connected", index, func(m *modelState, by decisions) {
			m.leaveCurrent(by, connecting)
			if by.MaySend(m.replicas[index].token) == GiveUp {
				m.finishSearch(by, index)
				m.replicas[index].isHeld = !by.returnsUnsent()
				return
			}
			m.sends--
			m.replicas[index].progress = cleared
		})
	case replica.progress == cleared && replica.isReset:
		s.add("is not written to", index, func(m *modelState, by decisions) {
			by.SuccessorFailed(m.replicas[index].token)
			m.finishSearch(by, index)
		})
	case replica.progress == cleared:
		s.add("is written to", index, func(m *modelState, by decisions) {
			m.replicas[index].progress, m.replicas[index].run = reading, onWire
			m.leaveCurrent(by, cleared)
		})
	}
}

// leaveCurrent resets the current replica if the variant does so at that point.
func (m *modelState) leaveCurrent(by decisions, at progress) {
	if by.leavesCurrentAt(at) {
		m.reset(m.current)
	}
}

// addReplica adds the steps of the replica itself.
func (s *stepper) addReplica(index int8) {
	become := func(name string, next run) {
		s.add(name, index, func(m *modelState, _ decisions) { m.replicas[index].run = next })
	}
	replica := &s.from.replicas[index]
	if replica.isAtWork() {
		become("rejects or breaks off", brokenOff)
	}
	switch replica.run {
	case onWire:
		become("begins", working)
	case paused:
		become("goes on", working)
	case working:
		become("pauses", paused)
		s.add("sends", index, func(m *modelState, _ decisions) {
			sender := &m.replicas[index]
			sender.sent++
			if sender.from+sender.sent > modelPieces {
				sender.run = finished
			}
		})
	}
}

// addSilentSuccessor adds that a successor is given up as it is silent as well, so that another can be requested.
func (s *stepper) addSilentSuccessor(index int8) {
	replica := &s.from.replicas[index]
	if replica.progress != reading || replica.isRelayed || replica.isInHand || replica.isReset {
		return
	}
	by := s.wrap(&s.from.request)
	if by.Phase() != Sent || !by.HasCurrent() && !by.givesUpLast() {
		return
	}
	s.add("is given up as silent", index, func(m *modelState, by decisions) {
		m.reset(index)
		by.SuccessorFailed(m.replicas[index].token)
		m.finishSearch(by, index)
	})
}

// addAnswer adds the steps of an answer at the node: it is read, handled and relayed.
func (s *stepper) addAnswer(index int8) {
	replica := &s.from.replicas[index]
	switch {
	case replica.progress == whole:
		s.add("has answered", index, func(m *modelState, by decisions) {
			if !m.isEnded {
				m.end(by)
			}
			m.finish(index)
		})
	case replica.progress != reading:
	case replica.isRelaying:
		s.add("is relayed", index, func(m *modelState, _ decisions) { m.relay(index) })
	case replica.isInHand && replica.isRelayed:
		s.add("is handled", index, func(m *modelState, by decisions) {
			verdict, phase := by.CurrentSpoke(m.replicas[index].token)
			if verdict == GiveUp {
				m.reset(index)
				m.finish(index)
				return
			}
			m.markHandled(index)
			m.giveUpSuccessor(phase)
		})
	case replica.isInHand:
		s.add("has its answer handled", index, func(m *modelState, by decisions) { m.handleSuccessor(by, index) })
	case replica.read < replica.sent:
		s.add("is read", index, func(m *modelState, _ decisions) {
			m.replicas[index].read++
			m.replicas[index].isInHand = true
		})
	case (replica.isReset || replica.run == brokenOff) && replica.isRelayed:
		s.add("fails", index, func(m *modelState, by decisions) {
			goesOn := by.CurrentBroke(m.replicas[index].token)
			m.finish(index)
			if m.current == index {
				m.current, m.awaitsSuccessor = none, goesOn
			}
			m.mustDecide = m.mustDecide || !goesOn && !m.isEnded
		})
	case replica.isReset || replica.run == brokenOff:
		s.add("fails as the successor", index, func(m *modelState, by decisions) {
			by.SuccessorFailed(m.replicas[index].token)
			m.finishSearch(by, index)
		})
	}
}

// handleSuccessor handles the head of a successor's answer.
func (m *modelState) handleSuccessor(by decisions, index int8) {
	verdict, replaced := by.SuccessorAnswered(m.replicas[index].token)
	if verdict == GiveUp {
		m.reset(index)
		m.finishSearch(by, index)
		return
	}
	m.markHandled(index)
	if replaced {
		m.reset(m.current)
	}
	m.current, m.successor, m.awaitsSuccessor = index, none, false
}

// relay writes what was handled to the caller.
func (m *modelState) relay(index int8) {
	if m.isEnded {
		m.finish(index)
		return
	}
	replica := &m.replicas[index]
	replica.isRelaying = false
	isHead, last := replica.read == 1, replica.from+replica.read-1
	if replica.isReset || m.current != index || isHead && last != m.relayed || !isHead && last != m.relayed+1 {
		m.violation = mixed
		return
	}
	m.relayed = last
	if last == modelPieces {
		replica.progress = whole
	}
}

// addSilence adds that the silence timer fires, which may be late: bytes may be under way or read.
func (s *stepper) addSilence() {
	unusedIndex := s.from.unusedIndex()
	if s.from.current == none || s.from.sends == 0 || unusedIndex == none {
		return
	}
	current := &s.from.replicas[s.from.current]
	if current.progress != reading || current.isRelaying && !s.wrap(nil).isSilentWhileRelaying() {
		return
	}
	s.add("is requested", unusedIndex, func(m *modelState, by decisions) {
		if token := by.RequestSuccessor(); token != 0 {
			m.successor = unusedIndex
			m.replicas[unusedIndex] = modelReplica{token: token, progress: requested, from: m.relayed}
		}
	})
}

func (m *modelState) unusedIndex() int8 {
	return int8(slices.IndexFunc(m.replicas[:], func(replica modelReplica) bool { return replica.progress == unused }))
}

// addEnds adds the ends of the request, the send after one that broke off, and the answer of a former scheduling node.
func (s *stepper) addEnds() {
	switch s.from.former {
	case formerRequested:
		s.add("the former scheduling node grants", none, func(m *modelState, _ decisions) { m.former = formerGranted })
		s.add("the former scheduling node refuses", none, func(m *modelState, _ decisions) { m.former = noFormer })
	case formerGranted:
		s.add("the grant of the former scheduling node arrives late", none, func(m *modelState, by decisions) {
			m.former = noFormer
			if !by.returnsLate() {
				m.violation = notReturned
			}
		})
	}
	if s.from.isEnded {
		return
	}
	s.add("the caller leaves, the deadline passes or the process stops", none, func(m *modelState, by decisions) { m.end(by) })
	if !s.from.mustDecide {
		return
	}
	s.add("the request ends as broken off", none, func(m *modelState, by decisions) {
		if m.wasTaken {
			m.violation = endedUnfinished
		} else if slices.ContainsFunc(m.replicas[:], func(replica modelReplica) bool { return replica.has() }) {
			m.violation = endedAtWork
		}
		m.end(by)
	})
	if unusedIndex := s.from.unusedIndex(); unusedIndex != none && s.from.sends > 0 {
		s.add("is assigned the retry", unusedIndex, func(m *modelState, _ decisions) {
			m.mustDecide = false
			m.replicas[unusedIndex] = modelReplica{progress: connecting, isRetry: true, isHeld: true}
		})
	}
}

// findViolation returns the guarantee that the state breaks, if any.
func (m *modelState) findViolation() violation {
	atWork, isLoserAtWork := 0, false
	isServed := m.isEnded || m.mustDecide
	for index := range m.replicas {
		replica := &m.replicas[index]
		if replica.isAtWork() {
			atWork++
			isLoserAtWork = atWork == 2 && (replica.isOutdated || replica.isRelayed)
		}
		if replica.progress == done && replica.isHeld {
			return notReturned
		}
		hasToken := replica.token != 0 && (replica.token == m.request.current || replica.token == m.request.successor)
		isServed = isServed || replica.progress != done && (hasToken || replica.isRetry)
	}
	switch {
	case atWork > 0 && m.isEnded:
		return workAfterEnd
	case atWork > 2:
		return threeAtWork
	case isLoserAtWork:
		return twoAtWork
	case !isServed:
		return waitsForNothing
	case m.sends < 0:
		return tooManySends
	}
	return noViolation
}

// isDone reports whether the node is done with the request.
func (m *modelState) isDone() bool {
	return m.isEnded && m.former == noFormer && !slices.ContainsFunc(m.replicas[:], func(replica modelReplica) bool {
		return replica.progress != unused && replica.progress != done
	})
}

// exploration is what was found.
type exploration struct {
	states int
	// violation is the first one that was looked for, and course the shortest way to it.
	violation violation
	course    string
}

// explore visits all states, up to the first with a violation that is looked for, and passes each to the observer. It
// does not go on from other violations.
func explore(wrap wrap, isLookedFor func(violation) bool, observe func(*modelState)) exploration {
	type origin struct {
		from  int32
		name  string
		index int8
	}
	var visited []modelState
	var origins []origin
	known := map[modelState]struct{}{}
	visit := func(state *modelState, from origin) {
		if _, found := known[*state]; !found {
			known[*state] = struct{}{}
			visited, origins = append(visited, *state), append(origins, from)
		}
	}
	for sends := range int8(modelReplicas) {
		first := modelState{successor: none, sends: sends}
		first.replicas[0] = modelReplica{token: first.request.Begin(), progress: reading, run: onWire, isRelayed: true, isHeld: true}
		visit(&first, origin{from: none})
	}
	var steps stepper
	for at := 0; at < len(visited); at++ {
		state := visited[at]
		observe(&state)
		steps = stepper{from: &state, wrap: wrap, steps: steps.steps[:0]}
		steps.addSteps()
		if len(steps.steps) == 0 && !state.isDone() {
			state.violation = notDone
		}
		if isLookedFor(state.violation) {
			var names []string
			for ; origins[at].from != none; at = int(origins[at].from) {
				names = append(names, step{name: origins[at].name, index: origins[at].index}.String())
			}
			slices.Reverse(names)
			return exploration{len(visited), state.violation, strings.Join(names, "; ")}
		}
		if state.violation != noViolation {
			continue
		}
		for index := range steps.steps {
			next := &steps.steps[index]
			visit(&next.state, origin{int32(at), next.name, next.index})
		}
	}
	return exploration{states: len(visited)}
}

// situations are some that the exploration must come through.
var situations = []struct {
	name    string
	isFound func(*modelState) bool
}{
	{"two replicas are paused while both have the request", func(m *modelState) bool {
		return m.replicas[0].run == paused && m.replicas[1].run == paused
	}},
	{"bytes of both replicas are read and not handled", func(m *modelState) bool {
		return m.replicas[0].isInHand && m.replicas[1].isInHand && m.request.phase == Sent
	}},
	{"bytes of a replaced replica are read and not handled", func(m *modelState) bool {
		return m.replicas[0].isReset && m.replicas[0].isInHand && m.replicas[1].isRelayed && !m.isEnded
	}},
	{"the fourth replica has relayed the end of an answer that others began", func(m *modelState) bool {
		return m.replicas[3].progress == whole && m.replicas[3].from == 1 && m.replicas[3].token == 4
	}},
	{"two searches that were given up go on beside a third", func(m *modelState) bool {
		return m.replicas[1].progress == connecting && m.replicas[2].progress == granted && m.replicas[3].progress == requested &&
			m.request.successor == m.replicas[3].token
	}},
	{"the silent replica breaks off before the grant of its successor arrives", func(m *modelState) bool {
		return m.awaitsSuccessor && m.replicas[1].progress == granted
	}},
	{"the third of four replicas is sent the request as the second was silent as well", func(m *modelState) bool {
		return m.replicas[0].run == paused && m.replicas[1].progress == done && m.replicas[2].run == onWire && m.replicas[2].token == 3 &&
			m.replicas[0].isRelayed && !m.replicas[0].isReset
	}},
	{"the request is to be sent again before the error of a replaced replica is read", func(m *modelState) bool {
		return m.replicas[0].isReset && m.replicas[1].progress == done && m.replicas[2].isRetry && !m.isEnded
	}},
	{"the request ends while an assignment of two scheduling nodes is held", func(m *modelState) bool {
		return m.isEnded && m.former == formerGranted && m.replicas[1].progress == granted
	}},
	{"the request ends between the permission to write and the write", func(m *modelState) bool {
		return m.isEnded && m.replicas[1].progress == cleared
	}},
	{"the request ends before it is sent again", func(m *modelState) bool {
		return m.isEnded && slices.ContainsFunc(m.replicas[:], func(replica modelReplica) bool { return replica.isRetry })
	}},
}

// Guards against any order of silences, answers, failures and ends in which a request is lost, two replicas go on with
// it, its caller gets bytes of both, or an assignment stays held; and against an exploration that misses situations.
func TestRequestsAreHandedOverInEveryOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	found := make([]int, len(situations))
	result := explore(asDesigned, func(found violation) bool { return found != noViolation }, func(state *modelState) {
		for index, situation := range situations {
			if situation.isFound(state) {
				found[index]++
			}
		}
	})
	t.Logf("%d states", result.states)
	g.Expect(result.violation).To(gomega.Equal(noViolation), result.course)
	for index, situation := range situations {
		t.Logf("%d states: %s", found[index], situation.name)
		g.Expect(found[index]).To(gomega.BeNumerically(">", 0), situation.name)
	}
}

// leavesEarly resets the current replica before the successor answers.
type leavesEarly struct {
	design
	at progress
}

func (v leavesEarly) leavesCurrentAt(at progress) bool { return at == v.at }

// acceptsFormerSuccessor lets a successor win that was given up.
type acceptsFormerSuccessor struct{ design }

func (v acceptsFormerSuccessor) SuccessorAnswered(token Token) (Verdict, bool) {
	if v.hasEnded {
		return GiveUp, false
	}
	v.successor, v.phase = token, Sent
	return v.design.SuccessorAnswered(token)
}

// keepsReplaced does not reset the replica that the successor replaces.
type keepsReplaced struct{ design }

func (v keepsReplaced) SuccessorAnswered(token Token) (Verdict, bool) {
	verdict, _ := v.design.SuccessorAnswered(token)
	return verdict, false
}

// keepsSuccessor does not reset the successor when the current replica speaks.
type keepsSuccessor struct{ design }

func (v keepsSuccessor) CurrentSpoke(token Token) (Verdict, Phase) {
	verdict, _ := v.design.CurrentSpoke(token)
	return verdict, NoSuccessor
}

// keepsSuccessorAtEnd does not reset the successor when the request ends.
type keepsSuccessorAtEnd struct{ design }

func (v keepsSuccessorAtEnd) End() Phase {
	v.design.End()
	return NoSuccessor
}

// doesNotAskMaySend writes to the successor whatever happened since it was requested.
type doesNotAskMaySend struct{ design }

func (v doesNotAskMaySend) MaySend(token Token) Verdict {
	v.design.MaySend(token)
	return Keep
}

// searchesTwice looks for another successor while there is one.
type searchesTwice struct{ design }

func (v searchesTwice) RequestSuccessor() Token {
	v.dropSuccessor()
	return v.design.RequestSuccessor()
}

// keepsLate does not return the late grant of a former scheduling node.
type keepsLate struct{ design }

func (keepsLate) returnsLate() bool { return false }

// awaitsNone waits for a successor that there is not, where the replica breaks off.
type awaitsNone struct{ design }

func (v awaitsNone) CurrentBroke(token Token) bool {
	v.design.CurrentBroke(token)
	return true
}

// keepsUnsent does not return the assignment of a successor that is given up as the current replica speaks.
type keepsUnsent struct{ design }

func (v keepsUnsent) returnsUnsent() bool { return v.hasEnded }

// countsReplacedBytes takes the bytes of a replica that was replaced for those of the current one.
type countsReplacedBytes struct{ design }

func (v countsReplacedBytes) CurrentSpoke(Token) (Verdict, Phase) {
	return v.design.CurrentSpoke(v.current)
}

// countsReplacedError takes the error of a replica that was replaced for one of the current replica.
type countsReplacedError struct{ design }

func (v countsReplacedError) CurrentBroke(Token) bool {
	v.current = 0
	return v.Phase() != NoSuccessor
}

// endsWithReplaced lets a replica that was replaced end a request that is being sent again.
type endsWithReplaced struct{ design }

func (v endsWithReplaced) CurrentBroke(token Token) bool {
	v.design.CurrentBroke(token)
	return v.HasCurrent() || v.Phase() != NoSuccessor
}

// failsFormerSuccessor takes the failure of a successor that was given up for one of the next one.
type failsFormerSuccessor struct{ design }

func (v failsFormerSuccessor) SuccessorFailed(Token) bool {
	return v.design.SuccessorFailed(v.successor)
}

// beginsAfterEnd sends a request again that has ended.
type beginsAfterEnd struct{ design }

func (v beginsAfterEnd) Begin() Token {
	v.hasEnded = false
	return v.design.Begin()
}

// givesUpLastSuccessor gives up a silent successor that alone has the request.
type givesUpLastSuccessor struct{ design }

func (givesUpLastSuccessor) givesUpLast() bool { return true }

// countsSilenceWhileRelaying looks for a successor while bytes are written to a slow caller.
type countsSilenceWhileRelaying struct{ design }

func (countsSilenceWhileRelaying) isSilentWhileRelaying() bool { return true }

// Guards against an exploration that finds nothing: each broken variant must lead to its violations.
func TestExplorationFindsBrokenVariants(t *testing.T) {
	for _, variant := range []struct {
		name       string
		wrap       wrap
		violations []violation
	}{
		{"the current replica is left at the grant", func(h *Handover) decisions { return leavesEarly{design{h}, granted} }, []violation{endedUnfinished, mixed}},
		{"the current replica is left at the connection", func(h *Handover) decisions { return leavesEarly{design{h}, connecting} }, []violation{endedUnfinished, mixed}},
		{"the current replica is left at the write", func(h *Handover) decisions { return leavesEarly{design{h}, cleared} }, []violation{endedUnfinished}},
		{"a successor that was given up wins", func(h *Handover) decisions { return acceptsFormerSuccessor{design{h}} }, []violation{mixed}},
		{"the replaced replica is not reset", func(h *Handover) decisions { return keepsReplaced{design{h}} }, []violation{twoAtWork}},
		{"the successor is not reset", func(h *Handover) decisions { return keepsSuccessor{design{h}} }, []violation{twoAtWork}},
		{"the successor is not reset at the end", func(h *Handover) decisions { return keepsSuccessorAtEnd{design{h}} }, []violation{workAfterEnd}},
		{"MaySend is not asked", func(h *Handover) decisions { return doesNotAskMaySend{design{h}} }, []violation{twoAtWork, workAfterEnd, tooManySends}},
		{"a second search begins while one is under way", func(h *Handover) decisions { return searchesTwice{design{h}} }, []violation{threeAtWork, twoAtWork, workAfterEnd}},
		{"an assignment is not returned when the current replica speaks", func(h *Handover) decisions { return keepsUnsent{design{h}} }, []violation{notReturned}},
		{"a late grant is not returned", func(h *Handover) decisions { return keepsLate{design{h}} }, []violation{notReturned}},
		{"a successor is awaited that there is not", func(h *Handover) decisions { return awaitsNone{design{h}} }, []violation{waitsForNothing}},
		{"a replaced replica speaks for the current one", func(h *Handover) decisions { return countsReplacedBytes{design{h}} }, []violation{mixed}},
		{"a replaced replica breaks off for the current one", func(h *Handover) decisions { return countsReplacedError{design{h}} }, []violation{endedAtWork}},
		{"a replaced replica ends a request that is sent again", func(h *Handover) decisions { return endsWithReplaced{design{h}} }, []violation{endedAtWork}},
		{"a former successor fails for the next one", func(h *Handover) decisions { return failsFormerSuccessor{design{h}} }, []violation{endedAtWork, workAfterEnd}},
		{"an ended request is sent again", func(h *Handover) decisions { return beginsAfterEnd{design{h}} }, []violation{workAfterEnd}},
		{"the only replica is given up as silent", func(h *Handover) decisions { return givesUpLastSuccessor{design{h}} }, []violation{endedUnfinished}},
		{"silence counts while bytes are relayed", func(h *Handover) decisions { return countsSilenceWhileRelaying{design{h}} }, []violation{mixed}},
	} {
		for _, wanted := range variant.violations {
			t.Run(variant.name+"/"+wanted.String(), func(t *testing.T) {
				result := explore(variant.wrap, func(found violation) bool { return found == wanted }, func(*modelState) {})
				t.Logf("%d states: %s", result.states, result.course)
				gomega.NewWithT(t).Expect(result.violation).To(gomega.Equal(wanted))
			})
		}
	}
}
