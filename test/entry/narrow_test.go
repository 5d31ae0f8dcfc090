package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/transport/network"
)

// newsZones are the zones of the nodes, in turns.
var newsZones = []string{"east", "middle", "west"}

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

// playLinks is playNews with links of other bandwidths, in megabits a second.
func playLinks(t *testing.T, linkOf func(i int) float64, test func(s *newsScene)) {
	synctest.Test(t, func(t *testing.T) {
		s := &newsScene{
			scene:  &scene{WithT: gomega.NewWithT(t), fabric: memnet.New()},
			random: rand.New(rand.NewPCG(1, 2)), written: map[int64]time.Time{},
		}
		links := map[string]float64{}
		for i := range newsNodes {
			host := fmt.Sprint("n", i+1)
			s.nodes, links[host] = append(s.nodes, host), linkOf(i)
			s.fabric.SetBandwidth(host, links[host]*bitsInMegabit)
		}
		s.fabric.SetBandwidth("store", storeLink*bitsInMegabit)
		var err error
		s.lab, err = entrylab.Start(entrylab.Options{
			Hosts: s.nodes, Zones: newsZones, StoreHost: "store",
			Network:   func(host string) network.Network { return s.fabric.Host(host) },
			Datagrams: s.fabric.Datagrams, Log: &s.lines,
			Adjust: func(settings *entry.Settings) { settings.Cores, settings.Link = 1, links[settings.Name] },
		})
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.configure(nil)
		for _, host := range []string{"p1", "p2"} {
			s.plain = append(s.plain, s.replica(host, "registry", 0, 20*time.Millisecond))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s.Expect(s.lab.AwaitReady(ctx)).To(gomega.BeTrue())
		cancel()
		defer func() {
			s.fabric.Heal()
			s.lab.Stop()
			time.Sleep(time.Minute) // virtual time, in which everything ends
		}()
		time.Sleep(3 * time.Second) // heartbeats settle who schedules and who follows the store
		test(s)
	})
}

func narrowEverywhere(int) float64 { return narrowLink }

// Where no node has a wide link, the nodes that follow the store have narrow ones too.
// The first of them reads the store whole every 0.9 s, which takes twice as long.
func TestLargeConfigurationsReachEveryNodeWhereAllLinksAreNarrow(t *testing.T) {
	playLinks(t, narrowEverywhere, func(s *newsScene) {
		s.spread()
		time.Sleep(newsWatched)
		var late []string
		for version := s.version - largeVersions + 1; version <= s.version; version++ {
			found := s.inForce(version)
			t.Logf("version %d: %s", version, found.worst())
			late = append(late, s.late(fmt.Sprint("version ", version), found)...)
		}
		s.Expect(late).To(gomega.BeEmpty(), "configurations in force later than %v after they were written", newsLimit)
	})
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
