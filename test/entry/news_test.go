package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
)

// The deployment in which large configurations spread.
const (
	newsNodes = 24
	// wideEvery is the distance between nodes with a wide link: six of the nodes.
	wideEvery = 4
	// Links in megabits a second.
	narrowLink, wideLink, storeLink = 10, 200, 1000
	bitsInMegabit                   = 1e6
)

// The configurations that spread.
const (
	largeVersions = 4
	routesAdded   = 1400
	// versionGap is the time between two versions, and newsLimit the time within
	// which news is to be known everywhere.
	versionGap = 2 * time.Second
	newsLimit  = 3 * time.Second
	// newsWatched is for how long after the last version news that is late is waited
	// for, to tell how late it is.
	newsWatched = 12 * time.Second
)

// newsZones are the zones of the nodes, in turns.
var newsZones = []string{"east", "middle", "west"}

// newsScene is a deployment of its own: many nodes in three zones, most of them with
// narrow links, and plain replicas p1 and p2.
type newsScene struct {
	*scene
	nodes []string
	// added are the routes that were added so far, and random makes their names.
	added  []entrylab.Route
	random *rand.Rand
	// written is when each version was written.
	written map[int64]time.Time
}

// playNews plays a test with links of both kinds.
func playNews(t *testing.T, test func(s *newsScene)) {
	t.Helper()
	playLinks(t, func(i int) float64 { return linkOf(nodeName(i)) }, test)
}

// nodeName returns the name of the node with the number, counted from zero.
func nodeName(i int) string { return fmt.Sprint("n", i+1) }

// playLinks starts the deployment with links of these bandwidths, in megabits a second,
// and plays the test.
func playLinks(t *testing.T, linkOf func(i int) float64, test func(s *newsScene)) {
	synctest.Test(t, func(t *testing.T) {
		s := &newsScene{
			scene:  &scene{WithT: gomega.NewWithT(t), fabric: memnet.New()},
			random: rand.New(rand.NewPCG(1, 2)), written: map[int64]time.Time{},
		}
		links := map[string]float64{}
		for i := range newsNodes {
			host := nodeName(i)
			s.nodes, links[host] = append(s.nodes, host), linkOf(i)
			s.fabric.SetBandwidth(host, links[host]*bitsInMegabit)
		}
		s.fabric.SetBandwidth("store", storeLink*bitsInMegabit)
		s.start(s.nodes, newsZones, func(settings *entry.Settings) {
			settings.Cores, settings.LinkMbps = 1, links[settings.Name]
		})
		s.awaitReady()
		defer s.stop(s.nodes)
		time.Sleep(3 * time.Second) // heartbeats settle who schedules and who follows the store
		test(s)
	})
}

// linkOf returns the bandwidth of the node in megabits a second.
func linkOf(host string) float64 {
	var number int
	_, _ = fmt.Sscanf(host, "n%d", &number)
	if number%wideEvery == 0 {
		return wideLink
	}
	return narrowLink
}

// narrow returns the first few nodes with a narrow link.
func (s *newsScene) narrow(count int) []string {
	var names []string
	for _, host := range s.nodes {
		if linkOf(host) == narrowLink && len(names) < count {
			names = append(names, host)
		}
	}
	return names
}

// route makes up a route whose names are as long as those in use.
func (s *newsScene) route() entrylab.Route {
	return entrylab.Route{
		Name:       fmt.Sprintf("tenant-%04d-%08x-export", s.random.IntN(10_000), s.random.Uint32()),
		Host:       fmt.Sprintf("api-%08x.region-%d.service.example", s.random.Uint32(), s.random.IntN(9)),
		PathPrefix: fmt.Sprintf("/v%d/accounts/%08x/", 1+s.random.IntN(3), s.random.Uint32()),
		Kind:       []string{"safe", "unsafe"}[s.random.IntN(2)], Timeout: 1000 + s.random.IntN(9000), Target: 100 + s.random.IntN(900),
		Priority: s.random.IntN(3), Service: "registry", Attempts: 1 + s.random.IntN(2),
	}
}

// write writes a version with the routes added so far.
func (s *newsScene) write() {
	s.configure(func(c *entrylab.Configuration) { c.Routes = append(c.Routes, s.added...) })
	s.written[s.version] = time.Now()
}

// add adds routes to the next version.
func (s *newsScene) add(count int) {
	for range count {
		s.added = append(s.added, s.route())
	}
}

// spread writes the large versions one after the other.
func (s *newsScene) spread() {
	for range largeVersions {
		s.add(routesAdded)
		s.write()
		time.Sleep(versionGap)
	}
}

// since returns the seconds from the time to the event.
func (s *newsScene) since(begun time.Time, event eventlog.Event) float64 {
	at, err := time.Parse("2006-01-02T15:04:05.000Z", event.Time)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return at.Sub(begun).Seconds()
}

// lateness is how long news took to each node, in seconds; nodes that it did not reach
// are missing.
type lateness map[string]float64

// note records the first time.
func (l lateness) note(node string, seconds float64) {
	if before, known := l[node]; !known || seconds < before {
		l[node] = seconds
	}
}

// late returns a line for each node that the news reached too late or not at all.
func (s *newsScene) late(what string, found lateness) []string {
	var late []string
	for _, node := range s.nodes {
		seconds, known := found[node]
		switch {
		case !known:
			late = append(late, fmt.Sprintf("%s at %s: not yet", what, node))
		case seconds > newsLimit.Seconds():
			late = append(late, fmt.Sprintf("%s at %s: after %.2f s", what, node, seconds))
		}
	}
	return late
}

// inForce returns how long the version, or a newer one, took at each node.
func (s *newsScene) inForce(version int64) lateness {
	found := lateness{}
	for _, event := range s.events("configuration") {
		if event.Outcome == "in-force" && event.Version >= version {
			found.note(event.Node, s.since(s.written[version], event))
		}
	}
	return found
}

// worst returns the longest of the times, for the test's log.
func (l lateness) worst() string {
	node, most := "", 0.0
	for name, seconds := range l {
		if seconds >= most {
			node, most = name, seconds
		}
	}
	return fmt.Sprintf("%d nodes, at the latest %s after %.2f s", len(l), node, most)
}

// A new version costs the whole document for each node: all ask the same few nodes at
// once, and the replies fill the links until nobody waits for them any more.
func TestLargeConfigurationsReachEveryNodeInTime(t *testing.T) {
	playNews(t, func(s *newsScene) { s.expectSpreadInTime(t) })
}

// expectSpreadInTime writes the large versions and demands that each is in force
// everywhere in time.
func (s *newsScene) expectSpreadInTime(t *testing.T) {
	t.Helper()
	s.spread()
	time.Sleep(newsWatched)
	var late []string
	for version := s.version - largeVersions + 1; version <= s.version; version++ {
		found := s.inForce(version)
		t.Logf("version %d: %s", version, found.worst())
		late = append(late, s.late(fmt.Sprint("version ", version), found)...)
	}
	s.Expect(late).To(gomega.BeEmpty(), "configurations in force later than %v after they were written", newsLimit)
}

// departureAfter is when the replica leaves: shortly after the third of the versions.
const departureAfter = 2*versionGap + versionGap/4

// News of replicas travels in the replies that carry configurations.
func TestDepartureIsKnownWhileLargeConfigurationsSpread(t *testing.T) {
	playNews(t, func(s *newsScene) {
		var group sync.WaitGroup
		group.Go(s.spread)
		time.Sleep(departureAfter)
		begun := time.Now()
		s.plain[0].Register(s.lab.Store, "draining")
		group.Wait()
		time.Sleep(newsWatched)
		found := lateness{}
		for _, event := range s.events("replica") {
			if event.Replica == s.plain[0].ID && event.Outcome == "draining" {
				found.note(event.Node, s.since(begun, event))
			}
		}
		t.Logf("departure: %s", found.worst())
		s.Expect(s.late("departure", found)).To(gomega.BeEmpty(), "departures known later than %v after they were written", newsLimit)
	})
}

// Plain requests sent steadily.
const (
	requestGap    = 100 * time.Millisecond
	requestLimit  = time.Second
	requestNodes  = 8
	calmRequests  = 25
	spreadTime    = (largeVersions + 1) * versionGap
	leastAnswered = 0.95
)

// ask sends the requests steadily to each of the nodes, and returns the share that was
// answered in time.
func (s *newsScene) ask(nodes []string, each int) float64 {
	var group sync.WaitGroup
	var mutex sync.Mutex
	inTime := 0
	for range each {
		for _, node := range nodes {
			group.Go(func() {
				got := s.get(node, http.MethodGet, "/safe/", nil)
				mutex.Lock()
				defer mutex.Unlock()
				if got.status == http.StatusOK && got.whole && got.took < requestLimit {
					inTime++
				}
			})
		}
		time.Sleep(requestGap)
	}
	group.Wait()
	return float64(inTime) / float64(each*len(nodes))
}

// Placements travel to the scheduling node by the connections that carry news, and
// requests and answers by the links that news fills.
func TestLargeConfigurationDoesNotHoldUpPlainRequests(t *testing.T) {
	playNews(t, func(s *newsScene) {
		nodes := s.narrow(requestNodes)
		s.Expect(s.ask(nodes, calmRequests)).To(gomega.Equal(1.0), "answered in time before the configurations")
		var group sync.WaitGroup
		group.Go(s.spread)
		share := s.ask(nodes, int(spreadTime/requestGap))
		group.Wait()
		t.Logf("answered within %v: %.1f %%", requestLimit, share*100)
		s.Expect(share).To(gomega.BeNumerically(">=", leastAnswered), "share of requests answered within %v", requestLimit)
	})
}

// What a small change of a large configuration may cost within newsLimit.
const (
	bytesANode     = 40e3
	bytesFromStore = 20e6
)

// sent returns the bytes that all nodes and the store have sent.
func (s *newsScene) sent() (nodes, store int64) {
	for _, host := range s.nodes {
		nodes += s.fabric.Sent(host)
	}
	return nodes, s.fabric.Sent("store")
}

// cost returns the bytes that all nodes and the store send within newsLimit.
func (s *newsScene) cost() (nodes, store float64) {
	nodesBefore, storeBefore := s.sent()
	time.Sleep(newsLimit)
	nodesAfter, storeAfter := s.sent()
	return float64(nodesAfter - nodesBefore), float64(storeAfter - storeBefore)
}

func TestSmallChangeOfLargeConfigurationCostsLittle(t *testing.T) {
	playNews(t, func(s *newsScene) {
		s.add(largeVersions * routesAdded)
		s.write()
		time.Sleep(newsWatched) // virtual time, until the version is everywhere
		s.Expect(s.inForce(s.version)).To(gomega.HaveLen(newsNodes))
		calm, calmStore := s.cost()
		s.added[routesAdded/2].Timeout++
		s.write()
		busy, store := s.cost()
		found := s.inForce(s.version)
		t.Logf("a node sent %.1f kB for the change and %.1f kB in the same time before; the store %.1f MB and %.1f MB", (busy-calm)/newsNodes/1e3, calm/newsNodes/1e3, store/1e6, calmStore/1e6)
		t.Logf("change: %s", found.worst())
		s.Expect((busy-calm)/newsNodes).To(gomega.BeNumerically("<", bytesANode), "bytes a node sent for a change of one route")
		s.Expect(store).To(gomega.BeNumerically("<", bytesFromStore), "bytes the store sent within %v of a change of one route", newsLimit)
		s.Expect(s.late("change of one route", found)).To(gomega.BeEmpty())
	})
}
