package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// While a zone is cut off, it is tried off the callers' path: zoneTrial is the time between two
// trials, and zoneDial how long one may take.
const (
	zoneProbeInterval = 100 * time.Millisecond
	zoneDialTimeout   = 200 * time.Millisecond
)

// zoneLoop tries the zones that nothing comes from.
func (n *Node) zoneLoop() {
	for n.sleep(zoneProbeInterval) {
		n.mutex.Lock()
		suspects := n.zones.SilentZones(n.now())
		var all []replicas.Replica
		if len(suspects) > 0 {
			all = n.table.All()
		}
		n.mutex.Unlock()
		for _, zone := range suspects {
			n.probeZone(zone, all)
		}
	}
}

// tryZone opens a connection to any replica of the zone.
func (n *Node) probeZone(zone string, all []replicas.Replica) {
	var there []replicas.Replica
	for _, replica := range all {
		if replica.Zone == zone {
			there = append(there, replica)
		}
	}
	if len(there) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, zoneDialTimeout)
	defer cancel()
	conn, err := n.deps.Network.Dial(ctx, there[rand.IntN(len(there))].Address)
	if err == nil {
		_ = conn.Close()
	}
	n.noteZone(zone, err == nil)
}

// noteZone records whether a replica of the zone was reached, and tells of a change.
func (n *Node) noteZone(zone string, reached bool) {
	n.mutex.Lock()
	now := n.now()
	before := n.zones.IsUnreachable(zone)
	if reached {
		n.zones.RecordSuccess(now, zone)
	} else {
		n.zones.RecordFailure(now, zone)
	}
	after := n.zones.IsUnreachable(zone)
	n.mutex.Unlock()
	if before == after {
		return
	}
	outcome := "reached"
	if after {
		outcome = "cut-off"
	}
	n.log.Write(eventlog.Event{Kind: "zone", Outcome: outcome, Detail: zone})
	n.selectScheduler()
}

// unreachableZoneReplicas returns the replicas of the zones that can't be reached. The caller holds
// the mutex.
func (n *Node) unreachableZoneReplicas() []string {
	if !n.zones.AnyUnreachable() {
		return nil // every placement asks, and the list of replicas is long
	}
	var ids []string
	for _, replica := range n.table.All() {
		if n.zones.IsUnreachable(replica.Zone) {
			ids = append(ids, replica.ID)
		}
	}
	return ids
}
