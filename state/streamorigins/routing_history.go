package streamorigins

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// StreamLifetime returns how long before now a stream may have begun that is resumed on a route with the timeout: streams
// begin and break off within a few times it. Zero means no timeout.
func StreamLifetime(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return Retention
	}
	return streamLifetimeTimeouts * timeout
}

// streamLifetimeTimeouts is the number of tries, each of which lasts as long as the timeout, until a stream is resumed last.
const streamLifetimeTimeouts = 2

// RoutingHistory knows when the configuration last changed. A stream without a record may have begun under another
// configuration, by which its route led to other services; ones that were in force for a moment only are not seen by all
// nodes. It is not safe for concurrent use.
type RoutingHistory struct {
	// former has the configurations that are not in force any more, at least for as long as their streams may live.
	former []formerRouting
	// longest is the longest lifetime of streams under the current configuration, if there is one.
	longest          time.Duration
	hasConfiguration bool
}

// formerRouting is a configuration that was in force until the instant, and the longest lifetime of its streams.
type formerRouting struct {
	until   structs.Instant
	longest time.Duration
}

// Update records that a configuration came into force at the instant, with the timeouts of its streaming routes. What was in
// force before the first one is not known; its streams are taken to live for as long as records of streams are kept.
func (h *RoutingHistory) Update(now structs.Instant, timeouts []time.Duration) {
	former := formerRouting{until: now, longest: Retention}
	if h.hasConfiguration {
		former.longest = h.longest
	}
	h.former = slices.DeleteFunc(append(h.former, former), func(past formerRouting) bool {
		return now-past.until > max(maxHistory, past.longest)
	})
	h.longest, h.hasConfiguration = 0, true
	for _, timeout := range timeouts {
		h.longest = max(h.longest, StreamLifetime(timeout))
	}
}

// Lag records that a former configuration may still be in force at another node at the instant.
func (h *RoutingHistory) Lag(now structs.Instant) {
	for i := range h.former {
		h.former[i].until = now
	}
}

// BeganUnderCurrent reports whether a stream that is resumed now, within the lifetime of streams of its route, can have begun
// under the current configuration only.
func (h *RoutingHistory) BeganUnderCurrent(now structs.Instant, lifetime time.Duration) bool {
	return h.hasConfiguration && !slices.ContainsFunc(h.former, func(past formerRouting) bool {
		return now-past.until <= max(lifetime, past.longest)
	})
}
