package staleness

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// mostVersions bounds the versions that are remembered as heard of.
const mostVersions = 64

// NewerVersions remembers which versions newer than its own a node has heard of from
// peers that still live, and when. It is safe for concurrent use.
type NewerVersions struct {
	newest   atomic.Int64
	mutex    sync.Mutex
	at       map[int64]structs.Instant
	rejected int64
}

// Observe records that a peer has the version. It returns false if this node has it, or
// can't take it into force.
func (v *NewerVersions) Observe(now structs.Instant, own, version int64) bool {
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

// DropAbove forgets the versions above the newest that a living peer has: nobody can have
// them before the store tells them, and the store may be away.
func (v *NewerVersions) DropAbove(newest int64) {
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

// Reject records that this node can't take the version into force and goes by the last
// good one.
func (v *NewerVersions) Reject(version int64) {
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

// HasNewer returns whether a version newer than the node's own was heard of.
func (v *NewerVersions) HasNewer(own int64) bool { return v.newest.Load() > own }

// BehindFor returns for how long a version newer than the node's own has been known.
func (v *NewerVersions) BehindFor(now structs.Instant, own int64) time.Duration {
	if !v.HasNewer(own) {
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
