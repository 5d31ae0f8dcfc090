package rollout

import (
	"fmt"
	"maps"
	"time"

	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// Policy bounds what a target gets until it is judged.
type Policy struct {
	// Share is the part of the service's requests, and Slack the requests on top.
	Share, Slack float64
}

// Reasons why a roll-out went the way it did.
const (
	ReasonGood       = "as good as before"
	ReasonBad        = "worse than before on route "
	ReasonDoubtful   = "doubtful at the end on route "
	ReasonNoEvidence = "too few answers to judge by"
	ReasonNoCapacity = "too few replicas to carry the load"
	ReasonInService  = "in service before the order"
)

const (
	// exposureMargin is the part of the allowed exposure that is used. The rest is for
	// requests whose end was reported and that reached no replica.
	exposureMargin = 0.85
	// writePause is the least time between two writes of a record whose phase stays: each
	// is a priced call.
	writePause = 500 * time.Millisecond
	// neededAnswers of the target, on all routes together, are the least to complete by,
	// and neededOnRoute those on a route that has usualShare of the others' answers.
	neededAnswers = 40
	neededOnRoute = 5
	usualShare    = 0.1
	// acceptedDoubt is the evidence up to which a target is completed.
	acceptedDoubt = 0.6
	// leastSwitch is the time before the deadline at which the switch begins at the latest
	// when answers are short: two rounds of heartbeats among 80 nodes and two writes.
	// mostSwitch is the part of the roll-out's time that it takes when they are long.
	leastSwitch = 3 * time.Second
	mostSwitch  = 0.5
	// carryShare is the part of the others' slots that the target needs to carry the load.
	carryShare = 0.9
	// maximumRoutes bounds the routes whose evidence lies in the record.
	maximumRoutes = 32
)

// Inputs is what a step goes by beside the record.
type Inputs struct {
	Order rollouts.Order
	// Elapsed is the time since the order, at least.
	Elapsed time.Duration
	// TargetSlots and OtherSlots count the slots of the listed replicas that do not leave.
	TargetSlots, OtherSlots int
	// InService is true if the target had replicas before the order and nothing else is left.
	InService bool
	// Longest is how long an answer of the service takes, of the long ones.
	Longest time.Duration
	// Confirmed is true if every node that may live said that it knows the record's phase,
	// and Busy counts the requests that run at replicas which get no new ones.
	Confirmed bool
	Busy      int
}

// Controller steps the roll-outs of one service. It is not safe for concurrent use.
type Controller struct {
	policy Policy
	record rollouts.Record
	judge  *Analyzer
	// exposure is what may be sent to the target now.
	exposure CanaryBudget
	// fresh was reported since the last write began, and sent is what that write holds
	// while its outcome is not known.
	fresh, sent report
	wroteAt     structs.Instant
	// countsFrom is when the earliest request was placed that counts: one that ran when the
	// order came did not reach the service after it.
	countsFrom structs.Instant
}

// report is what nodes reported of ended requests: those that reached the service, and
// the evidence by route.
type report struct {
	requests int
	routes   map[string]rollouts.Evidence
}

// add enters the other report.
func (r *report) add(other report) {
	r.requests += other.requests
	for route, evidence := range other.routes {
		r.count(route, evidence)
	}
}

// count enters evidence on a route, unless there are too many routes.
func (r *report) count(route string, evidence rollouts.Evidence) {
	before, known := r.routes[route]
	if !known && len(r.routes) >= maximumRoutes {
		return
	}
	if r.routes == nil {
		r.routes = map[string]rollouts.Evidence{}
	}
	r.routes[route] = before.Add(evidence)
}

// NewController returns a controller that goes on from the record, which may be empty.
func NewController(policy Policy, now structs.Instant, record rollouts.Record) *Controller {
	c := &Controller{policy: policy, wroteAt: now - writePause, countsFrom: now}
	c.adopt(record)
	return c
}

// CanaryBudget returns what may be sent to the target now.
func (c *Controller) CanaryBudget() *CanaryBudget { return &c.exposure }

// Record returns the record that the controller goes by.
func (c *Controller) Record() rollouts.Record { return c.record }

// RegressionScore returns how far the evidence against the target is; from 1 on it is bad.
func (c *Controller) RegressionScore() (float64, string) { return c.judge.Doubt() }

// Adopt takes over the record if it is another one than the known.
func (c *Controller) Adopt(record rollouts.Record) {
	if record.Position != c.record.Position {
		c.adopt(record)
	}
}

func (c *Controller) adopt(record rollouts.Record) {
	if record.OrderPosition != c.record.OrderPosition || c.judge == nil {
		c.judge, c.fresh, c.sent = NewJudge(), report{}, report{}
		c.exposure.void()
	}
	if record.Phase != rollouts.PhaseCanary {
		c.exposure.void()
	}
	c.record = record
}

// RecordResult enters the end of a request that reached the service. Told is false if its end
// says nothing of the replica, as when the caller left.
func (c *Controller) RecordResult(answer Sample, told bool) {
	if answer.Begun < c.countsFrom {
		return
	}
	c.fresh.requests++
	if !told || c.record.Phase != rollouts.PhaseCanary {
		return
	}
	bad := c.judge.Observe(answer)
	var seen rollouts.Evidence
	switch {
	case answer.Target && bad:
		seen.Bad = 1
	case answer.Target:
		seen.Good = 1
	case bad:
		seen.BaselineBad = 1
	default:
		seen.BaselineGood = 1
	}
	c.fresh.count(answer.Route, seen)
}

// Propose returns the record that is to be written now, and false if there is none. After
// true WriteCommitted, WriteRejected or WriteUnknown has to be called with what became of the write.
func (c *Controller) Propose(now structs.Instant, seen Inputs) (rollouts.Record, bool) {
	next, due := c.propose(now, seen)
	if !due {
		return next, false
	}
	c.sent, c.fresh = c.fresh, report{}
	return next, true
}

func (c *Controller) propose(now structs.Instant, seen Inputs) (rollouts.Record, bool) {
	next := c.record
	if seen.Order.Position > next.OrderPosition {
		if seen.TargetSlots == 0 || seen.Elapsed >= seen.Order.Duration {
			return next, false // nothing moves while nobody has the version, or too late
		}
		next = rollouts.NewRecord(seen.Order, c.record, seen.InService)
		next.Position, next.Elapsed = c.record.Position, seen.Elapsed
		if next.Phase == rollouts.PhaseSwitching {
			next.Reason = ReasonInService
		}
		return next, true
	}
	if next.OrderPosition == 0 || next.Phase.IsTerminal() {
		return next, false
	}
	next.Elapsed = seen.Elapsed
	switch next.Phase {
	case rollouts.PhaseCanary:
		return c.proposeJudging(now, next, seen)
	case rollouts.PhaseSwitching:
		next.Phase = rollouts.PhaseCompleted
		return next, seen.Confirmed && seen.Busy == 0 && c.carries(seen)
	}
	next.Phase = rollouts.PhaseRolledBack
	return next, seen.Confirmed
}

// carries returns whether the target's replicas can serve all requests.
func (c *Controller) carries(seen Inputs) bool {
	return seen.TargetSlots > 0 && float64(seen.TargetSlots) >= carryShare*float64(seen.OtherSlots)
}

// proposeJudging ends the judgement if it is time, or takes more exposure.
func (c *Controller) proposeJudging(now structs.Instant, next rollouts.Record, seen Inputs) (rollouts.Record, bool) {
	c.sum(&next)
	doubt, route := c.judge.Doubt()
	if doubt >= 1 {
		next.Phase, next.Reason = rollouts.PhaseRollingBack, ReasonBad+route
		return next, true
	}
	if seen.Elapsed >= c.switchAt(seen) {
		if reason := c.objection(next, seen); reason == "" {
			next.Phase, next.Reason = rollouts.PhaseSwitching, ReasonGood
			return next, true
		} else if seen.Elapsed >= seen.Order.Duration {
			next.Phase, next.Reason = rollouts.PhaseRollingBack, reason
			return next, true
		}
	}
	if now-c.wroteAt < writePause || seen.Elapsed >= seen.Order.Duration || seen.TargetSlots == 0 {
		return next, false
	}
	allowed := int(exposureMargin * (c.policy.Slack + c.policy.Share*float64(next.Requests)))
	next.Exposed = max(next.Exposed, allowed)
	return next, next.Exposed > c.record.Exposed
}

// sum adds what was reported since the last write.
func (c *Controller) sum(next *rollouts.Record) {
	total := report{requests: next.Requests, routes: maps.Clone(next.EvidenceByRoute)}
	total.add(c.fresh)
	next.Requests, next.EvidenceByRoute = total.requests, total.routes
}

// switchAt is the time since the order at which the target gets every request: late, as a
// version may turn bad later, but early enough for the longest answers of the others.
func (c *Controller) switchAt(seen Inputs) time.Duration {
	longest := time.Duration(mostSwitch * float64(seen.Order.Duration))
	return seen.Order.Duration - min(leastSwitch+seen.Longest, longest)
}

// objection returns what speaks against completing the roll-out, or nothing.
func (c *Controller) objection(next rollouts.Record, seen Inputs) string {
	if !c.carries(seen) {
		return ReasonNoCapacity
	}
	if doubt, route := c.judge.Doubt(); doubt > acceptedDoubt {
		return ReasonDoubtful + route
	}
	answers, others := 0, 0
	for _, evidence := range next.EvidenceByRoute {
		answers += evidence.Good + evidence.Bad
		others += evidence.BaselineGood + evidence.BaselineBad
	}
	if answers < neededAnswers {
		return ReasonNoEvidence
	}
	if seen.OtherSlots == 0 {
		return "" // nothing is left to compare the routes with
	}
	for _, evidence := range next.EvidenceByRoute {
		if float64(evidence.BaselineGood+evidence.BaselineBad) >= usualShare*float64(others) && evidence.Good+evidence.Bad < neededOnRoute {
			return ReasonNoEvidence
		}
	}
	return ""
}

// WriteCommitted enters that the store acknowledged the proposed record at the revision.
func (c *Controller) WriteCommitted(now structs.Instant, written rollouts.Record, revision structs.StorePosition) {
	if written.OrderPosition != c.record.OrderPosition {
		c.countsFrom = now
	}
	taken := 0
	if written.OrderPosition == c.record.OrderPosition && written.Phase == rollouts.PhaseCanary {
		taken = written.Exposed - c.record.Exposed
	}
	c.sent, c.wroteAt = report{}, now
	written.Position = revision
	c.adopt(written)
	if taken > 0 {
		c.exposure.take(now, taken)
	}
}

// WriteRejected enters that the write surely took no effect: what it held is reported again.
func (c *Controller) WriteRejected(now structs.Instant) {
	c.fresh.add(c.sent)
	c.sent, c.wroteAt = report{}, now
}

// WriteUnknown enters that the write may have taken effect, now or later. What it held is not
// reported again, as requests that count twice would allow too much exposure.
func (c *Controller) WriteUnknown(now structs.Instant) {
	c.sent, c.wroteAt = report{}, now
}

// Describe tells the evidence on one route to operators.
func Describe(route string, evidence rollouts.Evidence) string {
	return fmt.Sprintf("%s: %d of %d bad, %d of %d before", route, evidence.Bad, evidence.Good+evidence.Bad, evidence.BaselineBad, evidence.BaselineGood+evidence.BaselineBad)
}
