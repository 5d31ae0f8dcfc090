package entry

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against a zone of a large fleet that has lost its paths to all replicas and is not served, because
// its nodes know few others, and against one node, or the delegates only, that forward the connections of all.
func TestZoneWithoutPathsIsServedThroughManyNodesOfALargeFleet(t *testing.T) {
	const (
		rate = 200
		// maxDelegatesShare is the largest part of the connections that delegates may forward.
		maxDelegatesShare = 0.6
	)
	for _, cut := range []memnet.PathCut{memnet.CutSilent, memnet.CutReset} {
		t.Run(cut.String(), func(t *testing.T) {
			runLargeFleet(t, largeNodes, func(s *relayScenario) {
				replicaHosts := []string{"p1", "p2"}
				for _, host := range []string{"p3", "p4", "p5", "p6"} {
					replica := &platformsim.Replica{ID: "i-" + host, Service: "registry", Zone: "east", Slots: 8, Step: 20 * time.Millisecond}
					s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
					replicaHosts = append(replicaHosts, host)
				}
				var cutNodes []string
				for _, node := range s.nodes {
					if zoneOf(node) == relayZones[0] {
						cutNodes = append(cutNodes, node)
					}
				}
				var mutex sync.Mutex
				load := func(duration time.Duration) (tries firstTries) {
					var group sync.WaitGroup
					for i := range int(duration.Seconds() * rate) {
						group.Go(func() {
							got := s.do(cutNodes[i%len(cutNodes)], http.MethodPost, "/once/", nil)
							mutex.Lock()
							defer mutex.Unlock()
							tries.sent++
							if got.status == http.StatusOK {
								tries.served++
							}
						})
						time.Sleep(time.Second / rate)
					}
					group.Wait()
					return tries
				}
				load(2 * time.Second)
				s.fabric.CutPaths(cutNodes, replicaHosts, cut)
				load(cutGraceTime)
				tries := load(5 * time.Second)
				total, most, byDelegates, forwarders := int64(0), int64(0), int64(0), 0
				for _, node := range s.nodes {
					status := s.deployment.Node(node).Status()
					if status.Forwarding > 0 {
						total, most, forwarders = total+status.Forwarding, max(most, status.Forwarding), forwarders+1
					}
					if !status.NonDelegate {
						byDelegates += status.Forwarding
					}
				}
				t.Logf("served %d of %d; %d nodes forward %d connections, one of them %d, delegates %d", tries.served, tries.sent, forwarders, total, most, byDelegates)
				s.Expect(tries.sent - tries.served).To(gomega.BeNumerically("<=", tries.mayFail()))
				s.Expect(float64(most)).To(gomega.BeNumerically("<=", float64(total)/4))
				s.Expect(float64(byDelegates)).To(gomega.BeNumerically("<=", maxDelegatesShare*float64(total)))
			})
		})
	}
}
