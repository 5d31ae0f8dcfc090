package admission

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/state/replicas"
)

// What a round believes of the lists of doubted replicas is what a search by name would
// say, also after places were given and while replicas come and go.
func TestSuspectViewMatchesSearchByID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "replicas")
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "replica")) })
		s := New()
		s.SetReplicas(0, replicasWithSlots(slices.Repeat([]int{2}, count)...))
		for round := range 3 {
			s.SetEjected(map[string]bool{id.Draw(t, "avoided"): true})
			for i := range rapid.IntRange(0, 6).Draw(t, "requests") {
				asked := newRequest(fmt.Sprint(round, "-", i), 1)
				asked.Node = fmt.Sprint("n", i%2)
				asked.Doubted = rapid.SliceOfN(id, 0, 6).Draw(t, "doubted")
				s.Submit(0, asked)
			}
			room := s.snapshot(0, "s")
			for _, held := range s.pool("s").queue {
				checkSuspectView(t, s, room, held)
			}
			if len(room.replicas) > 0 {
				chosen := room.replicas[rapid.IntRange(0, len(room.replicas)-1).Draw(t, "given")]
				if chosen.inFlight < chosen.maxInFlight {
					chosen.inFlight++
					room.recordAssigned(chosen)
				}
			}
			for _, held := range s.pool("s").queue {
				checkSuspectView(t, s, room, held)
			}
			gone := rapid.IntRange(0, count).Draw(t, "left")
			s.SetReplicas(0, slices.DeleteFunc(replicasWithSlots(slices.Repeat([]int{2}, count)...), func(r replicas.Replica) bool { return r.ID == fmt.Sprint("r", gone) }))
		}
	})
}

func checkSuspectView(t *rapid.T, s *Scheduler, room *poolSnapshot, held *queuedRequest) {
	view := s.suspectView(room, held.suspects)
	free, trusted := 0, 0
	for _, choice := range room.replicas {
		trusts := !choice.isUnhealthy && !slices.Contains(held.Doubted, choice.state.entry.ID)
		if room.isPreferred(view, choice) != trusts {
			t.Fatalf("%s: trusted %v, by name %v", choice.state.entry.ID, !trusts, trusts)
		}
		if trusts {
			trusted++
			free += max(0, choice.maxInFlight-choice.inFlight)
		}
	}
	if view.freeSlots != free || view.preferredReplicas != trusted {
		t.Fatalf("%d free at %d replicas, by name %d at %d", view.freeSlots, view.preferredReplicas, free, trusted)
	}
	if room.hasNoPreferredSlot(len(held.Doubted)) && (free > 0 || trusted == 0) {
		t.Fatalf("takes none for free, by name %d at %d replicas", free, trusted)
	}
}
