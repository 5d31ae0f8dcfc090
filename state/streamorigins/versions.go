package streamorigins

import (
	"maps"
	"slices"
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
//
// While the view is old, and when it becomes current again, changes may have been missed: there is a gap. A gap is closed
// for a service if the incarnations that were listed when it began were still running when it ended: then no other process
// was at their addresses, and nodes that don't read the store know of no other replica.
type VersionHistory struct {
	// listed has the versions of the replicas by service, and lastListed when those that have no replica any more
	// were last listed.
	listed     map[string]map[string]bool
	lastListed map[serviceVersion]structs.Instant
	// incarnations has the latest incarnation of each ID, and replacedAt when one of the service's was last found to have
	// been replaced under its ID. Others may have run in between, unseen.
	incarnations map[string]seenIncarnation
	replacedAt   map[string]structs.Instant
	// goneAt has when an incarnation of the service was last found not to be listed any more.
	goneAt map[string]structs.Instant
	// doubted has the services of which a replica is doubted, and ran the time by service throughout which all listed
	// incarnations are known to have run, each as one process.
	doubted map[string]bool
	ran     map[string]Span
	// isFollowed is true if every change since completeSince was seen, except in the gaps. isCurrent is true if the view
	// is; otherwise the last gap is open.
	isFollowed, isCurrent bool
	completeSince         structs.Instant
	confirmedAt           structs.Instant
	gaps                  []gap
}

// Span is a time with its ends.
type Span struct{ Since, Until structs.Instant }

type serviceVersion struct{ service, version string }

// seenIncarnation is an incarnation by its start, and when it was last listed.
type seenIncarnation struct {
	service   string
	startedAt int64
	at        structs.Instant
	isListed  bool
}

// gap is a time in which the store may have changed unseen: since the last view before it, until the view was current again.
type gap struct {
	began, ended structs.Instant
	// isPartial is true if another node may have seen the store meanwhile.
	isPartial bool
}

// NewVersionHistory returns a history that knows nothing.
func NewVersionHistory() *VersionHistory {
	return &VersionHistory{
		listed: map[string]map[string]bool{}, lastListed: map[serviceVersion]structs.Instant{},
		incarnations: map[string]seenIncarnation{}, replacedAt: map[string]structs.Instant{}, goneAt: map[string]structs.Instant{},
		doubted: map[string]bool{}, ran: map[string]Span{},
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
	isListed := map[string]bool{}
	for _, replica := range all {
		if h.listed[replica.Service] == nil {
			h.listed[replica.Service] = map[string]bool{}
		}
		h.listed[replica.Service][replica.Version] = true
		isListed[replica.ID] = true
		if before, found := h.incarnations[replica.ID]; found && before.startedAt != replica.StartedAt {
			h.replacedAt[replica.Service] = now
			h.goneAt[before.service] = now
		}
		h.incarnations[replica.ID] = seenIncarnation{service: replica.Service, startedAt: replica.StartedAt, at: now, isListed: true}
	}
	for id, seen := range h.incarnations {
		if seen.isListed && !isListed[id] {
			h.goneAt[seen.service] = now
			seen.isListed = false
			h.incarnations[id] = seen
		}
	}
	isOld := func(_ string, at structs.Instant) bool { return now-at > maxHistory }
	maps.DeleteFunc(h.incarnations, func(id string, seen seenIncarnation) bool { return isOld(id, seen.at) })
	maps.DeleteFunc(h.replacedAt, isOld)
	maps.DeleteFunc(h.goneAt, isOld)
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

// SetRan states that all listed incarnations of the service are known to have run throughout the time, each as one process,
// if isKnown.
func (h *VersionHistory) SetRan(service string, ran Span, isKnown bool) {
	if isKnown {
		h.ran[service] = ran
		return
	}
	delete(h.ran, service)
}

// Confirm states how old the view of the replicas is; a negative age means that there is none. The history
// starts again after a time in which Confirm was not called.
func (h *VersionHistory) Confirm(now structs.Instant, viewAge time.Duration) {
	isCurrent := viewAge >= 0 && viewAge <= maxViewAge
	switch {
	case !h.isFollowed || now-h.confirmedAt > maxViewAge:
		h.isFollowed, h.completeSince, h.gaps = isCurrent, now, nil
	case h.isCurrent && !isCurrent:
		h.gaps = append(h.gaps, gap{began: now - max(viewAge, 0)})
	case !h.isCurrent && isCurrent:
		h.gaps[len(h.gaps)-1].ended = now
	}
	h.isCurrent, h.confirmedAt = isCurrent, now
	h.gaps = slices.DeleteFunc(h.gaps, func(past gap) bool { return past.ended > 0 && now-past.ended > maxHistory })
}

// MissPeers states that another node may see the store. A gap that is open is not closed by what is known of the listed
// incarnations then: that node may know of others.
func (h *VersionHistory) MissPeers() {
	if h.isFollowed && !h.isCurrent {
		h.gaps[len(h.gaps)-1].isPartial = true
	}
}

// Restart forgets that changes were seen, for example if the list may have been replaced by an older one.
func (h *VersionHistory) Restart() { h.isFollowed = false }

// OnlyVersion returns the version of all replicas that the service had in the window before now. It returns
// false if there were several versions or none, if the version is not stated, if the history does not cover the window,
// or if a replica is doubted or was replaced under its ID in the window. The caller calls Confirm, SetDoubted and SetRan
// before.
func (h *VersionHistory) OnlyVersion(now structs.Instant, service string, window time.Duration) (string, bool) {
	if !h.isFollowed || now-h.completeSince < window || window > maxHistory || !h.areGapsClosed(now, service, window) {
		return "", false
	}
	if at, wasReplaced := h.replacedAt[service]; h.doubted[service] || wasReplaced && now-at <= window {
		return "", false
	}
	versions := h.versionsWithin(now, service, window)
	if len(versions) != 1 {
		return "", false
	}
	for version := range versions {
		return version, version != ""
	}
	return "", false
}

// HasSeveralVersions reports whether replicas of several versions of the service were listed in the window before now.
func (h *VersionHistory) HasSeveralVersions(now structs.Instant, service string, window time.Duration) bool {
	listed := h.listed[service]
	if len(listed) > 1 {
		return true
	}
	for former, listedAt := range h.lastListed {
		if former.service == service && now-listedAt <= window && len(listed) == 1 && !listed[former.version] {
			return true
		}
	}
	return len(listed) == 0 && len(h.versionsWithin(now, service, window)) > 1
}

// versionsWithin returns the versions of the service that were listed in the window before now.
func (h *VersionHistory) versionsWithin(now structs.Instant, service string, window time.Duration) map[string]bool {
	versions := map[string]bool{}
	maps.Copy(versions, h.listed[service])
	for former, listedAt := range h.lastListed {
		if former.service == service && now-listedAt <= window {
			versions[former.version] = true
		}
	}
	return versions
}

// areGapsClosed reports whether no gap in the window may hide a replica of the service.
func (h *VersionHistory) areGapsClosed(now structs.Instant, service string, window time.Duration) bool {
	ran, isKnown := h.ran[service]
	goneAt, isAnyGone := h.goneAt[service]
	for i, past := range h.gaps {
		ended := past.ended
		if isOpen := i == len(h.gaps)-1 && !h.isCurrent; isOpen {
			ended = now - maxViewAge
		} else if now-ended >= window {
			continue
		}
		if past.isPartial || !isKnown || ran.Since > past.began || ran.Until < ended || isAnyGone && goneAt >= past.began {
			return false
		}
	}
	return true
}
