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

// The deployment in which large configurations are sent to all nodes.
const (
	disseminationNodes = 24
	// Each wideLinkEvery-th node has a wide link.
	wideLinkEvery = 4
	// Bandwidths of links in megabits per second.
	narrowLinkMbps, wideLinkMbps, storeLinkMbps = 10, 200, 1000
	bitsPerMegabit                              = 1e6
)

// The configurations that are sent, and the bounds.
const (
	versionCount     = 4
	routesPerVersion = 1400
	// versionInterval is the time between two versions.
	versionInterval = 2 * time.Second
	// updateLimit bounds the time until an update is known to all nodes.
	updateLimit = 3 * time.Second
	// updateWatchTime is the time waited after the last version, to log how late updates are.
	updateWatchTime = 12 * time.Second
)

// disseminationZones are the zones of the nodes, assigned in turn.
var disseminationZones = []string{"east", "middle", "west"}

// disseminationScenario is a deployment of many nodes in three zones, most of them with narrow
// links, and plain replicas p1 and p2.
type disseminationScenario struct {
	*scenario
	nodes []string
	// addedRoutes are the routes added so far.
	addedRoutes []entrylab.Route
	// random generates routes.
	random *rand.Rand
	// writtenAt maps each version to the time of its write.
	writtenAt map[int64]time.Time
}

// runDissemination runs the test with narrow and wide links.
func runDissemination(t *testing.T, test func(s *disseminationScenario)) {
	t.Helper()
	runWithLinks(t, func(i int) float64 { return linkMbps(nodeName(i)) }, test)
}

// nodeName returns the name of the node with the zero-based index.
func nodeName(i int) string { return fmt.Sprint("n", i+1) }

// runWithLinks runs the test with links of the given bandwidths, in megabits per second.
func runWithLinks(t *testing.T, linkMbps func(i int) float64, test func(s *disseminationScenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := &disseminationScenario{
			scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()},
			random:   rand.New(rand.NewPCG(1, 2)), writtenAt: map[int64]time.Time{},
		}
		links := map[string]float64{}
		for i := range disseminationNodes {
			host := nodeName(i)
			s.nodes, links[host] = append(s.nodes, host), linkMbps(i)
			s.fabric.SetBandwidth(host, links[host]*bitsPerMegabit)
		}
		s.fabric.SetBandwidth("store", storeLinkMbps*bitsPerMegabit)
		s.start(s.nodes, disseminationZones, func(settings *entry.Settings) {
			settings.Cores, settings.LinkMbps = 1, links[settings.Name]
		})
		s.awaitReady()
		defer s.stop(s.nodes)
		time.Sleep(3 * time.Second) // lets the nodes agree on the scheduling node and the store watchers
		test(s)
	})
}

// linkMbps returns the bandwidth of the node's link in megabits per second.
func linkMbps(host string) float64 {
	var number int
	_, _ = fmt.Sscanf(host, "n%d", &number)
	if number%wideLinkEvery == 0 {
		return wideLinkMbps
	}
	return narrowLinkMbps
}

// narrowLinkNodes returns the first count nodes with a narrow link.
func (s *disseminationScenario) narrowLinkNodes(count int) []string {
	var names []string
	for _, host := range s.nodes {
		if linkMbps(host) == narrowLinkMbps && len(names) < count {
			names = append(names, host)
		}
	}
	return names
}

// randomRoute returns a route with names of realistic length.
func (s *disseminationScenario) randomRoute() entrylab.Route {
	return entrylab.Route{
		Name:       fmt.Sprintf("tenant-%04d-%08x-export", s.random.IntN(10_000), s.random.Uint32()),
		Host:       fmt.Sprintf("api-%08x.region-%d.service.example", s.random.Uint32(), s.random.IntN(9)),
		PathPrefix: fmt.Sprintf("/v%d/accounts/%08x/", 1+s.random.IntN(3), s.random.Uint32()),
		Kind:       []string{"safe", "unsafe"}[s.random.IntN(2)], Timeout: 1000 + s.random.IntN(9000), Target: 100 + s.random.IntN(900),
		Priority: s.random.IntN(3), Service: "registry", Attempts: 1 + s.random.IntN(2),
	}
}

// writeConfiguration writes a version with the routes added so far.
func (s *disseminationScenario) writeConfiguration() {
	s.configure(func(c *entrylab.Configuration) { c.Routes = append(c.Routes, s.addedRoutes...) })
	s.writtenAt[s.version] = time.Now()
}

// addRoutes adds random routes to the next version.
func (s *disseminationScenario) addRoutes(count int) {
	for range count {
		s.addedRoutes = append(s.addedRoutes, s.randomRoute())
	}
}

// writeVersions writes the large versions, one every versionInterval.
func (s *disseminationScenario) writeVersions() {
	for range versionCount {
		s.addRoutes(routesPerVersion)
		s.writeConfiguration()
		time.Sleep(versionInterval)
	}
}

// secondsSince returns the seconds from start to the event.
func (s *disseminationScenario) secondsSince(start time.Time, event eventlog.Event) float64 {
	at, err := time.Parse("2006-01-02T15:04:05.000Z", event.Time)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return at.Sub(start).Seconds()
}

// delays maps nodes to the seconds until an update reached them. Nodes that it did not reach are
// missing.
type delays map[string]float64

// recordFirst records the delay of the node unless a shorter one is recorded.
func (d delays) recordFirst(node string, seconds float64) {
	if before, known := d[node]; !known || seconds < before {
		d[node] = seconds
	}
}

// lateNodes returns a line for each node that the update reached after updateLimit or not at all.
func (s *disseminationScenario) lateNodes(update string, found delays) []string {
	var late []string
	for _, node := range s.nodes {
		seconds, known := found[node]
		switch {
		case !known:
			late = append(late, fmt.Sprintf("%s at %s: not received", update, node))
		case seconds > updateLimit.Seconds():
			late = append(late, fmt.Sprintf("%s at %s: after %.2f s", update, node, seconds))
		}
	}
	return late
}

// delaysUntilActive returns for each node the time until the version, or a newer one, was active.
func (s *disseminationScenario) delaysUntilActive(version int64) delays {
	found := delays{}
	for _, event := range s.loggedEvents("configuration") {
		if event.Outcome == "in-force" && event.Version >= version {
			found.recordFirst(event.Node, s.secondsSince(s.writtenAt[version], event))
		}
	}
	return found
}

// describeMax describes the longest delay, for the test's log.
func (d delays) describeMax() string {
	latest, longest := "", 0.0
	for name, seconds := range d {
		if seconds >= longest {
			latest, longest = name, seconds
		}
	}
	return fmt.Sprintf("%d nodes, the last one %s after %.2f s", len(d), latest, longest)
}

// Guards against replies with large configurations that saturate links until the pulls time out.
func TestLargeConfigurationsReachEveryNodeInTime(t *testing.T) {
	runDissemination(t, func(s *disseminationScenario) { s.expectDisseminationInTime(t) })
}

// expectDisseminationInTime writes the large versions and checks that each is active at all nodes
// within updateLimit.
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
	s.Expect(late).To(gomega.BeEmpty(), "configurations active later than %v after they were written", updateLimit)
}

// departureDelay is the time until the replica drains: shortly after the third version.
const departureDelay = 2*versionInterval + versionInterval/4

// Guards against replica updates that are delayed by large configurations in the same replies.
func TestDrainingReplicaIsAnnouncedDuringConfigurationDissemination(t *testing.T) {
	runDissemination(t, func(s *disseminationScenario) {
		var group sync.WaitGroup
		group.Go(s.writeVersions)
		time.Sleep(departureDelay)
		drained := time.Now()
		s.plainReplicas[0].Register(s.deployment.Store, "draining")
		group.Wait()
		time.Sleep(updateWatchTime)
		found := delays{}
		for _, event := range s.loggedEvents("replica") {
			if event.Replica == s.plainReplicas[0].ID && event.Outcome == "draining" {
				found.recordFirst(event.Node, s.secondsSince(drained, event))
			}
		}
		t.Logf("departure: %s", found.describeMax())
		s.Expect(s.lateNodes("departure", found)).To(gomega.BeEmpty(), "departures known later than %v after they were written", updateLimit)
	})
}

// Plain requests sent at a steady rate.
const (
	requestInterval   = 100 * time.Millisecond
	requestLimit      = time.Second
	requestNodes      = 8
	baselineRequests  = 25
	disseminationTime = (versionCount + 1) * versionInterval
	minAnsweredShare  = 0.95
)

// answeredShare sends requests to each of the nodes, one every requestInterval, and returns the
// share that was answered within requestLimit.
func (s *disseminationScenario) answeredShare(nodes []string, perNode int) float64 {
	var group sync.WaitGroup
	var mutex sync.Mutex
	inTime := 0
	for range perNode {
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
	return float64(inTime) / float64(perNode*len(nodes))
}

// Guards against requests that are delayed by configurations on the same connections and links.
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

// Bounds on the bytes sent within updateLimit of a small change of a large configuration.
const (
	maxBytesPerNode   = 40e3
	maxBytesFromStore = 20e6
)

// sentBytes returns the bytes that all nodes and the store have sent.
func (s *disseminationScenario) sentBytes() (nodes, store int64) {
	for _, host := range s.nodes {
		nodes += s.fabric.SentBytes(host)
	}
	return nodes, s.fabric.SentBytes("store")
}

// sentBytesWithinLimit returns the bytes that all nodes and the store send within updateLimit.
func (s *disseminationScenario) sentBytesWithinLimit() (nodes, store float64) {
	nodesBefore, storeBefore := s.sentBytes()
	time.Sleep(updateLimit)
	nodesAfter, storeAfter := s.sentBytes()
	return float64(nodesAfter - nodesBefore), float64(storeAfter - storeBefore)
}

// Guards against a small change that sends the complete configuration to every node.
func TestSmallChangeOfALargeConfigurationSendsFewBytes(t *testing.T) {
	runDissemination(t, func(s *disseminationScenario) {
		s.addRoutes(versionCount * routesPerVersion)
		s.writeConfiguration()
		time.Sleep(updateWatchTime) // lets the version reach all nodes
		s.Expect(s.delaysUntilActive(s.version)).To(gomega.HaveLen(disseminationNodes))
		baseline, baselineStore := s.sentBytesWithinLimit()
		s.addedRoutes[routesPerVersion/2].Timeout++
		s.writeConfiguration()
		sent, store := s.sentBytesWithinLimit()
		found := s.delaysUntilActive(s.version)
		t.Logf("a node sent %.1f kB for the change and %.1f kB in the same time before; the store %.1f MB and %.1f MB", (sent-baseline)/disseminationNodes/1e3, baseline/disseminationNodes/1e3, store/1e6, baselineStore/1e6)
		t.Logf("change: %s", found.describeMax())
		s.Expect((sent-baseline)/disseminationNodes).To(gomega.BeNumerically("<", maxBytesPerNode), "bytes per node for a change of one route")
		s.Expect(store).To(gomega.BeNumerically("<", maxBytesFromStore), "bytes sent by the store within %v of a change of one route", updateLimit)
		s.Expect(s.lateNodes("change of one route", found)).To(gomega.BeEmpty())
	})
}
