package platformsim

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// closedPeerConn is a connection on which writes fail after a number of them while reads still wait, as on a process
// that was suspended when its peer closed the connection.
type closedPeerConn struct {
	net.Conn
	writesLeft atomic.Int32
}

func (c *closedPeerConn) Write(content []byte) (int, error) {
	if c.writesLeft.Add(-1) < 0 {
		return 0, io.ErrClosedPipe
	}
	return c.Conn.Write(content)
}

// oneConnListener accepts one connection and then waits until it is closed.
type oneConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *oneConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *oneConnListener) Close() error   { close(l.closed); return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a run that counts as broken off by the replica because a failed write shows before the read that the
// node closed the connection. Checks excuse what a replica breaks off by itself.
func TestRunsWhoseWritesFailAreCancelled(t *testing.T) {
	for _, test := range []struct {
		name       string
		writes     int32
		isComplete bool
	}{{"after the head and two events", 3, false}, {"not at all", 1000, true}} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			client, server := net.Pipe()
			conn := &closedPeerConn{Conn: server}
			conn.writesLeft.Store(test.writes)
			listener := &oneConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
			listener.conns <- conn
			replica := &Replica{ID: "i-1", Events: 5, Step: time.Millisecond}
			go replica.Serve(listener)
			defer func() { _, _ = client.Close(), listener.Close() }()
			request, err := http.NewRequest(http.MethodPost, "http://replica/stream/", nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			request.Header.Set("X-Expect-Instance", "i-1")
			request.Header.Set("X-Attempt-Id", "r1")
			g.Expect(request.Write(client)).To(gomega.Succeed())
			response, err := http.ReadResponse(bufio.NewReader(client), request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.ReadAll(response.Body)
			g.Expect(err == nil).To(gomega.Equal(test.isComplete))
			g.Eventually(func() int { return len(replica.Unfinished()) }).Should(gomega.BeZero())
			run := replica.Runs()[0]
			g.Expect(run.Completed).To(gomega.Equal(test.isComplete))
			g.Expect(run.Cancelled).To(gomega.Equal(!test.isComplete))
			g.Expect(run.EndedAt).NotTo(gomega.BeZero())
		})
	}
}

// Guards against a judge of streams that reads a cut or foreign event as a whole one.
func TestParseEventsFindsWholeEventsOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	text := versionComment("v2") + incarnationComment("i-1.3") + Event("r1", 1)
	events, rest, err := ParseEvents(text+Event("r1", 2)[:12], nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(events).To(gomega.Equal([]StreamEvent{{Number: 1, ID: 1, Request: "r1", Version: "v2", Incarnation: "i-1.3"}}))
	g.Expect(rest).To(gomega.Equal(Event("r1", 2)[:12]))
	for _, foreign := range []string{"hello\n\n", "id: 1\ndata: part 2 of r1\n\n", "id: 1\ndata: x\n\n", "data: part 1 of r1\n\n", "id: 1\n\n", "data: part 1 of r1\nid: 1\n\n", "id: 1\ndata: part 1 of r1\ndata: part 1 of r1\n\n"} {
		_, _, err := ParseEvents(foreign, nil)
		g.Expect(err).To(gomega.HaveOccurred(), "%q", foreign)
	}
}

// Guards against events of a replica with IDs of its own that are taken for whole with another ID, and against a
// continuation that does not begin with the event after the named ID.
func TestEventsHaveTheIDsOfTheirReplica(t *testing.T) {
	g := gomega.NewWithT(t)
	ids := EventIDs{3, 6, 7, 12}
	first := StreamEvent{Number: 3, ID: 7, Request: "r1", Incarnation: "i-1", Run: 4, After: 6}
	events, rest, err := ParseEvents(first.Text()+StreamEvent{Number: 4, ID: 12, Request: "r1"}.Text(), ids)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(rest).To(gomega.BeEmpty())
	g.Expect(events).To(gomega.Equal([]StreamEvent{first, {Number: 4, ID: 12, Request: "r1"}}))
	for _, foreign := range []StreamEvent{{Number: 3, ID: 3, Request: "r1"}, {Number: 5, ID: 13, Request: "r1"}, {Number: 0, ID: 0, Request: "r1"}} {
		_, _, err := ParseEvents(foreign.Text(), ids)
		g.Expect(err).To(gomega.HaveOccurred(), "%v", foreign)
	}
	for _, test := range []struct{ lastID, count int }{{0, 0}, {3, 1}, {6, 2}, {11, 3}, {12, 4}, {40, 4}} {
		g.Expect(ids.countUpTo(test.lastID)).To(gomega.Equal(test.count), "after %d", test.lastID)
	}
	last := StreamEvent{Number: 4, ID: 12, Request: "r1"}
	for cut := range first.Text() {
		g.Expect(StreamEvent{Number: 3, ID: 7, Request: "r1"}.HasBeginning(first.Text()[:cut])).To(gomega.BeTrue(), "cut at %d", cut)
	}
	for _, foreign := range []string{"id: 13", "id: 12\ndata: part 3", "hello", ": hello", VersionComment + "v1\nhello"} {
		g.Expect(last.HasBeginning(foreign)).To(gomega.BeFalse(), "%q", foreign)
	}
	g.Expect(EventIDs(nil).countUpTo(2)).To(gomega.Equal(2))
}

// Guards against a replica whose report does not tell the start of its process, or that has one without being set to.
func TestReportTellsTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, givesReports := range []bool{true, false} {
		client, server := net.Pipe()
		replica := &Replica{ID: "i-1", GivesReports: givesReports, StartedAt: 1234}
		go replica.serveConn(server)
		go func() { _, _ = io.WriteString(client, "GET /api/report HTTP/1.1\r\nHost: i-1\r\n\r\n") }()
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if givesReports {
			g.Expect(string(body)).To(gomega.ContainSubstring(`"born":1234`))
			g.Expect(replica.Reports()).To(gomega.Equal(1))
		} else {
			g.Expect(response.StatusCode).To(gomega.Equal(http.StatusMisdirectedRequest))
		}
		_ = client.Close()
	}
}
