package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/structs"
)

// A few nodes follow the store for all. Whoever these are is decided by each node
// from what it hears, so that for a while nobody may feel called, or only nodes
// that the store turns away. So heartbeats carry the age of the latest complete
// read, and a node whose knowledge grew old reads by itself.
const (
	// readInterval is the time between complete reads by the first nodes in
	// rendezvous order: watches may fall silent without failing.
	readingNodes = 1
	readInterval = 900 * time.Millisecond
	// configurationShare is how many times longer than the configuration takes on the
	// reading node's link the time between two reads of it is at least: it uses a tenth
	// of the link. Changes come by the watch; the reads are for watches that fall silent.
	configurationReadFactor = 10
	// staleAfter is the age of the latest read after which any node reads, and
	// staleStep what each place in the order waits longer.
	staleAfter       = 1300 * time.Millisecond
	staleStepPerRank = 40 * time.Millisecond
	// longestStaleStep bounds the step for a configuration that takes long to read, and
	// nodes beyond the probers spread their reads over spreadTransfers times the time of
	// one, but no longer than longestSpread.
	maxStaleStepPerRank        = 300 * time.Millisecond
	jitterTransfers            = 3
	maxConfigurationReadJitter = 3 * time.Second
	// storeLength is how much longer the configuration is as the store sends it than as
	// nodes encode it, measured: 2.43 MB and 0.71 MB for 5,600 routes.
	storeEncodingRatio = 3.4
	bitsPerByte        = 8
	// readCheck is the time between looks at whether a read is due.
	readCheckInterval = 100 * time.Millisecond
)

// recordFreshness takes over how fresh a peer's knowledge is, of the replicas and of the
// configuration, where this node knows no less than the peer. The caller holds the mutex.
func (n *Node) recordFreshness(now structs.Instant, beat liveness.Heartbeat) {
	if beat.ReplicasAgeMS >= 0 && beat.ReplicasAgeMS < staleAfter.Milliseconds() && !beat.StoreUnreachable {
		n.recordStoreReached(now)
	}
	if beat.ReplicasAgeMS >= 0 && !n.isFromEarlierEra(beat) && beat.LatestPosition <= n.table.LatestPosition() {
		n.fresh.Observe(now - time.Duration(beat.ReplicasAgeMS)*time.Millisecond)
	}
	if own := n.version(); beat.ConfigurationAgeMS >= 0 && own > 0 && beat.Version <= own {
		n.freshConfiguration.Observe(now - time.Duration(beat.ConfigurationAgeMS)*time.Millisecond)
	}
}

// configurationTransfer is how long the configuration takes on this node's link as the
// store sends it.
func (n *Node) configurationTransferTime() time.Duration {
	link := n.settings.Load().LinkMbps
	if link <= 0 {
		return 0
	}
	bits := float64(n.parts.Size()) * storeEncodingRatio * bitsPerByte
	return time.Duration(bits / (link * 1e6) * float64(time.Second))
}

// readDue returns whether this node should read the store now, given when it last did,
// and what. The transfer is that of the configuration. The caller holds the mutex.
func (n *Node) readDue(now, last structs.Instant, transfer time.Duration) (scope outside.Scope, due bool) {
	if n.storeDown || now-last < readInterval {
		return 0, false // the watch loop tries again by itself
	}
	interval := max(readInterval, configurationReadFactor*transfer)
	if n.watchRank < readingNodes {
		// A read begins a little after the moment at which it was found due.
		if !n.freshConfiguration.Known() || now-n.freshConfiguration.At() > interval-readCheckInterval {
			return outside.ScopeAll, true
		}
		return outside.ScopeReplicas, true
	}
	old := staleAfter + interval - readInterval + n.staleReadDelay(now, min(staleStepPerRank+transfer, maxStaleStepPerRank)) + n.configurationReadJitter(transfer)
	switch {
	case n.freshConfiguration.Known() && !n.versionPull.IsPulling() && now-n.freshConfiguration.At() > old:
		return outside.ScopeAll, !n.waitsForProbingNodes(now)
	case n.fresh.Known() && now-n.fresh.At() > staleAfter+n.staleReadDelay(now, staleStepPerRank):
		return outside.ScopeReplicas, !n.waitsForProbingNodes(now)
	}
	return outside.ScopeReplicas, false
}

// spreadOver is how much later this node reads the configuration than others of its
// rank: once the first has read it, the others have it from that one. The caller holds
// the mutex.
func (n *Node) configurationReadJitter(transfer time.Duration) time.Duration {
	if n.storeCallRank < probingNodes {
		return 0
	}
	return time.Duration(n.jitterShare() * float64(min(jitterTransfers*transfer, maxConfigurationReadJitter)))
}

// readLoop reads the store whenever that is due.
func (n *Node) readLoop() {
	last := n.now()
	for n.sleep(readCheckInterval) {
		transfer := n.configurationTransferTime()
		n.mutex.Lock()
		now := n.now()
		scope, due := n.readDue(now, last, transfer)
		stale, age := n.watchRank >= readingNodes, n.fresh.Age(now)
		n.mutex.Unlock()
		if !due {
			continue
		}
		last = now
		if !stale && !n.mayHaveMissedChanges() {
			n.counter("store.reads_spared").Inc(1)
			last -= 2 * maxWatchDelay // it tells so much later than a read: others must not find theirs due
			continue
		}
		_, err := n.read(scope)
		if err != nil {
			n.recordStoreFailure(err)
		}
		if stale {
			n.counter("store.stale_reads").Inc(1)
			n.log.Write(eventlog.Event{Kind: "store", Outcome: "read", Reason: "knowledge-old", Age: age, Detail: scope.String()})
		}
	}
}
