package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Guards against changes to a forwarded request or its response, and against a caller's key
// that reaches a replica.
func TestPlainResponseIsCompleteWithRequiredHeaders(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, node := range hosts {
			got := s.do(node, http.MethodPost, "/once/a/b?x=1", nil)
			s.Expect(got.status).To(gomega.Equal(200))
			s.Expect(got.body).To(gomega.Equal(platformsim.PlainBody(got.header.Get("X-Attempt-Id"))))
			s.Expect(got.header.Get("X-Server-Stamp")).NotTo(gomega.BeEmpty())
		}
		runs := append(s.plainReplicas[0].Runs(), s.plainReplicas[1].Runs()...)
		s.Expect(runs).To(gomega.HaveLen(3))
		for _, run := range runs {
			s.Expect(run.Target).To(gomega.Equal("/once/a/b?x=1"))
			s.Expect(run.Tenant).To(gomega.Equal("office"))
			s.Expect(run.Authorization).To(gomega.BeEmpty())
			s.Expect(run.Body).To(gomega.Equal("body of " + run.ID))
			s.Expect(run.Deadline).To(gomega.And(gomega.BeNumerically("<=", 3*time.Second), gomega.BeNumerically(">", 2*time.Second)))
		}
	})
}

func TestStreamDeliversAllEventsInOrder(t *testing.T) {
	runScenario(t, func(s *scenario) {
		got := s.do("n1", http.MethodPost, "/stream/x", nil)
		s.Expect(got.status).To(gomega.Equal(200))
		s.Expect(got.body).To(gomega.Equal(streamBody(got, 6)))
	})
}

// streamBody returns the body of a stream of count events in answer to the request of the reply.
func streamBody(got reply, count int) string {
	var text strings.Builder
	for number := 1; number <= count; number++ {
		text.WriteString(platformsim.Event(got.header.Get("X-Attempt-Id"), number))
	}
	return text.String()
}

// Guards against requests without a route, with an unknown key or with too large a body that
// reach a replica.
func TestInvalidRequestsAreRejectedBeforeAnyReplica(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.Expect(s.do("n1", http.MethodGet, "/nowhere/", nil).status).To(gomega.Equal(404))
		wrongKey := s.do("n1", http.MethodGet, "/safe/", func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") })
		s.Expect(wrongKey.status).To(gomega.Equal(401))
		large := s.do("n1", http.MethodPost, "/once/", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), 2<<20
		})
		s.Expect(large.status).To(gomega.Or(gomega.Equal(413), gomega.Equal(0)))
		s.Expect(s.runCounts()).To(gomega.BeEmpty())
	})
}

// Guards against a rejection by one replica that reaches the caller while another one is free.
func TestRequestRejectedByAReplicaIsRetriedElsewhere(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setBehavior(s.plainReplicas, firstOnly(platformsim.Shed))
		got := s.do("n1", http.MethodPost, "/once/", nil)
		s.Expect(got.status).To(gomega.Equal(200))
		s.setBehavior(s.plainReplicas, always(platformsim.Shed))
		rejected := s.do("n1", http.MethodPost, "/once/", nil)
		s.Expect(rejected.status).To(gomega.Equal(503))
		s.Expect(rejected.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(rejected.took).To(gomega.BeNumerically("<", 1500*time.Millisecond))
		s.Expect(s.runCounts()).To(gomega.HaveLen(1))
	})
}

// Guards against a request that runs twice though its route is unsafe.
func TestUnsafeRequestIsNotRetried(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{"reset": platformsim.Reset, "cut": platformsim.Cut, "unsigned": platformsim.Unsigned} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setBehavior(s.plainReplicas, always(behavior))
				s.setBehavior(s.engines, always(behavior))
				got := s.do("n1", http.MethodPost, "/once/", nil)
				s.Expect(got.status).To(gomega.Equal(502))
				for id, count := range s.runCounts() {
					s.Expect(count).To(gomega.Equal(1), id)
				}
			})
		})
	}
}

// Guards against failures of one replica that reach callers of a safe route, and against more
// attempts than the route allows.
func TestSafeRequestIsRetriedWithinItsAttempts(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{
		"reset": platformsim.Reset, "cut": platformsim.Cut, "failed": platformsim.Fail, "silent": platformsim.Silent, "unsigned": platformsim.Unsigned,
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.plainReplicas[0].SetBehavior(always(behavior))
				for range 4 {
					got := s.do("n1", http.MethodGet, "/safe/", nil)
					s.Expect(got.status).To(gomega.Equal(200))
				}
				for id, count := range s.runCounts() {
					s.Expect(count).To(gomega.BeNumerically("<=", 2), id)
				}
			})
		})
	}
}

// Guards against a stray response on a connection that is taken for the next request's.
func TestResponseToAnotherRequestIsNotForwarded(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{"before": platformsim.Stray, "behind": platformsim.Surplus, "unframed": platformsim.Unframed} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setBehavior(s.plainReplicas, always(behavior))
				for range 5 {
					got := s.do("n1", http.MethodPost, "/once/", nil)
					s.Expect(got.status).To(gomega.Equal(200))
					s.Expect(got.body).To(gomega.Equal(platformsim.PlainBody(got.header.Get("X-Attempt-Id"))))
				}
			})
		})
	}
}

// Guards against a truncated stream that ends as if it were complete.
func TestBrokenStreamIsNotForwardedAsComplete(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setBehavior(s.engines, always(platformsim.Cut))
		got := s.do("n1", http.MethodPost, "/stream/", nil)
		s.Expect(got.complete).To(gomega.BeFalse())
		s.Expect(got.body).NotTo(gomega.BeEmpty())
		s.Expect(streamBody(got, 6)).To(gomega.HavePrefix(got.body))
	})
}

// Guards against lost or repeated events when a stream is resumed at another replica.
func TestResumableStreamContinuesAtAnotherReplica(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{"cut": platformsim.Cut, "reset": platformsim.Reset, "silent": platformsim.Silent} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setBehavior(s.engines, firstAtAnyReplica(behavior))
				got := s.do("n1", http.MethodPost, "/resume/", nil)
				s.Expect(got.status).To(gomega.Equal(200))
				s.Expect(got.complete).To(gomega.BeTrue())
				s.Expect(got.body).To(gomega.Equal(streamBody(got, 6)))
			})
		})
	}
}

// firstAtAnyReplica applies the behavior to the first request over all replicas that share it.
func firstAtAnyReplica(behavior platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	return firstOnly(behavior)
}

// Guards against a quota that each node grants by itself.
func TestQuotaIsSharedByAllNodes(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.configure(func(c *entrylab.Configuration) { c.Tenants[0].Rate, c.Tenants[0].Burst = 10, 30 })
		time.Sleep(500 * time.Millisecond)
		answered, rejected := 0, 0
		for i := range 60 {
			switch got := s.do(hosts[i%3], http.MethodGet, "/safe/", nil); got.status {
			case 200:
				answered++
			case 429:
				rejected++
				s.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			default:
				t.Errorf("status %d", got.status)
			}
		}
		s.Expect(rejected).To(gomega.BeNumerically(">", 30))
		s.Expect(answered).To(gomega.BeNumerically(">=", 3))
		s.Expect(len(s.runCounts())).To(gomega.Equal(answered))
	})
}

// Guards against more requests at an engine than it has slots, and against urgent requests
// that are queued behind others.
func TestSlotsAreNotExceededAndUrgentRequestsGoFirst(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.configure(func(c *entrylab.Configuration) {
			for i := range c.Routes {
				c.Routes[i].Target = 1500
			}
		})
		time.Sleep(500 * time.Millisecond)
		type ended struct {
			path string
			got  reply
		}
		done := make(chan ended, 30)
		send := func(node, path string) {
			go func() { done <- ended{path, s.do(node, http.MethodPost, path, nil)} }()
		}
		for i := range 12 {
			send(hosts[i%3], "/late/")
		}
		time.Sleep(20 * time.Millisecond)
		for i := range 4 {
			send(hosts[i%3], "/stream/")
		}
		urgent, lessUrgent := 0, 0
		for range 16 {
			switch end := <-done; {
			case end.path == "/stream/" && end.got.status == 200:
				urgent++
			case end.got.status == 200:
				lessUrgent++
			case end.path == "/stream/":
				t.Errorf("urgent request: status %d after %v, body %q, header %v", end.got.status, end.got.took, end.got.body, end.got.header)
			default:
				s.Expect(end.got.status).To(gomega.Equal(503), fmt.Sprint(end))
			}
		}
		s.Expect(urgent).To(gomega.Equal(4))
		s.Expect(lessUrgent).To(gomega.BeNumerically(">", 2))
		for _, engine := range s.engines {
			s.Expect(engine.MaxConcurrent()).To(gomega.BeNumerically("<=", 2))
		}
	})
}

// Guards against requests that keep running at a replica after their caller has left.
func TestRequestIsCancelledAtTheReplicaWhenTheCallerLeaves(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setBehavior(s.engines, always(platformsim.Silent))
		client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DialContext: s.dialFromCaller, DisableKeepAlives: true}}
		request, _ := http.NewRequest(http.MethodPost, "http://"+entrylab.CallersAddress("n1")+"/stream/", strings.NewReader("x"))
		request.Host = "service.example"
		request.Header.Set("X-Attempt-Id", "leaver")
		request.Header.Set("Authorization", "Bearer key-1")
		_, err := client.Do(request)
		s.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(300 * time.Millisecond)
		runs := append(s.engines[0].Runs(), s.engines[1].Runs()...)
		s.Expect(runs).To(gomega.HaveLen(1))
		s.Expect(runs[0].Cancelled).To(gomega.BeTrue())
	})
}

func TestStatusAndMetricsAreServedToOperators(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.do("n1", http.MethodGet, "/safe/", nil)
		s.do("n1", http.MethodGet, "/nowhere/", nil)
		getAsOperator := func(path string) reply {
			request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress("n1")+path, nil)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			return s.send(request)
		}
		s.Expect(getAsOperator("/status").body).To(gomega.And(gomega.ContainSubstring(`"configuration_version":1`), gomega.ContainSubstring(`"ready":true`)))
		metrics := getAsOperator("/metrics").body
		for _, line := range []string{
			"thornwalk_requests_answered 1\n", "thornwalk_ended_no_route 1\n", "thornwalk_sends_answered 1\n",
			`thornwalk_request_ms_answered{quantile="0.99"} 20` + "\n", "thornwalk_place_wait_ms_count 1\n",
			"thornwalk_news_sending_bytes 0\n",
		} {
			s.Expect(metrics).To(gomega.ContainSubstring(line))
		}
		s.Expect(metrics).To(gomega.MatchRegexp(`thornwalk_memory_heap_bytes [1-9]`))
		s.Expect(metrics).To(gomega.MatchRegexp(`thornwalk_memory_held_bytes [1-9]`))
	})
}
