// Package registry is the table of keyed requests that a node keeps as owner or
// backup for its zone. It is soft state: the loss of one of the two nodes is
// tolerated, the loss of both is not. It does no I/O and reads no clock.
package registry

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// Key identifies a keyed request. Keys of different tenants are independent.
type Key struct {
	Tenant string `msgpack:"t"`
	Key    string `msgpack:"k"`
}

// Progress is the stage that a keyed request has reached.
type Progress uint8

const (
	// Registered means that nothing was sent to a replica.
	Registered Progress = iota + 1
	// Dispatched means that the request may have been sent, in full or in part.
	Dispatched
	// Ended means that the outcome is known.
	Ended
)

// Entry is the record of one keyed request.
type Entry struct {
	Key Key `msgpack:"k"`
	// BodyHash distinguishes a resubmission from a different request with the key.
	BodyHash  uint64 `msgpack:"h"`
	RequestID string `msgpack:"r"`
	// Node and Process identify the process that dispatches the request.
	Node    string `msgpack:"n"`
	Process uint64 `msgpack:"p"`
	// Address is the address at which that process serves callers.
	Address  string          `msgpack:"a"`
	Progress Progress        `msgpack:"s"`
	Outcome  structs.Outcome `msgpack:"o"`
	// Receipt is empty before Dispatched.
	Receipt string `msgpack:"c"`
}

// Table is a bounded set of entries that expire some time after their last change.
// Entries of requests that have not ended are not evicted for new ones. It is not
// safe for concurrent use.
type Table struct {
	entries map[Key]*timedEntry
	// endedKeys lists keys in the order in which their requests ended. Their entries
	// may have been replaced or removed since.
	endedKeys  []Key
	maxEntries int
	retention  time.Duration
	lastSweep  structs.Instant
}

// timedEntry is an entry with the time of its last change.
type timedEntry struct {
	Entry
	changedAt structs.Instant
}

// NewTable returns an empty table. The retention is the time after which entries of
// ended requests expire.
func NewTable(maxEntries int, retention time.Duration) *Table {
	return &Table{entries: map[Key]*timedEntry{}, maxEntries: maxEntries, retention: retention}
}

// SetLimits changes the limits. Existing entries over maxEntries stay.
func (t *Table) SetLimits(maxEntries int, retention time.Duration) {
	t.maxEntries, t.retention = maxEntries, retention
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Register adds the entry unless another request has its key. It returns the current
// entry of the key and whether that belongs to the caller's request. Errors are of
// kind KeyReused if the key's request has another body, and Limited if the table is
// full.
func (t *Table) Register(now structs.Instant, entry Entry) (Entry, bool, error) {
	t.sweep(now)
	existing, found := t.entries[entry.Key]
	if found && existing.RequestID == entry.RequestID {
		if entry.Progress >= existing.Progress {
			t.entries[entry.Key] = &timedEntry{Entry: entry, changedAt: now}
		}
		return t.entries[entry.Key].Entry, true, nil
	}
	if found && existing.BodyHash != entry.BodyHash {
		return Entry{}, false, errkind.New(errkind.KeyReused, "the key is already used by a request with a different body")
	}
	// A request that did not run frees its key.
	if found && !(existing.Progress == Ended && existing.Outcome == structs.OutcomeNotRun) {
		return existing.Entry, false, nil
	}
	if !found && len(t.entries) >= t.maxEntries && !t.evictEnded() {
		return Entry{}, false, errkind.New(errkind.Limited, "the registry is full: %d entries, none of them evictable", len(t.entries))
	}
	t.entries[entry.Key] = &timedEntry{Entry: entry, changedAt: now}
	return entry, true, nil
}

// Update records the progress of the request, which never decreases, and adds a
// missing entry. It returns false if the key belongs to another request; then this
// one must not be dispatched.
func (t *Table) Update(now structs.Instant, entry Entry) bool {
	existing, found := t.entries[entry.Key]
	if found && existing.RequestID != entry.RequestID {
		return false
	}
	if !found || entry.Progress >= existing.Progress {
		t.entries[entry.Key] = &timedEntry{Entry: entry, changedAt: now}
		if entry.Progress == Ended {
			t.endedKeys = append(t.endedKeys, entry.Key)
		}
	}
	return true
}

// TakeOver assigns the key to a new request and returns true, unless the key belongs
// to a request other than oldRequestID or that one was dispatched. The caller must
// have found the old process dead; if it is alive, Update keeps it from dispatching.
func (t *Table) TakeOver(now structs.Instant, oldRequestID string, entry Entry) bool {
	existing, found := t.entries[entry.Key]
	if found && (existing.RequestID != oldRequestID || existing.Progress != Registered) {
		return false
	}
	t.entries[entry.Key] = &timedEntry{Entry: entry, changedAt: now}
	return true
}

// Lookup returns the entry of the key and whether there is one.
func (t *Table) Lookup(key Key) (Entry, bool) {
	existing, found := t.entries[key]
	if !found {
		return Entry{}, false
	}
	return existing.Entry, true
}

const sweepInterval = time.Second

// unfinishedRetentionFactor times the retention is the expiry time of entries whose
// request has not ended, because its dispatcher died without a successor.
const unfinishedRetentionFactor = 10

// sweep removes expired entries, at most once per sweepInterval.
func (t *Table) sweep(now structs.Instant) {
	if now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = now
	t.endedKeys = slices.DeleteFunc(t.endedKeys, func(key Key) bool {
		entry, found := t.entries[key]
		return !found || entry.Progress != Ended
	})
	for key, entry := range t.entries {
		age := now - entry.changedAt
		if (entry.Progress == Ended && age > t.retention) || age > unfinishedRetentionFactor*t.retention {
			delete(t.entries, key)
		}
	}
}

// evictEnded evicts the entry whose request ended first and reports whether there was
// one.
func (t *Table) evictEnded() bool {
	for len(t.endedKeys) > 0 {
		key := t.endedKeys[0]
		t.endedKeys = t.endedKeys[1:]
		if entry, found := t.entries[key]; found && entry.Progress == Ended {
			delete(t.entries, key)
			return true
		}
	}
	return false
}
