package entry

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// Guards against a stream that is sent to another version because the scheduling node chose it, as one of the
// release before does, or knew less of the replica than this node.
func TestAssignmentToAnotherVersionIsReturned(t *testing.T) {
	g := gomega.NewWithT(t)
	first := replicas.Replica{ID: "first", Service: "engines", Version: "v1"}
	second := replicas.Replica{ID: "second", Service: "engines", Version: "v2"}
	n := newForwardingNode(first, second)
	origin := streamorigins.Origin{Service: "engines", Version: "v1"}
	maySend := func(replica replicas.Replica, origin streamorigins.Origin) bool {
		return n.beginSend(&grant{assignReply: &assignReply{Replica: replica}, origin: origin})
	}
	g.Expect(maySend(first, origin)).To(gomega.BeTrue())
	g.Expect(maySend(second, origin)).To(gomega.BeFalse())
	g.Expect(maySend(second, streamorigins.Origin{})).To(gomega.BeTrue())
	believed := second
	believed.Version = "v1"
	g.Expect(maySend(believed, origin)).To(gomega.BeFalse())
	g.Expect(maySend(first, streamorigins.Origin{Service: "engines"})).To(gomega.BeFalse())
}

// Guards against reports to nodes of the release before: they close a connection that brings an unknown kind of
// message, with all calls that use it.
func TestNodesOfTheReleaseBeforeKeepNoOrigins(t *testing.T) {
	g := gomega.NewWithT(t)
	content, err := os.ReadFile(filepath.Join("testdata", "previous", "beat"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var heartbeat liveness.Heartbeat
	g.Expect(msgpack.Unmarshal(content, &heartbeat)).To(gomega.Succeed())
	heartbeat.Relayed, heartbeat.NonDelegate = false, false
	n := newForwardingNode()
	n.members.Observe(n.now(), heartbeat)
	g.Expect(n.streamKeepers(streamorigins.KeyOf("", "r"))).To(gomega.BeEmpty())
	heartbeat.KeepsStreamOrigins = true
	n.members.Observe(n.now(), heartbeat)
	g.Expect(n.streamKeepers(streamorigins.KeyOf("", "r"))).To(gomega.HaveLen(1))
}

// Guards against a node that forgets, or gives out otherwise, what another one reported.
func TestReportedOriginsAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newForwardingNode()
	record := streamorigins.Record{Key: streamorigins.KeyOf("tenant", "r"), Origin: streamorigins.Origin{Service: "engines", Version: "v2"}}
	_, err := n.serveStreamOrigins(context.Background(), &streamOriginsReport{Records: []streamorigins.Record{record}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := n.serveStreamOrigin(context.Background(), &streamOriginQuestion{Key: record.Key})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer).To(gomega.Equal(&streamOriginAnswer{Origin: record.Origin, Knowledge: streamorigins.Known}))
	answer, err = n.serveStreamOrigin(context.Background(), &streamOriginQuestion{Key: streamorigins.KeyOf("other", "r")})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Knowledge).To(gomega.Equal(streamorigins.Unknown))
}

// Guards against a node that takes the store's outage for one of all nodes although another one may see the store.
func TestOutageOfAllNodesIsToldFromAPartition(t *testing.T) {
	for name, test := range map[string]struct {
		peer      liveness.Heartbeat
		silentFor time.Duration
		maySee    bool
	}{
		"the peer does not see the store":     {liveness.Heartbeat{StoreUnreachable: true}, 0, false},
		"the peer has just regained it":       {liveness.Heartbeat{StoreHealthyMS: 900}, 0, false},
		"the peer has watched it for a while": {liveness.Heartbeat{StoreHealthyMS: 3100}, 0, true},
		"the peer is silent":                  {liveness.Heartbeat{StoreUnreachable: true}, 500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newForwardingNode()
			test.peer.Name, test.peer.IntervalMS = "peer", 100
			n.members.Observe(n.now(), test.peer)
			gomega.NewWithT(t).Expect(n.mayPeerSeeStoreLocked(n.now() + test.silentFor)).To(gomega.Equal(test.maySee))
		})
	}
}
