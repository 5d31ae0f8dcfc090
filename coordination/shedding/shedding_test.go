package shedding

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/structs"
)

const lowestRank = structs.Rank(3)

// testMessage is a FloorUpdate in transit to a member, or an Ack in transit to
// the owner.
type testMessage struct {
	update *Message
	ack    *Ack
}

// Messages are delivered in any order, repeatedly or never. No member may shed a
// tier while any member admits a lower one.
func TestInvariantHoldsUnderAnyMessageDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		owner := NewOwner("a/1", lowestRank, time.Second)
		members := map[string]*Member{}
		for _, name := range names {
			members[name] = NewMember(name, lowestRank)
		}
		var inTransit []testMessage
		now := structs.Instant(time.Second)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond
			for _, member := range members {
				member.Tick(now)
			}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				rank := structs.Rank(rapid.IntRange(0, int(lowestRank)-1).Draw(t, "rank"))
				owner.Demand(now, Demand{Service: "s", Rank: rank, From: rapid.SampledFrom(names).Draw(t, "from")})
			case 1:
				for _, outgoing := range owner.Tick(now, "s", names) {
					inTransit = append(inTransit, testMessage{update: &outgoing})
				}
			default:
				if len(inTransit) == 0 {
					continue
				}
				index := rapid.IntRange(0, len(inTransit)-1).Draw(t, "message")
				if next := deliver(now, inTransit[index], owner, members); next != nil {
					inTransit = append(inTransit, *next)
				}
				if rapid.Bool().Draw(t, "gone") {
					inTransit = append(inTransit[:index], inTransit[index+1:]...)
				}
			}
			if violation := findViolation(now, members); violation != "" {
				t.Fatal(violation)
			}
		}
	})
}

func deliver(now structs.Instant, m testMessage, owner *Owner, members map[string]*Member) *testMessage {
	if m.ack != nil {
		owner.Ack(*m.ack)
		return nil
	}
	ack := members[m.update.To].Apply(now, m.update.Update)
	return &testMessage{ack: &ack}
}

// findViolation describes a violation of the package's invariant, or returns "".
func findViolation(now structs.Instant, members map[string]*Member) string {
	minShedFrom, maxRefuseFrom := scheduler.NoRank, structs.Rank(0)
	for _, member := range members {
		floor := member.Floor(now, "s")
		minShedFrom = min(minShedFrom, floor.ShedFrom)
		maxRefuseFrom = max(maxRefuseFrom, min(floor.RefuseFrom, lowestRank+1))
	}
	if minShedFrom < maxRefuseFrom-1 {
		return fmt.Sprintf("rank %d may be shed while rank %d is admitted", minShedFrom, maxRefuseFrom-1)
	}
	return ""
}

// A higher tier must not be shed before every member has acknowledged that it
// rejects the lower tiers.
func TestRaisingFloorNeedsEveryMembersAck(t *testing.T) {
	owner := NewOwner("a/1", lowestRank, time.Second)
	members := map[string]*Member{"a": NewMember("a", lowestRank), "b": NewMember("b", lowestRank)}
	now := structs.Instant(time.Second)
	for step := range 50 {
		now += 60 * time.Millisecond
		owner.Demand(now, Demand{Service: "s", Rank: 1, From: "a"})
		for _, outgoing := range owner.Tick(now, "s", []string{"a", "b"}) {
			if outgoing.To == "b" && step < 40 {
				continue // b is unreachable
			}
			owner.Ack(members[outgoing.To].Apply(now, outgoing.Update))
		}
		if shedFrom := members["a"].Floor(now, "s").ShedFrom; step < 40 && shedFrom < lowestRank {
			t.Fatalf("rank %d may be shed before b acknowledged", shedFrom)
		}
	}
	if shedFrom := members["a"].Floor(now, "s").ShedFrom; shedFrom != 1 {
		t.Fatalf("ShedFrom is %d after all members acknowledged, want 1", shedFrom)
	}
}
