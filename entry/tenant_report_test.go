package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

// serveAsEarlierVersion answers pings and closes a connection with any other message, as a node does whose
// version doesn't know the kind of the message.
func serveAsEarlierVersion(listener net.Listener, opened *atomic.Int64) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		opened.Add(1)
		go func() {
			defer connection.Close()
			for {
				envelope, _, err := peerwire.ReadFrame(connection)
				if err != nil || envelope.Kind != peerwire.KindProbe {
					return
				}
				envelope.Reply = true
				if _, err := peerwire.WriteFrame(connection, envelope); err != nil {
					return
				}
			}
		}()
	}
}

// Guards against a report that breaks the connection of the assignments, if the scheduling node has an
// earlier version, and against an unclear answer.
func TestTenantReportOfAnEarlierVersionKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fabric := memnet.New()
		listener, err := fabric.Host("n2").Listen("n2:7600")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var opened atomic.Int64
		go serveAsEarlierVersion(listener, &opened)
		node := New(&Settings{Name: "n1"}, Dependencies{Network: fabric.Host("n1")})
		defer node.scheduling.timer.Stop()
		for asked := range int64(3) {
			_, err = node.askTenantReport(node.ctx, "n2", "n2:7600", &tenantReportRequest{})
			g.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("n2 closed the connection"), gomega.ContainSubstring("once all nodes are updated"))))
			g.Expect(opened.Load()).To(gomega.Equal(1 + asked + 1))
		}
		g.Expect(node.peers.Ping(node.ctx, "n2:7600")).To(gomega.Succeed())
		g.Expect(opened.Load()).To(gomega.BeNumerically("==", 4), "the connection of the assignments is still the first one")
		node.peers.Close()
		g.Expect(listener.Close()).To(gomega.Succeed())
	})
}

// Guards against rejections that a node decided on its own, as no scheduling node answered it, and that
// nobody can explain, and against a follower that answers others as if it scheduled.
func TestRejectionsOfANodeOnItsOwnAreExplainedThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		fabric := memnet.New()
		node := New(&Settings{Name: "n1"}, Dependencies{Network: fabric.Host("n1")})
		defer node.scheduling.timer.Stop()
		request := statsRequest("1", "a")
		request.Repeat = true
		_, rejected := node.scheduling.submit(request)
		g.Expect(rejected.Reason).To(gomega.Equal(reasonRetryBudget))
		node.members.Observe(0, liveness.Heartbeat{Name: "n2", Address: "n2:7600", IntervalMS: 100})
		node.scheduler = "n2"
		report, err := node.tenantReport(node.ctx, &tenantReportRequest{Request: "caller-1"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(report)).To(gomega.ContainSubstring(`"scheduler":"n1"`))
		for _, query := range []string{"", "caller-2"} {
			_, err = node.tenantReport(node.ctx, &tenantReportRequest{Request: query})
			g.Expect(errors.Is(err, errkind.PeerUnavailable)).To(gomega.BeTrue(), query)
			g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("the scheduling node n2 gave no report")))
		}
		_, err = node.serveTenantReport(node.ctx, &tenantReportRequest{})
		g.Expect(errors.Is(err, errkind.PeerUnavailable)).To(gomega.BeTrue())
		g.Expect(err).To(gomega.MatchError("it does not schedule any more, n2 does"))
		node.peers.Close()
	})
}

// Guards against callers' IDs of requests that the router takes for paths to shorten, so that their
// rejections are not found.
func TestRequestsAreExplainedByAnyID(t *testing.T) {
	g := gomega.NewWithT(t)
	node := New(&Settings{Name: "n1"}, Dependencies{})
	defer node.scheduling.timer.Stop()
	for i, id := range []string{"a/b", "a//b", "/a", "a/../b", "..", "50%?#"} {
		request := statsRequest(fmt.Sprint(i), "a")
		request.Repeat, request.RequestID = true, id
		_, rejected := node.scheduling.submit(request)
		g.Expect(rejected).NotTo(gomega.BeNil())
		recorder := httptest.NewRecorder()
		node.operatorsHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, PathExplain+url.PathEscape(id), nil))
		g.Expect(recorder.Code).To(gomega.Equal(http.StatusOK), id)
		var found Rejections
		g.Expect(json.Unmarshal(recorder.Body.Bytes(), &found)).To(gomega.Succeed())
		g.Expect(found.Rejections).To(gomega.HaveLen(1))
		g.Expect(found.Rejections[0].Request).To(gomega.Equal(id))
	}
}
