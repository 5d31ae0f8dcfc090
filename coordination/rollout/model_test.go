package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// Every course of a small deployment is played up to a depth: two scheduling nodes, as on
// two sides of a cut, over one store that loses answers and acts late; either crashes at
// any step. What the package guarantees is checked after each step.

// act is one step of a course.
type act int

const (
	actNews    act = iota // the node hears what the store holds
	actWrite              // it writes what is due
	actLose               // the same, but the answer is lost
	actLinger             // the same, but the store acts later
	actLand               // the store acts on a lingering write
	actRequest            // a request is placed
	actEnd                // a request at an old replica ends
	actPraise             // the target answers well
	actBlame              // the target answers badly
	actCrash              // the process ends and starts again
	actAdvance            // the time of the switch comes, and then the deadline
)

// faults are ways to break the package that the check has to find.
type faults struct {
	// spendUnacknowledged uses exposure that the store did not acknowledge, skipConfirmed
	// does not wait for the other node, and skipBusy not for what runs.
	spendUnacknowledged, skipConfirmed, skipBusy bool
}

// exploredPolicy lets three requests through: 0.85 of four.
var exploredPolicy = Policy{Share: 0, Slack: 4}

const exploredSlack = 4

type exploredNode struct {
	controller *Controller
	policy     rollouts.VersionPolicy
	table      *rollouts.Table
	busy       int
	lingering  *rollouts.Record
	answers    int
}

type exploration struct {
	faults   faults
	nodes    [2]*exploredNode
	record   rollouts.Record
	revision structs.StorePosition
	now      structs.Instant
	exposed  int
	problem  error
}

func newExploration(faults faults) *exploration {
	e := &exploration{faults: faults, revision: testOrder().Position}
	for i := range e.nodes {
		e.start(i)
	}
	return e
}

func (e *exploration) start(i int) {
	table := rollouts.NewTable()
	table.PutOrder(0, testOrder())
	e.nodes[i] = &exploredNode{controller: NewController(exploredPolicy, e.now, e.record), table: table}
	e.news(i)
}

func (e *exploration) news(i int) {
	node := e.nodes[i]
	node.table.PutRecord(e.now, e.record)
	known, _ := node.table.Record("s")
	node.controller.Adopt(known)
	node.policy = node.table.Policy("s", false)
}

func (e *exploration) situation(i int) Inputs {
	own, other := e.nodes[i], e.nodes[1-i]
	record := own.controller.Record()
	seen := Inputs{Order: testOrder(), Elapsed: e.now, TargetSlots: 4, OtherSlots: 4, Busy: e.busy(own)}
	seen.Confirmed = e.faults.skipConfirmed || other.policy.OrderPosition == record.OrderPosition && other.policy.Phase == record.Phase
	if seen.Confirmed && !e.faults.skipConfirmed {
		seen.Busy += e.busy(other)
	}
	if e.faults.skipBusy {
		seen.Busy = 0
	}
	return seen
}

// busy is what the node tells of its requests at replicas that get no new ones.
func (e *exploration) busy(node *exploredNode) int {
	if node.policy.AccessFor("v1") == rollouts.AccessDenied {
		return node.busy
	}
	return 0
}

// swap writes the record if nobody wrote since, and returns whether it did.
func (e *exploration) swap(record rollouts.Record) bool {
	if record.Position != e.record.Position {
		return false
	}
	e.revision++
	record.Position = e.revision
	e.record = record
	return true
}

func (e *exploration) write(i int, how act) bool {
	node := e.nodes[i]
	next, due := node.controller.Propose(e.now, e.situation(i))
	if !due {
		return false
	}
	if e.faults.spendUnacknowledged && next.Exposed > node.controller.Record().Exposed {
		node.controller.exposure.take(e.now, next.Exposed-node.controller.Record().Exposed)
	}
	switch how {
	case actLose:
		e.swap(next)
		node.controller.WriteUnknown(e.now)
	case actLinger:
		if node.lingering != nil {
			return false
		}
		node.lingering = &next
		node.controller.WriteUnknown(e.now)
	default:
		if !e.swap(next) {
			node.controller.WriteRejected(e.now)
			e.news(i)
			break
		}
		node.controller.WriteCommitted(e.now, next, e.record.Position)
		e.news(i)
	}
	return true
}

func (e *exploration) request(i int) bool {
	node := e.nodes[i]
	phase := node.policy.Phase
	if phase == rollouts.PhaseCanary && node.controller.CanaryBudget().Left(e.now) > 0 {
		node.controller.CanaryBudget().Spend("r")
		e.exposed++
		if e.record.Phase == rollouts.PhaseRolledBack {
			e.problem = errors.New("a request at the target after the roll-back")
		}
		return true
	}
	if node.policy.AccessFor("v1") == rollouts.AccessUnrestricted && node.busy == 0 {
		node.busy++
		if e.record.Phase == rollouts.PhaseCompleted {
			e.problem = errors.New("a request at a replica that stopped")
		}
		return true
	}
	return false
}

// answer enters enough answers on both sides to judge by.
func (e *exploration) answer(i int, failed bool) bool {
	node := e.nodes[i]
	if node.answers > 0 || node.controller.Record().Phase != rollouts.PhaseCanary {
		return false
	}
	node.answers++
	for n := range 2 * neededAnswers {
		node.controller.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(n % 4), Target: n%2 == 0, Begun: e.now, Failed: failed && n%2 == 0, Step: time.Millisecond}, true)
	}
	return true
}

// step plays one act and returns false if it changes nothing.
func (e *exploration) step(i int, how act) bool {
	node := e.nodes[i]
	before := e.record.Phase
	changed := true
	switch how {
	case actNews:
		changed = node.controller.Record().Position != e.record.Position
		e.news(i)
	case actWrite, actLose, actLinger:
		changed = e.write(i, how)
	case actLand:
		if changed = node.lingering != nil; changed {
			e.swap(*node.lingering)
			node.lingering = nil
		}
	case actRequest:
		changed = e.request(i)
	case actEnd:
		changed = node.busy > 0
		node.busy = 0
	case actPraise, actBlame:
		changed = e.answer(i, how == actBlame)
	case actCrash:
		lingering := node.lingering
		e.start(i)
		e.nodes[i].lingering = lingering
	case actAdvance:
		changed = e.now < testOrder().Duration
		e.now += testOrder().Duration/2 - time.Second
	}
	e.check(before)
	return changed
}

func (e *exploration) check(before rollouts.Phase) {
	if e.exposed > exploredSlack {
		e.problem = fmt.Errorf("%d requests at a target that is not judged", e.exposed)
	}
	if before != rollouts.PhaseCompleted && e.record.Phase == rollouts.PhaseCompleted && e.nodes[0].busy+e.nodes[1].busy > 0 {
		e.problem = errors.New("completed while a request runs at a replica that stops")
	}
}

// key names the state, for states that are reached in several ways.
func (e *exploration) key() string {
	var text strings.Builder
	fmt.Fprint(&text, e.record, e.now, e.exposed)
	for _, node := range e.nodes {
		doubt, _ := node.controller.RegressionScore()
		fmt.Fprint(&text, node.controller.record, node.controller.exposure.left, node.controller.exposure.until, node.controller.fresh, node.controller.wroteAt,
			node.policy, node.busy, node.answers, doubt)
		if node.lingering != nil {
			fmt.Fprint(&text, *node.lingering)
		}
	}
	return text.String()
}

// move is an act of one of the nodes.
type move struct {
	node int
	act  act
}

// beginnings are the courses that all others go on from: nothing, a roll-out that both know,
// one with exposure taken, and ones that go over to the target or back from it.
func beginnings() [][]move {
	begun := []move{{0, actWrite}, {1, actNews}}
	exposing := append(slices.Clone(begun), move{0, actAdvance}, move{0, actWrite}, move{1, actNews})
	judged := append(slices.Clone(exposing), move{0, actPraise}, move{1, actRequest}, move{0, actAdvance})
	blamed := append(slices.Clone(exposing), move{0, actBlame}, move{0, actWrite})
	return [][]move{nil, begun, exposing, judged, append(slices.Clone(judged), move{0, actWrite}), blamed}
}

// explore plays all courses up to the depth beyond each beginning and returns the first
// that breaks a promise, and how many states there were.
func explore(faults faults, depth int) ([]move, int, error) {
	known := map[string]bool{}
	level := beginnings()
	for range depth {
		var next [][]move
		for _, course := range level {
			for i := range 2 {
				for how := actNews; how <= actAdvance; how++ {
					if how == actAdvance && i == 1 {
						continue // time is the same for both
					}
					longer := append(append([]move{}, course...), move{i, how})
					e := newExploration(faults)
					changed := true
					for _, step := range longer {
						changed = e.step(step.node, step.act)
					}
					if e.problem != nil {
						return longer, len(known), e.problem
					}
					if key := e.key(); changed && !known[key] {
						known[key] = true
						next = append(next, longer)
					}
				}
			}
		}
		level = next
	}
	return nil, len(known), nil
}

func TestNoCourseOfASmallDeploymentBreaksAPromise(t *testing.T) {
	const depth = 5
	g := gomega.NewWithT(t)
	course, states, problem := explore(faults{}, depth)
	t.Logf("%d states up to depth %d", states, depth)
	g.Expect(problem).NotTo(gomega.HaveOccurred(), fmt.Sprint(course))
}

// Each promise is broken by a variant that leaves out what keeps it, so that the check is
// known to look.
func TestTheExplorationFindsWhatIsBroken(t *testing.T) {
	for name, broken := range map[string]faults{
		"exposure that was not acknowledged": {spendUnacknowledged: true},
		"nodes that have not confirmed":      {skipConfirmed: true},
		"requests that still run":            {skipBusy: true},
	} {
		t.Run(name, func(t *testing.T) {
			const depth = 6
			g := gomega.NewWithT(t)
			course, states, problem := explore(broken, depth)
			t.Logf("after %d states: %v by %v", states, problem, course)
			g.Expect(problem).To(gomega.HaveOccurred())
		})
	}
}
