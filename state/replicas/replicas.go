// Package replicas is a node's table of the replicas that may serve requests, with tombstones of those
// that were removed. It has no I/O and no clock; callers apply updates from the platform's store and
// from peers, and pass in the time. The health of replicas is not part of it.
//
// Guarantee: updates may arrive in any order. A draining replica stays draining for its incarnation, and
// a removed one does not come back by an older update while its tombstone is kept.
package replicas

import (
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Replica is one incarnation of a server of a service, as its store entry describes it. Package entry
// uses it; structs.Replica is the back end of package node.
type Replica struct {
	// ID identifies the server. A server that starts again has another ID or another StartedAt.
	ID      string `msgpack:"i" json:"id"`
	Service string `msgpack:"s" json:"service"`
	// Address is IP and port. A replica of another service may have it later.
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	// Version is the version of the server's software; empty if unknown.
	Version string `msgpack:"v" json:"version,omitempty"`
	// Slots is the number of requests that the replica runs concurrently.
	Slots int `msgpack:"n" json:"slots"`
	// Draining is true if the replica gets no new requests.
	Draining bool `msgpack:"d" json:"draining"`
	// Position is the store position of the entry.
	Position structs.StorePosition `msgpack:"r" json:"revision"`
	// StartedAt is the start of the incarnation in Unix milliseconds by the server's own clock; zero if
	// it reports none.
	StartedAt int64 `msgpack:"b,omitempty" json:"born,omitempty"`
	// Warmup is the time for which the replica stays cold after it wrote the entry.
	Warmup time.Duration `msgpack:"w,omitempty" json:"warmup,omitempty"`
}

// IsSameIncarnation reports whether both are the same incarnation of the server. Without a start, the version tells
// incarnations apart. Incarnations are not ordered: the server's clock may be set back between two starts.
func (r *Replica) IsSameIncarnation(other Replica) bool {
	return r.ID == other.ID && r.StartedAt == other.StartedAt && (r.StartedAt != 0 || r.Version == other.Version)
}

// tombstone records the removal of a replica, so that older updates do not add it again.
type tombstone struct {
	position  structs.StorePosition
	removedAt structs.Instant
}

const (
	// tombstoneRetention is how long a tombstone is kept.
	tombstoneRetention = 120 * time.Second
	// tombstoneReportPeriod is how long every pulling node gets a tombstone, also one whose latest
	// position is past it: a removal after a store outage may have a lower position. It must be longer
	// than the interval of store reads and pulls.
	tombstoneReportPeriod = 15 * time.Second
)

// Table holds the known replicas by ID. It is not safe for concurrent use.
type Table struct {
	// unconfirmed holds the IDs of replicas whose entries vanished while the store was unhealthy.
	unconfirmed map[string]bool
	byID        map[string]Replica
	tombstones  map[string]tombstone
	// completeTo is the position up to which all changes were applied. latest is that of the latest
	// change that was applied; earlier ones may be missing.
	completeTo structs.StorePosition
	latest     structs.StorePosition
	// changeCount counts the changes in this process; it is not a store position.
	changeCount uint64
	// restoreWindow is the zero value unless the store was restored recently.
	restoreWindow structs.RestoreWindow
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{unconfirmed: map[string]bool{}, byID: map[string]Replica{}, tombstones: map[string]tombstone{}}
}

// CompleteTo returns the store position up to which all changes were applied.
func (t *Table) CompleteTo() structs.StorePosition { return t.completeTo }

// ChangeCount returns a count that rises with each change of the known replicas. It is meaningful only
// within this process.
func (t *Table) ChangeCount() uint64 { return t.changeCount }

// SetCompleteTo records that all changes up to the position were applied. A lower position than the
// present one has no effect.
func (t *Table) SetCompleteTo(position structs.StorePosition) {
	t.completeTo = max(t.completeTo, position)
}

// SetRestoreWindow sets by which restore window entries are compared. While it is set, entries from the
// backup do not add replicas again that were removed after the backup. The zero value ends it; it must
// be set only when the entries of removed replicas have expired.
func (t *Table) SetRestoreWindow(window structs.RestoreWindow) { t.restoreWindow = window }

// Put applies an entry, and reports whether the table changed. It ignores an entry that is not later
// than the replica's present one or its tombstone.
func (t *Table) Put(replica Replica) bool {
	if removal, found := t.tombstones[replica.ID]; found && !t.restoreWindow.IsBefore(removal.position, replica.Position) {
		return false
	}
	current, found := t.byID[replica.ID]
	if found && !t.restoreWindow.IsBefore(current.Position, replica.Position) {
		return false
	}
	if found && current.Draining && current.IsSameIncarnation(replica) {
		replica.Draining = true
	}
	t.byID[replica.ID] = replica
	delete(t.unconfirmed, replica.ID)
	t.latest = max(t.latest, replica.Position)
	t.changeCount++
	return true
}

// Remove applies the removal of a replica's entry at the position, and reports whether the replica was
// known. It ignores a removal that is earlier than the replica's present entry or its tombstone.
func (t *Table) Remove(now structs.Instant, id string, position structs.StorePosition) bool {
	current, found := t.byID[id]
	if found && t.restoreWindow.IsBefore(position, current.Position) {
		return false
	}
	if removal, isRemoved := t.tombstones[id]; isRemoved && t.restoreWindow.IsBefore(position, removal.position) {
		return false
	}
	t.tombstones[id] = tombstone{position: position, removedAt: now}
	delete(t.byID, id)
	delete(t.unconfirmed, id)
	t.latest = max(t.latest, position)
	if found {
		t.changeCount++
	}
	return found
}

// MarkUnconfirmed records that the replica's entry vanished while the store was unhealthy. The replica
// stays in the table until its entry is written again or RemoveUnconfirmed is called. Draining and
// unknown replicas are ignored.
func (t *Table) MarkUnconfirmed(id string) {
	if current, found := t.byID[id]; found && !current.Draining {
		t.unconfirmed[id] = true
	}
}

// IsUnconfirmed reports whether the replica's entry vanished while the store was unhealthy.
func (t *Table) IsUnconfirmed(id string) bool { return t.unconfirmed[id] }

// RemoveUnconfirmed removes the unconfirmed replicas and returns their IDs, sorted.
func (t *Table) RemoveUnconfirmed(now structs.Instant) []string {
	ids := make([]string, 0, len(t.unconfirmed))
	for id := range t.unconfirmed {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		t.Remove(now, id, t.RemovalPosition(id, t.completeTo))
	}
	return ids
}

// RemovalPosition returns the position at which to remove a replica that is missing from a complete
// list as of the given position. After a restore, that position may be before the replica's entry; then
// it returns the entry's.
func (t *Table) RemovalPosition(id string, position structs.StorePosition) structs.StorePosition {
	if current := t.byID[id].Position; t.restoreWindow.IsBefore(position, current) {
		return current
	}
	return position
}

// Missing returns the IDs of the known replicas, sorted, that are missing from a complete list as of the
// position. Replicas with a later entry are not missing.
func (t *Table) Missing(list []Replica, position structs.StorePosition) []string {
	listed := make(map[string]bool, len(list))
	for _, replica := range list {
		listed[replica.ID] = true
	}
	var missing []string
	for id, replica := range t.byID {
		if !listed[id] && replica.Position <= position {
			missing = append(missing, id)
		}
	}
	sort.Strings(missing)
	return missing
}

// LatestPosition returns the position of the latest change that was applied. Unlike with CompleteTo,
// earlier changes may be missing.
func (t *Table) LatestPosition() structs.StorePosition { return t.latest }

// RemovalsSince returns the positions of removals by replica ID: those after the given position, and
// those applied within tombstoneReportPeriod, which may have a lower one.
func (t *Table) RemovalsSince(now structs.Instant, position structs.StorePosition) map[string]structs.StorePosition {
	removed := map[string]structs.StorePosition{}
	for id, removal := range t.tombstones {
		if removal.position > position || now-removal.removedAt < tombstoneReportPeriod {
			removed[id] = removal.position
		}
	}
	return removed
}

// SweepTombstones drops tombstones older than tombstoneRetention.
func (t *Table) SweepTombstones(now structs.Instant) {
	for id, removal := range t.tombstones {
		if now-removal.removedAt > tombstoneRetention {
			delete(t.tombstones, id)
		}
	}
}

// Get returns the replica with the ID, and whether it is known.
func (t *Table) Get(id string) (Replica, bool) {
	replica, found := t.byID[id]
	return replica, found
}

// Since returns the replicas whose entries are later than the position, sorted by ID.
func (t *Table) Since(position structs.StorePosition) []Replica {
	var changed []Replica
	for _, replica := range t.All() {
		if replica.Position > position {
			changed = append(changed, replica)
		}
	}
	return changed
}

// Count returns the number of known replicas.
func (t *Table) Count() int { return len(t.byID) }

// All returns all known replicas, unconfirmed and draining ones included, sorted by ID.
func (t *Table) All() []Replica {
	all := make([]Replica, 0, len(t.byID))
	for _, replica := range t.byID {
		all = append(all, replica)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
