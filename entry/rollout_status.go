package entry

import (
	"maps"
	"slices"

	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// RolloutStatus is what operators see of one roll-out.
type RolloutStatus struct {
	rollouts.Record
	Step string `json:"step"`
	// Left is the time to the deadline in milliseconds; negative once it passed.
	Left int64 `json:"left_ms"`
	// RegressionScore is how far the evidence against the target is at the node that schedules: from
	// 1 on it is rolled back. RegressionRoute is the route that shows most.
	RegressionScore float64 `json:"doubt"`
	RegressionRoute string  `json:"doubt_route,omitempty"`
	// Evidence tells of each route the bad answers of the target and of the others.
	Evidence []string `json:"evidence,omitempty"`
}

// rolloutStatus returns what is known of the roll-outs. The caller holds the mutex.
func (n *Node) rolloutStatus(now structs.Instant) map[string]RolloutStatus {
	told := map[string]RolloutStatus{}
	for _, service := range n.rollouts.Services() {
		record, found := n.rollouts.Record(service)
		if !found {
			continue
		}
		order, _ := n.rollouts.Order(service)
		status := RolloutStatus{Record: record, Step: record.Phase.String(), Left: (order.Duration - n.rollouts.Elapsed(now, service)).Milliseconds()}
		status.RegressionScore, status.RegressionRoute = n.scheduling.regressionScore(service)
		for _, route := range slices.Sorted(maps.Keys(record.EvidenceByRoute)) {
			status.Evidence = append(status.Evidence, rollout.Describe(route, record.EvidenceByRoute[route]))
		}
		told[service] = status
	}
	return told
}
