package admission

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/state/replicas"
)

// Guards against a suspect view that differs from a plain search of the lists, also after assignments
// and after replicas were added and removed.
func TestSuspectViewMatchesSearchByID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 8).Draw(t, "replicas")
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "replica")) })
		s := New()
		s.SetReplicas(0, replicasWithSlots(slices.Repeat([]int{2}, count)...))
		for round := range 3 {
			s.SetEjected(map[string]bool{id.Draw(t, "ejected"): true})
			for i := range rapid.IntRange(0, 6).Draw(t, "requests") {
				request := newRequest(fmt.Sprint(round, "-", i), 1)
				request.Node = fmt.Sprint("n", i%2)
				request.Doubted = rapid.SliceOfN(id, 0, 6).Draw(t, "suspected")
				s.Submit(0, request)
			}
			snapshot := s.snapshot(0, "s")
			for _, queued := range s.pool("s").queue {
				checkSuspectView(t, s, snapshot, queued)
			}
			if len(snapshot.replicas) > 0 {
				replica := snapshot.replicas[rapid.IntRange(0, len(snapshot.replicas)-1).Draw(t, "assigned")]
				if replica.inFlight < replica.maxInFlight {
					replica.inFlight++
					snapshot.updateCounts(replica)
				}
			}
			for _, queued := range s.pool("s").queue {
				checkSuspectView(t, s, snapshot, queued)
			}
			removed := rapid.IntRange(0, count).Draw(t, "removed")
			s.SetReplicas(0, slices.DeleteFunc(replicasWithSlots(slices.Repeat([]int{2}, count)...), func(r replicas.Replica) bool { return r.ID == fmt.Sprint("r", removed) }))
		}
	})
}

// checkSuspectView compares the view of the request with a search of its list by ID.
func checkSuspectView(t *rapid.T, s *Scheduler, snapshot *poolSnapshot, request *queuedRequest) {
	view := s.suspectView(snapshot, request.suspects)
	free, preferred := 0, 0
	for _, replica := range snapshot.replicas {
		isPreferred := !replica.isUnhealthy && !slices.Contains(request.Doubted, replica.state.entry.ID)
		if snapshot.isPreferred(view, replica) != isPreferred {
			t.Fatalf("%s: preferred %v, by search %v", replica.state.entry.ID, !isPreferred, isPreferred)
		}
		if isPreferred {
			preferred++
			free += max(0, replica.maxInFlight-replica.inFlight)
		}
	}
	if view.freeSlots != free || view.preferredReplicas != preferred {
		t.Fatalf("%d free slots at %d preferred replicas, by search %d at %d", view.freeSlots, view.preferredReplicas, free, preferred)
	}
	if snapshot.hasNoPreferredSlot(len(request.Doubted)) && (free > 0 || preferred == 0) {
		t.Fatalf("reports no preferred slot, by search %d free at %d replicas", free, preferred)
	}
}
