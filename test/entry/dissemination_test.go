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
	disseminationNodes = 24
	// wideEvery is the distance between nodes with a wide link: six of the nodes.
	wideLinkEvery = 4
	// Links in megabits a second.
	narrowLinkMbps, wideLinkMbps, storeLinkMbps = 10, 200, 1000
	bitsPerMegabit                              = 1e6
)

// The configurations that spread.
const (
	versionCount     = 4
	routesPerVersion = 1400
	// versionGap is the time between two versions, and newsLimit the time within
	// which news is to be known everywhere.
	versionInterval = 2 * time.Second
	updateLimit     = 3 * time.Second
	// newsWatched is for how long after the last version news that is late is waited
	// for, to tell how late it is.
	updateWatchTime = 12 * time.Second
)

// newsZones are the zones of the nodes, in turns.
var disseminationZones = []string{"east", "middle", "west"}

// newsScene is a deployment of its own: many nodes in three zones, most of them with
// narrow links, and plain replicas p1 and p2.
type disseminationScenario struct {
	*scenario
	nodes []string
	// added are the routes that were added so far, and random makes their names.
	addedRoutes []entrylab.Route
	random      *rand.Rand
	// written is when each version was written.
	writtenAt map[int64]time.Time
}

// playNews plays a test with links of both kinds.
func runDissemination(t *testing.T, test func(s *disseminationScenario)) {
	t.Helper()
	runWithLinks(t, func(i int) float64 { return linkMbps(nodeName(i)) }, test)
}

// nodeName returns the name of the node with the number, counted from zero.
func nodeName(i int) string { return fmt.Sprint("n", i+1) }

// playLinks starts the deployment with links of these bandwidths, in megabits a second,
// and plays the test.
func runWithLinks(t *testing.T, linkOf func(i int) float64, test func(s *disseminationScenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := &disseminationScenario{
			scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()},
			random:   rand.New(rand.NewPCG(1, 2)), writtenAt: map[int64]time.Time{},
		}
		links := map[string]float64{}
		for i := range disseminationNodes {
			host := nodeName(i)
			s.nodes, links[host] = append(s.nodes, host), linkOf(i)
			s.fabric.SetBandwidth(host, links[host]*bitsPerMegabit)
		}
		s.fabric.SetBandwidth("store", storeLinkMbps*bitsPerMegabit)
		s.start(s.nodes, disseminationZones, func(settings *entry.Settings) {
			settings.Cores, settings.LinkMbps = 1, links[settings.Name]
		})
		s.awaitReady()
		defer s.stop(s.nodes)
		time.Sleep(3 * time.Second) // heartbeats settle who schedules and who follows the store
		test(s)
	})
}

// linkOf returns the bandwidth of the node in megabits a second.
func linkMbps(host string) float64 {
	var number int
	_, _ = fmt.Sscanf(host, "n%d", &number)
	if number%wideLinkEvery == 0 {
		return wideLinkMbps
	}
	return narrowLinkMbps
}

// narrow returns the first few nodes with a narrow link.
func (s *disseminationScenario) narrowLinkNodes(count int) []string {
	var names []string
	for _, host := range s.nodes {
		if linkMbps(host) == narrowLinkMbps && len(names) < count {
			names = append(names, host)
		}
	}
	return names
}

// route makes up a route whose names are as long as those in use.
func (s *disseminationScenario) randomRoute() entrylab.Route {
	return entrylab.Route{
		Name:       fmt.Sprintf("tenant-%04d-%08x-export", s.random.IntN(10_000), s.random.Uint32()),
		Host:       fmt.Sprintf("api-%08x.region-%d.service.example", s.random.Uint32(), s.random.IntN(9)),
		PathPrefix: fmt.Sprintf("/v%d/accounts/%08x/", 1+s.random.IntN(3), s.random.Uint32()),
		Kind:       []string{"safe", "unsafe"}[s.random.IntN(2)], Timeout: 1000 + s.random.IntN(9000), Target: 100 + s.random.IntN(900),
		Priority: s.random.IntN(3), Service: "registry", Attempts: 1 + s.random.IntN(2),
	}
}

// write writes a version with the routes added so far.
func (s *disseminationScenario) writeConfiguration() {
	s.configure(func(c *entrylab.Configuration) { c.Routes = append(c.Routes, s.addedRoutes...) })
	s.writtenAt[s.version] = time.Now()
}

// add adds routes to the next version.
func (s *disseminationScenario) addRoutes(count int) {
	for range count {
		s.addedRoutes = append(s.addedRoutes, s.randomRoute())
	}
}

// spread writes the large versions one after the other.
func (s *disseminationScenario) writeVersions() {
	for range versionCount {
		s.addRoutes(routesPerVersion)
		s.writeConfiguration()
		time.Sleep(versionInterval)
	}
}

// since returns the seconds from the time to the event.
func (s *disseminationScenario) secondsSince(begun time.Time, event eventlog.Event) float64 {
	at, err := time.Parse("2006-01-02T15:04:05.000Z", event.Time)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return at.Sub(begun).Seconds()
}

// lateness is how long news took to each node, in seconds; nodes that it did not reach
// are missing.
type delays map[string]float64

// note records the first time.
func (l delays) recordFirst(node string, seconds float64) {
	if before, known := l[node]; !known || seconds < before {
		l[node] = seconds
	}
}

// late returns a line for each node that the news reached too late or not at all.
func (s *disseminationScenario) lateNodes(what string, found delays) []string {
	var late []string
	for _, node := range s.nodes {
		seconds, known := found[node]
		switch {
		case !known:
			late = append(late, fmt.Sprintf("%s at %s: not yet", what, node))
		case seconds > updateLimit.Seconds():
			late = append(late, fmt.Sprintf("%s at %s: after %.2f s", what, node, seconds))
		}
	}
	return late
}

// inForce returns how long the version, or a newer one, took at each node.
func (s *disseminationScenario) delaysUntilActive(version int64) delays {
	found := delays{}
	for _, event := range s.loggedEvents("configuration") {
		if event.Outcome == "in-force" && event.Version >= version {
			found.recordFirst(event.Node, s.secondsSince(s.writtenAt[version], event))
		}
	}
	return found
}

// worst returns the longest of the times, for the test's log.
func (l delays) describeMax() string {
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
	runDissemination(t, func(s *disseminationScenario) { s.expectDisseminationInTime(t) })
}

// expectSpreadInTime writes the large versions and demands that each is in force
// everywhere in time.
func (s *disseminationScenario) expectDisseminationInTime(t *testing.T) {
	t.Helper()
	s.writeVersions()
	time.Sleep(updateWatchTime)
	var late []string
	for version := s.version - versionCount + 1; version <= s.version; version++ {
		found := s.delaysUntilActive(version)
		t.Logf("version %d: %s", version, found.describeMax())
		late = append(late, s.lateNodes(fmt.Sprint("version ", version), found)...)
	}
	s.Expect(late).To(gomega.BeEmpty(), "configurations in force later than %v after they were written", updateLimit)
}

// departureAfter is when the replica leaves: shortly after the third of the versions.
const departureDelay = 2*versionInterval + versionInterval/4

// News of replicas travels in the replies that carry configurations.
func TestDrainingReplicaIsAnnouncedDuringConfigurationDissemination(t *testing.T) {
	runDissemination(t, func(s *disseminationScenario) {
		var group sync.WaitGroup
		group.Go(s.writeVersions)
		time.Sleep(departureDelay)
		begun := time.Now()
		s.plainReplicas[0].Register(s.deployment.Store, "draining")
		group.Wait()
		time.Sleep(updateWatchTime)
		found := delays{}
		for _, event := range s.loggedEvents("replica") {
			if event.Replica == s.plainReplicas[0].ID && event.Outcome == "draining" {
				found.recordFirst(event.Node, s.secondsSince(begun, event))
			}
		}
		t.Logf("departure: %s", found.describeMax())
		s.Expect(s.lateNodes("departure", found)).To(gomega.BeEmpty(), "departures known later than %v after they were written", updateLimit)
	})
}

// Plain requests sent steadily.
const (
	requestInterval   = 100 * time.Millisecond
	requestLimit      = time.Second
	requestNodes      = 8
	baselineRequests  = 25
	disseminationTime = (versionCount + 1) * versionInterval
	minAnsweredShare  = 0.95
)

// ask sends the requests steadily to each of the nodes, and returns the share that was
// answered in time.
func (s *disseminationScenario) answeredShare(nodes []string, each int) float64 {
	var group sync.WaitGroup
	var mutex sync.Mutex
	inTime := 0
	for range each {
		for _, node := range nodes {
			group.Go(func() {
				got := s.do(node, http.MethodGet, "/safe/", nil)
				mutex.Lock()
				defer mutex.Unlock()
				if got.status == http.StatusOK && got.complete && got.took < requestLimit {
					inTime++
				}
			})
		}
		time.Sleep(requestInterval)
	}
	group.Wait()
	return float64(inTime) / float64(each*len(nodes))
}

// Placements travel to the scheduling node by the connections that carry news, and
// requests and answers by the links that news fills.
func TestLargeConfigurationDoesNotDelayPlainRequests(t *testing.T) {
	runDissemination(t, func(s *disseminationScenario) {
		nodes := s.narrowLinkNodes(requestNodes)
		s.Expect(s.answeredShare(nodes, baselineRequests)).To(gomega.Equal(1.0), "answered in time before the configurations")
		var group sync.WaitGroup
		group.Go(s.writeVersions)
		share := s.answeredShare(nodes, int(disseminationTime/requestInterval))
		group.Wait()
		t.Logf("answered within %v: %.1f %%", requestLimit, share*100)
		s.Expect(share).To(gomega.BeNumerically(">=", minAnsweredShare), "share of requests answered within %v", requestLimit)
	})
}

// What a small change of a large configuration may cost within newsLimit.
const (
	maxBytesPerNode   = 40e3
	maxBytesFromStore = 20e6
)

// sent returns the bytes that all nodes and the store have sent.
func (s *disseminationScenario) sentBytes() (nodes, store int64) {
	for _, host := range s.nodes {
		nodes += s.fabric.Sent(host)
	}
	return nodes, s.fabric.Sent("store")
}

// cost returns the bytes that all nodes and the store send within newsLimit.
func (s *disseminationScenario) sentBytesWithinLimit() (nodes, store float64) {
	nodesBefore, storeBefore := s.sentBytes()
	time.Sleep(updateLimit)
	nodesAfter, storeAfter := s.sentBytes()
	return float64(nodesAfter - nodesBefore), float64(storeAfter - storeBefore)
}

func TestSmallChangeOfALargeConfigurationSendsFewBytes(t *testing.T) {
	runDissemination(t, func(s *disseminationScenario) {
		s.addRoutes(versionCount * routesPerVersion)
		s.writeConfiguration()
		time.Sleep(updateWatchTime) // virtual time, until the version is everywhere
		s.Expect(s.delaysUntilActive(s.version)).To(gomega.HaveLen(disseminationNodes))
		calm, calmStore := s.sentBytesWithinLimit()
		s.addedRoutes[routesPerVersion/2].Timeout++
		s.writeConfiguration()
		busy, store := s.sentBytesWithinLimit()
		found := s.delaysUntilActive(s.version)
		t.Logf("a node sent %.1f kB for the change and %.1f kB in the same time before; the store %.1f MB and %.1f MB", (busy-calm)/disseminationNodes/1e3, calm/disseminationNodes/1e3, store/1e6, calmStore/1e6)
		t.Logf("change: %s", found.describeMax())
		s.Expect((busy-calm)/disseminationNodes).To(gomega.BeNumerically("<", maxBytesPerNode), "bytes a node sent for a change of one route")
		s.Expect(store).To(gomega.BeNumerically("<", maxBytesFromStore), "bytes the store sent within %v of a change of one route", updateLimit)
		s.Expect(s.lateNodes("change of one route", found)).To(gomega.BeEmpty())
	})
}
