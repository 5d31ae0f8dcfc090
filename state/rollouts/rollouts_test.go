package rollouts

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// Guards against a roll-out that starts again as a restored store has its order in a newer era, and against an order that is
// taken for an earlier one.
func TestOrderOfARestoredStoreIsTheKnownOne(t *testing.T) {
	at := func(era, revision int64) structs.StorePosition {
		position, err := structs.NewStorePosition(era, revision)
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		return position
	}
	known := Order{Service: "s", Target: "v2", Duration: time.Minute, Position: at(1, 6)}
	for name, test := range map[string]struct {
		change func(order *Order)
		isSame bool
	}{
		"in the backup":                     {func(order *Order) { order.Position = at(2, 6) }, true},
		"in the backup of the backup":       {func(order *Order) { order.Position = at(3, 6) }, true},
		"ordered again":                     {func(order *Order) { order.Position = at(2, 9) }, false},
		"ordered again in the same era":     {func(order *Order) { order.Position = at(1, 9) }, false},
		"of another target at its revision": {func(order *Order) { order.Position, order.Target = at(2, 6), "v3" }, false},
		"with another time at its revision": {func(order *Order) { order.Position, order.Duration = at(2, 6), time.Hour }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := NewTable()
			table.PutOrder(0, known)
			table.PutRecord(0, Record{Service: "s", Target: "v2", OrderPosition: known.Position, Position: at(1, 8), Phase: PhaseRolledBack})
			order := known
			test.change(&order)
			g.Expect(table.PutOrder(time.Second, order)).To(gomega.BeTrue())
			record, _ := table.Record("s")
			g.Expect(record.OrderPosition == order.Position).To(gomega.Equal(test.isSame))
			g.Expect(table.FormerOrderPosition("s") == known.Position).To(gomega.Equal(test.isSame))
			g.Expect(table.ServicesToRewrite(1) != nil).To(gomega.Equal(test.isSame), "the store's record has the old position")
		})
	}
}

// Guards against a roll-out that starts again as the record of a restored store names its order by the position before.
func TestRecordOfARestoredStoreIsOfTheKnownOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(era, revision int64) structs.StorePosition { return structs.StorePosition(era<<40 | revision) }
	table := NewTable()
	table.PutOrder(0, Order{Service: "s", Target: "v2", Duration: time.Minute, Position: at(2, 6)})
	record := Record{Service: "s", Target: "v2", OrderPosition: at(1, 6), Position: at(2, 8)}
	g.Expect(table.PutRecord(0, record)).To(gomega.BeTrue())
	known, _ := table.Record("s")
	g.Expect(known.OrderPosition).To(gomega.Equal(at(2, 6)))
	g.Expect(table.ServicesToRewrite(2)).To(gomega.Equal([]string{"s"}))
	record.Target = "v1"
	table.OverwriteRecord(0, record, at(2, 9))
	known, _ = table.Record("s")
	g.Expect(known.OrderPosition).To(gomega.Equal(at(1, 6)), "of another order")
}

// Guards against a roll-out whose progress falls to that of a backup, so that its target gets the requests between them
// once more, and against nodes that do not go by what was written since the restore.
func TestRecordOfABackupDoesNotReplaceALaterOne(t *testing.T) {
	at := func(era, revision int64) structs.StorePosition { return structs.StorePosition(era<<40 | revision) }
	const first, latest, listed = 300, 420, 20
	recordAt := func(position structs.StorePosition, requests int) Record {
		return Record{Service: "s", Target: "v2", OrderPosition: at(1, 6), Phase: PhaseCanary, Requests: requests, Exposed: requests / 5, Position: position}
	}
	restored := structs.RestoreWindow{Base: 1, Era: 2, Listed: listed}
	for name, test := range map[string]struct {
		apply     func(table *Table)
		want      int
		isRewrite bool
	}{
		"read within the restore window": {func(table *Table) { table.OverwriteRecord(0, recordAt(at(2, 8), first), at(2, listed)) }, latest, true},
		"read by a node that does not know of the restore": {func(table *Table) {
			table.SetRestoreWindow(structs.RestoreWindow{})
			table.OverwriteRecord(0, recordAt(at(2, 8), first), at(2, listed))
		}, latest, true},
		"listed within the restore window": {func(table *Table) { table.PutRecord(0, recordAt(at(2, 8), first)) }, latest, true},
		"listed after the restore window": {func(table *Table) {
			table.SetRestoreWindow(structs.RestoreWindow{})
			table.PutRecord(0, recordAt(at(2, 8), first))
		}, latest, true},
		"listed after its order counts": {func(table *Table) {
			table.SetRestoreWindow(structs.RestoreWindow{})
			table.PutOrder(0, Order{Service: "s", Target: "v2", Duration: time.Minute, Position: at(2, 6)})
			table.PutRecord(0, recordAt(at(2, 8), first))
		}, latest, true},
		"missing in the backup":       {func(table *Table) { table.OverwriteRecord(0, Record{Service: "s"}, at(2, listed)) }, latest, true},
		"with more progress":          {func(table *Table) { table.OverwriteRecord(0, recordAt(at(2, 8), latest+60), at(2, listed)) }, latest + 60, true},
		"written since":               {func(table *Table) { table.PutRecord(0, recordAt(at(2, listed+1), first+60)) }, first + 60, false},
		"removed in the same era":     {func(table *Table) { table.OverwriteRecord(0, Record{Service: "s"}, at(1, 12)) }, 0, false},
		"earlier one in the same era": {func(table *Table) { table.OverwriteRecord(0, recordAt(at(1, 12), first), at(1, 12)) }, first, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := NewTable()
			table.PutOrder(0, Order{Service: "s", Target: "v2", Duration: time.Minute, Position: at(1, 6)})
			table.PutRecord(0, recordAt(at(1, 10), latest))
			table.SetRestoreWindow(restored)
			test.apply(table)
			known, _ := table.Record("s")
			g.Expect(known.Requests).To(gomega.Equal(test.want))
			g.Expect(table.NeedsRewrite("s", restored.Era)).To(gomega.Equal(test.isRewrite))
		})
	}
}
