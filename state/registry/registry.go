// Package registry is the table of keyed requests that a node keeps as owner
// or backup for its zone. It is soft state: it survives the loss of either of
// the two, not of both at once. It does no I/O and reads no clock.
package registry

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// Key identifies a keyed request: a key reused by two tenants is two requests.
type Key struct {
	Tenant string `msgpack:"t"`
	Key    string `msgpack:"k"`
}

// Progress is how far a keyed request has come.
type Progress uint8

const (
	// Registered means that nothing was sent to a back end.
	Registered Progress = iota + 1
	// Dispatched means that a byte may have been sent.
	Dispatched
	// Ended means that the dispatcher told its caller the outcome.
	Ended
)

// Entry is one keyed request.
type Entry struct {
	Key Key `msgpack:"k"`
	// BodyHash tells a resubmission from a different request under the key.
	BodyHash  uint64 `msgpack:"h"`
	RequestID string `msgpack:"r"`
	// Node and Process name the process that dispatches the request.
	Node    string `msgpack:"n"`
	Process uint64 `msgpack:"p"`
	// Address is where that process serves callers.
	Address  string          `msgpack:"a"`
	Progress Progress        `msgpack:"s"`
	Outcome  structs.Outcome `msgpack:"o"`
	// Receipt is set from Dispatched on.
	Receipt string `msgpack:"c"`
}

// Table holds entries for a time after their last change. It is bounded:
// entries of requests that have not ended are never dropped for new ones.
type Table struct {
	entries map[Key]*kept
	// ended lists keys in the order in which they ended; some may have been
	// taken by new requests or dropped since.
	ended     []Key
	limit     int
	retention time.Duration
	sweptAt   structs.Instant
}

// kept is an entry with the time of its last change.
type kept struct {
	Entry
	at structs.Instant
}

// NewTable returns an empty table.
func NewTable(limit int, retention time.Duration) *Table {
	return &Table{entries: map[Key]*kept{}, limit: limit, retention: retention}
}

// SetLimits takes changed settings into force.
func (t *Table) SetLimits(limit int, retention time.Duration) {
	t.limit, t.retention = limit, retention
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Register enters the request unless its key is taken; it returns the entry in
// force and whether it is the caller's. Errors: kind KeyReused if the key is
// taken by a request with another body; Limited if the table is full.
func (t *Table) Register(now structs.Instant, entry Entry) (Entry, bool, error) {
	t.sweep(now)
	existing, found := t.entries[entry.Key]
	if found && existing.RequestID == entry.RequestID {
		if entry.Progress >= existing.Progress {
			t.entries[entry.Key] = &kept{Entry: entry, at: now}
		}
		return t.entries[entry.Key].Entry, true, nil
	}
	if found && existing.BodyHash != entry.BodyHash {
		return Entry{}, false, errkind.New(errkind.KeyReused, "the key belongs to a request with another body")
	}
	// A request that ended as not run frees its key: it did not run.
	if found && !(existing.Progress == Ended && existing.Outcome == structs.OutcomeNotRun) {
		return existing.Entry, false, nil
	}
	if !found && len(t.entries) >= t.limit && !t.dropEnded() {
		return Entry{}, false, errkind.New(errkind.Limited, "%d keyed requests are open in the registry", len(t.entries))
	}
	t.entries[entry.Key] = &kept{Entry: entry, at: now}
	return entry, true, nil
}

// Update records the progress of the request. It returns false if the key now
// belongs to another request, in which case this one must not be dispatched.
func (t *Table) Update(now structs.Instant, entry Entry) bool {
	existing, found := t.entries[entry.Key]
	if found && existing.RequestID != entry.RequestID {
		return false
	}
	if !found || entry.Progress >= existing.Progress {
		t.entries[entry.Key] = &kept{Entry: entry, at: now}
		if entry.Progress == Ended {
			t.ended = append(t.ended, entry.Key)
		}
	}
	return true
}

// TakeOver gives the key to a new request if the one that has it was only
// registered. The caller has established that its process is gone; if that is
// wrong, the old process learns it from Update before it dispatches.
func (t *Table) TakeOver(now structs.Instant, old string, entry Entry) bool {
	existing, found := t.entries[entry.Key]
	if found && (existing.RequestID != old || existing.Progress != Registered) {
		return false
	}
	t.entries[entry.Key] = &kept{Entry: entry, at: now}
	return true
}

// Lookup returns the entry of the key.
func (t *Table) Lookup(key Key) (Entry, bool) {
	existing, found := t.entries[key]
	if !found {
		return Entry{}, false
	}
	return existing.Entry, true
}

const sweepInterval = time.Second

// openRetentionFactor bounds how long an entry that never ended is kept, as a
// multiple of the retention: its dispatcher died without a successor.
const openRetentionFactor = 10

func (t *Table) sweep(now structs.Instant) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	t.ended = slices.DeleteFunc(t.ended, func(key Key) bool {
		entry, found := t.entries[key]
		return !found || entry.Progress != Ended
	})
	for key, entry := range t.entries {
		age := now - entry.at
		if (entry.Progress == Ended && age > t.retention) || age > openRetentionFactor*t.retention {
			delete(t.entries, key)
		}
	}
}

// dropEnded makes room by dropping the entry that ended first.
func (t *Table) dropEnded() bool {
	for len(t.ended) > 0 {
		key := t.ended[0]
		t.ended = t.ended[1:]
		if entry, found := t.entries[key]; found && entry.Progress == Ended {
			delete(t.entries, key)
			return true
		}
	}
	return false
}
