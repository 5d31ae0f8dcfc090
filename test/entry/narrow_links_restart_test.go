package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// restartGap is the time within which all machines start, and recoveryLimit the time in
// which they have to serve again.
const (
	restartSpread = 300 * time.Millisecond
	recoveryLimit = 12 * time.Second
)

// After a loss of power all nodes start at once and nobody has the configuration. Where
// no link is wide, nodes read a version from the store while they fetch it from a peer,
// and are asked for its parts themselves. A node that is asked for a part that it lacks
// must not end, and with it this test's process.
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
		begun := time.Now()
		for i, host := range s.nodes {
			s.Expect(s.deployment.StartNode(host, disseminationZones[i%len(disseminationZones)])).To(gomega.Succeed())
			time.Sleep(restartSpread / disseminationNodes)
		}
		ready := delays{}
		for ; time.Since(begun) < recoveryLimit && len(ready) < disseminationNodes; time.Sleep(sampleInterval) {
			for _, host := range s.nodes {
				if s.deployment.Node(host).Ready() {
					ready.recordFirst(host, time.Since(begun).Seconds())
				}
			}
		}
		_, after := s.sentBytes()
		t.Logf("ready: %s; the store sent %.1f MB", ready.describeMax(), float64(after-before)/1e6)
		s.Expect(ready).To(gomega.HaveLen(disseminationNodes), "nodes that are ready within %v of the start", recoveryLimit)
	})
}

// quickStart is the time after the start of the last process within which all have a
// small configuration.
const quickStartLimit = 150 * time.Millisecond

// After a loss of power nodes with narrow links waited for their peers to send a
// configuration that fits into an answer of the store.
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
