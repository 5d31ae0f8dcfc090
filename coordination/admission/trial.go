package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// While the replicas of a new version are judged, a bounded number of requests goes to
// them. They are gathered on few replicas, which are as full as the others are: a version
// that is bad only under load would else look well until it gets everything.

// trialShare is the part of the others' replicas that as many of the judged version's take
// requests: what a tenth of the requests fills. leastTrials is the least of them, so that a
// failing replica can be told from its version.
const (
	trialShare  = 0.1
	leastTrials = 3
)

// SetVersions replaces which versions of the service's replicas get new requests.
func (s *Scheduler) SetVersions(service string, policy rollouts.VersionPolicy) {
	s.service(service).versions = policy
}

// SetCanaryBudget replaces what the replicas of the service get that are judged; nil means nothing.
func (s *Scheduler) SetCanaryBudget(service string, trial *rollout.CanaryBudget) {
	s.service(service).trial = trial
}

// InFlightAt counts the requests with a place at replicas of the service whose version gets no
// new ones.
func (s *Scheduler) InFlightAt(service string) int {
	pool := s.service(service)
	count := 0
	for _, state := range pool.replicas {
		if pool.versions.AccessFor(state.replica.Version) == rollouts.AccessDenied {
			count += state.reported()
		}
	}
	return count
}

// gatherTrials keeps the few judged replicas that take requests in this turn, in the order
// in which they are filled, each as full as the others are on average.
func (r *room) gatherTrials(turn int) {
	if len(r.trials) == 0 {
		return
	}
	slices.SortFunc(r.trials, func(a, b *option) int { return strings.Compare(a.state.replica.ID, b.state.replica.ID) })
	count := min(len(r.trials), max(leastTrials, int(trialShare*float64(len(r.options)))+1))
	first := turn % count
	r.trials = slices.Concat(r.trials[first:count], r.trials[:first])
	usual := r.usualUse()
	for _, choice := range r.trials {
		choice.places = min(choice.places, usual+1)
	}
}

// usualUse is how many requests a replica that is not judged has on average, rounded up.
func (r *room) usualUse() int {
	used := 0
	for _, choice := range r.options {
		used += choice.used
	}
	return (used + len(r.options) - 1) / max(len(r.options), 1)
}

// chooseTrial returns the judged replica that the request goes to, or nil. A request that
// came to a replica before goes to one that is known to be good.
func (s *Scheduler) chooseTrial(now structs.Instant, held *waiting, room *room, left time.Duration) *option {
	if len(room.trials) == 0 || len(held.Tried) > 0 {
		return nil
	}
	pool := s.service(held.Service)
	if pool.trial.Spent() || !pool.trial.Fair(held.Route) {
		return nil
	}
	paused := s.pauses[asker{held.Node, held.Service}]
	for _, choice := range room.trials {
		if paused.hold(now, choice.state.replica.ID) {
			continue
		}
		if choice.used < choice.places && !choice.doubted && !slices.Contains(held.Doubted, choice.state.replica.ID) && choice.fits(held.Answer, left) {
			pool.trial.Spend(held.Route)
			return choice
		}
	}
	return nil
}
