package liveness

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// relayTable returns a table of a node of the zone "own" that just heard of two nodes of
// its zone and of so many of the zone "other", the first of which have wide links.
func relayTable(others, wide int) *Table {
	table := NewTable("self")
	for i := range 2 {
		name := fmt.Sprint("own", i)
		table.Observe(0, Heartbeat{Name: name, Address: name, Zone: "own", CanRelay: true, IntervalMS: 1000})
	}
	for i := range others {
		name := fmt.Sprintf("other%02d", i)
		link := 20.0
		if i < wide {
			link = 200
		}
		table.Observe(structs.Instant(i)*time.Millisecond, Heartbeat{Name: name, Address: name, Zone: "other", LinkMbps: link, CanRelay: true, IntervalMS: 1000})
	}
	return table
}

// last always draws the last of what is left.
func last(count int) int { return count - 1 }

func TestHeartbeatsToALargeZoneGoByARelayThatConfirms(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(last)
	now := 100 * time.Millisecond
	first := relays.Recipients(now, "own", live, false)
	g.Expect(first.Direct).To(gomega.ConsistOf("own0", "own1"))
	g.Expect(first.Relays).To(gomega.HaveLen(relayCandidates))
	g.Expect(first.Relays).To(gomega.ContainElement("other00"), "the one with a wide link")
	relays.Confirmed("other", first.Relays[1], 20)
	g.Expect(relays.Recipients(now, "own", live, false).Relays).To(gomega.Equal(first.Relays[1:2]))
	again := relays.Recipients(now, "own", live, false).Relays
	g.Expect(again).To(gomega.HaveLen(relayCandidates), "the relay did not confirm")
	g.Expect(again).NotTo(gomega.ContainElement(first.Relays[1]))
}

func TestARelayWithAWideLinkIsPreferred(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(last)
	tried := relays.Recipients(0, "own", live, false).Relays
	narrow := tried[slices.IndexFunc(tried, func(name string) bool { return name != "other00" })]
	relays.Confirmed("other", narrow, 20)
	relays.Confirmed("other", "other00", 20)
	relays.Confirmed("other", narrow, 20)
	g.Expect(relays.Recipients(0, "own", live, false).Relays).To(gomega.Equal([]string{"other00"}))
}

func TestARelayThatReachesFewIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(last)
	relays.Recipients(0, "own", live, false)
	relays.Confirmed("other", "other00", 9)
	g.Expect(relays.Recipients(0, "own", live, false).Relays).To(gomega.HaveLen(relayCandidates))
	relays.Confirmed("elsewhere", "x", 100) // of a zone that nothing was sent to
}

func TestSmallZonesAndNodesThatDoNotRelayAreSentToDirectly(t *testing.T) {
	g := gomega.NewWithT(t)
	small := NewRelays(last).Recipients(0, "own", relayTable(relayFrom-1, 1).Live(0), false)
	g.Expect(small.Relays).To(gomega.BeEmpty())
	g.Expect(small.Direct).To(gomega.HaveLen(2 + relayFrom - 1))
	table := relayTable(20, 1)
	table.Observe(0, Heartbeat{Name: "older", Address: "older", Zone: "other", IntervalMS: 1000})
	g.Expect(NewRelays(last).Recipients(0, "own", table.Live(0), false).Direct).To(gomega.ConsistOf("own0", "own1", "older"))
}

// A relay may reach a node that this one does not reach.
func TestASuspectedNodeStaysSuspectedWhileOnlyARelayHearsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	table.Observe(0, Heartbeat{Name: "a", Incarnation: 1})
	table.Suspect("a")
	g.Expect(table.Observe(10*time.Millisecond, Heartbeat{Name: "a", Incarnation: 1, Relayed: true})).To(gomega.BeFalse())
	g.Expect(table.Live(10 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(table.Observe(20*time.Millisecond, Heartbeat{Name: "a", Incarnation: 1})).To(gomega.BeTrue())
	g.Expect(names(table.Live(20 * time.Millisecond))).To(gomega.Equal([]string{"a"}))
	table.Suspect("a")
	g.Expect(table.Observe(30*time.Millisecond, Heartbeat{Name: "a", Incarnation: 2, Relayed: true})).To(gomega.BeTrue(), "another process")
	g.Expect(names(table.Live(30 * time.Millisecond))).To(gomega.Equal([]string{"a"}))
}
