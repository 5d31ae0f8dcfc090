// Package checker checks the promises to callers and operators against the history of a run, which
// is recorded by callers and stand-ins and never taken from thornwalk's own reports. Each promise
// has a rule; a broken one yields violations.
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

// Time limits of the rules.
const (
	// LeavingGrace is how long a leaving back end may still receive requests.
	LeavingGrace = 3 * time.Second
	// InForceLimit is how long a change may take to become active on every reachable node.
	InForceLimit = 5 * time.Second
	// shedGuard is the time after a rejection in which no request of a lower tier may start that was
	// sent after the rejection. shedSlack allows for the time from a node to the engine.
	shedGuard = 100 * time.Millisecond
	shedSlack = 30 * time.Millisecond
)

// Observation is one submission and its result as the caller saw it.
type Observation struct {
	// Marker identifies a caller's request; resubmissions under the same key share it.
	Marker    string
	RequestID string
	Zone      string
	Service   string
	Tier      string
	Rank      structs.Rank
	// Outcome is the outcome that the caller received, or OutcomePending if none.
	Outcome structs.Outcome
	Code    string
	// Complete is true if the answer is complete and belongs to this request.
	Complete bool
	SentAt   time.Time
	// EndedAt is when the caller received the outcome.
	EndedAt  time.Time
	Deadline time.Duration
	// HungUp is true if the caller abandoned the request.
	HungUp bool
	// Stopped is true if the request overlaps a planned stop of the node.
	Stopped bool
}

// InTime reports whether the caller received its complete answer within the deadline.
func (o *Observation) InTime() bool {
	return o.Outcome == structs.OutcomeAnswered && o.Complete && o.EndedAt.Sub(o.SentAt) <= o.Deadline
}

// GenerationSample is the active generation of a node at a time.
type GenerationSample struct {
	Node       string
	Process    int64
	Generation uint64
	At         time.Time
	// Accepted is the highest generation accepted more than InForceLimit before At, or zero if the
	// node is unreachable.
	Accepted uint64
}

// Departure is a back end that began to leave at a time.
type Departure struct {
	Replica structs.ReplicaID
	At      time.Time
}

// OrderLog is the orders that one engine received, in their order.
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
	// MarkerOf returns the marker of an execution.
	MarkerOf func(standin.Execution) string
}

// Violation is a broken promise.
type Violation struct {
	Rule   Rule
	Detail string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// Check returns the violations of all rules, grouped by rule.
func (h *History) Check() []Violation {
	var violations []Violation
	for _, rule := range []func() []Violation{
		h.dispatchedOnce, h.notRunIsTrue, h.wholeAnswers, h.shedOrder, h.leaving, h.plannedStop, h.generations, h.fences, h.ended,
	} {
		violations = append(violations, rule()...)
	}
	return violations
}

// Count returns the number of violations of the rule.
func Count(violations []Violation, rule Rule) int {
	count := 0
	for _, violation := range violations {
		if violation.Rule == rule {
			count++
		}
	}
	return count
}

// byMarker groups the executions by marker.
func (h *History) byMarker() map[string][]standin.Execution {
	groups := map[string][]standin.Execution{}
	for _, execution := range h.Executions {
		marker := h.MarkerOf(execution)
		groups[marker] = append(groups[marker], execution)
	}
	return groups
}

// dispatchedOnce checks that the submissions with one marker reached back ends at most once in total.
func (h *History) dispatchedOnce() []Violation {
	var violations []Violation
	for marker, executions := range h.byMarker() {
		count := 0
		for _, execution := range executions {
			count += execution.Count
		}
		if count > 1 {
			violations = append(violations, Violation{RuleDispatchedOnce, fmt.Sprintf("%s reached back ends %d times: %s", marker, count, describeExecutions(executions))})
		}
	}
	return sortByDetail(violations)
}

func describeExecutions(executions []standin.Execution) string {
	text := ""
	for _, execution := range executions {
		text += fmt.Sprintf("%s at %s ×%d; ", execution.RequestID, execution.Replica, execution.Count)
	}
	return text
}

// notRunIsTrue checks that no back end ran a request whose outcome was not-run. If several
// submissions share a marker, the rejected one is identified by its request id, if it has one.
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
		if o := &h.Observations[i]; o.Outcome == structs.OutcomeAnswered && !o.Complete {
			violations = append(violations, Violation{RuleWholeAnswer, fmt.Sprintf("%s (%s) got a wrong or partial answer", o.Marker, o.RequestID)})
		}
	}
	return violations
}

// shedOrder checks each shed request against the requests of lower tiers: none that was sent
// before it may start more than shedSlack after its rejection, and none that was sent after the rejection
// may start within shedGuard.
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
			if ran && isInverted(shed, lower, at) {
				violations = append(violations, Violation{RuleShedOrder, fmt.Sprintf("%s of tier %s was shed while %s of tier %s went on", shed.Marker, shed.Tier, lower.Marker, lower.Tier)})
				break
			}
		}
	}
	return violations
}

func isInverted(shed, lower *Observation, startedAt time.Time) bool {
	queuedThroughout := lower.SentAt.Before(shed.SentAt) && startedAt.After(shed.EndedAt.Add(shedSlack))
	startedRightAfter := lower.SentAt.After(shed.EndedAt) && startedAt.Before(shed.EndedAt.Add(shedGuard))
	return queuedThroughout || startedRightAfter
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

// generations checks that the generation of each process never decreases and that accepted
// generations become active within InForceLimit.
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

// fences checks that the fences of the orders that an engine accepted never decrease.
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

func sortByDetail(violations []Violation) []Violation {
	sort.Slice(violations, func(i, j int) bool { return violations[i].Detail < violations[j].Detail })
	return violations
}
