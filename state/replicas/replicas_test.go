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

func TestOldNewsBringsNothingBack(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.Put(Replica{ID: "a", Position: 5})).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Position: 7, Draining: true})).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Position: 6})).To(gomega.BeFalse())
	table.Put(Replica{ID: "a", Position: 9})
	kept, _ := table.Get("a")
	g.Expect(kept.Draining).To(gomega.BeTrue())
	g.Expect(table.Remove(0, "a", 10)).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Position: 8})).To(gomega.BeFalse())
	g.Expect(table.All()).To(gomega.BeEmpty())
}

func TestCompleteListNamesWhatIsMissingButNotWhatIsNewer(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "old", Position: 1})
	table.Put(Replica{ID: "newer", Position: 9})
	g.Expect(table.Missing([]Replica{}, 5)).To(gomega.Equal([]string{"old"}))
}

func TestDoubtedReplicaStaysUntilItIsRemovedOrComesBack(t *testing.T) {
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

// A replica that drained and ended may start again under the id that it had.
func TestAReplicaThatStartsAgainUnderItsIDIsOfferedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	first := Replica{ID: "a", Service: "s", Position: 1, StartedAt: 1000}
	table.Put(first)
	first.Draining, first.Position = true, 2
	table.Put(first)
	first.Draining, first.Position = false, 3
	table.Put(first)
	known, _ := table.Get("a")
	g.Expect(known.Draining).To(gomega.BeTrue(), "a drain is not taken back in the same life")
	table.Put(Replica{ID: "a", Service: "s", Position: 4, StartedAt: 900}) // its clock was set back
	known, _ = table.Get("a")
	g.Expect(known.Draining).To(gomega.BeFalse())
	g.Expect(known.IsSameIncarnation(first)).To(gomega.BeFalse())
}

// place returns the place of the revision in the era.
func place(era, revision int64) structs.StorePosition {
	at, err := structs.NewStorePosition(era, revision)
	if err != nil {
		panic(err)
	}
	return at
}

// The copy lists a replica that left since. It leaves again when that is written again, or its
// entry runs out; if it is still listed when entries would have run out, it lives.
func TestACopyBringsNoReplicaBackThatLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Position: place(1, 5)})
	table.Remove(0, "a", place(1, 90))
	table.SetRestoreWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20})
	g.Expect(table.Put(Replica{ID: "a", Position: place(2, 5)})).To(gomega.BeFalse())
	g.Expect(table.Put(Replica{ID: "a", Position: place(2, 21)})).To(gomega.BeTrue(), "written since")
	table.Remove(0, "a", place(2, 22))
	table.Put(Replica{ID: "b", Position: place(1, 6)})
	table.Remove(0, "b", place(1, 91))
	table.SetRestoreWindow(structs.RestoreWindow{})
	g.Expect(table.Put(Replica{ID: "a", Position: place(2, 5)})).To(gomega.BeFalse())
	g.Expect(table.Put(Replica{ID: "b", Position: place(2, 6)})).To(gomega.BeTrue())
}

func TestADoubtedReplicaOfAnEarlierEraIsRemovedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Position: place(1, 90)})
	table.SetRestoreWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20})
	table.SetCompleteTo(place(2, 20))
	g.Expect(table.Missing(nil, place(2, 20))).To(gomega.Equal([]string{"a"}))
	table.MarkUnconfirmed("a")
	g.Expect(table.RemoveUnconfirmed(0)).To(gomega.Equal([]string{"a"}))
	g.Expect(table.All()).To(gomega.BeEmpty())
	g.Expect(table.Put(Replica{ID: "a", Position: place(2, 21)})).To(gomega.BeTrue())
}

// truth is a store with one key for each replica, as it really was.
type truth struct {
	era, revision int64
	listed        map[string]int64
}

// Two tables hear of a store that comes back from copies, in any order, by complete reads and from
// each other. At the end, when the copy's entries have run out and both have read once more, both
// know what the store lists.
//
// placeOf gives the places, and draw the course. The error names what a table knows and the store
// does not list, or the other way round.
func hearOfCopies(draw func(low, high int, label string) int, placeOf func(era, revision int64) structs.StorePosition) error {
	tables := [2]*Table{NewTable(), NewTable()}
	store := truth{listed: map[string]int64{}}
	var copies []truth
	clone := func(from truth) truth { from.listed = maps.Clone(from.listed); return from }
	base := int64(0)
	read := func(table *Table) {
		now := placeOf(store.era, store.revision)
		var list []Replica
		for id, revision := range store.listed {
			list = append(list, Replica{ID: id, Position: placeOf(store.era, revision)})
			table.Put(list[len(list)-1])
		}
		for _, id := range table.Missing(list, now) {
			table.Remove(0, id, table.RemovalPosition(id, now))
		}
		table.SetCompleteTo(now)
	}
	tell := func(from, to *Table) {
		for _, replica := range from.Since(to.LatestPosition()) {
			to.Put(replica)
		}
		for id, gone := range from.RemovedSince(0, to.LatestPosition()) {
			to.Remove(0, id, gone)
		}
	}
	for range draw(1, 60, "steps") {
		id := string(rune('a' + draw(0, 2, "id")))
		which := draw(0, 1, "table")
		switch draw(0, 6, "step") {
		case 0, 1:
			store.revision++
			store.listed[id] = store.revision
		case 2:
			store.revision++
			delete(store.listed, id)
		case 3:
			copies = append(copies, clone(store))
		case 4:
			if len(copies) == 0 {
				continue
			}
			restored := clone(copies[draw(0, len(copies)-1, "copy")])
			restored.era = store.era + 1
			store = restored
			for _, table := range tables {
				table.SetRestoreWindow(structs.RestoreWindow{Base: base, Era: store.era, Listed: store.revision})
			}
		case 5:
			read(tables[which])
		case 6:
			tell(tables[which], tables[1-which])
		}
	}
	for _, table := range tables {
		table.SetRestoreWindow(structs.RestoreWindow{})
	}
	for _, table := range tables {
		read(table)
	}
	tell(tables[0], tables[1])
	tell(tables[1], tables[0])
	for _, table := range tables {
		var ids []string
		for _, replica := range table.All() {
			ids = append(ids, replica.ID)
		}
		wanted := slices.Sorted(maps.Keys(store.listed))
		if !slices.Equal(ids, wanted) {
			return fmt.Errorf("knows %v, the store lists %v", ids, wanted)
		}
	}
	return nil
}

func TestTablesAgreeWithTheStoreAfterAnyCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(low, high int, label string) int { return rapid.IntRange(low, high).Draw(t, label) }
		if err := hearOfCopies(draw, place); err != nil {
			t.Fatal(err)
		}
	})
}

// The check must see what it is for: by the revision alone tables go on to know what the store
// does not list.
func TestTablesThatGoByTheRevisionAloneDoNot(t *testing.T) {
	g := gomega.NewWithT(t)
	wrong := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		draw := func(low, high int, _ string) int { return low + random.IntN(high-low+1) }
		if hearOfCopies(draw, func(_, revision int64) structs.StorePosition { return structs.StorePosition(revision) }) != nil {
			wrong++
		}
	}
	g.Expect(wrong).To(gomega.BeNumerically(">", 10))
}
