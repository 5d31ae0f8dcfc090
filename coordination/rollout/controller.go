package rollout

import (
	"fmt"
	"maps"
	"time"

	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// Policy limits the requests that a target gets in the canary phase.
type Policy struct {
	// Share is the share of the service's requests, and Slack the number of requests in addition.
	Share, Slack float64
}

// Reasons for the result of a rollout, as stored in its record. Those that end in "route " are followed
// by the name of a route.
const (
	ReasonGood         = "as good as before"
	ReasonBad          = "worse than before on route "
	ReasonInconclusive = "doubtful at the end on route "
	ReasonNoEvidence   = "too few answers to judge by"
	ReasonNoCapacity   = "too few replicas to carry the load"
	ReasonInService    = "in service before the order"
)

const (
	// budgetFraction is the fraction of the allowed requests that is used. The rest covers requests
	// that were reported but reached no replica.
	budgetFraction = 0.85
	// minWriteInterval is the minimum time between two writes of a record in the same phase.
	minWriteInterval = 500 * time.Millisecond
	// minAnswers is the minimum number of answers of the target, on all routes together, for
	// switching to it. Routes with at least minRouteShare of the baseline's answers need
	// minRouteAnswers each.
	minAnswers      = 40
	minRouteAnswers = 5
	minRouteShare   = 0.1
	// maxAcceptedScore is the maximum regression score for switching to the target.
	maxAcceptedScore = 0.6
	// minSwitchTime is the time before the deadline at which the switch begins if answers are
	// short; it suffices for the nodes' confirmations, two rounds of heartbeats among 80 nodes, and two writes.
	minSwitchTime = 3 * time.Second
	// maxSwitchFraction is the fraction of the rollout's duration that the switch takes at most.
	maxSwitchFraction = 0.5
	// minSlotFraction is the fraction of the other versions' slots that the target needs.
	minSlotFraction = 0.9
	// maxRoutes bounds the routes in the record.
	maxRoutes = 32
)

// Inputs is the state of the system that a step depends on in addition to the record.
type Inputs struct {
	Order rollouts.Order
	// FormerOrderPosition is the position that the order had before the store was restored; zero if it had no other one.
	FormerOrderPosition structs.StorePosition
	// Elapsed is a lower bound of the time since the order.
	Elapsed time.Duration
	// TargetSlots and OtherSlots count the slots of the listed replicas that are not leaving.
	TargetSlots, OtherSlots int
	// InService is true if the target had replicas before the order and there is no other version.
	InService bool
	// LongAnswerTime is the duration of long answers of the service.
	LongAnswerTime time.Duration
	// Confirmed is true if every node that may be alive confirmed the record's phase.
	// InFlightElsewhere counts the requests running at replicas that get no new ones.
	Confirmed         bool
	InFlightElsewhere int
}

// Controller advances the rollouts of one service. It is not safe for concurrent use.
type Controller struct {
	policy   Policy
	record   rollouts.Record
	analyzer *Analyzer
	budget   CanaryBudget
	// pending is the evidence since the last write began, written the evidence in a write whose
	// result is not known yet.
	pending, written evidenceReport
	lastWriteAt      structs.Instant
	// countsFrom is the assignment time from which on requests count: earlier ones reached the
	// service before the order.
	countsFrom structs.Instant
}

// evidenceReport is the number of requests that reached the service, and the evidence by route.
type evidenceReport struct {
	requests int
	routes   map[string]rollouts.Evidence
}

// merge adds the other report.
func (r *evidenceReport) merge(other evidenceReport) {
	r.requests += other.requests
	for route, evidence := range other.routes {
		r.add(route, evidence)
	}
}

// add adds evidence on a route. A new route beyond maxRoutes is ignored.
func (r *evidenceReport) add(route string, evidence rollouts.Evidence) {
	before, known := r.routes[route]
	if !known && len(r.routes) >= maxRoutes {
		return
	}
	if r.routes == nil {
		r.routes = map[string]rollouts.Evidence{}
	}
	r.routes[route] = before.Add(evidence)
}

// NewController returns a controller that continues from the record, which may be empty.
func NewController(policy Policy, now structs.Instant, record rollouts.Record) *Controller {
	c := &Controller{policy: policy, lastWriteAt: now - minWriteInterval, countsFrom: now}
	c.continueFrom(record)
	return c
}

// CanaryBudget returns the budget of requests to the target, the same one at each call.
func (c *Controller) CanaryBudget() *CanaryBudget { return &c.budget }

// Record returns the current record.
func (c *Controller) Record() rollouts.Record { return c.record }

// RegressionScore returns the score of the evidence against the target and the route that shows it.
// The target is bad from a score of 1 on.
func (c *Controller) RegressionScore() (float64, string) { return c.analyzer.RegressionScore() }

// RebaseOrder records that the order at the former position has another one in the restored store: it is no other order,
// and its evidence stays. It does nothing if the current record is of another order.
func (c *Controller) RebaseOrder(former, position structs.StorePosition) {
	if former > 0 && c.record.OrderPosition == former {
		c.record.OrderPosition = position
	}
}

// ApplyRecord replaces the current record if the store position differs.
func (c *Controller) ApplyRecord(record rollouts.Record) {
	if record.Position != c.record.Position {
		c.continueFrom(record)
	}
}

// continueFrom replaces the record by one that another scheduling node may have written, and restores
// its analysis.
func (c *Controller) continueFrom(record rollouts.Record) {
	c.applyRecord(record)
	if record.Phase != rollouts.PhaseCanary {
		return
	}
	c.analyzer.Restore(record.AnalysisByRoute)
	for route := range record.EvidenceByRoute {
		// The counts say how much was observed, not whether it was good: without the analysis, as in
		// records of earlier versions, they must not let the target pass.
		if state, found := record.AnalysisByRoute[route]; !found || !isValid(state) {
			c.record.EvidenceByRoute = nil
			return
		}
	}
}

// applyRecord replaces the record. A new order drops the evidence, and any phase but the canary phase
// voids the budget.
func (c *Controller) applyRecord(record rollouts.Record) {
	if record.OrderPosition != c.record.OrderPosition || c.analyzer == nil {
		c.analyzer, c.pending, c.written = NewAnalyzer(), evidenceReport{}, evidenceReport{}
		c.budget.void()
	}
	if record.Phase != rollouts.PhaseCanary {
		c.budget.void()
	}
	c.record = record
}

// RecordResult records the result of a request that reached the service. If isConclusive is false, as
// when the caller disconnected, the request is counted but is no evidence about its replica.
func (c *Controller) RecordResult(sample Sample, isConclusive bool) {
	if sample.AssignedAt < c.countsFrom {
		return
	}
	c.pending.requests++
	if !isConclusive || c.record.Phase != rollouts.PhaseCanary {
		return
	}
	isBad := c.analyzer.Observe(sample)
	var evidence rollouts.Evidence
	switch {
	case sample.Target && isBad:
		evidence.Bad = 1
	case sample.Target:
		evidence.Good = 1
	case isBad:
		evidence.BaselineBad = 1
	default:
		evidence.BaselineGood = 1
	}
	c.pending.add(sample.Route, evidence)
}

// Propose returns the record to write now, or false if there is nothing to write. After true, the
// caller must call WriteCommitted, WriteRejected or WriteUnknown with the result of the write.
func (c *Controller) Propose(now structs.Instant, inputs Inputs) (rollouts.Record, bool) {
	next, due := c.propose(now, inputs)
	if !due {
		return next, false
	}
	c.written, c.pending = c.pending, evidenceReport{}
	return next, true
}

func (c *Controller) propose(now structs.Instant, inputs Inputs) (rollouts.Record, bool) {
	next := c.record
	if inputs.Order.Position > next.OrderPosition {
		if inputs.TargetSlots == 0 || inputs.Elapsed >= inputs.Order.Duration {
			return next, false // no replica has the version, or the deadline has passed
		}
		next = rollouts.NewRecord(inputs.Order, c.record, inputs.InService)
		next.Position, next.Elapsed = c.record.Position, inputs.Elapsed
		if next.Phase == rollouts.PhaseSwitching {
			next.Reason = ReasonInService
		}
		return next, true
	}
	if next.OrderPosition == 0 || next.Phase.IsTerminal() {
		return next, false
	}
	next.Elapsed = inputs.Elapsed
	switch next.Phase {
	case rollouts.PhaseCanary:
		return c.proposeCanary(now, next, inputs)
	case rollouts.PhaseSwitching:
		next.Phase = rollouts.PhaseCompleted
		return next, inputs.Confirmed && inputs.InFlightElsewhere == 0 && c.hasCapacity(inputs)
	}
	next.Phase = rollouts.PhaseRolledBack
	return next, inputs.Confirmed
}

// hasCapacity reports whether the target's replicas can serve all requests.
func (c *Controller) hasCapacity(inputs Inputs) bool {
	return inputs.TargetSlots > 0 && float64(inputs.TargetSlots) >= minSlotFraction*float64(inputs.OtherSlots)
}

// proposeCanary ends the canary phase if the result is due, or raises the budget.
func (c *Controller) proposeCanary(now structs.Instant, next rollouts.Record, inputs Inputs) (rollouts.Record, bool) {
	c.accumulate(&next)
	next.AnalysisByRoute = nil // not needed after the canary phase
	score, route := c.analyzer.RegressionScore()
	if score >= 1 {
		next.Phase, next.Reason = rollouts.PhaseRollingBack, ReasonBad+route
		return next, true
	}
	if inputs.Elapsed >= c.switchAfter(inputs) {
		if reason := c.switchObstacle(next, inputs); reason == "" {
			next.Phase, next.Reason = rollouts.PhaseSwitching, ReasonGood
			return next, true
		} else if inputs.Elapsed >= inputs.Order.Duration {
			next.Phase, next.Reason = rollouts.PhaseRollingBack, reason
			return next, true
		}
	}
	if now-c.lastWriteAt < minWriteInterval || inputs.Elapsed >= inputs.Order.Duration || inputs.TargetSlots == 0 {
		return next, false
	}
	allowed := int(budgetFraction * (c.policy.Slack + c.policy.Share*float64(next.Requests)))
	next.Exposed = max(next.Exposed, allowed)
	if next.Exposed <= c.record.Exposed {
		return next, false
	}
	next.AnalysisByRoute = c.analyzer.State(next.EvidenceByRoute)
	return next, true
}

// accumulate adds the pending evidence to the record.
func (c *Controller) accumulate(next *rollouts.Record) {
	total := evidenceReport{requests: next.Requests, routes: maps.Clone(next.EvidenceByRoute)}
	total.merge(c.pending)
	next.Requests, next.EvidenceByRoute = total.requests, total.routes
}

// switchAfter returns the time since the order from which on the target may get every request: late,
// as a version may turn bad later, but early enough for the other versions' longest answers to end.
func (c *Controller) switchAfter(inputs Inputs) time.Duration {
	maxSwitchTime := time.Duration(maxSwitchFraction * float64(inputs.Order.Duration))
	return inputs.Order.Duration - min(minSwitchTime+inputs.LongAnswerTime, maxSwitchTime)
}

// switchObstacle returns the reason not to switch to the target, or the empty string.
func (c *Controller) switchObstacle(next rollouts.Record, inputs Inputs) string {
	if !c.hasCapacity(inputs) {
		return ReasonNoCapacity
	}
	if score, route := c.analyzer.RegressionScore(); score > maxAcceptedScore {
		return ReasonInconclusive + route
	}
	targetAnswers, baselineAnswers := 0, 0
	for _, evidence := range next.EvidenceByRoute {
		targetAnswers += evidence.Good + evidence.Bad
		baselineAnswers += evidence.BaselineGood + evidence.BaselineBad
	}
	if targetAnswers < minAnswers {
		return ReasonNoEvidence
	}
	if inputs.OtherSlots == 0 {
		return "" // no other version is left to compare the routes with
	}
	for _, evidence := range next.EvidenceByRoute {
		if float64(evidence.BaselineGood+evidence.BaselineBad) >= minRouteShare*float64(baselineAnswers) && evidence.Good+evidence.Bad < minRouteAnswers {
			return ReasonNoEvidence
		}
	}
	return ""
}

// WriteCommitted records that the store acknowledged the proposed record at the position, which makes
// its additional budget available.
func (c *Controller) WriteCommitted(now structs.Instant, committed rollouts.Record, position structs.StorePosition) {
	if committed.OrderPosition != c.record.OrderPosition {
		c.countsFrom = now
	}
	added := 0
	if committed.OrderPosition == c.record.OrderPosition && committed.Phase == rollouts.PhaseCanary {
		added = committed.Exposed - c.record.Exposed
	}
	c.written, c.lastWriteAt = evidenceReport{}, now
	committed.Position = position
	c.applyRecord(committed)
	if added > 0 {
		c.budget.add(now, added)
	}
}

// WriteRejected records that the write had no effect. Its evidence becomes pending again.
func (c *Controller) WriteRejected(now structs.Instant) {
	c.pending.merge(c.written)
	c.written, c.lastWriteAt = evidenceReport{}, now
}

// WriteUnknown records that the write may have taken effect or may still do so. Its evidence is
// dropped: requests that count twice would raise the budget beyond its bound.
func (c *Controller) WriteUnknown(now structs.Instant) {
	c.written, c.lastWriteAt = evidenceReport{}, now
}

// Describe formats the evidence on one route for operators.
func Describe(route string, evidence rollouts.Evidence) string {
	return fmt.Sprintf("%s: %d of %d bad, %d of %d before", route, evidence.Bad, evidence.Good+evidence.Bad, evidence.BaselineBad, evidence.BaselineGood+evidence.BaselineBad)
}
