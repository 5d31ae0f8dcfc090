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

// Roll-outs as seen by each node. Every node follows the orders and records that it knows; the
// scheduling node also steps the roll-outs (coordination/rollout).

const (
	// rolloutStepInterval is the time between steps at the node that steps roll-outs, and
	// rolloutIdleInterval the time between checks elsewhere and while there are none.
	rolloutStepInterval = 100 * time.Millisecond
	rolloutIdleInterval = 500 * time.Millisecond
	// rolloutWriteTimeout bounds one write of a record, with the read that follows a failed one.
	rolloutWriteTimeout = 800 * time.Millisecond
)

// applyRollouts applies updates of orders and records. Known is the store position up to which they
// are complete; zero means that they are not.
func (n *Node) applyRollouts(orders []rollouts.Order, records []rollouts.Record, known structs.StorePosition) {
	n.mutex.Lock()
	now := n.now()
	// Versions may be excluded only because their order was not known; see versionPolicy.
	changed := n.rollouts.CompleteTo() < known && len(n.policies) > 0
	for _, order := range orders {
		if n.rollouts.PutOrder(now, order) {
			changed = true
			n.log.Write(eventlog.Event{Kind: "rollout", Service: order.Service, Outcome: "ordered", Revision: order.Position.Revision(), Era: order.Position.Era(), Detail: order.Target, RemainingMS: order.Duration.Milliseconds()})
		}
	}
	phaseChanged := false
	for _, record := range records {
		before, _ := n.rollouts.Record(record.Service)
		if !n.rollouts.PutRecord(now, record) {
			continue
		}
		changed = true
		if before.Phase != record.Phase || before.OrderPosition != record.OrderPosition {
			phaseChanged = true
			n.log.Write(eventlog.Event{Kind: "rollout", Service: record.Service, Outcome: record.Phase.String(), Revision: record.Position.Revision(), Era: record.Position.Era(), Detail: record.Target, Reason: record.Reason})
		}
	}
	n.rollouts.SetCompleteTo(known)
	n.mutex.Unlock()
	if changed {
		n.applyPolicies()
	}
	if phaseChanged {
		n.sendHeartbeats() // the scheduling node waits until every node confirms the phase
	}
}

// versionPolicy returns which versions of the service get new requests. The pool has the service's
// replicas. The caller holds the mutex.
func (n *Node) versionPolicy(service string, pool []replicas.Replica) rollouts.VersionPolicy {
	order, hasOrder := n.rollouts.Order(service)
	policy := n.rollouts.Policy(service, hasOrder && isInService(order, pool))
	unexplained := unexplainedVersions(pool, n.rollouts.CompleteTo())
	if len(unexplained) > 0 {
		policy.Service = service
		policy.Excluded = append(append([]string{}, policy.Excluded...), unexplained...)
	}
	return policy
}

// isInService reports whether the order's target has replicas from before the order and all other
// versions are gone.
func isInService(order rollouts.Order, pool []replicas.Replica) bool {
	servedBefore := false
	for _, replica := range pool {
		if replica.Version != order.Target {
			return false
		}
		servedBefore = servedBefore || replica.Position < order.Position
	}
	return servedBefore
}

// unexplainedVersions returns the versions of a service whose replicas all appeared after the store
// position up to which roll-outs are known: they may belong to an order that has not reached this
// node. It returns nil if that holds for all versions.
func unexplainedVersions(pool []replicas.Replica, known structs.StorePosition) []string {
	oldest := map[string]structs.StorePosition{}
	for _, replica := range pool {
		if position, found := oldest[replica.Version]; !found || replica.Position < position {
			oldest[replica.Version] = replica.Position
		}
	}
	var versions []string
	for version, position := range oldest {
		if position > known {
			versions = append(versions, version)
		}
	}
	if len(versions) == len(oldest) {
		return nil // nothing is known of any of them, as after the start of a process
	}
	return versions
}

// isExcluded reports whether the replica's version gets no new requests. The caller holds the
// mutex.
func (n *Node) isExcluded(replica replicas.Replica) bool {
	policy, found := n.policies[replica.Service]
	return found && policy.AccessFor(replica.Version) == rollouts.AccessDenied
}

func groupByService(all []replicas.Replica) map[string][]replicas.Replica {
	pools := map[string][]replicas.Replica{}
	for _, replica := range all {
		pools[replica.Service] = append(pools[replica.Service], replica)
	}
	return pools
}

// applyPolicies computes which versions get new requests and applies that to the scheduling
// service. Replicas are read and n.policies is replaced under one lock, so that policies for older
// replicas can't replace newer ones there.
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
		if policy := n.versionPolicy(service, pool); policy.IsActive() {
			policies[service] = policy
		}
	}
	previous := n.policies
	n.policies = policies
	n.mutex.Unlock()
	for service := range previous {
		if _, still := policies[service]; !still {
			n.scheduling.setVersions(service, rollouts.VersionPolicy{})
		}
	}
	for service, policy := range policies {
		n.scheduling.setVersions(service, policy)
	}
}

// rolloutViews returns this node's views of the unfinished roll-outs for its heartbeat. The caller
// holds the mutex.
func (n *Node) rolloutViews() map[string]liveness.RolloutView {
	var views map[string]liveness.RolloutView
	for service, policy := range n.policies {
		if policy.Phase == 0 || policy.Phase.IsTerminal() {
			continue
		}
		if views == nil {
			views = map[string]liveness.RolloutView{}
		}
		views[service] = liveness.RolloutView{OrderPosition: policy.OrderPosition, Phase: uint8(policy.Phase), InFlightAtOldReplicas: n.inFlightAtExcluded(service)}
	}
	return views
}

// inFlightAtExcluded counts this node's requests at replicas of the service whose version is
// excluded. The caller holds the mutex.
func (n *Node) inFlightAtExcluded(service string) int {
	count := 0
	for _, assigned := range n.assignments {
		if replica, known := n.table.Get(assigned.replica); known && replica.Service == service && n.isExcluded(replica) {
			count++
		}
	}
	return count
}

// rolloutLoop restores and steps the roll-outs while this node is the active scheduler.
func (n *Node) rolloutLoop() {
	if n.dependencies.Rollouts == nil {
		return
	}
	wait := rolloutIdleInterval
	for n.sleep(wait) {
		lost := n.lostRollouts()
		for _, service := range lost {
			n.restoreRollout(service)
		}
		services := n.rolloutsInProgress()
		for _, service := range services {
			n.stepRollout(service)
		}
		wait = rolloutIdleInterval
		if len(services)+len(lost) > 0 {
			wait = rolloutStepInterval
		}
	}
}

// rolloutsInProgress returns the services whose roll-outs this node steps.
func (n *Node) rolloutsInProgress() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.scheduler != n.settings.Load().Name || n.stoppingSince.Load() != 0 {
		return nil
	}
	isEnded := func(service string) bool { return n.policies[service].Phase.IsTerminal() }
	return slices.DeleteFunc(n.rollouts.Services(), isEnded)
}

// stepRollout writes the next record of the service's roll-out if one is due.
func (n *Node) stepRollout(service string) {
	inputs, record := n.rolloutInputs(service)
	if inputs.Order.Position == 0 || !n.isConfigured(service) {
		return
	}
	next, due := n.scheduling.proposeRollout(inputs, record)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, rolloutWriteTimeout)
	defer cancel()
	position, err := n.dependencies.Rollouts.WriteRollout(ctx, next)
	n.scheduling.recordRolloutWrite(next, position, err)
	if err != nil {
		n.counter("rollouts.writes_failed").Inc(1)
		n.rereadRollout(ctx, service)
		return
	}
	n.counter("rollouts.writes").Inc(1)
	next.Position = position
	n.applyRollouts(nil, []rollouts.Record{next}, 0)
}

// rereadRollout reads the record from the store after a failed write: another node may have written
// it, the write's outcome is unknown, or the store was restored and has an earlier record.
func (n *Node) rereadRollout(ctx context.Context, service string) {
	record, readAt, err := n.dependencies.Rollouts.ReadRollout(ctx, service)
	if err != nil {
		n.counter("rollouts.reads_failed").Inc(1)
		return // the next write fails as well and is followed by another read
	}
	n.mutex.Lock()
	if n.checkEra(readAt) {
		n.rollouts.OverwriteRecord(n.now(), record, readAt)
	}
	n.mutex.Unlock()
	n.applyPolicies()
}

// isConfigured reports whether the configuration has the service.
func (n *Node) isConfigured(service string) bool {
	configuration := n.catalog.Load()
	return configuration != nil && configuration.Service(service) != nil
}

// rolloutInputs returns the inputs of the next step of the service's roll-out, and its current
// record. They have no order while the record has to be written again: it may be outdated in the store, or
// name the order by a former position, so that the order would count as another one.
func (n *Node) rolloutInputs(service string) (rollout.Inputs, rollouts.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.rollouts.NeedsRewrite(service, n.era.current) {
		return rollout.Inputs{}, rollouts.Record{}
	}
	now := n.now()
	order, _ := n.rollouts.Order(service)
	record, _ := n.rollouts.Record(service)
	pool := groupByService(n.table.All())[service]
	inputs := rollout.Inputs{Order: order, FormerOrderPosition: n.rollouts.FormerOrderPosition(service), Elapsed: n.rollouts.Elapsed(now, service), InService: isInService(order, pool)}
	for _, replica := range pool {
		switch {
		case replica.Draining:
		case replica.Version == order.Target:
			inputs.TargetSlots += replica.Slots
		default:
			inputs.OtherSlots += replica.Slots
		}
	}
	inputs.InFlightElsewhere, inputs.Confirmed = n.inFlightAtExcluded(service), true
	for _, member := range n.confirmingNodes(now, record.Phase) {
		view, reported := member.Rollouts[service]
		if !reported || view.OrderPosition != record.OrderPosition || view.Phase != uint8(record.Phase) {
			inputs.Confirmed = false
		}
		inputs.InFlightElsewhere += view.InFlightAtOldReplicas
	}
	return inputs, record
}

// confirmingNodes returns the other nodes that have to confirm the phase. In the switching phase,
// after which replicas stop without a drain, these are all nodes whose processes may still run, and
// otherwise the live ones. The caller holds the mutex.
func (n *Node) confirmingNodes(now structs.Instant, phase rollouts.Phase) []*liveness.Member {
	if phase == rollouts.PhaseSwitching {
		return n.members.PossiblyRunning(now)
	}
	return n.members.Live(now)
}
