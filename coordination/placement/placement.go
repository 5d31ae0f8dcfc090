// Package placement orders engines to load models. Per zone and service there is
// one coordinator, elected by a lease in the store; the revision of the lease key
// is the fencing token of its orders.
//
// An engine that checks fences never follows an older coordinator after a newer
// one. An engine that doesn't gets orders only while the lease has at least
// MinUnfencedLease left, and only once the coordinator has held it for as long.
// During an outage of the store no orders are sent; requests are still served.
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

const (
	LeaseTTL      = 10 * time.Second
	RenewInterval = 2 * time.Second
	OrderTimeout  = time.Second
	// ClockMargin allows for clocks of node and store that run differently.
	ClockMargin = 500 * time.Millisecond
	// ToleratedSuspension is how long the process may be suspended while it sends
	// an order.
	ToleratedSuspension = 2 * time.Second
	// MinUnfencedLease is the remaining lease time that an order to an engine
	// without fence check requires.
	MinUnfencedLease = OrderTimeout + ClockMargin + ToleratedSuspension
)

// Order requests that an engine load a model.
type Order struct {
	Replica structs.Replica `json:"replica"`
	Model   string          `json:"model"`
	// Fence increases with each coordinator that acquires the lease.
	Fence int64 `json:"fence"`
}

// Sender sends orders to engines. An error of kind StaleFence means that the
// engine has received an order of a newer coordinator.
type Sender interface {
	Send(ctx context.Context, order Order) error
}

// Demand is the number of engines that should have a model loaded.
type Demand struct {
	Model    string
	Replicas int
}

// Engine is the coordinator's view of one engine.
type Engine struct {
	Replica structs.Replica
	// Models lists the loaded models.
	Models []string
	// Running is the number of running requests.
	Running int
}

// ClusterState is a snapshot of the demands and engines of a zone and service.
type ClusterState struct {
	Demands []Demand
	Engines []Engine
	// ReadRate is the maximum number of loads per second from the weight store;
	// zero means unlimited.
	ReadRate float64
}

// Plan returns the orders that the demands require. Each model goes to the
// engines without it that run the fewest requests and are not leaving. Pending
// orders, keyed by engine and model, count as loaded.
func Plan(cluster ClusterState, pendingOrders map[string]time.Duration) []Order {
	var orders []Order
	for _, demand := range cluster.Demands {
		loaded := 0
		var candidates []Engine
		for _, engine := range cluster.Engines {
			_, ordered := pendingOrders[pendingKey(engine.Replica.ID, demand.Model)]
			switch {
			case engine.Replica.Leaving:
			case contains(engine.Models, demand.Model) || ordered:
				loaded++
			default:
				candidates = append(candidates, engine)
			}
		}
		sort.Slice(candidates, func(i, j int) bool {
			if candidates[i].Running != candidates[j].Running {
				return candidates[i].Running < candidates[j].Running
			}
			return candidates[i].Replica.ID < candidates[j].Replica.ID
		})
		for _, engine := range candidates[:min(len(candidates), max(0, demand.Replicas-loaded))] {
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

// Coordinator lets one node compete for the lease of a zone and service, and sends
// orders while it holds the lease. It is not safe for concurrent use.
type Coordinator struct {
	Store   outside.Store
	Sender  Sender
	Zone    string
	Service string
	Node    string
	// Now returns monotonic time that advances while the process is suspended.
	Now          func() time.Duration
	ClusterState func() ClusterState
	Faults       faultpoint.Injector
	// Log is called with each order sent and its result; nil disables it.
	Log func(Order, error)

	// lease is zero while another node may be the coordinator.
	lease          outside.LeaseID
	fence          int64
	leaseExpiresAt time.Duration
	acquiredAt     time.Duration
	// pendingOrders maps engine and model to when the order was sent.
	pendingOrders map[string]time.Duration
	lastOrderAt   time.Duration
}

// pendingOrderTimeout is how long an order counts as pending until an engine
// reports the model.
const pendingOrderTimeout = 2 * time.Minute

// LeaseKey returns the store key of the coordinator's lease.
func LeaseKey(zone, service string) string { return "thornwalk/placement/" + zone + "/" + service }

// Step acquires or renews the lease and sends the orders that are due. It does
// nothing if another node holds the lease.
func (c *Coordinator) Step(ctx context.Context) {
	if c.pendingOrders == nil {
		c.pendingOrders = map[string]time.Duration{}
	}
	if err := c.ensureLease(ctx); err != nil {
		return
	}
	cluster := c.ClusterState()
	c.expirePending(cluster)
	for _, order := range Plan(cluster, c.pendingOrders) {
		if c.lastOrderAt != 0 && cluster.ReadRate > 0 && c.Now()-c.lastOrderAt < time.Duration(float64(time.Second)/cluster.ReadRate) {
			return
		}
		order.Fence = c.fence
		if err := c.sendOrder(ctx, order); err != nil {
			return
		}
	}
}

// ensureLease renews the lease, or acquires it if no node holds it.
func (c *Coordinator) ensureLease(ctx context.Context) error {
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.OrderLease, c.Node); err != nil {
		return err
	}
	startedAt := c.Now()
	if c.lease != 0 && startedAt < c.leaseExpiresAt {
		if err := c.Store.Renew(ctx, c.lease); err != nil {
			if errkind.Of(err) == errkind.StaleFence {
				c.lease = 0
			}
			return err
		}
		c.leaseExpiresAt = startedAt + LeaseTTL
		return nil
	}
	c.lease = 0
	lease, err := c.Store.Grant(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	fence, err := c.Store.Swap(ctx, LeaseKey(c.Zone, c.Service), 0, []byte(c.Node), lease)
	if err != nil {
		// If the response was lost, the key may exist, but its revision and so the
		// fence are unknown: revoke the lease or let it expire.
		_ = c.Store.Revoke(ctx, lease)
		return err
	}
	c.lease, c.fence = lease, fence
	c.leaseExpiresAt = startedAt + LeaseTTL
	c.acquiredAt = c.Now()
	return nil
}

// sendOrder sends one order if the lease still allows it. It checks the lease
// again right before sending.
func (c *Coordinator) sendOrder(ctx context.Context, order Order) error {
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.OrderCheck, string(order.Replica.ID)); err != nil {
		return err
	}
	if err := c.checkLease(order); err != nil {
		return err
	}
	if err := faultpoint.Reach(ctx, c.Faults, faultpoint.OrderSend, string(order.Replica.ID)); err != nil {
		return err
	}
	// The process may have been suspended since the first check.
	if err := c.checkLease(order); err != nil {
		return err
	}
	c.lastOrderAt = c.Now()
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
		c.pendingOrders[pendingKey(order.Replica.ID, order.Model)] = c.Now()
	}
	return faultpoint.Reach(ctx, c.Faults, faultpoint.OrderDone, string(order.Replica.ID))
}

// checkLease returns an error of kind StaleFence unless the order may be sent.
func (c *Coordinator) checkLease(order Order) error {
	now := c.Now()
	if c.lease == 0 || now >= c.leaseExpiresAt {
		return errkind.New(errkind.StaleFence, "ordering a model load: the coordinator's lease has expired")
	}
	if order.Replica.ChecksFence {
		return nil
	}
	if c.leaseExpiresAt-now < MinUnfencedLease {
		return errkind.New(errkind.StaleFence, "ordering a model load on %s, which checks no fence: the lease expires too soon, in %s", order.Replica.ID, c.leaseExpiresAt-now)
	}
	if now-c.acquiredAt < MinUnfencedLease {
		return errkind.New(errkind.StaleFence, "ordering a model load on %s, which checks no fence: an earlier coordinator may still send orders", order.Replica.ID)
	}
	return nil
}

// expirePending drops orders that timed out or whose engine reports the model.
func (c *Coordinator) expirePending(cluster ClusterState) {
	for key, sentAt := range c.pendingOrders {
		if c.Now()-sentAt > pendingOrderTimeout {
			delete(c.pendingOrders, key)
		}
	}
	for _, engine := range cluster.Engines {
		for _, model := range engine.Models {
			delete(c.pendingOrders, pendingKey(engine.Replica.ID, model))
		}
	}
}
