// Package membership keeps a node's view of the other nodes of its zone, after SWIM (Das, Gupta
// and Motivala, 2002). Nodes probe each other directly or through others; a failed probe makes
// its target suspect, and a suspicion that is not refuted in time makes it dead. Changes spread
// as rumors by gossip, so the views of two nodes may differ for a while, and no guarantee may
// depend on equal views.
//
// The table does no I/O and reads no clock.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/state/gossip"
	"github.com/thornwalk/thornwalk/structs"
)

// refutationBits is the number of low bits of an incarnation that count refutations; the others
// identify the process by its start.
const refutationBits = 16

// Member describes one process of a node.
type Member struct {
	Name          string `msgpack:"n" json:"name"`
	Zone          string `msgpack:"z" json:"zone"`
	PeerAddress   string `msgpack:"p" json:"peer_address"`
	CallerAddress string `msgpack:"c" json:"caller_address"`
	// Incarnation increases with each start of the process and, in its low bits, with each
	// refutation of a suspicion.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	// Leaving is true during a planned stop.
	Leaving bool `msgpack:"l" json:"leaving"`
}

// Process returns the part of the incarnation that identifies the process.
func (m Member) Process() uint64 { return m.Incarnation >> refutationBits }

// FirstIncarnation returns the first incarnation of a process that started at the given Unix time
// in milliseconds.
func FirstIncarnation(startMS int64) uint64 {
	return uint64(startMS) << refutationBits
}

// Status is a node's view of a member.
type Status uint8

// The statuses, from best to worst.
const (
	Alive Status = iota + 1
	Suspect
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

// Rumor is an update about a member that nodes send on by gossip.
type Rumor struct {
	Member Member `msgpack:"m" json:"member"`
	Status Status `msgpack:"s" json:"status"`
}

// memberEntry is a member with the times of its last change and of the last message from it.
type memberEntry struct {
	Rumor
	changedAt     structs.Instant
	lastMessageAt structs.Instant
}

// maxQueuedRumors bounds the rumors queued for sending.
const maxQueuedRumors = 512

// deadRetention is the time for which a dead member is remembered, so that old rumors don't make
// it alive again.
const deadRetention = 5 * time.Minute

// Table is a node's view of its zone. The node's own member is always alive in it. It is not safe
// for concurrent use.
type Table struct {
	self       Member
	members    map[string]*memberEntry
	rumors     *gossip.BroadcastQueue[string, Rumor]
	random     *rand.Rand
	probeOrder []string
	// deadAfter is the time from suspicion to death.
	deadAfter time.Duration
	version   uint64
}

// NewTable returns a table that contains only the node itself.
func NewTable(self Member, deadAfter time.Duration, random *rand.Rand) *Table {
	table := &Table{self: self, members: map[string]*memberEntry{}, rumors: gossip.NewBroadcastQueue[string, Rumor](maxQueuedRumors, gossip.RetransmitReliable), random: random, deadAfter: deadAfter}
	table.rumors.Put(self.Name, Rumor{Member: self, Status: Alive})
	return table
}

// SetDeadAfter sets the time from suspicion to death.
func (t *Table) SetDeadAfter(deadAfter time.Duration) { t.deadAfter = deadAfter }

// Self returns the node's own member.
func (t *Table) Self() Member { return t.self }

// Version increases with each change to the set of live members, their processes or their
// leaving.
func (t *Table) Version() uint64 { return t.version }

// SetLeaving announces the planned stop of the node.
func (t *Table) SetLeaving() {
	t.self.Leaving = true
	t.refute(t.self.Incarnation)
}

// RecordMessage records a message that came directly from the member.
func (t *Table) RecordMessage(now structs.Instant, member Member) {
	t.merge(now, Rumor{Member: member, Status: Alive})
	if entry, found := t.members[member.Name]; found && entry.Status != Dead {
		entry.lastMessageAt = now
	}
}

// ProbeFailed records that the member answered neither a direct nor an indirect probe. A live
// member becomes suspect.
func (t *Table) ProbeFailed(now structs.Instant, name string) {
	entry, found := t.members[name]
	if found && entry.Status == Alive {
		t.apply(now, entry, Rumor{Member: entry.Member, Status: Suspect})
	}
}

// Merge applies rumors. Those about other zones and malformed ones are ignored.
func (t *Table) Merge(now structs.Instant, rumors []Rumor) {
	for _, rumor := range rumors {
		t.merge(now, rumor)
	}
}

func (t *Table) merge(now structs.Instant, rumor Rumor) {
	if rumor.Member.Name == t.self.Name {
		t.mergeOwn(rumor)
		return
	}
	if rumor.Member.Zone != t.self.Zone || rumor.Member.Name == "" || rumor.Status < Alive || rumor.Status > Dead {
		return
	}
	entry, found := t.members[rumor.Member.Name]
	if !found {
		entry = &memberEntry{changedAt: now, lastMessageAt: now}
		t.members[rumor.Member.Name] = entry
		t.apply(now, entry, rumor)
		return
	}
	isNewer := rumor.Member.Incarnation > entry.Member.Incarnation
	isWorse := rumor.Member.Incarnation == entry.Member.Incarnation && rumor.Status > entry.Status
	if isNewer || isWorse {
		t.apply(now, entry, rumor)
	}
}

// mergeOwn refutes a rumor that this node is suspect or dead. Rumors about another process of the
// same name are ignored.
func (t *Table) mergeOwn(rumor Rumor) {
	if rumor.Status == Alive || rumor.Member.Incarnation < t.self.Incarnation || rumor.Member.Process() != t.self.Process() {
		return
	}
	t.refute(rumor.Member.Incarnation)
}

func (t *Table) refute(incarnation uint64) {
	t.self.Incarnation = incarnation + 1
	t.rumors.Put(t.self.Name, Rumor{Member: t.self, Status: Alive})
}

func (t *Table) apply(now structs.Instant, entry *memberEntry, rumor Rumor) {
	wasLive := entry.Status == Alive || entry.Status == Suspect
	isLive := rumor.Status != Dead
	if wasLive != isLive || entry.Member.Process() != rumor.Member.Process() || entry.Member.Leaving != rumor.Member.Leaving {
		t.version++
	}
	entry.Rumor = rumor
	entry.changedAt = now
	t.rumors.Put(rumor.Member.Name, rumor)
}

// Tick makes suspects dead whose suspicion was not refuted in time, and removes members that have
// been dead for long.
func (t *Table) Tick(now structs.Instant) {
	for name, entry := range t.members {
		switch {
		case entry.Status == Suspect && now-entry.changedAt > t.deadAfter:
			t.apply(now, entry, Rumor{Member: entry.Member, Status: Dead})
		case entry.Status == Dead && now-entry.changedAt > deadRetention:
			delete(t.members, name)
		}
	}
}

// Rumors returns up to limit rumors to send with one message.
func (t *Table) Rumors(limit int) []Rumor { return t.rumors.Take(limit, len(t.members)+1) }

// ProbeTargets returns up to count members to probe next, in a random order that visits each live
// member once before any twice.
func (t *Table) ProbeTargets(count int) []Member {
	var targets []Member
	isRefilled := false
	for len(targets) < count {
		if len(t.probeOrder) == 0 {
			if isRefilled {
				break
			}
			t.refillProbeOrder()
			isRefilled = true
			if len(t.probeOrder) == 0 {
				break
			}
		}
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		if entry, found := t.members[name]; found && entry.Status != Dead {
			targets = append(targets, entry.Member)
		}
	}
	return targets
}

func (t *Table) refillProbeOrder() {
	for _, member := range t.Live() {
		if member.Name != t.self.Name {
			t.probeOrder = append(t.probeOrder, member.Name)
		}
	}
	t.random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
}

// Live returns the members that are not dead, including this node, by name.
func (t *Table) Live() []Member {
	live := make([]Member, 0, len(t.members)+1)
	live = append(live, t.self)
	for _, entry := range t.members {
		if entry.Status != Dead {
			live = append(live, entry.Member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// LiveNames returns the names of the members that Live returns.
func (t *Table) LiveNames() []string {
	live := t.Live()
	names := make([]string, len(live))
	for i, member := range live {
		names[i] = member.Name
	}
	return names
}

// All returns all known members, including this node and dead ones, by name.
func (t *Table) All() []Rumor {
	all := []Rumor{{Member: t.self, Status: Alive}}
	for _, entry := range t.members {
		all = append(all, entry.Rumor)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Member.Name < all[j].Member.Name })
	return all
}

// Get returns the member's latest rumor and whether the member is known.
func (t *Table) Get(name string) (Rumor, bool) {
	if name == t.self.Name {
		return Rumor{Member: t.self, Status: Alive}, true
	}
	entry, found := t.members[name]
	if !found {
		return Rumor{}, false
	}
	return entry.Rumor, true
}
