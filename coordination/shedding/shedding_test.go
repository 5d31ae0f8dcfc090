package shedding

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/structs"
)

const lowest = structs.Rank(3)

// message is a FloorUpdate on its way to a member, or an Ack on its way back.
type message struct {
	set *Message
	ack *Ack
}

// TestInvariantUnderAnyDelivery delivers messages in any order, twice or never,
// and demands that no tier may be shed anywhere while a lower one is admitted
// anywhere.
func TestInvariantUnderAnyDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		owner := NewOwner("a/1", lowest, time.Second)
		members := map[string]*Member{}
		for _, name := range names {
			members[name] = NewMember(name, lowest)
		}
		var flying []message
		now := structs.Instant(time.Second)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 80).Draw(t, "ms")) * time.Millisecond
			for _, member := range members {
				member.Tick(now)
			}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				rank := structs.Rank(rapid.IntRange(0, int(lowest)-1).Draw(t, "rank"))
				owner.Demand(now, Demand{Service: "s", Rank: rank, From: rapid.SampledFrom(names).Draw(t, "from")})
			case 1:
				for _, outgoing := range owner.Tick(now, "s", names) {
					flying = append(flying, message{set: &outgoing})
				}
			default:
				if len(flying) == 0 {
					continue
				}
				index := rapid.IntRange(0, len(flying)-1).Draw(t, "message")
				if next := deliver(now, flying[index], owner, members); next != nil {
					flying = append(flying, *next)
				}
				if rapid.Bool().Draw(t, "gone") {
					flying = append(flying[:index], flying[index+1:]...)
				}
			}
			if broken := violation(now, members); broken != "" {
				t.Fatal(broken)
			}
		}
	})
}

func deliver(now structs.Instant, m message, owner *Owner, members map[string]*Member) *message {
	if m.ack != nil {
		owner.Ack(*m.ack)
		return nil
	}
	ack := members[m.set.To].Apply(now, m.set.Update)
	return &message{ack: &ack}
}

func violation(now structs.Instant, members map[string]*Member) string {
	shed, refuse := scheduler.NoRank, structs.Rank(0)
	for _, member := range members {
		floor := member.Floor(now, "s")
		shed = min(shed, floor.ShedFrom)
		refuse = max(refuse, min(floor.RefuseFrom, lowest+1))
	}
	if shed < refuse-1 {
		return fmt.Sprintf("rank %d may be shed while rank %d is admitted", shed, refuse-1)
	}
	return ""
}

func TestRaiseNeedsEveryMember(t *testing.T) {
	owner := NewOwner("a/1", lowest, time.Second)
	members := map[string]*Member{"a": NewMember("a", lowest), "b": NewMember("b", lowest)}
	now := structs.Instant(time.Second)
	for step := range 50 {
		now += 60 * time.Millisecond
		owner.Demand(now, Demand{Service: "s", Rank: 1, From: "a"})
		for _, outgoing := range owner.Tick(now, "s", []string{"a", "b"}) {
			if outgoing.To == "b" && step < 40 {
				continue // b is not reached
			}
			owner.Ack(members[outgoing.To].Apply(now, outgoing.Update))
		}
		if shed := members["a"].Floor(now, "s").ShedFrom; step < 40 && shed < lowest {
			t.Fatalf("rank %d may be shed before b acknowledged", shed)
		}
	}
	if shed := members["a"].Floor(now, "s").ShedFrom; shed != 1 {
		t.Fatalf("shed mark is %d after all acknowledged", shed)
	}
}
