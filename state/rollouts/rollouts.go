// Package rollouts is a node's table of rollouts: the operators' orders to move a service to a version,
// and the records of their progress. It has no I/O and no clock; callers apply updates from the platform's
// store and from peers. It does not advance rollouts: coordination/rollout does.
//
// Guarantee: of two orders for a service, or two records, the one with the later store position is
// kept, in whichever sequence they arrive. A record that a restored store has from its backup never
// replaces one of the same order with more progress.
package rollouts

import (
	"cmp"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Order is the operators' request to move a service to a version.
type Order struct {
	Service string `msgpack:"s" json:"service"`
	Target  string `msgpack:"t" json:"target_version"`
	// Duration is the time from the order within which the rollout is to complete.
	Duration time.Duration `msgpack:"d" json:"duration"`
	// Position is the store position of the order; zero means that there is no order.
	Position structs.StorePosition `msgpack:"r" json:"revision"`
}

// Phase is the phase of a rollout. The zero value means that there is no rollout.
type Phase uint8

// The phases in their order. A rollout starts in PhaseCanary, or in PhaseSwitching if it needs no canary
// (NewRecord), and ends in PhaseCompleted or PhaseRolledBack.
const (
	// PhaseCanary sends the target a bounded share of the requests.
	PhaseCanary Phase = iota + 1
	// PhaseSwitching sends the target every new request. Requests may still run at other versions.
	PhaseSwitching
	// PhaseCompleted means that no requests run at the other versions, whose replicas may stop.
	PhaseCompleted
	// PhaseRollingBack means that the target failed the canary analysis, or did not pass it in time, and
	// gets no new requests. Some nodes may not know that yet.
	PhaseRollingBack
	// PhaseRolledBack means that no node sends requests to the target.
	PhaseRolledBack
)

// String returns the name of the phase as logs and command output contain it.
func (p Phase) String() string {
	names := [...]string{"none", "judging", "switching", "completed", "returning", "rolled-back"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// IsTerminal reports whether the rollout has ended.
func (p Phase) IsTerminal() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// Evidence counts the answers on one route during the canary phase.
type Evidence struct {
	// Good and Bad count the answers of the target, BaselineGood and BaselineBad those of other versions.
	Good         int `msgpack:"g" json:"good"`
	Bad          int `msgpack:"b" json:"bad"`
	BaselineGood int `msgpack:"h" json:"old_good"`
	BaselineBad  int `msgpack:"c" json:"old_bad"`
}

// Add returns the sum of both.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{Good: e.Good + other.Good, Bad: e.Bad + other.Bad, BaselineGood: e.BaselineGood + other.BaselineGood, BaselineBad: e.BaselineBad + other.BaselineBad}
}

// Analysis is the state of the comparison of the target with other versions on one route. It lets another
// scheduling node continue the comparison.
type Analysis struct {
	// Sum is the evidence against the target, SumByReplica the largest contributions of its replicas.
	Sum          float64            `msgpack:"s" json:"sum"`
	SumByReplica map[string]float64 `msgpack:"r,omitempty" json:"replicas,omitempty"`
	// SlowMean and FastMean are the moving averages of the other versions' bad-answer share.
	SlowMean float64 `msgpack:"m" json:"slow_mean"`
	FastMean float64 `msgpack:"f" json:"fast_mean"`
	// FirstEventLimit and EventIntervalLimit are the times above which an answer is slow; zero if unknown.
	FirstEventLimit    time.Duration `msgpack:"l" json:"first_event_limit"`
	EventIntervalLimit time.Duration `msgpack:"i" json:"event_interval_limit"`
}

// Record is the progress of a rollout as the store holds it. It is written only if it has not changed
// since it was read.
type Record struct {
	Service string `msgpack:"s" json:"service"`
	// OrderPosition is the store position of the order.
	OrderPosition structs.StorePosition `msgpack:"o" json:"order"`
	Target        string                `msgpack:"t" json:"target"`
	// Stable is the version that a rollback returns to; empty if unknown.
	Stable string `msgpack:"v" json:"stable"`
	// Excluded lists versions that get no new requests: targets of rollouts that were not completed, and
	// stable versions that were replaced. The latest comes last.
	Excluded []string `msgpack:"x" json:"barred,omitempty"`
	Phase    Phase    `msgpack:"p" json:"phase"`
	// Reason is the cause of the last change of phase.
	Reason string `msgpack:"y" json:"reason,omitempty"`
	// Requests is the number of requests to the service since the order that nodes have reported.
	Requests int `msgpack:"n" json:"requests"`
	// Exposed is the upper bound of the requests sent to the target; it is raised before they are sent.
	Exposed int `msgpack:"e" json:"exposed"`
	// Elapsed is a lower bound of the time from the order to the write of this record.
	Elapsed time.Duration `msgpack:"l" json:"elapsed"`
	// EvidenceByRoute holds the evidence by route name.
	EvidenceByRoute map[string]Evidence `msgpack:"u" json:"routes,omitempty"`
	// AnalysisByRoute holds, in the canary phase, the analysis that covers the evidence, by route name.
	// Nodes of versions without this field drop it when they write the record.
	AnalysisByRoute map[string]Analysis `msgpack:"a,omitempty" json:"analysis,omitempty"`
	// Position is the store position of the record; zero means that there is no record.
	Position structs.StorePosition `msgpack:"r" json:"-"`
}

// serviceState is the latest order and record of one service, and when this process received them.
type serviceState struct {
	order Order
	// formerOrderPosition is that of the order before the store was restored; zero if it had no other one.
	formerOrderPosition               structs.StorePosition
	record                            Record
	orderReceivedAt, recordReceivedAt structs.Instant
	// isRebased is true if the record here has the new position of a recreated order, but the record in
	// the store does not yet.
	isRebased bool
}

// Table holds the known orders and records by service. It is not safe for concurrent use.
type Table struct {
	services map[string]*serviceState
	// completeTo is the position up to which all orders and records were applied.
	completeTo structs.StorePosition
	// restoreWindow is the zero value unless the store was restored recently. latestRestore is the latest one that was not
	// zero: it tells the records of a backup from later ones also after its end.
	restoreWindow, latestRestore structs.RestoreWindow
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{services: map[string]*serviceState{}} }

// stateOf returns the state of the service. It adds an empty one if there is none.
func (t *Table) stateOf(service string) *serviceState {
	state, found := t.services[service]
	if !found {
		state = &serviceState{}
		t.services[service] = state
	}
	return state
}

// CompleteTo returns the store position up to which all orders and records were applied.
func (t *Table) CompleteTo() structs.StorePosition { return t.completeTo }

// SetCompleteTo records that all changes up to the position were applied. A lower position than the
// present one has no effect.
func (t *Table) SetCompleteTo(position structs.StorePosition) {
	t.completeTo = max(t.completeTo, position)
}

// SetRestoreWindow sets by which restore window orders and records are compared. While it is set, entries
// from the backup do not replace later ones, and an order equal to the present one counts as that order,
// written again. The zero value ends it.
func (t *Table) SetRestoreWindow(window structs.RestoreWindow) {
	t.restoreWindow = window
	if window != (structs.RestoreWindow{}) {
		t.latestRestore = window
	}
}

// mayBeOfBackup reports whether what the store has at the position may be from the backup of its latest restore.
func (t *Table) mayBeOfBackup(position structs.StorePosition) bool {
	return t.latestRestore.OrderingPosition(position) != position
}

// PutOrder applies an order, and reports whether the table changed. It ignores an order that is not later
// than the present one.
func (t *Table) PutOrder(now structs.Instant, order Order) bool {
	state := t.stateOf(order.Service)
	if !t.restoreWindow.IsBefore(state.order.Position, order.Position) {
		return false
	}
	if t.isRecreated(state.order, order) {
		state.rebase(order.Position)
		return true
	}
	state.order, state.formerOrderPosition, state.orderReceivedAt = order, 0, now
	return true
}

// isRecreated reports whether the order is the current one, written again after a restore lost it, or in the backup with
// its revision. It must not start another rollout.
func (t *Table) isRecreated(current, order Order) bool {
	isRestored := t.restoreWindow.Era > t.restoreWindow.Base || current.Position.Revision() == order.Position.Revision()
	return isRestored && current.Position > 0 && current.Position.Era() < order.Position.Era() &&
		current.Target == order.Target && current.Duration == order.Duration
}

// rebase sets the new position of a recreated order, also in its record.
func (s *serviceState) rebase(position structs.StorePosition) {
	if s.record.Position > 0 && s.record.OrderPosition == s.order.Position {
		s.record.OrderPosition, s.isRebased = position, true
	}
	s.order.Position, s.formerOrderPosition = position, s.order.Position
}

// FormerOrderPosition returns the position that the service's order had before the store was restored; zero if it had
// no other one.
func (t *Table) FormerOrderPosition(service string) structs.StorePosition {
	if state, found := t.services[service]; found {
		return state.formerOrderPosition
	}
	return 0
}

// PutRecord applies a record, and reports whether the table changed. It ignores a record that is not later
// than the present one, and one of a backup with less progress.
func (t *Table) PutRecord(now structs.Instant, record Record) bool {
	state := t.stateOf(record.Service)
	if !t.restoreWindow.IsBefore(state.record.Position, record.Position) {
		return false
	}
	if t.mayBeOfBackup(record.Position) && state.isSetBack(record, record.Position.Era()) {
		return false
	}
	state.setRecord(now, record)
	return true
}

// setRecord sets the record.
func (s *serviceState) setRecord(now structs.Instant, record Record) {
	s.record, s.recordReceivedAt, s.isRebased = record, now, false
	s.record.OrderPosition = s.orderPositionOf(record)
	s.isRebased = s.record.OrderPosition != record.OrderPosition
}

// orderPositionOf returns the position of the record's order. A record of a restored store may name the order by its
// position before the restore.
func (s *serviceState) orderPositionOf(record Record) structs.StorePosition {
	isOfOrder := record.OrderPosition.Revision() == s.order.Position.Revision() && record.Target == s.order.Target
	if record.Position > 0 && isOfOrder && record.OrderPosition.Era() < s.order.Position.Era() {
		return s.order.Position
	}
	return record.OrderPosition
}

// isSetBack reports whether the record, as the store has it in the era, is of an earlier state than the present one,
// since the store was restored.
func (s *serviceState) isSetBack(record Record, era int64) bool {
	record.OrderPosition = s.orderPositionOf(record)
	return s.record.Position > 0 && s.record.Position.Era() < era && record.IsOlderThan(s.record)
}

// NeedsRewrite reports whether the store, which is in the era, may have lost the service's record, has it from its
// backup, or holds it with an outdated order position. One of the backup is written again since other nodes, which may
// know a later one, go by it only then.
func (t *Table) NeedsRewrite(service string, era int64) bool {
	state, found := t.services[service]
	return found && state.record.Position > 0 && (state.isRebased || state.record.Position.Era() < era || t.mayBeOfBackup(state.record.Position))
}

// ServicesToRewrite returns the services, sorted, whose records need a rewrite.
func (t *Table) ServicesToRewrite(era int64) []string {
	var names []string
	for _, service := range t.Services() {
		if t.NeedsRewrite(service, era) {
			names = append(names, service)
		}
	}
	return names
}

// IsOlderThan reports whether the record is of an earlier state than the other: of an earlier order, or of
// an earlier phase, fewer requests or a shorter elapsed time of the same order. It ignores the records' own positions.
func (r *Record) IsOlderThan(other Record) bool {
	return cmp.Or(
		cmp.Compare(r.OrderPosition, other.OrderPosition), cmp.Compare(r.Phase, other.Phase), cmp.Compare(r.Requests, other.Requests),
		cmp.Compare(r.Exposed, other.Exposed), cmp.Compare(r.Elapsed, other.Elapsed),
	) < 0
}

// OverwriteRecord sets the record of its service to the one that a read of the store at the position returned, also if
// that is older than the present one. A record with zero Position removes it. If the store has been restored since the
// present record was written and returned an earlier state, or none, the present one is kept for ServicesToRewrite.
func (t *Table) OverwriteRecord(now structs.Instant, record Record, readAt structs.StorePosition) {
	if state := t.stateOf(record.Service); !state.isSetBack(record, readAt.Era()) {
		state.setRecord(now, record)
	}
}

// Order returns the latest order for the service, and whether there is one.
func (t *Table) Order(service string) (Order, bool) {
	if state, found := t.services[service]; found {
		return state.order, state.order.Position > 0
	}
	return Order{}, false
}

// Record returns the latest record of the service, and whether there is one.
func (t *Table) Record(service string) (Record, bool) {
	if state, found := t.services[service]; found {
		return state.record, state.record.Position > 0
	}
	return Record{}, false
}

// Elapsed returns a lower bound of the time since the service's order. A process that started after the
// order derives it from the record's Elapsed.
func (t *Table) Elapsed(now structs.Instant, service string) time.Duration {
	state := t.stateOf(service)
	elapsed := now - state.orderReceivedAt
	if state.record.Position > 0 && state.record.OrderPosition == state.order.Position {
		elapsed = max(elapsed, state.record.Elapsed+now-state.recordReceivedAt)
	}
	return elapsed
}

// Services returns the services with an order or a record, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name, state := range t.services {
		if state.order.Position > 0 || state.record.Position > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Since returns the orders and the records with a later position, each sorted by service.
func (t *Table) Since(position structs.StorePosition) ([]Order, []Record) {
	var orders []Order
	var records []Record
	for _, service := range t.Services() {
		state := t.services[service]
		if state.order.Position > position {
			orders = append(orders, state.order)
		}
		if state.record.Position > position {
			records = append(records, state.record)
		}
	}
	return orders, records
}

// LatestPosition returns the position of the latest order or record; zero if there is none. Unlike with
// CompleteTo, earlier ones may be missing.
func (t *Table) LatestPosition() structs.StorePosition {
	latest := structs.StorePosition(0)
	for _, state := range t.services {
		latest = max(latest, state.order.Position, state.record.Position)
	}
	return latest
}
