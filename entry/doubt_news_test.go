package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/platform"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/transport/peer"
)

// Guards against a stream that goes on at a replica that another node found ended, as the news of it come after the
// assignment.
func TestDoubtsOfOtherNodesComeWithAssignments(t *testing.T) {
	for name, startedAt := range map[string]int64{"": 1, "no start is stated": 0} {
		t.Run(name, func(t *testing.T) {
			doubtElsewhere(t, replicas.Replica{ID: "first", Service: "engines", Version: "v1", StartedAt: startedAt})
		})
	}
}

// doubtElsewhere has another node doubt the replica, and tells the scheduling node and the one that sends of it.
func doubtElsewhere(t *testing.T, replica replicas.Replica) {
	g := gomega.NewWithT(t)
	next := replica
	next.StartedAt = 2
	observing, scheduling, sending := newForwardingNode(replica), newForwardingNode(replica), newForwardingNode(replica)
	for _, n := range []*Node{observing, scheduling, sending} {
		n.identities.ObserveView(n.now())
		g.Expect(n.doubtOf(replica)).To(gomega.BeNil())
	}
	observing.identities.Doubt(observing.now(), incarnations.Of(replica))
	message := &finishRequest{ID: "r", Doubted: observing.doubtOf(replica)}
	_, err := scheduling.serveFinish(t.Context(), message)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(scheduling.doubtAge(replica)).To(gomega.BeNumerically(">", 0))
	g.Expect(scheduling.doubtAge(next)).To(gomega.BeZero(), "another incarnation")

	proofAt := func() incarnations.Proof {
		sending.mutex.Lock()
		defer sending.mutex.Unlock()
		return sending.verdictLocked(incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: sending.now()}).Proof
	}
	g.Expect(proofAt()).To(gomega.Equal(incarnations.ProofAssumed))
	reply := &assignReply{Replica: replica, DoubtAge: scheduling.doubtAge(replica)}
	sending.recordGrant(&grant{assignReply: reply, id: "g"})
	g.Expect(proofAt()).To(gomega.Equal(incarnations.ProofNone))
}

// Guards against an age in a message that dates a doubt in the future, which nothing later could end.
func TestDoubtsAreNotDatedInTheFuture(t *testing.T) {
	g := gomega.NewWithT(t)
	replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", StartedAt: 1}
	n := newForwardingNode(replica)
	_, err := n.serveFinish(t.Context(), &finishRequest{Doubted: &doubtedIncarnation{Replica: "first", StartedAt: 1, Age: -time.Hour}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n.identities.ConfirmByReport(n.now()+time.Minute, incarnations.Of(replica))
	g.Expect(n.doubtAge(replica)).To(gomega.BeZero())
}

// startReporter serves the answer to each request at the host.
func startReporter(t *testing.T, fabric *memnet.Fabric, host, answer string) {
	listener, err := fabric.Host(host).Listen(":1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(connection, answer)
				}
			}()
		}
	}()
}

// startHeardScheduler starts what hears of ended requests at a scheduling node at the host.
func startHeardScheduler(t *testing.T, fabric *memnet.Fabric, host string, replica replicas.Replica) *Node {
	scheduling := New(&Settings{Name: host, Zone: "east"}, Dependencies{Network: fabric.Host(host)})
	scheduling.table.Put(replica)
	scheduling.identities.ObserveView(scheduling.now())
	server := peer.NewServer(nil)
	peer.Handle(server, peerwire.KindFinish, scheduling.serveFinish)
	listener, err := fabric.Host(host).Listen(":2")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(scheduling.ctx, listener)
	t.Cleanup(scheduling.cancel)
	return scheduling
}

// Guards against a stream that goes on from another node as at the incarnation of the known entry although the replica's
// own report has shown one node that another process is in its place.
func TestSchedulingNodeHearsOfReportsThatNameAnotherStart(t *testing.T) {
	const (
		same    = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":7}"
		another = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":8}"
	)
	replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", Address: "replica:1", StartedAt: 7}
	ask := map[string]func(n *Node, granted *grant){
		"for a stream that goes on": func(n *Node, granted *grant) {
			granted.origin = streamorigins.Origin{Service: "engines", Version: "v1"}
			c := newStreamCall(n, replica, n.now())
			c.ctx = n.ctx
			_, outcome, observed := c.startSend(granted)
			c.finish(granted, outcome, observed)
		},
		"for a stream that began": func(n *Node, _ *grant) { newStreamCall(n, replica, n.now()).recordOrigin(replica) },
	}
	for reason, query := range ask {
		for answer, isDoubted := range map[string]bool{another: true, same: false} {
			if reason == "for a stream that goes on" && !isDoubted {
				continue // the request is sent
			}
			t.Run(fmt.Sprint(reason, ", doubted ", isDoubted), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					fabric := memnet.New()
					startReporter(t, fabric, "replica", answer)
					scheduling := startHeardScheduler(t, fabric, "scheduler", replica)
					log := eventlog.New("self", nil)
					defer log.Close()
					n := New(&Settings{Name: "self", Zone: "east"}, Dependencies{
						Network: fabric.Host("self"), Log: log, Headers: platform.Headers(), ReportPath: platform.ReportPath, ParseReport: platform.ParseReport,
					})
					defer n.cancel()
					defer n.peers.Close()
					defer n.pool.Forget(incarnationOf(replica))
					n.table.Put(replica)
					n.members.Observe(n.now(), liveness.Heartbeat{Name: "scheduler", Address: "scheduler:2", Incarnation: 1, IntervalMS: 100})
					n.scheduler = "scheduler"
					time.Sleep(time.Second) // the views of both are old
					scheduling.identities.ObserveView(scheduling.now())
					query(n, &grant{assignReply: &assignReply{Replica: replica}, id: "r1.a", scheduler: "scheduler", address: "scheduler:2"})
					time.Sleep(time.Second)
					g.Expect(n.doubtOf(replica) != nil).To(gomega.Equal(isDoubted), "at the node that asked")
					g.Expect(scheduling.doubtAge(replica) > 0).To(gomega.Equal(isDoubted), "at the scheduling node")
				})
			})
		}
	}
}
