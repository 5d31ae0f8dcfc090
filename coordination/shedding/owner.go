package shedding

import (
	"slices"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/structs"
)

// FloorUpdate sends the floor of a service from its owner to a member.
type FloorUpdate struct {
	Service string `msgpack:"s"`
	Owner   string `msgpack:"o"`
	// Epoch increases with each change that one owner process makes.
	Epoch uint64 `msgpack:"e"`
	// KeepRefuseFrom leaves the member's RefuseFrom unchanged. A new owner sets it
	// in its first update, since it doesn't know the thresholds in use.
	KeepRefuseFrom bool            `msgpack:"k"`
	Floor          scheduler.Floor `msgpack:"f"`
}

// Ack confirms to the owner that a member applied a FloorUpdate.
type Ack struct {
	Service string `msgpack:"s"`
	Epoch   uint64 `msgpack:"e"`
	From    string `msgpack:"f"`
	// Floor is the floor that the member applies, merged over all owners.
	Floor scheduler.Floor `msgpack:"l"`
}

// Demand requests from the owner that the rank may be shed.
type Demand struct {
	Service string       `msgpack:"s"`
	Rank    structs.Rank `msgpack:"r"`
	From    string       `msgpack:"f"`
}

// Message is a FloorUpdate to be sent to a member.
type Message struct {
	To     string
	Update FloorUpdate
}

const (
	// RenewInterval is the time between FloorUpdates to a member that has
	// acknowledged, which renew its leases.
	RenewInterval = 400 * time.Millisecond
	// RetryInterval is the time between FloorUpdates to a member that has not
	// acknowledged.
	RetryInterval = 50 * time.Millisecond
	// ShedFromLease and RefuseFromLease are how long a member applies the
	// thresholds of an owner that sends no updates.
	ShedFromLease   = 1500 * time.Millisecond
	RefuseFromLease = 4 * time.Second
	// MinLoosenInterval is the minimum time between two changes that loosen the
	// floor.
	MinLoosenInterval = 150 * time.Millisecond
)

// Owner coordinates the floors of the services that this node owns. It is not
// safe for concurrent use.
type Owner struct {
	self       string
	lowestRank structs.Rank
	demandTTL  time.Duration
	services   map[string]*ownedFloor
}

// ownedFloor is the protocol state of one service.
type ownedFloor struct {
	demands map[string]demandEntry
	epoch   uint64
	current FloorUpdate
	// allAcknowledged is set if every member acknowledged current.
	allAcknowledged bool
	acknowledgedBy  map[string]bool
	sentAt          map[string]structs.Instant
	// demandedAt is when a demand above the lowest tier was last active.
	demandedAt structs.Instant
	changedAt  structs.Instant
}

type demandEntry struct {
	rank       structs.Rank
	receivedAt structs.Instant
}

// NewOwner returns an owner without services. Epochs start at one, so self must
// be different for each incarnation of the node.
func NewOwner(self string, lowest structs.Rank, demandTTL time.Duration) *Owner {
	return &Owner{self: self, lowestRank: lowest, demandTTL: demandTTL, services: map[string]*ownedFloor{}}
}

// SetTiers sets the greatest rank of any tier and how long demands are valid.
func (o *Owner) SetTiers(lowest structs.Rank, demandTTL time.Duration) {
	o.lowestRank, o.demandTTL = lowest, demandTTL
}

// Demand records a member's demand, which is valid until the demand TTL ends.
func (o *Owner) Demand(now structs.Instant, demand Demand) {
	o.service(demand.Service).demands[demand.From] = demandEntry{rank: demand.Rank, receivedAt: now}
}

// Ack records a member's acknowledgement; one of an earlier epoch is ignored.
func (o *Owner) Ack(ack Ack) {
	owned, found := o.services[ack.Service]
	if found && ack.Epoch == owned.epoch {
		owned.acknowledgedBy[ack.From] = true
	}
}

// Release drops the state of a service that another node owns now.
func (o *Owner) Release(service string) { delete(o.services, service) }

// Services returns the names of the services with state, sorted.
func (o *Owner) Services() []string {
	names := make([]string, 0, len(o.services))
	for name := range o.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Floor returns the floor that the owner announces for the service. It returns
// false if there is no state for the service.
func (o *Owner) Floor(service string) (scheduler.Floor, bool) {
	owned, found := o.services[service]
	if !found {
		return scheduler.Floor{}, false
	}
	return owned.current.Floor, true
}

func (o *Owner) service(name string) *ownedFloor {
	owned, found := o.services[name]
	if found {
		return owned
	}
	owned = &ownedFloor{
		demands: map[string]demandEntry{}, acknowledgedBy: map[string]bool{}, sentAt: map[string]structs.Instant{},
		epoch:   1,
		current: FloorUpdate{Service: name, Owner: o.self, Epoch: 1, KeepRefuseFrom: true, Floor: scheduler.Floor{RefuseFrom: scheduler.NoRank, ShedFrom: o.lowestRank}},
	}
	o.services[name] = owned
	return owned
}

// Tick moves at most one threshold of the service's floor and returns the
// updates to send. The members are the live nodes of the zone, including this one.
func (o *Owner) Tick(now structs.Instant, service string, members []string) []Message {
	owned, found := o.services[service]
	if !found {
		return nil
	}
	owned.allAcknowledged = owned.isAcknowledgedByAll(members)
	if owned.allAcknowledged {
		next, changed := owned.nextFloor(o.demandedRank(now, owned), o.lowestRank)
		switch {
		case changed && owned.loosens(next) && now-owned.changedAt < MinLoosenInterval:
			// Observe the load of the tier admitted last before loosening again.
		case changed:
			owned.setFloor(now, next)
		case o.isIdle(now, owned):
			delete(o.services, service)
			return nil
		}
	}
	return owned.outgoing(now, members)
}

// demandedRank returns the highest tier with a valid demand, or the lowest rank.
// It removes expired demands.
func (o *Owner) demandedRank(now structs.Instant, owned *ownedFloor) structs.Rank {
	highest := o.lowestRank
	for from, demand := range owned.demands {
		if now-demand.receivedAt > o.demandTTL {
			delete(owned.demands, from)
			continue
		}
		highest = min(highest, demand.rank)
	}
	if highest < o.lowestRank {
		owned.demandedAt = now
	}
	return highest
}

// isIdle reports whether the floor has its default thresholds and no demand was
// active for the longest lease.
func (o *Owner) isIdle(now structs.Instant, owned *ownedFloor) bool {
	return !owned.current.KeepRefuseFrom && owned.current.Floor == o.defaultFloor() && now-owned.demandedAt > RefuseFromLease
}

func (o *Owner) defaultFloor() scheduler.Floor {
	return scheduler.Floor{RefuseFrom: scheduler.NoRank, ShedFrom: o.lowestRank}
}

// nextFloor returns the floor with one threshold moved towards the target rank,
// and whether it differs from the current floor.
func (f *ownedFloor) nextFloor(target, lowest structs.Rank) (scheduler.Floor, bool) {
	floor := f.current.Floor
	wanted := scheduler.Floor{RefuseFrom: target + 1, ShedFrom: target}
	if target >= lowest {
		wanted.RefuseFrom = scheduler.NoRank
	}
	switch {
	case f.current.KeepRefuseFrom:
		// Every member acknowledged that it sheds only the lowest tier, so
		// RefuseFrom may be set to any value.
		return scheduler.Floor{RefuseFrom: wanted.RefuseFrom, ShedFrom: floor.ShedFrom}, true
	case wanted.ShedFrom > floor.ShedFrom:
		return scheduler.Floor{RefuseFrom: floor.RefuseFrom, ShedFrom: wanted.ShedFrom}, true
	case wanted.RefuseFrom < floor.RefuseFrom:
		return scheduler.Floor{RefuseFrom: wanted.RefuseFrom, ShedFrom: floor.ShedFrom}, true
	case wanted.RefuseFrom > floor.RefuseFrom:
		refuseFrom := floor.RefuseFrom + 1 // one tier at a time
		if refuseFrom > lowest {
			refuseFrom = wanted.RefuseFrom
		}
		return scheduler.Floor{RefuseFrom: refuseFrom, ShedFrom: floor.ShedFrom}, true
	case wanted.ShedFrom < floor.ShedFrom:
		return scheduler.Floor{RefuseFrom: floor.RefuseFrom, ShedFrom: wanted.ShedFrom}, true
	}
	return floor, false
}

// loosens reports whether the floor rejects or sheds fewer tiers than the
// current one.
func (f *ownedFloor) loosens(floor scheduler.Floor) bool {
	current := f.current.Floor
	return !f.current.KeepRefuseFrom && (floor.RefuseFrom > current.RefuseFrom || floor.ShedFrom > current.ShedFrom)
}

// setFloor starts a new epoch with the floor, not acknowledged by any member.
func (f *ownedFloor) setFloor(now structs.Instant, floor scheduler.Floor) {
	f.changedAt = now
	f.epoch++
	f.current.Epoch = f.epoch
	f.current.KeepRefuseFrom = false
	f.current.Floor = floor
	clear(f.acknowledgedBy)
	clear(f.sentAt)
}

func (f *ownedFloor) isAcknowledgedByAll(members []string) bool {
	for _, member := range members {
		if !f.acknowledgedBy[member] {
			return false
		}
	}
	return true
}

// outgoing returns the messages that are due: retries to members that have not
// acknowledged, and lease renewals to the others. It also drops the
// acknowledgements of nodes that are no longer members.
func (f *ownedFloor) outgoing(now structs.Instant, members []string) []Message {
	var messages []Message
	for _, member := range members {
		sentAt, sent := f.sentAt[member]
		interval := RenewInterval
		if !f.acknowledgedBy[member] {
			interval = RetryInterval
		}
		if sent && now-sentAt < interval {
			continue
		}
		f.sentAt[member] = now
		messages = append(messages, Message{To: member, Update: f.current})
	}
	for member := range f.acknowledgedBy {
		if !slices.Contains(members, member) {
			delete(f.acknowledgedBy, member)
		}
	}
	return messages
}
