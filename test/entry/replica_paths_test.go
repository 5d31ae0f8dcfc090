package entry

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// pathScenario is nine nodes in three zones, with plain replicas and engines to which nodes can lose their
// paths.
type pathScenario struct {
	*scenario
	// replicaHosts are the hosts of all replicas.
	replicaHosts []string
}

// pathZones are the zones of the nodes in fleetHosts, in rotation.
var pathZones = []string{"east", "west", "south"}

// runPathScenario starts the deployment and runs the test in virtual time.
func runPathScenario(t *testing.T, test func(s *pathScenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := &pathScenario{scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}}
		s.start(fleetHosts, pathZones, nil)
		s.replicaHosts = []string{"p1", "p2", "p3", "p4", "e1", "e2", "e3"}
		for i, host := range s.replicaHosts[2:] {
			replica := &platformsim.Replica{ID: "i-" + host, Service: "registry", Zone: pathZones[i%len(pathZones)], Slots: 6, Step: 20 * time.Millisecond}
			if host[0] == 'e' {
				replica.Service, replica.Events, replica.Step = "engines", 6, 20*time.Millisecond
			}
			s.Expect(s.deployment.AddReplica(host, replica)).To(gomega.Succeed())
			if replica.Events > 0 {
				s.engines = append(s.engines, replica)
			} else {
				s.plainReplicas = append(s.plainReplicas, replica)
			}
		}
		s.awaitReady()
		defer s.stop(fleetHosts)
		test(s)
	})
}

// firstTries counts the first tries of callers at a group of nodes.
type firstTries struct{ sent, served int }

// mayFail is how many of the first tries may fail at nodes without a path to replicas while the others
// serve all of theirs.
func (f firstTries) mayFail() int { return 10 + f.sent/50 }

// servedShare is the share of the first tries that were served.
func (f firstTries) servedShare() float64 { return float64(f.served) / float64(max(f.sent, 1)) }

// pathLoad is a steady load of callers at all nodes in turn.
type pathLoad struct {
	rate      int
	duration  time.Duration
	callPaths []string
}

// mixedPaths are the routes of all kinds of requests.
var mixedPaths = []string{"/once/", "/safe/", "/stream/", "/resume/"}

// run sends the load and returns the first tries at the listed nodes and at all others.
func (l pathLoad) run(s *pathScenario, listed []string) (atListed, atOthers firstTries) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	interval := time.Second / time.Duration(l.rate)
	for i := range int(l.duration / interval) {
		node, path := fleetHosts[i%len(fleetHosts)], l.callPaths[(i/len(fleetHosts))%len(l.callPaths)]
		group.Go(func() {
			got := s.do(node, http.MethodPost, path, nil)
			mutex.Lock()
			defer mutex.Unlock()
			counted := &atOthers
			if slices.Contains(listed, node) {
				counted = &atListed
			}
			counted.sent++
			if got.status == http.StatusOK && got.complete {
				counted.served++
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	return atListed, atOthers
}

// cutGraceTime is the time after the start of a cut from which callers of the nodes without a path must be
// served like others.
const cutGraceTime = 3 * time.Second

// Guards against nodes that fail their callers because they have lost their own paths to all replicas,
// while every other node reaches these. The callers of the other nodes must not notice it.
func TestCallersOfNodesWithoutPathToReplicasAreServed(t *testing.T) {
	loads := []struct{ nodes, rate int }{{1, 60}, {3, 60}, {6, 60}, {8, 60}, {3, 15}, {6, 15}, {3, 180}, {6, 180}}
	for _, cut := range memnet.PathCuts {
		for _, at := range loads {
			t.Run(fmt.Sprintf("%v, %d of %d nodes, %d per second", cut, at.nodes, len(fleetHosts), at.rate), func(t *testing.T) {
				runPathScenario(t, func(s *pathScenario) {
					listed := fleetHosts[:at.nodes]
					load := pathLoad{rate: at.rate, duration: 2 * time.Second, callPaths: mixedPaths}
					load.run(s, listed)
					s.fabric.CutPaths(listed, s.replicaHosts, cut)
					load.duration = cutGraceTime
					load.run(s, listed)
					load.duration = 7 * time.Second
					atListed, atOthers := load.run(s, listed)
					t.Logf("first tries served at nodes without a path: %d of %d, at the others: %d of %d", atListed.served, atListed.sent, atOthers.served, atOthers.sent)
					s.Expect(atListed.sent-atListed.served).To(gomega.BeNumerically("<=", atListed.mayFail()), "first tries that failed at nodes without a path")
					s.Expect(atListed.servedShare()).To(gomega.BeNumerically(">=", atOthers.servedShare()*2/3))
					s.Expect(atOthers.sent-atOthers.served).To(gomega.BeNumerically("<=", 1), "first tries that failed at the other nodes")
				})
			})
		}
	}
}
