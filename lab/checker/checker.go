// Package checker judges a run by what callers saw and what the stand-ins
// recorded, never by what thornwalk says of itself. Each promise of the users
// has a rule; a broken one gives a violation.
package checker

import (
	"fmt"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/lab/standin"
	"github.com/thornwalk/thornwalk/structs"
)

// Rule names a promise.
type Rule string

// The rules.
const (
	RuleDispatchedOnce  Rule = "dispatched at most once"
	RuleNotRunIsTrue    Rule = "not run really did not run"
	RuleWholeAnswer     Rule = "every caller gets the whole answer to its own request"
	RuleShedOrder       Rule = "a higher tier is never shed before a lower one"
	RuleLeaving         Rule = "a leaving back end gets no new work after a few seconds"
	RulePlannedStop     Rule = "a planned stop cuts no request"
	RuleGenerationRises Rule = "an accepted configuration never reverts"
	RuleInForce         Rule = "an accepted configuration is in force within seconds"
	RuleFence           Rule = "no order of an older coordinator after a newer one"
	RuleEnded           Rule = "every request ends with an outcome"
)

// Times that the rules allow.
const (
	// LeavingGrace is how long a leaving back end may still get work.
	LeavingGrace = 3 * time.Second
	// InForceLimit is how long a change may take to be in force on every node
	// that is not cut off.
	InForceLimit = 5 * time.Second
	// shedGuard is the time after a refusal in which no lower tier may start
	// that arrived after it; shedSlack covers the way to the engine.
	shedGuard = 100 * time.Millisecond
	shedSlack = 30 * time.Millisecond
)

// Observation is what one caller saw of one submission.
type Observation struct {
	// Marker identifies the caller's wish: resubmissions under one key share it.
	Marker    string
	RequestID string
	Zone      string
	Service   string
	Tier      string
	Rank      structs.Rank
	// Outcome is what the caller was told, or OutcomePending if nothing.
	Outcome structs.Outcome
	Code    string
	// Whole is true if the answer was checked to be whole and the caller's own.
	Whole  bool
	SentAt time.Time
	// EndedAt is when the caller knew the outcome.
	EndedAt  time.Time
	Deadline time.Duration
	// HungUp is true if the caller gave up by itself.
	HungUp bool
	// Stopped is true if the node was in a planned stop meanwhile.
	Stopped bool
}

// InTime returns whether the caller got its answer in its waiting time.
func (o *Observation) InTime() bool {
	return o.Outcome == structs.OutcomeAnswered && o.Whole && o.EndedAt.Sub(o.SentAt) <= o.Deadline
}

// GenerationSample is the generation that a node had in force at a time.
type GenerationSample struct {
	Node       string
	Process    int64
	Generation uint64
	At         time.Time
	// Accepted is the highest generation accepted longer than InForceLimit ago,
	// or zero if the node is cut off.
	Accepted uint64
}

// Departure is a back end that left.
type Departure struct {
	Replica structs.ReplicaID
	At      time.Time
}

// OrderLog is the orders that one engine saw, with whether it checks fences.
type OrderLog struct {
	Replica structs.ReplicaID
	Orders  []standin.OrderRecord
}

// History is everything that a run recorded.
type History struct {
	Observations []Observation
	Executions   []standin.Execution
	Generations  []GenerationSample
	Departures   []Departure
	Orders       []OrderLog
	// MarkerOf returns the marker that an execution carries.
	MarkerOf func(standin.Execution) string
}

// Violation is a broken promise.
type Violation struct {
	Rule   Rule
	Detail string
}

// String names the rule and the detail.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Check returns all violations, in the order of the rules.
func (h *History) Check() []Violation {
	var violations []Violation
	for _, rule := range []func() []Violation{
		h.dispatchedOnce, h.notRunIsTrue, h.wholeAnswers, h.shedOrder, h.leaving, h.plannedStop, h.generations, h.fences, h.ended,
	} {
		violations = append(violations, rule()...)
	}
	return violations
}

// Count returns the violations of a rule.
func Count(violations []Violation, rule Rule) int {
	count := 0
	for _, violation := range violations {
		if violation.Rule == rule {
			count++
		}
	}
	return count
}

// byMarker groups the executions by the wish that they carry.
func (h *History) byMarker() map[string][]standin.Execution {
	groups := map[string][]standin.Execution{}
	for _, execution := range h.Executions {
		marker := h.MarkerOf(execution)
		groups[marker] = append(groups[marker], execution)
	}
	return groups
}

// dispatchedOnce: the submissions that carry one marker may reach back ends
// once. Callers give a marker to several submissions only under one key.
func (h *History) dispatchedOnce() []Violation {
	var violations []Violation
	for marker, executions := range h.byMarker() {
		count := 0
		for _, execution := range executions {
			count += execution.Count
		}
		if count > 1 {
			violations = append(violations, Violation{RuleDispatchedOnce, fmt.Sprintf("%s reached back ends %d times: %s", marker, count, places(executions))})
		}
	}
	return sorted(violations)
}

func places(executions []standin.Execution) string {
	text := ""
	for _, execution := range executions {
		text += fmt.Sprintf("%s at %s ×%d; ", execution.RequestID, execution.Replica, execution.Count)
	}
	return text
}

// notRunIsTrue: a request that was said not to have run is at no back end. If
// several submissions share a marker, the one that was refused is told from
// the others by its request id, where it was given one.
func (h *History) notRunIsTrue() []Violation {
	executedIDs := map[string]bool{}
	for _, execution := range h.Executions {
		executedIDs[execution.RequestID] = true
	}
	submissions := map[string]int{}
	for i := range h.Observations {
		submissions[h.Observations[i].Marker]++
	}
	executed := h.byMarker()
	var violations []Violation
	for i := range h.Observations {
		o := &h.Observations[i]
		if o.Outcome != structs.OutcomeNotRun {
			continue
		}
		alone := submissions[o.Marker] == 1 && len(executed[o.Marker]) > 0
		if alone || (o.RequestID != "" && executedIDs[o.RequestID]) {
			violations = append(violations, Violation{RuleNotRunIsTrue, fmt.Sprintf("%s (%s) was told not run, but ran", o.Marker, o.RequestID)})
		}
	}
	return violations
}

func (h *History) wholeAnswers() []Violation {
	var violations []Violation
	for i := range h.Observations {
		if o := &h.Observations[i]; o.Outcome == structs.OutcomeAnswered && !o.Whole {
			violations = append(violations, Violation{RuleWholeAnswer, fmt.Sprintf("%s (%s) got a wrong or partial answer", o.Marker, o.RequestID)})
		}
	}
	return violations
}

// shedOrder: at no moment between the sending and the refusal of a shed
// request may a lower tier have been waiting that started after the refusal;
// nor may one that was sent after the refusal start within the guard.
func (h *History) shedOrder() []Violation {
	started := map[string]time.Time{}
	for _, execution := range h.Executions {
		started[execution.RequestID] = execution.At
	}
	var violations []Violation
	for i := range h.Observations {
		shed := &h.Observations[i]
		if shed.Outcome != structs.OutcomeNotRun || shed.Code != "shed" {
			continue
		}
		for j := range h.Observations {
			lower := &h.Observations[j]
			if lower.Rank <= shed.Rank || lower.Zone != shed.Zone || lower.Service != shed.Service {
				continue
			}
			at, ran := started[lower.RequestID]
			if ran && inverted(shed, lower, at) {
				violations = append(violations, Violation{RuleShedOrder, fmt.Sprintf("%s of tier %s was shed while %s of tier %s went on", shed.Marker, shed.Tier, lower.Marker, lower.Tier)})
				break
			}
		}
	}
	return violations
}

func inverted(shed, lower *Observation, startedAt time.Time) bool {
	waitedThroughout := lower.SentAt.Before(shed.SentAt) && startedAt.After(shed.EndedAt.Add(shedSlack))
	startedRightAfter := lower.SentAt.After(shed.EndedAt) && startedAt.Before(shed.EndedAt.Add(shedGuard))
	return waitedThroughout || startedRightAfter
}

func (h *History) leaving() []Violation {
	var violations []Violation
	for _, departure := range h.Departures {
		for _, execution := range h.Executions {
			if execution.Replica == departure.Replica && execution.At.After(departure.At.Add(LeavingGrace)) {
				violations = append(violations, Violation{RuleLeaving, fmt.Sprintf("%s got %s %s after it began to leave", departure.Replica, execution.RequestID, execution.At.Sub(departure.At))})
			}
		}
	}
	return violations
}

func (h *History) plannedStop() []Violation {
	var violations []Violation
	for i := range h.Observations {
		o := &h.Observations[i]
		if o.Stopped && !o.HungUp && (o.Outcome == structs.OutcomeUnknown || o.Outcome == structs.OutcomePending) {
			violations = append(violations, Violation{RulePlannedStop, fmt.Sprintf("%s (%s) ended as %s %s during a planned stop", o.Marker, o.RequestID, o.Outcome, o.Code)})
		}
	}
	return violations
}

// generations: the generation of a node never falls, also not over restarts
// once the node serves, and follows what was accepted.
func (h *History) generations() []Violation {
	highest := map[string]uint64{}
	var violations []Violation
	for _, sample := range h.Generations {
		process := fmt.Sprintf("%s/%d", sample.Node, sample.Process)
		if sample.Generation < highest[process] {
			violations = append(violations, Violation{RuleGenerationRises, fmt.Sprintf("%s fell from generation %d to %d", process, highest[process], sample.Generation)})
		}
		highest[process] = max(highest[process], sample.Generation)
		if sample.Generation < sample.Accepted {
			violations = append(violations, Violation{RuleInForce, fmt.Sprintf("%s has generation %d in force, %d was accepted more than %s ago", process, sample.Generation, sample.Accepted, InForceLimit)})
		}
	}
	return violations
}

// fences: among the orders that an engine followed, fences never fall.
func (h *History) fences() []Violation {
	var violations []Violation
	for _, log := range h.Orders {
		highest := int64(0)
		for _, order := range log.Orders {
			if order.Accepted && order.Fence < highest {
				violations = append(violations, Violation{RuleFence, fmt.Sprintf("%s followed fence %d after %d", log.Replica, order.Fence, highest)})
			}
			if order.Accepted {
				highest = max(highest, order.Fence)
			}
		}
	}
	return violations
}

func (h *History) ended() []Violation {
	var violations []Violation
	for i := range h.Observations {
		if o := &h.Observations[i]; o.Outcome == structs.OutcomePending && !o.HungUp {
			violations = append(violations, Violation{RuleEnded, fmt.Sprintf("%s was told nothing", o.Marker)})
		}
	}
	return violations
}

func sorted(violations []Violation) []Violation {
	sort.Slice(violations, func(i, j int) bool { return violations[i].Detail < violations[j].Detail })
	return violations
}
