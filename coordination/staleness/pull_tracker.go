// Package staleness tracks how stale a node's data is: what peers have that it lacks, when the
// store was last read completely, and which newer versions of the configuration exist. It does no
// I/O and reads no clock.
package staleness

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// MinPullBackoff is the time from the end of a successful pull to the next pull. After
	// failures it doubles up to maxPullBackoff.
	MinPullBackoff = 200 * time.Millisecond
	maxPullBackoff = 1600 * time.Millisecond
)

// PullTracker decides when to pull updates of one kind from peers. N is the kind's position or
// version. The zero value is ready to use. It is not safe for concurrent use.
type PullTracker[N ~int64] struct {
	// newest is the newest value of any peer, and upToDateAt the last time at which this node had
	// the newest.
	newest     N
	upToDateAt structs.Instant
	// nextPullAt is the earliest time of the next pull, and backoff the time between the last
	// pull and that.
	isPulling  bool
	nextPullAt structs.Instant
	backoff    time.Duration
}

// ShouldPull records the value of a peer and reports whether to pull from that peer now. own is
// this node's value, and delay the time for which it waits to receive the update by itself. After
// it returned true, the caller must call PullDone.
func (t *PullTracker[N]) ShouldPull(now structs.Instant, own, peer N, delay time.Duration) bool {
	if own >= t.newest {
		t.newest, t.upToDateAt = own, now
	}
	if peer <= own {
		return false
	}
	t.newest = max(t.newest, peer)
	if now-t.upToDateAt < delay || t.isPulling || now < t.nextPullAt {
		return false
	}
	t.isPulling = true
	return true
}

// PullDone records the end of a pull.
func (t *PullTracker[N]) PullDone(now structs.Instant, succeeded bool) {
	t.isPulling = false
	if succeeded {
		t.backoff = MinPullBackoff
	} else {
		t.backoff = min(max(2*t.backoff, MinPullBackoff), maxPullBackoff)
	}
	t.nextPullAt = now + t.backoff
}

// IsPulling reports whether a pull is in progress.
func (t *PullTracker[N]) IsPulling() bool { return t.isPulling }
