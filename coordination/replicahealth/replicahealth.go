// Package replicahealth holds what one node saw of replicas that can't be reached, fall silent or
// break answers off, and for how long it doubts each. It does no I/O and reads no clock.
package replicahealth

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Bounds of what a node concludes from failures of a replica.
const (
	firstBackoff = 400 * time.Millisecond
	longBackoff  = 3 * time.Second
)

// health is what one node saw of one replica.
type health struct {
	// failures in a row; until is when it may be tried again.
	failures int
	until    structs.Instant
}

// Tracker is a node's own view of which replicas fail. It is not safe for concurrent use.
type Tracker struct {
	replicas map[string]*health
}

// NewTracker returns a book that doubts no replica.
func NewTracker() *Tracker { return &Tracker{replicas: map[string]*health{}} }

func (b *Tracker) get(id string) *health {
	held, found := b.replicas[id]
	if !found {
		held = &health{}
		b.replicas[id] = held
	}
	return held
}

// RecordUnreachable records that the replica could not be reached or fell silent.
func (b *Tracker) RecordUnreachable(now structs.Instant, id string) {
	held := b.get(id)
	held.failures++
	backoff := firstBackoff << min(held.failures-1, 5)
	held.until = now + min(backoff, longBackoff)
}

// RecordSuccess records a whole answer. Whether it was a failure of the replica's own
// is for the scheduling node to judge, which sees all replicas: some services
// fail one request in five wherever it goes.
func (b *Tracker) RecordSuccess(id string) { b.get(id).failures = 0 }

// RecordBroken records an answer that was cut or spoiled.
func (b *Tracker) RecordBroken(now structs.Instant, id string) {
	held := b.get(id)
	if held.failures++; held.failures > 1 {
		held.until = now + firstBackoff
	}
}

// Reset drops what is known of a replica that started again under its id.
func (b *Tracker) Reset(id string) { delete(b.replicas, id) }

// Failing returns the replicas that should not be tried now.
func (b *Tracker) Failing(now structs.Instant) []string {
	var ids []string
	for id, held := range b.replicas {
		if now < held.until {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget drops replicas that are no longer known.
func (b *Tracker) Forget(known func(id string) bool) {
	for id := range b.replicas {
		if !known(id) {
			delete(b.replicas, id)
		}
	}
}
