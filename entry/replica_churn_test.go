package entry

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// engine returns a replica of the service engines.
func engine(id, version string) replicas.Replica {
	return replicas.Replica{ID: id, Service: "engines", Version: version, Address: id + ":1", StartedAt: 1}
}

// Guards against a stream whose origin is the version of an entry that is only assumed to be current, while other replicas
// of the service are replaced, and against one that stays refused although the entry is proven later.
func TestAssumedOriginIsUncertainWhileReplicasAreReplaced(t *testing.T) {
	for name, testCase := range map[string]struct {
		churns    string
		isCertain bool
	}{
		"calm": {"others", true}, "churn": {"engines", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := 10 * time.Second
			replica := engine("first", "v1")
			n := New(&Settings{Name: "self"}, Dependencies{Now: func() time.Duration { return now }})
			n.table.Put(replica)
			n.identities.ObserveView(now)
			connection := incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: now}
			n.identities.Opened(connection, true)
			n.identities.churn.Observe(now, testCase.churns)
			c := newStreamCall(n, replica, now)
			c.recordOrigin(replica)
			g.Expect(c.origin.Version == "v1").To(gomega.Equal(testCase.isCertain))
			g.Expect(c.isOriginUncertain()).To(gomega.Equal(!testCase.isCertain))
			n.resolveOrigins()
			for end := now + 2*incarnations.EntryDelay; now < end; now += time.Second {
				n.identities.ObserveView(now)
			}
			n.resolveOrigins()
			origin, knowledge := n.knownOrigin(streamorigins.KeyOf("", "r1"))
			g.Expect(origin).To(gomega.Equal(streamorigins.Origin{Service: "engines", Version: "v1"}))
			g.Expect(knowledge).To(gomega.Equal(streamorigins.Known))
		})
	}
}

// Guards against a stream that goes on at a replica of which nothing but an assumption shows that it was not replaced,
// while others of its service are, and against one that is refused a replica with a proof.
func TestStreamsGoOnOverProvenConnectionsWhileReplicasAreReplaced(t *testing.T) {
	for name, testCase := range map[string]struct{ isChurning, isProven, goesOn bool }{
		"calm, assumed": {false, false, true}, "churn, assumed": {true, false, false}, "churn, proven": {true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				replica := engine("first", "v1")
				n := New(&Settings{Name: "self"}, Dependencies{Network: &reportNetwork{}})
				n.table.Put(replica)
				n.identities.ObserveView(n.now())
				if testCase.isChurning {
					n.identities.churn.Observe(n.now(), "engines")
				}
				if testCase.isProven {
					n.identities.ConfirmByReport(n.now(), incarnations.Of(replica))
				}
				origin := streamorigins.Origin{Service: "engines", Version: "v1"}
				c := &call{node: n, ctx: t.Context()}
				g.Expect(n.unprovableReplicas(origin)).To(gomega.HaveLen(map[bool]int{true: 0, false: 1}[testCase.goesOn]))
				conn, err := c.connectProven(&grant{assignReply: &assignReply{Replica: replica}, origin: origin}, time.Second)
				g.Expect(err == nil).To(gomega.Equal(testCase.goesOn))
				if err != nil {
					g.Expect(errors.Is(err, errUnproven)).To(gomega.BeTrue())
					return
				}
				_ = conn.Close()
			})
		})
	}
}

// Guards against a replacement that counts as no sign, and against signs where a replica is silent, breaks off a request
// or crashes: nothing shows that others are replaced then.
func TestOnlyReplacementsAreSignsOfChurn(t *testing.T) {
	replica := engine("first", "v1")
	next := replica
	next.StartedAt, next.Position = 2, 8
	unstated := engine("unstated", "v1")
	unstated.StartedAt = 0
	for name, testCase := range map[string]struct {
		observe    func(n *Node)
		isChurning bool
	}{
		"its entry is replaced": {func(n *Node) { n.applyReplicaLocked(next) }, true},
		"an entry without a start has another version": {func(n *Node) {
			n.table.Put(unstated)
			other := unstated
			other.Version, other.Position = "v2", 8
			n.applyReplicaLocked(other)
		}, true},
		"its address refuses": {func(n *Node) { _, _ = n.dialReplica(t.Context(), replica, time.Second) }, false},
		"its address refuses and accepts again": {func(n *Node) {
			_, _ = n.dialReplica(t.Context(), replica, time.Second)
			n.recordConnect(replica, nil, time.Millisecond)
		}, true},
		"its address refuses and accepts again after its entry was written again": {func(n *Node) {
			unstated := replica
			unstated.ID, unstated.StartedAt = "unstated", 0
			n.table.Put(unstated)
			_, _ = n.dialReplica(t.Context(), unstated, time.Second)
			unstated.Position = 8
			n.applyReplicaLocked(unstated)
			n.recordConnect(unstated, nil, time.Millisecond)
		}, false},
		"it closed an idle connection and accepts another": {func(n *Node) {
			n.recordDoubt(incarnations.Of(replica))
			n.recordConnect(replica, nil, time.Millisecond)
		}, false},
		"another server is at its address": {func(n *Node) { n.recordOtherServer(replica) }, true},
		"its entry is renewed":             {func(n *Node) { renewed := replica; renewed.Position = 8; n.applyReplicaLocked(renewed) }, false},
		"an exchange failed":               {func(n *Node) { n.recordDoubt(incarnations.Of(replica)) }, false},
		"another replica started":          {func(n *Node) { n.applyReplicaLocked(engine("second", "v1")) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			log := eventlog.New("self", nil)
			defer log.Close()
			n := New(&Settings{Name: "self"}, Dependencies{Network: &refusingNetwork{}, Log: log})
			n.table.Put(replica)
			testCase.observe(n)
			gomega.NewWithT(t).Expect(n.identities.isChurning(n.now(), "engines")).To(gomega.Equal(testCase.isChurning))
		})
	}
}

// Guards against a process that starts while replicas are replaced and knows nothing of it, and against signs that nodes
// tell each other for ever, as each takes them for new ones.
func TestPeersTellOfReplicasThatAreReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	now := 10 * time.Second
	clock := func() time.Duration { return now }
	observing, started := New(&Settings{Name: "a"}, Dependencies{Now: clock}), New(&Settings{Name: "b"}, Dependencies{Now: clock})
	observing.identities.churn.Observe(now, "engines")
	for ; now < 13*time.Second; now += time.Second {
		started.recordFreshness(now, liveness.Heartbeat{Name: "a", ChurnAgesMS: observing.churnAges(now)})
		observing.recordFreshness(now, liveness.Heartbeat{Name: "b", ChurnAgesMS: started.churnAges(now)})
		g.Expect(started.identities.isChurning(now, "engines")).To(gomega.BeTrue())
		g.Expect(observing.churnAges(now)).To(gomega.Equal(map[string]int64{"engines": (now - 10*time.Second).Milliseconds()}))
		g.Expect(started.churnAges(now)).To(gomega.BeNil(), "what a peer observed is not passed on")
	}
	for end := now + 2*incarnations.EntryDelay; now < end; now += time.Second {
		observing.identities.ObserveView(now)
		started.identities.ObserveView(now)
	}
	g.Expect(started.identities.isChurning(now, "engines")).To(gomega.BeFalse())
	g.Expect(observing.churnAges(now)).To(gomega.BeNil())
}
