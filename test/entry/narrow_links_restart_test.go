package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// restartSpread is the time within which all nodes start.
	restartSpread = 300 * time.Millisecond
	// recoveryLimit bounds the time from the first start until all nodes are ready.
	recoveryLimit = 12 * time.Second
)

// Guards against a crash of a node when a peer pulls a part that it lacks: after a loss of power
// nodes read a configuration from the store while they and others pull it from peers.
func TestAllNodesWithNarrowLinksRestartWithALargeConfiguration(t *testing.T) {
	runWithLinks(t, narrowLinks, func(s *disseminationScenario) {
		s.addRoutes(versionCount * routesPerVersion)
		s.writeConfiguration()
		time.Sleep(updateWatchTime)
		for _, host := range s.nodes {
			s.deployment.Node(host).Kill()
		}
		time.Sleep(time.Second)
		_, before := s.sentBytes()
		started := time.Now()
		for i, host := range s.nodes {
			s.Expect(s.deployment.StartNode(host, disseminationZones[i%len(disseminationZones)])).To(gomega.Succeed())
			time.Sleep(restartSpread / disseminationNodes)
		}
		ready := delays{}
		for ; time.Since(started) < recoveryLimit && len(ready) < disseminationNodes; time.Sleep(sampleInterval) {
			for _, host := range s.nodes {
				if s.deployment.Node(host).Ready() {
					ready.recordFirst(host, time.Since(started).Seconds())
				}
			}
		}
		_, after := s.sentBytes()
		t.Logf("ready: %s; the store sent %.1f MB", ready.describeMax(), float64(after-before)/1e6)
		s.Expect(ready).To(gomega.HaveLen(disseminationNodes), "nodes ready within %v of the start", recoveryLimit)
	})
}

// quickStartLimit bounds the time from the start of the last node until all nodes have a small
// configuration.
const quickStartLimit = 150 * time.Millisecond

// Guards against nodes that wait for their peers to send a configuration small enough for one
// answer of the store.
func TestAllNodesWithNarrowLinksRestartQuicklyWithASmallConfiguration(t *testing.T) {
	runWithLinks(t, narrowLinks, func(s *disseminationScenario) {
		for _, host := range s.nodes {
			s.deployment.Node(host).Kill()
		}
		time.Sleep(time.Second)
		for i, host := range s.nodes {
			s.Expect(s.deployment.StartNode(host, disseminationZones[i%len(disseminationZones)])).To(gomega.Succeed())
		}
		time.Sleep(quickStartLimit)
		for _, host := range s.nodes {
			s.Expect(s.deployment.Node(host).Status().Version).To(gomega.Equal(s.version), host)
		}
	})
}
