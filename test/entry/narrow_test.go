package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// inZone returns the nodes of the zone.
func (s *newsScene) inZone(zone string) []string {
	var names []string
	for i, host := range s.nodes {
		if newsZones[i%len(newsZones)] == zone {
			names = append(names, host)
		}
	}
	return names
}

func narrowEverywhere(int) float64 { return narrowLink }

// Where no node has a wide link, the nodes that follow the store have narrow ones too.
// Reading the whole store there as often as elsewhere would need twice the link.
func TestLargeConfigurationsReachEveryNodeWhereAllLinksAreNarrow(t *testing.T) {
	playLinks(t, narrowEverywhere, func(s *newsScene) { s.expectSpreadInTime(t) })
}

// A zone that is cut off from the others still reaches the store. If none of its nodes
// has a wide link, one with a narrow link has to follow the store for it.
func TestZoneOfNarrowLinksTakesAChangeWhileItIsCutOffFromTheOthers(t *testing.T) {
	wide := func(i int) float64 {
		if i%wideEvery == 0 && i%len(newsZones) != len(newsZones)-1 {
			return wideLink
		}
		return narrowLink
	}
	playLinks(t, wide, func(s *newsScene) {
		s.add(largeVersions * routesAdded)
		s.write()
		time.Sleep(newsWatched)
		s.Expect(s.inForce(s.version)).To(gomega.HaveLen(newsNodes))
		alone := s.inZone("west")
		s.fabric.CutGroups(alone, slices.Concat(s.inZone("east"), s.inZone("middle")))
		time.Sleep(8 * time.Second) // longer than any bound: the zone has found its own order
		s.added[routesAdded/2].Timeout++
		s.write()
		time.Sleep(newsWatched)
		found := s.inForce(s.version)
		t.Logf("change: %s", found.worst())
		s.Expect(s.late("change of one route", found)).To(gomega.BeEmpty())
	})
}
