package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/thornwalk/thornwalk/coordination/routing/reserve"
	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/coordination/shedding"
	"github.com/thornwalk/thornwalk/lab/workload"
	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// tickInterval is the time between checks of deadlines and floor leases.
	tickInterval = 20 * time.Millisecond
	// minDemandInterval is the minimum time between two sends of the same floor demand.
	minDemandInterval = 100 * time.Millisecond
)

// thornwalkNode is a node with the daemon's scheduler and shed floor.
type thornwalkNode struct {
	simulation  *simulation
	zone        int
	name        string
	peers       map[string]*thornwalkNode
	members     []string
	scheduler   *scheduler.Scheduler
	owner       *shedding.Owner
	member      *shedding.Member
	byID        map[string]*record
	lastDemands map[scheduler.Demand]time.Duration
	// seesCurrentLoad gives the node the current load of every replica before it
	// schedules. It is set for the oracle only.
	seesCurrentLoad bool
}

func newThornwalkNode(s *simulation, zone, index int, options scheduler.Options, random *rand.Rand) *thornwalkNode {
	lowestRank := s.deployment.LowestRank()
	name := fmt.Sprintf("%s-node-%d", s.deployment.Zones[zone], index)
	n := &thornwalkNode{
		simulation: s, zone: zone, name: name,
		scheduler: scheduler.New(options, random),
		owner:     shedding.NewOwner(name, lowestRank, options.FloorDemandTTL),
		member:    shedding.NewMember(name, lowestRank),
		byID:      map[string]*record{}, lastDemands: map[scheduler.Demand]time.Duration{},
	}
	n.scheduler.SetLiveNodes(s.deployment.NodesPerZone[zone])
	for _, r := range s.zones[zone] {
		n.scheduler.View().Upsert(r.Replica)
	}
	s.every(tickInterval, s.duration+s.settleTime(), n.tick)
	return n
}

// setPeers sets the nodes of the zone, including this one, and their names.
func (n *thornwalkNode) setPeers(peers map[string]*thornwalkNode, members []string) {
	n.peers, n.members = peers, members
}

func (n *thornwalkNode) arrive(r *record) {
	n.byID[r.arrival.ID] = r
	plan, rejected := n.scheduler.Submit(n.simulation.now, n.request(r))
	if rejected {
		n.execute(plan)
	}
	n.schedule()
}

func (n *thornwalkNode) request(r *record) *structs.Request {
	kind := n.simulation.kind(r)
	return &structs.Request{
		ID: r.arrival.ID, Tenant: fmt.Sprintf("tenant-%d", r.arrival.Tenant), Route: kind.Name,
		Service: n.simulation.deployment.Service, Model: n.simulation.deployment.Model,
		Tier: kind.Tier, Rank: kind.Rank, Weight: n.simulation.deployment.TenantShares[r.arrival.Tenant],
		PromptTokens: r.arrival.PromptTokens, MaxTokens: int(workload.MaxOutputFactor * float64(kind.Output)), Prefix: r.arrival.Chain,
		Arrived: n.simulation.now, Deadline: n.simulation.now + kind.Deadline, Repeatable: kind.Repeatable,
	}
}

// schedule executes the decisions for queued requests.
func (n *thornwalkNode) schedule() {
	if n.seesCurrentLoad && n.scheduler.QueuedCount() > 0 {
		for _, r := range n.simulation.zones[n.zone] {
			n.scheduler.View().Observe(n.simulation.now, n.simulation.reportOf(r))
		}
	}
	for _, plan := range n.scheduler.Schedule(n.simulation.now) {
		n.execute(plan)
	}
	n.sendDemands()
}

// execute dispatches or rejects a request as the scheduler decided.
func (n *thornwalkNode) execute(plan structs.Plan) {
	r := n.byID[plan.Request.ID]
	if plan.Verdict == structs.VerdictDispatch {
		n.simulation.dispatch(r, n.simulation.byID[plan.Replica.ID])
		n.announceSent(plan.Replica.ID, r.arrival.Chain)
		return
	}
	n.simulation.reject(r, plan.Reason)
}

// announceDelay is the time until sent prefixes reach the other nodes with heartbeats.
const announceDelay = 300 * time.Millisecond

// announceSent sends the last block of a prefix that was sent to a replica to the other
// nodes.
func (n *thornwalkNode) announceSent(id structs.ReplicaID, chain []uint64) {
	if len(chain) == 0 {
		return
	}
	lastBlock := chain[len(chain)-1:]
	n.simulation.after(announceDelay, func() {
		for _, name := range n.members {
			if name != n.name {
				n.peers[name].scheduler.Prefixes().RecordSent(id, lastBlock)
			}
		}
	})
}

func (n *thornwalkNode) report(report structs.LoadReport) {
	if !n.seesCurrentLoad {
		n.scheduler.View().Observe(n.simulation.now, report)
	}
	n.schedule()
}

func (n *thornwalkNode) cacheEvents(id structs.ReplicaID, events []structs.CacheEvent) {
	for _, event := range events {
		n.scheduler.Prefixes().ApplyCacheEvent(id, event)
	}
}

func (n *thornwalkNode) firstToken(r *record) {
	n.scheduler.FirstToken(n.simulation.now, r.arrival.ID)
}

func (n *thornwalkNode) done(r *record) {
	n.scheduler.Finish(n.simulation.now, r.arrival.ID, reserve.Result{Sent: true, Complete: true, OutputTokens: r.arrival.OutputTokens})
	n.schedule()
}

func (n *thornwalkNode) abandon(r *record) {
	if n.scheduler.Cancel(r.arrival.ID) {
		n.simulation.reject(r, structs.ReasonExpired)
		return
	}
	n.scheduler.Finish(n.simulation.now, r.arrival.ID, reserve.Result{Sent: true})
	n.schedule()
}

func (n *thornwalkNode) tick() {
	for _, service := range n.member.Tick(n.simulation.now) {
		n.applyFloor(service)
	}
	for _, service := range n.owner.Services() {
		n.advanceFloor(service)
	}
	n.schedule()
}

// sendDemands sends floor demands to the owner of the floor of each service.
func (n *thornwalkNode) sendDemands() {
	for _, demand := range n.scheduler.Demands(n.simulation.now) {
		sentAt, sent := n.lastDemands[demand]
		if sent && n.simulation.now-sentAt < minDemandInterval {
			continue
		}
		n.lastDemands[demand] = n.simulation.now
		ownerNode := n.peers[rendezvous.Top(n.members, rendezvous.Hash(demand.Service), 1)[0]]
		message := shedding.Demand{Service: demand.Service, Rank: demand.Rank, From: n.name}
		n.simulation.after(n.simulation.deployment.WithinZone, func() {
			ownerNode.owner.Demand(n.simulation.now, message)
			ownerNode.advanceFloor(message.Service)
		})
	}
}

func (n *thornwalkNode) advanceFloor(service string) {
	for _, outgoing := range n.owner.Tick(n.simulation.now, service, n.members) {
		peer := n.peers[outgoing.To]
		n.simulation.after(n.simulation.deployment.WithinZone, func() { n.deliverFloor(peer, outgoing.Update) })
	}
}

// deliverFloor applies a floor update at a peer and returns the acknowledgement to the
// owner.
func (n *thornwalkNode) deliverFloor(peer *thornwalkNode, update shedding.FloorUpdate) {
	ack := peer.member.Apply(n.simulation.now, update)
	peer.applyFloor(update.Service)
	n.simulation.after(n.simulation.deployment.WithinZone, func() {
		n.owner.Ack(ack)
		n.advanceFloor(ack.Service)
	})
}

func (n *thornwalkNode) applyFloor(service string) {
	floor := n.member.Floor(n.simulation.now, service)
	if floor == n.scheduler.Floor(service) {
		return
	}
	for _, plan := range n.scheduler.SetFloor(service, floor) {
		n.execute(plan)
	}
}
