package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// Canary requests are concentrated on a few replicas of the new version, which are filled as much as
// the other replicas are: a version that fails only under load would otherwise pass.

// canaryReplicaShare is the number of replicas that take canary requests, as a share of the replicas
// of other versions. With fewer than minCanaryReplicas, one failing replica could not be
// distinguished from a failing version.
const (
	canaryReplicaShare = 0.1
	minCanaryReplicas  = 3
)

// SetVersions sets which versions of the service's replicas get new requests.
func (s *Scheduler) SetVersions(service string, policy rollouts.VersionPolicy) {
	s.pool(service).versionPolicy = policy
}

// SetCanaryBudget sets the budget for requests to replicas of a version in its canary phase. With nil
// they get none.
func (s *Scheduler) SetCanaryBudget(service string, budget *rollout.CanaryBudget) {
	s.pool(service).canaryBudget = budget
}

// InFlightAt returns the number of requests in flight at replicas of the service whose version gets no
// new requests.
func (s *Scheduler) InFlightAt(service string) int {
	pool := s.pool(service)
	count := 0
	for _, state := range pool.replicas {
		if pool.versionPolicy.AccessFor(state.entry.Version) == rollouts.AccessDenied {
			count += state.reportedInFlight()
		}
	}
	return count
}

// selectCanaries reduces the canaries to the few that take requests, and limits their in-flight requests
// to one more than the mean of the other replicas. Each burst starts at another canary.
func (p *poolSnapshot) selectCanaries(burstCount int) {
	if len(p.canaries) == 0 {
		return
	}
	slices.SortFunc(p.canaries, func(a, b *replicaSnapshot) int { return strings.Compare(a.state.entry.ID, b.state.entry.ID) })
	count := min(len(p.canaries), max(minCanaryReplicas, int(canaryReplicaShare*float64(len(p.replicas)))+1))
	first := burstCount % count
	p.canaries = slices.Concat(p.canaries[first:count], p.canaries[:first])
	mean := p.meanInFlight()
	for _, canary := range p.canaries {
		canary.maxInFlight = min(canary.maxInFlight, mean+1)
	}
}

// meanInFlight returns the mean number of requests in flight at replicas that are not canaries,
// rounded up.
func (p *poolSnapshot) meanInFlight() int {
	inFlight := 0
	for _, replica := range p.replicas {
		inFlight += replica.inFlight
	}
	return (inFlight + len(p.replicas) - 1) / max(len(p.replicas), 1)
}

// chooseCanary returns the canary for the request and consumes budget for it, or returns nil. A request
// that was tried elsewhere before, or is bound to a version, gets no canary.
func (s *Scheduler) chooseCanary(now structs.Instant, request *queuedRequest, snapshot *poolSnapshot, remaining time.Duration) *replicaSnapshot {
	if len(snapshot.canaries) == 0 || len(request.Tried) > 0 || request.isBound() {
		return nil
	}
	pool := s.pool(request.Service)
	if pool.canaryBudget.IsExhausted() || !pool.canaryBudget.AllowsRoute(request.Route) {
		return nil
	}
	pauses := s.pauses[pauseKey{request.Node, request.Service}]
	for _, canary := range snapshot.canaries {
		if pauses.isPaused(now, canary.state.entry.ID) {
			continue
		}
		if canary.inFlight < canary.maxInFlight && !canary.isUnhealthy && !slices.Contains(request.Doubted, canary.state.entry.ID) && canary.canFinish(request.AnswerTokens, remaining) {
			pool.canaryBudget.Consume(request.Route)
			return canary
		}
	}
	return nil
}
