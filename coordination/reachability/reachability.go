// Package reachability tracks which replicas one node can open connections to, and when it lets peers
// forward its connections instead. Reachability belongs to a pair of node and replica: a replica that one
// node can't reach may serve all others. The package does no I/O and reads no clock.
//
// A path is lost when a connect fails. It is forwarded from when a peer reached the replica, which proves
// that the replica is not at fault. A node with several lost paths, that has opened no connection since,
// is isolated: it may be the node that is at fault, so it does not forward connections itself. If peers
// reached several of these replicas, it is partitioned: it lets peers forward all its connections.
//
// Guarantees:
//   - A path is forwarded only if a peer reached the replica after this node failed to.
//   - A node is partitioned only from minLostPaths such replicas on, and not if it has reached any
//     replica since it lost them.
//   - A partition ends after minReachedReplicas connects in a row that succeeded, and the node's paths are
//     direct again one after the other within returnSpread.
package reachability

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// minLostPaths is the number of lost paths from which a node is isolated, and of forwarded ones from
	// which it is partitioned.
	minLostPaths = 2
	// minReachedReplicas is the number of successful connects in a row that end a partition, and
	// minPathSuccesses the number of those that end the forwarding of a single path. Hysteresis keeps an
	// unsteady path from changing the way of the callers' requests again and again.
	minReachedReplicas = 3
	minPathSuccesses   = 2
	// returnSpread is the time over which paths become direct again after a partition, so that the node
	// doesn't open connections to all replicas at once.
	returnSpread = 2 * time.Second
)

// Change is what an observation changed.
type Change int

const (
	// Unchanged means that no path changed.
	Unchanged Change = iota
	// PathLost means that the first connect to the replica failed.
	PathLost
	// PathRegained means that connections to the replica are direct again.
	PathRegained
	// PathForwarded means that peers forward the connections to the replica.
	PathForwarded
	// Partitioned means that peers forward the connections to all replicas.
	Partitioned
	// Restored means that the partition has ended.
	Restored
)

// path is one node's path to one replica that it could not reach.
type path struct {
	// lostAt is the time of the first failed connect since the last one that succeeded.
	lostAt structs.Instant
	// isForwarded is true once a peer reached the replica.
	isForwarded bool
	// successes counts the successful connects in a row.
	successes int
	// directFrom is when the path is direct again after a partition; zero means that it isn't.
	directFrom structs.Instant
}

// Tracker is one node's view of its paths to replicas. It is not safe for concurrent use.
type Tracker struct {
	// lost has the paths that are lost or forwarded, by replica.
	lost map[string]*path
	// reachedAt is the time of the last successful connect to any replica.
	reachedAt structs.Instant
	// isPartitioned is true in a partition, and reached counts the successful connects in a row.
	isPartitioned bool
	reached       int
	// random returns a number in [0, 1).
	random func() float64
}

// NewTracker returns a tracker that has lost no path. random returns numbers in [0, 1).
func NewTracker(random func() float64) *Tracker {
	return &Tracker{lost: map[string]*path{}, reachedAt: -1, random: random}
}

// RecordConnect records the end of this node's own connect to the replica.
func (t *Tracker) RecordConnect(now structs.Instant, replica string, succeeded bool) Change {
	if !succeeded {
		return t.recordFailure(now, replica)
	}
	t.reachedAt = now
	if t.isPartitioned {
		return t.recordReached(now)
	}
	lost, isLost := t.lost[replica]
	if !isLost {
		return Unchanged
	}
	lost.successes++
	if lost.isForwarded && lost.successes < minPathSuccesses {
		return Unchanged
	}
	delete(t.lost, replica)
	return PathRegained
}

func (t *Tracker) recordFailure(now structs.Instant, replica string) Change {
	t.reached = 0
	lost, wasLost := t.lost[replica]
	if !wasLost {
		t.lost[replica] = &path{lostAt: now}
		return PathLost
	}
	if lost.successes > 0 || lost.directFrom > 0 {
		lost.lostAt, lost.successes, lost.directFrom = now, 0, 0
	}
	return Unchanged
}

// recordReached counts a successful connect in a partition.
func (t *Tracker) recordReached(now structs.Instant) Change {
	if t.reached++; t.reached < minReachedReplicas {
		return Unchanged
	}
	t.isPartitioned, t.reached = false, 0
	for id, lost := range t.lost {
		if !lost.isForwarded {
			delete(t.lost, id)
			continue
		}
		lost.directFrom = now + time.Duration(t.random()*float64(returnSpread)) + 1
	}
	return Restored
}

// RecordForwarded records that a peer reached the replica, to which the last connect of this node failed.
func (t *Tracker) RecordForwarded(replica string) Change {
	lost, isLost := t.lost[replica]
	if !isLost || lost.isForwarded && t.isPartitioned {
		return Unchanged
	}
	wasForwarded := lost.isForwarded
	lost.isForwarded = true
	if !t.isPartitioned && t.lostSinceReached(func(p *path) bool { return p.isForwarded }) >= minLostPaths {
		t.isPartitioned, t.reached = true, 0
		return Partitioned
	}
	if wasForwarded {
		return Unchanged
	}
	return PathForwarded
}

// lostSinceReached returns the number of matching paths that were lost since this node last reached a
// replica.
func (t *Tracker) lostSinceReached(matches func(*path) bool) int {
	count := 0
	for _, lost := range t.lost {
		if matches(lost) && lost.lostAt > t.reachedAt {
			count++
		}
	}
	return count
}

// IsIsolated reports whether this node has lost several paths and reached no replica since.
func (t *Tracker) IsIsolated() bool {
	return t.isPartitioned || t.lostSinceReached(func(*path) bool { return true }) >= minLostPaths
}

// IsForwarded reports whether peers should forward this node's connections to the replica.
func (t *Tracker) IsForwarded(now structs.Instant, replica string) bool {
	if t.isPartitioned {
		return true
	}
	lost, isLost := t.lost[replica]
	return isLost && lost.isForwarded && (lost.directFrom == 0 || now < lost.directFrom)
}

// IsLost reports whether the last connect did not reach the replica, or the node is partitioned.
func (t *Tracker) IsLost(replica string) bool {
	_, isLost := t.lost[replica]
	return isLost || t.isPartitioned
}

// IsPartitioned reports whether this node is partitioned from the replicas.
func (t *Tracker) IsPartitioned() bool { return t.isPartitioned }

// Forwarded returns the replicas with forwarded paths, by ID. These paths must be probed.
func (t *Tracker) Forwarded() []string {
	return t.idsWhere(func(p *path) bool { return p.isForwarded })
}

// Lost returns the replicas with lost or forwarded paths, by ID.
func (t *Tracker) Lost() []string { return t.idsWhere(func(*path) bool { return true }) }

func (t *Tracker) idsWhere(matches func(*path) bool) []string {
	ids := make([]string, 0, len(t.lost))
	for id, lost := range t.lost {
		if matches(lost) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Forget removes the paths to replicas for which known returns false.
func (t *Tracker) Forget(known func(id string) bool) {
	for id := range t.lost {
		if !known(id) {
			delete(t.lost, id)
		}
	}
}
