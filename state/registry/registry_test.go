package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

func entry(key, requestID string, progress Progress) Entry {
	return Entry{Key: Key{"t", key}, BodyHash: 1, RequestID: requestID, Progress: progress}
}

// Guards against two requests that run under one key, and against a key that is reused
// for another body.
func TestSecondRequestGetsTheEntryOfTheFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(10, time.Minute)
	_, isOwn, _ := table.Register(0, entry("k", "a", Registered))
	g.Expect(isOwn).To(gomega.BeTrue())
	current, isOwn, _ := table.Register(0, entry("k", "b", Registered))
	g.Expect(isOwn).To(gomega.BeFalse())
	g.Expect(current.RequestID).To(gomega.Equal("a"))
	other := entry("k", "c", Registered)
	other.BodyHash = 2
	_, _, err := table.Register(0, other)
	g.Expect(err).To(gomega.MatchError(errkind.KeyReused))
}

// Guards against a key that stays unusable after its request did not run.
func TestNotRunFreesTheKey(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(10, time.Minute)
	_, _, _ = table.Register(0, entry("k", "a", Registered))
	ended := entry("k", "a", Ended)
	ended.Outcome = structs.OutcomeNotRun
	g.Expect(table.Update(0, ended)).To(gomega.BeTrue())
	_, isOwn, _ := table.Register(0, entry("k", "b", Registered))
	g.Expect(isOwn).To(gomega.BeTrue())
}

// Guards against a second execution after a wrong suspicion of the first dispatcher.
func TestTakeOverStopsTheOldRequestBeforeDispatch(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(10, time.Minute)
	_, _, _ = table.Register(0, entry("k", "a", Registered))
	g.Expect(table.TakeOver(0, "a", entry("k", "b", Registered))).To(gomega.BeTrue())
	g.Expect(table.Update(0, entry("k", "a", Dispatched))).To(gomega.BeFalse())
	g.Expect(table.Update(0, entry("k", "b", Dispatched))).To(gomega.BeTrue())
	g.Expect(table.TakeOver(0, "b", entry("k", "c", Registered))).To(gomega.BeFalse(), "the dispatched request may have run")
}

// Guards against eviction of entries that still protect a request that may run.
func TestUnfinishedEntriesAreNotEvicted(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(2, time.Minute)
	_, _, _ = table.Register(0, entry("1", "a", Registered))
	_, _, _ = table.Register(0, entry("2", "b", Registered))
	_, _, err := table.Register(0, entry("3", "c", Registered))
	g.Expect(err).To(gomega.MatchError(errkind.Limited))
	table.Update(0, entry("1", "a", Ended))
	_, isOwn, err := table.Register(0, entry("3", "c", Registered))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(isOwn).To(gomega.BeTrue())
}

// BenchmarkRegister measures registering and ending one request.
func BenchmarkRegister(b *testing.B) {
	table := NewTable(20000, time.Minute)
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		number++
		id := fmt.Sprint(number)
		_, _, _ = table.Register(0, entry(id, id, Registered))
		table.Update(0, entry(id, id, Ended))
	}
}
