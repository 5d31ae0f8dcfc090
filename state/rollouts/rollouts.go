// Package rollouts is a node's view of the operators' roll-outs: which service moves to
// which version of its replicas, and how far that is. It is a passive table without I/O or
// clock: news comes from the platform's store and from peers.
//
// Guarantees: of two orders for a service the later one by the store's revision holds, and
// of two records of progress likewise, whatever older news arrives later. A replica of a
// version that nothing here explains yet is not used (Policy, VersionPolicy.AccessFor).
package rollouts

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Order is the operators' request to move a service to a version.
type Order struct {
	Service string `msgpack:"s" json:"service"`
	Target  string `msgpack:"t" json:"target_version"`
	// Duration is the time in which the service is to be moved.
	Duration time.Duration `msgpack:"d" json:"duration"`
	// Position is the store's revision of the order.
	Position structs.StorePosition `msgpack:"r" json:"revision"`
}

// Phase is how far a roll-out is.
type Phase uint8

// The phases of a roll-out, in their order.
const (
	// PhaseCanary: a bounded share of the requests goes to the target version.
	PhaseCanary Phase = iota + 1
	// PhaseSwitching: the target was found good and gets every new request; requests still
	// run at the other versions.
	PhaseSwitching
	// PhaseCompleted: nothing runs at the other versions, which stop.
	PhaseCompleted
	// PhaseRollingBack: the target was found bad or could not be judged and gets no new
	// request, which not every node may know yet.
	PhaseRollingBack
	// PhaseRolledBack: no node sends to the target any more.
	PhaseRolledBack
)

// String returns the name of the phase in logs and for operators.
func (p Phase) String() string {
	names := [...]string{"none", "judging", "switching", "completed", "returning", "rolled-back"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// IsTerminal returns whether nothing is left to do.
func (p Phase) IsTerminal() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// Evidence counts the answers on one route while the target was judged.
type Evidence struct {
	// Good and Bad are of the target's answers, BaselineGood and BaselineBad of the others'.
	Good         int `msgpack:"g" json:"good"`
	Bad          int `msgpack:"b" json:"bad"`
	BaselineGood int `msgpack:"h" json:"old_good"`
	BaselineBad  int `msgpack:"c" json:"old_bad"`
}

// Add returns the sum of both.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{Good: e.Good + other.Good, Bad: e.Bad + other.Bad, BaselineGood: e.BaselineGood + other.BaselineGood, BaselineBad: e.BaselineBad + other.BaselineBad}
}

// Record is the progress of a roll-out as it lies in the store. It is written only under
// the condition that nobody wrote it since it was read.
type Record struct {
	Service string `msgpack:"s" json:"service"`
	// OrderPosition is the revision of the order.
	OrderPosition structs.StorePosition `msgpack:"o" json:"order"`
	Target        string                `msgpack:"t" json:"target"`
	// Stable is the version that the service goes back to, and Excluded are versions that
	// were rolled back or whose roll-out was replaced before its end.
	Stable   string   `msgpack:"v" json:"stable"`
	Excluded []string `msgpack:"x" json:"barred,omitempty"`
	Phase    Phase    `msgpack:"p" json:"phase"`
	// Reason says why the roll-out went the way it did.
	Reason string `msgpack:"y" json:"reason,omitempty"`
	// Requests counts those that reached the service since the order, as far as they were
	// reported, and Exposed those that may have been sent to the target: it rises before
	// they are sent.
	Requests int `msgpack:"n" json:"requests"`
	Exposed  int `msgpack:"e" json:"exposed"`
	// Elapsed is the time from the order to the write, at least.
	Elapsed time.Duration `msgpack:"l" json:"elapsed"`
	// EvidenceByRoute has the evidence by the name of the route.
	EvidenceByRoute map[string]Evidence `msgpack:"u" json:"routes,omitempty"`
	// Position is the store's revision of the record; zero means that there is none.
	Position structs.StorePosition `msgpack:"r" json:"-"`
}

// known is what is known of one service: its latest order and record, and when this process
// heard of each.
type known struct {
	order             Order
	record            Record
	orderAt, recordAt structs.Instant
	// isRenamed is true if the record names the order by a place that the store doesn't have yet.
	isRenamed bool
}

// Table is the set of known roll-outs, by service.
type Table struct {
	services map[string]*known
	// knownTo is the revision up to which all orders and records are known.
	knownTo structs.StorePosition
	// restored is set while the store has just come back from a copy.
	restored structs.RestoreWindow
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{services: map[string]*known{}} }

// of returns what is known of the service, which may be nothing yet.
func (t *Table) of(service string) *known {
	held, found := t.services[service]
	if !found {
		held = &known{}
		t.services[service] = held
	}
	return held
}

// CompleteTo returns the revision up to which all orders and records are known.
func (t *Table) CompleteTo() structs.StorePosition { return t.knownTo }

// SetCompleteTo records that all changes up to the revision were applied.
func (t *Table) SetCompleteTo(revision structs.StorePosition) { t.knownTo = max(t.knownTo, revision) }

// SetRestoreWindow tells that the store came back from a copy: what it lists takes back no order or
// record that came later, and an order like the known one is that one, written again. It ends with
// the zero value.
func (t *Table) SetRestoreWindow(restored structs.RestoreWindow) { t.restored = restored }

// PutOrder applies news of an order and returns whether it was news.
func (t *Table) PutOrder(now structs.Instant, order Order) bool {
	held := t.of(order.Service)
	if !t.restored.IsBefore(held.order.Position, order.Position) {
		return false
	}
	if t.isWrittenAgain(held.order, order) {
		held.rename(order.Position)
		return true
	}
	held.order, held.orderAt = order, now
	return true
}

// isWrittenAgain returns whether the order is the known one, which its writer wrote again as the
// store had lost it. Taken for another, it would be judged a second time.
func (t *Table) isWrittenAgain(known, order Order) bool {
	return t.restored.Era > t.restored.Base && known.Position > 0 && known.Position.Era() < order.Position.Era() &&
		known.Target == order.Target && known.Duration == order.Duration
}

// rename gives the order its new place, and its record with it.
func (k *known) rename(place structs.StorePosition) {
	if k.record.Position > 0 && k.record.OrderPosition == k.order.Position {
		k.record.OrderPosition, k.isRenamed = place, true
	}
	k.order.Position = place
}

// PutRecord applies news of a record and returns whether it was news.
func (t *Table) PutRecord(now structs.Instant, record Record) bool {
	held := t.of(record.Service)
	if !t.restored.IsBefore(held.record.Position, record.Position) {
		return false
	}
	held.record, held.recordAt, held.isRenamed = record, now, false
	return true
}

// ServicesToRewrite returns the services whose records the store of that era may lack, by name.
func (t *Table) ServicesToRewrite(era int64) []string {
	var names []string
	for _, service := range t.Services() {
		held := t.services[service]
		if held.record.Position > 0 && (held.isRenamed || held.record.Position.Era() < era) {
			names = append(names, service)
		}
	}
	return names
}

// IsOlderThan returns whether the record tells of an earlier state than the other: of an earlier
// order, or of the same one after a shorter time.
func (r *Record) IsOlderThan(other Record) bool {
	if r.OrderPosition != other.OrderPosition {
		return r.OrderPosition < other.OrderPosition
	}
	return r.Phase < other.Phase || r.Phase == other.Phase && r.Elapsed < other.Elapsed
}

// OverwriteRecord takes over what the store itself just said of the record, also if that is
// older than what was known, or nothing.
func (t *Table) OverwriteRecord(now structs.Instant, record Record) {
	held := t.of(record.Service)
	held.record, held.recordAt, held.isRenamed = record, now, false
}

// Order returns the latest order for the service.
func (t *Table) Order(service string) (Order, bool) {
	if held, found := t.services[service]; found {
		return held.order, held.order.Position > 0
	}
	return Order{}, false
}

// Record returns the latest record of the service.
func (t *Table) Record(service string) (Record, bool) {
	if held, found := t.services[service]; found {
		return held.record, held.record.Position > 0
	}
	return Record{}, false
}

// Elapsed returns the time since the service's order, at least: a process that started
// later goes by the record, which names the time until it was written.
func (t *Table) Elapsed(now structs.Instant, service string) time.Duration {
	held := t.of(service)
	elapsed := now - held.orderAt
	if held.record.Position > 0 && held.record.OrderPosition == held.order.Position {
		elapsed = max(elapsed, held.record.Elapsed+now-held.recordAt)
	}
	return elapsed
}

// Services returns the services with an order or a record, sorted.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name, held := range t.services {
		if held.order.Position > 0 || held.record.Position > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Since returns the orders and records that changed after the revision, by service.
func (t *Table) Since(revision structs.StorePosition) ([]Order, []Record) {
	var orders []Order
	var records []Record
	for _, service := range t.Services() {
		held := t.services[service]
		if held.order.Position > revision {
			orders = append(orders, held.order)
		}
		if held.record.Position > revision {
			records = append(records, held.record)
		}
	}
	return orders, records
}

// LatestPosition returns the revision of the latest order or record.
func (t *Table) LatestPosition() structs.StorePosition {
	latest := structs.StorePosition(0)
	for _, held := range t.services {
		latest = max(latest, held.order.Position, held.record.Position)
	}
	return latest
}
