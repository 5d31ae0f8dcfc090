package entry

import (
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/protocol/msgpackcheck"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/structs"
)

// Times and bounds of heartbeats. The interval grows with the number of nodes, so that one node's
// cost does not.
const (
	// heartbeatInterval is the interval per nodesPerHeartbeatInterval nodes of a small fleet.
	heartbeatInterval         = 100 * time.Millisecond
	nodesPerHeartbeatInterval = 9
	// maxCandidates is the number of candidates, the first eligible nodes in rendezvous order.
	// Their heartbeats are at most maxCandidateInterval apart.
	maxCandidates        = 8
	maxCandidateInterval = 250 * time.Millisecond
	// maxLargeFleetCandidates is the number of candidates in a large fleet. Its delegates send a
	// heartbeat each delegateInterval, which determines how soon a partitioned zone is found, and
	// its other nodes each nonDelegateInterval.
	maxLargeFleetCandidates = 3
	delegateInterval        = 500 * time.Millisecond
	nonDelegateInterval     = time.Second
	// suspensionThreshold is how much later than planned a loop's round is after a suspension. Other
	// nodes may have selected another scheduling node by then.
	suspensionThreshold = time.Second
	// peerSampleSize is the number of other nodes that a heartbeat names.
	peerSampleSize   = 2
	maxDatagramBytes = 4096
	// Silent nodes get a heartbeat in one of silentNodeRounds rounds, and in a large fleet at most
	// maxSilentRecipients of them at a time.
	silentNodeRounds    = 5
	maxSilentRecipients = 20
)

// heartbeatIntervalFor returns the time between heartbeats in a fleet with this number of nodes.
func heartbeatIntervalFor(members int) time.Duration {
	return heartbeatInterval * time.Duration(max(1, (members+nodesPerHeartbeatInterval-1)/nodesPerHeartbeatInterval))
}

// nextHeartbeatInterval returns the time to this node's next heartbeat. The caller holds the mutex.
func (n *Node) nextHeartbeatInterval() time.Duration {
	wait := nonDelegateInterval
	switch {
	case !n.isLarge:
		wait = heartbeatIntervalFor(n.members.Known())
	case !n.isNonDelegate && n.isSettling(n.now()):
		wait = settlingInterval
	case !n.isNonDelegate:
		wait = delegateInterval
	}
	if n.isCandidate {
		wait = min(wait, maxCandidateInterval)
	}
	return wait
}

func (n *Node) heartbeatLoop() {
	n.sendPeriodicHeartbeats()
	last := n.now()
	for {
		n.mutex.Lock()
		wait := n.nextHeartbeatInterval()
		n.mutex.Unlock()
		if !n.sleep(wait) {
			return
		}
		last = n.detectSuspension(last, wait)
		n.sendPeriodicHeartbeats()
		n.selectScheduler()
	}
}

// isSuspension reports whether a loop's rounds, planned to be wait apart, were so far apart that
// the process must have been suspended.
func isSuspension(since, wait time.Duration) bool { return since > wait+suspensionThreshold }

// detectSuspension handles a suspension since a loop's last round, unless another loop has done so.
// Wait is the planned time between rounds. It returns the time of this round.
func (n *Node) detectSuspension(last structs.Instant, wait time.Duration) structs.Instant {
	now := n.now()
	n.mutex.Lock()
	isNew := isSuspension(now-last, wait) && n.resumedAt <= last
	if isNew {
		n.resumedAt = now
	}
	n.mutex.Unlock()
	if isNew {
		n.handleResume(now - last)
	}
	return n.now()
}

// handleResume handles the end of a suspension of the process or machine: it drops all assignments
// of the scheduling service, cancels requests past their deadline, closes idle connections to
// replicas, which may be broken without notice, and regards the store as having just failed, which a
// complete read ends.
func (n *Node) handleResume(suspended time.Duration) {
	cancelled := n.calls.cancelExpired(n.now())
	n.pool.CloseIdle(0)
	n.log.Write(eventlog.Event{Kind: "process.paused", Outcome: "schedule forgotten", AgeMS: suspended.Milliseconds(), Count: cancelled})
	n.mutex.Lock()
	all, policies := n.table.All(), n.policies
	n.mutex.Unlock()
	term := n.scheduling.reset(all, policies)
	n.mutex.Lock()
	n.term = term
	n.storeFailedAt, n.watchHealthy = n.now(), false
	n.identities.Suspended(n.now()-suspended, n.now())
	n.attendedSince = n.now()
	n.versionHistory.Restart()
	n.requestRereadLocked(rereadResumed)
	n.mutex.Unlock()
}

// sendPeriodicHeartbeats sends the heartbeat of this interval.
func (n *Node) sendPeriodicHeartbeats() { n.sendHeartbeatRound(n.relays.Recipients) }

// sendHeartbeats announces a change by a heartbeat between the periodic ones.
func (n *Node) sendHeartbeats() { n.sendHeartbeatRound(n.relays.ExtraRecipients) }

// recipientsFunc selects the recipients of a heartbeat from a node of the zone among the live members.
type recipientsFunc func(now structs.Instant, ownZone string, live []*liveness.Member, isLarge bool) liveness.Recipients

// sendHeartbeatRound sends this node's heartbeat to its recipients, to the seeds while few nodes are
// known, and to suspected nodes with a request for an answer.
func (n *Node) sendHeartbeatRound(selectRecipients recipientsFunc) {
	n.mutex.Lock()
	now := n.now()
	heartbeat := n.buildHeartbeat(now)
	recipients := n.heartbeatRecipients(now, selectRecipients)
	var suspected []string
	for _, member := range n.members.All(now) {
		if member.Suspected() {
			suspected = append(suspected, member.Address)
		}
	}
	requestsPeers, isStarting := n.beginPeerRequestIfDue(now), !n.isLarge && now < readinessDelay
	n.mutex.Unlock()
	if len(recipients.Direct)+len(recipients.Relays) < len(n.settings.Load().Seeds) {
		recipients.Direct = append(recipients.Direct, n.seedAddresses()...)
	}
	n.sendToRecipients(heartbeat, recipients)
	heartbeat.RelayRequested, heartbeat.WantsReply = false, true
	n.sendHeartbeat(heartbeat, suspected)
	switch {
	case requestsPeers:
		n.requestPeers(heartbeat, append(recipients.Direct, recipients.Relays...))
	case isStarting:
		n.requestFleetSize(heartbeat)
	}
}

// sendToRecipients sends a heartbeat directly and by relays.
func (n *Node) sendToRecipients(heartbeat liveness.Heartbeat, recipients liveness.Recipients) {
	n.sendHeartbeat(heartbeat, recipients.Direct)
	heartbeat.RelayRequested = true
	n.sendHeartbeat(heartbeat, recipients.Relays)
}

// heartbeatRecipients returns the recipients of this node's next heartbeat. The caller holds the
// mutex.
func (n *Node) heartbeatRecipients(now structs.Instant, selectRecipients recipientsFunc) liveness.Recipients {
	live := n.members.Live(now)
	if n.isNonDelegate {
		return liveness.Recipients{Direct: n.delegateAddresses(live)}
	}
	recipients := selectRecipients(now, n.settings.Load().Zone, live, n.isLarge)
	n.reportUnconfirmed(&recipients)
	recipients.Direct = append(recipients.Direct, n.silentNodeAddresses(now)...)
	return recipients
}

// delegateAddresses returns the addresses of the delegates of this node's zone and of the
// scheduling node. The caller holds the mutex.
func (n *Node) delegateAddresses(live []*liveness.Member) []string {
	var addresses []string
	for _, member := range liveness.Delegates(live) {
		if member.Zone == n.settings.Load().Zone || member.Name == n.scheduler {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// silentNodeAddresses begins a round and returns the addresses of the silent nodes that get its heartbeat: they
// may be back, or a partition may have healed. In a large fleet all of them get each heartbeat while
// roles change, as a new delegate knows its zone's nodes by name only, but never more than
// maxSilentRecipients. The caller holds the mutex.
func (n *Node) silentNodeAddresses(now structs.Instant) []string {
	var addresses []string
	n.heartbeatRounds++
	for _, member := range n.members.All(now) {
		isWanted := !n.isLarge || !member.NonDelegate || member.Zone == n.settings.Load().Zone
		isDue := n.isLarge && n.isSettling(now) || member.IsDue(n.heartbeatRounds, silentNodeRounds)
		if isWanted && !member.Suspected() && member.SinceHeartbeat(now) >= member.FailureTimeout() && isDue {
			addresses = append(addresses, member.Address)
		}
	}
	if n.isLarge && len(addresses) > maxSilentRecipients {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		addresses = addresses[:maxSilentRecipients]
	}
	return addresses
}

// sendHeartbeat sends one heartbeat to the addresses.
func (n *Node) sendHeartbeat(heartbeat liveness.Heartbeat, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	content, err := encodeHeartbeat(heartbeat)
	if err != nil {
		n.counter("beats.unencodable").Inc(1)
		return
	}
	n.sendEncoded(content, addresses)
}

// sendEncoded sends the encoded heartbeat to the addresses. Errors are ignored: the next heartbeat
// makes up for a lost one.
func (n *Node) sendEncoded(content []byte, addresses []string) {
	for _, address := range addresses {
		_ = n.heartbeatConn.Send(address, content)
	}
}

// maxHeartbeatBytes bounds heartbeats to what networks carry without fragmentation.
const maxHeartbeatBytes = 1200

// encodeHeartbeat encodes the heartbeat within maxHeartbeatBytes. To that end it leaves out, in
// this order, the counts of requests that the scheduling node itself assigned, the smaller share
// levels, the bucket levels and quota usage, the failing replicas and the other counts of requests.
func encodeHeartbeat(heartbeat liveness.Heartbeat) ([]byte, error) {
	content, err := peerwire.Marshal(heartbeat)
	if err != nil || len(content) <= maxHeartbeatBytes {
		return content, err
	}
	external := map[string]liveness.InFlightCount{}
	for replica, count := range heartbeat.InFlight {
		if count.External > 0 {
			external[replica] = count
		}
	}
	heartbeat.InFlight = external
	for heartbeat.ShareLevels != nil {
		if content, err = peerwire.Marshal(heartbeat); err != nil || len(content) <= maxHeartbeatBytes {
			return content, err
		}
		heartbeat.ShareLevels = heartbeat.ShareLevels.LargerHalf()
	}
	for _, shorten := range []func(){func() { heartbeat.BucketLevels, heartbeat.Usage = nil, nil }, func() { heartbeat.FailingReplicas = nil }, func() { heartbeat.InFlight = nil }, func() {}} {
		if content, err = peerwire.Marshal(heartbeat); err != nil || len(content) <= maxHeartbeatBytes {
			return content, err
		}
		shorten()
	}
	return content, err
}

func (n *Node) selfAddress() string {
	settings := n.settings.Load()
	return net.JoinHostPort(settings.Host, strconv.Itoa(settings.PeerPort))
}

func (n *Node) seedAddresses() []string {
	settings := n.settings.Load()
	var addresses []string
	for _, seed := range settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		if host != settings.Host && host != "" {
			addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(settings.PeerPort)))
		}
	}
	return addresses
}

// buildHeartbeat returns this node's heartbeat. The caller holds the mutex.
func (n *Node) buildHeartbeat(now structs.Instant) liveness.Heartbeat {
	settings := n.settings.Load()
	heartbeat := liveness.Heartbeat{
		Name: settings.Name, Zone: settings.Zone, Address: n.selfAddress(), Cores: settings.Cores, LinkMbps: settings.LinkMbps, IntervalMS: n.nextHeartbeatInterval().Milliseconds(), Incarnation: n.dependencies.Incarnation, UptimeMS: max(now.Milliseconds(), 1),
		Term: n.term, Scheduler: n.scheduler, KnownNodes: n.knownPeerCount(now), Leaving: n.stoppingSince.Load() != 0, Slow: n.slowness.Slow(), StoreUnreachable: n.isStoreDown, LatestPosition: n.latestPosition(), ReplicasAgeMS: n.replicaFreshness.Age(now), ConfigurationAgeMS: n.configurationFreshness.Age(now), StoreHealthyMS: n.watchHealthyFor(now).Milliseconds(), FailingReplicas: n.health.Failing(now),
		InFlight: map[string]liveness.InFlightCount{}, CanRelay: true, KeepsStreamOrigins: true, Rollouts: n.rolloutViews(),
	}
	heartbeat.ForwardCapacity, heartbeat.Isolated = n.forwardCapacity(), n.paths.IsIsolated()
	heartbeat.Version, heartbeat.Evacuations = n.version(), n.evacuations.All()
	heartbeat.ChurnAgesMS = n.churnAges(now)
	heartbeat.LongStreamMS = n.streamLifetimes.longest(now).Milliseconds()
	heartbeat.AttendedMS = (now - n.attendedSince).Milliseconds()
	n.addEra(now, &heartbeat)
	if summary := n.scheduling.poisonSummary(); summary.ChangeCount > 0 {
		heartbeat.Poison = &liveness.PoisonSummary{Weight: summary.ChangeCount, Digest: summary.Digest}
	}
	if n.scheduler == settings.Name || now-n.lastActiveAt < formerSchedulerReportTime {
		heartbeat.BucketLevels, heartbeat.Usage = n.scheduling.bucketLevels(), n.scheduling.quotaUsage()
		heartbeat.ShareLevels = n.scheduling.shareLevels()
	}
	term := n.schedulerTerm()
	for _, assigned := range n.assignments {
		count := heartbeat.InFlight[assigned.replica]
		count.Total++
		if assigned.scheduler != n.scheduler || assigned.term != term {
			count.External++
		}
		heartbeat.InFlight[assigned.replica] = count
	}
	heartbeat.NonDelegate, heartbeat.FleetSize = n.isNonDelegate, n.size.Known
	if n.isLarge {
		heartbeat.ZoneLive, heartbeat.ZoneKnown = n.zoneSize.Live, n.zoneSize.Known
		return heartbeat
	}
	heartbeat.Peers = n.members.PeerSample(int(n.sequence.Add(1)%math.MaxInt32), peerSampleSize)
	return heartbeat
}

// schedulerTerm returns the term of the current scheduling node. The caller holds the mutex.
func (n *Node) schedulerTerm() uint64 {
	if n.scheduler == n.settings.Load().Name {
		return n.term
	}
	if member, found := n.members.Get(n.scheduler); found {
		return member.Term
	}
	return 0
}

func (n *Node) receiveHeartbeats() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, err := n.heartbeatConn.Receive(buffer)
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			continue
		}
		var heartbeat liveness.Heartbeat
		if err := msgpackcheck.Unmarshal(buffer[:size], &heartbeat); err != nil {
			n.counter("beats.malformed").Inc(1)
			continue
		}
		n.handleHeartbeat(heartbeat)
	}
}

// applyHeartbeat applies the heartbeat of another node and starts the pulls, selections and answers
// that it calls for.
func (n *Node) applyHeartbeat(heartbeat liveness.Heartbeat) {
	n.mergeEvacuations(&heartbeat)
	n.mutex.Lock()
	now := n.now()
	if n.members.IsOfFormerProcess(now, heartbeat) {
		n.mutex.Unlock()
		n.counter("beats.of_former_process").Inc(1)
		return
	}
	n.lastContactAt = now
	before, found := n.members.Get(heartbeat.Name)
	rankChanged := found && (before.StoreUnreachable != heartbeat.StoreUnreachable || before.Slow != heartbeat.Slow || before.NonDelegate != heartbeat.NonDelegate)
	isNew := n.members.Observe(now, heartbeat)
	n.detectLargeFleet(&heartbeat)
	n.zones.Observe(now, heartbeat)
	n.recordIncomingPeerList(now, heartbeat)
	var unknownAddresses []string
	if n.isLarge {
		n.recordDiscoveredPeers(heartbeat)
	} else {
		unknownAddresses = n.addPeers(now, heartbeat.Peers)
	}
	isNewcomer := n.isNewcomer(heartbeat)
	answers := isNew && !(n.isNonDelegate && heartbeat.Relayed)
	needsSelection := isNew && (!n.isLarge || !heartbeat.NonDelegate) || rankChanged
	uncharged, isUsageKnown := n.recordUsage(now, heartbeat)
	restoresLevels := n.recordBucketLevels(now, heartbeat)
	levelsUntil := n.bucketLevelsUntil
	takesShareLevels := n.takesShareLevels(now, &heartbeat)
	pullsAll := n.mergePeerEra(heartbeat)
	pullsReplicas, pullsConfiguration := n.replicaPullDue(heartbeat), n.configurationPullDue(heartbeat)
	pullsPoison := n.poisonPullDue(now, heartbeat)
	n.recordFreshness(now, heartbeat)
	isActive := n.scheduler == n.settings.Load().Name
	n.mutex.Unlock()
	if isActive && len(uncharged.Amounts) > 0 {
		n.scheduling.chargeRemoteUsage(uncharged)
	}
	if isActive && n.needsRemoteLevels(heartbeat, isUsageKnown) || !isActive && restoresLevels {
		n.applyBucketLevels(isActive, levelsUntil, heartbeat.BucketLevels)
	}
	if takesShareLevels {
		n.applyShareLevels(isActive, heartbeat.ShareLevels)
	}
	if answers {
		n.sendDiscoveryHeartbeat(heartbeat.Address, heartbeat.Zone, isNewcomer)
	}
	for _, address := range unknownAddresses {
		n.sendDiscoveryHeartbeat(address, "", false)
	}
	if isNew {
		n.log.Write(eventlog.Event{Kind: "peer", Peer: heartbeat.Name, Outcome: "heard", Detail: heartbeat.Address})
	}
	if needsSelection {
		n.requestSelection()
	}
	counts := map[string]int{}
	for replica, inFlight := range heartbeat.InFlight {
		count := inFlight.Total
		if isActive {
			count = inFlight.External
		}
		if count > 0 {
			counts[replica] = count
		}
	}
	n.scheduling.update(func(scheduler *admission.Scheduler) {
		scheduler.SetExternalInFlight(processName(heartbeat.Name, heartbeat.Incarnation), counts)
	})
	if pullsAll {
		go n.pullAll(heartbeat.Address)
	}
	if pullsReplicas {
		go n.pullUpdates(heartbeat.Address)
	}
	if pullsPoison {
		go n.pullPoisonRecords(heartbeat.Address)
	}
	if pullsConfiguration {
		go n.fetchConfiguration(heartbeat.Address)
	}
}
