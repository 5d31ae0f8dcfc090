// Package zones holds what one node knows of the way to the other zones.
//
// A cut between zones makes all replicas of a zone unreachable at once. Found replica by replica,
// each costs some callers the time of a connect that hangs; so a zone is found as a whole: by the
// silence of all its nodes, no answer of its replicas, and one connect to it that fails. The
// package does no I/O and reads no clock.
package zones

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/structs"
)

// Times of finding a cut.
const (
	// silence is the least silence of all nodes of a zone that raises the question, and beats
	// the heartbeats that have to be missing.
	silence = 250 * time.Millisecond
	beats   = 3
)

// state is what is known of the way to one zone.
type state struct {
	// beat is when a node of the zone was heard of, and answer when a replica of it
	// answered or accepted a connection.
	beat, answer structs.Instant
	// interval is the shortest time between heartbeats of one of its nodes, last told at
	// intervalAt.
	interval   time.Duration
	intervalAt structs.Instant
	cut        bool
}

// Tracker is a node's view of the other zones. It is not safe for concurrent use.
type Tracker struct {
	zones map[string]*state
}

// NewTracker returns a book that knows no zone.
func NewTracker() *Tracker { return &Tracker{zones: map[string]*state{}} }

// Observe records a heartbeat from the zone.
func (b *Tracker) Observe(now structs.Instant, beat liveness.Heartbeat) {
	held, found := b.zones[beat.Zone]
	if !found {
		held = &state{answer: now}
		b.zones[beat.Zone] = held
	}
	interval := time.Duration(beat.IntervalMS) * time.Millisecond
	// Of a large zone only its delegates beat, and while the fleet started they beat more often: taken
	// for its interval for ever, that would have every node try the zone all the time.
	isOver := beat.ZoneLive > 0 && now-held.intervalAt > beats*held.interval
	if held.interval == 0 || interval <= held.interval || isOver {
		held.interval, held.intervalAt = interval, now
	}
	held.beat, held.cut = now, false
}

// RecordSuccess records that a replica of the zone answered or accepted a connection.
func (b *Tracker) RecordSuccess(now structs.Instant, zone string) {
	if held, found := b.zones[zone]; found {
		held.answer, held.cut = now, false
	}
}

// RecordFailure records that no connection to a replica of the zone came up.
func (b *Tracker) RecordFailure(now structs.Instant, zone string) {
	if held, found := b.zones[zone]; found {
		held.cut = held.cut || held.silent(now)
	}
}

// silent returns whether nothing came from the zone for too long.
func (s *state) silent(now structs.Instant) bool {
	limit := max(silence, beats*s.interval)
	return now-s.beat > limit && now-s.answer > limit
}

// SilentZones returns the zones that nothing comes from.
func (b *Tracker) SilentZones(now structs.Instant) []string {
	var names []string
	for name, held := range b.zones {
		if held.silent(now) {
			names = append(names, name)
		}
	}
	return names
}

// AnyUnreachable returns whether some zone can't be reached.
func (b *Tracker) AnyUnreachable() bool {
	for _, held := range b.zones {
		if held.cut {
			return true
		}
	}
	return false
}

// IsUnreachable returns whether the zone can't be reached.
func (b *Tracker) IsUnreachable(zone string) bool {
	held, found := b.zones[zone]
	return found && held.cut
}
