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

// hearingTime is how long a process that starts takes itself to be in touch with all nodes,
// which tell of themselves once in that time. With the share of those that it has heard yet,
// buckets that it adopted would be cut to a part, and tenants below their quotas refused.
const startupFullShareTime = heartbeatInterval

// chooseGather is the least time between two choices that follow from news of nodes in a large
// fleet. A choice looks at all nodes that are heard of, and when many nodes start at once each of
// them is news.
const minSelectionInterval = 10 * time.Millisecond

// role is what this node is among the others.
type role struct {
	// scheduler is the node that schedules.
	scheduler string
	// isLarge is true in a large fleet, and isNonDelegate if this node is none of its delegates
	// there.
	isLarge, isNonDelegate bool
	// size is that of the fleet as far as this node and its delegates hear, and fleet also what
	// others take its size to be. zone is the size of this node's zone by its own ears.
	size, zone liveness.Size
	fleet      int
	// watchRank is this node's place among the live nodes that reach the store, and senior is
	// true if it is one of the first that may schedule.
	watchRank   int
	isCandidate bool
	// storeCallRank is this node's place among all live nodes in the order in which they call the
	// store.
	storeCallRank int
}

// share is the part of the quotas and repeats that the nodes in touch may hand out.
func (r *role) liveShare() float64 { return min(float64(r.size.Live)/float64(r.size.Known), 1) }

// followers returns the part of all nodes that go by this one when it schedules, and zero if it does
// not. The caller holds the mutex.
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

// chooseSoon has the scheduling node chosen by news of nodes, of which many may come at once.
func (n *Node) requestSelection() {
	n.mutex.Lock()
	wait := n.selectedAt + minSelectionInterval - n.now()
	if !n.isLarge {
		wait = 0
	}
	isDue, isAwaited := wait <= 0, n.isSelectionPending
	n.isSelectionPending = isAwaited || !isDue
	n.mutex.Unlock()
	switch {
	case isDue:
		n.selectScheduler()
	case !isAwaited:
		time.AfterFunc(wait, func() {
			if n.ctx.Err() == nil {
				n.selectScheduler()
			}
		})
	}
}

// selectScheduler takes the first live node in rendezvous order that is not slow for the
// scheduling node.
func (n *Node) selectScheduler() {
	settings := n.settings.Load()
	n.mutex.Lock()
	now := n.now()
	n.selectedAt, n.isSelectionPending = now, false
	live := n.members.Live(now)
	previous := n.role
	n.updateRole(now, live)
	moved := n.scheduler != previous.scheduler
	levels, levelsAt, levelsUntil := n.bucketLevels, n.bucketLevelsAt, n.bucketLevelsUntil
	if previous.scheduler == settings.Name {
		n.lastActiveAt = now
	}
	takesOver := moved && n.scheduler == settings.Name && levels != nil && now-levelsAt < bucketLevelsRetention
	share := n.role.liveShare()
	if now < startupFullShareTime {
		share = 1
	}
	if n.size.Known-n.size.Live > 1 {
		// More than the scheduling node was lost: it may be on the other side of a cut, where it
		// hands out until it finds so.
		levelsUntil = now
	}
	avoided := n.ejectedReplicas(live)
	for _, id := range n.unreachableZoneReplicas() {
		avoided[id] = true
	}
	chosen, followers := n.role, n.followerShare(now, live)
	held := now - n.roleAt
	if moved || chosen.isNonDelegate != previous.isNonDelegate {
		n.roleAt = now
	}
	n.mutex.Unlock()
	if takesOver {
		n.scheduling.restoreBucketLevels(levelsUntil, levels)
	}
	if moved {
		if previous.scheduler == settings.Name {
			n.logRetryBudget()
		}
		n.scheduling.setActive(chosen.scheduler == settings.Name)
		n.log.Write(eventlog.Event{Kind: "scheduler", Peer: chosen.scheduler, Outcome: "moved", Detail: "from " + previous.scheduler, Count: chosen.size.Live})
	}
	if chosen.isNonDelegate != previous.isNonDelegate {
		n.announceRole(chosen, held)
	}
	if moved {
		n.announceSelection(chosen, previous.scheduler)
	}
	n.scheduling.setShare(share, settings.retryPolicy(share))
	n.scheduling.update(func(scheduler *admission.Scheduler) {
		scheduler.SetEjected(avoided)
		scheduler.SetFollowerShare(now, followers)
	})
}

// takeRole finds what this node is among the live ones. The caller holds the mutex.
func (n *Node) updateRole(now structs.Instant, live []*liveness.Member) {
	settings := n.settings.Load()
	own := n.ownHeartbeat()
	n.updateFleetSize(now, live)
	n.isNonDelegate = n.isLarge && !liveness.IsDelegate(own, live)
	core := liveness.Delegates(live)
	beats := liveness.Heartbeats(core)
	if !n.isNonDelegate {
		beats = append(beats, own)
	}
	n.scheduler = settings.Name
	order := liveness.TopEligible(beats, maxCandidates)
	if first := liveness.FirstNotSlow(order, beats); first != "" {
		n.scheduler = first
	}
	if n.isLarge {
		order = order[:min(len(order), maxLargeFleetCandidates)]
	}
	n.isCandidate = slices.Contains(order, settings.Name)
	n.storeCallRank = n.storeCallRankAmong(liveness.Heartbeats(core))
	n.watchRank = n.watchRankAmong(core)
}

// takeSize finds how large the fleet is. The caller holds the mutex.
func (n *Node) updateFleetSize(now structs.Instant, live []*liveness.Member) {
	settings := n.settings.Load()
	n.size, n.zone = n.members.Size(now, settings.Zone)
	n.fleet = max(n.size.Known, liveness.ReportedFleetSize(live))
	if n.isLarge = liveness.IsLarge(n.fleet, n.isLarge); n.isLarge {
		return
	}
	// Every node hears every other one.
	n.size = liveness.Size{Live: len(live) + 1, Known: max(len(n.members.All(now)), len(settings.Seeds)-1) + 1}
}

// noteFleet finds from a heartbeat that the fleet is large, before the next choice: in the first
// moments of a start of all, whoever takes it for small would be told all names and greet all nodes.
// The caller holds the mutex.
func (n *Node) detectLargeFleet(beat *liveness.Heartbeat) {
	if fleet := max(n.members.Known()+1, beat.KnownNodes, beat.FleetSize); !n.isLarge && liveness.IsLarge(fleet, false) {
		n.isLarge, n.fleet = true, fleet
	}
}

// ownHeartbeat returns what this node is chosen by. The caller holds the mutex.
func (n *Node) ownHeartbeat() *liveness.Heartbeat {
	settings := n.settings.Load()
	return &liveness.Heartbeat{
		Name: settings.Name, Zone: settings.Zone, Cores: settings.Cores, LinkMbps: settings.LinkMbps,
		Leaving: n.stopping.Load() != 0, Slow: n.slowness.Slow(),
	}
}

// tellScheduler has the node that schedules from now on, and the one that did, hear of this one, and
// in a small fleet, or if it is this one, all nodes.
func (n *Node) announceSelection(chosen role, previous string) {
	if !chosen.isLarge || chosen.scheduler == n.settings.Load().Name {
		n.sendHeartbeats()
		return
	}
	n.mutex.Lock()
	beat := n.buildHeartbeat(n.now())
	var addresses []string
	for _, name := range []string{chosen.scheduler, previous} {
		if member, found := n.members.Get(name); found {
			addresses = append(addresses, member.Address)
		}
	}
	n.mutex.Unlock()
	n.sendHeartbeat(beat, addresses)
}

// noteRole handles that this node became a delegate of its zone, or is none any more. Who takes it
// for one would beat to it in vain, so that one that all nodes have heard of tells them at once. What
// else changed goes with the next heartbeat: at a start of all, each node finds that it is none.
func (n *Node) announceRole(chosen role, held time.Duration) {
	outcome := "taken-up"
	if chosen.isNonDelegate {
		outcome = "laid-down"
	}
	n.log.Write(eventlog.Event{Kind: "delegate", Outcome: outcome, Count: chosen.fleet})
	if !chosen.isNonDelegate || held < delegateKnownTime {
		return
	}
	n.mutex.Lock()
	now := n.now()
	beat := n.buildHeartbeat(now)
	routes := n.relays.Recipients(now, beat.Zone, n.members.Live(now), chosen.isLarge)
	n.mutex.Unlock()
	n.sendToRecipients(beat, routes)
}

// delegateKnown is the time after which all nodes have heard of a delegate.
const delegateKnownTime = 2 * nonDelegateInterval

// noteRepeats tells what this node's retry budget gave while it scheduled: whether the repeats of
// several scheduling nodes add up can be seen from their lines together.
func (n *Node) logRetryBudget() {
	for service, use := range n.scheduling.retryStats() {
		n.log.Write(eventlog.Event{Kind: "retry-budget", Outcome: "ends", Service: service, Count: use.Retries, Detail: fmt.Sprintf("%d requests, %d refused", use.Requests, use.Rejected)})
	}
}

// agreeing is how many nodes must find a replica failing for all to avoid it.
const minFailureReports = 2

// avoidedByMany returns the replicas that several nodes find failing, unless
// these were more than half of all. The caller holds the mutex.
func (n *Node) ejectedReplicas(live []*liveness.Member) map[string]bool {
	votes := map[string]int{}
	for _, id := range n.health.Failing(n.now()) {
		votes[id]++
	}
	for _, member := range live {
		for _, id := range member.FailingReplicas {
			votes[id]++
		}
	}
	avoided := map[string]bool{}
	for id, count := range votes {
		if count >= minFailureReports {
			avoided[id] = true
		}
	}
	if len(avoided)*2 > n.table.Count() {
		return map[string]bool{}
	}
	return avoided
}

// releaseDeadNodes frees at the desk what processes held that have ended.
func (n *Node) releaseDeadNodes() {
	n.mutex.Lock()
	now := n.now()
	live := map[string]bool{n.process(): true}
	for _, member := range n.members.PossiblyRunning(now) {
		live[processName(member.Name, member.Incarnation)] = true
	}
	n.mutex.Unlock()
	n.scheduling.dropEndedNodes(live)
}
