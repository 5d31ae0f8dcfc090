package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

func entry(key, request string, state Progress) Entry {
	return Entry{Key: Key{"t", key}, BodyHash: 1, RequestID: request, Progress: state}
}

func TestSecondRequestJoinsTheFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(10, time.Minute)
	_, mine, _ := table.Register(0, entry("k", "a", Registered))
	g.Expect(mine).To(gomega.BeTrue())
	holder, mine, _ := table.Register(0, entry("k", "b", Registered))
	g.Expect(mine).To(gomega.BeFalse())
	g.Expect(holder.RequestID).To(gomega.Equal("a"))
	other := entry("k", "c", Registered)
	other.BodyHash = 2
	_, _, err := table.Register(0, other)
	g.Expect(err).To(gomega.MatchError(errkind.KeyReused))
}

func TestNotRunFreesTheKey(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(10, time.Minute)
	_, _, _ = table.Register(0, entry("k", "a", Registered))
	ended := entry("k", "a", Ended)
	ended.Outcome = structs.OutcomeNotRun
	g.Expect(table.Update(0, ended)).To(gomega.BeTrue())
	_, mine, _ := table.Register(0, entry("k", "b", Registered))
	g.Expect(mine).To(gomega.BeTrue())
}

func TestTakeOverStopsTheOldRequestAtItsGate(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(10, time.Minute)
	_, _, _ = table.Register(0, entry("k", "a", Registered))
	g.Expect(table.TakeOver(0, "a", entry("k", "b", Registered))).To(gomega.BeTrue())
	g.Expect(table.Update(0, entry("k", "a", Dispatched))).To(gomega.BeFalse())
	g.Expect(table.Update(0, entry("k", "b", Dispatched))).To(gomega.BeTrue())
	g.Expect(table.TakeOver(0, "b", entry("k", "c", Registered))).To(gomega.BeFalse(), "it may have run")
}

func TestOpenEntriesAreNeverDroppedForNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(2, time.Minute)
	_, _, _ = table.Register(0, entry("1", "a", Registered))
	_, _, _ = table.Register(0, entry("2", "b", Registered))
	_, _, err := table.Register(0, entry("3", "c", Registered))
	g.Expect(err).To(gomega.MatchError(errkind.Limited))
	table.Update(0, entry("1", "a", Ended))
	_, mine, err := table.Register(0, entry("3", "c", Registered))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(mine).To(gomega.BeTrue())
}

func BenchmarkRegister(b *testing.B) {
	table := NewTable(20000, time.Minute)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		request := fmt.Sprint(number)
		_, _, _ = table.Register(0, entry(request, request, Registered))
		table.Update(0, entry(request, request, Ended))
	}
}
