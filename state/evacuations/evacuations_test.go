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

func place(era, revision int64) structs.StorePosition {
	at, err := structs.NewStorePosition(era, revision)
	if err != nil {
		panic(err)
	}
	return at
}

func TestTheLatestOrderOfAZoneHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.Put(Order{Zone: "east", Position: 5})).To(gomega.BeTrue())
	g.Expect(table.IsEvacuated("east")).To(gomega.BeTrue())
	g.Expect(table.IsEvacuated("west")).To(gomega.BeFalse())
	g.Expect(table.Put(Order{Zone: "east", Position: 4, Lifted: true})).To(gomega.BeFalse(), "older")
	g.Expect(table.Put(Order{Zone: "east", Position: 6})).To(gomega.BeFalse(), "emptied already")
	g.Expect(table.Put(Order{Zone: "east", Position: 7, Lifted: true})).To(gomega.BeTrue())
	g.Expect(table.Put(Order{Zone: "east", Position: 5})).To(gomega.BeFalse(), "taken back since")
	g.Expect(table.Put(Order{Zone: "east", Position: 8})).To(gomega.BeTrue(), "emptied again")
	g.Expect(table.EvacuatedZones()).To(gomega.Equal(map[string]bool{"east": true}))
}

func TestAZoneThatACompleteListLacksIsTakenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Order{Zone: "east", Position: 5})
	table.Put(Order{Zone: "west", Position: 9})
	lifts := table.LiftsForUnlisted([]Order{}, 7)
	g.Expect(lifts).To(gomega.Equal([]Order{{Zone: "east", Position: 7, Lifted: true}}), "the list is older than the other order")
	g.Expect(table.LiftsForUnlisted([]Order{{Zone: "east", Position: 5}}, 7)).To(gomega.BeEmpty())
}

// A copy that lacks an order does not take it back, and one that still has an order that was
// lifted since does not bring it back. What is listed once the copy's time is over counts.
func TestACopyOfTheStoreTakesNoOrderBack(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Order{Zone: "east", Position: place(1, 90)})
	table.Put(Order{Zone: "west", Position: place(1, 10)})
	table.Put(Order{Zone: "west", Position: place(1, 80), Lifted: true})
	table.SetRestoreWindow(structs.RestoreWindow{Base: 1, Era: 2, Listed: 20})
	g.Expect(table.LiftsForUnlisted(nil, place(2, 20))).To(gomega.BeEmpty())
	g.Expect(table.Put(Order{Zone: "west", Position: place(2, 10)})).To(gomega.BeFalse())
	g.Expect(table.Put(Order{Zone: "west", Position: place(2, 21)})).To(gomega.BeTrue(), "written since")
	table.SetRestoreWindow(structs.RestoreWindow{})
	g.Expect(table.LiftsForUnlisted([]Order{{Zone: "west", Position: place(2, 21)}}, place(2, 22))).To(gomega.HaveLen(1))
}

func TestOrdersForZonesWithoutNumberAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	for i := range 2 * MaxZones {
		table.Put(Order{Zone: fmt.Sprint("zone", i), Position: structs.StorePosition(i + 1)})
	}
	g.Expect(table.All()).To(gomega.HaveLen(MaxZones))
	table.Put(Order{Zone: "zone0", Position: 1000, Lifted: true})
	g.Expect(table.Put(Order{Zone: "another", Position: 1001})).To(gomega.BeTrue(), "in place of one that was taken back")
	g.Expect(table.All()).To(gomega.HaveLen(MaxZones))
}

// Tables that hear of the store's orders in any order, partly by complete lists, agree with the
// store once both have read it.
func TestTablesAgreeWithTheStoreInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := [2]*Table{NewTable(), NewTable()}
		listed, revision := map[string]structs.StorePosition{}, structs.StorePosition(0)
		read := func(table *Table) {
			var orders []Order
			for zone, at := range listed {
				orders = append(orders, Order{Zone: zone, Position: at})
			}
			for _, order := range append(orders, table.LiftsForUnlisted(orders, revision)...) {
				table.Put(order)
			}
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			which := rapid.IntRange(0, 1).Draw(t, "table")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				listed[zone] = revision
			case 1:
				revision++
				delete(listed, zone)
			case 2:
				read(tables[which])
			case 3:
				for _, order := range tables[which].All() {
					tables[1-which].Put(order)
				}
			}
		}
		for _, table := range tables {
			read(table)
			got, wanted := slices.Sorted(maps.Keys(table.EvacuatedZones())), slices.Sorted(maps.Keys(listed))
			if !slices.Equal(got, wanted) {
				t.Fatalf("knows %v, the store lists %v", got, wanted)
			}
		}
	})
}
