package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// newStreamCall returns a call whose answer arrives over a connection that was opened to the replica at the instant.
func newStreamCall(n *Node, replica replicas.Replica, openedAt time.Duration) *call {
	return &call{
		node: n, id: "r1", route: &catalog.Route{Resumable: true}, request: httptest.NewRequest(http.MethodPost, "/", nil),
		connection: incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: openedAt},
	}
}

// Guards against a stream that is bound to the version of the known entry although it began at a process of which nothing
// shows that it is that incarnation, and against one that stays refused although it was shown later.
func TestOriginIsCertainOnceItIsShownWhoBeganTheStream(t *testing.T) {
	g := gomega.NewWithT(t)
	replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", StartedAt: 1}
	n := newForwardingNode(replica)
	certain, uncertain := streamorigins.Origin{Service: "engines", Version: "v1"}, streamorigins.Origin{Service: "engines"}
	key := streamorigins.KeyOf("", "r1")
	c := newStreamCall(n, replica, n.now())
	c.recordOrigin(replica)
	origin, _ := n.knownOrigin(key)
	g.Expect(origin).To(gomega.Equal(uncertain))
	g.Expect(c.isOriginUncertain()).To(gomega.BeTrue())
	g.Expect(c.resolveOrigin()).To(gomega.BeFalse())
	n.resolveOrigins()
	origin, _ = n.knownOrigin(key)
	g.Expect(origin).To(gomega.Equal(uncertain))

	n.identities.ConfirmByReport(n.now(), incarnations.Of(replica))
	n.resolveOrigins()
	origin, knowledge := n.knownOrigin(key)
	g.Expect(origin).To(gomega.Equal(certain))
	g.Expect(knowledge).To(gomega.Equal(streamorigins.Known))
	g.Expect(n.unresolvedOrigins.byKey).To(gomega.BeEmpty())
	g.Expect(c.resolveOrigin()).To(gomega.BeTrue())
	g.Expect(c.origin).To(gomega.Equal(certain))

	known := newStreamCall(n, replica, n.now()-time.Hour)
	known.id = "r2"
	known.recordOrigin(replica)
	g.Expect(known.origin).To(gomega.Equal(certain))
}

// Guards against a stream that began at an unknown successor and is taken for one of the former version once the
// successor is listed for long, where replicas state no start.
func TestOriginStaysUncertainOnceTheSuccessorIsListed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := 10 * time.Second
	replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", Position: 1}
	n := New(&Settings{Name: "self"}, Dependencies{Now: func() time.Duration { return now }, Log: eventlog.New("self", nil)})
	n.table.Put(replica)
	c := newStreamCall(n, replica, now)
	c.recordOrigin(replica)
	g.Expect(c.isOriginUncertain()).To(gomega.BeTrue())
	successor := replica
	successor.Version, successor.Position = "v2", 2
	n.applyReplicaLocked(successor)
	for end := now + 2*incarnations.EntryDelay; now < end; now += time.Second {
		n.identities.ObserveView(now)
	}
	g.Expect(n.verdictLocked(incarnations.Connection{Incarnation: incarnations.Of(successor)}).Proof).To(gomega.Equal(incarnations.ProofEntry))
	n.resolveOrigins()
	origin, _ := n.knownOrigin(streamorigins.KeyOf("", "r1"))
	g.Expect(origin.Version).To(gomega.BeEmpty())
}

// Guards against a stream that is taken for one of the former incarnation as its successor states another start.
func TestOriginStaysUncertainAtAReplacedReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", StartedAt: 1}
	n := newForwardingNode(replica)
	n.identities.ConfirmByReport(n.now(), incarnations.Of(replica))
	c := newStreamCall(n, replica, n.now()+time.Hour)
	c.recordOrigin(replica)
	n.identities.ConfirmByReport(n.now(), incarnations.Incarnation{Replica: "first", StartedAt: 2})
	g.Expect(c.resolveOrigin()).To(gomega.BeFalse())
}
