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
	// pollersPerReplica is the nodes that may ask a replica for its load: the
	// first does, the next one if nothing was heard for overdueIntervals.
	pollersPerReplica = 2
	overdueIntervals  = 4
	// pollTimeout bounds one question.
	pollTimeout = time.Second
	// machineInterval is the time between looks at the machine list.
	machineInterval = time.Second
	// introductions is the members that a node joins through at a time.
	introductions = 3
	// zoneInterval is the time between words of delegates to other zones.
	zoneInterval = 500 * time.Millisecond
	// removeAfter is how long a replica may be missing from the list before it
	// is forgotten; until then it counts as leaving.
	removeAfter = 30 * time.Second
)

// machineView is the machine list as last read.
type machineView struct {
	entries []outside.Machine
	missing map[structs.ReplicaID]structs.Instant
}

// pollLoop asks the replicas that fall to this node for their load.
func (n *Node) pollLoop() {
	for {
		n.mutex.Lock()
		assigned := n.assignedReplicas()
		n.mutex.Unlock()
		for _, replica := range assigned {
			n.group.Go(func() { n.poll(replica) })
		}
		if !wait.For(n.ctx, n.settings.Compiled().Node.PollInterval) {
			return
		}
	}
}

// assignedReplicas returns the zone's replicas that this node polls and that
// it is not polling just now. The mutex is held.
func (n *Node) assignedReplicas() []structs.Replica {
	live := n.table.LiveNames()
	var assigned []structs.Replica
	for _, replica := range n.scheduler.View().Replicas() {
		if replica.Zone != n.config.Zone || n.polling[replica.ID] {
			continue
		}
		pollers := rendezvous.Top(live, rendezvous.Key("poll/"+string(replica.ID)), pollersPerReplica)
		place := slices.Index(pollers, n.config.Name)
		if place == 0 || (place > 0 && n.isOverdue(replica.ID)) {
			n.polling[replica.ID] = true
			assigned = append(assigned, replica)
		}
	}
	return assigned
}

// isOverdue returns whether the first poller of the replica seems to be gone.
// The mutex is held.
func (n *Node) isOverdue(id structs.ReplicaID) bool {
	state, found := n.scheduler.View().Get(id)
	return !found || !state.HasReport || state.Age(n.now()) > overdueIntervals*n.settings.Compiled().Node.PollInterval
}

func (n *Node) poll(replica structs.Replica) {
	ctx, cancel := context.WithTimeout(n.ctx, pollTimeout)
	defer cancel()
	begun := n.now()
	report, err := n.adapter.Report(ctx, replica.Address)
	var events []structs.CacheEvent
	if err == nil && replica.Kind == structs.KindEngine {
		n.mutex.Lock()
		cursor := n.cursors[replica.ID]
		n.mutex.Unlock()
		events, _ = n.adapter.CacheEvents(ctx, replica.Address, cursor) // a gap is as good as an error
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.polling, replica.ID)
	if err != nil {
		return
	}
	report.Replica = replica.ID
	// The state was seen at some time between question and answer; taking the
	// question's time makes the report too old rather than too young.
	report.Age += n.now() - begun
	n.takeReport(report)
	for _, event := range events {
		n.cursors[replica.ID] = max(n.cursors[replica.ID], event.Sequence)
		n.scheduler.Prefixes().Event(replica.ID, event)
	}
	n.polled.Store(true)
	n.pump()
}

// machineLoop follows the platform's machine list.
func (n *Node) machineLoop() {
	for {
		ctx, cancel := context.WithTimeout(n.ctx, machineInterval)
		machines, err := n.depend.Machines.Machines(ctx)
		cancel()
		if err != nil {
			klog.V(1).InfoS("machine list not read", "node", n.config.Name, "error", err.Error())
		} else {
			n.takeMachines(machines)
		}
		if !wait.For(n.ctx, machineInterval) {
			return
		}
	}
}

// takeMachines applies a reading of the list: it names back ends, and members
// to introduce oneself to. Whether members are alive is for heartbeats to say.
func (n *Node) takeMachines(machines []outside.Machine) {
	var introduce []string
	n.mutex.Lock()
	n.machines.entries = n.machines.entries[:0]
	seen := map[structs.ReplicaID]bool{}
	for _, machine := range machines {
		if machine.Replica != nil {
			seen[machine.Replica.ID] = true
			n.takeReplica(machine)
			continue
		}
		n.machines.entries = append(n.machines.entries, machine)
		if machine.Zone == n.config.Zone && machine.Name != n.config.Name {
			if known, found := n.table.Get(machine.Name); !found || known.Status == membership.Dead {
				introduce = append(introduce, machine.PeerAddress)
			}
		}
	}
	n.dropMissing(seen)
	n.applyClosed(n.settings.Compiled())
	hasReplicas := len(n.scheduler.View().Replicas()) > 0
	n.pump()
	n.mutex.Unlock()
	n.introduce(introduce)
	if !hasReplicas {
		n.polled.Store(true)
	}
}

// introduce joins through a few of the members that are not known yet; their
// answers name the others. At the first time the owners of the floors are told
// too, so that they count this node before it admits work.
func (n *Node) introduce(addresses []string) {
	n.mutex.Lock()
	n.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	n.mutex.Unlock()
	for _, address := range addresses[:min(len(addresses), introductions)] {
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

func (n *Node) takeReplica(machine outside.Machine) {
	replica := *machine.Replica
	replica.Zone = machine.Zone
	replica.Leaving = replica.Leaving || machine.Leaving
	if replica.Zone == n.config.Zone || n.wantsZone(replica.Zone) {
		n.scheduler.View().Upsert(replica)
	}
}

// wantsZone returns whether any service may overflow to the zone.
func (n *Node) wantsZone(zone string) bool {
	compiled := n.settings.Compiled()
	for _, name := range compiled.Services() {
		if service, found := compiled.Service(name); found && service.Values.Overflow && slices.Contains(service.Values.OverflowZones, zone) {
			return true
		}
	}
	return false
}

// dropMissing treats replicas that left the list as leaving and forgets them
// after a time. The mutex is held.
func (n *Node) dropMissing(seen map[structs.ReplicaID]bool) {
	if n.machines.missing == nil {
		n.machines.missing = map[structs.ReplicaID]structs.Instant{}
	}
	now := n.now()
	for _, replica := range n.scheduler.View().Replicas() {
		if seen[replica.ID] {
			delete(n.machines.missing, replica.ID)
			continue
		}
		since, missing := n.machines.missing[replica.ID]
		if !missing {
			n.machines.missing[replica.ID] = now
			n.scheduler.View().MarkLeaving(replica.ID)
		} else if now-since > removeAfter {
			n.scheduler.View().Remove(replica.ID)
			delete(n.machines.missing, replica.ID)
		}
	}
}

// zoneLoop exchanges words with other zones, if this node is a delegate: the
// generation in force and, for overflow, the load of the replicas.
func (n *Node) zoneLoop() {
	for wait.For(n.ctx, zoneInterval) {
		n.mutex.Lock()
		var targets []outside.Machine
		if n.isDelegate() {
			targets = n.otherZones()
		}
		n.mutex.Unlock()
		for _, target := range targets {
			n.group.Go(func() { n.greetZone(target) })
		}
	}
}

// otherZones picks one random entry machine of each other zone. The mutex is held.
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

// greetZone sends the zone's reports, so that the other may overflow here, and
// merges those of the answer.
func (n *Node) greetZone(target outside.Machine) {
	n.mutex.Lock()
	message := heartbeat{From: n.table.Self(), Generation: n.settings.Compiled().Generation, Reports: n.zoneReports()}
	n.mutex.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	var reply heartbeat
	if err := n.peers.Call(ctx, target.PeerAddress, peerwire.KindHeartbeat, &message, &reply); err == nil {
		n.takeHeartbeat(&reply)
	}
}

// zoneReports returns the last reports of the zone's own replicas if some
// service overflows anywhere. The mutex is held.
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
				reports = append(reports, shorten(&report, true))
			}
		}
	}
	return reports
}
