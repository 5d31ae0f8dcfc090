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
	// tickInterval is the time between looks at deadlines and leases.
	tickInterval = 20 * time.Millisecond
	// demandInterval is the least time between repeated demands for a floor.
	minDemandInterval = 100 * time.Millisecond
)

// thornwalkNode drives the daemon's scheduler and shed floor.
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
	// fresh makes the node see the present load of every replica; for the oracle.
	seesCurrentLoad bool
}

func newThornwalkNode(s *simulation, zone, index int, options scheduler.Options, random *rand.Rand) *thornwalkNode {
	lowest := s.deployment.LowestRank()
	name := fmt.Sprintf("%s-node-%d", s.deployment.Zones[zone], index)
	n := &thornwalkNode{
		simulation: s, zone: zone, name: name,
		scheduler: scheduler.New(options, random),
		owner:     shedding.NewOwner(name, lowest, options.FloorDemandTTL),
		member:    shedding.NewMember(name, lowest),
		byID:      map[string]*record{}, lastDemands: map[scheduler.Demand]time.Duration{},
	}
	n.scheduler.SetLiveNodes(s.deployment.NodesPerZone[zone])
	for _, r := range s.zones[zone] {
		n.scheduler.View().Upsert(r.Replica)
	}
	s.every(tickInterval, s.duration+s.settleTime(), n.tick)
	return n
}

// join tells the node its peers, itself included.
func (n *thornwalkNode) setPeers(peers map[string]*thornwalkNode, members []string) {
	n.peers, n.members = peers, members
}

func (n *thornwalkNode) arrive(r *record) {
	n.byID[r.arrival.ID] = r
	plan, refused := n.scheduler.Submit(n.simulation.now, n.request(r))
	if refused {
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

func (n *thornwalkNode) schedule() {
	if n.seesCurrentLoad && n.scheduler.Waiting() > 0 {
		for _, r := range n.simulation.zones[n.zone] {
			n.scheduler.View().Observe(n.simulation.now, n.simulation.reportOf(r))
		}
	}
	for _, plan := range n.scheduler.Schedule(n.simulation.now) {
		n.execute(plan)
	}
	n.sendDemands()
}

func (n *thornwalkNode) execute(plan structs.Plan) {
	r := n.byID[plan.Request.ID]
	if plan.Verdict == structs.VerdictDispatch {
		n.simulation.dispatch(r, n.simulation.byID[plan.Replica.ID])
		n.announceSent(plan.Replica.ID, r.arrival.Chain)
		return
	}
	n.simulation.reject(r, plan.Reason)
}

// newsDelay is the time in which heartbeats carry news to the other nodes.
const announceDelay = 300 * time.Millisecond

// tellSent tells the other nodes the end of the prefix that a replica was sent.
func (n *thornwalkNode) announceSent(id structs.ReplicaID, chain []uint64) {
	if len(chain) == 0 {
		return
	}
	end := chain[len(chain)-1:]
	n.simulation.after(announceDelay, func() {
		for _, name := range n.members {
			if name != n.name {
				n.peers[name].scheduler.Prefixes().Sent(id, end)
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
		n.scheduler.Prefixes().Event(id, event)
	}
}

func (n *thornwalkNode) firstToken(r *record) {
	n.scheduler.FirstToken(n.simulation.now, r.arrival.ID)
}

func (n *thornwalkNode) done(r *record) {
	n.scheduler.Finish(n.simulation.now, r.arrival.ID, reserve.Result{Connected: true, Complete: true, OutputTokens: r.arrival.OutputTokens})
	n.schedule()
}

func (n *thornwalkNode) abandon(r *record) {
	if n.scheduler.Cancel(r.arrival.ID) {
		n.simulation.reject(r, structs.ReasonExpired)
		return
	}
	n.scheduler.Finish(n.simulation.now, r.arrival.ID, reserve.Result{Connected: true})
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

// sendDemands carries demands to the owner of the floor.
func (n *thornwalkNode) sendDemands() {
	for _, demand := range n.scheduler.Demands(n.simulation.now) {
		last, sent := n.lastDemands[demand]
		if sent && n.simulation.now-last < minDemandInterval {
			continue
		}
		n.lastDemands[demand] = n.simulation.now
		owner := n.peers[rendezvous.Top(n.members, rendezvous.Key(demand.Service), 1)[0]]
		message := shedding.Demand{Service: demand.Service, Rank: demand.Rank, From: n.name}
		n.simulation.after(n.simulation.deployment.WithinZone, func() {
			owner.owner.Demand(n.simulation.now, message)
			owner.advanceFloor(message.Service)
		})
	}
}

func (n *thornwalkNode) advanceFloor(service string) {
	for _, outgoing := range n.owner.Tick(n.simulation.now, service, n.members) {
		peer := n.peers[outgoing.To]
		n.simulation.after(n.simulation.deployment.WithinZone, func() { n.deliverFloor(peer, outgoing.Update) })
	}
}

// deliver applies a floor at a peer and carries the acknowledgement back.
func (n *thornwalkNode) deliverFloor(peer *thornwalkNode, set shedding.FloorUpdate) {
	ack := peer.member.Apply(n.simulation.now, set)
	peer.applyFloor(set.Service)
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
