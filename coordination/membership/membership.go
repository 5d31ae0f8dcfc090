// Package membership keeps a node's view of the other nodes of its zone. Nodes
// probe each other directly, at a rate that does not grow with the zone; a
// probe that fails, also through two others, makes its target suspected, and
// a suspicion that is not refuted in time makes it dead (after SWIM, Das,
// Gupta and Motivala, 2002). What nodes learn spreads by gossip.
//
// The table is passive and reads no clock; it is not safe for concurrent use.
//
// Guarantees: a member is reported alive only if a message of its present
// incarnation was heard by some node since it was last suspected. A dead
// member that is heard again with a higher incarnation is alive again. Views
// of two nodes may differ for as long as news travels; nothing that must hold
// rests on equal views.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/state/gossip"
	"github.com/thornwalk/thornwalk/structs"
)

// refutationBits is the part of an incarnation that counts refutations; the
// rest numbers the start of the process.
const refutationBits = 16

// Member names one process of a node.
type Member struct {
	Name          string `msgpack:"n" json:"name"`
	Zone          string `msgpack:"z" json:"zone"`
	PeerAddress   string `msgpack:"p" json:"peer_address"`
	CallerAddress string `msgpack:"c" json:"caller_address"`
	// Incarnation rises with each start of the process and, in its low bits,
	// with each refutation of a suspicion.
	Incarnation uint64 `msgpack:"i" json:"incarnation"`
	// Leaving is true during a planned stop.
	Leaving bool `msgpack:"l" json:"leaving"`
}

// Process returns the part of the incarnation that numbers the process.
func (m Member) Process() uint64 { return m.Incarnation >> refutationBits }

// FirstIncarnation returns the incarnation of a process numbered by its start
// time in milliseconds.
func FirstIncarnation(startMilliseconds int64) uint64 {
	return uint64(startMilliseconds) << refutationBits
}

// Status is what a node thinks of a member.
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

// Rumor is news of a member.
type Rumor struct {
	Member Member `msgpack:"m" json:"member"`
	Status Status `msgpack:"s" json:"status"`
}

// entry is a member with the time of its last change.
type entry struct {
	Rumor
	since structs.Instant
	heard structs.Instant
}

// maximumRumors bounds the news that wait to be passed on.
const maximumRumors = 512

// forgetDead is how long a dead member is remembered, so that old rumors do
// not bring it back.
const forgetDead = 5 * time.Minute

// Table is a node's view. Its own member is always alive in it.
type Table struct {
	self    Member
	members map[string]*entry
	rumors  *gossip.BroadcastQueue[string, Rumor]
	random  *rand.Rand
	ring    []string
	// deadAfter is the time from suspicion to death.
	deadAfter time.Duration
	version   uint64
}

// NewTable returns a table that knows only the node itself.
func NewTable(self Member, deadAfter time.Duration, random *rand.Rand) *Table {
	table := &Table{self: self, members: map[string]*entry{}, rumors: gossip.NewBroadcastQueue[string, Rumor](maximumRumors, gossip.RetransmitReliable), random: random, deadAfter: deadAfter}
	table.rumors.Put(self.Name, Rumor{Member: self, Status: Alive})
	return table
}

// SetDeadAfter takes a changed setting into force.
func (t *Table) SetDeadAfter(deadAfter time.Duration) { t.deadAfter = deadAfter }

// Self returns the node's own member.
func (t *Table) Self() Member { return t.self }

// Version rises with each change of the set of live members.
func (t *Table) Version() uint64 { return t.version }

// SetLeaving announces the planned stop of the node.
func (t *Table) SetLeaving() {
	t.self.Leaving = true
	t.refute(t.self.Incarnation)
}

// Heard records a message that came from the member itself.
func (t *Table) Heard(now structs.Instant, member Member) {
	t.merge(now, Rumor{Member: member, Status: Alive})
	if known, found := t.members[member.Name]; found && known.Status != Dead {
		known.heard = now
	}
}

// ProbeFailed records that neither a direct nor an indirect probe of the
// member was answered.
func (t *Table) ProbeFailed(now structs.Instant, name string) {
	known, found := t.members[name]
	if found && known.Status == Alive {
		t.change(now, known, Rumor{Member: known.Member, Status: Suspect})
	}
}

// Merge applies rumors.
func (t *Table) Merge(now structs.Instant, rumors []Rumor) {
	for _, rumor := range rumors {
		t.merge(now, rumor)
	}
}

func (t *Table) merge(now structs.Instant, rumor Rumor) {
	if rumor.Member.Name == t.self.Name {
		t.mergeSelf(rumor)
		return
	}
	if rumor.Member.Zone != t.self.Zone || rumor.Member.Name == "" || rumor.Status < Alive || rumor.Status > Dead {
		return
	}
	known, found := t.members[rumor.Member.Name]
	if !found {
		known = &entry{since: now, heard: now}
		t.members[rumor.Member.Name] = known
		t.change(now, known, rumor)
		return
	}
	newer := rumor.Member.Incarnation > known.Member.Incarnation
	worse := rumor.Member.Incarnation == known.Member.Incarnation && rumor.Status > known.Status
	if newer || worse {
		t.change(now, known, rumor)
	}
}

// mergeSelf refutes a rumor that this node is not alive. A rumor of another
// process under the same name is older and needs no answer.
func (t *Table) mergeSelf(rumor Rumor) {
	if rumor.Status == Alive || rumor.Member.Incarnation < t.self.Incarnation || rumor.Member.Process() != t.self.Process() {
		return
	}
	t.refute(rumor.Member.Incarnation)
}

func (t *Table) refute(incarnation uint64) {
	t.self.Incarnation = incarnation + 1
	t.rumors.Put(t.self.Name, Rumor{Member: t.self, Status: Alive})
}

func (t *Table) change(now structs.Instant, known *entry, rumor Rumor) {
	wasLive := known.Status == Alive || known.Status == Suspect
	isLive := rumor.Status != Dead
	if wasLive != isLive || known.Member.Process() != rumor.Member.Process() || known.Member.Leaving != rumor.Member.Leaving {
		t.version++
	}
	known.Rumor = rumor
	known.since = now
	t.rumors.Put(rumor.Member.Name, rumor)
}

// Tick turns suspicions that were not refuted in time into deaths.
func (t *Table) Tick(now structs.Instant) {
	for name, known := range t.members {
		switch {
		case known.Status == Suspect && now-known.since > t.deadAfter:
			t.change(now, known, Rumor{Member: known.Member, Status: Dead})
		case known.Status == Dead && now-known.since > forgetDead:
			delete(t.members, name)
		}
	}
}

// Rumors returns the news for one message.
func (t *Table) Rumors(limit int) []Rumor { return t.rumors.Take(limit, len(t.members)+1) }

// ProbeTargets returns the members to probe next: up to count, in a random order
// that visits each live member once before any twice.
func (t *Table) ProbeTargets(count int) []Member {
	var targets []Member
	refilled := false
	for len(targets) < count {
		if len(t.ring) == 0 {
			if refilled {
				break
			}
			t.refillRing()
			refilled = true
			if len(t.ring) == 0 {
				break
			}
		}
		name := t.ring[0]
		t.ring = t.ring[1:]
		if known, found := t.members[name]; found && known.Status != Dead {
			targets = append(targets, known.Member)
		}
	}
	return targets
}

func (t *Table) refillRing() {
	for _, member := range t.Live() {
		if member.Name != t.self.Name {
			t.ring = append(t.ring, member.Name)
		}
	}
	t.random.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
}

// Live returns the members that are not dead, this node included, by name.
func (t *Table) Live() []Member {
	live := make([]Member, 0, len(t.members)+1)
	live = append(live, t.self)
	for _, known := range t.members {
		if known.Status != Dead {
			live = append(live, known.Member)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// LiveNames returns the names of Live.
func (t *Table) LiveNames() []string {
	live := t.Live()
	names := make([]string, len(live))
	for i, member := range live {
		names[i] = member.Name
	}
	return names
}

// All returns every member known, this node included, by name.
func (t *Table) All() []Rumor {
	all := []Rumor{{Member: t.self, Status: Alive}}
	for _, known := range t.members {
		all = append(all, known.Rumor)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Member.Name < all[j].Member.Name })
	return all
}

// Get returns what is known of the member.
func (t *Table) Get(name string) (Rumor, bool) {
	if name == t.self.Name {
		return Rumor{Member: t.self, Status: Alive}, true
	}
	known, found := t.members[name]
	if !found {
		return Rumor{}, false
	}
	return known.Rumor, true
}
