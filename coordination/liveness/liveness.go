// Package liveness tracks the other nodes of the fleet by their heartbeats: which are live, which
// are eligible to schedule, and which relay heartbeats into other zones. Heartbeats travel
// directly within a zone and between small zones, otherwise through a relay node in the
// receiver's zone, so that a node can receive heartbeats from a node that it can't reach itself.
//
// The types do no I/O, read no clock and are not safe for concurrent use.
package liveness

import (
	"slices"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/state/evacuations"
	"github.com/thornwalk/thornwalk/structs"
)

// Heartbeat is the state that a node periodically sends to other nodes.
type Heartbeat struct {
	Name    string `msgpack:"n"`
	Zone    string `msgpack:"z"`
	Address string `msgpack:"a"`
	// Cores is the number of processors that the process may use; it can be fractional.
	Cores float64 `msgpack:"c"`
	// LinkMbps is the bandwidth of the sender's machine in Mbit/s; zero means unknown.
	LinkMbps float64 `msgpack:"m"`
	// IntervalMS is the time until the sender's next heartbeat, in milliseconds.
	IntervalMS int64 `msgpack:"b"`
	// Incarnation differs for each start of the node's process.
	Incarnation uint64 `msgpack:"i"`
	// UptimeMS is the time since the process started, in milliseconds. Nodes of earlier releases don't send it.
	UptimeMS int64 `msgpack:"up,omitempty"`
	// Term increases when the process discards its scheduling state.
	Term    uint64 `msgpack:"t"`
	Leaving bool   `msgpack:"l"`
	// Scheduler is the node that schedules for the sender.
	Scheduler string `msgpack:"fo,omitempty"`
	// Slow is true if the node is too slow to schedule for others.
	Slow bool `msgpack:"sl,omitempty"`
	// StoreUnreachable is true if the node can't reach the store.
	StoreUnreachable bool `msgpack:"s"`
	// Version is the sender's version of the configuration. LatestPosition is the store position
	// of the latest replica or roll-out change that it has.
	Version        int64                 `msgpack:"v"`
	LatestPosition structs.StorePosition `msgpack:"r"`
	// Era is the store's current era as known to the sender. If the store was restored recently,
	// RestoreWindow describes that, and RestoreAgeMS is the time for which the sender has known
	// it, in milliseconds.
	Era           int64                  `msgpack:"er,omitempty"`
	RestoreWindow *structs.RestoreWindow `msgpack:"rs,omitempty"`
	RestoreAgeMS  int64                  `msgpack:"ra,omitempty"`
	// ReplicasAgeMS is the age of the latest complete read of the replicas from the store whose
	// result the sender has, from its own read or from another node, in milliseconds. It is
	// negative if there was none.
	ReplicasAgeMS int64 `msgpack:"u"`
	// ConfigurationAgeMS is the same for the configuration.
	ConfigurationAgeMS int64 `msgpack:"x"`
	// InFlight counts the node's requests in progress by replica.
	InFlight map[string]InFlightCount `msgpack:"h"`
	// StoreHealthyMS is the time for which the sender has watched the store without failures, in
	// milliseconds; zero if it does not watch it.
	StoreHealthyMS int64 `msgpack:"w"`
	// ChurnAgesMS is the time since the latest sign that a replica was replaced in place, in milliseconds, for the services
	// of which that was recent. Nodes of earlier releases don't send it.
	ChurnAgesMS map[string]int64 `msgpack:"ch,omitempty"`
	// LongStreamMS is the longest time of the callers that have more time for their streams than the routes suggest, in
	// milliseconds; zero if there are none.
	LongStreamMS int64 `msgpack:"ls,omitempty"`
	// AttendedMS is the time for which at least one node has run without a break, as far as the sender knows, in
	// milliseconds. Nodes of earlier releases don't send it.
	AttendedMS int64 `msgpack:"at,omitempty"`
	// FailingReplicas lists the replicas that fail for this node.
	FailingReplicas []string `msgpack:"f"`
	// BucketLevels are the tokens in the buckets of the tenants that are not near their full
	// burst. It is sent while the sender schedules and for a short time afterwards, so that the
	// next scheduler can continue with them; otherwise it is nil. In a heartbeat to a new node it
	// may hold levels that the sender received BucketLevelsAgeMS milliseconds ago.
	BucketLevels      map[string]float64 `msgpack:"q"`
	BucketLevelsAgeMS int64              `msgpack:"qa,omitempty"`
	// Usage is what the sender granted of the tenants' quotas. It is sent while the sender
	// schedules and for a short time afterwards; otherwise it is nil.
	Usage *QuotaUsage `msgpack:"lg,omitempty"`
	// ShareLevels are the leads of tenants with tenant shares on. They are sent while the sender
	// schedules and for a short time afterwards; otherwise they are nil.
	ShareLevels *ShareLevels `msgpack:"ts,omitempty"`
	// KnownNodes is the number of other nodes that the sender knows by name, or the length of a
	// peer list that it is receiving, if that is larger.
	KnownNodes int `msgpack:"k"`
	// Peers are some nodes that the sender knows.
	Peers []Peer `msgpack:"p"`
	// Rollouts is the sender's view of each unfinished roll-out, by service.
	Rollouts map[string]RolloutView `msgpack:"g,omitempty"`
	// Evacuations are the orders to evacuate zones, and to lift that, that the sender knows.
	Evacuations []evacuations.Order `msgpack:"ev,omitempty"`
	// Poison summarizes the sender's records of poison requests; nil if it has none.
	Poison *PoisonSummary `msgpack:"ct,omitempty"`
	// NonDelegate is true if the sender is not a delegate of its zone in a large fleet.
	NonDelegate bool `msgpack:"od,omitempty"`
	// ZoneLive and ZoneKnown are the numbers of live and of known nodes in the sender's zone.
	ZoneLive  int `msgpack:"zl,omitempty"`
	ZoneKnown int `msgpack:"zk,omitempty"`
	// FleetSize is the sender's estimate of the number of nodes in the fleet.
	FleetSize int `msgpack:"fl,omitempty"`
	// ForwardCapacity is the number of further connections to replicas that the sender forwards for nodes
	// that can't reach them. Isolated is true if the sender has lately reached none itself.
	ForwardCapacity int  `msgpack:"fc,omitempty"`
	Isolated        bool `msgpack:"is,omitempty"`
	// KeepsStreamOrigins is true if the sender keeps the origins of streams for other nodes.
	KeepsStreamOrigins bool `msgpack:"so,omitempty"`
	// CanRelay is true if the sender relays heartbeats to its zone on request.
	CanRelay bool `msgpack:"e,omitempty"`
	// RelayRequested asks the receiver to relay the heartbeat to all nodes of its zone.
	RelayRequested bool `msgpack:"y,omitempty"`
	// Relayed is true if another node relayed the heartbeat.
	Relayed bool `msgpack:"o,omitempty"`
	// RelayedTo, if positive, makes this the confirmation of a relayed heartbeat. It is the
	// number of nodes in the sender's zone that were sent it, including the sender.
	RelayedTo int `msgpack:"j,omitempty"`
	// WantsReply asks the receiver for an immediate heartbeat, and WantsPeers for one with a peer
	// list.
	WantsReply bool `msgpack:"d,omitempty"`
	WantsPeers bool `msgpack:"dn,omitempty"`
}

// InFlightCount counts requests in progress at one replica.
type InFlightCount struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Total counts all of them. External counts those that a scheduler other than the node's
	// current one assigned, or the current one in an earlier term.
	Total    int `msgpack:"t"`
	External int `msgpack:"f"`
}

// PoisonSummary shows whether two nodes have the same records of poison requests.
type PoisonSummary struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Weight increases with each change of the records. Digest is a hash of them.
	Weight int64
	Digest uint64
}

// QuotaUsage is what a node granted of the tenants' quotas since it became scheduler.
type QuotaUsage struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// Epoch identifies the period in which the sender's process has been scheduler, and Led is
	// the length of that period so far, in milliseconds.
	Epoch uint64
	Led   int64
	// Taken is the granted amount by tenant, for tenants that are not near their full burst.
	Taken map[string]float64
}

// RolloutView is a node's view of one roll-out.
type RolloutView struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	// OrderPosition is the store position of the order, and Phase the phase that the node
	// applies.
	OrderPosition structs.StorePosition `msgpack:"o"`
	Phase         uint8                 `msgpack:"p"`
	// InFlightAtOldReplicas counts the node's requests at replicas that get no new requests.
	InFlightAtOldReplicas int `msgpack:"b"`
}

// Peer is a node's name and address.
type Peer struct {
	Name    string `msgpack:"n"`
	Address string `msgpack:"a"`
}

// Member is another node with its latest heartbeat. It is confirmed once a heartbeat of it has
// arrived; until then only its name and address are known, from a peer.
type Member struct {
	Heartbeat
	lastHeartbeatAt structs.Instant
	suspected       bool
	confirmed       bool
	addedAt         structs.Instant
	// startedBy is the earliest known instant by which the process had started, if it states its uptime. It rises slowly
	// while heartbeats show only later ones.
	startedBy structs.Instant
	// ordinal is the number of members that the table had added before.
	ordinal uint64
}

// missedHeartbeats is the number of consecutive heartbeats that a node may miss until it counts
// as failed. defaultHeartbeatInterval applies to nodes that don't send their interval.
const (
	missedHeartbeats         = 4
	defaultHeartbeatInterval = 100 * time.Millisecond
)

// FailureTimeout returns the time without heartbeats after which the member counts as failed.
func (m *Member) FailureTimeout() time.Duration {
	if m.IntervalMS <= 0 {
		return missedHeartbeats * defaultHeartbeatInterval
	}
	return missedHeartbeats * time.Duration(m.IntervalMS) * time.Millisecond
}

// memberRetention is the time without heartbeats after which a member is removed.
const memberRetention = 60 * time.Second

// Table holds the other nodes that a node knows.
type Table struct {
	self    string
	members map[string]*Member
	// sortedByName holds the members in the order of their names.
	sortedByName []*Member
	// unconfirmedCount is the number of members that sent no heartbeat yet.
	unconfirmedCount int
	// addedCount is the number of members that were ever added.
	addedCount uint64
}

// NewTable returns an empty table for the node self.
func NewTable(self string) *Table { return &Table{self: self, members: map[string]*Member{}} }

// Observe applies a heartbeat. It reports whether the node was unknown or not live before, or is
// a new process. A relayed heartbeat doesn't clear the suspicion against a process, because the
// relay may reach a node that this one can't reach.
func (t *Table) Observe(now structs.Instant, heartbeat Heartbeat) bool {
	if heartbeat.Name == t.self || heartbeat.Name == "" {
		return false
	}
	member, found := t.members[heartbeat.Name]
	if !found {
		member = &Member{Heartbeat: Heartbeat{Name: heartbeat.Name}}
		t.add(member)
	}
	if t.IsOfFormerProcess(now, heartbeat) {
		return false
	}
	isSameProcess := found && member.Incarnation == heartbeat.Incarnation
	startedBy := heartbeat.startedBy(now)
	if isSameProcess && member.confirmed {
		startedBy = min(startedBy, member.startedBy+(now-member.lastHeartbeatAt)/delayDecay)
	}
	isStillSuspected := isSameProcess && member.suspected && heartbeat.Relayed
	hasAppeared := !isSameProcess || !isStillSuspected && !member.isLive(now)
	if found && !member.confirmed {
		t.unconfirmedCount--
	}
	member.Heartbeat, member.lastHeartbeatAt, member.suspected, member.confirmed = heartbeat, now, isStillSuspected, true
	member.startedBy = startedBy
	return hasAppeared
}

// startedBy returns an instant by which the sender of a heartbeat that arrives now had started. It is later than the
// start by the time for which the heartbeat was on its way.
func (h *Heartbeat) startedBy(now structs.Instant) structs.Instant {
	return now - structs.Instant(h.UptimeMS)*time.Millisecond
}

// delayDecay is in how much time a unit of a lasting delay stops counting: all heartbeats of a process come later once its
// path is a longer one, or its clock stood still.
const delayDecay = 20

// Delay returns for how much longer than the fastest one of its process the heartbeat, which arrives now and was observed,
// was on its way. It is zero if the sender does not state its uptime.
func (t *Table) Delay(now structs.Instant, heartbeat Heartbeat) time.Duration {
	member, found := t.members[heartbeat.Name]
	if !found || !member.confirmed || member.Incarnation != heartbeat.Incarnation || heartbeat.UptimeMS <= 0 {
		return 0
	}
	return max(heartbeat.startedBy(now)-member.startedBy, 0)
}

// IsOfFormerProcess reports whether the heartbeat is a late one of a process whose successor was heard lately: it is of
// another process than the node's known one, which had started earlier.
func (t *Table) IsOfFormerProcess(now structs.Instant, heartbeat Heartbeat) bool {
	member, found := t.members[heartbeat.Name]
	if !found || member.Incarnation == heartbeat.Incarnation || !member.wasHeardWithin(now, 1) {
		return false
	}
	return member.UptimeMS > 0 && heartbeat.UptimeMS > 0 && heartbeat.startedBy(now) < member.startedBy
}

// maxUnconfirmedPeers bounds the members known only from peers, so that a node that sends wrong
// peer lists can't exhaust the memory of others.
const maxUnconfirmedPeers = 1024

// AddPeer adds a node that a peer named, and reports whether it did. It doesn't if the node is
// already known or there are too many unconfirmed members.
func (t *Table) AddPeer(now structs.Instant, peer Peer) bool {
	if peer.Name == t.self || peer.Name == "" {
		return false
	}
	if _, found := t.members[peer.Name]; found || t.unconfirmedCount >= maxUnconfirmedPeers {
		return false
	}
	t.unconfirmedCount++
	t.add(&Member{Heartbeat: Heartbeat{Name: peer.Name, Address: peer.Address}, addedAt: now})
	return true
}

// add keeps the members sorted on insertion, because they are iterated far more often.
func (t *Table) add(member *Member) {
	member.ordinal = t.addedCount
	t.addedCount++
	t.members[member.Name] = member
	index, _ := slices.BinarySearchFunc(t.sortedByName, member.Name, compareName)
	t.sortedByName = slices.Insert(t.sortedByName, index, member)
}

func compareName(member *Member, name string) int { return strings.Compare(member.Name, name) }

// IsSilent reports whether the node is known but not live.
func (t *Table) IsSilent(now structs.Instant, name string) bool {
	member, found := t.members[name]
	return found && !member.isLive(now)
}

// Known returns the number of members, including unconfirmed ones.
func (t *Table) Known() int { return len(t.members) }

// Suspect marks the node as failed until a direct heartbeat of it or one of a new process
// arrives.
func (t *Table) Suspect(name string) {
	if member, found := t.members[name]; found {
		member.suspected = true
	}
}

// IsDue reports whether it is the member's turn in the round if each member has its turn in one of the given number
// of rounds. It has it once in as many consecutive rounds, whatever members come and go.
func (m *Member) IsDue(round, rounds uint64) bool { return (round+m.ordinal)%rounds == 0 }

// Suspected reports whether the member was marked by Suspect and has not been cleared since.
func (m *Member) Suspected() bool { return m.suspected }

// isLive reports whether the member is not suspected and its last heartbeat is more recent than the
// failure timeout.
func (m *Member) isLive(now structs.Instant) bool {
	return !m.suspected && m.wasHeardWithin(now, 1)
}

// wasHeardWithin reports whether the last heartbeat is more recent than the given number of failure
// timeouts.
func (m *Member) wasHeardWithin(now structs.Instant, timeouts int) bool {
	return m.confirmed && now-m.lastHeartbeatAt < m.FailureTimeout()*time.Duration(timeouts)
}

// contactTimeoutDivisor makes the time without heartbeats after which a member counts as out of contact a
// part of its failure timeout.
const contactTimeoutDivisor = 2

// IsInContact reports whether the member's last heartbeat is so recent that no partition is likely. Each
// side of one would otherwise grant the other's share of the quotas until the failure timeout.
func (m *Member) IsInContact(now structs.Instant) bool {
	return m.confirmed && !m.suspected && now-m.lastHeartbeatAt < m.ContactTimeout()
}

// ContactTimeout returns the time without heartbeats after which the member is out of contact.
func (m *Member) ContactTimeout() time.Duration { return m.FailureTimeout() / contactTimeoutDivisor }

// Live returns the members that don't count as failed, by name.
func (t *Table) Live(now structs.Instant) []*Member {
	var live []*Member
	for _, member := range t.sortedByName {
		if member.isLive(now) {
			live = append(live, member)
		}
	}
	return live
}

// PossiblyRunning returns the members whose heartbeats arrived recently, by name. Their processes may
// still be running, also those of suspected members: a node that can't be reached may reach replicas.
func (t *Table) PossiblyRunning(now structs.Instant) []*Member {
	var running []*Member
	for _, member := range t.sortedByName {
		if member.wasHeardWithin(now, possiblyRunningTimeouts) {
			running = append(running, member)
		}
	}
	return running
}

// possiblyRunningTimeouts is the number of failure timeouts after which a silent member's process
// is assumed to have ended.
const possiblyRunningTimeouts = 4

// All removes members that have been silent for too long and returns the others by name.
func (t *Table) All(now structs.Instant) []*Member {
	t.sortedByName = slices.DeleteFunc(t.sortedByName, func(member *Member) bool {
		isExpired := now-max(member.lastHeartbeatAt, member.addedAt) > memberRetention
		if isExpired {
			t.forget(member)
		}
		return isExpired
	})
	return slices.Clone(t.sortedByName)
}

// PeerSample returns up to count members in the order of their names, starting at the offset
// modulo their number.
func (t *Table) PeerSample(offset, count int) []Peer {
	var peers []Peer
	for i := range min(count, len(t.sortedByName)) {
		member := t.sortedByName[(offset+i)%len(t.sortedByName)]
		peers = append(peers, Peer{Name: member.Name, Address: member.Address})
	}
	return peers
}

func (t *Table) forget(member *Member) {
	if !member.confirmed {
		t.unconfirmedCount--
	}
	delete(t.members, member.Name)
}

// Get returns the member with the name.
func (t *Table) Get(name string) (*Member, bool) {
	member, found := t.members[name]
	return member, found
}

// SinceHeartbeat returns the time since the member's last heartbeat.
func (m *Member) SinceHeartbeat(now structs.Instant) time.Duration { return now - m.lastHeartbeatAt }
