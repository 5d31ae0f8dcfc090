package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
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

const (
	// maxStreamOrigins bounds the origins that a node keeps; each takes about 350 bytes.
	maxStreamOrigins = 1 << 15
	// originLookupTimeout bounds one round of questions to the keepers, and originLookupRounds the rounds, which are
	// originLookupPause apart: the first event may have arrived so recently that the reports are still on their way.
	originLookupTimeout = 250 * time.Millisecond
	originLookupRounds  = 2
	originLookupPause   = 50 * time.Millisecond
)

// streamState is what a call knows of its stream.
type streamState struct {
	// origin is set once the caller has an event. Its version is empty if it is uncertain which one began the
	// stream.
	origin streamorigins.Origin
	// originKey names the stream; it is zero before the first event, and for a resumed stream that its caller did
	// not name. originRecordedAt is when its origin was last recorded by this call.
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

// knownOrigin returns what this node itself knows of the stream's origin.
func (n *Node) knownOrigin(key streamorigins.Key) (streamorigins.Origin, streamorigins.Knowledge) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streamOrigins.Get(n.now(), key)
}

// knownByContent returns what this node itself knows of the origin of a stream with the content.
func (n *Node) knownByContent(content streamorigins.Key) streamorigins.Finding {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streamOrigins.GetByContent(n.now(), content)
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

// streamLifetimes knows how long ago streams may have begun that are resumed.
type streamLifetimes struct {
	mutex sync.Mutex
	streamorigins.Lifetimes
}

// longest returns the longest time of callers that have more time than their routes suggest.
func (l *streamLifetimes) longest(now structs.Instant) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Longest(now)
}

// report records what a heartbeat says of the streams of its sender.
func (l *streamLifetimes) report(now, sentAt structs.Instant, longest time.Duration) {
	if longest <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.Report(now, sentAt, longest)
}

// stateStreamTime records how much time the caller has for its stream, if that is more than its route suggests.
func (c *call) stateStreamTime(callerTime time.Duration) {
	if c.route.Kind != kindStreaming || callerTime <= streamorigins.StreamLifetime(c.route.Timeout) {
		return
	}
	c.callerTime = callerTime
	lifetimes := &c.node.streamLifetimes
	lifetimes.mutex.Lock()
	defer lifetimes.mutex.Unlock()
	lifetimes.State(c.node.now(), callerTime)
}

// streamLifetime returns how long ago the stream that the caller resumes may have begun.
func (c *call) streamLifetime() time.Duration {
	n := c.node
	n.streamLifetimes.mutex.Lock()
	defer n.streamLifetimes.mutex.Unlock()
	return max(n.streamLifetimes.Of(n.now(), c.route.Timeout), c.callerTime)
}

// beganUnderCurrent reports whether what the caller resumes can have begun under the current configuration only.
func (c *call) beganUnderCurrent() bool {
	lifetime := c.streamLifetime()
	c.node.mutex.Lock()
	defer c.node.mutex.Unlock()
	return c.node.routingHistory.BeganUnderCurrent(c.node.now(), lifetime)
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

// originSearch is what the origin of a stream is looked for by: its key, or the content of its request.
type originSearch struct {
	key       streamorigins.Key
	isContent bool
}

// join returns what the findings of two nodes tell together. They are about one stream only if its key was looked for.
func (s *originSearch) join(found, other streamorigins.Finding) streamorigins.Finding {
	if s.isContent {
		return found.Either(other)
	}
	return found.Join(other)
}

// isSufficient reports whether no other node need be asked. A certain origin does not change, but other nodes may know of
// another stream with the same content.
func (s *originSearch) isSufficient(found streamorigins.Finding) bool {
	return found.Knowledge == streamorigins.Ambiguous || found.IsCertain() && !s.isContent
}

// findResumed looks for the origin of the stream that the caller resumes: by the request that began it, if the caller names
// that, else by what was requested, which is the same for all tries.
func (c *call) findResumed(first string) streamorigins.Finding {
	if first == "" {
		c.originKey = streamorigins.KeyOf(c.tenantName(), c.id) // by which the caller may name it from now on
		return c.findOrigin(originSearch{key: c.fingerprint, isContent: true})
	}
	c.originKey = streamorigins.KeyOf(c.tenantName(), first)
	return c.findOrigin(originSearch{key: c.originKey})
}

// known returns what this node itself knows of what is looked for.
func (n *Node) known(search originSearch) streamorigins.Finding {
	if search.isContent {
		return n.knownByContent(search.key)
	}
	origin, knowledge := n.knownOrigin(search.key)
	return streamorigins.Finding{Origin: origin, Knowledge: knowledge}
}

// findOrigin looks for the stream's origin at this node and at its keepers, and if none knows of the stream, in the store.
func (c *call) findOrigin(search originSearch) streamorigins.Finding {
	var found streamorigins.Finding
	for round := range originLookupRounds {
		if round > 0 {
			select {
			case <-c.ctx.Done():
				return found
			case <-time.After(originLookupPause):
			}
		}
		if found = search.join(found, c.node.known(search)); search.isSufficient(found) {
			break
		}
		if found = search.join(found, c.node.askKeepers(c.ctx, &search)); found.IsCertain() || search.isSufficient(found) {
			break
		}
	}
	if found.Knowledge == streamorigins.Unknown && !search.isContent {
		return c.findArchivedOrigin(search.key)
	}
	return found
}

// askKeepers asks all keepers of the stream at once and returns what they know, up to the first answer that is sufficient.
func (n *Node) askKeepers(ctx context.Context, search *originSearch) streamorigins.Finding {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	var asked sync.WaitGroup
	answers := make(chan streamorigins.Finding)
	for _, keeper := range n.keepersOf(*search) {
		asked.Go(func() {
			question, answer := &streamOriginQuestion{Key: search.key, IsContent: search.isContent}, &streamOriginAnswer{}
			if err := n.peers.Call(ctx, keeper.Address, peerwire.KindStreamOrigin, question, answer); err != nil {
				n.counter("streams.questions_failed").Inc(1)
				return
			}
			if answer.Knowledge == streamorigins.Unknown {
				return
			}
			if answer.WasUnattended {
				n.mutex.Lock()
				n.identities.churn.ObserveReported(n.attendedSince, answer.Origin.Service)
				n.mutex.Unlock()
			}
			select {
			case answers <- streamorigins.Finding{Origin: answer.Origin, Knowledge: answer.Knowledge}:
			case <-ctx.Done():
			}
		})
	}
	go func() {
		asked.Wait()
		close(answers)
	}()
	var found streamorigins.Finding
	for answer := range answers {
		if found = search.join(found, answer); search.isSufficient(found) {
			break
		}
	}
	return found
}

// streamKeepers returns the other nodes that keep the origin of the stream with the key.
func (n *Node) streamKeepers(key streamorigins.Key) []streams.Node {
	return n.keepersOf(originSearch{key: key})
}

// keepersOf returns the other nodes that keep what is looked for.
func (n *Node) keepersOf(search originSearch) []streams.Node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var nodes []streams.Node
	// Every node of a large fleet knows the same delegates, and only some of the other nodes.
	for _, member := range liveness.Delegates(n.members.Live(n.now())) {
		if member.KeepsStreamOrigins {
			nodes = append(nodes, streams.Node{Name: member.Name, Zone: member.Zone, Address: member.Address})
		}
	}
	perArea := streams.KeepersByKey
	if search.isContent {
		perArea = streams.KeepersByContent
	}
	return streams.Keepers(nodes, n.settings.Load().Zone, search.key, perArea)
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

// originReceivers returns the addresses of the other nodes that get the record: the stream's keepers, and the scheduling node if
// it writes the record to the store.
func (n *Node) originReceivers(record streamorigins.Record) []string {
	var addresses []string
	for _, keeper := range n.streamKeepers(record.Key) {
		addresses = append(addresses, keeper.Address)
	}
	if !record.Content.IsZero() {
		for _, keeper := range n.keepersOf(originSearch{key: record.Content, isContent: true}) {
			if !slices.Contains(addresses, keeper.Address) {
				addresses = append(addresses, keeper.Address)
			}
		}
	}
	n.mutex.Lock()
	isArchived := n.dependencies.StreamOrigins != nil && record.Origin.Version != "" && n.hasSeveralVersionsLocked(record.Origin.Service)
	n.mutex.Unlock()
	if _, scheduler := n.currentScheduler(); isArchived && scheduler != "" && !slices.Contains(addresses, scheduler) {
		addresses = append(addresses, scheduler)
	}
	return addresses
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
