package staleness

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// maxVersions bounds the versions whose first observation is remembered, and those that were rejected.
const maxVersions = 64

// NewerVersions records which newer versions of the configuration live peers have, and when they
// were first observed. The zero value is ready to use. It is safe for concurrent use.
type NewerVersions struct {
	newest     atomic.Int64
	mutex      sync.Mutex
	observedAt map[int64]structs.Instant
	// rejected are the latest versions that this node can't activate, at most maxVersions.
	rejected []int64
}

// Observe records that a peer has the version. It reports whether the version is newer than own
// and was not rejected.
func (v *NewerVersions) Observe(now structs.Instant, own, version int64) bool {
	if version <= own {
		return false
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if slices.Contains(v.rejected, version) {
		return false
	}
	v.newest.Store(max(v.newest.Load(), version))
	if v.observedAt == nil {
		v.observedAt = map[int64]structs.Instant{}
	}
	for observed := range v.observedAt {
		if observed <= own {
			delete(v.observedAt, observed)
		}
	}
	if _, observed := v.observedAt[version]; !observed && len(v.observedAt) < maxVersions {
		v.observedAt[version] = now
	}
	return true
}

// DropAbove removes the versions above newest, the newest version of any live peer: they can't be
// fetched any more.
func (v *NewerVersions) DropAbove(newest int64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.newest.Load() <= newest {
		return
	}
	v.newest.Store(newest)
	for version := range v.observedAt {
		if version > newest {
			delete(v.observedAt, version)
		}
	}
}

// Reject records that this node can't activate the version and keeps its last valid one. The version no longer counts as
// newer; others do, also earlier ones: a version that is not valid says nothing of them.
func (v *NewerVersions) Reject(version int64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !slices.Contains(v.rejected, version) {
		v.rejected = append(v.rejected, version)
		v.rejected = v.rejected[max(0, len(v.rejected)-maxVersions):]
	}
	delete(v.observedAt, version)
	newest := int64(0)
	for observed := range v.observedAt {
		newest = max(newest, observed)
	}
	v.newest.Store(newest)
}

// HasNewer reports whether a version newer than own was observed.
func (v *NewerVersions) HasNewer(own int64) bool { return v.newest.Load() > own }

// BehindFor returns the time since the first observation of a version newer than own; zero if
// there is none.
func (v *NewerVersions) BehindFor(now structs.Instant, own int64) time.Duration {
	if !v.HasNewer(own) {
		return 0
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	longest := time.Duration(0)
	for version, observedAt := range v.observedAt {
		if version > own {
			longest = max(longest, now-observedAt)
		}
	}
	return longest
}
