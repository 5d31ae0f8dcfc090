package entry

import (
	"context"
	"errors"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// Watching the store: complete reads, watches, and the handling of their failures. Updates are
// applied in updates.go.

// Timeouts and intervals of the calls to the directory.
const (
	// readTimeout bounds each part of a complete read: a store that answers slowly, in several pages, would never
	// be read if it bounded them together. The timeout doubles with each read that exceeds it, up to
	// maxReadTimeout, so that a slow store can still be read.
	readTimeout    = 800 * time.Millisecond
	maxReadTimeout = 3200 * time.Millisecond
	// readTimeFactor times the duration of the last read is the minimum timeout of the next one.
	readTimeFactor = 2
	// watchDuration is how long a watch waits for an update.
	watchDuration = 10 * time.Second
	// watchMargin is the additional time for the response to arrive.
	watchMargin = 2 * time.Second
	// maxWatchDelay is how much later than the response of a call the watch may deliver an
	// earlier change, as it batches changes for watchBatchTime.
	maxWatchDelay = watchBatchTime + 40*time.Millisecond
	// minBackoff and maxBackoff bound the wait before a failed read is retried.
	minBackoff = 150 * time.Millisecond
	maxBackoff = time.Second
	// fullReadInterval is the maximum time that the store is watched between two complete reads.
	fullReadInterval = 60 * time.Second
	// transferTimeFactor times the configuration's transfer time on an otherwise idle link is the
	// minimum timeout of a read of it.
	transferTimeFactor = 3
	// narrowLinkMbps is the bandwidth in megabits per second below which a starting node first
	// waits for its peers to send a large configuration. One of 5,600 routes, 2.4 MB from the store, occupies
	// such a link for 0.4 s.
	narrowLinkMbps = 50
	// maxNarrowLinkReadTime is how long a response of the store may occupy a narrow link at the
	// start of a process. Shorter ones are read at once, since peers may have them no sooner: after a loss of
	// power half of 295 nodes waited a second for a configuration of some hundred routes.
	maxNarrowLinkReadTime = 100 * time.Millisecond
	// A starting node with a narrow link waits for its peers to send a large configuration up to
	// this process age. watchingNodePeerWait, for watching nodes, is less than readinessDelay;
	// otherNodePeerWait gives a watching node with a narrow link time to read the configuration.
	watchingNodePeerWait = 300 * time.Millisecond
	otherNodePeerWait    = 2500 * time.Millisecond
	startPollInterval    = 20 * time.Millisecond
)

// watchLoop keeps this node up to date with the directory: it makes a complete read, watches from
// there, and reads again when a watch fails. While other nodes do so, it only checks its role.
func (n *Node) watchLoop() {
	backoff := minBackoff
	hasRead := false
	n.awaitPeers()
	for n.ctx.Err() == nil {
		if (hasRead || n.hasConfigurationAndReplicas() || n.waitsForDelegates()) && !n.shouldCallStore() {
			n.endWatching()
			n.sleep(heartbeatInterval)
			continue
		}
		scope := n.readScope()
		n.beginReread()
		position, err := n.read(scope)
		if errors.Is(err, errkind.TooLarge) {
			n.isConfigurationLarge.Store(true)
			continue
		}
		if errors.Is(err, errkind.OtherEra) {
			n.sleep(minBackoff)
			continue
		}
		if err != nil {
			n.recordStoreFailure(err)
			if !n.sleep(backoff) {
				return
			}
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		n.recordStoreSuccess()
		n.setWatchHealthy(true)
		backoff = minBackoff
		if scope == outside.ScopeReplicas && !n.awaitConfiguration() {
			continue
		}
		hasRead = true
		if scope == outside.ScopeAll {
			n.recordReread(position)
			n.watch(position)
			continue
		}
		n.sleep(minBackoff)
	}
}

// readScope returns what the watch loop reads. A node that has a configuration and does not watch
// the store gets newer ones from its peers, and a starting node with a narrow link first waits for
// them to send a large one; these read only the replicas.
func (n *Node) readScope() outside.Scope {
	n.mutex.Lock()
	isWatching := n.watchesStore(n.now())
	n.mutex.Unlock()
	if n.catalog.Load() != nil && !isWatching {
		return outside.ScopeReplicas
	}
	if n.prefersPeersForConfiguration() && n.isConfigurationLarge.Load() {
		return outside.ScopeReplicas
	}
	return outside.ScopeAll
}

// prefersPeersForConfiguration reports whether this node is starting and has a narrow link, so
// that a large configuration arrives sooner from peers than from the store.
func (n *Node) prefersPeersForConfiguration() bool {
	return n.catalog.Load() == nil && n.hasNarrowLink() && n.now() < n.peerWait()
}

// maxReadBytes returns the maximum length of the store's response in bytes; zero means no limit.
func (n *Node) maxReadBytes(scope outside.Scope) int64 {
	if scope != outside.ScopeAll || !n.prefersPeersForConfiguration() {
		return 0
	}
	return int64(n.settings.Load().LinkMbps * 1e6 / bitsPerByte * maxNarrowLinkReadTime.Seconds())
}

// hasNarrowLink reports whether a large configuration takes long on this node's link.
func (n *Node) hasNarrowLink() bool {
	link := n.settings.Load().LinkMbps
	return link > 0 && link < narrowLinkMbps
}

// peerWait returns the process age until which this node waits for its peers to send the
// configuration.
func (n *Node) peerWait() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.watchRank < watchingNodes {
		return watchingNodePeerWait
	}
	return otherNodePeerWait
}

// awaitConfiguration blocks at the start of a process until a peer has sent the configuration. It
// returns false if none did within peerWait.
func (n *Node) awaitConfiguration() bool {
	for n.catalog.Load() == nil {
		if n.now() >= n.peerWait() || !n.sleep(startPollInterval) {
			return false
		}
	}
	return true
}

// read reads the store, applies the update and returns its position.
func (n *Node) read(scope outside.Scope) (structs.StorePosition, error) {
	timeout := n.scopeReadTimeout(scope)
	ctx, cancel := contextWithProgress(n.ctx, timeout, timeout)
	defer cancel()
	startedAt := n.now()
	n.mutex.Lock()
	decoded := n.catalogPosition
	n.storeCalledAt = startedAt
	n.mutex.Unlock()
	update, err := n.dependencies.Directory.Read(ctx, scope, decoded, n.maxReadBytes(scope))
	n.mutex.Lock()
	// The response may have filled the link, so that no heartbeat arrived during the read.
	n.lastContactAt = n.now()
	n.mutex.Unlock()
	if err != nil {
		if ctx.Err() != nil {
			n.setNextReadTimeout(min(2*timeout, maxReadTimeout))
		}
		return 0, err
	}
	took := n.now() - startedAt
	n.setNextReadTimeout(min(readTimeFactor*took, maxReadTimeout))
	n.recordDuration("store_read_ms", took)
	if !n.apply(update) {
		return 0, errkind.New(errkind.StoreUnavailable, "read store: response of era %d is outdated", update.Position.Era())
	}
	n.mutex.Lock()
	n.readCalls = update.Calls
	n.recordRead(startedAt, scope)
	n.mutex.Unlock()
	return update.Position, nil
}

// contextWithProgress returns a context for a call of the store that ends once no part of the answer has arrived for
// the timeout, or for partTimeout since another part.
func contextWithProgress(parent context.Context, timeout, partTimeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	ctx = outside.WithReadProgress(ctx, func() { timer.Reset(partTimeout) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// recordRead records that the scope is known as of startedAt. The caller holds the mutex.
func (n *Node) recordRead(startedAt structs.Instant, scope outside.Scope) {
	n.observeView(startedAt)
	if scope == outside.ScopeAll {
		n.configurationFreshness.Observe(startedAt)
	}
}

// mayHaveMissedChanges reports whether this node's watch may have missed a change, so that a
// complete read is needed. Where that takes many calls, it makes one call for the latest revision
// instead: a watch that has reached it has missed nothing.
func (n *Node) mayHaveMissedChanges() bool {
	n.mutex.Lock()
	canCheck := n.readCalls > 1 && n.watchHealthy && !n.rereads.isPending() && n.dependencies.Revisions != nil
	startedAt := n.now()
	n.mutex.Unlock()
	if !canCheck {
		return true
	}
	ctx, cancel := context.WithTimeout(n.ctx, readTimeout)
	defer cancel()
	latest, err := n.dependencies.Revisions.Revision(ctx)
	if err != nil || !n.sleep(maxWatchDelay) {
		return true
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.table.CompleteTo() < latest || latest.Era() != n.era.current || n.rereads.isPending() {
		return true
	}
	n.recordRead(startedAt, outside.ScopeAll) // the watch covers all keys
	return false
}

// scopeReadTimeout returns the timeout of a read of the scope.
func (n *Node) scopeReadTimeout(scope outside.Scope) time.Duration {
	transfer := time.Duration(0)
	if scope == outside.ScopeAll {
		transfer = n.configurationTransferTime()
		if n.catalog.Load() == nil && n.hasNarrowLink() {
			transfer = maxReadTimeout // its length is unknown
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return max(n.nextReadTimeout, readTimeout, min(transferTimeFactor*transfer, maxReadTimeout))
}

// setNextReadTimeout sets the timeout of the next complete read.
func (n *Node) setNextReadTimeout(timeout time.Duration) {
	n.mutex.Lock()
	n.nextReadTimeout = timeout
	n.mutex.Unlock()
}

// watch watches the store from the position until a watch fails or a complete read is due or requested.
func (n *Node) watch(position structs.StorePosition) {
	startedAt := n.now()
	for n.ctx.Err() == nil && n.shouldCallStore() {
		if n.now()-startedAt >= fullReadInterval {
			n.requestReread(rereadDue)
			return
		}
		// An update contains the whole configuration if it changed.
		margin := max(watchMargin, transferTimeFactor*n.configurationTransferTime())
		ctx, cancel := contextWithProgress(n.ctx, watchDuration+margin, margin)
		if !n.beginWatch(cancel) {
			cancel()
			return
		}
		update, err := n.dependencies.Directory.Watch(ctx, position, watchDuration)
		cancel()
		isCanceled := n.endWatch()
		switch {
		case errors.Is(err, errkind.StaleFence), errors.Is(err, errkind.OtherEra):
			// Replicas could renew their entries, so the store counts as healthy. A new era
			// is detected by the complete read that follows.
			n.log.Write(eventlog.Event{Kind: "store.history", Outcome: "gone", Revision: position.Revision(), Era: position.Era()})
			n.requestReread(rereadHistoryGone)
			return
		case errors.Is(err, errkind.TooLarge):
			// A complete read has each entry once, so its length does not grow with the number of changes.
			n.log.Write(eventlog.Event{Kind: "store.history", Outcome: "too-long", Revision: position.Revision(), Era: position.Era(), Detail: err.Error()})
			n.requestReread(rereadHistoryLong)
			return
		case err != nil && isCanceled:
			return
		case err != nil:
			n.recordStoreFailure(err)
			n.sleep(minBackoff)
			return
		}
		n.recordStoreSuccess()
		if !n.apply(update) {
			return
		}
		if update.Position > position {
			position = update.Position
			n.sleep(watchBatchTime)
		}
	}
}

// setWatchHealthy records whether the node watches the store without failures.
func (n *Node) setWatchHealthy(healthy bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if healthy && !n.watchHealthy {
		n.watchHealthySince = n.now()
	}
	n.watchHealthy = healthy
}

// watchHealthyFor returns for how long the node has watched the store without failures. The caller
// holds the mutex.
func (n *Node) watchHealthyFor(now structs.Instant) time.Duration {
	if !n.watchHealthy {
		return 0
	}
	return now - n.watchHealthySince
}

// recordStoreFailure records that a call to the store failed with err.
func (n *Node) recordStoreFailure(err error) {
	n.mutex.Lock()
	n.storeFailedAt, n.watchHealthy = n.now(), false
	n.identities.Interrupt(n.now())
	isFirst := !n.isStoreDown
	n.isStoreDown = true
	if isFirst && n.ctx.Err() == nil {
		// The watch may hang until its timeout, and only the watch loop retries.
		n.requestRereadLocked(rereadStoreFailed)
	}
	n.mutex.Unlock()
	n.counter("store.failures").Inc(1)
	if isFirst && n.ctx.Err() == nil {
		// Other nodes must watch the store in this node's place.
		n.sendHeartbeats()
		n.log.Write(eventlog.Event{Kind: "store", Outcome: "lost", Detail: err.Error()})
	}
}

// recordStoreSuccess records that a call to the store succeeded.
func (n *Node) recordStoreSuccess() {
	n.mutex.Lock()
	hasRecovered, isCandidate := n.isStoreDown, n.isCandidate
	n.isStoreDown = false
	if hasRecovered {
		n.storeFailedAt = n.now()
	}
	n.mutex.Unlock()
	if !hasRecovered {
		return
	}
	if isCandidate {
		// Watching nodes are candidates: the others need to know which of them reach the store.
		n.sendHeartbeats()
	}
	n.log.Write(eventlog.Event{Kind: "store", Outcome: "regained"})
}
