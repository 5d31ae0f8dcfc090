package entry

import (
	"context"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/rollout"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/rollouts"
	"github.com/thornwalk/thornwalk/structs"
)

// How a node takes part in roll-outs. Every node goes by the orders and records that it
// knows; the one that schedules also steps them (coordination/rollout).

const (
	// rolloutStep is the time between two looks at the roll-outs at the node that steps them,
	// and rolloutRest elsewhere and while there are none.
	rolloutStepInterval = 100 * time.Millisecond
	rolloutIdleInterval = 500 * time.Millisecond
	// rolloutWriteLimit bounds one write of a record.
	rolloutWriteTimeout = 800 * time.Millisecond
)

// applyRollouts takes news of roll-outs into force. Known is the revision up to which the
// news is whole; zero means that it is not.
func (n *Node) applyRollouts(orders []rollouts.Order, records []rollouts.Record, known structs.StorePosition) {
	n.mutex.Lock()
	now := n.now()
	// What is known farther explains versions that were barred; where none is, nothing changes.
	changed := n.rollouts.CompleteTo() < known && len(n.policies) > 0
	for _, order := range orders {
		if n.rollouts.PutOrder(now, order) {
			changed = true
			n.log.Write(eventlog.Event{Kind: "rollout", Service: order.Service, Outcome: "ordered", Revision: order.Position.Revision(), Era: order.Position.Era(), Detail: order.Target, Remaining: order.Duration.Milliseconds()})
		}
	}
	moved := false
	for _, record := range records {
		before, _ := n.rollouts.Record(record.Service)
		if !n.rollouts.PutRecord(now, record) {
			continue
		}
		changed = true
		if before.Phase != record.Phase || before.OrderPosition != record.OrderPosition {
			moved = true
			n.log.Write(eventlog.Event{Kind: "rollout", Service: record.Service, Outcome: record.Phase.String(), Revision: record.Position.Revision(), Era: record.Position.Era(), Detail: record.Target, Reason: record.Reason})
		}
	}
	n.rollouts.SetCompleteTo(known)
	n.mutex.Unlock()
	if changed {
		n.applyPolicies()
	}
	if moved {
		n.sendHeartbeats() // whoever steps the roll-out waits for every node to confirm the phase
	}
}

// policyOf returns which versions of the service, which has these replicas, get new
// requests. The caller holds the mutex.
func (n *Node) versionPolicy(service string, pool []replicas.Replica) rollouts.VersionPolicy {
	order, ordered := n.rollouts.Order(service)
	policy := n.rollouts.Policy(service, ordered && isInService(order, pool))
	unexplained := unexplainedVersions(pool, n.rollouts.CompleteTo())
	if len(unexplained) > 0 {
		policy.Service = service
		policy.Excluded = append(append([]string{}, policy.Excluded...), unexplained...)
	}
	return policy
}

// inService returns whether the order's target served before the order, and nothing else
// is left of the service's replicas.
func isInService(order rollouts.Order, pool []replicas.Replica) bool {
	served := false
	for _, replica := range pool {
		if replica.Version != order.Target {
			return false
		}
		served = served || replica.Position < order.Position
	}
	return served
}

// unexplainedVersions returns the versions of a service beside others whose replicas are
// all newer than what is known of roll-outs: an order may bring them that this node has
// not heard of.
func unexplainedVersions(pool []replicas.Replica, known structs.StorePosition) []string {
	oldest := map[string]structs.StorePosition{}
	for _, replica := range pool {
		if revision, found := oldest[replica.Version]; !found || replica.Position < revision {
			oldest[replica.Version] = replica.Position
		}
	}
	var versions []string
	for version, revision := range oldest {
		if revision > known {
			versions = append(versions, version)
		}
	}
	if len(versions) == len(oldest) {
		return nil // nothing is known of any of them, as at the start of a process
	}
	return versions
}

// isExcluded returns whether the replica's version gets no new requests. The caller holds
// the mutex.
func (n *Node) isExcluded(replica replicas.Replica) bool {
	policy, found := n.policies[replica.Service]
	return found && policy.AccessFor(replica.Version) == rollouts.AccessDenied
}

// poolsOf groups the replicas by their service.
func groupByService(all []replicas.Replica) map[string][]replicas.Replica {
	pools := map[string][]replicas.Replica{}
	for _, replica := range all {
		pools[replica.Service] = append(pools[replica.Service], replica)
	}
	return pools
}

// applyPolicies tells the desk which versions get new requests. The replicas are read in the
// same step in which the policies are replaced: older ones must not replace newer ones.
func (n *Node) applyPolicies() {
	n.mutex.Lock()
	pools := groupByService(n.table.All())
	for _, service := range n.rollouts.Services() {
		if _, found := pools[service]; !found {
			pools[service] = nil // a service without replicas has a policy too
		}
	}
	policies := map[string]rollouts.VersionPolicy{}
	for service, pool := range pools {
		if policy := n.versionPolicy(service, pool); policy.Active() {
			policies[service] = policy
		}
	}
	lifted := n.policies
	n.policies = policies
	n.mutex.Unlock()
	for service := range lifted {
		if _, still := policies[service]; !still {
			n.scheduling.setVersions(service, rollouts.VersionPolicy{})
		}
	}
	for service, policy := range policies {
		n.scheduling.setVersions(service, policy)
	}
}

// rolloutViews returns what this node's heartbeat tells of roll-outs that are not at their
// end. The caller holds the mutex.
func (n *Node) rolloutViews() map[string]liveness.RolloutView {
	var views map[string]liveness.RolloutView
	for service, policy := range n.policies {
		if policy.Phase == 0 || policy.Phase.IsTerminal() {
			continue
		}
		if views == nil {
			views = map[string]liveness.RolloutView{}
		}
		views[service] = liveness.RolloutView{OrderPosition: policy.OrderPosition, Phase: uint8(policy.Phase), Busy: n.inFlightAtExcluded(service)}
	}
	return views
}

// busyAtBarred counts this node's requests at replicas of the service whose version gets no
// new ones. The caller holds the mutex.
func (n *Node) inFlightAtExcluded(service string) int {
	busy := 0
	for _, place := range n.assignments {
		if replica, known := n.table.Get(place.replica); known && replica.Service == service && n.isExcluded(replica) {
			busy++
		}
	}
	return busy
}

// rolloutLoop steps the roll-outs while this node schedules.
func (n *Node) rolloutLoop() {
	if n.deps.Rollouts == nil {
		return
	}
	wait := rolloutIdleInterval
	for n.sleep(wait) {
		lost := n.lostRollouts()
		for _, service := range lost {
			n.restoreRollout(service)
		}
		services := slices.DeleteFunc(n.rolloutsInProgress(), func(service string) bool { return slices.Contains(lost, service) })
		for _, service := range services {
			n.stepRollout(service)
		}
		wait = rolloutIdleInterval
		if len(services)+len(lost) > 0 {
			wait = rolloutStepInterval
		}
	}
}

// steppedRollouts returns the services whose roll-outs this node steps: those that are not
// at their end.
func (n *Node) rolloutsInProgress() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.scheduler != n.settings.Load().Name || n.stopping.Load() != 0 {
		return nil
	}
	isEnded := func(service string) bool { return n.policies[service].Phase.IsTerminal() }
	return slices.DeleteFunc(n.rollouts.Services(), isEnded)
}

// stepRollout writes the next record of the service's roll-out if one is due.
func (n *Node) stepRollout(service string) {
	situation, record := n.rolloutInputs(service)
	if situation.Order.Position == 0 || !n.isConfigured(service) {
		return
	}
	next, due := n.scheduling.proposeRollout(situation, record)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, rolloutWriteTimeout)
	defer cancel()
	revision, err := n.deps.Rollouts.WriteRollout(ctx, next)
	n.scheduling.recordRolloutWrite(next, revision, err)
	if err != nil {
		n.counter("rollouts.writes_failed").Inc(1)
		n.rereadRollout(ctx, service)
		return
	}
	n.counter("rollouts.writes").Inc(1)
	next.Position = revision
	n.applyRollouts(nil, []rollouts.Record{next}, 0)
}

// rereadRollout learns what the store holds after a write that did not succeed: another node
// may have written, or this one without hearing of it.
func (n *Node) rereadRollout(ctx context.Context, service string) {
	record, err := n.deps.Rollouts.ReadRollout(ctx, service)
	if err != nil {
		n.counter("rollouts.reads_failed").Inc(1)
		return // the next write fails, and is followed by another read
	}
	n.mutex.Lock()
	n.rollouts.OverwriteRecord(n.now(), record)
	n.mutex.Unlock()
	n.applyPolicies()
}

// knowsService returns whether the configuration names the service.
func (n *Node) isConfigured(service string) bool {
	current := n.catalog.Load()
	return current != nil && current.Service(service) != nil
}

// rolloutSituation returns what the next step of the service's roll-out goes by.
func (n *Node) rolloutInputs(service string) (rollout.Inputs, rollouts.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := n.now()
	order, _ := n.rollouts.Order(service)
	record, _ := n.rollouts.Record(service)
	pool := groupByService(n.table.All())[service]
	seen := rollout.Inputs{Order: order, Elapsed: n.rollouts.Elapsed(now, service), InService: isInService(order, pool)}
	for _, replica := range pool {
		switch {
		case replica.Draining:
		case replica.Version == order.Target:
			seen.TargetSlots += replica.Slots
		default:
			seen.OtherSlots += replica.Slots
		}
	}
	seen.Busy, seen.Confirmed = n.inFlightAtExcluded(service), true
	for _, member := range n.confirmingNodes(now, record.Phase) {
		view, told := member.Rollouts[service]
		if !told || view.OrderPosition != record.OrderPosition || view.Phase != uint8(record.Phase) {
			seen.Confirmed = false
		}
		seen.Busy += view.Busy
	}
	return seen, record
}

// mayServe returns the other nodes that have to confirm the phase. Before replicas stop
// without a drain these are all whose processes may still be at work, and else those that
// are heard of: a target that is given up drains. The caller holds the mutex.
func (n *Node) confirmingNodes(now structs.Instant, phase rollouts.Phase) []*liveness.Member {
	if phase == rollouts.PhaseSwitching {
		return n.members.PossiblyRunning(now)
	}
	return n.members.Live(now)
}
