package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
)

// Streams over connections that a peer forwards, while that peer is silent or stops by order.

const (
	forwardedStreams = 9
	forwardedStep    = 250 * time.Millisecond
)

// startForwarded starts long streams on the path at the node without a path to replicas, and returns the nodes that
// forward them. The returned function waits for the replies.
func (s *pathScenario) startForwarded(node, path string) (forwarders []string, await func() []reply) {
	s.configure(func(configuration *entrylab.Configuration) {
		for i := range configuration.Routes {
			configuration.Routes[i].Timeout = 8000
		}
	})
	s.cutAndDetect([]string{node}, memnet.CutReset)
	for _, engine := range s.engines {
		engine.Step = forwardedStep
	}
	replies := make([]reply, forwardedStreams)
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() { replies[i] = s.do(node, http.MethodPost, path, deadline("8000")) })
	}
	time.Sleep(100 * time.Millisecond)
	for _, name := range fleetHosts {
		if s.deployment.Node(name).Status().Forwarding > 0 {
			forwarders = append(forwarders, name)
		}
	}
	s.Expect(forwarders).NotTo(gomega.BeEmpty())
	return forwarders, func() []reply {
		group.Wait()
		return replies
	}
}

// Guards against streams that may not go on elsewhere and are cut because the peer that forwards them was silent for a
// while and went on.
func TestForwardedStreamsSurviveTheSilenceOfTheirForwarders(t *testing.T) {
	for _, silentFor := range []time.Duration{time.Second, 1600 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint(silentFor), func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				forwarders, await := s.startForwarded(fleetHosts[0], "/stream/")
				for _, node := range forwarders {
					s.fabric.Pause(node)
				}
				time.Sleep(silentFor)
				for _, node := range forwarders {
					s.fabric.Resume(node)
				}
				for _, got := range await() {
					s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
					s.Expect(got.body).To(gomega.Equal(streamBody(got, s.engines[0].Events)), fmt.Sprint("after ", got.took))
				}
			})
		})
	}
}

// Guards against a planned stop that cuts the streams that the node forwards for a peer.
func TestForwardedStreamsSurviveThePlannedStopOfTheirForwarders(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			runPathScenario(t, func(s *pathScenario) {
				for _, engine := range s.engines {
					engine.Events = 20 // 5 s, longer than idle connections are kept open in a stop
				}
				forwarders, await := s.startForwarded(fleetHosts[0], path)
				var group sync.WaitGroup
				for _, node := range forwarders {
					group.Go(s.deployment.Node(node).Stop)
				}
				for _, got := range await() {
					s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
					s.Expect(got.body).To(gomega.Equal(streamBody(got, s.engines[0].Events)), fmt.Sprint("after ", got.took))
				}
				group.Wait()
				for _, event := range s.loggedEvents("request.sent") {
					s.Expect(event.Reason).NotTo(gomega.Equal("forwarder-lost"), event.Request)
				}
			})
		})
	}
}
