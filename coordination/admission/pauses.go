package admission

import (
	"time"

	"github.com/thornwalk/thornwalk/state/pushback"
	"github.com/thornwalk/thornwalk/structs"
)

// A replica that rejects a request may ask the sending node to pause. Other nodes are not affected.

// pauseKey identifies the pauses of a node at the replicas of a service.
type pauseKey struct{ node, service string }

// replicaPauses has the end of the pause by replica.
type replicaPauses map[string]structs.Instant

// SetPauses replaces the pauses of the node at the replicas of the service.
func (s *Scheduler) SetPauses(now structs.Instant, node, service string, reports []pushback.Report) {
	key := pauseKey{node, service}
	delete(s.pauses, key)
	for _, report := range reports {
		if report.Pause > 0 {
			s.setPause(key, report.Incarnation.Replica, now+report.Pause)
		}
	}
}

func (s *Scheduler) setPause(key pauseKey, replicaID string, until structs.Instant) {
	if s.pauses[key] == nil {
		s.pauses[key] = replicaPauses{}
	}
	s.pauses[key][replicaID] = until
}

// dropPauses removes all pauses of the node.
func (s *Scheduler) dropPauses(node string) {
	for key := range s.pauses {
		if key.node == node {
			delete(s.pauses, key)
		}
	}
}

func (p replicaPauses) isPaused(now structs.Instant, replicaID string) bool {
	return now < p[replicaID]
}

// shortestRemaining returns the time until the first pause at one of the replicas ends, at most
// maxRetryAfter.
func (p replicaPauses) shortestRemaining(now structs.Instant, replicas []*replicaSnapshot) time.Duration {
	shortest := maxRetryAfter
	for _, replica := range replicas {
		if remaining := p[replica.state.entry.ID] - now; remaining > 0 {
			shortest = min(shortest, remaining)
		}
	}
	return shortest
}
