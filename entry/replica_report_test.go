package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/incarnations"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/platform"
	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/state/streamorigins"
)

// reportNetwork connects to a replica that answers each request with the answer, or closes the connection if that is
// empty; with silence it answers nothing.
type reportNetwork struct {
	answer   string
	isSilent bool
}

// dialTime is how long a connect takes.
const dialTime = time.Millisecond

func (r *reportNetwork) Listen(string) (net.Listener, error) { return nil, errors.ErrUnsupported }

func (r *reportNetwork) Dial(context.Context, string) (net.Conn, error) {
	time.Sleep(dialTime)
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		reader := bufio.NewReader(theirs)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if r.isSilent {
				_, _ = io.Copy(io.Discard, reader)
				return
			}
			if r.answer == "" {
				return
			}
			_, _ = io.WriteString(theirs, r.answer)
		}
	}()
	return ours, nil
}

// Guards against a stream that goes on at a replica whose report does not show that it is the incarnation of the known
// entry, and against one that can't go on although it does.
func TestStreamsGoOnWhereTheReportShowsTheIncarnation(t *testing.T) {
	const same = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":7}"
	for name, testCase := range map[string]struct {
		network reportNetwork
		// isAssumed is true if the node has a recent view.
		isAssumed bool
		proof     incarnations.Proof
		isAsked   bool
	}{
		"the same start":           {reportNetwork{answer: same}, false, incarnations.ProofReport, true},
		"another start":            {reportNetwork{answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"born\":8}"}, true, incarnations.ProofNone, true},
		"silent":                   {reportNetwork{isSilent: true}, true, incarnations.ProofNone, false},
		"closes":                   {reportNetwork{}, true, incarnations.ProofNone, false},
		"closes after each answer": {reportNetwork{answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\n{\"born\":7}"}, true, incarnations.ProofUnbroken, true},
		"no reports":               {reportNetwork{answer: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"}, false, incarnations.ProofNone, false},
		"no reports, assumed":      {reportNetwork{answer: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"}, true, incarnations.ProofAssumedUnbroken, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", Address: "a:1", StartedAt: 7}
				network := testCase.network
				log := eventlog.New("self", nil)
				defer log.Close()
				n := New(&Settings{Name: "self", Zone: "east"}, Dependencies{
					Network: &network, Log: log, Headers: platform.Headers(), ReportPath: platform.ReportPath, ParseReport: platform.ParseReport,
				})
				n.table.Put(replica)
				if testCase.isAssumed {
					n.identities.ObserveView(n.now())
				}
				c := &call{node: n, ctx: t.Context()}
				granted := &grant{assignReply: &assignReply{Replica: replica}, origin: streamorigins.Origin{Service: "engines", Version: "v1"}}
				conn, err := c.connectProven(granted, time.Second)
				g.Expect(err == nil).To(gomega.Equal(testCase.proof != incarnations.ProofNone))
				if err == nil {
					defer func() { _ = conn.Close() }()
					g.Expect(c.identity.Proof).To(gomega.Equal(testCase.proof))
				} else {
					g.Expect(errors.Is(err, errUnproven)).To(gomega.BeTrue())
				}
				n.mutex.Lock()
				defer n.mutex.Unlock()
				g.Expect(n.givesReportsLocked(replica)).To(gomega.Equal(testCase.isAsked), "is asked again at once")
			})
		})
	}
}

// refusingNetwork refuses all connections.
type refusingNetwork struct{ reportNetwork }

func (*refusingNetwork) Dial(context.Context, string) (net.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

// Guards against a stream that goes on, over a connection that a peer forwards, at a replica whose address has refused a
// connection outside of a request.
func TestRefusedProbeOfAPathIsADoubt(t *testing.T) {
	g := gomega.NewWithT(t)
	log := eventlog.New("self", nil)
	defer log.Close()
	replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", Address: "a:1", StartedAt: 7}
	n := New(&Settings{Name: "self", Zone: "east"}, Dependencies{Network: &refusingNetwork{}, Log: log})
	n.table.Put(replica)
	_, err := n.dialReplica(t.Context(), replica, time.Second)
	g.Expect(err).To(gomega.HaveOccurred())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	g.Expect(n.verdictLocked(incarnations.Connection{Incarnation: incarnations.Of(replica), OpenedAt: n.now()}).DoubtAge).To(gomega.BeNumerically(">", 0))
}

// Guards against queries and waits for requests of which no caller has an event.
func TestNewStreamsNeedNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		replica := replicas.Replica{ID: "first", Service: "engines", Version: "v1", Address: "a:1", StartedAt: 7}
		n := New(&Settings{Name: "self", Zone: "east"}, Dependencies{Network: &reportNetwork{isSilent: true}, ReportPath: platform.ReportPath, ParseReport: platform.ParseReport})
		n.table.Put(replica)
		n.identities.Doubt(n.now(), incarnations.Of(replica))
		c := &call{node: n, ctx: t.Context()}
		began := time.Now()
		conn, err := c.connectProven(&grant{assignReply: &assignReply{Replica: replica}}, time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(time.Since(began)).To(gomega.Equal(dialTime))
		_ = conn.Close()
	})
}
