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

// How a node follows the store: complete reads, watches, and what it makes of their
// failures. What they bring is taken into force in updates.go.

// Times of the calls to the directory.
const (
	// readTimeout bounds a complete read. Each one that takes longer doubles it, up to
	// longestRead, since a store that is slow answers in the end.
	readTimeout    = 800 * time.Millisecond
	maxReadTimeout = 3200 * time.Millisecond
	// slowMargin is how many times longer than the last read the next one may take.
	readTimeFactor = 2
	// watchWait is how long a watch without news is held; each is a priced call.
	watchDuration = 10 * time.Second
	// watchMargin is added for the answer to arrive.
	watchMargin = 2 * time.Second
	// watchDelay is how much later than a call's answer the watch may bring what came before it:
	// it gathers news for watchGather.
	maxWatchDelay = watchBatchTime + 40*time.Millisecond
	minBackoff    = 150 * time.Millisecond
	maxBackoff    = time.Second
	// rereadAfter bounds the time between two complete reads.
	fullReadInterval = 60 * time.Second
	// transferMargin is how many times longer a read may take than the configuration
	// alone would take on this node's link if nothing else used it.
	transferTimeFactor = 3
	// narrowLink is the bandwidth below which a node first waits for its peers, in
	// megabits a second: a configuration of 5,600 routes, 2.4 MB from the store, takes
	// 0.4 s of it.
	narrowLinkMbps = 50
	// quickRead is how long an answer of the store may occupy a narrow link at the start of
	// a process. What is longer is left to peers; a configuration of some hundred routes is
	// not, since after a loss of power peers have it no sooner: then half of 295 nodes
	// waited for it for a second.
	maxNarrowLinkReadTime = 100 * time.Millisecond
	// startPatience is how long it does so, which is less than readinessDelay, if it then
	// follows the store for others, and followerPatience if others do: as long as one of
	// these with a narrow link takes. startPoll is the time between looks.
	watchingNodePeerWait = 300 * time.Millisecond
	followerPeerWait     = 2500 * time.Millisecond
	startPollInterval    = 20 * time.Millisecond
)

// watchLoop follows the directory: a complete read, then watches from there,
// and a complete read again whenever a watch fails.
func (n *Node) watchLoop() {
	pause := minBackoff
	known := false
	n.awaitPeers()
	for n.ctx.Err() == nil {
		if (known || n.hasConfigurationAndReplicas() || n.waitsForDelegates()) && !n.shouldCallStore() {
			n.setWatchHealthy(false)
			n.sleep(heartbeatInterval)
			continue
		}
		scope := n.readScope()
		revision, err := n.read(scope)
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
			if !n.sleep(pause) {
				return
			}
			pause = min(pause*2, maxBackoff)
			continue
		}
		n.recordStoreSuccess()
		n.setWatchHealthy(true)
		pause = minBackoff
		if scope == outside.ScopeReplicas && !n.awaitConfiguration() {
			continue
		}
		known = true
		if scope == outside.ScopeAll {
			n.watch(revision)
			continue
		}
		n.sleep(minBackoff)
	}
}

// scope returns what the watch loop reads. A large configuration is read by few: by the
// nodes that follow the store for others, and at the start of a process by those with
// wide links. All others have it from these, sooner than over their own links, and only
// look whether the store answers.
func (n *Node) readScope() outside.Scope {
	n.mutex.Lock()
	follows := n.watchesStore(n.now())
	n.mutex.Unlock()
	if n.catalog.Load() != nil && !follows {
		return outside.ScopeReplicas
	}
	if n.prefersPeersForConfiguration() && n.isConfigurationLarge.Load() {
		return outside.ScopeReplicas
	}
	return outside.ScopeAll
}

// leavesConfigurationToPeers returns whether this node starts and has a narrow link, so
// that a large configuration comes sooner from peers than from the store.
func (n *Node) prefersPeersForConfiguration() bool {
	return n.catalog.Load() == nil && n.hasNarrowLink() && n.now() < n.peerWait()
}

// longestAnswer bounds the bytes of the store's answer; zero means no bound.
func (n *Node) maxReadBytes(scope outside.Scope) int64 {
	if scope != outside.ScopeAll || !n.prefersPeersForConfiguration() {
		return 0
	}
	return int64(n.settings.Load().LinkMbps * 1e6 / bitsPerByte * maxNarrowLinkReadTime.Seconds())
}

// hasNarrowLink returns whether a large configuration takes long on this node's link.
func (n *Node) hasNarrowLink() bool {
	link := n.settings.Load().LinkMbps
	return link > 0 && link < narrowLinkMbps
}

// peersPatience is the age of the process until which it waits for its peers to send
// the configuration.
func (n *Node) peerWait() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.watchRank < watchingNodes {
		return watchingNodePeerWait
	}
	return followerPeerWait
}

// awaitConfiguration waits at the start of a process until a peer has sent the
// configuration, and returns false if none did in time.
func (n *Node) awaitConfiguration() bool {
	for n.catalog.Load() == nil {
		if n.now() >= n.peerWait() || !n.sleep(startPollInterval) {
			return false
		}
	}
	return true
}

// read reads the store and takes what it holds into force.
func (n *Node) read(scope outside.Scope) (structs.StorePosition, error) {
	limit := n.scopeReadTimeout(scope)
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	begun := n.now()
	n.mutex.Lock()
	decoded := n.catalogRevision
	n.storeCalledAt = begun
	n.mutex.Unlock()
	update, err := n.deps.Directory.Read(ctx, scope, decoded, n.maxReadBytes(scope))
	n.mutex.Lock()
	// On a link that the answer filled no heartbeat came through.
	n.lastContactAt = n.now()
	n.mutex.Unlock()
	if err != nil {
		if ctx.Err() != nil {
			n.setNextReadTimeout(min(2*limit, maxReadTimeout))
		}
		return 0, err
	}
	took := n.now() - begun
	n.setNextReadTimeout(min(readTimeFactor*took, maxReadTimeout))
	n.recordDuration("store_read_ms", took)
	if !n.apply(update) {
		return 0, errkind.New(errkind.StoreUnavailable, "the store answers in era %d, which is over", update.Revision.Era())
	}
	n.mutex.Lock()
	n.readCalls = update.Calls
	n.recordRead(begun, scope)
	n.mutex.Unlock()
	return update.Revision, nil
}

// noteRead records that all of the scope is known as of the instant. The caller holds the mutex.
func (n *Node) recordRead(begun structs.Instant, scope outside.Scope) {
	n.fresh.Observe(begun)
	if scope == outside.ScopeAll {
		n.freshConfiguration.Observe(begun)
	}
}

// watchMisses returns whether this node's watch may have missed a change, and so all has to be read
// anew. Where a complete read takes many calls, one call tells: the watch brings every change of the
// store, so that nothing was missed up to the revision that it has reached.
func (n *Node) mayHaveMissedChanges() bool {
	n.mutex.Lock()
	isWorth := n.readCalls > 1 && n.watchHealthy && n.deps.Revisions != nil
	begun := n.now()
	n.mutex.Unlock()
	if !isWorth {
		return true
	}
	ctx, cancel := context.WithTimeout(n.ctx, readTimeout)
	defer cancel()
	latest, err := n.deps.Revisions.Revision(ctx)
	if err != nil || !n.sleep(maxWatchDelay) {
		return true
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.table.CompleteTo() < latest || latest.Era() != n.era.present {
		return true
	}
	n.recordRead(begun, outside.ScopeAll) // the watch is of all keys
	return false
}

// readTime is how long a read may take.
func (n *Node) scopeReadTimeout(scope outside.Scope) time.Duration {
	transfer := time.Duration(0)
	if scope == outside.ScopeAll {
		transfer = n.configurationTransferTime()
		if n.catalog.Load() == nil && n.hasNarrowLink() {
			transfer = maxReadTimeout // nothing is known of its length
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return max(n.nextReadTimeout, readTimeout, min(transferTimeFactor*transfer, maxReadTimeout))
}

func (n *Node) setNextReadTimeout(limit time.Duration) {
	n.mutex.Lock()
	n.nextReadTimeout = limit
	n.mutex.Unlock()
}

// follow watches from the revision until a watch fails or is due for a read.
func (n *Node) watch(revision structs.StorePosition) {
	begun := n.now()
	for n.ctx.Err() == nil && n.shouldCallStore() && n.now()-begun < fullReadInterval {
		// The configuration comes whole with each change.
		margin := max(watchMargin, transferTimeFactor*n.configurationTransferTime())
		ctx, cancel := context.WithTimeout(n.ctx, watchDuration+margin)
		n.setCancelWatch(cancel)
		update, err := n.deps.Directory.Watch(ctx, revision, watchDuration)
		cancel()
		switch {
		case errors.Is(err, errkind.StaleFence), errors.Is(err, errkind.OtherEra):
			// Replicas could renew their entries all the while, so this is no trouble
			// in which entries run out. A new era is found by the read that follows.
			n.log.Write(eventlog.Event{Kind: "store.history", Outcome: "gone", Revision: revision.Revision(), Era: revision.Era()})
			return
		case err != nil && n.rereadRequested():
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
		if update.Revision > revision {
			revision = update.Revision
			n.sleep(watchBatchTime)
		}
	}
}

// setWatch records how the watch that waits now can be ended.
func (n *Node) setCancelWatch(cancel context.CancelFunc) {
	n.mutex.Lock()
	n.cancelWatch, n.isRereadRequested = cancel, false
	n.mutex.Unlock()
}

// readAnew ends the watch that waits, so that a complete read follows. The caller holds the
// mutex.
func (n *Node) requestReread() {
	n.isRereadRequested = true
	if n.cancelWatch != nil {
		n.cancelWatch()
	}
}

// isReadDue returns whether the watch was ended for a complete read.
func (n *Node) rereadRequested() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.isRereadRequested
}

// setSteady records whether the node follows the store without trouble.
func (n *Node) setWatchHealthy(steady bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if steady && !n.watchHealthy {
		n.watchHealthySince = n.now()
	}
	n.watchHealthy = steady
}

// watchHealthyFor returns for how long the node has followed the store without trouble.
// The caller holds the mutex.
func (n *Node) watchHealthyFor(now structs.Instant) time.Duration {
	if !n.watchHealthy {
		return 0
	}
	return now - n.watchHealthySince
}

func (n *Node) recordStoreFailure(err error) {
	n.mutex.Lock()
	n.storeFailedAt, n.watchHealthy = n.now(), false
	first := !n.storeDown
	n.storeDown = true
	endWatch := n.cancelWatch
	n.mutex.Unlock()
	if first && endWatch != nil {
		// The watch may hang for as long as it may wait, and only its loop tries again.
		endWatch()
	}
	n.counter("store.failures").Inc(1)
	if first && n.ctx.Err() == nil {
		// Others have to follow the store in this node's place.
		n.sendHeartbeats()
		n.log.Write(eventlog.Event{Kind: "store", Outcome: "lost", Detail: err.Error()})
	}
}

func (n *Node) recordStoreSuccess() {
	n.mutex.Lock()
	back, tells := n.storeDown, n.isCandidate
	n.storeDown = false
	if back {
		n.storeFailedAt = n.now()
	}
	n.mutex.Unlock()
	if !back {
		return
	}
	if tells {
		// Those that follow the store are of the senior nodes.
		n.sendHeartbeats()
	}
	n.log.Write(eventlog.Event{Kind: "store", Outcome: "regained"})
}
