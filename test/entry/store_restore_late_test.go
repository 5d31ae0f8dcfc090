package entry

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/replicas"
)

// cutOffTime is how long the last node is partitioned from the others and the store, from before the
// restore on.
const cutOffTime = 10 * time.Second

// Guards against a node that comes back long after a restore, learns of it by its own read of the store and
// makes all others enter the restore window again: replicas that were removed before the restore and
// started after it would be removed everywhere for the time of a restore window, and requests fail.
func TestNodeThatLearnsOfARestoreLateChangesNothingAtOthers(t *testing.T) {
	for name, isCutOff := range map[string]bool{"no node cut off": false, "one node cut off": true} {
		t.Run(name, func(t *testing.T) {
			runRestore(t, func(s *restoreScenario) {
				for _, replica := range s.plainReplicas {
					s.deployment.Store.Delete("servers/" + replica.ID)
				}
				time.Sleep(2 * time.Second)
				if isCutOff {
					s.fabric.Partition([]string{"n3"}, []string{"n1", "n2", "store"})
				}
				s.restore(0)
				time.Sleep(rewriteTime)
				for _, replica := range s.plainReplicas {
					replica.Register(s.deployment.Store, "ready")
				}
				time.Sleep(cutOffTime - rewriteTime)
				s.Expect(s.missingReplicas()).To(gomega.BeZero(), "before the node is back")
				s.fabric.Heal()
				if isCutOff {
					s.fabric.Partition([]string{"n3"}, []string{"n1", "n2"})
				}
				for range 80 { // until the node has reached the store
					if s.deployment.Node("n3").Status().Era == 2 {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				s.Expect(s.deployment.Node("n3").Status().Era).To(gomega.Equal(int64(2)))
				s.fabric.Heal()
				missing, unanswered := 0, 0
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					if s.missingReplicas() > 0 {
						missing++
					}
					if s.do("n1", http.MethodGet, "/safe/", nil).status != http.StatusOK {
						unanswered++
					}
				}
				s.Expect([]int{missing, unanswered}).To(gomega.Equal([]int{0, 0}), "of 100 checks, those in which a node that was not cut off lacks a replica, and of 100 requests, those that were not answered")
			})
		})
	}
}

// missingReplicas returns how many of the plain replicas the nodes that are never cut off lack.
func (s *restoreScenario) missingReplicas() int {
	missing := 0
	for _, host := range hosts[:2] {
		known := s.deployment.Node(host).Status().Replicas
		for _, replica := range s.plainReplicas {
			if !slices.ContainsFunc(known, func(listed replicas.Replica) bool { return listed.ID == replica.ID }) {
				missing++
			}
		}
	}
	return missing
}
