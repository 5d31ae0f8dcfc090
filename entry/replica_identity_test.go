package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// Guards against a log that is flooded by the doubts of one replica.
func TestIdentityLinesAreLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	identities := newReplicaIdentities()
	first := identityLine{incarnation: incarnations.Incarnation{Replica: "r1", StartedAt: 1}, outcome: identityDoubted}
	g.Expect(identities.mayLog(0, first)).To(gomega.BeTrue())
	g.Expect(identities.mayLog(time.Second, first)).To(gomega.BeFalse())
	successor := first
	successor.incarnation.StartedAt = 2
	g.Expect(identities.mayLog(time.Second, successor)).To(gomega.BeTrue())
	g.Expect(identities.mayLog(identityLogInterval, first)).To(gomega.BeTrue())
	identities.forget(func(incarnation incarnations.Incarnation) bool { return incarnation.StartedAt == 2 })
	g.Expect(identities.loggedAt).To(gomega.HaveLen(1))
}

// Guards against heartbeats that were on their way for long and count as recent views of the store, so that an entry
// proves which process answers although the store was away when its successor would have replaced it.
func TestLateHeartbeatsProveNoEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newFreshnessNode(5)
	receive := func(sentAt, arrivesAt time.Duration) {
		heartbeat := liveness.Heartbeat{Name: "m", Incarnation: 1, UptimeMS: sentAt.Milliseconds(), Version: 3, LatestPosition: 7, StoreHealthyMS: sentAt.Milliseconds()}
		n.members.Observe(arrivesAt, heartbeat)
		n.recordFreshness(arrivesAt, heartbeat)
	}
	const storeAwayAt = 10 * time.Second
	for at := 100 * time.Millisecond; at <= storeAwayAt; at += 100 * time.Millisecond {
		receive(at, at+time.Millisecond)
	}
	receive(storeAwayAt, 11400*time.Millisecond)
	receive(storeAwayAt, 12800*time.Millisecond)
	verdictOf := func(openedAt time.Duration) incarnations.Verdict {
		connection := incarnations.Connection{Incarnation: incarnations.Incarnation{Replica: "r"}, OpenedAt: openedAt}
		return n.identities.Verdict(12800*time.Millisecond, connection, true)
	}
	g.Expect(verdictOf(storeAwayAt - incarnations.EntryDelay + time.Second).Proof).To(gomega.Equal(incarnations.ProofNone))
	g.Expect(verdictOf(4 * time.Second).Proof).To(gomega.Equal(incarnations.ProofEntry))
}

// Guards against one replica without a report, or with a faulty one, because of which no other replica of its service is
// asked for half a minute, so that streams are broken off that could go on.
func TestReplicaWithoutAReportDoesNotSpeakForItsService(t *testing.T) {
	g := gomega.NewWithT(t)
	n := New(&Settings{Name: "n"}, Dependencies{Log: eventlog.New("n", nil), ReportPath: "/report", ParseReport: func(status int, _ []byte) (int64, error) {
		if status != http.StatusOK {
			return 0, errors.New("no report")
		}
		return 1000, nil
	}})
	query := func(replica replicas.Replica, status string) error {
		ours, theirs := net.Pipe()
		defer func() { _ = theirs.Close() }()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
				_, _ = io.WriteString(theirs, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
			}
		}()
		return n.queryReport(t.Context(), n.addDirect(ours, replica), replica)
	}
	sound := replicas.Replica{ID: "a", Service: "s", StartedAt: 1000}
	faulty := replicas.Replica{ID: "b", Service: "s", StartedAt: 2000}
	g.Expect(query(sound, "200 OK")).To(gomega.Succeed())
	g.Expect(query(faulty, "500 Failed")).To(gomega.Succeed())
	g.Expect(n.givesReportsLocked(sound)).To(gomega.BeTrue())
	g.Expect(n.givesReportsLocked(faulty)).To(gomega.BeFalse())
	unreported := replicas.Replica{ID: "c", Service: "without", StartedAt: 3000}
	g.Expect(query(unreported, "404 Not Found")).To(gomega.Succeed())
	unreported.ID = "d"
	g.Expect(n.givesReportsLocked(unreported)).To(gomega.BeFalse(), "no replica of the service stated its start")
}

// Guards against a stream that goes on at the successor of a replica that ended while no request was at it: its idle
// connections are all that shows its end. Not at a connection that was idle for as long as the replica states.
func TestIdleConnectionThatEndsEarlyIsADoubt(t *testing.T) {
	for name, testCase := range map[string]struct {
		keepAlive string
		disturb   func(conn net.Conn)
		isDoubted bool
	}{
		"closed":                    {"Keep-Alive: timeout=30\r\n", func(conn net.Conn) { _ = conn.Close() }, true},
		"open":                      {"Keep-Alive: timeout=30\r\n", func(net.Conn) {}, false},
		"closed, no timeout stated": {"", func(conn net.Conn) { _ = conn.Close() }, false},
		"reset, as one too many": {"Keep-Alive: timeout=30\r\n", func(conn net.Conn) {
			network.ResetOnClose(conn)
			_ = conn.Close()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = listener.Close() }()
			ours, err := net.Dial("tcp", listener.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			theirs, err := listener.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = theirs.Close() }()
			replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", StartedAt: 1}
			n := New(&Settings{Name: "n"}, Dependencies{Log: eventlog.New("n", nil), Now: func() time.Duration { return time.Second }})
			n.table.Put(replica)
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
					_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\n"+testCase.keepAlive+"Content-Length: 0\r\n\r\n")
				}
			}()
			request := &replicahttp.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, IDHeader: "Id"}
			answer, err := n.pool.Exchange(t.Context(), n.addDirect(ours, replica), request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, answer.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			answer.Done()
			testCase.disturb(theirs)
			time.Sleep(50 * time.Millisecond) // the loopback has delivered the end
			if idle := n.pool.TakeIdle(incarnationOf(replica), time.Minute, replicahttp.AnyTime); idle != nil {
				_ = idle.Close()
			}
			g.Expect(n.doubtOf(replica) != nil).To(gomega.Equal(testCase.isDoubted))
		})
	}
}
