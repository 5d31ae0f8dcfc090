package node

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/internal/wait"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// pollersPerReplica is the number of nodes that may poll a replica: the first
	// does, the others once its report is older than overduePollIntervals.
	pollersPerReplica    = 2
	overduePollIntervals = 4
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// machineListInterval is the time between reads of the machine list.
	machineListInterval = time.Second
	// maxJoinsAtOnce bounds the members that a node joins through at once.
	maxJoinsAtOnce = 3
	// zoneHeartbeatInterval is the time between a delegate's heartbeats to other zones.
	zoneHeartbeatInterval = 500 * time.Millisecond
	// removeMissingAfter is how long a replica may be missing from the machine
	// list before it is removed; until then it counts as leaving.
	removeMissingAfter = 30 * time.Second
)

// machineView is the last machine list: the entry nodes, and since when replicas
// are missing from the list.
type machineView struct {
	entries      []outside.Machine
	missingSince map[structs.ReplicaID]structs.Instant
}

// pollLoop polls the load of the replicas that are assigned to this node.
func (n *Node) pollLoop() {
	for {
		n.mutex.Lock()
		assigned := n.assignedReplicas()
		n.mutex.Unlock()
		for _, replica := range assigned {
			n.group.Go(func() { n.poll(replica) })
		}
		if !wait.Sleep(n.ctx, n.settings.Compiled().Node.PollInterval) {
			return
		}
	}
}

// assignedReplicas returns the zone's replicas that this node should poll now, and
// marks them as being polled. The caller holds the mutex.
func (n *Node) assignedReplicas() []structs.Replica {
	live := n.table.LiveNames()
	var assigned []structs.Replica
	for _, replica := range n.scheduler.View().Replicas() {
		if replica.Zone != n.config.Zone || n.polling[replica.ID] {
			continue
		}
		pollers := rendezvous.Top(live, rendezvous.Hash("poll/"+string(replica.ID)), pollersPerReplica)
		index := slices.Index(pollers, n.config.Name)
		if index == 0 || (index > 0 && n.isReportOverdue(replica.ID)) {
			n.polling[replica.ID] = true
			assigned = append(assigned, replica)
		}
	}
	return assigned
}

// isReportOverdue reports whether the replica has no recent report, so that its
// first poller may have failed. The caller holds the mutex.
func (n *Node) isReportOverdue(id structs.ReplicaID) bool {
	state, found := n.scheduler.View().Get(id)
	return !found || !state.HasReport || state.Age(n.now()) > overduePollIntervals*n.settings.Compiled().Node.PollInterval
}

// poll reads the load and the cache events of the replica and applies them.
func (n *Node) poll(replica structs.Replica) {
	ctx, cancel := context.WithTimeout(n.ctx, pollTimeout)
	defer cancel()
	started := n.now()
	report, err := n.adapter.Report(ctx, replica.Address)
	var events []structs.CacheEvent
	if err == nil && replica.Kind == structs.KindEngine {
		n.mutex.Lock()
		cursor := n.cacheEventCursors[replica.ID]
		n.mutex.Unlock()
		events, _ = n.adapter.CacheEvents(ctx, replica.Address, cursor) // events lost by an error or a gap are tolerated
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.polling, replica.ID)
	if err != nil {
		return
	}
	report.Replica = replica.ID
	// The replica created the report between request and response. Counting from
	// the request can only overestimate its age.
	report.Age += n.now() - started
	n.applyPolledReport(report)
	for _, event := range events {
		n.cacheEventCursors[replica.ID] = max(n.cacheEventCursors[replica.ID], event.Sequence)
		n.scheduler.Prefixes().ApplyCacheEvent(replica.ID, event)
	}
	n.loadKnown.Store(true)
	n.schedulePending()
}

// machineLoop reads the platform's machine list and applies it.
func (n *Node) machineLoop() {
	for {
		ctx, cancel := context.WithTimeout(n.ctx, machineListInterval)
		machines, err := n.deps.Machines.Machines(ctx)
		cancel()
		if err != nil {
			klog.V(1).InfoS("machine list read failed", "node", n.config.Name, "error", err.Error())
		} else {
			n.applyMachines(machines)
		}
		if !wait.Sleep(n.ctx, machineListInterval) {
			return
		}
	}
}

// applyMachines applies a machine list: it updates the replicas and joins the zone
// through members that are unknown or dead. Liveness depends on heartbeats only.
func (n *Node) applyMachines(machines []outside.Machine) {
	var unknown []string
	n.mutex.Lock()
	n.machines.entries = n.machines.entries[:0]
	seen := map[structs.ReplicaID]bool{}
	for _, machine := range machines {
		if machine.Replica != nil {
			seen[machine.Replica.ID] = true
			n.applyReplica(machine)
			continue
		}
		n.machines.entries = append(n.machines.entries, machine)
		if machine.Zone == n.config.Zone && machine.Name != n.config.Name {
			if known, found := n.table.Get(machine.Name); !found || known.Status == membership.Dead {
				unknown = append(unknown, machine.PeerAddress)
			}
		}
	}
	n.removeMissing(seen)
	n.applyClosedReplicas(n.settings.Compiled())
	hasReplicas := len(n.scheduler.View().Replicas()) > 0
	n.schedulePending()
	n.mutex.Unlock()
	n.joinUnknownMembers(unknown)
	if !hasReplicas {
		n.loadKnown.Store(true)
	}
}

// joinUnknownMembers joins through some of the addresses; the replies name the
// other members. The first time it also joins through the owners of the shed
// floors, so that they know this node before it admits requests.
func (n *Node) joinUnknownMembers(addresses []string) {
	n.mutex.Lock()
	n.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	n.mutex.Unlock()
	for _, address := range addresses[:min(len(addresses), maxJoinsAtOnce)] {
		n.join(address)
	}
	if n.joined.Load() {
		return
	}
	for _, address := range n.floorOwnerAddresses() {
		n.join(address)
	}
	n.joined.Store(true)
}

func (n *Node) floorOwnerAddresses() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var addresses []string
	for _, service := range n.settings.Compiled().Services() {
		owner := n.floorOwnerOf(service)
		known, found := n.table.Get(owner)
		if found && owner != n.config.Name && !slices.Contains(addresses, known.Member.PeerAddress) {
			addresses = append(addresses, known.Member.PeerAddress)
		}
	}
	return addresses
}

// applyReplica updates the replica of a machine if requests may be sent to its
// zone. The caller holds the mutex.
func (n *Node) applyReplica(machine outside.Machine) {
	replica := *machine.Replica
	replica.Zone = machine.Zone
	replica.Leaving = replica.Leaving || machine.Leaving
	if replica.Zone == n.config.Zone || n.mayOverflowTo(replica.Zone) {
		n.scheduler.View().Upsert(replica)
	}
}

// mayOverflowTo reports whether any service may overflow to the zone.
func (n *Node) mayOverflowTo(zone string) bool {
	compiled := n.settings.Compiled()
	for _, name := range compiled.Services() {
		if service, found := compiled.Service(name); found && service.Values.Overflow && slices.Contains(service.Values.OverflowZones, zone) {
			return true
		}
	}
	return false
}

// removeMissing marks replicas that are missing from the machine list as leaving
// and removes them after removeMissingAfter. The caller holds the mutex.
func (n *Node) removeMissing(seen map[structs.ReplicaID]bool) {
	if n.machines.missingSince == nil {
		n.machines.missingSince = map[structs.ReplicaID]structs.Instant{}
	}
	now := n.now()
	for _, replica := range n.scheduler.View().Replicas() {
		if seen[replica.ID] {
			delete(n.machines.missingSince, replica.ID)
			continue
		}
		since, missing := n.machines.missingSince[replica.ID]
		if !missing {
			n.machines.missingSince[replica.ID] = now
			n.scheduler.View().MarkLeaving(replica.ID)
		} else if now-since > removeMissingAfter {
			n.scheduler.View().Remove(replica.ID)
			delete(n.machines.missingSince, replica.ID)
		}
	}
}

// zoneLoop exchanges heartbeats with the other zones while this node is a delegate:
// the active generation and, for overflow, the load of the replicas.
func (n *Node) zoneLoop() {
	for wait.Sleep(n.ctx, zoneHeartbeatInterval) {
		n.mutex.Lock()
		var targets []outside.Machine
		if n.isDelegate() {
			targets = n.otherZones()
		}
		n.mutex.Unlock()
		for _, target := range targets {
			n.group.Go(func() { n.exchangeWithZone(target) })
		}
	}
}

// otherZones returns a random entry node of each other zone. The caller holds the
// mutex.
func (n *Node) otherZones() []outside.Machine {
	byZone := map[string][]outside.Machine{}
	var zones []string
	for _, machine := range n.machines.entries {
		if machine.Zone == n.config.Zone || machine.Leaving {
			continue
		}
		if len(byZone[machine.Zone]) == 0 {
			zones = append(zones, machine.Zone)
		}
		byZone[machine.Zone] = append(byZone[machine.Zone], machine)
	}
	picked := make([]outside.Machine, 0, len(zones))
	for _, zone := range zones {
		machines := byZone[zone]
		picked = append(picked, machines[n.random.IntN(len(machines))])
	}
	return picked
}

// exchangeWithZone sends a heartbeat with the load reports of this zone to a node
// of another zone, which may overflow here, and applies the reply.
func (n *Node) exchangeWithZone(target outside.Machine) {
	n.mutex.Lock()
	message := heartbeat{From: n.table.Self(), Generation: n.settings.Compiled().Generation, Reports: n.zoneReports()}
	n.mutex.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, peerCallTimeout)
	defer cancel()
	var reply heartbeat
	if err := n.peers.Call(ctx, target.PeerAddress, peerwire.KindHeartbeat, &message, &reply); err == nil {
		n.applyHeartbeat(&reply)
	}
}

// zoneReports returns the last reports of the zone's replicas of all services that
// may overflow. The caller holds the mutex.
func (n *Node) zoneReports() []digest {
	compiled := n.settings.Compiled()
	var reports []digest
	for _, name := range compiled.Services() {
		service, found := compiled.Service(name)
		if !found || !service.Values.Overflow {
			continue
		}
		for _, state := range n.scheduler.View().Pool(name).States {
			if state.HasReport && state.Replica.Zone == n.config.Zone {
				report := state.Report
				report.Age = state.Age(n.now())
				reports = append(reports, newDigest(&report, true))
			}
		}
	}
	return reports
}
