package entry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

const (
	// equalPairs is the number of pairs of streams with the same content in a course.
	equalPairs = 60
	// equalEngines is the number of engines, half of which have the second version.
	equalEngines    = 4
	minResumedEqual = 10
	// equalPause lets the engines be used again after they rejected requests.
	equalPause = time.Second
)

// resumableStream sends a stream, or resumes it after the event, at the node. It names the request that began it unless that is
// empty.
func (s *scenario) resumableStream(node, id, path, body string, after int, first string) reply {
	return s.do(node, http.MethodPost, path, func(request *http.Request) {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		request.Header.Set("X-Attempt-Id", id)
		if after > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(after))
		}
		if first != "" {
			request.Header.Set("Resumes", first)
		}
	})
}

// runWithNodes runs the test with the number of nodes in three zones, and with engines of two versions. Streams whose request
// has an ID that begins with "whole" run at the first version, and those with "broken" at the second one, which breaks them off.
func runWithNodes(t *testing.T, nodes int, test func(s *scenario, nodes []string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{WithT: gomega.NewWithT(t), fabric: memnet.New()}
		var names []string
		for i := range nodes {
			names = append(names, fmt.Sprint("n", i+1))
		}
		s.start(names, threeZones, nil)
		for i := range equalEngines {
			replica := &platformsim.Replica{ID: fmt.Sprint("i-m", i), Service: "engines", Zone: "east", Version: fmt.Sprint("v", i%2+1), Slots: 4, Events: 6, Step: 60 * time.Millisecond}
			replica.SetBehavior(func(request *http.Request) platformsim.Behavior {
				id := request.Header.Get("X-Attempt-Id")
				isWhole, isBroken := strings.HasPrefix(id, "whole"), strings.HasPrefix(id, "broken")
				switch {
				case isWhole && replica.Version == "v2" || isBroken && replica.Version == "v1":
					return platformsim.Shed
				case isBroken:
					return platformsim.Cut
				}
				return platformsim.Answer
			})
			s.Expect(s.deployment.AddReplica(fmt.Sprint("m", i), replica)).To(gomega.Succeed())
		}
		s.awaitReady()
		defer s.stop(names)
		time.Sleep(2 * time.Second)
		test(s, names)
	})
}

// Guards against a stream that goes on at the version of another one with the same content, although no record is lost: the
// node at which it is resumed relayed the other one and does not keep this one, or asks a keeper that knows the other one
// only. The other one may be the caller's own try before.
func TestStreamsOfTheSameContentAreNotTakenForEachOther(t *testing.T) {
	for _, count := range []int{3, 9, 15} {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			t.Parallel()
			runWithNodes(t, count, func(s *scenario, nodes []string) {
				mixed, wentOn, resumed := 0, 0, 0
				for i := range equalPairs {
					time.Sleep(equalPause)
					body := fmt.Sprint("content ", i)
					node := func(offset int) string { return nodes[(i+offset)%len(nodes)] }
					s.Expect(s.resumableStream(node(0), fmt.Sprint("whole", i), "/resume/", body, 0, "").status).To(gomega.Equal(http.StatusOK))
					began := s.resumableStream(node(1), fmt.Sprint("broken", i), "/resume/", body, 0, "")
					events := platformsim.ReadEvents(began.body)
					if events.LastID == 0 {
						continue
					}
					resumed++
					rest := platformsim.ReadEvents(s.resumableStream(node(0), fmt.Sprint("again", i), "/resume/", body, events.LastID, "").body)
					if rest.Count > 0 {
						wentOn++
					}
					if events.Add(rest); len(events.Versions) > 1 {
						mixed++
					}
				}
				t.Logf("of %d resumed streams %d went on, %d hold events of two versions", resumed, wentOn, mixed)
				s.Expect(resumed).To(gomega.BeNumerically(">", minResumedEqual))
				s.Expect(mixed).To(gomega.Equal(0), "streams with events of two versions")
			})
		})
	}
}

// Guards against a stream whose caller names the request that began it and that is refused all the same, as the request that
// resumes it has another body, for example none: then other nodes are asked than those that keep its record.
func TestNamedStreamGoesOnWhateverItsCallerSendsWithIt(t *testing.T) {
	runWithNodes(t, 40, func(s *scenario, nodes []string) {
		wentOn, resumed := 0, 0
		for i := range equalPairs / 3 {
			time.Sleep(equalPause)
			node := func(offset int) string { return nodes[(i+offset)%len(nodes)] }
			id := fmt.Sprint("broken", i)
			events := platformsim.ReadEvents(s.resumableStream(node(1), id, "/resume/", fmt.Sprint("content ", i), 0, "").body)
			if events.LastID == 0 {
				continue
			}
			resumed++
			rest := platformsim.ReadEvents(s.resumableStream(node(0), fmt.Sprint("again", i), "/resume/", "", events.LastID, id).body)
			if rest.Count > 0 {
				wentOn++
			}
			events.Add(rest)
			s.Expect(events.Versions).To(gomega.HaveLen(1))
		}
		t.Logf("of %d resumed streams %d went on", resumed, wentOn)
		s.Expect(resumed).To(gomega.BeNumerically(">", minResumedEqual))
		s.Expect(wentOn).To(gomega.Equal(resumed))
	})
}

// Guards against a stream that goes on at another version because the kind of its route was changed since it began: what its
// caller resumes is not checked on a route of another kind.
func TestStreamIsNotResumedUncheckedOnARouteOfAnotherKind(t *testing.T) {
	runWithNodes(t, 3, func(s *scenario, nodes []string) {
		var began []platformsim.Events
		for i := range equalPairs / 3 {
			time.Sleep(equalPause / 10)
			began = append(began, platformsim.ReadEvents(s.resumableStream("n1", fmt.Sprint("broken", i), "/resume/", fmt.Sprint("content ", i), 0, "").body))
		}
		s.configure(func(configuration *entrylab.Configuration) {
			for i := range configuration.Routes {
				if configuration.Routes[i].Name == "resume" {
					configuration.Routes[i].Kind = "safe"
				}
			}
		})
		time.Sleep(time.Second)
		mixed, resumed := 0, 0
		for i, events := range began {
			if events.LastID == 0 {
				continue
			}
			resumed++
			events.Add(platformsim.ReadEvents(s.resumableStream("n2", fmt.Sprint("again", i), "/resume/", fmt.Sprint("content ", i), events.LastID, fmt.Sprint("broken", i)).body))
			if len(events.Versions) > 1 {
				mixed++
			}
		}
		t.Logf("of %d resumed streams %d hold events of two versions", resumed, mixed)
		s.Expect(resumed).To(gomega.BeNumerically(">", 0))
		s.Expect(mixed).To(gomega.Equal(0))
	})
}
