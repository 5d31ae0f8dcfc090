// Package replicas is a node's view of the replicas that may serve requests.
// It is a passive table without I/O or clock: news comes from the platform's
// store and from peers, times are passed in.
//
// Guarantees: a replica that announced its drain, or whose entry disappeared
// while the store was well, is not offered again in that life, whatever older news
// arrives later. One that starts again under its id is another life: nothing of the one
// before holds for it.
package replicas

import (
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Replica is one life of a server of a service.
type Replica struct {
	// ID names the server; one that starts again has another id or another StartedAt.
	ID      string `msgpack:"i" json:"id"`
	Service string `msgpack:"s" json:"service"`
	// Address is IP and port; it may pass to another service later.
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	// Version is that of its software.
	Version string `msgpack:"v" json:"version,omitempty"`
	// Slots is the number of requests that it works on at once.
	Slots int `msgpack:"n" json:"slots"`
	// Draining closes the replica to new work.
	Draining bool `msgpack:"d" json:"draining"`
	// Position is the place of the entry in the store's history.
	Position structs.StorePosition `msgpack:"r" json:"revision"`
	// StartedAt is when it started, in Unix milliseconds by its own clock; zero if it tells none.
	// One that starts again may take the id that it had.
	StartedAt int64 `msgpack:"b,omitempty" json:"born,omitempty"`
	// Warmup is for how much longer the replica stayed cold when it wrote the entry.
	Warmup time.Duration `msgpack:"w,omitempty" json:"warmup,omitempty"`
}

// IsSameIncarnation returns whether both are of one start of the server. Starts are told apart and
// not put in order: the server's clock may have been set back between them.
func (r *Replica) IsSameIncarnation(other Replica) bool {
	return r.ID == other.ID && r.StartedAt == other.StartedAt
}

// removed remembers a replica that must not come back.
type removed struct {
	revision structs.StorePosition
	at       structs.Instant
}

const (
	// forgetAfter is how long a removal is remembered.
	forgetAfter = 120 * time.Second
	// toldFor is how long a removal is told to every node that asks for news; later only to
	// those that know of nothing as new. The revision of a removal that follows
	// from the store's trouble may lie below what an asking node has already; two looks of
	// the nodes that follow the store are at most 1 s apart, and an asking node's pulls at
	// most 1.6 s.
	toldFor = 15 * time.Second
)

// Table is the set of known replicas.
type Table struct {
	// doubted holds replicas whose entries vanished while the store was unwell.
	doubted map[string]bool
	byID    map[string]Replica
	removed map[string]removed
	// revision is the store's revision up to which the table is complete.
	revision structs.StorePosition
	latest   structs.StorePosition
	version  uint64
	// restored is set while the store has just come back from a copy.
	restored structs.RestoreWindow
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{doubted: map[string]bool{}, byID: map[string]Replica{}, removed: map[string]removed{}}
}

// CompleteTo returns the store's revision up to which the table is complete.
func (t *Table) CompleteTo() structs.StorePosition { return t.revision }

// ChangeCount rises with each change that matters to placement.
func (t *Table) ChangeCount() uint64 { return t.version }

// SetCompleteTo records that all changes up to the revision were applied.
func (t *Table) SetCompleteTo(revision structs.StorePosition) { t.revision = max(t.revision, revision) }

// SetRestoreWindow tells that the store came back from a copy: what it lists brings no replica back
// that left since the copy was made. It ends with the zero value, when the entry of a replica that
// left has run out: what is listed then lives.
func (t *Table) SetRestoreWindow(restored structs.RestoreWindow) { t.restored = restored }

// Put applies news of one replica and returns whether it changed anything.
func (t *Table) Put(replica Replica) bool {
	if gone, found := t.removed[replica.ID]; found && !t.restored.IsBefore(gone.revision, replica.Position) {
		return false
	}
	known, found := t.byID[replica.ID]
	if found && !t.restored.IsBefore(known.Position, replica.Position) {
		return false
	}
	if found && known.Draining && known.IsSameIncarnation(replica) {
		replica.Draining = true
	}
	t.byID[replica.ID] = replica
	delete(t.doubted, replica.ID)
	t.latest = max(t.latest, replica.Position)
	t.version++
	return true
}

// Remove applies news that the replica's entry is gone.
func (t *Table) Remove(now structs.Instant, id string, revision structs.StorePosition) bool {
	known, found := t.byID[id]
	if found && t.restored.IsBefore(revision, known.Position) {
		return false
	}
	t.removed[id] = removed{revision: revision, at: now}
	delete(t.byID, id)
	delete(t.doubted, id)
	t.latest = max(t.latest, revision)
	if found {
		t.version++
	}
	return found
}

// MarkUnconfirmed records that the replica's entry vanished while the store was unwell,
// which need not mean that the replica is gone: it stays until its entry comes back
// or RemoveUnconfirmed is called.
func (t *Table) MarkUnconfirmed(id string) {
	if known, found := t.byID[id]; found && !known.Draining {
		t.doubted[id] = true
	}
}

// RemoveUnconfirmed removes the replicas whose entries did not come back, and returns
// their ids.
func (t *Table) RemoveUnconfirmed(now structs.Instant) []string {
	gone := make([]string, 0, len(t.doubted))
	for id := range t.doubted {
		gone = append(gone, id)
	}
	sort.Strings(gone)
	for _, id := range gone {
		t.Remove(now, id, t.RemovalPosition(id, t.revision))
	}
	return gone
}

// RemovalPosition returns the place at which a replica is gone that a complete list as of the revision
// does not hold: of a store that came back from a copy the revision may come before the entry.
func (t *Table) RemovalPosition(id string, revision structs.StorePosition) structs.StorePosition {
	if known := t.byID[id].Position; t.restored.IsBefore(revision, known) {
		return known
	}
	return revision
}

// Missing returns the known replicas that a complete list as of the revision
// does not hold.
func (t *Table) Missing(list []Replica, revision structs.StorePosition) []string {
	listed := make(map[string]bool, len(list))
	for _, replica := range list {
		listed[replica.ID] = true
	}
	var gone []string
	for id, known := range t.byID {
		if !listed[id] && known.Position <= revision {
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return gone
}

// LatestPosition returns the revision of the latest change that was applied.
func (t *Table) LatestPosition() structs.StorePosition { return t.latest }

// RemovedSince returns, with their revisions, the removals after the revision and those of
// the last moments, which may have come late.
func (t *Table) RemovedSince(now structs.Instant, revision structs.StorePosition) map[string]structs.StorePosition {
	gone := map[string]structs.StorePosition{}
	for id, mark := range t.removed {
		if mark.revision > revision || now-mark.at < toldFor {
			gone[id] = mark.revision
		}
	}
	return gone
}

// Forget drops removals that are too old to matter.
func (t *Table) Forget(now structs.Instant) {
	for id, gone := range t.removed {
		if now-gone.at > forgetAfter {
			delete(t.removed, id)
		}
	}
}

// Get returns the replica with the id.
func (t *Table) Get(id string) (Replica, bool) {
	replica, found := t.byID[id]
	return replica, found
}

// Since returns the known replicas whose entries changed after the revision, by id.
func (t *Table) Since(revision structs.StorePosition) []Replica {
	var changed []Replica
	for _, replica := range t.All() {
		if replica.Position > revision {
			changed = append(changed, replica)
		}
	}
	return changed
}

// Count returns how many replicas are known.
func (t *Table) Count() int { return len(t.byID) }

// All returns every known replica by id.
func (t *Table) All() []Replica {
	all := make([]Replica, 0, len(t.byID))
	for _, replica := range t.byID {
		all = append(all, replica)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
