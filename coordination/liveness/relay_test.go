package liveness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// relayTable returns a table of a node of the zone "own" with two more nodes of that zone and the
// given number of nodes of the zone "other", the first wideLinks of which have wide links.
func relayTable(otherNodes, wideLinks int) *Table {
	table := NewTable("self")
	for i := range 2 {
		name := fmt.Sprint("own", i)
		table.Observe(0, Heartbeat{Name: name, Address: name, Zone: "own", CanRelay: true, IntervalMS: 1000})
	}
	for i := range otherNodes {
		name := fmt.Sprintf("other%02d", i)
		linkMbps := 20.0
		if i < wideLinks {
			linkMbps = 200
		}
		table.Observe(structs.Instant(i)*time.Millisecond, Heartbeat{Name: name, Address: name, Zone: "other", LinkMbps: linkMbps, CanRelay: true, IntervalMS: 1000})
	}
	return table
}

// drawLast is a source of random numbers that always returns the largest.
func drawLast(count int) int { return count - 1 }

// Guards against sending each heartbeat to several relays although one confirms, and against
// keeping a relay that stopped confirming.
func TestHeartbeatsToALargeZoneUseAConfirmedRelay(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	now := 100 * time.Millisecond
	first := relays.Recipients(now, "own", live, false)
	g.Expect(first.Direct).To(gomega.ConsistOf("own0", "own1"))
	g.Expect(first.Relays).To(gomega.HaveLen(relayCandidateCount))
	g.Expect(first.Relays).To(gomega.ContainElement("other00"), "the node with a wide link")
	relays.Confirmed("other", first.Relays[1], 20)
	g.Expect(relays.Recipients(now, "own", live, false).Relays).To(gomega.Equal(first.Relays[1:2]))
	again := relays.Recipients(now, "own", live, false).Relays
	g.Expect(again).To(gomega.HaveLen(relayCandidateCount), "the relay did not confirm the last heartbeat")
	g.Expect(again).NotTo(gomega.ContainElement(first.Relays[1]))
}

// Guards against keeping a relay with a narrow link after one with a wide link confirmed.
func TestRelayWithAWideLinkIsPreferred(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	candidates := relays.Recipients(0, "own", live, false).Relays
	narrow := candidates[slices.IndexFunc(candidates, func(name string) bool { return name != "other00" })]
	relays.Confirmed("other", narrow, 20)
	relays.Confirmed("other", "other00", 20)
	relays.Confirmed("other", narrow, 20)
	g.Expect(relays.Recipients(0, "own", live, false).Relays).To(gomega.Equal([]string{"other00"}))
}

// Guards against using a relay that does not know most nodes of its zone.
func TestRelayThatReachesFewNodesIsNotUsed(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	relays.Recipients(0, "own", live, false)
	relays.Confirmed("other", "other00", 9)
	g.Expect(relays.Recipients(0, "own", live, false).Relays).To(gomega.HaveLen(relayCandidateCount))
	relays.Confirmed("elsewhere", "x", 100) // a zone that nothing was sent to
}

// Guards against leaving out nodes that no relay serves.
func TestSmallZonesAndNodesThatCannotRelayGetDirectHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	small := NewRelays(drawLast).Recipients(0, "own", relayTable(minZoneNodesForRelay-1, 1).Live(0), false)
	g.Expect(small.Relays).To(gomega.BeEmpty())
	g.Expect(small.Direct).To(gomega.HaveLen(2 + minZoneNodesForRelay - 1))
	table := relayTable(20, 1)
	table.Observe(0, Heartbeat{Name: "older", Address: "older", Zone: "other", IntervalMS: 1000})
	g.Expect(NewRelays(drawLast).Recipients(0, "own", table.Live(0), false).Direct).To(gomega.ConsistOf("own0", "own1", "older"))
}

// Guards against clearing a suspicion because a relay can reach the node, although this node
// can't.
func TestRelayedHeartbeatsDoNotClearASuspicion(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	table.Observe(0, Heartbeat{Name: "a", Incarnation: 1})
	table.Suspect("a")
	g.Expect(table.Observe(10*time.Millisecond, Heartbeat{Name: "a", Incarnation: 1, Relayed: true})).To(gomega.BeFalse())
	g.Expect(table.Live(10 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(table.Observe(20*time.Millisecond, Heartbeat{Name: "a", Incarnation: 1})).To(gomega.BeTrue())
	g.Expect(names(table.Live(20 * time.Millisecond))).To(gomega.Equal([]string{"a"}))
	table.Suspect("a")
	g.Expect(table.Observe(30*time.Millisecond, Heartbeat{Name: "a", Incarnation: 2, Relayed: true})).To(gomega.BeTrue(), "a new process")
	g.Expect(names(table.Live(30 * time.Millisecond))).To(gomega.Equal([]string{"a"}))
}

// Guards against heartbeats sent directly to a large zone too early and tried by relay too often: a
// heartbeat by which relays are tried again must count once.
func TestUnconfirmedHeartbeatCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	var byRelay []int
	for heartbeat := 1; heartbeat <= 16; heartbeat++ {
		if len(relays.Recipients(100*time.Millisecond, "own", live, true).Relays) > 0 {
			byRelay = append(byRelay, heartbeat)
		}
	}
	g.Expect(byRelay).To(gomega.Equal([]int{1, 2, 3, 4, 8, 12, 16}))
}

// Guards against a relay that knows few nodes of its zone: a node outside knows only the zone's
// delegates, and must compare with the size that they report.
func TestRelayThatReachesFewNodesOfALargeZoneIsNotConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	for i := range 4 {
		name := fmt.Sprint("delegate", i)
		table.Observe(0, Heartbeat{Name: name, Address: name, Zone: "other", LinkMbps: float64(20 + 200*(1-min(i, 1))), CanRelay: true, IntervalMS: 1000, ZoneLive: 8})
	}
	relays := NewRelays(drawLast)
	first := relays.Recipients(0, "own", table.Live(0), true).Relays
	g.Expect(first).To(gomega.HaveLen(relayCandidateCount))
	relays.Confirmed("other", first[0], 2)
	g.Expect(relays.Recipients(0, "own", table.Live(0), true).Relays).To(gomega.HaveLen(relayCandidateCount), "two of eight nodes")
	relays.Confirmed("other", first[1], 4)
	g.Expect(relays.Recipients(0, "own", table.Live(0), true).Relays).To(gomega.Equal(first[1:2]))
}

// Guards against a single candidate where all links are alike, and against asking nodes again before others.
func TestAllNodesAreAskedToRelayInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(9, 9).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	var asked []string
	for range 3 {
		candidates := relays.Recipients(100*time.Millisecond, "own", live, false).Relays
		g.Expect(candidates).To(gomega.HaveLen(relayCandidateCount))
		asked = append(asked, candidates...)
	}
	slices.Sort(asked)
	g.Expect(slices.Compact(asked)).To(gomega.HaveLen(9))
}

// Guards against candidates drawn from nodes that were not heard lately although others were.
func TestCandidatesAreTheNodesHeardLast(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(12, 12).Live(100 * time.Millisecond)
	for range 100 {
		candidates := NewRelays(rand.IntN).Recipients(100*time.Millisecond, "own", live, false).Relays
		g.Expect(candidates).To(gomega.HaveLen(relayCandidateCount))
		g.Expect([]string{"other08", "other09", "other10", "other11"}).To(gomega.ContainElements(candidates))
	}
}

// Guards against a heartbeat between the periodic ones that counts the one before as unconfirmed, although its
// confirmation can't have arrived.
func TestExtraHeartbeatsDoNotCountAsUnconfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 1).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	relays.Recipients(0, "own", live, false)
	relays.Confirmed("other", "other05", 20)
	for range 2 {
		relays.Recipients(0, "own", live, false)
		for range 5 {
			g.Expect(relays.ExtraRecipients(0, "own", live, false)).To(gomega.Equal(Recipients{Direct: []string{"own0", "own1"}, Relays: []string{"other05"}}))
		}
		g.Expect(relays.Confirmed("other", "other05", 20)).To(gomega.BeZero())
	}
	relays.Recipients(0, "own", live, false)
	relays.Recipients(0, "own", live, false)
	g.Expect(relays.ExtraRecipients(0, "own", live, false).Relays).To(gomega.HaveLen(relayCandidateCount))
	g.Expect(relays.Confirmed("other", "other05", 20)).To(gomega.Equal(1))
}

// Guards against heartbeats to all nodes of a zone for ever if its heartbeats arrive and no confirmation does, and
// against too many of them at once.
func TestHeartbeatsToAWholeZoneAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(20, 20).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	for range maxBroadcastCredit {
		relays.Recipients(0, "own", live, false)
		relays.Confirmed("other", "other00", 20)
	}
	var broadcasts []int
	for heartbeat := range 1000 {
		recipients := relays.Recipients(0, "own", live, false)
		if recipients.Broadcasts > 0 {
			g.Expect(slices.Concat(recipients.Direct, recipients.Relays)).To(gomega.HaveLen(2 + 20))
			broadcasts = append(broadcasts, heartbeat)
		}
		g.Expect(len(recipients.Unconfirmed)).To(gomega.Equal(min(heartbeat, 1)))
		if heartbeat > 2*20/relayCandidateCount+2 {
			g.Expect(recipients.Relays).To(gomega.HaveLen(1))
		}
	}
	g.Expect(broadcasts).To(gomega.Equal([]int{1, 2, 4, 7, 10, 13}))
}

// Guards against regarding a node that knows few others as asked in vain: it answers, so that the zone is reached.
func TestNodesThatRelayToFewAreAskedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	live := relayTable(9, 9).Live(100 * time.Millisecond)
	relays := NewRelays(drawLast)
	broadcasts := 0
	for range 30 {
		recipients := relays.Recipients(0, "own", live, false)
		broadcasts += recipients.Broadcasts
		if slices.Contains(recipients.Relays, "other04") {
			relays.Confirmed("other", "other04", 1)
		}
	}
	g.Expect(broadcasts).To(gomega.Equal(30 / broadcastCost))
}
