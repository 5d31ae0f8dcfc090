package admission

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against traffic to other zones and regions while replicas of the request's region have free slots.
func TestRequestsStayInTheirRegionWhileSlotsAreFree(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetRegions(map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
	all := replicasWithSlots(4, 4, 4)
	for i, zone := range []string{"south-a", "north-b", "north-a"} {
		all[i].Zone = zone
	}
	s.SetReplicas(0, all)
	assigned := func() []int {
		return []int{s.replicaStates["r0"].assigned, s.replicaStates["r1"].assigned, s.replicaStates["r2"].assigned}
	}
	for range 8 {
		request := newRequest("q"+string(rune('a'+len(s.assignments))), 0)
		request.Zone = "north-a"
		s.Submit(0, request)
		s.Decide(0)
	}
	g.Expect(assigned()).To(gomega.Equal([]int{0, 4, 4}))
	request := newRequest("last", 0)
	request.Zone = "north-a"
	s.Submit(0, request)
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"last"}), "another region is used if the own one is full")
	g.Expect(assigned()).To(gomega.Equal([]int{1, 4, 4}))
}
