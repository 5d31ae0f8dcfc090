package shedding

import (
	"slices"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/structs"
)

// FloorUpdate tells a member the floor of a service.
type FloorUpdate struct {
	Service string `msgpack:"s"`
	Owner   string `msgpack:"o"`
	// Epoch rises with each change made by one owner process.
	Epoch uint64 `msgpack:"e"`
	// KeepRefuse leaves RefuseFrom as the member has it. A new owner uses it
	// once, since it does not know what others apply.
	KeepRefuse bool            `msgpack:"k"`
	Floor      scheduler.Floor `msgpack:"f"`
}

// Ack tells the owner that a member applied a FloorUpdate.
type Ack struct {
	Service string `msgpack:"s"`
	Epoch   uint64 `msgpack:"e"`
	From    string `msgpack:"f"`
	// Floor is what the member applies, over all owners that it hears.
	Floor scheduler.Floor `msgpack:"l"`
}

// Demand asks the owner to make the rank sheddable.
type Demand struct {
	Service string       `msgpack:"s"`
	Rank    structs.Rank `msgpack:"r"`
	From    string       `msgpack:"f"`
}

// Message is a message to a member.
type Message struct {
	To     string
	Update FloorUpdate
}

// Times of the protocol.
const (
	// ResendInterval is the time between repetitions of a FloorUpdate.
	ResendInterval = 400 * time.Millisecond
	// RetryInterval is the time between repetitions to members that have not
	// acknowledged.
	RetryInterval = 50 * time.Millisecond
	// ShedLease and RefuseLease are how long a member applies the marks of an
	// owner that it does not hear.
	ShedLease   = 1500 * time.Millisecond
	RefuseLease = 4 * time.Second
	// LoosenPause is the least time between two steps that loosen the floor.
	LoosenPause = 150 * time.Millisecond
)

// Owner is the owner's side for one node. It is not safe for concurrent use.
type Owner struct {
	self     string
	lowest   structs.Rank
	hold     time.Duration
	services map[string]*ownedFloor
}

// ownedFloor is the protocol state of one service.
type ownedFloor struct {
	demands map[string]demandEntry
	epoch   uint64
	current FloorUpdate
	settled bool // every member acknowledged current
	acked   map[string]bool
	sentAt  map[string]structs.Instant
	idleAt  structs.Instant
	// changedAt is when the floor was changed last.
	changedAt structs.Instant
}

type demandEntry struct {
	rank structs.Rank
	at   structs.Instant
}

// NewOwner returns the owner's side of the node. Epochs start from the given
// incarnation, so that those of a new process are higher.
func NewOwner(self string, lowest structs.Rank, hold time.Duration) *Owner {
	return &Owner{self: self, lowest: lowest, hold: hold, services: map[string]*ownedFloor{}}
}

// SetTiers takes changed settings into force.
func (o *Owner) SetTiers(lowest structs.Rank, hold time.Duration) { o.lowest, o.hold = lowest, hold }

// Demand records a member's demand.
func (o *Owner) Demand(now structs.Instant, demand Demand) {
	o.service(demand.Service).demands[demand.From] = demandEntry{rank: demand.Rank, at: now}
}

// Ack records a member's acknowledgement.
func (o *Owner) Ack(ack Ack) {
	owned, found := o.services[ack.Service]
	if found && ack.Epoch == owned.epoch {
		owned.acked[ack.From] = true
	}
}

// Release forgets the service when another node became its owner.
func (o *Owner) Release(service string) { delete(o.services, service) }

// Services lists the services with protocol state, in order.
func (o *Owner) Services() []string {
	names := make([]string, 0, len(o.services))
	for name := range o.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Floor returns the last floor that the owner told for the service.
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
		demands: map[string]demandEntry{}, acked: map[string]bool{}, sentAt: map[string]structs.Instant{},
		epoch:   1,
		current: FloorUpdate{Service: name, Owner: o.self, Epoch: 1, KeepRefuse: true, Floor: scheduler.Floor{RefuseFrom: scheduler.NoRank, ShedFrom: o.lowest}},
	}
	o.services[name] = owned
	return owned
}

// Tick advances the service's floor by at most one mark and returns what has
// to be sent. Members are the live nodes of the zone, this one included.
func (o *Owner) Tick(now structs.Instant, name string, members []string) []Message {
	owned, found := o.services[name]
	if !found {
		return nil
	}
	owned.settled = owned.allAcked(members)
	if owned.settled {
		next, changed := owned.next(o.target(now, owned), o.lowest)
		switch {
		case changed && owned.loosens(next) && now-owned.changedAt < LoosenPause:
			// The tier that was refused last is admitted for a while before the
			// next lower one is.
		case changed:
			owned.advance(now, next)
		case o.forgettable(now, owned):
			delete(o.services, name)
			return nil
		}
	}
	return owned.outgoing(now, members)
}

// target is the highest tier demanded within the hold time.
func (o *Owner) target(now structs.Instant, owned *ownedFloor) structs.Rank {
	target := o.lowest
	for from, demand := range owned.demands {
		if now-demand.at > o.hold {
			delete(owned.demands, from)
			continue
		}
		target = min(target, demand.rank)
	}
	if target < o.lowest {
		owned.idleAt = now
	}
	return target
}

// forgettable is true once the floor is back at rest and its leases lapsed.
func (o *Owner) forgettable(now structs.Instant, owned *ownedFloor) bool {
	return !owned.current.KeepRefuse && owned.current.Floor == o.rest() && now-owned.idleAt > RefuseLease
}

func (o *Owner) rest() scheduler.Floor {
	return scheduler.Floor{RefuseFrom: scheduler.NoRank, ShedFrom: o.lowest}
}

// next returns the floor one mark nearer to the target.
func (f *ownedFloor) next(target, lowest structs.Rank) (scheduler.Floor, bool) {
	floor := f.current.Floor
	wanted := scheduler.Floor{RefuseFrom: target + 1, ShedFrom: target}
	if target >= lowest {
		wanted.RefuseFrom = scheduler.NoRank
	}
	switch {
	case f.current.KeepRefuse:
		// Nobody sheds above the lowest tier now; RefuseFrom may move freely.
		return scheduler.Floor{RefuseFrom: wanted.RefuseFrom, ShedFrom: floor.ShedFrom}, true
	case wanted.ShedFrom > floor.ShedFrom:
		return scheduler.Floor{RefuseFrom: floor.RefuseFrom, ShedFrom: wanted.ShedFrom}, true
	case wanted.RefuseFrom < floor.RefuseFrom:
		return scheduler.Floor{RefuseFrom: wanted.RefuseFrom, ShedFrom: floor.ShedFrom}, true
	case wanted.RefuseFrom > floor.RefuseFrom:
		refuse := floor.RefuseFrom + 1 // one tier at a time
		if refuse > lowest {
			refuse = wanted.RefuseFrom
		}
		return scheduler.Floor{RefuseFrom: refuse, ShedFrom: floor.ShedFrom}, true
	case wanted.ShedFrom < floor.ShedFrom:
		return scheduler.Floor{RefuseFrom: floor.RefuseFrom, ShedFrom: wanted.ShedFrom}, true
	}
	return floor, false
}

// loosens returns whether the floor refuses or sheds less than the current one.
func (f *ownedFloor) loosens(floor scheduler.Floor) bool {
	current := f.current.Floor
	return !f.current.KeepRefuse && (floor.RefuseFrom > current.RefuseFrom || floor.ShedFrom > current.ShedFrom)
}

func (f *ownedFloor) advance(now structs.Instant, floor scheduler.Floor) {
	f.changedAt = now
	f.epoch++
	f.current.Epoch = f.epoch
	f.current.KeepRefuse = false
	f.current.Floor = floor
	clear(f.acked)
	clear(f.sentAt)
}

func (f *ownedFloor) allAcked(members []string) bool {
	for _, member := range members {
		if !f.acked[member] {
			return false
		}
	}
	return true
}

// outgoing lists the members that are due a message: those that have not
// acknowledged, and all of them at the renewal of the leases.
func (f *ownedFloor) outgoing(now structs.Instant, members []string) []Message {
	var messages []Message
	for _, member := range members {
		sentAt, sent := f.sentAt[member]
		interval := ResendInterval
		if !f.acked[member] {
			interval = RetryInterval
		}
		if sent && now-sentAt < interval {
			continue
		}
		f.sentAt[member] = now
		messages = append(messages, Message{To: member, Update: f.current})
	}
	for member := range f.acked {
		if !slices.Contains(members, member) {
			delete(f.acked, member)
		}
	}
	return messages
}
