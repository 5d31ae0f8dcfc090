package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// A cut between zones makes all replicas of a zone unreachable at once. Found replica
// by replica, each costs some callers the time of a connect that hangs; so a zone is
// found as a whole: by the silence of all its nodes, no answer of its replicas, and one
// connect to it that fails. While it is cut off, it is tried off the callers' path.

// Times of finding a cut.
const (
	// zoneSilence is the least silence of all nodes of a zone that raises the question,
	// and zoneBeats the heartbeats that have to be missing.
	zoneSilence = 250 * time.Millisecond
	zoneBeats   = 3
	// zoneTrial is the time between two trials, and zoneDial how long one may take.
	zoneTrial = 100 * time.Millisecond
	zoneDial  = 200 * time.Millisecond
)

// zoneState is what is known of the way to one zone.
type zoneState struct {
	// beat is when a node of the zone was heard of, and answer when a replica of it
	// answered or accepted a connection.
	beat, answer structs.Instant
	// interval is the shortest time between heartbeats of one of its nodes.
	interval time.Duration
	cut      bool
}

// zoneBook is a node's view of the other zones. It is guarded by the node's mutex.
type zoneBook struct {
	zones map[string]*zoneState
}

func newZoneBook() *zoneBook { return &zoneBook{zones: map[string]*zoneState{}} }

// heard records a heartbeat from the zone.
func (b *zoneBook) heard(now structs.Instant, beat liveness.Beat) {
	held, found := b.zones[beat.Zone]
	if !found {
		held = &zoneState{answer: now}
		b.zones[beat.Zone] = held
	}
	interval := time.Duration(beat.Interval) * time.Millisecond
	if held.interval == 0 || interval < held.interval {
		held.interval = interval
	}
	held.beat, held.cut = now, false
}

// answered records that a replica of the zone answered or accepted a connection.
func (b *zoneBook) answered(now structs.Instant, zone string) {
	if held, found := b.zones[zone]; found {
		held.answer, held.cut = now, false
	}
}

// failed records that no connection to a replica of the zone came up.
func (b *zoneBook) failed(now structs.Instant, zone string) {
	if held, found := b.zones[zone]; found {
		held.cut = held.cut || held.silent(now)
	}
}

// silent returns whether nothing came from the zone for too long.
func (s *zoneState) silent(now structs.Instant) bool {
	limit := max(zoneSilence, zoneBeats*s.interval)
	return now-s.beat > limit && now-s.answer > limit
}

// suspects returns the zones that nothing comes from.
func (b *zoneBook) suspects(now structs.Instant) []string {
	var names []string
	for name, held := range b.zones {
		if held.silent(now) {
			names = append(names, name)
		}
	}
	return names
}

// anyCut returns whether some zone can't be reached.
func (b *zoneBook) anyCut() bool {
	for _, held := range b.zones {
		if held.cut {
			return true
		}
	}
	return false
}

// isCut returns whether the zone can't be reached.
func (b *zoneBook) isCut(zone string) bool {
	held, found := b.zones[zone]
	return found && held.cut
}

// zoneLoop tries the zones that nothing comes from.
func (n *Node) zoneLoop() {
	for n.pause(zoneTrial) {
		n.mutex.Lock()
		suspects := n.zones.suspects(n.now())
		var all []replicas.Replica
		if len(suspects) > 0 {
			all = n.table.All()
		}
		n.mutex.Unlock()
		for _, zone := range suspects {
			n.tryZone(zone, all)
		}
	}
}

// tryZone opens a connection to any replica of the zone.
func (n *Node) tryZone(zone string, all []replicas.Replica) {
	var there []replicas.Replica
	for _, replica := range all {
		if replica.Zone == zone {
			there = append(there, replica)
		}
	}
	if len(there) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, zoneDial)
	defer cancel()
	conn, err := n.depend.Network.Dial(ctx, there[rand.IntN(len(there))].Address)
	if err == nil {
		_ = conn.Close()
	}
	n.noteZone(zone, err == nil)
}

// noteZone records whether a replica of the zone was reached, and tells of a change.
func (n *Node) noteZone(zone string, reached bool) {
	n.mutex.Lock()
	now := n.now()
	before := n.zones.isCut(zone)
	if reached {
		n.zones.answered(now, zone)
	} else {
		n.zones.failed(now, zone)
	}
	after := n.zones.isCut(zone)
	n.mutex.Unlock()
	if before == after {
		return
	}
	outcome := "reached"
	if after {
		outcome = "cut-off"
	}
	n.log.Write(eventlog.Event{Kind: "zone", Outcome: outcome, Detail: zone})
	n.chooseScheduler()
}

// cutReplicas returns the replicas of the zones that can't be reached. The caller holds
// the mutex.
func (n *Node) cutReplicas() []string {
	if !n.zones.anyCut() {
		return nil // every placement asks, and the list of replicas is long
	}
	var ids []string
	for _, replica := range n.table.All() {
		if n.zones.isCut(replica.Zone) {
			ids = append(ids, replica.ID)
		}
	}
	return ids
}
