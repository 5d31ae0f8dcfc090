package admission

import (
	"testing"

	"github.com/onsi/gomega"
)

// Work stays in its zone, then in its region, for as long as that is not far more loaded: what goes
// between regions was most of what a laboratory's busy day paid for.
func TestRequestsStayInTheirRegionWhileSlotsAreFree(t *testing.T) {
	g := gomega.NewWithT(t)
	s := New()
	s.SetRegions(map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
	all := replicasWithSlots(4, 4, 4)
	for i, zone := range []string{"south-a", "north-b", "north-a"} {
		all[i].Zone = zone
	}
	s.SetReplicas(0, all)
	used := func() []int {
		return []int{s.replicaStates["r0"].assigned, s.replicaStates["r1"].assigned, s.replicaStates["r2"].assigned}
	}
	for range 8 {
		asking := newRequest("q"+string(rune('a'+len(s.assignments))), 0)
		asking.Zone = "north-a"
		s.Submit(0, asking)
		s.Decide(0)
	}
	g.Expect(used()).To(gomega.Equal([]int{0, 4, 4}))
	asking := newRequest("last", 0)
	asking.Zone = "north-a"
	s.Submit(0, asking)
	g.Expect(assignedIDs(s.Decide(0))).To(gomega.Equal([]string{"last"}), "rather far away than not at all")
	g.Expect(used()).To(gomega.Equal([]int{1, 4, 4}))
}
