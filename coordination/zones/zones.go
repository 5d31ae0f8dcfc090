// Package zones detects which other zones a node can't reach, so that its requests don't run into
// a connect timeout at each replica there. A zone counts as unreachable when its
// nodes send no heartbeats, its replicas don't respond, and one connection to it fails. The
// package does no I/O and reads no clock.
package zones

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Thresholds of the detection.
const (
	// A zone is silent after missedHeartbeats intervals without a heartbeat or response, but not
	// before minSilence.
	minSilence       = 250 * time.Millisecond
	missedHeartbeats = 3
)

// zoneState is the reachability of one zone.
type zoneState struct {
	// lastHeartbeatAt is the time of the last heartbeat of any node in the zone. lastResponseAt
	// is the last time that one of its replicas responded or accepted a connection.
	lastHeartbeatAt, lastResponseAt structs.Instant
	// heartbeatInterval is the shortest interval of any node in the zone, last observed at
	// intervalObservedAt.
	heartbeatInterval  time.Duration
	intervalObservedAt structs.Instant
	isUnreachable      bool
}

// Tracker is a node's view of the other zones. It is not safe for concurrent use.
type Tracker struct {
	zones map[string]*zoneState
}

// NewTracker returns a tracker without zones.
func NewTracker() *Tracker { return &Tracker{zones: map[string]*zoneState{}} }

// Observe records a heartbeat from its zone, which makes the zone reachable.
func (t *Tracker) Observe(now structs.Instant, heartbeat liveness.Heartbeat) {
	state, found := t.zones[heartbeat.Zone]
	if !found {
		state = &zoneState{lastResponseAt: now}
		t.zones[heartbeat.Zone] = state
	}
	interval := time.Duration(heartbeat.IntervalMS) * time.Millisecond
	// When a fleet becomes large, nodes send heartbeats less often. The shortest interval must
	// not apply forever, or the zone would count as silent between two heartbeats.
	isOutdated := heartbeat.ZoneLive > 0 && now-state.intervalObservedAt > missedHeartbeats*state.heartbeatInterval
	if state.heartbeatInterval == 0 || interval <= state.heartbeatInterval || isOutdated {
		state.heartbeatInterval, state.intervalObservedAt = interval, now
	}
	state.lastHeartbeatAt, state.isUnreachable = now, false
}

// RecordSuccess records that a replica of the zone responded or accepted a connection. Zones that
// sent no heartbeat yet are ignored.
func (t *Tracker) RecordSuccess(now structs.Instant, zone string) {
	if state, found := t.zones[zone]; found {
		state.lastResponseAt, state.isUnreachable = now, false
	}
}

// RecordFailure records that a connection to a replica of the zone failed. This makes the zone
// unreachable if it is silent.
func (t *Tracker) RecordFailure(now structs.Instant, zone string) {
	if state, found := t.zones[zone]; found {
		state.isUnreachable = state.isUnreachable || state.isSilent(now)
	}
}

// isSilent reports whether neither a heartbeat nor a response came from the zone for too long.
func (s *zoneState) isSilent(now structs.Instant) bool {
	limit := max(minSilence, missedHeartbeats*s.heartbeatInterval)
	return now-s.lastHeartbeatAt > limit && now-s.lastResponseAt > limit
}

// SilentZones returns the zones without recent heartbeats and responses, in no particular order.
func (t *Tracker) SilentZones(now structs.Instant) []string {
	var names []string
	for name, state := range t.zones {
		if state.isSilent(now) {
			names = append(names, name)
		}
	}
	return names
}

// AnyUnreachable reports whether some zone is unreachable.
func (t *Tracker) AnyUnreachable() bool {
	for _, state := range t.zones {
		if state.isUnreachable {
			return true
		}
	}
	return false
}

// IsUnreachable reports whether the zone is unreachable.
func (t *Tracker) IsUnreachable(zone string) bool {
	state, found := t.zones[zone]
	return found && state.isUnreachable
}
