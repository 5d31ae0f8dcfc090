// Package pushback tracks the signals by which replicas limit their load, which they send in responses:
// that they are leaving, a rate limit over all nodes, a limit on how many requests they may have to reject,
// and a pause for the node that got the response.
// It has no I/O and no clock, and does not enforce the signals.
package pushback

import (
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// LimitState is whether a replica has a rate limit.
type LimitState int

const (
	// LimitUnknown means that the replica sent no limit, or an unreadable one.
	LimitUnknown LimitState = iota
	// LimitNone means that the replica has no limit.
	LimitNone
	// LimitSet means that the replica accepts Limit.PerSecond.
	LimitSet
)

// Limit is the rate that a replica accepts from all nodes together.
type Limit struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	State LimitState
	// PerSecond is in requests per second; it counts only with LimitSet.
	PerSecond float64
}

// Signals are the pushback signals of one response. The zero value means that there were none.
type Signals struct {
	// Leaving is true if the replica accepts no new requests until it ends.
	Leaving bool
	Limit   Limit
	// RejectionLimit is set by a brittle replica, which crashes if it has to reject more requests for lack
	// of room, from all nodes together.
	RejectionLimit Limit `msgpack:"Brittle"`
	// Pause is the time during which the node that got the response is to send no request.
	Pause time.Duration
}

// TimedLimit is a limit and the instant since which it applies.
type TimedLimit struct {
	Limit Limit
	AsOf  structs.Instant
}

// Update replaces the limit by a later one, and reports whether its value changed. It ignores
// LimitUnknown, and LimitNone as the first limit.
func (l *TimedLimit) Update(limit Limit, asOf structs.Instant) bool {
	isFirst := l.Limit.State == LimitUnknown
	if limit.State == LimitUnknown || isFirst && limit.State == LimitNone || !isFirst && asOf <= l.AsOf {
		return false
	}
	before := l.Limit
	l.Limit, l.AsOf = limit, asOf
	return limit != before
}

// IsSet reports whether the replica has a limit.
func (l *TimedLimit) IsSet() bool { return l.Limit.State == LimitSet }

// Incarnation is one run of a replica between start and end. Signals apply only to the incarnation that
// sent them.
type Incarnation struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Replica is the replica's ID.
	Replica string
	// StartedAt is when the replica started, in Unix milliseconds by its own clock; zero if it reports none.
	StartedAt int64
}

// IncarnationOf returns the incarnation of the replica.
func IncarnationOf(replica replicas.Replica) Incarnation {
	return Incarnation{Replica: replica.ID, StartedAt: replica.StartedAt}
}

// Report is a replica's pushback as one node reports it to another.
type Report struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation Incarnation
	// Limit applies since Age before the report was sent.
	Limit Limit
	Age   time.Duration
	// Leaving is true if the replica accepts no new requests.
	Leaving bool
	// Pause is the remaining time during which the reporting node sends no request.
	Pause time.Duration
}

// ReportOf returns a report of the limit alone.
func (l *TimedLimit) ReportOf(now structs.Instant, incarnation Incarnation) Report {
	return Report{Incarnation: incarnation, Limit: l.Limit, Age: now - l.AsOf}
}

// replicaState is the pushback of one incarnation.
type replicaState struct {
	leaving bool
	limit   TimedLimit
	// rejectionLimit is that of Signals.
	rejectionLimit TimedLimit
	pausedUntil    structs.Instant
	// isProbing is true from the start of a pause until a later response asks for none. Once the
	// pause is over, one request at a time is sent as a probe, the last one at probedAt.
	isProbing bool
	probedAt  structs.Instant
	updatedAt structs.Instant
}

// pauseLeft returns the time until a request may be sent: until the pause ends, or the current probe times
// out.
func (s *replicaState) pauseLeft(now structs.Instant) time.Duration {
	until := s.pausedUntil
	if s.isProbing && s.probedAt >= until {
		until = s.probedAt + probeTimeout
	}
	return max(until-now, 0)
}

// probeTimeout is the time after which a probe without a response is followed by another one.
const probeTimeout = time.Second

// Tracker holds the pushback of replicas as one node received it. It is not safe for concurrent use.
type Tracker struct {
	states map[Incarnation]*replicaState
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{states: map[Incarnation]*replicaState{}} }

// Change is what a response changed.
type Change struct {
	// StartedLeaving is true if this is the first response of the incarnation with Leaving.
	StartedLeaving bool
	// LimitChanged is true if the limit has another value than before, or ended, and RejectionLimitChanged
	// the same for the rejection limit.
	LimitChanged, RejectionLimitChanged bool
	// PauseRequested is true if the response asks for a pause.
	PauseRequested bool
}

// Observe applies the signals of a response that arrives now to a request sent at the given instant.
// Responses may overtake each other: one without a limit ends a limit only if its request was sent
// after the limit was received.
func (t *Tracker) Observe(now, sent structs.Instant, incarnation Incarnation, signals Signals) Change {
	state := t.states[incarnation]
	if state == nil {
		if !signals.Leaving && signals.Pause <= 0 && signals.Limit.State != LimitSet && signals.RejectionLimit.State != LimitSet {
			return Change{}
		}
		state = &replicaState{}
		t.states[incarnation] = state
	}
	state.updatedAt = now
	change := Change{StartedLeaving: signals.Leaving && !state.leaving, PauseRequested: signals.Pause > 0}
	state.leaving = state.leaving || signals.Leaving
	state.updatePause(now, sent, signals)
	change.LimitChanged = state.limit.Update(signals.Limit, signals.Limit.AsOf(now, sent))
	change.RejectionLimitChanged = state.rejectionLimit.Update(signals.RejectionLimit, signals.RejectionLimit.AsOf(now, sent))
	return change
}

// AsOf returns the instant since which the limit of a response applies: when it arrived, or, without a
// limit, when its request was sent.
func (l Limit) AsOf(now, sent structs.Instant) structs.Instant {
	if l.State == LimitNone {
		return sent
	}
	return now
}

// updatePause starts or extends a pause, or ends its probing. Responses without any signal, and those to
// requests sent before the end of the pause, do not end it.
func (s *replicaState) updatePause(now, sent structs.Instant, signals Signals) {
	switch {
	case signals.Pause > 0:
		s.pausedUntil, s.isProbing = max(s.pausedUntil, now+signals.Pause), true
	case sent >= s.pausedUntil && signals != (Signals{}):
		s.isProbing = false
	}
}

// PauseLeft returns the time during which this node is to send no request to the replica.
func (t *Tracker) PauseLeft(now structs.Instant, incarnation Incarnation) time.Duration {
	state := t.states[incarnation]
	if state == nil {
		return 0
	}
	return state.pauseLeft(now)
}

// Sent records that a request was sent to the replica. After a pause, PauseLeft then holds back others
// until the response or a timeout, so that the pending requests are not sent all at once.
func (t *Tracker) Sent(now structs.Instant, incarnation Incarnation) {
	if state := t.states[incarnation]; state != nil && state.isProbing {
		state.probedAt = now
	}
}

// MergeLimit merges the limit of another node's report; it ignores Leaving and Pause.
func (t *Tracker) MergeLimit(now structs.Instant, report Report) {
	state := t.states[report.Incarnation]
	if state == nil {
		if report.Limit.State != LimitSet {
			return
		}
		state = &replicaState{}
		t.states[report.Incarnation] = state
	}
	state.updatedAt = now
	state.limit.Update(report.Limit, now-report.Age)
}

// IsLimited reports whether the replica has a limit.
func (t *Tracker) IsLimited(incarnation Incarnation) bool {
	state := t.states[incarnation]
	return state != nil && state.limit.IsSet()
}

// IsLeaving reports whether the replica signalled that it is leaving.
func (t *Tracker) IsLeaving(incarnation Incarnation) bool {
	state := t.states[incarnation]
	return state != nil && state.leaving
}

// Reports returns reports for the scheduling node of the incarnations for which include is true, in no
// order and at most maxReports.
func (t *Tracker) Reports(now structs.Instant, include func(incarnation Incarnation) bool) []Report {
	var reports []Report
	for incarnation, state := range t.states {
		if !state.needsReport(now) || !include(incarnation) {
			continue
		}
		report := state.limit.ReportOf(now, incarnation)
		report.Leaving, report.Pause = state.leaving, state.pauseLeft(now)
		if reports = append(reports, report); len(reports) == maxReports {
			break
		}
	}
	return reports
}

// RejectionLimits returns reports of the rejection limits of the incarnations for which include is true, in
// no order and at most maxReports.
func (t *Tracker) RejectionLimits(now structs.Instant, include func(incarnation Incarnation) bool) []Report {
	var reports []Report
	for incarnation, state := range t.states {
		if len(reports) < maxReports && state.rejectionLimit.needsReport(now) && include(incarnation) {
			reports = append(reports, state.rejectionLimit.ReportOf(now, incarnation))
		}
	}
	return reports
}

// maxReports bounds the reports sent with one request. Without the others the scheduling node may grant
// a slot that this node can't use and returns.
const maxReports = 64

// needsReport reports whether the replica limits its load, or ended a limit within
// limitEndReportPeriod.
func (s *replicaState) needsReport(now structs.Instant) bool {
	return s.leaving || s.pauseLeft(now) > 0 || s.limit.needsReport(now)
}

// needsReport reports whether the limit is set, or ended within limitEndReportPeriod.
func (l *TimedLimit) needsReport(now structs.Instant) bool {
	return l.IsSet() || l.Limit.State == LimitNone && now-l.AsOf < limitEndReportPeriod
}

// limitEndReportPeriod is how long the end of a limit is reported, as other nodes may still have the
// limit.
const limitEndReportPeriod = 30 * time.Second

// retention is how long the state of an unknown incarnation is kept after its last update: its entry
// may have expired during a store outage and be written again.
const retention = 10 * time.Minute

// Sweep removes the incarnations for which isKnown is false, once their last update is older than the
// retention.
func (t *Tracker) Sweep(now structs.Instant, isKnown func(incarnation Incarnation) bool) {
	for incarnation, state := range t.states {
		if now-state.updatedAt > retention && !isKnown(incarnation) {
			delete(t.states, incarnation)
		}
	}
}
