// Package replicahealth tracks which replicas one node can't reach or gets broken responses from,
// and until when it avoids each. It does no I/O and reads no clock.
package replicahealth

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Bounds of the time for which a failing replica is avoided.
const (
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// replicaHealth is one node's view of one replica.
type replicaHealth struct {
	consecutiveFailures int
	// retryAt is the time until which the replica counts as failing.
	retryAt structs.Instant
}

// Tracker is one node's view of which replicas fail. It is not safe for concurrent use.
type Tracker struct {
	replicas map[string]*replicaHealth
}

// NewTracker returns a tracker without replicas.
func NewTracker() *Tracker { return &Tracker{replicas: map[string]*replicaHealth{}} }

func (t *Tracker) get(id string) *replicaHealth {
	health, found := t.replicas[id]
	if !found {
		health = &replicaHealth{}
		t.replicas[id] = health
	}
	return health
}

// RecordUnreachable records that the replica could not be reached or stopped responding. The
// replica counts as failing for a time that doubles with consecutive failures.
func (t *Tracker) RecordUnreachable(now structs.Instant, id string) {
	health := t.get(id)
	health.consecutiveFailures++
	backoff := minBackoff << min(health.consecutiveFailures-1, 5)
	health.retryAt = max(health.retryAt, now+min(backoff, maxBackoff))
}

// RecordSuccess records a complete response, also if it is an error: whether the replica or the
// service causes errors is judged by the scheduling node. It resets the count of consecutive
// failures, but not the time until which the replica counts as failing.
func (t *Tracker) RecordSuccess(id string) { t.get(id).consecutiveFailures = 0 }

// RecordBroken records a response that was truncated or malformed. The replica counts as failing
// from the second consecutive failure.
func (t *Tracker) RecordBroken(now structs.Instant, id string) {
	health := t.get(id)
	if health.consecutiveFailures++; health.consecutiveFailures > 1 {
		health.retryAt = max(health.retryAt, now+minBackoff)
	}
}

// Reset removes the state of a replica that restarted under the same id.
func (t *Tracker) Reset(id string) { delete(t.replicas, id) }

// Failing returns the ids of the replicas that should not be tried now, in no particular order.
func (t *Tracker) Failing(now structs.Instant) []string {
	var ids []string
	for id, health := range t.replicas {
		if now < health.retryAt {
			ids = append(ids, id)
		}
	}
	return ids
}

// Forget removes the replicas for which known returns false.
func (t *Tracker) Forget(known func(id string) bool) {
	for id := range t.replicas {
		if !known(id) {
			delete(t.replicas, id)
		}
	}
}
