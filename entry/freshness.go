package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/structs"
)

// A few nodes read and watch the store and send updates to the others. Each node determines by
// itself which nodes these are, so that for a while there may be none that reaches the store.
// Heartbeats therefore carry the age of the latest complete read, and a node whose state is stale
// reads the store itself.
const (
	// readingNodes is the number of nodes, by watch rank, that read the store every readInterval.
	// Reads find changes that a watch missed without failing.
	readingNodes = 1
	readInterval = 900 * time.Millisecond
	// configurationReadFactor times the transfer time of the configuration is the minimum time
	// between two reads of it, which limits them to a tenth of the reading node's link.
	configurationReadFactor = 10
	// staleAfter is the age of the latest read after which any node reads. Each node waits
	// staleStepPerRank longer than the one ranked before it.
	staleAfter       = 1300 * time.Millisecond
	staleStepPerRank = 40 * time.Millisecond
	// maxStaleStepPerRank bounds the step that grows with the configuration's transfer time.
	maxStaleStepPerRank = 300 * time.Millisecond
	// Nodes that are not probing nodes delay reads of the configuration by a jitter of up to
	// jitterTransfers times its transfer time, and at most maxConfigurationReadJitter.
	jitterTransfers            = 3
	maxConfigurationReadJitter = 3 * time.Second
	// storeEncodingRatio is the length of a configuration as the store sends it, relative to
	// the nodes' own encoding: 2.43 and 0.71 MB for 5,600 routes.
	storeEncodingRatio = 3.4
	bitsPerByte        = 8
	// readCheckInterval is the time between checks whether a read is due.
	readCheckInterval = 100 * time.Millisecond
)

// recordFreshness merges the age of a peer's replicas and configuration, each only if this node's
// are at least as new. Ages are as of the sending: of a heartbeat that was late, the replicas are older by its delay. The
// caller holds the mutex.
func (n *Node) recordFreshness(now structs.Instant, heartbeat liveness.Heartbeat) {
	sentAt := now - n.members.Delay(now, heartbeat)
	if heartbeat.ReplicasAgeMS >= 0 && heartbeat.ReplicasAgeMS < staleAfter.Milliseconds() && !heartbeat.StoreUnreachable {
		n.recordStoreReached(now)
	}
	n.observeChurn(sentAt, heartbeat.ChurnAgesMS)
	n.streamLifetimes.report(now, sentAt, time.Duration(heartbeat.LongStreamMS)*time.Millisecond)
	n.observeAttended(now, sentAt, heartbeat.AttendedMS)
	if !n.isFromEarlierEra(heartbeat) {
		n.identities.ObserveHealthy(sentAt, time.Duration(heartbeat.StoreHealthyMS)*time.Millisecond)
	}
	if heartbeat.ReplicasAgeMS >= 0 && !n.isFromEarlierEra(heartbeat) && heartbeat.LatestPosition <= n.table.LatestPosition() {
		n.observeView(sentAt - time.Duration(heartbeat.ReplicasAgeMS)*time.Millisecond)
	}
	if own := n.version(); heartbeat.ConfigurationAgeMS >= 0 && own > 0 && heartbeat.Version <= own {
		n.configurationFreshness.Observe(now - time.Duration(heartbeat.ConfigurationAgeMS)*time.Millisecond)
	}
}

// configurationTransferTime returns how long the configuration takes on this node's link as the
// store sends it, or zero if the bandwidth is not known.
func (n *Node) configurationTransferTime() time.Duration {
	link := n.settings.Load().LinkMbps
	if link <= 0 {
		return 0
	}
	bits := float64(n.parts.Size()) * storeEncodingRatio * bitsPerByte
	return time.Duration(bits / (link * 1e6) * float64(time.Second))
}

// readDue reports whether this node should read the store now and what, given the time of its last
// read and the transfer time of the configuration. The caller holds the mutex.
func (n *Node) readDue(now, last structs.Instant, transfer time.Duration) (scope outside.Scope, due bool) {
	if n.isStoreDown || now-last < readInterval {
		return 0, false // the watch loop retries a store that is down
	}
	interval := max(readInterval, configurationReadFactor*transfer)
	if n.watchRank < readingNodes {
		// The read starts up to readCheckInterval after it became due.
		if !n.configurationFreshness.Known() || now-n.configurationFreshness.ReadStartedAt() > interval-readCheckInterval {
			return outside.ScopeAll, true
		}
		return outside.ScopeReplicas, true
	}
	staleAge := staleAfter + interval - readInterval + n.staleReadDelay(now, min(staleStepPerRank+transfer, maxStaleStepPerRank)) + n.configurationReadJitter(transfer)
	switch {
	case n.configurationFreshness.Known() && !n.versionPull.IsPulling() && now-n.configurationFreshness.ReadStartedAt() > staleAge:
		return outside.ScopeAll, !n.waitsForProbingNodes(now)
	case n.replicaFreshness.Known() && now-n.replicaFreshness.ReadStartedAt() > staleAfter+n.staleReadDelay(now, staleStepPerRank):
		return outside.ScopeReplicas, !n.waitsForProbingNodes(now)
	}
	return outside.ScopeReplicas, false
}

// configurationReadJitter returns how much later this node reads the configuration than others of
// its rank, so that it can fetch it from the first that has read it. The caller holds the mutex.
func (n *Node) configurationReadJitter(transfer time.Duration) time.Duration {
	if n.storeCallRank < probingNodes {
		return 0
	}
	return time.Duration(n.jitterShare() * float64(min(jitterTransfers*transfer, maxConfigurationReadJitter)))
}

// readLoop reads the store whenever a read is due, until the node ends.
func (n *Node) readLoop() {
	last := n.now()
	for n.sleep(readCheckInterval) {
		transfer := n.configurationTransferTime()
		n.mutex.Lock()
		now := n.now()
		scope, due := n.readDue(now, last, transfer)
		stale, age := n.watchRank >= readingNodes, n.replicaFreshness.Age(now)
		n.mutex.Unlock()
		if !due {
			continue
		}
		last = now
		if !stale && !n.mayHaveMissedChanges() {
			n.counter("store.reads_spared").Inc(1)
			last -= 2 * maxWatchDelay // the check takes longer than a read: start it earlier, before other nodes' reads become due
			continue
		}
		_, err := n.read(scope)
		if err != nil {
			n.recordStoreFailure(err)
		}
		if stale {
			n.counter("store.stale_reads").Inc(1)
			n.log.Write(eventlog.Event{Kind: "store", Outcome: "read", Reason: "knowledge-old", AgeMS: age, Detail: scope.String()})
		}
	}
}
