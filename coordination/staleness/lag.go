// Package staleness holds what a node knows of how old its knowledge is: what peers have that it
// lacks, when the store was last read by anybody, and which newer versions of the configuration exist.
// It does no I/O and reads no clock.
package staleness

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// MinPullBackoff is the time from the end of one pull to the next, and longestPause bounds that time,
	// which doubles with each pull that fails.
	MinPullBackoff = 200 * time.Millisecond
	longestPause   = 1600 * time.Millisecond
)

// PullTracker is what peers are known to know more of one kind of news.
type PullTracker[N ~int64] struct {
	// told is the newest that a peer told of, and since when the first of it was heard of.
	told  N
	since structs.Instant
	// pulling is true while a peer is asked, next is when one may be asked again, and
	// pause the time from a pull to the next one.
	pulling bool
	next    structs.Instant
	pause   time.Duration
}

// ShouldPull enters what a peer told and returns whether that peer is to be asked now, given
// what this node has itself, and how long it waits for its own watch to tell it.
func (l *PullTracker[N]) ShouldPull(now structs.Instant, own, told N, patience time.Duration) bool {
	if own >= l.told {
		l.told, l.since = own, now
	}
	if told <= own {
		return false
	}
	l.told = max(l.told, told)
	if now-l.since < patience || l.pulling || now < l.next {
		return false
	}
	l.pulling = true
	return true
}

// PullDone records the end of a pull.
func (l *PullTracker[N]) PullDone(now structs.Instant, succeeded bool) {
	l.pulling = false
	if succeeded {
		l.pause = MinPullBackoff
	} else {
		l.pause = min(max(2*l.pause, MinPullBackoff), longestPause)
	}
	l.next = now + l.pause
}

// IsPulling returns whether a peer is being asked.
func (l *PullTracker[N]) IsPulling() bool { return l.pulling }
