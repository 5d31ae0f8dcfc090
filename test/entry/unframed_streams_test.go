package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Streams without a length and without chunks end with their connection. One that ends inside an event, or by a
// reset, was broken off.

// firstSend applies one behavior to the first send of a stream, and another one to its continuation.
func firstSend(first, continuation platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	return func(request *http.Request) platformsim.Behavior {
		if request.Header.Get("Last-Event-Id") == "" {
			return first
		}
		return continuation
	}
}

// Guards against a stream without framing that is cut off and looks complete, or is complete and looks cut off.
func TestStreamsWithoutFramingAreWholeOrBrokenOff(t *testing.T) {
	for name, testCase := range map[string]struct {
		route               string
		first, continuation platformsim.Behavior
		complete            bool
	}{
		"whole":                                 {"stream", platformsim.Unframed, platformsim.Unframed, true},
		"ends inside an event":                  {"stream", platformsim.UnframedCut, platformsim.Unframed, false},
		"goes on after the end inside an event": {"resume", platformsim.UnframedCut, platformsim.Answer, true},
		"a continuation without framing":        {"resume", platformsim.Cut, platformsim.Unframed, true},
		"both without framing":                  {"resume", platformsim.UnframedCut, platformsim.Unframed, true},
		"both end inside an event":              {"resume", platformsim.UnframedCut, platformsim.UnframedCut, false},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setBehavior(s.engines, firstSend(testCase.first, testCase.continuation))
				got := s.do("n1", http.MethodPost, "/"+testCase.route+"/x", nil)
				s.Expect(got.status).To(gomega.Equal(http.StatusOK))
				s.Expect(got.complete).To(gomega.Equal(testCase.complete))
				events := 3
				if testCase.complete {
					events = 6
				}
				s.Expect(got.body).To(gomega.Equal(streamBody(got, events)))
			})
		})
	}
}

// Guards against a stream without framing whose end is lost, or invented, on the way over a forwarder.
func TestForwardedStreamsWithoutFramingAreWholeOrBrokenOff(t *testing.T) {
	for behavior, complete := range map[platformsim.Behavior]bool{platformsim.Unframed: true, platformsim.UnframedCut: false} {
		runPathScenario(t, func(s *pathScenario) {
			s.cutAndDetect(fleetHosts[:1], memnet.CutReset)
			s.setBehavior(s.engines, always(behavior))
			got := s.do(fleetHosts[0], http.MethodPost, "/stream/x", nil)
			s.Expect(got.status).To(gomega.Equal(http.StatusOK))
			s.Expect(got.complete).To(gomega.Equal(complete))
		})
	}
}

// Guards against a stream without framing that is reset between two events and looks complete.
func TestStreamWithoutFramingThatIsResetIsBrokenOff(t *testing.T) {
	runPathScenario(t, func(s *pathScenario) {
		s.setBehavior(s.engines, always(platformsim.Unframed))
		started := time.Now()
		time.AfterFunc(s.engines[0].Step*5/2, func() { s.fabric.CutPaths(fleetHosts[:1], s.replicaHosts, memnet.CutReset) })
		got := s.do(fleetHosts[0], http.MethodPost, "/stream/x", nil)
		s.Expect(time.Since(started)).To(gomega.BeNumerically("<", time.Second))
		s.Expect(got.status).To(gomega.Equal(http.StatusOK))
		s.Expect(got.complete).To(gomega.BeFalse())
	})
}
