package entry

import (
	"fmt"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// startupFullShareTime is the age of the process up to which it counts as connected to all nodes,
// whose heartbeats arrive within that time. Until then too few nodes count as live: their share would
// shrink restored buckets, and tenants below their quotas would be rejected.
const startupFullShareTime = heartbeatInterval

// minSelectionInterval is the minimum time between selections in a large fleet. A selection
// iterates over all live nodes, and each node of many that start at once requests one.
const minSelectionInterval = 10 * time.Millisecond

// role is this node's role in the fleet.
type role struct {
	// scheduler is the name of the scheduling node.
	scheduler string
	// isLarge is true in a large fleet, and isNonDelegate if this node is not one of its delegates.
	isLarge, isNonDelegate bool
	// size is the fleet's size as this node and the delegates observe it, zoneSize that of this
	// node's zone, and fleetSize the maximum of the known nodes and the size that other nodes report.
	size, zoneSize liveness.Size
	fleetSize      int
	// watchRank is this node's rank among the live nodes that reach the store, and isCandidate is
	// true if it is a candidate for scheduling.
	watchRank   int
	isCandidate bool
	// storeCallRank is this node's rank in the order in which all live nodes call the store.
	storeCallRank int
}

// liveShare is the share of the quotas and retries that the live nodes may grant.
func (r *role) liveShare() float64 { return min(float64(r.size.Live)/float64(r.size.Known), 1) }

// quotaShareAmong returns the share of the quotas that this node may grant, that of the nodes whose
// heartbeats arrived recently. In a large fleet it is that of the live nodes. The caller holds the mutex.
func (n *Node) quotaShareAmong(now structs.Instant, live []*liveness.Member) float64 {
	if n.isLarge {
		return n.liveShare()
	}
	count := 1
	for _, member := range live {
		if member.IsInContact(now) {
			count++
		}
	}
	return min(float64(count)/float64(n.size.Known), 1)
}

// shareTimeoutOf returns the time after which the node named grants only the share of its side when a
// partition separates it from this node. It computes that once per heartbeat. The caller holds the mutex.
func (n *Node) shareTimeoutOf(name string) time.Duration {
	member, found := n.members.Get(name)
	switch {
	case !found:
		return bucketLevelsRetention
	case n.isLarge:
		return member.FailureTimeout()
	default:
		return member.ContactTimeout() + time.Duration(member.IntervalMS)*time.Millisecond
	}
}

// followerShare returns the share of all nodes that use this node's assignments, and zero if it
// does not schedule. The caller holds the mutex.
func (n *Node) followerShare(now structs.Instant, live []*liveness.Member) float64 {
	name := n.settings.Load().Name
	if n.scheduler != name {
		return 0
	}
	count := 1
	for _, member := range live {
		if member.Scheduler == name && member.SinceHeartbeat(now) < admission.FollowTime {
			count++
		}
	}
	return min(float64(count)/float64(n.size.Known), 1)
}

// requestSelection selects the scheduling node now, or after minSelectionInterval in a large fleet.
// Requests meanwhile are served by the same selection.
func (n *Node) requestSelection() {
	n.mutex.Lock()
	wait := n.selectedAt + minSelectionInterval - n.now()
	if !n.isLarge {
		wait = 0
	}
	isDue, isPending := wait <= 0, n.isSelectionPending
	n.isSelectionPending = isPending || !isDue
	n.mutex.Unlock()
	switch {
	case isDue:
		n.selectScheduler()
	case !isPending:
		time.AfterFunc(wait, func() {
			if n.ctx.Err() == nil {
				n.selectScheduler()
			}
		})
	}
}

// selectScheduler selects the first live node in rendezvous order that is not slow as scheduling
// node, and updates this node's role and share of the quotas.
func (n *Node) selectScheduler() {
	settings := n.settings.Load()
	n.mutex.Lock()
	now := n.now()
	n.selectedAt, n.isSelectionPending = now, false
	live := n.members.Live(now)
	previous := n.role
	n.updateRole(now, live)
	schedulerChanged := n.scheduler != previous.scheduler
	levels, levelsAt, levelsUntil := n.bucketLevels, n.bucketLevelsAt, n.bucketLevelsUntil
	if previous.scheduler == settings.Name {
		n.lastActiveAt = now
	}
	restoresLevels := schedulerChanged && n.scheduler == settings.Name && levels != nil && now-levelsAt < bucketLevelsRetention
	share, quotaShare := n.role.liveShare(), n.quotaShareAmong(now, live)
	if now < startupFullShareTime {
		share, quotaShare = 1, 1
	}
	if n.size.Known-n.size.Live > 1 {
		// More nodes than the scheduling node were lost: it may be partitioned, and grants this
		// node's share until it is out of contact.
		levelsUntil = min(levelsUntil+n.shareTimeoutOf(previous.scheduler), now)
	}
	ejected := n.ejectedReplicas(live)
	for _, id := range n.unreachableZoneReplicas() {
		ejected[id] = true
	}
	current, followers := n.role, n.followerShare(now, live)
	roleTime := now - n.roleAt
	if schedulerChanged || current.isNonDelegate != previous.isNonDelegate {
		n.roleAt = now
	}
	var change eventlog.Event
	if schedulerChanged {
		change = n.recordSchedulerChange(now, previous.scheduler)
	}
	n.mutex.Unlock()
	if restoresLevels {
		n.scheduling.restoreBucketLevels(levelsUntil, levels, quotaShare)
	}
	if schedulerChanged {
		if previous.scheduler == settings.Name {
			n.logRetryBudget()
		}
		n.scheduling.setActive(current.scheduler == settings.Name)
		n.log.Write(change)
	}
	if current.isNonDelegate != previous.isNonDelegate {
		n.announceRole(current, roleTime)
	}
	if schedulerChanged {
		n.announceSelection(current, previous.scheduler)
	}
	n.scheduling.setShare(quotaShare, settings.retryPolicy(share))
	n.scheduling.update(func(scheduler *admission.Scheduler) {
		scheduler.SetEjected(ejected)
		scheduler.SetFollowerShare(now, followers)
	})
}

// updateRole computes this node's role among the live nodes. The caller holds the mutex.
func (n *Node) updateRole(now structs.Instant, live []*liveness.Member) {
	settings := n.settings.Load()
	own := n.ownHeartbeat()
	n.updateFleetSize(now, live)
	n.isNonDelegate = n.isLarge && !liveness.IsDelegate(own, live)
	delegates := liveness.Delegates(live)
	heartbeats := liveness.Heartbeats(delegates)
	if !n.isNonDelegate {
		heartbeats = append(heartbeats, own)
	}
	n.scheduler = settings.Name
	order := liveness.TopEligible(heartbeats, maxCandidates)
	if first := liveness.FirstNotSlow(order, heartbeats); first != "" {
		n.scheduler = first
	}
	if n.isLarge {
		order = order[:min(len(order), maxLargeFleetCandidates)]
	}
	n.isCandidate = slices.Contains(order, settings.Name)
	n.storeCallRank = n.storeCallRankAmong(liveness.Heartbeats(delegates))
	n.watchRank = n.watchRankAmong(delegates)
}

// updateFleetSize computes the fleet's size and whether it is large. The caller holds the mutex.
func (n *Node) updateFleetSize(now structs.Instant, live []*liveness.Member) {
	settings := n.settings.Load()
	n.size, n.zoneSize = n.members.Size(now, settings.Zone)
	n.fleetSize = max(n.size.Known, liveness.ReportedFleetSize(live))
	if n.isLarge = liveness.IsLarge(n.fleetSize, n.isLarge); n.isLarge {
		return
	}
	// In a small fleet every node receives heartbeats from all others.
	n.size = liveness.Size{Live: len(live) + 1, Known: max(len(n.members.All(now)), len(settings.Seeds)-1) + 1}
}

// detectLargeFleet marks the fleet as large if the heartbeat shows that, before the next selection:
// when many nodes start at once, one that regards the fleet as small would contact all of them. The
// caller holds the mutex.
func (n *Node) detectLargeFleet(heartbeat *liveness.Heartbeat) {
	if fleet := max(n.members.Known()+1, heartbeat.KnownNodes, heartbeat.FleetSize); !n.isLarge && liveness.IsLarge(fleet, false) {
		n.isLarge, n.fleetSize = true, fleet
	}
}

// ownHeartbeat returns the fields of this node's heartbeat that selections use. The caller holds
// the mutex.
func (n *Node) ownHeartbeat() *liveness.Heartbeat {
	settings := n.settings.Load()
	return &liveness.Heartbeat{
		Name: settings.Name, Zone: settings.Zone, Cores: settings.Cores, LinkMbps: settings.LinkMbps,
		Leaving: n.stoppingSince.Load() != 0, Slow: n.slowness.Slow(),
	}
}

// announceSelection sends a heartbeat to the new and the previous scheduling node, or to all nodes
// in a small fleet or if this node is the new one.
func (n *Node) announceSelection(current role, previous string) {
	if !current.isLarge || current.scheduler == n.settings.Load().Name {
		n.sendHeartbeats()
		return
	}
	n.mutex.Lock()
	heartbeat := n.buildHeartbeat(n.now())
	var addresses []string
	for _, name := range []string{current.scheduler, previous} {
		if member, found := n.members.Get(name); found {
			addresses = append(addresses, member.Address)
		}
	}
	n.mutex.Unlock()
	n.sendHeartbeat(heartbeat, addresses)
}

// announceRole logs that this node became a delegate or ceased to be one. A former delegate that
// was one for delegateKnownTime, so that all nodes may know it, also sends them a heartbeat to make
// them stop sending theirs to it. Other changes are announced with the next heartbeat.
func (n *Node) announceRole(current role, roleTime time.Duration) {
	outcome := "taken-up"
	if current.isNonDelegate {
		outcome = "laid-down"
	}
	n.log.Write(eventlog.Event{Kind: "delegate", Outcome: outcome, Count: current.fleetSize})
	if !current.isNonDelegate || roleTime < delegateKnownTime {
		return
	}
	n.mutex.Lock()
	now := n.now()
	heartbeat := n.buildHeartbeat(now)
	recipients := n.relays.ExtraRecipients(now, heartbeat.Zone, n.members.Live(now), current.isLarge)
	n.mutex.Unlock()
	n.sendToRecipients(heartbeat, recipients)
}

// delegateKnownTime is the time after which all nodes know a delegate.
const delegateKnownTime = 2 * nonDelegateInterval

// logRetryBudget logs, by service, what this node's retry budget granted while it scheduled.
func (n *Node) logRetryBudget() {
	for service, stats := range n.scheduling.retryStats() {
		n.log.Write(eventlog.Event{Kind: "retry-budget", Outcome: "ends", Service: service, Count: stats.Retries, Detail: fmt.Sprintf("%d requests, %d retries rejected", stats.Requests, stats.Rejected)})
	}
}

// minFailureReports is the minimum number of nodes that find a replica failing for its ejection.
const minFailureReports = 2

// ejectedReplicas returns the replicas that several nodes find failing, or none if these are more
// than half of all replicas. Isolated nodes can't tell whether a replica fails. The caller
// holds the mutex.
func (n *Node) ejectedReplicas(live []*liveness.Member) map[string]bool {
	reports := map[string]int{}
	if !n.paths.IsIsolated() {
		for _, id := range n.health.Failing(n.now()) {
			reports[id]++
		}
	}
	for _, member := range live {
		if member.Isolated {
			continue
		}
		for _, id := range member.FailingReplicas {
			reports[id]++
		}
	}
	ejected := map[string]bool{}
	for id, count := range reports {
		if count >= minFailureReports {
			ejected[id] = true
		}
	}
	if len(ejected)*2 > n.table.Count() {
		return map[string]bool{}
	}
	return ejected
}

// releaseDeadNodes ends, at this node's scheduling service, the assignments of processes that have
// ended.
func (n *Node) releaseDeadNodes() {
	n.mutex.Lock()
	now := n.now()
	live, isolated := map[string]bool{n.process(): true}, map[string]bool{n.process(): n.paths.IsIsolated()}
	for _, member := range n.members.PossiblyRunning(now) {
		process := processName(member.Name, member.Incarnation)
		live[process], isolated[process] = true, member.Isolated
	}
	n.mutex.Unlock()
	n.scheduling.setIsolatedNodes(isolated)
	n.scheduling.dropEndedNodes(live)
}
