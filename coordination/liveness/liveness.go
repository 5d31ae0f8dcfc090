// Package liveness holds what a node knows of the other nodes from their
// heartbeats: who was heard of lately, and where they are. Every node's heartbeats
// come to every other one: directly within a zone and between small zones, else by way
// of a node of the receiver's zone (relay.go). So each judges by its own ears whom it
// can reach, and a failed call tells it where a relay reaches farther than it does.
//
// The table is passive: it does no I/O and reads no clock.
package liveness

import (
	"slices"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/structs"
)

// Heartbeat is the content of a heartbeat.
type Heartbeat struct {
	Name    string `msgpack:"n"`
	Zone    string `msgpack:"z"`
	Address string `msgpack:"a"`
	// Cores is the share of processors that the process may use.
	Cores float64 `msgpack:"c"`
	// LinkMbps is the bandwidth of the sender's machine in megabits a second; zero means
	// that it is not known.
	LinkMbps float64 `msgpack:"m"`
	// IntervalMS is the time to the sender's next heartbeat, in milliseconds. Nodes
	// that others wait for beat more often than the rest.
	IntervalMS int64 `msgpack:"b"`
	// Incarnation differs for each start of the node's process.
	Incarnation uint64 `msgpack:"i"`
	// Term rises when the process forgot what it had scheduled.
	Term    uint64 `msgpack:"t"`
	Leaving bool   `msgpack:"l"`
	// Scheduler is the node that schedules for the sender.
	Scheduler string `msgpack:"fo,omitempty"`
	// Slow is true if the node is too slow to schedule for others.
	Slow bool `msgpack:"sl,omitempty"`
	// StoreUnreachable is true if the node can't reach the store.
	StoreUnreachable bool `msgpack:"s"`
	// Version is the configuration's and LatestPosition the revision of the latest
	// change of the replicas that the node knows.
	Version        int64                 `msgpack:"v"`
	LatestPosition structs.StorePosition `msgpack:"r"`
	// Era is the store's present era as far as the sender knows. If the store came back from a
	// copy lately, RestoreWindow tells of it, and RestoreAgeMS for how long the sender has known so, in
	// milliseconds.
	Era           int64                  `msgpack:"er,omitempty"`
	RestoreWindow *structs.RestoreWindow `msgpack:"rs,omitempty"`
	RestoreAgeMS  int64                  `msgpack:"ra,omitempty"`
	// ReplicasAgeMS is the age of the latest complete read of the store that the sender
	// has the result of, by itself or from another node, in milliseconds. It is
	// negative if there was none.
	ReplicasAgeMS int64 `msgpack:"u"`
	// ConfigurationAgeMS is the same for the configuration, which is read more rarely.
	ConfigurationAgeMS int64 `msgpack:"x"`
	// InFlight counts the node's requests in progress by replica.
	InFlight map[string]InFlightCount `msgpack:"h"`
	// StoreHealthyMS is for how long the sender has followed the store without any trouble,
	// in milliseconds; zero if it does not follow it.
	StoreHealthyMS int64 `msgpack:"w"`
	// FailingReplicas names replicas that fail for this node.
	FailingReplicas []string `msgpack:"f"`
	// BucketLevels tells, if the sender schedules or did until just now, what tenants may take at once,
	// of those that are not near their full burst. Who takes over goes on from there. Nil means
	// that nothing is told. To a newcomer it is what the sender heard BucketLevelsAgeMS milliseconds ago.
	BucketLevels      map[string]float64 `msgpack:"q"`
	BucketLevelsAgeMS int64              `msgpack:"qa,omitempty"`
	// Usage tells, if the sender schedules or did until just now, what it handed out of tenants'
	// quotas; nil means that nothing is told.
	Usage *QuotaUsage `msgpack:"lg,omitempty"`
	// KnownNodes is how many other nodes the sender knows by name or is just being told of.
	KnownNodes int `msgpack:"k"`
	// Peers are a few nodes that the sender knows.
	Peers []Peer `msgpack:"p"`
	// Rollouts tells how far the sender knows each roll-out that is not at its end, by
	// service.
	Rollouts map[string]RolloutView `msgpack:"g,omitempty"`
	// Evacuations are the orders to empty zones, and to take them back, that the sender knows.
	Evacuations []evacuations.Order `msgpack:"ev,omitempty"`
	// Poison marks what the sender knows of requests that replicas ended under; nil if it
	// knows none.
	Poison *PoisonSummary `msgpack:"ct,omitempty"`
	// NonDelegate is true if the sender does no work for all: others of its zone are its delegates.
	NonDelegate bool `msgpack:"od,omitempty"`
	// ZoneLive and ZoneKnown are how many nodes of its zone the sender hears, and knows.
	ZoneLive  int `msgpack:"zl,omitempty"`
	ZoneKnown int `msgpack:"zk,omitempty"`
	// FleetSize is how many nodes the sender takes the fleet to have.
	FleetSize int `msgpack:"fl,omitempty"`
	// CanRelay is true if the sender passes heartbeats on to its zone when it is asked to.
	CanRelay bool `msgpack:"e,omitempty"`
	// RelayRequested asks the receiver to send the heartbeat to all nodes of its zone.
	RelayRequested bool `msgpack:"y,omitempty"`
	// Relayed is true if the heartbeat came from a node that passed it on.
	Relayed bool `msgpack:"o,omitempty"`
	// RelayedTo makes this the confirmation of a heartbeat that was to be passed on: it
	// counts the nodes of the sender's zone that have it now, the sender included.
	RelayedTo int `msgpack:"j,omitempty"`
	// WantsReply is true if the sender wants a heartbeat sent straight back, and WantsPeers if that is to
	// name other nodes.
	WantsReply bool `msgpack:"d,omitempty"`
	WantsPeers bool `msgpack:"dn,omitempty"`
}

// InFlightCount counts requests in progress at one replica.
type InFlightCount struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Total is all of them and External those that the node's present scheduler
	// did not place.
	Total    int `msgpack:"t"`
	External int `msgpack:"f"`
}

// PoisonSummary tells whether two nodes know the same of requests that replicas ended under.
type PoisonSummary struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Weight rises with all that is learned, and Digest differs if what is known does.
	Weight int64
	Digest uint64
}

// QuotaUsage is what a node handed out of tenants' quotas since it began to schedule.
type QuotaUsage struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch differs for each time that the sender's process began to schedule, and Led is for how
	// many milliseconds it has.
	Epoch uint64
	Led   int64
	// Taken is by tenant, of those that are not near their full burst.
	Taken map[string]float64
}

// RolloutView is what a node knows and does of one roll-out.
type RolloutView struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// OrderPosition is the store's revision of the order and Phase the phase that the node goes by.
	OrderPosition structs.StorePosition `msgpack:"o"`
	Phase         uint8                 `msgpack:"p"`
	// Busy counts the node's requests at replicas that get no new ones.
	Busy int `msgpack:"b"`
}

// Peer is a node's name and address.
type Peer struct {
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"`
}

// Member is what is known of another node.
type Member struct {
	Heartbeat
	heard     structs.Instant
	suspected bool
	known     bool
	learned   structs.Instant
}

// missedBeats is how many heartbeats a node may miss until it is taken for dead,
// and defaultInterval holds for nodes that do not tell theirs.
const (
	missedBeats     = 4
	defaultInterval = 100 * time.Millisecond
)

// FailureTimeout is the silence after which the member is taken for dead.
func (m *Member) FailureTimeout() time.Duration {
	if m.IntervalMS <= 0 {
		return missedBeats * defaultInterval
	}
	return missedBeats * time.Duration(m.IntervalMS) * time.Millisecond
}

// forgetAfter is how long a silent node is still sent to and counted.
const forgetAfter = 60 * time.Second

// Table is the set of other nodes.
type Table struct {
	self    string
	members map[string]*Member
	// ordered has the members by name.
	ordered []*Member
	// learned counts the members that were never heard of.
	learned int
}

// NewTable returns a table of a node that knows no other.
func NewTable(self string) *Table { return &Table{self: self, members: map[string]*Member{}} }

// Observe applies a heartbeat. It returns true if the node was silent, unknown or
// another process before. A suspected node stays suspected until it is heard of without
// a relay between: the relay may reach it while this node does not.
func (t *Table) Observe(now structs.Instant, beat Heartbeat) bool {
	if beat.Name == t.self || beat.Name == "" {
		return false
	}
	member, found := t.members[beat.Name]
	if !found {
		member = &Member{Heartbeat: Heartbeat{Name: beat.Name}}
		t.add(member)
	}
	sameProcess := found && member.Incarnation == beat.Incarnation
	stillSuspected := sameProcess && member.suspected && beat.Relayed
	news := !sameProcess || !stillSuspected && !member.live(now, 1)
	if found && !member.known {
		t.learned--
	}
	member.Heartbeat, member.heard, member.suspected, member.known = beat, now, stillSuspected, true
	return news
}

// mostLearned bounds the nodes that a table holds by what others tell: a node that tells false
// names must not fill the memory of all.
const mostLearned = 1024

// AddPeer enters a node that another one told of. It returns true if it was unknown.
func (t *Table) AddPeer(now structs.Instant, peer Peer) bool {
	if peer.Name == t.self || peer.Name == "" {
		return false
	}
	if _, found := t.members[peer.Name]; found || t.learned >= mostLearned {
		return false
	}
	t.learned++
	t.add(&Member{Heartbeat: Heartbeat{Name: peer.Name, Address: peer.Address}, learned: now})
	return true
}

// add enters a new member where its name belongs: the members are gone through far more often
// than new ones come.
func (t *Table) add(member *Member) {
	t.members[member.Name] = member
	place, _ := slices.BinarySearchFunc(t.ordered, member.Name, compareName)
	t.ordered = slices.Insert(t.ordered, place, member)
}

func compareName(member *Member, name string) int { return strings.Compare(member.Name, name) }

// IsSilent returns whether the node is known and nothing is heard of it.
func (t *Table) IsSilent(now structs.Instant, name string) bool {
	member, found := t.members[name]
	return found && !member.live(now, 1)
}

// Known returns how many members the table has, heard of or only learned of.
func (t *Table) Known() int { return len(t.members) }

// Suspect takes the node for dead until it is heard of again.
func (t *Table) Suspect(name string) {
	if member, found := t.members[name]; found {
		member.suspected = true
	}
}

// Suspected returns whether the member is taken for dead since Suspect was called.
func (m *Member) Suspected() bool { return m.suspected }

// live returns whether the member was heard of within so many times its patience.
func (m *Member) live(now structs.Instant, times int) bool {
	return m.known && !m.suspected && now-m.heard < m.FailureTimeout()*time.Duration(times)
}

// Live returns the members that are not taken for dead, by name.
func (t *Table) Live(now structs.Instant) []*Member { return t.within(now, 1) }

// PossiblyRunning returns the members that are live or were until a while ago: their
// processes may still be at work.
func (t *Table) PossiblyRunning(now structs.Instant) []*Member { return t.within(now, lostFactor) }

// lostFactor is how many times its patience a member may be silent until its
// process is reckoned to have ended.
const lostFactor = 4

func (t *Table) within(now structs.Instant, times int) []*Member {
	var live []*Member
	for _, member := range t.ordered {
		if member.live(now, times) {
			live = append(live, member)
		}
	}
	return live
}

// All returns every member that is not forgotten, by name.
func (t *Table) All(now structs.Instant) []*Member {
	t.ordered = slices.DeleteFunc(t.ordered, func(member *Member) bool {
		isForgotten := now-max(member.heard, member.learned) > forgetAfter
		if isForgotten {
			t.forget(member)
		}
		return isForgotten
	})
	return slices.Clone(t.ordered)
}

// PeerSample returns up to so many members, others with each number.
func (t *Table) PeerSample(number, count int) []Peer {
	var peers []Peer
	for i := range min(count, len(t.ordered)) {
		member := t.ordered[(number+i)%len(t.ordered)]
		peers = append(peers, Peer{Name: member.Name, Address: member.Address})
	}
	return peers
}

func (t *Table) forget(member *Member) {
	if !member.known {
		t.learned--
	}
	delete(t.members, member.Name)
}

// Get returns the member with the name.
func (t *Table) Get(name string) (*Member, bool) {
	member, found := t.members[name]
	return member, found
}

// SinceHeartbeat returns for how long the member has not been heard of.
func (m *Member) SinceHeartbeat(now structs.Instant) time.Duration { return now - m.heard }
