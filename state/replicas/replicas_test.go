package replicas

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against older updates that add a removed replica again or end a drain.
func TestOlderUpdatesRevertNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.Put(Replica{ID: "a", Position: 5})).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Position: 7, Draining: true})).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Position: 6})).To(gomega.BeFalse())
	table.Put(Replica{ID: "a", Position: 9})
	current, _ := table.Get("a")
	g.Expect(current.Draining).To(gomega.BeTrue())
	g.Expect(table.Remove(0, "a", 10)).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Position: 8})).To(gomega.BeFalse())
	g.Expect(table.All()).To(gomega.BeEmpty())
}

// Guards against the removal of a replica whose entry was written after the list was read.
func TestMissingIgnoresReplicasNewerThanTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "old", Position: 1})
	table.Put(Replica{ID: "newer", Position: 9})
	g.Expect(table.Missing([]Replica{}, 5)).To(gomega.Equal([]string{"old"}))
}

// Guards against the loss of replicas whose entries vanish only because the store is unhealthy.
func TestUnconfirmedReplicaStaysUntilRemovedOrWrittenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Position: 1})
	table.Put(Replica{ID: "b", Position: 1})
	table.Put(Replica{ID: "leaving", Position: 1, Draining: true})
	for _, id := range []string{"a", "b", "leaving", "unknown"} {
		table.MarkUnconfirmed(id)
	}
	table.Put(Replica{ID: "b", Position: 4})
	g.Expect(table.All()).To(gomega.HaveLen(3))
	g.Expect(table.RemoveUnconfirmed(5 * time.Second)).To(gomega.Equal([]string{"a"}))
	g.Expect(table.RemoveUnconfirmed(6 * time.Second)).To(gomega.BeEmpty())
	g.Expect(table.All()).To(gomega.HaveLen(2))
}

// Guards against a drain that is reverted in its incarnation, and against one that also applies to the
// next incarnation under the same ID.
func TestDrainAppliesToOneIncarnation(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	first := Replica{ID: "a", Service: "s", Position: 1, StartedAt: 1000}
	table.Put(first)
	first.Draining, first.Position = true, 2
	table.Put(first)
	first.Draining, first.Position = false, 3
	table.Put(first)
	current, _ := table.Get("a")
	g.Expect(current.Draining).To(gomega.BeTrue(), "the drain was reverted in the same incarnation")
	table.Put(Replica{ID: "a", Service: "s", Position: 4, StartedAt: 900}) // the server's clock was set back
	current, _ = table.Get("a")
	g.Expect(current.Draining).To(gomega.BeFalse())
	g.Expect(current.IsSameIncarnation(first)).To(gomega.BeFalse())
}

// positionOf returns the store position of the revision in the era.
func positionOf(era, revision int64) structs.StorePosition {
	position, err := structs.NewStorePosition(era, revision)
	if err != nil {
		panic(err)
	}
	return position
}

// Guards against a backup that adds replicas again that were removed after it was made. A replica that is
// still listed after the restore window is running.
func TestRestoredStoreAddsNoRemovedReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Position: positionOf(1, 5)})
	table.Remove(0, "a", positionOf(1, 90))
	table.SetRestoreWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20})
	g.Expect(table.Put(Replica{ID: "a", Position: positionOf(2, 5)})).To(gomega.BeFalse())
	g.Expect(table.Put(Replica{ID: "a", Position: positionOf(2, 21)})).To(gomega.BeTrue(), "written after the restore")
	table.Remove(0, "a", positionOf(2, 22))
	table.Put(Replica{ID: "b", Position: positionOf(1, 6)})
	table.Remove(0, "b", positionOf(1, 91))
	table.SetRestoreWindow(structs.RestoreWindow{})
	g.Expect(table.Put(Replica{ID: "a", Position: positionOf(2, 5)})).To(gomega.BeFalse())
	g.Expect(table.Put(Replica{ID: "b", Position: positionOf(2, 6)})).To(gomega.BeTrue())
}

// Guards against an unconfirmed replica that can't be removed because its entry is of the era before the
// restore.
func TestUnconfirmedReplicaOfAnEarlierEraIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Position: positionOf(1, 90)})
	table.SetRestoreWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20})
	table.SetCompleteTo(positionOf(2, 20))
	g.Expect(table.Missing(nil, positionOf(2, 20))).To(gomega.Equal([]string{"a"}))
	table.MarkUnconfirmed("a")
	g.Expect(table.RemoveUnconfirmed(0)).To(gomega.Equal([]string{"a"}))
	g.Expect(table.All()).To(gomega.BeEmpty())
	g.Expect(table.Put(Replica{ID: "a", Position: positionOf(2, 21)})).To(gomega.BeTrue())
}

// simulatedStore is a store with one entry per replica.
type simulatedStore struct {
	era, revision int64
	// listed has the revision of each entry by replica ID.
	listed map[string]int64
}

// runRestores simulates two tables that read a store and pull from each other, in random sequence, while
// the store is changed, backed up and restored. After the restore window both read once more. It returns
// an error if a table then differs from the store. draw draws the steps; positionOf builds the positions.
func runRestores(draw func(low, high int, label string) int, positionOf func(era, revision int64) structs.StorePosition) error {
	tables := [2]*Table{NewTable(), NewTable()}
	store := simulatedStore{listed: map[string]int64{}}
	var backups []simulatedStore
	clone := func(from simulatedStore) simulatedStore { from.listed = maps.Clone(from.listed); return from }
	base := int64(0)
	read := func(table *Table) {
		position := positionOf(store.era, store.revision)
		var list []Replica
		for id, revision := range store.listed {
			list = append(list, Replica{ID: id, Position: positionOf(store.era, revision)})
			table.Put(list[len(list)-1])
		}
		for _, id := range table.Missing(list, position) {
			table.Remove(0, id, table.RemovalPosition(id, position))
		}
		table.SetCompleteTo(position)
	}
	pull := func(from, to *Table) {
		for _, replica := range from.Since(to.LatestPosition()) {
			to.Put(replica)
		}
		for id, position := range from.RemovalsSince(0, to.LatestPosition()) {
			to.Remove(0, id, position)
		}
	}
	for range draw(1, 60, "steps") {
		id := string(rune('a' + draw(0, 2, "id")))
		index := draw(0, 1, "table")
		switch draw(0, 6, "step") {
		case 0, 1:
			store.revision++
			store.listed[id] = store.revision
		case 2:
			store.revision++
			delete(store.listed, id)
		case 3:
			backups = append(backups, clone(store))
		case 4:
			if len(backups) == 0 {
				continue
			}
			restored := clone(backups[draw(0, len(backups)-1, "backup")])
			restored.era = store.era + 1
			store = restored
			for _, table := range tables {
				table.SetRestoreWindow(structs.RestoreWindow{Base: base, Era: store.era, Listed: store.revision})
			}
		case 5:
			read(tables[index])
		case 6:
			pull(tables[index], tables[1-index])
		}
	}
	for _, table := range tables {
		table.SetRestoreWindow(structs.RestoreWindow{})
	}
	for _, table := range tables {
		read(table)
	}
	pull(tables[0], tables[1])
	pull(tables[1], tables[0])
	for _, table := range tables {
		var ids []string
		for _, replica := range table.All() {
			ids = append(ids, replica.ID)
		}
		want := slices.Sorted(maps.Keys(store.listed))
		if !slices.Equal(ids, want) {
			return fmt.Errorf("table has replicas %v, the store lists %v", ids, want)
		}
	}
	return nil
}

// Guards against tables that differ from the store after it was restored, possibly several times.
func TestTablesConvergeToTheStoreAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(low, high int, label string) int { return rapid.IntRange(low, high).Draw(t, label) }
		if err := runRestores(draw, positionOf); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a check that can't fail: ordered by revision without era, tables must differ from the
// store.
func TestTablesOrderedByRevisionAloneDoNotConverge(t *testing.T) {
	g := gomega.NewWithT(t)
	failures := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		draw := func(low, high int, _ string) int { return low + random.IntN(high-low+1) }
		if runRestores(draw, func(_, revision int64) structs.StorePosition { return structs.StorePosition(revision) }) != nil {
			failures++
		}
	}
	g.Expect(failures).To(gomega.BeNumerically(">", 10))
}

// Guards against a removed replica that comes back: a removal that arrives late must not replace the
// tombstone of a later one.
func TestOlderRemovalDoesNotReplaceTheTombstone(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Position: 5})
	table.Remove(0, "a", 10)
	table.Remove(time.Second, "a", 3)
	g.Expect(table.Put(Replica{ID: "a", Position: 5})).To(gomega.BeFalse())
	g.Expect(table.All()).To(gomega.BeEmpty())
	g.Expect(table.RemovalsSince(0, 0)).To(gomega.HaveKeyWithValue("a", structs.StorePosition(10)))
}
