package entry

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/state/catalog"
)

// Guards against the events of a request that looks for a successor again and again, which must stay bounded.
func TestSearchesKeepBufferedEventsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &call{}
	for range 10 * maxBufferedEvents {
		c.countSearch(searchResult{refusal: "backlog", events: []eventlog.Event{{Kind: "request.placed"}}})
	}
	g.Expect(len(c.bufferedEvents)).To(gomega.BeNumerically("<=", maxBufferedEvents))
}

// Guards against a timer that fired just before the replica sent something, and whose function runs only after the call
// has begun to wait again: the replica is not silent.
func TestLateTimerDoesNotBeginASearch(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &call{node: newForwardingNode(), ctx: context.Background(), route: &catalog.Route{Kind: catalog.KindStreaming, Resumable: true, MaxAttempts: 3}}
	c.silence = &silenceWatch{call: c}
	c.silence.setCurrent(func() {})
	c.silence.wait(time.Hour)
	g.Expect(c.silence.received()).To(gomega.BeTrue())
	c.silence.wait(time.Hour)
	defer c.silence.interrupted()
	c.silence.mutex.Lock()
	defer c.silence.mutex.Unlock()
	g.Expect(c.silence.beginSearch()).To(gomega.BeNil())
}

// Guards against the log of a request that names a refusal although another replica got the request afterwards.
func TestRefusalBeforeASuccessorIsNotReported(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &call{node: newForwardingNode(), ctx: context.Background()}
	c.silence = &silenceWatch{call: c, searched: make(chan struct{})}
	close(c.silence.searched)
	c.silence.setCurrent(func() {})
	c.silence.searchResults = []searchResult{{refusal: "backlog"}}
	token := c.silence.handover.RequestSuccessor()
	g.Expect(c.silence.maySend(token)).To(gomega.BeTrue())
	g.Expect(c.silence.takeOver(token, &send{})).To(gomega.BeTrue())
	g.Expect(c.silence.next()).NotTo(gomega.BeNil())
	g.Expect(c.retryRefusal).To(gomega.BeEmpty())
}
