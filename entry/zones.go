package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// Silent zones are probed outside of the callers' requests: zoneProbeInterval is the time between
// probes, and zoneDialTimeout bounds one.
const (
	zoneProbeInterval = 100 * time.Millisecond
	zoneDialTimeout   = 200 * time.Millisecond
)

// zoneLoop probes the silent zones.
func (n *Node) zoneLoop() {
	for n.sleep(zoneProbeInterval) {
		n.mutex.Lock()
		silent := n.zones.SilentZones(n.now())
		var all []replicas.Replica
		if len(silent) > 0 {
			all = n.table.All()
		}
		n.mutex.Unlock()
		for _, zone := range silent {
			n.probeZone(zone, all)
		}
	}
}

// probeZone opens a connection to a random replica of the zone.
func (n *Node) probeZone(zone string, all []replicas.Replica) {
	var candidates []replicas.Replica
	for _, replica := range all {
		if replica.Zone == zone {
			candidates = append(candidates, replica)
		}
	}
	if len(candidates) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, zoneDialTimeout)
	defer cancel()
	conn, err := n.dependencies.Network.Dial(ctx, candidates[rand.IntN(len(candidates))].Address)
	if err == nil {
		_ = conn.Close()
	}
	n.recordZoneContact(zone, err == nil)
}

// recordZoneContact records whether a replica of the zone was reached, logs a change and selects the
// scheduling node again after one.
func (n *Node) recordZoneContact(zone string, reached bool) {
	n.mutex.Lock()
	now := n.now()
	wasUnreachable := n.zones.IsUnreachable(zone)
	if reached {
		n.zones.RecordSuccess(now, zone)
	} else {
		n.zones.RecordFailure(now, zone)
	}
	isUnreachable := n.zones.IsUnreachable(zone)
	n.mutex.Unlock()
	if wasUnreachable == isUnreachable {
		return
	}
	outcome := "reached"
	if isUnreachable {
		outcome = "cut-off"
	}
	n.log.Write(eventlog.Event{Kind: "zone", Outcome: outcome, Detail: zone})
	n.selectScheduler()
}

// unreachableZoneReplicas returns the IDs of the replicas in unreachable zones. The caller holds
// the mutex.
func (n *Node) unreachableZoneReplicas() []string {
	if !n.zones.AnyUnreachable() {
		return nil // called for every assignment, and the list of replicas is long
	}
	var ids []string
	for _, replica := range n.table.All() {
		if n.zones.IsUnreachable(replica.Zone) {
			ids = append(ids, replica.ID)
		}
	}
	return ids
}
