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

// The model check runs every trace of a small deployment up to a depth: two schedulers, as on both
// sides of a partition, and a store that loses acknowledgements and applies writes late. Either node may
// crash at any step. The package's guarantees are checked after each step.

// action is one step of a trace.
type action int

const (
	actionRead        action = iota // the node reads the record from the store
	actionWrite                     // the node writes the proposed record
	actionWriteNoAck                // the same, but the acknowledgement is lost
	actionWriteDelay                // the same, but the store has not applied the write yet
	actionApplyWrite                // the store applies the delayed write
	actionRequest                   // the node assigns a request
	actionEnd                       // the node's request at a replica of the old version ends
	actionGoodAnswers               // the target answers well
	actionBadAnswers                // the target answers badly
	actionCrash                     // the process crashes and restarts
	actionAdvance                   // time advances to the switch, and then to the deadline
)

// defects are faults of the package or its caller that the model check must find.
type defects struct {
	// spendUnacknowledged uses budget that the store did not acknowledge, skipConfirmed does not
	// wait for the other node, and skipInFlight does not wait for running requests.
	spendUnacknowledged, skipConfirmed, skipInFlight bool
}

// modelPolicy permits three requests to the target: 0.85 of four, rounded down.
var modelPolicy = Policy{Share: 0, Slack: 4}

const modelSlack = 4

type modelNode struct {
	controller *Controller
	policy     rollouts.VersionPolicy
	table      *rollouts.Table
	// running is the number of requests at replicas of the old version.
	running int
	// delayedWrite is a write that the store has not applied yet.
	delayedWrite *rollouts.Record
	// answerSets counts the actions that recorded answers since the process started.
	answerSets int
}

// model is the state of the deployment after a trace.
type model struct {
	defects defects
	nodes   [2]*modelNode
	// record and position are the state of the store.
	record   rollouts.Record
	position structs.StorePosition
	now      structs.Instant
	// targetRequests counts the requests sent to the target in the canary phase.
	targetRequests int
	// violation is the last guarantee found broken.
	violation error
}

func newModel(defects defects) *model {
	m := &model{defects: defects, position: testOrder().Position}
	for i := range m.nodes {
		m.start(i)
	}
	return m
}

// start starts the node's process.
func (m *model) start(i int) {
	table := rollouts.NewTable()
	table.PutOrder(0, testOrder())
	m.nodes[i] = &modelNode{controller: NewController(modelPolicy, m.now, m.record), table: table}
	m.read(i)
}

// read applies the store's record to the node.
func (m *model) read(i int) {
	node := m.nodes[i]
	node.table.PutRecord(m.now, m.record)
	known, _ := node.table.Record("s")
	node.controller.ApplyRecord(known)
	node.policy = node.table.Policy("s", false)
}

// inputs returns the node's inputs to a step.
func (m *model) inputs(i int) Inputs {
	own, other := m.nodes[i], m.nodes[1-i]
	record := own.controller.Record()
	inputs := Inputs{Order: testOrder(), Elapsed: m.now, TargetSlots: 4, OtherSlots: 4, InFlightElsewhere: m.inFlightElsewhere(own)}
	inputs.Confirmed = m.defects.skipConfirmed || other.policy.OrderPosition == record.OrderPosition && other.policy.Phase == record.Phase
	if inputs.Confirmed && !m.defects.skipConfirmed {
		inputs.InFlightElsewhere += m.inFlightElsewhere(other)
	}
	if m.defects.skipInFlight {
		inputs.InFlightElsewhere = 0
	}
	return inputs
}

// inFlightElsewhere returns the number of the node's requests running at replicas that get no new ones.
func (m *model) inFlightElsewhere(node *modelNode) int {
	if node.policy.AccessFor("v1") == rollouts.AccessDenied {
		return node.running
	}
	return 0
}

// compareAndSwap writes the record if the store's has not changed since, and reports whether it did.
func (m *model) compareAndSwap(record rollouts.Record) bool {
	if record.Position != m.record.Position {
		return false
	}
	m.position++
	record.Position = m.position
	m.record = record
	return true
}

// write performs a write action and returns false if there is nothing to write.
func (m *model) write(i int, kind action) bool {
	node := m.nodes[i]
	next, due := node.controller.Propose(m.now, m.inputs(i))
	if !due {
		return false
	}
	if m.defects.spendUnacknowledged && next.Exposed > node.controller.Record().Exposed {
		node.controller.budget.add(m.now, next.Exposed-node.controller.Record().Exposed)
	}
	switch kind {
	case actionWriteNoAck:
		m.compareAndSwap(next)
		node.controller.WriteUnknown(m.now)
	case actionWriteDelay:
		if node.delayedWrite != nil {
			return false
		}
		node.delayedWrite = &next
		node.controller.WriteUnknown(m.now)
	default:
		if !m.compareAndSwap(next) {
			node.controller.WriteRejected(m.now)
			m.read(i)
			break
		}
		node.controller.WriteCommitted(m.now, next, m.record.Position)
		m.read(i)
	}
	return true
}

// request assigns a request of the node, and returns false if none may be sent.
func (m *model) request(i int) bool {
	node := m.nodes[i]
	phase := node.policy.Phase
	if phase == rollouts.PhaseCanary && node.controller.CanaryBudget().Remaining(m.now) > 0 {
		node.controller.CanaryBudget().Consume("r")
		m.targetRequests++
		if m.record.Phase == rollouts.PhaseRolledBack {
			m.violation = errors.New("a request was sent to the target after the rollback")
		}
		return true
	}
	if node.policy.AccessFor("v1") == rollouts.AccessUnrestricted && node.running == 0 {
		node.running++
		if m.record.Phase == rollouts.PhaseCompleted {
			m.violation = errors.New("a request was sent to a replica that was stopped")
		}
		return true
	}
	return false
}

// recordAnswers records enough answers of both versions for a decision.
func (m *model) recordAnswers(i int, targetFails bool) bool {
	node := m.nodes[i]
	if node.answerSets > 0 || node.controller.Record().Phase != rollouts.PhaseCanary {
		return false
	}
	node.answerSets++
	for n := range 2 * minAnswers {
		node.controller.RecordResult(Sample{Route: "r", Replica: fmt.Sprint(n % 4), Target: n%2 == 0, AssignedAt: m.now, Failed: targetFails && n%2 == 0, EventInterval: time.Millisecond}, true)
	}
	return true
}

// step performs the action of the node and returns false if it changes nothing.
func (m *model) step(i int, kind action) bool {
	node := m.nodes[i]
	before := m.record.Phase
	changed := true
	switch kind {
	case actionRead:
		changed = node.controller.Record().Position != m.record.Position
		m.read(i)
	case actionWrite, actionWriteNoAck, actionWriteDelay:
		changed = m.write(i, kind)
	case actionApplyWrite:
		if changed = node.delayedWrite != nil; changed {
			m.compareAndSwap(*node.delayedWrite)
			node.delayedWrite = nil
		}
	case actionRequest:
		changed = m.request(i)
	case actionEnd:
		changed = node.running > 0
		node.running = 0
	case actionGoodAnswers, actionBadAnswers:
		changed = m.recordAnswers(i, kind == actionBadAnswers)
	case actionCrash:
		delayedWrite := node.delayedWrite
		m.start(i)
		m.nodes[i].delayedWrite = delayedWrite
	case actionAdvance:
		changed = m.now < testOrder().Duration
		m.now += testOrder().Duration/2 - time.Second
	}
	m.check(before)
	return changed
}

// check records a broken guarantee; before is the phase in the store before the step.
func (m *model) check(before rollouts.Phase) {
	if m.targetRequests > modelSlack {
		m.violation = fmt.Errorf("%d requests were sent to a target that was not accepted yet", m.targetRequests)
	}
	if before != rollouts.PhaseCompleted && m.record.Phase == rollouts.PhaseCompleted && m.nodes[0].running+m.nodes[1].running > 0 {
		m.violation = errors.New("the rollout completed while a request was running at a replica of the old version")
	}
}

// key identifies the state, so that states reached by several traces are expanded once.
func (m *model) key() string {
	var text strings.Builder
	fmt.Fprint(&text, m.record, m.now, m.targetRequests)
	for _, node := range m.nodes {
		score, _ := node.controller.RegressionScore()
		fmt.Fprint(&text, node.controller.record, node.controller.budget.remaining, node.controller.budget.expiresAt, node.controller.pending, node.controller.lastWriteAt,
			node.policy, node.running, node.answerSets, score)
		if node.delayedWrite != nil {
			fmt.Fprint(&text, *node.delayedWrite)
		}
	}
	return text.String()
}

// step is an action of one of the nodes.
type step struct {
	node   int
	action action
}

// prefixes returns the traces that are extended: the empty one, a rollout known to both nodes, one with
// budget, ones before and after the switch to the target, and one that is rolling back.
func prefixes() [][]step {
	started := []step{{0, actionWrite}, {1, actionRead}}
	budgeted := append(slices.Clone(started), step{0, actionAdvance}, step{0, actionWrite}, step{1, actionRead})
	beforeSwitch := append(slices.Clone(budgeted), step{0, actionGoodAnswers}, step{1, actionRequest}, step{0, actionAdvance})
	rollingBack := append(slices.Clone(budgeted), step{0, actionBadAnswers}, step{0, actionWrite})
	return [][]step{nil, started, budgeted, beforeSwitch, append(slices.Clone(beforeSwitch), step{0, actionWrite}), rollingBack}
}

// explore extends each prefix by all traces up to the depth. It returns the first trace that breaks a
// guarantee, the number of states reached, and the violation.
func explore(defects defects, depth int) ([]step, int, error) {
	visited := map[string]bool{}
	level := prefixes()
	for range depth {
		var next [][]step
		for _, trace := range level {
			for i := range 2 {
				for kind := actionRead; kind <= actionAdvance; kind++ {
					if kind == actionAdvance && i == 1 {
						continue // both nodes share the clock
					}
					extended := append(append([]step{}, trace...), step{i, kind})
					m := newModel(defects)
					changed := true
					for _, step := range extended {
						changed = m.step(step.node, step.action)
					}
					if m.violation != nil {
						return extended, len(visited), m.violation
					}
					if key := m.key(); changed && !visited[key] {
						visited[key] = true
						next = append(next, extended)
					}
				}
			}
		}
		level = next
	}
	return nil, len(visited), nil
}

// No trace of a small deployment may break a guarantee of the package.
func TestNoTraceBreaksAGuarantee(t *testing.T) {
	const depth = 5
	g := gomega.NewWithT(t)
	trace, states, violation := explore(defects{}, depth)
	t.Logf("%d states up to depth %d", states, depth)
	g.Expect(violation).NotTo(gomega.HaveOccurred(), fmt.Sprint(trace))
}

// Guards the model check itself: it must find a violation for each defect.
func TestModelCheckFindsDefects(t *testing.T) {
	for name, defect := range map[string]defects{
		"unacknowledged budget is used": {spendUnacknowledged: true},
		"unconfirmed nodes are ignored": {skipConfirmed: true},
		"running requests are ignored":  {skipInFlight: true},
	} {
		t.Run(name, func(t *testing.T) {
			const depth = 6
			g := gomega.NewWithT(t)
			trace, states, violation := explore(defect, depth)
			t.Logf("after %d states: %v, trace %v", states, violation, trace)
			g.Expect(violation).To(gomega.HaveOccurred())
		})
	}
}
