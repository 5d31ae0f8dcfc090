package evacuations

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/structs"
)

// positionOf returns the store position of the revision in the era.
func positionOf(era, revision int64) structs.StorePosition {
	position, err := structs.NewStorePosition(era, revision)
	if err != nil {
		panic(err)
	}
	return position
}

// Guards against an order that is replaced by one that is older but arrives later.
func TestLatestOrderOfAZoneIsActive(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.Put(Order{Zone: "east", Position: 5})).To(gomega.BeTrue())
	g.Expect(table.IsEvacuated("east")).To(gomega.BeTrue())
	g.Expect(table.IsEvacuated("west")).To(gomega.BeFalse())
	g.Expect(table.Put(Order{Zone: "east", Position: 4, Lifted: true})).To(gomega.BeFalse(), "older")
	g.Expect(table.Put(Order{Zone: "east", Position: 6})).To(gomega.BeFalse(), "evacuated already")
	g.Expect(table.Put(Order{Zone: "east", Position: 7, Lifted: true})).To(gomega.BeTrue())
	g.Expect(table.Put(Order{Zone: "east", Position: 5})).To(gomega.BeFalse(), "lifted since")
	g.Expect(table.Put(Order{Zone: "east", Position: 8})).To(gomega.BeTrue(), "evacuated again")
	g.Expect(table.EvacuatedZones()).To(gomega.Equal(map[string]bool{"east": true}))
}

// Guards against zones that stay evacuated after their order was deleted from the store.
func TestZoneMissingFromACompleteListIsLifted(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Order{Zone: "east", Position: 5})
	table.Put(Order{Zone: "west", Position: 9})
	lifts := table.LiftsForUnlisted([]Order{}, 7)
	g.Expect(lifts).To(gomega.Equal([]Order{{Zone: "east", Position: 7, Lifted: true}}), "the list is older than the other order")
	g.Expect(table.LiftsForUnlisted([]Order{{Zone: "east", Position: 5}}, 7)).To(gomega.BeEmpty())
}

// Guards against a backup that lifts evacuations it lacks, or activates evacuations that were lifted
// after it was made. After the restore window, the store's list applies again.
func TestRestoredStoreRevertsNoOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Order{Zone: "east", Position: positionOf(1, 90)})
	table.Put(Order{Zone: "west", Position: positionOf(1, 10)})
	table.Put(Order{Zone: "west", Position: positionOf(1, 80), Lifted: true})
	table.SetRestoreWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20})
	g.Expect(table.LiftsForUnlisted(nil, positionOf(2, 20))).To(gomega.BeEmpty())
	g.Expect(table.Put(Order{Zone: "west", Position: positionOf(2, 10)})).To(gomega.BeFalse())
	g.Expect(table.Put(Order{Zone: "west", Position: positionOf(2, 21)})).To(gomega.BeTrue(), "written after the restore")
	table.SetRestoreWindow(structs.RestoreWindow{})
	g.Expect(table.LiftsForUnlisted([]Order{{Zone: "west", Position: positionOf(2, 21)}}, positionOf(2, 22))).To(gomega.HaveLen(1))
}

// Guards against a table that grows without bound, and against one that is full of lifted orders.
func TestTableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	for i := range 2 * MaxZones {
		table.Put(Order{Zone: fmt.Sprint("zone", i), Position: structs.StorePosition(i + 1)})
	}
	g.Expect(table.All()).To(gomega.HaveLen(MaxZones))
	table.Put(Order{Zone: "zone0", Position: 1000, Lifted: true})
	g.Expect(table.Put(Order{Zone: "another", Position: 1001})).To(gomega.BeTrue(), "replaces a lifted order")
	g.Expect(table.All()).To(gomega.HaveLen(MaxZones))
}

// Guards against tables that differ from the store after they read it, whatever they received from the
// store and from each other before.
func TestTablesConvergeToTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := [2]*Table{NewTable(), NewTable()}
		listed, revision := map[string]structs.StorePosition{}, structs.StorePosition(0)
		read := func(table *Table) {
			var orders []Order
			for zone, position := range listed {
				orders = append(orders, Order{Zone: zone, Position: position})
			}
			for _, order := range append(orders, table.LiftsForUnlisted(orders, revision)...) {
				table.Put(order)
			}
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			index := rapid.IntRange(0, 1).Draw(t, "table")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				listed[zone] = revision
			case 1:
				revision++
				delete(listed, zone)
			case 2:
				read(tables[index])
			case 3:
				for _, order := range tables[index].All() {
					tables[1-index].Put(order)
				}
			}
		}
		for _, table := range tables {
			read(table)
			got, want := slices.Sorted(maps.Keys(table.EvacuatedZones())), slices.Sorted(maps.Keys(listed))
			if !slices.Equal(got, want) {
				t.Fatalf("evacuated zones are %v, the store lists %v", got, want)
			}
		}
	})
}
