package streamorigins

import (
	"maps"
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
)

// maxViewAge is the age of the view of the replicas beyond which versions may have come and gone unseen.
const maxViewAge = 3 * time.Second

// maxHistory is how long versions without replicas are remembered.
const maxHistory = 10 * time.Minute

// VersionHistory knows which versions a service's replicas have had. It tells whether all streams of a service
// began at one version, which needs no record of them. It is not safe for concurrent use.
type VersionHistory struct {
	// listed has the versions of the replicas by service, and lastListed when those that have no replica any more
	// were last listed.
	listed     map[string]map[string]bool
	lastListed map[serviceVersion]structs.Instant
	// isComplete is true if every change since completeSince was seen.
	isComplete    bool
	completeSince structs.Instant
	confirmedAt   structs.Instant
}

type serviceVersion struct{ service, version string }

// NewVersionHistory returns a history that knows nothing.
func NewVersionHistory() *VersionHistory {
	return &VersionHistory{listed: map[string]map[string]bool{}, lastListed: map[serviceVersion]structs.Instant{}}
}

// Update applies the list of all known replicas after it changed.
func (h *VersionHistory) Update(now structs.Instant, all []replicas.Replica) {
	for service, versions := range h.listed {
		for version := range versions {
			h.lastListed[serviceVersion{service, version}] = now
		}
	}
	maps.DeleteFunc(h.lastListed, func(_ serviceVersion, at structs.Instant) bool { return now-at > maxHistory })
	h.listed = map[string]map[string]bool{}
	for _, replica := range all {
		if h.listed[replica.Service] == nil {
			h.listed[replica.Service] = map[string]bool{}
		}
		h.listed[replica.Service][replica.Version] = true
	}
}

// Confirm states how old the view of the replicas is; a negative age means that there is none. The history
// starts again after a time in which changes may have been missed, also because Confirm was not called.
func (h *VersionHistory) Confirm(now structs.Instant, viewAge time.Duration) {
	isCurrent := viewAge >= 0 && viewAge <= maxViewAge
	if !h.isComplete || !isCurrent || now-h.confirmedAt > maxViewAge {
		h.completeSince = now
	}
	h.isComplete, h.confirmedAt = isCurrent, now
}

// Restart forgets that changes were seen, for example if the list may have been replaced by an older one.
func (h *VersionHistory) Restart() { h.isComplete = false }

// OnlyVersion returns the version of all replicas that the service had in the window before now. It returns
// false if there were several versions or none, if the version is not stated, or if the history does not cover
// the window. The caller calls Confirm before.
func (h *VersionHistory) OnlyVersion(now structs.Instant, service string, window time.Duration) (string, bool) {
	if !h.isComplete || now-h.completeSince < window || window > maxHistory {
		return "", false
	}
	versions := map[string]bool{}
	maps.Copy(versions, h.listed[service])
	for former, listedAt := range h.lastListed {
		if former.service == service && now-listedAt <= window {
			versions[former.version] = true
		}
	}
	if len(versions) != 1 {
		return "", false
	}
	for version := range versions {
		return version, version != ""
	}
	return "", false
}
