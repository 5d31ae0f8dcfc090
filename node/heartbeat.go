package node

import (
	"context"
	"time"

	"github.com/thornwalk/thornwalk/coordination/membership"
	"github.com/thornwalk/thornwalk/coordination/shedding"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/peer"
)

const (
	// probesPerInterval is the members that a node probes at each heartbeat; it
	// does not grow with the zone.
	probesPerInterval = 2
	// indirectProbes is the members asked to probe one that did not answer.
	indirectProbes = 2
	// rumorsPerMessage and reportsPerMessage bound a heartbeat.
	rumorsPerMessage  = 8
	reportsPerMessage = 24
	// sentPerMessage bounds the prefixes told; of more, the newest are told.
	sentPrefixesPerMessage = 16
)

// heartbeat is what nodes tell each other; a reply has the same form.
type heartbeat struct {
	From         membership.Member  `msgpack:"f"`
	Generation   uint64             `msgpack:"g"`
	Rumors       []membership.Rumor `msgpack:"r,omitempty"`
	Reports      []digest           `msgpack:"l,omitempty"`
	SentPrefixes []sentPrefix       `msgpack:"s,omitempty"`
}

// sentPrefix tells that a replica was sent a prompt whose prefix ends with the
// block, so that every node of the zone knows where a conversation is cached.
type sentPrefix struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Replica structs.ReplicaID
	Block   uint64
}

// probeRequest asks a peer to probe another.
type probeRequest struct {
	Target membership.Member `msgpack:"t"`
}

// probeReply tells whether the target answered.
type probeReply struct {
	Answered bool `msgpack:"a"`
}

// joinReply tells a new node what it needs before it admits work.
type joinReply struct {
	Members []membership.Rumor     `msgpack:"m"`
	Floors  []shedding.FloorUpdate `msgpack:"f"`
	Reports []digest               `msgpack:"l"`
}

// handlePeers registers the handlers of the peer protocol.
func (n *Node) handlePeers(server *peer.Server) {
	peer.Handle(server, peerwire.KindHeartbeat, n.serveHeartbeat)
	peer.Handle(server, peerwire.KindProbe, n.serveProbe)
	peer.Handle(server, peerwire.KindJoin, n.serveJoin)
	peer.Handle(server, peerwire.KindSettingsPull, n.serveSettingsPull)
	peer.Handle(server, peerwire.KindFloorDemand, n.serveFloorDemand)
	peer.Handle(server, peerwire.KindFloorSet, n.serveFloorSet)
	peer.Handle(server, peerwire.KindLimitDemand, n.serveLimitDemand)
	peer.Handle(server, peerwire.KindClaim, n.serveClaim)
	peer.Handle(server, peerwire.KindRegister, n.serveRegister)
	peer.Handle(server, peerwire.KindRegistryUpdate, n.serveRegistryUpdate)
	peer.Handle(server, peerwire.KindRegistryLookup, n.serveRegistryLookup)
}

// heartbeatLoop probes members and spreads news.
func (n *Node) heartbeatLoop() {
	for n.awaitHeartbeat(n.settings.Compiled().Node.HeartbeatInterval) {
		n.mutex.Lock()
		targets := n.table.ProbeTargets(probesPerInterval)
		n.mutex.Unlock()
		for _, target := range targets {
			n.group.Go(func() { n.probe(target) })
		}
	}
}

// awaitHeartbeat waits for the interval, or less if there is news that should
// spread at once.
func (n *Node) awaitHeartbeat(interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.heartbeatTrigger:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// spreadNow lets the next heartbeats go out at once.
func (n *Node) triggerHeartbeat() {
	select {
	case n.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// probe sends a heartbeat to the target and, if it does not answer, has others
// try before the target is suspected.
func (n *Node) probe(target membership.Member) {
	values := n.settings.Compiled().Node
	if n.exchangeHeartbeat(target, values.SuspectAfter/2) || n.ctx.Err() != nil {
		return
	}
	if n.probeIndirectly(target, values.SuspectAfter/2) || n.ctx.Err() != nil {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.table.ProbeFailed(n.now(), target.Name)
}

// exchange sends a heartbeat and merges the reply.
func (n *Node) exchangeHeartbeat(target membership.Member, timeout time.Duration) bool {
	n.mutex.Lock()
	message := n.newHeartbeat()
	n.mutex.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	var reply heartbeat
	if err := n.peers.Call(ctx, target.PeerAddress, peerwire.KindHeartbeat, &message, &reply); err != nil {
		return false
	}
	n.applyHeartbeat(&reply)
	return true
}

func (n *Node) probeIndirectly(target membership.Member, timeout time.Duration) bool {
	n.mutex.Lock()
	helpers := n.table.ProbeTargets(indirectProbes)
	n.mutex.Unlock()
	answers := make(chan bool, len(helpers))
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	for _, helper := range helpers {
		n.group.Go(func() {
			var reply probeReply
			err := n.peers.Call(ctx, helper.PeerAddress, peerwire.KindProbe, &probeRequest{Target: target}, &reply)
			answers <- err == nil && reply.Answered
		})
	}
	answered := false
	for range helpers {
		answered = <-answers || answered
	}
	return answered
}

// heartbeat composes a message with the news that are due. The mutex is held.
func (n *Node) newHeartbeat() heartbeat {
	return heartbeat{
		From: n.table.Self(), Generation: n.settings.Compiled().Generation,
		Rumors: n.table.Rumors(rumorsPerMessage), Reports: n.takeQueuedReports(reportsPerMessage),
		SentPrefixes: n.sentPrefixQueue.Take(sentPrefixesPerMessage, len(n.table.Live())),
	}
}

// agedReports takes reports from the queue, with their ages as of now. The
// mutex is held.
func (n *Node) takeQueuedReports(limit int) []digest {
	now := n.now()
	dated := n.reportQueue.Take(limit, len(n.table.Live()))
	digests := make([]digest, len(dated))
	for i, entry := range dated {
		digests[i] = entry.digest
		digests[i].AgeMS += uint32((now - entry.at).Milliseconds())
	}
	return digests
}

func (n *Node) serveHeartbeat(_ context.Context, message *heartbeat) (*heartbeat, error) {
	if message.From.Name == "" {
		return nil, errkind.New(errkind.BadFrame, "heartbeat without a sender")
	}
	n.applyHeartbeat(message)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	reply := n.newHeartbeat()
	return &reply, nil
}

// takeHeartbeat merges what a peer told.
func (n *Node) applyHeartbeat(message *heartbeat) {
	now := n.now()
	n.mutex.Lock()
	n.table.Heard(now, message.From)
	n.table.Merge(now, message.Rumors)
	n.peerGenerations[message.From.Name] = observedGeneration{generation: message.Generation, at: now}
	if message.From.Zone != n.config.Zone {
		n.zoneLastSeen[message.From.Zone] = now
	}
	n.applyDigests(message.Reports)
	for _, sent := range message.SentPrefixes {
		n.applySentPrefix(sent)
	}
	n.schedulePending()
	n.mutex.Unlock()
	if message.Generation > n.settings.Compiled().Generation {
		n.pullSettings(message.From.PeerAddress)
	}
}

// takeSent records a prefix that another node sent and passes it on if it was
// news. The mutex is held.
func (n *Node) applySentPrefix(sent sentPrefix) {
	chain := []uint64{sent.Block}
	if n.scheduler.Prefixes().CachedTokens(sent.Replica, chain) > 0 {
		return
	}
	n.scheduler.Prefixes().Sent(sent.Replica, chain)
	n.sentPrefixQueue.Put(sent.Block, sent)
}

// takeDigests applies reports and passes on those that were news. The mutex is held.
func (n *Node) applyDigests(digests []digest) {
	now := n.now()
	for _, short := range digests {
		state, known := n.scheduler.View().Get(short.Replica)
		if known && short.isApplicable(state.HasReport) && n.scheduler.View().Observe(now, short.expand(&state.Report)) {
			n.reportQueue.Put(short.Replica, timestampedDigest{digest: short, at: now})
			n.loadKnown.Store(true) // most nodes of a large zone poll no replica themselves
		}
	}
}

// takeReport applies a report that this node took itself. The mutex is held.
func (n *Node) applyPolledReport(report structs.LoadReport) {
	now := n.now()
	told, known := n.announced[report.Replica]
	if !n.scheduler.View().Observe(now, report) {
		return
	}
	told.count++
	withRare := !known || told.count%reportsPerRarePart == 0 || rareChanged(&told.report, &report)
	if withRare {
		told.report = report
	}
	n.announced[report.Replica] = told
	n.reportQueue.Put(report.Replica, timestampedDigest{digest: newDigest(&report, withRare), at: now})
}

func (n *Node) serveProbe(ctx context.Context, message *probeRequest) (*probeReply, error) {
	n.mutex.Lock()
	ping := n.newHeartbeat()
	n.mutex.Unlock()
	var reply heartbeat
	err := n.peers.Call(ctx, message.Target.PeerAddress, peerwire.KindHeartbeat, &ping, &reply)
	if err == nil {
		n.applyHeartbeat(&reply)
	}
	return &probeReply{Answered: err == nil}, nil
}

func (n *Node) serveJoin(_ context.Context, message *heartbeat) (*joinReply, error) {
	now := n.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.table.Heard(now, message.From)
	reply := &joinReply{Members: n.table.All(), Floors: n.floorMember.Snapshot(now)}
	for _, replica := range n.scheduler.View().Replicas() {
		if state, found := n.scheduler.View().Get(replica.ID); found && state.HasReport {
			report := state.Report
			report.Age = state.Age(now)
			reply.Reports = append(reply.Reports, newDigest(&report, true))
		}
	}
	return reply, nil
}

// join introduces the node to a peer and takes what it needs from the answer.
func (n *Node) join(address string) bool {
	n.mutex.Lock()
	message := n.newHeartbeat()
	n.mutex.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, peerCallTimeout)
	defer cancel()
	var reply joinReply
	if err := n.peers.Call(ctx, address, peerwire.KindJoin, &message, &reply); err != nil {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.table.Merge(n.now(), reply.Members)
	for _, floor := range reply.Floors {
		n.floorMember.Apply(n.now(), floor)
		n.applyFloor(floor.Service)
	}
	n.applyDigests(reply.Reports)
	return true
}

func (n *Node) serveFloorDemand(_ context.Context, demand *shedding.Demand) (*struct{}, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.applyDemand(*demand)
	return &struct{}{}, nil
}

func (n *Node) serveFloorSet(_ context.Context, set *shedding.FloorUpdate) (*shedding.Ack, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	ack := n.applyFloorUpdate(*set)
	return &ack, nil
}

// delegates is the number of members of a zone that talk to other zones and
// watch the store. Two at once are harmless; one more covers a loss.
const delegatesPerZone = 2

// isDelegate returns whether this node is one of the zone's delegates. The
// mutex is held.
func (n *Node) isDelegate() bool {
	for _, name := range rendezvous.Top(n.table.LiveNames(), rendezvous.Key("delegate/"+n.config.Zone), delegatesPerZone) {
		if name == n.config.Name {
			return true
		}
	}
	return false
}
