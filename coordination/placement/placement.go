// Package placement orders engines to load models. One coordinator per zone
// and service acts, elected by a lease in the platform's store, whose revision
// is the fence that each order carries.
//
// Guarantees: an engine that checks fences never follows an older coordinator
// after a newer one. To an engine that does not, an order is sent only while
// the lease has more time left than an order can take with the longest pause
// tolerated, and a new coordinator waits out that time before its first order.
// With the store down nobody orders; serving goes on.
package placement

import (
	"context"
	"sort"
	"time"

	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/structs"
)

// Times of the lease. An order to an engine that does not check fences has to
// be done OrderTimeout after it was begun, and its sender may have been paused
// for up to ToleratedPause in between.
const (
	LeaseTTL       = 10 * time.Second
	RenewInterval  = 2 * time.Second
	OrderTimeout   = time.Second
	ClockMargin    = 500 * time.Millisecond
	ToleratedPause = 2 * time.Second
	// SafeRemainder is the lease time that must be left for an unfenced order.
	SafeRemainder = OrderTimeout + ClockMargin + ToleratedPause
)

// Order asks an engine to load a model.
type Order struct {
	Replica structs.Replica `json:"replica"`
	Model   string          `json:"model"`
	Fence   int64           `json:"fence"`
}

// Sender carries orders out. An error of kind StaleFence means that a newer
// coordinator is known to the engine.
type Sender interface {
	Send(ctx context.Context, order Order) error
}

// Demand is the wish that a model be held by a number of engines.
type Demand struct {
	Model    string
	Replicas int
}

// Engine is the coordinator's view of one engine.
type Engine struct {
	Replica structs.Replica
	Models  []string
	Running int
}

// ClusterState is what a coordinator sees when it plans. It is taken anew each time.
type ClusterState struct {
	Demands []Demand
	Engines []Engine
	// ReadRate is the loads a second that the weight store allows the zone.
	ReadRate float64
}

// Plan returns the orders that bring the engines nearer to the demands: each
// model goes to the usable engines with the least running work that lack it.
func Plan(world ClusterState, pending map[string]time.Duration) []Order {
	var orders []Order
	for _, demand := range world.Demands {
		holders := 0
		var free []Engine
		for _, engine := range world.Engines {
			_, ordered := pending[pendingKey(engine.Replica.ID, demand.Model)]
			switch {
			case engine.Replica.Leaving:
			case contains(engine.Models, demand.Model) || ordered:
				holders++
			default:
				free = append(free, engine)
			}
		}
		sort.Slice(free, func(i, j int) bool {
			if free[i].Running != free[j].Running {
				return free[i].Running < free[j].Running
			}
			return free[i].Replica.ID < free[j].Replica.ID
		})
		for _, engine := range free[:min(len(free), max(0, demand.Replicas-holders))] {
			orders = append(orders, Order{Replica: engine.Replica, Model: demand.Model})
		}
	}
	return orders
}

func pendingKey(id structs.ReplicaID, model string) string { return string(id) + "/" + model }

func contains(list []string, text string) bool {
	for _, entry := range list {
		if entry == text {
			return true
		}
	}
	return false
}

// Coordinator is one node's candidacy for one zone and service.
type Coordinator struct {
	Store   outside.Store
	Sender  Sender
	Zone    string
	Service string
	Node    string
	// Now is monotonic time, which goes on while the process is paused.
	Now          func() time.Duration
	ClusterState func() ClusterState
	Faults       faultpoint.Injector
	// Log is told each order and its result.
	Log func(Order, error)

	lease     outside.LeaseID
	fence     int64
	expires   time.Duration
	heldSince time.Duration
	pending   map[string]time.Duration
	lastOrder time.Duration
}

// pendingTimeout is how long an order may take to show in reports.
const pendingTimeout = 2 * time.Minute

// LeaseKey returns the store key of the coordinator's lease.
func LeaseKey(zone, service string) string { return "thornwalk/placement/" + zone + "/" + service }

// Step acquires or renews the lease and sends the orders that are due.
func (c *Coordinator) Step(ctx context.Context) {
	if c.pending == nil {
		c.pending = map[string]time.Duration{}
	}
	if err := c.hold(ctx); err != nil {
		return
	}
	world := c.ClusterState()
	c.expirePending(world)
	for _, order := range Plan(world, c.pending) {
		if c.lastOrder != 0 && world.ReadRate > 0 && c.Now()-c.lastOrder < time.Duration(float64(time.Second)/world.ReadRate) {
			return
		}
		order.Fence = c.fence
		if err := c.order(ctx, order); err != nil {
			return
		}
	}
}

// hold renews the lease, or acquires it if nobody holds it.
func (c *Coordinator) hold(ctx context.Context) error {
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.OrderLease, c.Node); err != nil {
		return err
	}
	begun := c.Now()
	if c.lease != 0 && begun < c.expires {
		if err := c.Store.Renew(ctx, c.lease); err != nil {
			if errkind.Of(err) == errkind.StaleFence {
				c.lease = 0
			}
			return err
		}
		c.expires = begun + LeaseTTL
		return nil
	}
	c.lease = 0
	lease, err := c.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	fence, err := c.Store.Swap(ctx, LeaseKey(c.Zone, c.Service), 0, []byte(c.Node), lease)
	if err != nil {
		// The lease may hold the key if the answer was lost; without the fence
		// it is of no use, so it is given back or runs out.
		_ = c.Store.Revoke(ctx, lease)
		return err
	}
	c.lease, c.fence = lease, fence
	c.expires = begun + LeaseTTL
	c.heldSince = c.Now()
	return nil
}

// order sends one order if the lease still allows it. The check comes after
// anything that may have taken long, and is repeated for each order.
func (c *Coordinator) order(ctx context.Context, order Order) error {
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.OrderCheck, string(order.Replica.ID)); err != nil {
		return err
	}
	if err := c.mayOrder(order); err != nil {
		return err
	}
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.OrderSend, string(order.Replica.ID)); err != nil {
		return err
	}
	// A pause may have come between the check and here; the remainder covers a
	// tolerated one, and a second look stops after a longer one.
	if err := c.mayOrder(order); err != nil {
		return err
	}
	c.lastOrder = c.Now()
	orderContext, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := c.Sender.Send(orderContext, order)
	if c.Log != nil {
		c.Log(order, err)
	}
	if errkind.Of(err) == errkind.StaleFence && err != nil {
		c.lease = 0
		return err
	}
	if err == nil {
		c.pending[pendingKey(order.Replica.ID, order.Model)] = c.Now()
	}
	return faultpoint.Reach(ctx, c.Faults, faultpoint.OrderDone, string(order.Replica.ID))
}

func (c *Coordinator) mayOrder(order Order) error {
	now := c.Now()
	if c.lease == 0 || now >= c.expires {
		return errkind.New(errkind.StaleFence, "the lease has run out")
	}
	if order.Replica.ChecksFence {
		return nil
	}
	if c.expires-now < SafeRemainder {
		return errkind.New(errkind.StaleFence, "%s checks no fence and the lease ends in %s", order.Replica.ID, c.expires-now)
	}
	if now-c.heldSince < SafeRemainder {
		return errkind.New(errkind.StaleFence, "%s checks no fence and an earlier coordinator may still order", order.Replica.ID)
	}
	return nil
}

// expirePending drops orders that took effect or had their time.
func (c *Coordinator) expirePending(world ClusterState) {
	for key, at := range c.pending {
		if c.Now()-at > pendingTimeout {
			delete(c.pending, key)
		}
	}
	for _, engine := range world.Engines {
		for _, model := range engine.Models {
			delete(c.pending, pendingKey(engine.Replica.ID, model))
		}
	}
}
