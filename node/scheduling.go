package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/coordination/claims"
	"github.com/thornwalk/thornwalk/coordination/limits"
	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/coordination/shedding"
	"github.com/thornwalk/thornwalk/internal/wait"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// tickInterval is the time between checks of deadlines, leases and membership.
	tickInterval = 20 * time.Millisecond
	// minDemandInterval is the minimum time between equal demands for a floor.
	minDemandInterval = 100 * time.Millisecond
	// peerCallTimeout bounds one call of a peer.
	peerCallTimeout = 500 * time.Millisecond
	// zoneFreshness is how long a zone counts as reachable after its last heartbeat.
	zoneFreshness = 3 * time.Second
)

// schedulerOptions returns the scheduler's options from the settings.
func (n *Node) schedulerOptions(compiled *settings.Compiled) scheduler.Options {
	lowest := structs.Rank(0)
	for _, tier := range compiled.Tiers() {
		lowest = max(lowest, structs.Rank(tier.Values.Rank))
	}
	options := scheduler.DefaultOptions(n.config.Zone, lowest)
	options.HoldAhead = compiled.Node.HoldAhead
	options.AgingLimit = compiled.Node.AgingLimit
	options.QueueLimit = compiled.Node.QueueLimit
	options.SampleSize = compiled.Node.SampleSize
	options.FloorDemandTTL = compiled.Node.FloorHold
	return options
}

func (n *Node) claimSettings() claims.Settings {
	values := n.settings.Compiled().Node
	return claims.Settings{Shards: values.ClaimShards, Window: values.ClaimBatchWindow, Retention: values.ClaimRetention}
}

// applySettings activates a new generation in the state machines.
func (n *Node) applySettings(compiled *settings.Compiled) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	options := n.schedulerOptions(compiled)
	n.scheduler.SetOptions(options)
	n.floorOwner.SetTiers(options.LowestRank, options.FloorDemandTTL)
	n.floorMember.SetLowest(options.LowestRank)
	n.registry.SetLimits(compiled.Node.RegistryLimit, compiled.Node.AnswerRetention)
	if n.table != nil {
		n.table.SetDeadAfter(compiled.Node.DeadAfter - compiled.Node.SuspectAfter)
	}
	n.applyClosedReplicas(compiled)
	n.triggerHeartbeat()
	klog.InfoS("settings activated", "node", n.config.Name, "generation", compiled.Generation)
}

// applyClosedReplicas closes and opens replicas by the services' settings. The
// caller holds the mutex.
func (n *Node) applyClosedReplicas(compiled *settings.Compiled) {
	closed := map[structs.ReplicaID]bool{}
	for _, name := range compiled.Services() {
		if service, found := compiled.Service(name); found {
			for _, id := range service.Values.Closed {
				closed[structs.ReplicaID(id)] = true
			}
		}
	}
	for _, replica := range n.scheduler.View().Replicas() {
		if state, found := n.scheduler.View().Get(replica.ID); found {
			state.Closed = closed[replica.ID]
		}
	}
}

// overflowZones returns the reachable zones that a service may overflow to. The
// caller holds the mutex.
func (n *Node) overflowZones(service string) []string {
	named, found := n.settings.Compiled().Service(service)
	if !found || !named.Values.Overflow {
		return nil
	}
	var zones []string
	for _, zone := range named.Values.OverflowZones {
		if lastSeen, known := n.zoneLastSeen[zone]; known && n.now()-lastSeen < zoneFreshness {
			zones = append(zones, zone)
		}
	}
	return zones
}

// tickLoop advances the state that depends on time.
func (n *Node) tickLoop() {
	for wait.Sleep(n.ctx, tickInterval) {
		n.tick()
	}
}

func (n *Node) tick() {
	now := n.now()
	values := n.settings.Compiled().Node
	n.answers.Sweep(now, values.AnswerRetention, values.AnswerLimitBytes)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.table.Tick(now)
	n.applyMembership()
	for _, service := range n.floorMember.Tick(now) {
		n.applyFloor(service)
	}
	for _, service := range n.floorOwner.Services() {
		n.advanceFloor(service)
	}
	n.schedulePending()
}

// applyMembership passes a changed number of live nodes to the state machines and
// registers keys with their new owners. The caller holds the mutex.
func (n *Node) applyMembership() {
	if n.table.Version() == n.membershipVersion {
		return
	}
	n.membershipVersion = n.table.Version()
	live := len(n.table.Live())
	n.scheduler.SetLiveNodes(live)
	n.limitMember.SetLiveNodes(live)
	n.reregisterKeys()
}

// schedulePending delivers the plans that the scheduler makes now and sends its
// floor demands. The caller holds the mutex.
func (n *Node) schedulePending() {
	for _, plan := range n.scheduler.Schedule(n.now()) {
		n.deliver(plan)
	}
	n.sendDemands()
}

// deliver records a plan and passes it to the request's execution. The caller
// holds the mutex.
func (n *Node) deliver(plan structs.Plan) {
	n.recordDecision(plan)
	if chain := plan.Request.Prefix; plan.Verdict == structs.VerdictDispatch && len(chain) > 0 {
		block := chain[len(chain)-1]
		n.sentPrefixQueue.Put(block, sentPrefix{Replica: plan.Replica.ID, Block: block})
	}
	if exec, found := n.executions[plan.Request.ID]; found {
		exec.plans <- plan // does not block: a request has at most one plan at a time
	}
}

// floorOwnerOf returns the member that owns the shed floor of the service. The
// caller holds the mutex.
func (n *Node) floorOwnerOf(service string) string {
	return rendezvous.Top(n.table.LiveNames(), rendezvous.Hash("floor/"+service), 1)[0]
}

// sendDemands sends the scheduler's floor demands to the owners of the floors. The
// caller holds the mutex.
func (n *Node) sendDemands() {
	now := n.now()
	for _, demand := range n.scheduler.Demands(now) {
		if last, sent := n.lastDemandSent[demand]; sent && now-last < minDemandInterval {
			continue
		}
		n.lastDemandSent[demand] = now
		message := shedding.Demand{Service: demand.Service, Rank: demand.Rank, From: n.config.Name}
		n.notifyMember(n.floorOwnerOf(demand.Service), func(ctx context.Context, address string) error {
			var nothing struct{}
			return n.peers.Call(ctx, address, peerwire.KindFloorDemand, message, &nothing)
		}, func() { n.applyDemand(message) })
	}
}

// notifyMember calls remote in the background, or local directly if the member is
// this node. The caller holds the mutex; local runs with it, remote without it.
func (n *Node) notifyMember(member string, remote func(ctx context.Context, address string) error, local func()) {
	if member == n.config.Name {
		local()
		return
	}
	known, found := n.table.Get(member)
	if !found {
		return
	}
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, peerCallTimeout)
		defer cancel()
		if err := remote(ctx, known.Member.PeerAddress); err != nil && n.ctx.Err() == nil {
			klog.V(2).InfoS("peer call failed", "node", n.config.Name, "peer", member, "error", err.Error())
		}
	})
}

// applyDemand applies a demand at the owner of the floor. The caller holds the mutex.
func (n *Node) applyDemand(demand shedding.Demand) {
	n.floorOwner.Demand(n.now(), demand)
	n.advanceFloor(demand.Service)
}

// advanceFloor sends the floor updates that are due, or releases the floor if this
// node does not own it. The caller holds the mutex.
func (n *Node) advanceFloor(service string) {
	if n.floorOwnerOf(service) != n.config.Name {
		n.floorOwner.Release(service)
		return
	}
	for _, outgoing := range n.floorOwner.Tick(n.now(), service, n.table.LiveNames()) {
		update := outgoing.Update
		n.notifyMember(outgoing.To, func(ctx context.Context, address string) error {
			var ack shedding.Ack
			if err := n.peers.Call(ctx, address, peerwire.KindFloorSet, update, &ack); err != nil {
				return err
			}
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.applyAck(ack)
			return nil
		}, func() { n.applyAck(n.applyFloorUpdate(update)) })
	}
}

// applyFloorUpdate applies a floor at a member and returns the acknowledgement. The
// caller holds the mutex.
func (n *Node) applyFloorUpdate(update shedding.FloorUpdate) shedding.Ack {
	ack := n.floorMember.Apply(n.now(), update)
	n.applyFloor(update.Service)
	return ack
}

// applyAck applies an acknowledgement at the owner. The caller holds the mutex.
func (n *Node) applyAck(ack shedding.Ack) {
	n.floorOwner.Ack(ack)
	n.advanceFloor(ack.Service)
}

// applyFloor activates the floor that this member has merged for the service. The
// caller holds the mutex.
func (n *Node) applyFloor(service string) {
	floor := n.floorMember.Floor(n.now(), service)
	if floor == n.scheduler.Floor(service) {
		return
	}
	klog.V(1).InfoS("shed floor changed", "node", n.config.Name, "service", service, "refuse_from", floor.RefuseFrom, "shed_from", floor.ShedFrom)
	for _, plan := range n.scheduler.SetFloor(service, floor) {
		n.deliver(plan)
	}
}

// limitLoop reports the tenants' usage to the owners of their limits and applies
// the shares that they grant.
func (n *Node) limitLoop() {
	for wait.Sleep(n.ctx, limits.ReportInterval) {
		n.mutex.Lock()
		reports := n.limitMember.Reports(n.now(), n.config.Name, n.limitOwnerOf)
		for owner, report := range reports {
			n.notifyMember(owner, func(ctx context.Context, address string) error {
				var grant limits.Grant
				if err := n.peers.Call(ctx, address, peerwire.KindLimitDemand, report, &grant); err != nil {
					return err
				}
				n.mutex.Lock()
				defer n.mutex.Unlock()
				n.limitMember.Apply(n.now(), grant)
				return nil
			}, func() { n.limitMember.Apply(n.now(), n.allocateLimits(report)) })
		}
		n.mutex.Unlock()
	}
}

// limitOwnerOf returns the member that owns the tenant's limits. The caller holds
// the mutex.
func (n *Node) limitOwnerOf(tenant string) string {
	return rendezvous.Top(n.table.LiveNames(), rendezvous.Hash("limit/"+tenant), 1)[0]
}

// allocateLimits returns the shares that this owner grants for a report. The caller
// holds the mutex.
func (n *Node) allocateLimits(report limits.Report) limits.Grant {
	compiled := n.settings.Compiled()
	return n.limitOwner.Allocate(n.now(), report, func(tenant string) limits.Limit {
		named, found := compiled.Tenant(tenant)
		if !found {
			return limits.Limit{}
		}
		return limitOf(&named.Values)
	})
}

func limitOf(values *settings.Values) limits.Limit {
	return limits.Limit{Rate: values.Rate, Burst: values.Burst, Concurrency: values.Concurrency}
}
