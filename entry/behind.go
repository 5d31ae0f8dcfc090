package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// behindShare is the part of the time that a version may take to be in force everywhere
// after which a node that still lacks it refuses requests: it may have heard of the
// version some heartbeats after it was accepted.
const behindShare = 0.6

// retryBehind is when a caller should come back that this node can't answer rightly, as
// it knows of a newer version: about the time that a fetch takes. Another node may have
// the version at once.
const retryBehind = 200 * time.Millisecond

// mostVersions bounds the versions that are remembered as heard of.
const mostVersions = 64

// newerVersions remembers which versions newer than its own a node has heard of from
// peers that still live, and when. It is safe for concurrent use.
type newerVersions struct {
	newest   atomic.Int64
	mutex    sync.Mutex
	at       map[int64]structs.Instant
	rejected int64
}

// heard records that a peer has the version. It returns false if this node has it, or
// can't take it into force.
func (v *newerVersions) heard(now structs.Instant, own, version int64) bool {
	if version <= own {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if version <= v.rejected {
		return false
	}
	v.newest.Store(max(v.newest.Load(), version))
	if v.at == nil {
		v.at = map[int64]structs.Instant{}
	}
	for known := range v.at {
		if known <= own {
			delete(v.at, known)
		}
	}
	if _, known := v.at[version]; !known && len(v.at) < mostVersions {
		v.at[version] = now
	}
	return true
}

// limit forgets the versions above the newest that a living peer has: nobody can have
// them before the store tells them, and the store may be away.
func (v *newerVersions) limit(newest int64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.newest.Load() <= newest {
		return
	}
	v.newest.Store(newest)
	for version := range v.at {
		if version > newest {
			delete(v.at, version)
		}
	}
}

// reject records that this node can't take the version into force and goes by the last
// good one.
func (v *newerVersions) reject(version int64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.rejected = max(v.rejected, version)
	if v.newest.Load() <= v.rejected {
		v.newest.Store(0)
	}
	for known := range v.at {
		if known <= v.rejected {
			delete(v.at, known)
		}
	}
}

// exists returns whether a version newer than the node's own was heard of.
func (v *newerVersions) exists(own int64) bool { return v.newest.Load() > own }

// behindFor returns for how long a version newer than the node's own has been known.
func (v *newerVersions) behindFor(now structs.Instant, own int64) time.Duration {
	if !v.exists(own) {
		return 0
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	longest := time.Duration(0)
	for version, at := range v.at {
		if version > own {
			longest = max(longest, now-at)
		}
	}
	return longest
}

// behindTooLong returns whether this node has lacked a newer configuration for so long
// that it may not answer by its own any more.
func (n *Node) behindTooLong() bool {
	return n.newer.behindFor(n.now(), n.version()) > n.settings.Load().behindLimit()
}

// forgetVersionsOfDeadPeers drops what no living peer has from the versions heard of.
func (n *Node) forgetVersionsOfDeadPeers() {
	newest := int64(0)
	n.mutex.Lock()
	for _, member := range n.members.Live(n.now()) {
		newest = max(newest, member.Version)
	}
	n.mutex.Unlock()
	n.newer.limit(newest)
}
