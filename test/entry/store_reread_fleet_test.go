package entry

import (
	"fmt"
	"testing"
	"time"
)

// Guards against nodes that do not watch the store and never learn which replicas a restored store lists
// again: the positions of these entries are before the latest one that the nodes know, so that no pull of
// updates contains them.
func TestNodesThatDoNotWatchUseListedReplicasOnceTheWindowEnds(t *testing.T) {
	var nodes []string
	for i := range 7 {
		nodes = append(nodes, fmt.Sprint("n", i+1))
	}
	for _, test := range writeCases {
		t.Run(test.name, func(t *testing.T) {
			runLostDeletions(t, nodes, test.otherReplicas, expiredEntries, func(s *restoredDeployment) { s.expectReplicasUsed(test.write) })
		})
	}
}

// Guards against a service that stays without replicas after the restore window although the restored
// store lists them, because the scheduling node gets updates only from its peers.
func TestSchedulingNodeWithoutStoreUsesListedReplicasOnceTheWindowEnds(t *testing.T) {
	for _, test := range writeCases {
		t.Run(test.name, func(t *testing.T) {
			runLostDeletions(t, hosts, test.otherReplicas, expiredEntries, func(s *restoredDeployment) {
				time.Sleep(time.Second) // lets all nodes notice the restore
				s.fabric.Partition([]string{s.scheduler()}, []string{"store"})
				s.expectReplicasUsed(test.write)
			})
		})
	}
}
