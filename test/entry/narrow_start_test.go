package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// restartGap is the time within which all machines start, and recoveryLimit the time in
// which they have to serve again.
const (
	restartGap    = 300 * time.Millisecond
	recoveryLimit = 12 * time.Second
)

// After a loss of power all nodes start at once and nobody has the configuration. Where
// no link is wide, nodes read a version from the store while they fetch it from a peer,
// and are asked for its parts themselves. A node that is asked for a part that it lacks
// must not end, and with it this test's process.
func TestAllNodesWithNarrowLinksStartAgainWithALargeConfiguration(t *testing.T) {
	playLinks(t, narrowEverywhere, func(s *newsScene) {
		s.add(largeVersions * routesAdded)
		s.write()
		time.Sleep(newsWatched)
		for _, host := range s.nodes {
			s.lab.Node(host).Kill()
		}
		time.Sleep(time.Second)
		_, before := s.sent()
		begun := time.Now()
		for i, host := range s.nodes {
			s.Expect(s.lab.StartNode(host, newsZones[i%len(newsZones)])).To(gomega.Succeed())
			time.Sleep(restartGap / newsNodes)
		}
		ready := lateness{}
		for ; time.Since(begun) < recoveryLimit && len(ready) < newsNodes; time.Sleep(lookInterval) {
			for _, host := range s.nodes {
				if s.lab.Node(host).Ready() {
					ready.note(host, time.Since(begun).Seconds())
				}
			}
		}
		_, after := s.sent()
		t.Logf("ready: %s; the store sent %.1f MB", ready.worst(), float64(after-before)/1e6)
		s.Expect(ready).To(gomega.HaveLen(newsNodes), "nodes that are ready within %v of the start", recoveryLimit)
	})
}

// quickStart is the time after the start of the last process within which all have a
// small configuration.
const quickStart = 150 * time.Millisecond

// After a loss of power nodes with narrow links waited for their peers to send a
// configuration that fits into an answer of the store.
func TestAllNodesWithNarrowLinksStartAgainWithASmallConfigurationAtOnce(t *testing.T) {
	playLinks(t, narrowEverywhere, func(s *newsScene) {
		for _, host := range s.nodes {
			s.lab.Node(host).Kill()
		}
		time.Sleep(time.Second)
		for i, host := range s.nodes {
			s.Expect(s.lab.StartNode(host, newsZones[i%len(newsZones)])).To(gomega.Succeed())
		}
		time.Sleep(quickStart)
		for _, host := range s.nodes {
			s.Expect(s.lab.Node(host).Status().Version).To(gomega.Equal(s.version), host)
		}
	})
}
