package entry

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/replicas"
)

// runFleetRestore runs the test in a fleet with more nodes than watch the store, after a backup.
func runFleetRestore(t *testing.T, test func(s *restoreScenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := startFleet(t)
		defer s.stop(fleetHosts)
		s.awaitReady()
		s.backup = s.deployment.Store.Backup()
		s.registerRepeatedly()
		time.Sleep(time.Second)
		test(s)
	})
}

// restartNodes kills and starts all nodes except the last one.
func (s *restoreScenario) restartNodes() {
	for _, host := range fleetHosts[:len(fleetHosts)-1] {
		s.deployment.Node(host).Kill()
	}
	time.Sleep(time.Second)
	for i, host := range fleetHosts[:len(fleetHosts)-1] {
		s.Expect(s.deployment.StartNode(host, []string{"east", "west"}[i%2])).To(gomega.Succeed())
	}
	time.Sleep(10 * time.Second)
}

// knowing returns how many nodes except the last one know the replica.
func (s *restoreScenario) knowing(id string) int {
	count := 0
	for _, host := range fleetHosts[:len(fleetHosts)-1] {
		if slices.ContainsFunc(s.deployment.Node(host).Status().Replicas, func(known replicas.Replica) bool { return known.ID == id }) {
			count++
		}
	}
	return count
}

// Guards against processes that take a replica which left long ago from a node that was cut off, as that
// node alone has completed the era.
func TestRestartedNodesDoNotTakeReplicasThatLeftFromANodeThatWasCutOff(t *testing.T) {
	runFleetRestore(t, func(s *restoreScenario) {
		last, others := fleetHosts[len(fleetHosts)-1], fleetHosts[:len(fleetHosts)-1]
		s.restore(0)
		time.Sleep(10 * time.Second)
		s.fabric.Partition([]string{last}, append([]string{"store"}, others...))
		left := s.plainReplicas[0]
		left.Crash()
		s.deployment.Store.Delete("servers/" + left.ID)
		time.Sleep(3 * time.Minute)
		s.restartNodes()
		s.Expect(s.knowing(left.ID)).To(gomega.BeZero())
		s.fabric.Heal()
		most, checks, lastSeen := 0, 0, 0
		for i := range 1200 {
			time.Sleep(100 * time.Millisecond)
			if count := s.knowing(left.ID); count > 0 {
				most, checks, lastSeen = max(most, count), checks+1, i
			}
		}
		t.Logf("most nodes %d, in %d of 1200 checks, the last at %v", most, checks, time.Duration(lastSeen)*100*time.Millisecond)
		s.Expect(most).To(gomega.BeZero(), "nodes that know a replica which left three minutes ago")
	})
}

// Guards against processes that were all started after a restore and enter its window because a node that
// was cut off since before it learns of it late.
func TestRestartedNodesDoNotEnterARestoreWindowThatIsOver(t *testing.T) {
	for name, restarts := range map[string]bool{"no node restarted": false, "nodes restarted": true} {
		t.Run(name, func(t *testing.T) {
			runFleetRestore(t, func(s *restoreScenario) {
				last, others := fleetHosts[len(fleetHosts)-1], fleetHosts[:len(fleetHosts)-1]
				for _, replica := range s.plainReplicas {
					s.deployment.Store.Delete("servers/" + replica.ID)
				}
				time.Sleep(2 * time.Second)
				s.fabric.Partition([]string{last}, append([]string{"store"}, others...))
				s.restore(0)
				time.Sleep(10 * time.Second)
				if restarts {
					s.restartNodes()
				}
				for _, replica := range s.plainReplicas {
					replica.Register(s.deployment.Store, "ready")
				}
				time.Sleep(2 * time.Second)
				s.fabric.Heal()
				s.fabric.Partition([]string{last}, others)
				for range 80 {
					if s.deployment.Node(last).Status().Era == 2 {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				s.fabric.Heal()
				missing, unanswered := 0, 0
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for _, replica := range s.plainReplicas {
						if s.knowing(replica.ID) < len(others) {
							missing++
						}
					}
					if s.do("n1", http.MethodGet, "/safe/", nil).status != http.StatusOK {
						unanswered++
					}
				}
				s.Expect([]int{missing, unanswered}).To(gomega.Equal([]int{0, 0}), "replicas missing at a node in 100 checks, and requests of 100 that were not answered")
			})
		})
	}
}
