package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
)

// fleetHosts are more nodes than watch the store.
var fleetHosts = []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"}

// startFleet starts the deployment with the nodes of fleetHosts.
func startFleet(t *testing.T) *restoreScenario {
	s := &restoreScenario{scenario: &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}, writes: map[string]func(){}}
	s.scenario.start(fleetHosts, []string{"east", "west"}, nil)
	return s
}

// maxUnusedTime bounds the time from the end of the restore window until every node knows the replicas that
// the store lists.
const maxUnusedTime = 2 * time.Second

// Guards against nodes that do not watch the store and never learn of a healthy replica that the restored
// store lists, because a later change has reached them before its entry counts. The entry had expired
// before the restore. Without the later change all nodes know the replica.
func TestNodesThatDoNotWatchLearnOfReplicasListedAfterARestore(t *testing.T) {
	for name, writesLater := range map[string]bool{"no later change": false, "a later change": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startFleet(t)
				defer s.stop(fleetHosts)
				s.awaitReady()
				s.backup = s.deployment.Store.Backup()
				s.registerRepeatedly()
				expired := s.plainReplicas[0]
				s.deployment.Store.Delete("servers/" + expired.ID)
				time.Sleep(4 * time.Second)
				s.restore(0)
				time.Sleep(rewriteTime)
				if writesLater {
					s.plainReplicas[1].Register(s.deployment.Store, "ready")
				}
				time.Sleep(restoreWindow - rewriteTime + maxUnusedTime)
				var lacking []string
				waited := maxUnusedTime
				for ; waited < 5*time.Minute; waited += time.Second {
					now := []string{}
					for _, host := range fleetHosts {
						if len(s.deployment.Node(host).Status().Replicas) < len(s.plainReplicas) {
							now = append(now, host)
						}
					}
					if lacking == nil {
						lacking = now
					}
					if len(now) == 0 {
						break
					}
					time.Sleep(time.Second)
				}
				s.Expect(lacking).To(gomega.BeEmpty(), fmt.Sprintf("nodes that lack the replica %v after the restore window, the last of them for %v at least; %s schedules", maxUnusedTime, waited, s.scheduler()))
			})
		})
	}
}

// Guards against nodes that do not watch the store and never learn which replicas the restored store
// lists, because a later change made peers regard them as up to date.
func TestNodesThatDoNotWatchUseReplicasListedAfterARestore(t *testing.T) {
	for name, otherReplicas := range map[string]int{"few replicas": 0, "many replicas": replicaCount} {
		t.Run(name, func(t *testing.T) {
			runLostDeletions(t, []string{"n1", "n2", "n3", "n4", "n5"}, otherReplicas, expiredEntries, func(s *restoredDeployment) {
				s.expectReplicasUsed((*restoredDeployment).quiet)
			})
		})
	}
}
