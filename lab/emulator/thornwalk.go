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
	demandInterval = 100 * time.Millisecond
)

// thornwalkNode drives the daemon's scheduler and shed floor.
type thornwalkNode struct {
	world     *world
	zone      int
	name      string
	peers     map[string]*thornwalkNode
	members   []string
	scheduler *scheduler.Scheduler
	owner     *shedding.Owner
	member    *shedding.Member
	byID      map[string]*record
	demanded  map[scheduler.Demand]time.Duration
	// fresh makes the node see the present load of every replica; for the oracle.
	fresh bool
}

func newThornwalkNode(w *world, zone, index int, options scheduler.Options, random *rand.Rand) *thornwalkNode {
	lowest := w.deployment.LowestRank()
	name := fmt.Sprintf("%s-node-%d", w.deployment.Zones[zone], index)
	n := &thornwalkNode{
		world: w, zone: zone, name: name,
		scheduler: scheduler.New(options, random),
		owner:     shedding.NewOwner(name, lowest, options.FloorDemandTTL),
		member:    shedding.NewMember(name, lowest),
		byID:      map[string]*record{}, demanded: map[scheduler.Demand]time.Duration{},
	}
	n.scheduler.SetLiveNodes(w.deployment.NodesPerZone[zone])
	for _, r := range w.zones[zone] {
		n.scheduler.View().Upsert(r.Replica)
	}
	w.every(tickInterval, w.duration+w.longestDeadline(), n.tick)
	return n
}

// join tells the node its peers, itself included.
func (n *thornwalkNode) join(peers map[string]*thornwalkNode, members []string) {
	n.peers, n.members = peers, members
}

func (n *thornwalkNode) arrive(r *record) {
	n.byID[r.arrival.ID] = r
	plan, refused := n.scheduler.Submit(n.world.now, n.request(r))
	if refused {
		n.carryOut(plan)
	}
	n.pump()
}

func (n *thornwalkNode) request(r *record) *structs.Request {
	kind := n.world.kind(r)
	return &structs.Request{
		ID: r.arrival.ID, Tenant: fmt.Sprintf("tenant-%d", r.arrival.Tenant), Route: kind.Name,
		Service: n.world.deployment.Service, Model: n.world.deployment.Model,
		Tier: kind.Tier, Rank: kind.Rank, Weight: n.world.deployment.TenantShares[r.arrival.Tenant],
		PromptTokens: r.arrival.PromptTokens, MaxTokens: int(workload.LongestOutput * float64(kind.Output)), Prefix: r.arrival.Chain,
		Arrived: n.world.now, Deadline: n.world.now + kind.Deadline, Repeatable: kind.Repeatable,
	}
}

func (n *thornwalkNode) pump() {
	if n.fresh && n.scheduler.Waiting() > 0 {
		for _, r := range n.world.zones[n.zone] {
			n.scheduler.View().Observe(n.world.now, n.world.reportOf(r))
		}
	}
	for _, plan := range n.scheduler.Schedule(n.world.now) {
		n.carryOut(plan)
	}
	n.sendDemands()
}

func (n *thornwalkNode) carryOut(plan structs.Plan) {
	r := n.byID[plan.Request.ID]
	if plan.Verdict == structs.VerdictDispatch {
		n.world.dispatch(r, n.world.byID[plan.Replica.ID])
		n.tellSent(plan.Replica.ID, r.arrival.Chain)
		return
	}
	n.world.refuse(r, plan.Reason)
}

// newsDelay is the time in which heartbeats carry news to the other nodes.
const newsDelay = 300 * time.Millisecond

// tellSent tells the other nodes the end of the prefix that a replica was sent.
func (n *thornwalkNode) tellSent(id structs.ReplicaID, chain []uint64) {
	if len(chain) == 0 {
		return
	}
	end := chain[len(chain)-1:]
	n.world.after(newsDelay, func() {
		for _, name := range n.members {
			if name != n.name {
				n.peers[name].scheduler.Prefixes().Sent(id, end)
			}
		}
	})
}

func (n *thornwalkNode) report(report structs.LoadReport) {
	if !n.fresh {
		n.scheduler.View().Observe(n.world.now, report)
	}
	n.pump()
}

func (n *thornwalkNode) cacheEvents(id structs.ReplicaID, events []structs.CacheEvent) {
	for _, event := range events {
		n.scheduler.Prefixes().Event(id, event)
	}
}

func (n *thornwalkNode) firstToken(r *record) {
	n.scheduler.FirstToken(n.world.now, r.arrival.ID)
}

func (n *thornwalkNode) done(r *record) {
	n.scheduler.Finish(n.world.now, r.arrival.ID, reserve.Result{Connected: true, Complete: true, OutputTokens: r.arrival.OutputTokens})
	n.pump()
}

func (n *thornwalkNode) abandon(r *record) {
	if n.scheduler.Cancel(r.arrival.ID) {
		n.world.refuse(r, structs.ReasonExpired)
		return
	}
	n.scheduler.Finish(n.world.now, r.arrival.ID, reserve.Result{Connected: true})
	n.pump()
}

func (n *thornwalkNode) tick() {
	for _, service := range n.member.Tick(n.world.now) {
		n.applyFloor(service)
	}
	for _, service := range n.owner.Services() {
		n.advanceFloor(service)
	}
	n.pump()
}

// sendDemands carries demands to the owner of the floor.
func (n *thornwalkNode) sendDemands() {
	for _, demand := range n.scheduler.Demands(n.world.now) {
		last, sent := n.demanded[demand]
		if sent && n.world.now-last < demandInterval {
			continue
		}
		n.demanded[demand] = n.world.now
		owner := n.peers[rendezvous.Top(n.members, rendezvous.Key(demand.Service), 1)[0]]
		message := shedding.Demand{Service: demand.Service, Rank: demand.Rank, From: n.name}
		n.world.after(n.world.deployment.WithinZone, func() {
			owner.owner.Demand(n.world.now, message)
			owner.advanceFloor(message.Service)
		})
	}
}

func (n *thornwalkNode) advanceFloor(service string) {
	for _, outgoing := range n.owner.Tick(n.world.now, service, n.members) {
		peer := n.peers[outgoing.To]
		n.world.after(n.world.deployment.WithinZone, func() { n.deliver(peer, outgoing.Update) })
	}
}

// deliver applies a floor at a peer and carries the acknowledgement back.
func (n *thornwalkNode) deliver(peer *thornwalkNode, set shedding.FloorUpdate) {
	ack := peer.member.Apply(n.world.now, set)
	peer.applyFloor(set.Service)
	n.world.after(n.world.deployment.WithinZone, func() {
		n.owner.Ack(ack)
		n.advanceFloor(ack.Service)
	})
}

func (n *thornwalkNode) applyFloor(service string) {
	floor := n.member.Floor(n.world.now, service)
	if floor == n.scheduler.Floor(service) {
		return
	}
	for _, plan := range n.scheduler.SetFloor(service, floor) {
		n.carryOut(plan)
	}
}
