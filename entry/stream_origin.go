package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/coordination/streams"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
)

// A stream goes on only at the software version that began it (coordination/streams). The node that relays the
// first event records its version and reports it to the keepers of the stream, before the caller has the
// event. A node at which a caller resumes the stream asks its keepers.

// maxStreamOrigins bounds the origins that a node keeps; each takes about 350 bytes.
const maxStreamOrigins = 1 << 15

// streamState is what a call knows of its stream.
type streamState struct {
	// origin is set once the caller has an event. Its version is empty if it is uncertain which one began the
	// stream.
	origin streamorigins.Origin
	// originKey names the stream; it is zero before the first event of a new one. originRecordedAt is when its origin was
	// last recorded by this call.
	originKey        streamorigins.Key
	originRecordedAt structs.Instant
	// unresolved is what the origin is if that is uncertain and may become certain.
	unresolved unresolvedOrigin
	// lastEventAt is when the caller was last sent an event; zero if it was sent none.
	lastEventAt structs.Instant
	// relayedIDs are the IDs of the events that the caller has, fromEvent and toEvent those of the first and the last one
	// that the current send brought.
	relayedIDs         relayedIDs
	fromEvent, toEvent string
	// callerTime is the time that the caller has left for its stream, if that is more than its route suggests.
	callerTime time.Duration
}

// streamOriginsReport has the origins of streams, for a node that keeps them.
type (
	streamOriginsReport struct{ Records []streamorigins.Record }
	streamOriginsReply  struct{}
)

// streamOriginQuestion asks for the origin of the stream with the key, or of those with the content. Nodes of earlier versions
// know no contents.
type (
	streamOriginQuestion struct {
		Key       streamorigins.Key
		IsContent bool `msgpack:",omitempty"`
	}
	streamOriginAnswer struct {
		Origin    streamorigins.Origin
		Knowledge streamorigins.Knowledge
		// WasUnattended is true if the node took origins from the store, and no node ran until lately. Nodes of earlier releases
		// don't send it.
		WasUnattended bool `msgpack:",omitempty"`
	}
)

func (n *Node) serveStreamOrigins(_ context.Context, report *streamOriginsReport) (*streamOriginsReply, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, record := range report.Records {
		n.streamOrigins.Put(n.now(), record)
		n.archiveOriginLocked(record)
	}
	return &streamOriginsReply{}, nil
}

func (n *Node) serveStreamOrigin(_ context.Context, question *streamOriginQuestion) (*streamOriginAnswer, error) {
	found := n.known(originSearch{key: question.Key, isContent: question.IsContent})
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return &streamOriginAnswer{Origin: found.Origin, Knowledge: found.Knowledge, WasUnattended: n.originArchive.wasUsed && n.wasUnattendedLocked()}, nil
}

// tenantName returns the name of the request's tenant, or "" if it has none.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// resumedStream returns what the caller sent of a stream that it resumes: the ID of the request that began it and that
// of the last event that it has. Both are empty for a new stream.
func (c *call) resumedStream() (first, lastEvent string) {
	names := &c.node.dependencies.Headers
	return c.request.Header.Get(names.ResumedRequest), c.request.Header.Get(names.LastEvent)
}

// bindResumedStream binds a stream that the caller resumes to the version that began it. If it returns
// false, it has ended the request.
func (c *call) bindResumedStream() bool {
	first, lastEvent := c.resumedStream()
	if first == "" && lastEvent == "" {
		return true
	}
	evidence := streams.Evidence{Services: c.route.Services(), OnlyVersion: c.onlyVersion}
	found := c.findResumed(first)
	if c.route.Kind != kindStreaming && found.Knowledge == streamorigins.Unknown && c.beganUnderCurrent() {
		return true // its answers need not be streams, whatever the caller sends
	}
	evidence.Origin, evidence.Knowledge = found.Origin, found.Knowledge
	origin, refusal := streams.Bind(evidence)
	c.logResumed(origin, evidence.Knowledge, refusal)
	if refusal != streams.RefusalNone {
		c.endNotRun(http.StatusServiceUnavailable, string(refusal), retryAfterRejected)
		return false
	}
	c.service, c.origin = origin.Service, origin
	c.relayedIDs.resumeAfter(lastEvent)
	return true
}

// onlyVersion returns the version of all replicas of the service that may have begun the caller's stream, if it
// is the same for all and the route has led to this service for as long as the stream may have lived.
func (c *call) onlyVersion(service string) (string, bool) {
	n := c.node
	lifetime := c.streamLifetime()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.confirmVersionHistoryLocked()
	pool := groupByService(n.table.All())[service]
	n.versionHistory.SetDoubted(service, n.isAnyDoubtedLocked(pool))
	ran, isKnown := n.ranLocked(pool)
	n.versionHistory.SetRan(service, ran, isKnown)
	if !n.routingHistory.BeganUnderCurrent(n.now(), lifetime) {
		return "", false
	}
	return n.versionHistory.OnlyVersion(n.now(), service, lifetime)
}

// confirmVersionHistory tells the history of versions how old this node's view of the replicas is.
func (n *Node) confirmVersionHistory() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.confirmVersionHistoryLocked()
}

func (n *Node) confirmVersionHistoryLocked() {
	now := n.now()
	n.versionHistory.Confirm(now, time.Duration(n.replicaFreshness.Age(now))*time.Millisecond)
	if n.mayPeerSeeStoreLocked(now) {
		n.versionHistory.MissPeers()
	}
	if n.mayPeerLagLocked(now) {
		n.routingHistory.Lag(now)
	}
}

// mayPeerLagLocked reports whether another node may still serve by a former configuration: one that this node does not hear,
// or that says so.
func (n *Node) mayPeerLagLocked(now structs.Instant) bool {
	live := n.members.Live(now)
	return len(live) < n.members.Known() || slices.ContainsFunc(live, func(member *liveness.Member) bool { return member.Version < n.version() })
}

// minPeerStoreTime is for how long a peer has watched the store when this node should have its view. It is longer than the
// time between two tries of this node to read a store that is back.
const minPeerStoreTime = 3 * time.Second

// mayPeerSeeStoreLocked reports whether another node may see the store while this one has no current view: one that it does
// not hear, or that has watched the store for a while. A node of a large fleet does not know all others.
func (n *Node) mayPeerSeeStoreLocked(now structs.Instant) bool {
	live := n.members.Live(now)
	return n.isLarge || len(live) < n.members.Known() || slices.ContainsFunc(live, func(member *liveness.Member) bool {
		return member.StoreHealthyMS > minPeerStoreTime.Milliseconds()
	})
}

// recordOrigin records, before the caller gets an event of the replica, at which version the stream began. Of a
// stream that goes on for long it records this again now and then.
func (c *call) recordOrigin(replica replicas.Replica) {
	n := c.node
	now := n.now()
	c.lastEventAt = now
	if !c.route.Resumable {
		return
	}
	isResolved := c.isOriginUncertain() && c.resolveOrigin()
	if c.originRecordedAt > 0 && !isResolved && now-c.originRecordedAt < streamorigins.RefreshInterval {
		return
	}
	c.originRecordedAt = now
	if c.origin.IsZero() {
		c.beginOrigin(replica)
	}
	n.keepOrigin(streamorigins.Record{Key: c.originKey, Content: c.fingerprint, Origin: c.origin})
}

// keepOrigin records the origin of a stream here and, in the background, at its keepers. A report that is lost is
// not sent again: the others suffice.
func (n *Node) keepOrigin(record streamorigins.Record) {
	n.mutex.Lock()
	n.streamOrigins.Put(n.now(), record)
	n.archiveOriginLocked(record)
	n.mutex.Unlock()
	report := &streamOriginsReport{Records: []streamorigins.Record{record}}
	for _, address := range n.originReceivers(record) {
		go func() {
			if err := n.report(address, peerwire.KindStreamOrigins, report, &streamOriginsReply{}); err != nil {
				n.counter("streams.reports_failed").Inc(1)
			}
		}()
	}
}

// isOriginUncertain reports whether the caller has events of a version that is not certain, so that the
// stream can't go on.
func (c *call) isOriginUncertain() bool { return !c.origin.IsZero() && c.origin.Version == "" }

// mayGoOnAtLocked reports whether the request may be sent to the assigned replica as far as the origin of
// its stream is concerned. The caller holds the mutex.
func (n *Node) mayGoOnAtLocked(granted *grant) bool {
	if granted.origin.IsZero() {
		return true // the caller has no events
	}
	listed, isListed := n.table.Get(granted.Replica.ID)
	return streams.MayGoOnAt(granted.origin, granted.Replica, listed, isListed)
}

// logResumed logs and counts the decision on a stream that the caller resumes.
func (c *call) logResumed(origin streamorigins.Origin, knowledge streamorigins.Knowledge, refusal streams.Refusal) {
	event := c.newEvent("stream.resumed")
	event.ResumedRequest, event.LastEvent = c.resumedStream()
	event.ReplicaVersion, event.Detail = origin.Version, "origin "+knowledge.String()
	event.Outcome, event.Reason = "bound", string(refusal)
	if refusal != streams.RefusalNone {
		event.Outcome = "refused"
	}
	c.logEvent(event)
	c.node.counter("streams.resumed_" + event.Outcome).Inc(1)
}

// registerStreamMetrics registers the gauges of the origins of streams.
func (n *Node) registerStreamMetrics() {
	n.registerGauges(map[string]func() int64{
		"streams.origins":         func() int64 { return int64(n.streamOrigins.Count()) },
		"streams.origins_dropped": n.streamOrigins.Dropped,
		"streams.archive_backlog": func() int64 { return int64(len(n.originArchive.backlog)) },
		"streams.archive_dropped": func() int64 { return n.originArchive.dropped },
	})
}
