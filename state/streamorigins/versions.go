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
	// incarnations has the latest incarnation of each ID, and replacedAt when one of the service's was last found to have
	// been replaced under its ID. Others may have run in between, unseen.
	incarnations map[string]seenIncarnation
	replacedAt   map[string]structs.Instant
	// doubted has the services of which a replica is doubted.
	doubted map[string]bool
	// isComplete is true if every change since completeSince was seen.
	isComplete    bool
	completeSince structs.Instant
	confirmedAt   structs.Instant
}

type serviceVersion struct{ service, version string }

// seenIncarnation is an incarnation by its start, and when it was last listed.
type seenIncarnation struct {
	startedAt int64
	at        structs.Instant
}

// NewVersionHistory returns a history that knows nothing.
func NewVersionHistory() *VersionHistory {
	return &VersionHistory{
		listed: map[string]map[string]bool{}, lastListed: map[serviceVersion]structs.Instant{},
		incarnations: map[string]seenIncarnation{}, replacedAt: map[string]structs.Instant{}, doubted: map[string]bool{},
	}
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
		if before, found := h.incarnations[replica.ID]; found && before.startedAt != replica.StartedAt {
			h.replacedAt[replica.Service] = now
		}
		h.incarnations[replica.ID] = seenIncarnation{startedAt: replica.StartedAt, at: now}
	}
	maps.DeleteFunc(h.incarnations, func(_ string, seen seenIncarnation) bool { return now-seen.at > maxHistory })
	maps.DeleteFunc(h.replacedAt, func(_ string, at structs.Instant) bool { return now-at > maxHistory })
}

// SetDoubted states whether one of the service's replicas is doubted: it may have been replaced by one of another version
// that the list does not show yet.
func (h *VersionHistory) SetDoubted(service string, isDoubted bool) {
	if isDoubted {
		h.doubted[service] = true
		return
	}
	delete(h.doubted, service)
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
// false if there were several versions or none, if the version is not stated, if the history does not cover the window,
// or if a replica is doubted or was replaced under its ID in the window. The caller calls Confirm and SetDoubted before.
func (h *VersionHistory) OnlyVersion(now structs.Instant, service string, window time.Duration) (string, bool) {
	if !h.isComplete || now-h.completeSince < window || window > maxHistory {
		return "", false
	}
	if at, wasReplaced := h.replacedAt[service]; h.doubted[service] || wasReplaced && now-at <= window {
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
