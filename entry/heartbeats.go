package entry

import (
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// Times of heartbeats. The interval grows with the number of nodes, so that
// what one node spends on them does not.
const (
	heartbeatInterval         = 100 * time.Millisecond
	nodesPerHeartbeatInterval = 9
	// senior is how many of the nodes that may schedule beat often; these are the
	// first in rendezvous order, and seniorInterval is the longest between two of
	// their heartbeats.
	maxCandidates        = 8
	maxCandidateInterval = 250 * time.Millisecond
	// seniorOfLarge is senior in a large fleet, whose delegates beat each delegateInterval and whose
	// other nodes beat each largeInterval. A zone that is cut off is found once three heartbeats of
	// its delegates are missing, and until then requests are sent there in vain.
	maxLargeFleetCandidates = 3
	delegateInterval        = 500 * time.Millisecond
	nonDelegateInterval     = time.Second
	// frozenAfter is the pause of this process after which others will have
	// decided in its place.
	suspensionThreshold = time.Second
	// toldPeers is how many other nodes a heartbeat names.
	peerSampleSize   = 2
	maxDatagramBytes = 4096
	// silentShare is how much less often a silent node is sent to, and mostSilent how many of a
	// large fleet one heartbeat goes to.
	silentNodeRounds    = 5
	maxSilentRecipients = 20
)

// interval returns the time between heartbeats among so many nodes.
func heartbeatIntervalFor(members int) time.Duration {
	return heartbeatInterval * time.Duration(max(1, (members+nodesPerHeartbeatInterval-1)/nodesPerHeartbeatInterval))
}

// interval returns the time to this node's next heartbeat. The caller holds the mutex.
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
	n.sendHeartbeats()
	last := n.now()
	for {
		n.mutex.Lock()
		wait := n.nextHeartbeatInterval()
		n.mutex.Unlock()
		if !n.sleep(wait) {
			return
		}
		last = n.detectSuspension(last, wait)
		n.sendHeartbeats()
		n.selectScheduler()
	}
}

// stoodStill returns whether the process paused between two rounds of a loop that were to be
// so far apart.
func isSuspension(since, wait time.Duration) bool { return since > wait+suspensionThreshold }

// detectSuspension handles a pause of the process since a loop's last round, which was to be so
// long ago, unless another loop has done so, and returns the time of this round.
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

// resume handles that the process stood still or the machine was suspended: what it scheduled
// before is void, requests whose time went by meanwhile end, and connections to replicas that
// rested may be gone without a word.
func (n *Node) handleResume(pause time.Duration) {
	overdue := n.calls.cancelExpired(n.now())
	n.pool.CloseRested(0)
	n.log.Write(eventlog.Event{Kind: "process.paused", Outcome: "schedule forgotten", Age: pause.Milliseconds(), Count: overdue})
	n.mutex.Lock()
	all, policies := n.table.All(), n.policies
	n.mutex.Unlock()
	term := n.scheduling.reset(all, policies)
	n.mutex.Lock()
	n.term = term
	n.storeFailedAt, n.watchHealthy = n.now(), false
	n.mutex.Unlock()
}

// sendHeartbeats sends a heartbeat to every node that this one beats to, by relays where these save
// much, and to the seeds while few nodes are known. Suspected nodes get each one, which asks for an
// answer.
func (n *Node) sendHeartbeats() {
	n.mutex.Lock()
	now := n.now()
	beat := n.buildHeartbeat(now)
	routes := n.heartbeatRecipients(now)
	var suspected []string
	for _, member := range n.members.All(now) {
		if member.Suspected() {
			suspected = append(suspected, member.Address)
		}
	}
	asksNames, isStarting := n.beginPeerRequestIfDue(now), !n.isLarge && now < readinessDelay
	n.mutex.Unlock()
	if len(routes.Direct)+len(routes.Relays) < len(n.settings.Load().Seeds) {
		routes.Direct = append(routes.Direct, n.seedAddresses()...)
	}
	n.sendToRecipients(beat, routes)
	beat.RelayRequested, beat.WantsReply = false, true
	n.sendHeartbeat(beat, suspected)
	switch {
	case asksNames:
		n.requestPeers(beat, append(routes.Direct, routes.Relays...))
	case isStarting:
		n.requestFleetSize(beat)
	}
}

// sendRoutes sends a heartbeat directly and by relays.
func (n *Node) sendToRecipients(beat liveness.Heartbeat, routes liveness.Recipients) {
	n.sendHeartbeat(beat, routes.Direct)
	beat.RelayRequested = true
	n.sendHeartbeat(beat, routes.Relays)
}

// beatRoutes returns whom this node beats to. The caller holds the mutex.
func (n *Node) heartbeatRecipients(now structs.Instant) liveness.Recipients {
	live := n.members.Live(now)
	if n.isNonDelegate {
		return liveness.Recipients{Direct: n.delegateAddresses(live)}
	}
	routes := n.relays.Recipients(now, n.settings.Load().Zone, live, n.isLarge)
	routes.Direct = append(routes.Direct, n.silentNodeAddresses(now)...)
	return routes
}

// superiors returns the addresses of the delegates of this node's zone and of the scheduling node.
func (n *Node) delegateAddresses(live []*liveness.Member) []string {
	var addresses []string
	for _, member := range liveness.Delegates(live) {
		if member.Zone == n.settings.Load().Zone || member.Name == n.scheduler {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// silentMembers returns some of the nodes that fell silent: they may be back, or a cut healed. Each
// gets one heartbeat in silentShare, and in a large fleet a bounded number of them each, while roles
// change there: who becomes a delegate knows its zone by names only. The caller holds the mutex.
func (n *Node) silentNodeAddresses(now structs.Instant) []string {
	var addresses []string
	for _, member := range n.members.All(now) {
		isWanted := !n.isLarge || !member.NonDelegate || member.Zone == n.settings.Load().Zone
		isDue := n.isLarge && n.isSettling(now) || n.sequence.Add(1)%silentNodeRounds == 0
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

// sendBeat sends one heartbeat to the addresses.
func (n *Node) sendHeartbeat(beat liveness.Heartbeat, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	content, err := encodeHeartbeat(beat)
	if err != nil {
		n.counter("beats.unencodable").Inc(1)
		return
	}
	n.sendEncoded(content, addresses)
}

// sendAll sends the encoded heartbeat to the addresses. One that is lost is made up for by
// the next.
func (n *Node) sendEncoded(content []byte, addresses []string) {
	for _, address := range addresses {
		_ = n.heartbeatConn.Send(address, content)
	}
}

// datagramBudget is the length of a heartbeat that any network carries whole.
const maxHeartbeatBytes = 1200

// encodeBeat encodes the heartbeat. One that is too long leaves out first the
// requests that the scheduling node placed itself, then the tenants' buckets and
// the failing replicas: that the node lives matters most.
func encodeHeartbeat(beat liveness.Heartbeat) ([]byte, error) {
	content, err := msgpack.Marshal(beat)
	if err != nil || len(content) <= maxHeartbeatBytes {
		return content, err
	}
	foreign := map[string]liveness.InFlightCount{}
	for replica, count := range beat.InFlight {
		if count.External > 0 {
			foreign[replica] = count
		}
	}
	beat.InFlight = foreign
	for _, shorten := range []func(){func() { beat.BucketLevels, beat.Usage = nil, nil }, func() { beat.FailingReplicas = nil }, func() { beat.InFlight = nil }, func() {}} {
		if content, err = msgpack.Marshal(beat); err != nil || len(content) <= maxHeartbeatBytes {
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

// beat returns this node's heartbeat. The caller holds the mutex.
func (n *Node) buildHeartbeat(now structs.Instant) liveness.Heartbeat {
	settings := n.settings.Load()
	beat := liveness.Heartbeat{
		Name: settings.Name, Zone: settings.Zone, Address: n.selfAddress(), Cores: settings.Cores, LinkMbps: settings.LinkMbps, IntervalMS: n.nextHeartbeatInterval().Milliseconds(), Incarnation: n.deps.Incarnation,
		Term: n.term, Scheduler: n.scheduler, KnownNodes: n.knownPeerCount(now), Leaving: n.stopping.Load() != 0, Slow: n.slowness.Slow(), StoreUnreachable: n.storeDown, LatestPosition: n.latest(), ReplicasAgeMS: n.fresh.Age(now), ConfigurationAgeMS: n.freshConfiguration.Age(now), StoreHealthyMS: n.watchHealthyFor(now).Milliseconds(), FailingReplicas: n.health.Failing(now),
		InFlight: map[string]liveness.InFlightCount{}, CanRelay: true, Rollouts: n.rolloutViews(),
	}
	beat.Version, beat.Evacuations = n.version(), n.evacuations.All()
	n.addEra(now, &beat)
	if mark := n.scheduling.poisonSummary(); mark.ChangeCount > 0 {
		beat.Poison = &liveness.PoisonSummary{Weight: mark.ChangeCount, Digest: mark.Digest}
	}
	if n.scheduler == settings.Name || now-n.lastActiveAt < formerSchedulerReportTime {
		beat.BucketLevels, beat.Usage = n.scheduling.bucketLevels(), n.scheduling.quotaUsage()
	}
	term := n.schedulerTerm()
	for _, place := range n.assignments {
		count := beat.InFlight[place.replica]
		count.Total++
		if place.scheduler != n.scheduler || place.term != term {
			count.External++
		}
		beat.InFlight[place.replica] = count
	}
	beat.NonDelegate, beat.FleetSize = n.isNonDelegate, n.size.Known
	if n.isLarge {
		beat.ZoneLive, beat.ZoneKnown = n.zone.Live, n.zone.Known
		return beat
	}
	beat.Peers = n.members.PeerSample(int(n.sequence.Add(1)%math.MaxInt32), peerSampleSize)
	return beat
}

// schedulerTerm returns the term of the present scheduling node. The caller
// holds the mutex.
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
		var beat liveness.Heartbeat
		if err := msgpack.Unmarshal(buffer[:size], &beat); err != nil {
			n.counter("beats.malformed").Inc(1)
			continue
		}
		n.handleHeartbeat(beat)
	}
}

// heard applies the heartbeat of another node.
func (n *Node) applyHeartbeat(beat liveness.Heartbeat) {
	n.mergeEvacuations(&beat)
	n.mutex.Lock()
	now := n.now()
	n.lastContactAt = now
	before, found := n.members.Get(beat.Name)
	rankNews := found && (before.StoreUnreachable != beat.StoreUnreachable || before.Slow != beat.Slow || before.NonDelegate != beat.NonDelegate)
	news := n.members.Observe(now, beat)
	n.detectLargeFleet(&beat)
	n.zones.Observe(now, beat)
	n.recordIncomingPeerList(now, beat)
	var newcomers []string
	if n.isLarge {
		n.recordDiscoveredPeers(beat)
	} else {
		newcomers = n.addPeers(now, beat.Peers)
	}
	newcomer := n.isNewcomer(beat)
	greets := news && !(n.isNonDelegate && beat.Relayed)
	chooses := news && (!n.isLarge || !beat.NonDelegate) || rankNews
	handed := n.recordUsage(now, beat)
	follows := n.recordBucketLevels(now, beat)
	levelsUntil := n.bucketLevelsUntil
	asksAll := n.mergePeerEra(beat)
	behindReplicas, behindConfiguration := n.replicaPullDue(beat), n.configurationPullDue(beat)
	behindContents := n.poisonPullDue(now, beat)
	n.recordFreshness(now, beat)
	leads := n.scheduler == n.settings.Load().Name
	n.mutex.Unlock()
	if leads && len(handed.Amounts) > 0 {
		n.scheduling.chargeRemoteUsage(handed)
	}
	if leads && beat.BucketLevels != nil || follows {
		n.applyBucketLevels(leads, levelsUntil, beat.BucketLevels)
	}
	if greets {
		n.sendDiscoveryHeartbeat(beat.Address, beat.Zone, newcomer)
	}
	for _, address := range newcomers {
		n.sendDiscoveryHeartbeat(address, "", false)
	}
	if news {
		n.log.Write(eventlog.Event{Kind: "peer", Peer: beat.Name, Outcome: "heard", Detail: beat.Address})
	}
	if chooses {
		n.requestSelection()
	}
	counts := map[string]int{}
	for replica, held := range beat.InFlight {
		count := held.Total
		if leads {
			count = held.External
		}
		if count > 0 {
			counts[replica] = count
		}
	}
	n.scheduling.update(func(scheduler *admission.Scheduler) {
		scheduler.SetExternalInFlight(processName(beat.Name, beat.Incarnation), counts)
	})
	if asksAll {
		go n.pullAll(beat.Address)
	}
	if behindReplicas {
		go n.pullUpdates(beat.Address)
	}
	if behindContents {
		go n.pullPoisonRecords(beat.Address)
	}
	if behindConfiguration {
		go n.fetchConfiguration(beat.Address)
	}
}
