package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// nodesInZone returns the nodes of the zone.
func (s *disseminationScenario) nodesInZone(zone string) []string {
	var names []string
	for i, host := range s.nodes {
		if disseminationZones[i%len(disseminationZones)] == zone {
			names = append(names, host)
		}
	}
	return names
}

// narrowLinks gives every node a narrow link.
func narrowLinks(int) float64 { return narrowLinkMbps }

// Guards against watchers of the store whose complete reads exceed their narrow links.
func TestLargeConfigurationsReachEveryNodeOverNarrowLinks(t *testing.T) {
	runWithLinks(t, narrowLinks, func(s *disseminationScenario) { s.expectDisseminationInTime(t) })
}

// Guards against a partitioned zone in which no node watches the store because all links are
// narrow.
func TestPartitionedZoneWithNarrowLinksAppliesAChange(t *testing.T) {
	wideOutsideWest := func(i int) float64 {
		if i%wideLinkEvery == 0 && i%len(disseminationZones) != len(disseminationZones)-1 {
			return wideLinkMbps
		}
		return narrowLinkMbps
	}
	runWithLinks(t, wideOutsideWest, func(s *disseminationScenario) {
		s.addRoutes(versionCount * routesPerVersion)
		s.writeConfiguration()
		time.Sleep(updateWatchTime)
		s.Expect(s.delaysUntilActive(s.version)).To(gomega.HaveLen(disseminationNodes))
		partitioned := s.nodesInZone("west")
		s.fabric.Partition(partitioned, slices.Concat(s.nodesInZone("east"), s.nodesInZone("middle")))
		time.Sleep(8 * time.Second) // lets the zone elect its own scheduling node and store watchers
		s.addedRoutes[routesPerVersion/2].Timeout++
		s.writeConfiguration()
		time.Sleep(updateWatchTime)
		found := s.delaysUntilActive(s.version)
		t.Logf("change: %s", found.describeMax())
		s.Expect(s.lateNodes("change of one route", found)).To(gomega.BeEmpty())
	})
}
