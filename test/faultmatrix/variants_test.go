package faultmatrix

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/placement"
	"github.com/thornwalk/thornwalk/coordination/scheduler"
	"github.com/thornwalk/thornwalk/faultpoint"
	"github.com/thornwalk/thornwalk/lab/checker"
	"github.com/thornwalk/thornwalk/lab/cluster"
	"github.com/thornwalk/thornwalk/lab/emulator"
	"github.com/thornwalk/thornwalk/lab/standin"
	"github.com/thornwalk/thornwalk/lab/workload"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Guards against a checker that misses violations: each variant of the system violates one rule
// deliberately.
var _ = ginkgo.Describe("broken variants are caught", func() {
	harmlessCell := cell{path: pathRequest, point: faultpoint.Accept, faults: faultsNamed("machine list down")}

	ginkgo.It("a transport that sends a request twice", func() {
		violations := runCell(suite, harmlessCell, func(o *cluster.Options) {
			o.WrapNetwork = func(inner network.Network) network.Network { return resendingNetwork{inner} }
		})
		gomega.Expect(checker.Count(violations, checker.RuleDispatchedOnce)).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("a claim that is always granted", func() {
		violations := runCell(suite, harmlessCell, func(o *cluster.Options) {
			o.WrapStore = func(inner outside.Store) outside.Store { return alwaysGrantingStore{inner} }
		})
		gomega.Expect(checker.Count(violations, checker.RuleDispatchedOnce)).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("a claim of \"not sent\" after the first byte", func() {
		violations := runCell(suite, harmlessCell, func(o *cluster.Options) {
			o.WrapNetwork = func(inner network.Network) network.Network { return falseErrorNetwork{inner} }
		})
		wrong := checker.Count(violations, checker.RuleDispatchedOnce) + checker.Count(violations, checker.RuleNotRunIsTrue)
		gomega.Expect(wrong).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("shedding any tier without a floor", func() {
		experiment := emulator.Experiment{
			Deployment: workload.Coop(), Load: 1.5, Seed: 1, Duration: 60 * time.Second, Policies: []string{"thornwalk"}, Conditions: emulator.DefaultConditions,
			Adjust: func(o *scheduler.Options) { o.LowestRank = 0 },
		}
		results, err := experiment.Run()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(results[0].ShedInversions).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("a coordinator whose clock stands still while it is paused", func() {
		gomega.Expect(checker.Count(orderAfterPause(true), checker.RuleFence)).To(gomega.BeNumerically(">", 0))
	})

	ginkgo.It("but not a coordinator with a clock that goes on", func() {
		gomega.Expect(orderAfterPause(false)).To(gomega.BeEmpty())
	})

	ginkgo.It("a generation that falls, and one that stays behind", func() {
		history := checker.History{Generations: []checker.GenerationSample{{Node: "a", Generation: 5}, {Node: "a", Generation: 4}, {Node: "b", Generation: 4, Accepted: 5}}}
		violations := history.Check()
		gomega.Expect(checker.Count(violations, checker.RuleGenerationRises)).To(gomega.Equal(1))
		gomega.Expect(checker.Count(violations, checker.RuleInForce)).To(gomega.Equal(1))
	})

	ginkgo.It("a wrong answer, work for a leaving back end and a request cut by a planned stop", func() {
		left := time.Unix(100, 0)
		history := checker.History{
			Observations: []checker.Observation{
				{Marker: "a", Outcome: structs.OutcomeAnswered},
				{Marker: "b", Outcome: structs.OutcomeUnknown, Stopped: true},
				{Marker: "c", Outcome: structs.OutcomePending},
			},
			Executions: []standin.Execution{{RequestID: "r", Replica: "e", Count: 1, At: left.Add(checker.LeavingGrace + time.Second)}},
			Departures: []checker.Departure{{Replica: "e", At: left}},
			MarkerOf:   cluster.MarkerOf,
		}
		violations := history.Check()
		for _, rule := range []checker.Rule{checker.RuleWholeAnswer, checker.RulePlannedStop, checker.RuleEnded, checker.RuleLeaving} {
			gomega.Expect(checker.Count(violations, rule)).To(gomega.Equal(1), string(rule))
		}
	})
})

// Guards against orders of two coordinators at engines that don't check fences: only the leases of
// the coordinators prevent them.
var _ = ginkgo.Describe("orders to engines that check no fence", func() {
	for _, f := range faultsNamed(changeFaults...) {
		c := cell{path: pathOrder, point: faultpoint.OrderSend, faults: []fault{f}, faultDuration: 15 * time.Second, finalWait: 20 * time.Second}
		ginkgo.It(c.name(), func() {
			gomega.Expect(runCell(suite, c, func(o *cluster.Options) { o.EnginesIgnoreFences = true })).To(gomega.BeEmpty())
		})
	}
})

// isDispatch reports whether the bytes are the start of a request to an engine.
func isDispatch(content []byte) bool { return strings.HasPrefix(string(content), "POST /v1/chat") }

// resendingNetwork sends each request to an engine twice, on two connections.
type resendingNetwork struct{ network.Network }

func (n resendingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := n.Network.Dial(ctx, address)
	return &resendingConnection{Conn: connection, network: n.Network, address: address}, err
}

type resendingConnection struct {
	net.Conn
	network network.Network
	address string
}

func (c *resendingConnection) Write(content []byte) (int, error) {
	if isDispatch(content) {
		if second, err := c.network.Dial(context.Background(), c.address); err == nil {
			_, _ = second.Write(content)
			_ = second.Close()
		}
	}
	return c.Conn.Write(content)
}

// falseErrorNetwork reports delivered requests to engines as not written.
type falseErrorNetwork struct{ network.Network }

func (n falseErrorNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := n.Network.Dial(ctx, address)
	return falseErrorConnection{connection}, err
}

type falseErrorConnection struct{ net.Conn }

func (c falseErrorConnection) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	if isDispatch(content) {
		return 0, errors.New("write failed: 0 bytes written")
	}
	return count, err
}

// alwaysGrantingStore grants every claim and stores none.
type alwaysGrantingStore struct{ outside.Store }

func (s alwaysGrantingStore) Get(ctx context.Context, key string) (outside.Value, error) {
	if strings.HasPrefix(key, "thornwalk/claims/") {
		return outside.Value{}, nil
	}
	return s.Store.Get(ctx, key)
}

func (s alwaysGrantingStore) Swap(ctx context.Context, key string, expected int64, data []byte, lease outside.LeaseID) (int64, error) {
	if strings.HasPrefix(key, "thornwalk/claims/") {
		return 0, nil
	}
	return s.Store.Swap(ctx, key, expected, data, lease)
}

// leaseStore is a store in memory with one lease that coordinators compete for.
type leaseStore struct {
	outside.Store
	mutex    sync.Mutex
	holder   outside.LeaseID
	expires  time.Time
	revision int64
	leases   outside.LeaseID
}

func (s *leaseStore) Grant(context.Context, time.Duration) (outside.LeaseID, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leases++
	return s.leases, nil
}

func (s *leaseStore) Swap(_ context.Context, _ string, _ int64, _ []byte, lease outside.LeaseID) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.holder != 0 && time.Now().Before(s.expires) {
		return 0, errors.New("the lease is held by another coordinator")
	}
	s.holder, s.expires = lease, time.Now().Add(placement.LeaseTTL)
	s.revision++
	return s.revision, nil
}

func (s *leaseStore) Renew(context.Context, outside.LeaseID) error  { return nil }
func (s *leaseStore) Revoke(context.Context, outside.LeaseID) error { return nil }

// fencelessEngine accepts and records every order without checking its fence.
type fencelessEngine struct {
	mutex  sync.Mutex
	orders []standin.OrderRecord
}

func (s *fencelessEngine) Send(_ context.Context, order placement.Order) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.orders = append(s.orders, standin.OrderRecord{Model: order.Model, Fence: order.Fence, Accepted: true, At: time.Now()})
	return nil
}

// orderPauseInjector pauses its coordinator before the first order is sent.
type orderPauseInjector struct {
	once  sync.Once
	pause time.Duration
}

func (p *orderPauseInjector) Reach(_ context.Context, point faultpoint.Point, _ string) error {
	if point == faultpoint.OrderSend {
		p.once.Do(func() { time.Sleep(p.pause) })
	}
	return nil
}

// orderAfterPause pauses a coordinator, between the check of its lease and its order, for longer
// than the lease, while a second one takes over and sends an order. With frozenClock the first
// one's clock stops during the pause. It returns the violations.
func orderAfterPause(frozenClock bool) (violations []checker.Violation) {
	synctest.Test(suite, func(*testing.T) {
		store, engine := &leaseStore{}, &fencelessEngine{}
		start := time.Now()
		continuousClock := func() time.Duration { return time.Since(start) }
		clock := continuousClock
		if frozenClock {
			clock = func() time.Duration { return min(time.Since(start), 5*time.Second) }
		}
		placementEngine := placement.Engine{Replica: structs.Replica{ID: "e"}}
		clusterState := func() placement.ClusterState {
			return placement.ClusterState{Demands: []placement.Demand{{Model: "m", Replicas: 1}}, Engines: []placement.Engine{placementEngine}}
		}
		first := &placement.Coordinator{Store: store, Sender: engine, Node: "first", Now: clock, ClusterState: clusterState, Faults: &orderPauseInjector{pause: 25 * time.Second}}
		second := &placement.Coordinator{Store: store, Sender: engine, Node: "second", Now: continuousClock, ClusterState: clusterState}
		var group sync.WaitGroup
		group.Go(func() {
			for range 3 {
				first.Step(context.Background())
				time.Sleep(2 * time.Second)
			}
		})
		for range 14 {
			time.Sleep(2 * time.Second)
			if time.Since(start) > 6*time.Second {
				second.Step(context.Background())
			}
		}
		group.Wait()
		history := checker.History{Orders: []checker.OrderLog{{Replica: "e", Orders: engine.orders}}}
		violations = history.Check()
	})
	return violations
}
