package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// inZone returns the nodes of the zone.
func (s *disseminationScenario) nodesInZone(zone string) []string {
	var names []string
	for i, host := range s.nodes {
		if disseminationZones[i%len(disseminationZones)] == zone {
			names = append(names, host)
		}
	}
	return names
}

func narrowLinks(int) float64 { return narrowLinkMbps }

// Where no node has a wide link, the nodes that follow the store have narrow ones too.
// Reading the whole store there as often as elsewhere would need twice the link.
func TestLargeConfigurationsReachEveryNodeOverNarrowLinks(t *testing.T) {
	runWithLinks(t, narrowLinks, func(s *disseminationScenario) { s.expectDisseminationInTime(t) })
}

// A zone that is cut off from the others still reaches the store. If none of its nodes
// has a wide link, one with a narrow link has to follow the store for it.
func TestPartitionedZoneWithNarrowLinksAppliesAChange(t *testing.T) {
	wide := func(i int) float64 {
		if i%wideLinkEvery == 0 && i%len(disseminationZones) != len(disseminationZones)-1 {
			return wideLinkMbps
		}
		return narrowLinkMbps
	}
	runWithLinks(t, wide, func(s *disseminationScenario) {
		s.addRoutes(versionCount * routesPerVersion)
		s.writeConfiguration()
		time.Sleep(updateWatchTime)
		s.Expect(s.delaysUntilActive(s.version)).To(gomega.HaveLen(disseminationNodes))
		alone := s.nodesInZone("west")
		s.fabric.CutGroups(alone, slices.Concat(s.nodesInZone("east"), s.nodesInZone("middle")))
		time.Sleep(8 * time.Second) // longer than any bound: the zone has found its own order
		s.addedRoutes[routesPerVersion/2].Timeout++
		s.writeConfiguration()
		time.Sleep(updateWatchTime)
		found := s.delaysUntilActive(s.version)
		t.Logf("change: %s", found.describeMax())
		s.Expect(s.lateNodes("change of one route", found)).To(gomega.BeEmpty())
	})
}
