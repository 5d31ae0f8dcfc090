package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// pairCutTime exceeds the failure timeouts of all nodes.
	pairCutTime = 5 * time.Second
	// pairReunionTime is the time in which nodes that lost each other must find each other. Each sends the
	// other one of five heartbeats, which are at most 300 ms apart in fleets of this test.
	pairReunionTime = 2 * time.Second
)

// cutPairs partitions each of the nodes but the last from another one of another zone, and returns the pairs. The
// first pair has the scheduling node.
func (s *relayScenario) cutPairs() [][2]string {
	scheduler := s.scheduler()
	rest := append([]string{scheduler}, s.others(scheduler)...)
	var pairs [][2]string
	for len(rest) > 1 {
		partner := slices.IndexFunc(rest, func(node string) bool { return crossesZones(rest[0], node) })
		if partner < 0 {
			break
		}
		pairs = append(pairs, [2]string{rest[0], rest[partner]})
		rest = slices.Delete(slices.Delete(rest, partner, partner+1), 0, 1)
	}
	for _, pair := range pairs {
		s.fabric.Partition(pair[:1], pair[1:])
	}
	return pairs
}

// Guards against nodes that send each other no heartbeats any more after each has regarded the other as failed:
// in fleets with a multiple of five nodes the same silent nodes got all heartbeats.
func TestNodesThatLostEachOtherMeetAgain(t *testing.T) {
	for _, nodes := range []int{9, 10, 19, 20, 25} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			runRelaysWithNodes(t, nodes, func(s *relayScenario) {
				scheduler := s.scheduler()
				pairs := s.cutPairs()
				time.Sleep(pairCutTime)
				for _, pair := range pairs {
					s.Expect(s.deployment.Node(pair[0]).Status().Live).NotTo(gomega.ContainElement(pair[1]))
				}
				s.fabric.Heal()
				time.Sleep(pairReunionTime)
				for _, pair := range pairs {
					s.Expect(s.deployment.Node(pair[0]).Status().Live).To(gomega.ContainElement(pair[1]), "live nodes at %s", pair[0])
					s.Expect(s.deployment.Node(pair[1]).Status().Live).To(gomega.ContainElement(pair[0]), "live nodes at %s", pair[1])
				}
				for _, node := range s.nodes {
					s.Expect(s.deployment.Node(node).Status().Scheduler).To(gomega.Equal(scheduler), "scheduling node of %s", node)
				}
			})
		})
	}
}
