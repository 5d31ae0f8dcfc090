package entry

import (
	"maps"
	"slices"

	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// RolloutStatus is a roll-out as shown to operators.
type RolloutStatus struct {
	rollouts.Record
	Step string `json:"step"`
	// RemainingMS is the time to the deadline in milliseconds; negative once it has passed.
	RemainingMS int64 `json:"left_ms"`
	// RegressionScore is the evidence against the target at the scheduling node; the target is
	// rolled back from 1 on. RegressionRoute is the route with the highest score.
	RegressionScore float64 `json:"doubt"`
	RegressionRoute string  `json:"doubt_route,omitempty"`
	// Evidence describes, by route, the bad responses of the target and of the other versions.
	Evidence []string `json:"evidence,omitempty"`
}

// rolloutStatus returns the roll-outs by service. The caller holds the mutex.
func (n *Node) rolloutStatus(now structs.Instant) map[string]RolloutStatus {
	statuses := map[string]RolloutStatus{}
	for _, service := range n.rollouts.Services() {
		record, found := n.rollouts.Record(service)
		if !found {
			continue
		}
		order, _ := n.rollouts.Order(service)
		status := RolloutStatus{Record: record, Step: record.Phase.String(), RemainingMS: (order.Duration - n.rollouts.Elapsed(now, service)).Milliseconds()}
		status.RegressionScore, status.RegressionRoute = n.scheduling.regressionScore(service)
		for _, route := range slices.Sorted(maps.Keys(record.EvidenceByRoute)) {
			status.Evidence = append(status.Evidence, rollout.Describe(route, record.EvidenceByRoute[route]))
		}
		statuses[service] = status
	}
	return statuses
}
