package liveness

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const failureTimeout = 400 * time.Millisecond

func names(members []*Member) []string {
	var result []string
	for _, member := range members {
		result = append(result, member.Name)
	}
	return result
}

// Guards against treating failed nodes as live, and against never removing them.
func TestSilentSuspectedAndUnconfirmedNodesAreNotLive(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	g.Expect(table.Observe(0, Heartbeat{Name: "a", Incarnation: 1})).To(gomega.BeTrue())
	g.Expect(table.Observe(100*time.Millisecond, Heartbeat{Name: "a", Incarnation: 1})).To(gomega.BeFalse())
	g.Expect(table.Observe(0, Heartbeat{Name: "self"})).To(gomega.BeFalse())
	table.AddPeer(0, Peer{Name: "b", Address: "x"})
	g.Expect(names(table.Live(200 * time.Millisecond))).To(gomega.Equal([]string{"a"}))
	g.Expect(names(table.All(0))).To(gomega.Equal([]string{"a", "b"}))
	table.Suspect("a")
	g.Expect(table.Live(200 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(table.Observe(300*time.Millisecond, Heartbeat{Name: "a", Incarnation: 1})).To(gomega.BeTrue())
	g.Expect(table.Live(300*time.Millisecond + failureTimeout)).To(gomega.BeEmpty())
	g.Expect(table.Observe(time.Second, Heartbeat{Name: "a", Incarnation: 2})).To(gomega.BeTrue())
	g.Expect(table.All(2 * memberRetention)).To(gomega.BeEmpty())
}

// Guards against a heartbeat of a former process, which a relay or a slow link delayed, that replaces what its successor
// said: the requests of the successor would be dropped as those of a process that ended.
func TestLateHeartbeatsOfAFormerProcessAreIgnored(t *testing.T) {
	for name, test := range map[string]struct {
		heartbeats []Heartbeat
		expected   uint64
	}{
		"a late one":                                {[]Heartbeat{{Incarnation: 7, UptimeMS: 9000}, {Incarnation: 3, UptimeMS: 100}, {Incarnation: 7, UptimeMS: 9400}}, 3},
		"a late one that is relayed":                {[]Heartbeat{{Incarnation: 7, UptimeMS: 9000}, {Incarnation: 3, UptimeMS: 100}, {Incarnation: 7, UptimeMS: 9400, Relayed: true}}, 3},
		"the successor itself":                      {[]Heartbeat{{Incarnation: 7, UptimeMS: 9000}, {Incarnation: 3, UptimeMS: 100}}, 3},
		"the late one comes first":                  {[]Heartbeat{{Incarnation: 7, UptimeMS: 9000}, {Incarnation: 3, UptimeMS: 400}}, 3},
		"nodes of earlier releases state no uptime": {[]Heartbeat{{Incarnation: 7}, {Incarnation: 3}, {Incarnation: 7}}, 7},
		"a successor of an earlier release":         {[]Heartbeat{{Incarnation: 7, UptimeMS: 9000}, {Incarnation: 3}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			table := NewTable("self")
			for i, heartbeat := range test.heartbeats {
				heartbeat.Name = "a"
				table.Observe(time.Duration(i)*100*time.Millisecond, heartbeat)
			}
			member, _ := table.Get("a")
			g.Expect(member.Incarnation).To(gomega.Equal(test.expected))
		})
	}
}

// Guards against a late heartbeat that counts as recent, and against a process whose heartbeats count as late for ever once
// its path became longer.
func TestDelayOfHeartbeats(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	receive := func(sentAt, arrivesAt time.Duration) time.Duration {
		heartbeat := Heartbeat{Name: "a", Incarnation: 7, UptimeMS: sentAt.Milliseconds()}
		table.Observe(arrivesAt, heartbeat)
		return table.Delay(arrivesAt, heartbeat)
	}
	g.Expect(receive(time.Second, 1010*time.Millisecond)).To(gomega.BeZero())
	g.Expect(receive(1100*time.Millisecond, 3110*time.Millisecond)).To(gomega.BeNumerically("~", 2*time.Second, 150*time.Millisecond))
	g.Expect(receive(3200*time.Millisecond, 3210*time.Millisecond)).To(gomega.BeZero())
	delay := time.Duration(0)
	for at := 4 * time.Second; at < time.Minute; at += 100 * time.Millisecond {
		delay = receive(at, at+2*time.Second)
	}
	g.Expect(delay).To(gomega.BeZero())
	g.Expect(table.Delay(time.Minute, Heartbeat{Name: "a", Incarnation: 7})).To(gomega.BeZero(), "no uptime")
	g.Expect(table.Delay(time.Minute, Heartbeat{Name: "a", Incarnation: 3, UptimeMS: 100})).To(gomega.BeZero(), "another process")
}

// Guards against a process that stays ignored since a clock of its machine went wrong.
func TestProcessIsHeardOnceItsPredecessorIsSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	table.Observe(0, Heartbeat{Name: "a", Incarnation: 7, UptimeMS: 100})
	next := Heartbeat{Name: "a", Incarnation: 3, UptimeMS: 9000}
	g.Expect(table.Observe(failureTimeout-1, next)).To(gomega.BeFalse())
	g.Expect(table.Observe(failureTimeout, next)).To(gomega.BeTrue())
	member, _ := table.Get("a")
	g.Expect(member.Incarnation).To(gomega.Equal(uint64(3)))
}

// Guards against scheduling on a node that is too weak for bursts, or leaving.
func TestWeakAndLeavingNodesAreNotEligible(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(EligibleNodes([]*Heartbeat{{Name: "weak", Cores: 0.2}, {Name: "b", Cores: 0.7}, {Name: "a", Cores: 0.8}, {Name: "left", Cores: 4, Leaving: true}})).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(EligibleNodes([]*Heartbeat{{Name: "a"}, {Name: "b"}})).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(EligibleNodes([]*Heartbeat{{Name: "a", Leaving: true}})).To(gomega.BeEmpty())
}

// A node that sends rare heartbeats must not count as failed, and one that sends frequent ones
// must be detected as failed sooner.
func TestFailureTimeoutFollowsEachNodesInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	table.Observe(0, Heartbeat{Name: "often", IntervalMS: 250})
	table.Observe(0, Heartbeat{Name: "rarely", IntervalMS: 1000})
	g.Expect(names(table.Live(900 * time.Millisecond))).To(gomega.Equal([]string{"often", "rarely"}))
	g.Expect(names(table.Live(1100 * time.Millisecond))).To(gomega.Equal([]string{"rarely"}))
	g.Expect(names(table.PossiblyRunning(1100 * time.Millisecond))).To(gomega.Equal([]string{"often", "rarely"}))
	g.Expect(table.Live(4 * time.Second)).To(gomega.BeEmpty())
}

// Guards against quotas granted by both sides of a partition until the failure timeout: a silent node
// must be out of contact well before.
func TestSilentNodeIsOutOfContactBeforeItCountsAsFailed(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	table.Observe(0, Heartbeat{Name: "a", IntervalMS: 100})
	member, _ := table.Get("a")
	g.Expect(member.IsInContact(150*time.Millisecond)).To(gomega.BeTrue(), "one heartbeat may be late")
	g.Expect(member.IsInContact(200 * time.Millisecond)).To(gomega.BeFalse())
	g.Expect(table.Live(200 * time.Millisecond)).To(gomega.HaveLen(1))
}

// Guards against assignments released while their requests run: a process that could not be reached
// once may still be running.
func TestSuspectedNodeIsPossiblyRunning(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable("self")
	table.Observe(0, Heartbeat{Name: "a", IntervalMS: 100})
	table.Suspect("a")
	g.Expect(table.Live(100 * time.Millisecond)).To(gomega.BeEmpty())
	g.Expect(table.PossiblyRunning(100 * time.Millisecond)).To(gomega.HaveLen(1))
	g.Expect(table.PossiblyRunning(1600 * time.Millisecond)).To(gomega.BeEmpty())
}

// Guards against members that never have their turn, or have it too often, while others are added.
func TestEachMemberHasItsTurnOnceInFiveRounds(t *testing.T) {
	const rounds = 5
	g := gomega.NewWithT(t)
	table := NewTable("self")
	lastTurns := map[string]uint64{}
	for round := range uint64(100) {
		table.AddPeer(0, Peer{Name: fmt.Sprint("n", round%40)})
		for _, member := range table.All(0) {
			if !member.IsDue(round, rounds) {
				continue
			}
			if last, found := lastTurns[member.Name]; found {
				g.Expect(round-last).To(gomega.BeEquivalentTo(rounds), member.Name)
			}
			lastTurns[member.Name] = round
		}
	}
	g.Expect(lastTurns).To(gomega.HaveLen(40))
	for name, last := range lastTurns {
		g.Expect(last).To(gomega.BeNumerically(">=", 100-rounds), name)
	}
}
