// Package reachability tracks which replicas one node can open connections to. Reachability belongs to
// a pair of node and replica: a replica that one node can't reach may serve all others. The package does
// no I/O and reads no clock.
package reachability

import (
	"slices"

	"github.com/thornwalk/thornwalk/structs"
)

// path is one node's path to one replica that it could not reach.
type path struct {
	// lostAt is the time of the first failed connect since the last one that succeeded.
	lostAt structs.Instant
}

// Tracker is one node's view of its paths to replicas. It is not safe for concurrent use.
type Tracker struct {
	// lost has the replicas that the last connect did not reach.
	lost map[string]*path
}

// NewTracker returns a tracker that has lost no path.
func NewTracker() *Tracker { return &Tracker{lost: map[string]*path{}} }

// RecordConnect records the end of a connect to the replica, and reports whether the path was lost or
// regained by it.
func (t *Tracker) RecordConnect(now structs.Instant, replica string, succeeded bool) (changed bool) {
	_, wasLost := t.lost[replica]
	if succeeded {
		delete(t.lost, replica)
		return wasLost
	}
	if !wasLost {
		t.lost[replica] = &path{lostAt: now}
	}
	return !wasLost
}

// Lost returns the replicas that the last connect did not reach, by ID.
func (t *Tracker) Lost() []string {
	ids := make([]string, 0, len(t.lost))
	for id := range t.lost {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Forget removes the replicas for which known returns false.
func (t *Tracker) Forget(known func(id string) bool) {
	for id := range t.lost {
		if !known(id) {
			delete(t.lost, id)
		}
	}
}
