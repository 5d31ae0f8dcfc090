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
	// probesPerInterval is the number of members probed at each heartbeat, whatever
	// the size of the zone.
	probesPerInterval = 2
	// indirectProbes is the number of members that probe one that did not answer.
	indirectProbes = 2
	// rumorsPerMessage and reportsPerMessage bound the content of a heartbeat.
	rumorsPerMessage  = 8
	reportsPerMessage = 24
	// sentPrefixesPerMessage bounds the prefixes of a heartbeat; the newest are sent.
	sentPrefixesPerMessage = 16
)

// heartbeat is the message that nodes exchange; its reply has the same type.
type heartbeat struct {
	From         membership.Member  `msgpack:"f"`
	Generation   uint64             `msgpack:"g"`
	Rumors       []membership.Rumor `msgpack:"r,omitempty"`
	Reports      []digest           `msgpack:"l,omitempty"`
	SentPrefixes []sentPrefix       `msgpack:"s,omitempty"`
}

// sentPrefix records that a replica was sent a prompt whose prefix ends with the
// block, so that all nodes of the zone know where the prompt is cached.
type sentPrefix struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Replica structs.ReplicaID
	Block   uint64
}

// probeRequest asks a peer to probe another member.
type probeRequest struct {
	Target membership.Member `msgpack:"t"`
}

// probeReply reports whether the target answered.
type probeReply struct {
	Answered bool `msgpack:"a"`
}

// joinReply is the state that a new node needs before it admits requests.
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

// heartbeatLoop sends heartbeats to members, which also serve as probes.
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

// awaitHeartbeat waits for the interval, or until triggerHeartbeat is called. It
// returns false if the node ends.
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

// triggerHeartbeat makes the next heartbeats go out at once. It does not block.
func (n *Node) triggerHeartbeat() {
	select {
	case n.heartbeatTrigger <- struct{}{}:
	default:
	}
}

// probe sends a heartbeat to the target. If neither that nor an indirect probe is
// answered, the target becomes suspected.
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

// exchangeHeartbeat sends a heartbeat and applies the reply. It returns false if
// there was none.
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

// probeIndirectly asks other members to probe the target and reports whether one of
// them got an answer.
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

// newHeartbeat returns a heartbeat with the updates that are due. The caller holds
// the mutex.
func (n *Node) newHeartbeat() heartbeat {
	return heartbeat{
		From: n.table.Self(), Generation: n.settings.Compiled().Generation,
		Rumors: n.table.Rumors(rumorsPerMessage), Reports: n.takeQueuedReports(reportsPerMessage),
		SentPrefixes: n.sentPrefixQueue.Take(sentPrefixesPerMessage, len(n.table.Live())),
	}
}

// takeQueuedReports takes up to limit reports from the queue and brings their ages
// up to date. The caller holds the mutex.
func (n *Node) takeQueuedReports(limit int) []digest {
	now := n.now()
	entries := n.reportQueue.Take(limit, len(n.table.Live()))
	digests := make([]digest, len(entries))
	for i, entry := range entries {
		digests[i] = entry.digest
		digests[i].AgeMS += uint32((now - entry.at).Milliseconds())
	}
	return digests
}

func (n *Node) serveHeartbeat(_ context.Context, message *heartbeat) (*heartbeat, error) {
	if message.From.Name == "" {
		return nil, errkind.New(errkind.BadFrame, "serve heartbeat: sender has no name")
	}
	n.applyHeartbeat(message)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	reply := n.newHeartbeat()
	return &reply, nil
}

// applyHeartbeat applies a received heartbeat and, if its sender has newer settings,
// starts to pull them.
func (n *Node) applyHeartbeat(message *heartbeat) {
	now := n.now()
	n.mutex.Lock()
	n.table.RecordMessage(now, message.From)
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

// applySentPrefix records a prefix that another node sent to a replica and, if it
// was unknown, queues it for other nodes. The caller holds the mutex.
func (n *Node) applySentPrefix(sent sentPrefix) {
	chain := []uint64{sent.Block}
	if n.scheduler.Prefixes().CachedTokens(sent.Replica, chain) > 0 {
		return
	}
	n.scheduler.Prefixes().RecordSent(sent.Replica, chain)
	n.sentPrefixQueue.Put(sent.Block, sent)
}

// applyDigests applies received reports and queues those that were newer for other
// nodes. The caller holds the mutex.
func (n *Node) applyDigests(digests []digest) {
	now := n.now()
	for _, received := range digests {
		state, known := n.scheduler.View().Get(received.Replica)
		if known && received.isApplicable(state.HasReport) && n.scheduler.View().Observe(now, received.expand(&state.Report)) {
			n.reportQueue.Put(received.Replica, timestampedDigest{digest: received, at: now})
			n.loadKnown.Store(true) // in a large zone, most nodes poll no replica themselves
		}
	}
}

// applyPolledReport applies a report that this node polled and queues it for other
// nodes. The caller holds the mutex.
func (n *Node) applyPolledReport(report structs.LoadReport) {
	now := n.now()
	last, known := n.announced[report.Replica]
	if !n.scheduler.View().Observe(now, report) {
		return
	}
	last.count++
	withRare := !known || last.count%reportsPerRarePart == 0 || rareChanged(&last.report, &report)
	if withRare {
		last.report = report
	}
	n.announced[report.Replica] = last
	n.reportQueue.Put(report.Replica, timestampedDigest{digest: newDigest(&report, withRare), at: now})
}

func (n *Node) serveProbe(ctx context.Context, message *probeRequest) (*probeReply, error) {
	n.mutex.Lock()
	request := n.newHeartbeat()
	n.mutex.Unlock()
	var reply heartbeat
	err := n.peers.Call(ctx, message.Target.PeerAddress, peerwire.KindHeartbeat, &request, &reply)
	if err == nil {
		n.applyHeartbeat(&reply)
	}
	return &probeReply{Answered: err == nil}, nil
}

func (n *Node) serveJoin(_ context.Context, message *heartbeat) (*joinReply, error) {
	now := n.now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.table.RecordMessage(now, message.From)
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

// join announces this node to a peer and applies the reply. It returns false if
// there was none.
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

func (n *Node) serveFloorSet(_ context.Context, update *shedding.FloorUpdate) (*shedding.Ack, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	ack := n.applyFloorUpdate(*update)
	return &ack, nil
}

// delegatesPerZone is the number of nodes of a zone that communicate with other
// zones and watch the store; with more than one, a failure is covered.
const delegatesPerZone = 2

// isDelegate reports whether this node is a delegate of its zone. The caller holds
// the mutex.
func (n *Node) isDelegate() bool {
	for _, name := range rendezvous.Top(n.table.LiveNames(), rendezvous.Hash("delegate/"+n.config.Zone), delegatesPerZone) {
		if name == n.config.Name {
			return true
		}
	}
	return false
}
