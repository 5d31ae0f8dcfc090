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

func TestPlainAnswerIsWholeAndCarriesWhatItMust(t *testing.T) {
	play(t, func(s *scene) {
		for _, node := range hosts {
			got := s.get(node, http.MethodPost, "/once/a/b?x=1", nil)
			s.Expect(got.status).To(gomega.Equal(200))
			s.Expect(got.body).To(gomega.Equal(platformsim.PlainBody(got.header.Get("X-Attempt-Id"))))
			s.Expect(got.header.Get("X-Server-Stamp")).NotTo(gomega.BeEmpty())
		}
		runs := append(s.plain[0].Runs(), s.plain[1].Runs()...)
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

func TestStreamComesEventByEvent(t *testing.T) {
	play(t, func(s *scene) {
		got := s.get("n1", http.MethodPost, "/stream/x", nil)
		s.Expect(got.status).To(gomega.Equal(200))
		s.Expect(got.body).To(gomega.Equal(events(got, 6)))
	})
}

func events(got reply, count int) string {
	var text strings.Builder
	for number := 1; number <= count; number++ {
		text.WriteString(platformsim.Event(got.header.Get("X-Attempt-Id"), number))
	}
	return text.String()
}

func TestRefusalsBeforeAReplica(t *testing.T) {
	play(t, func(s *scene) {
		s.Expect(s.get("n1", http.MethodGet, "/nowhere/", nil).status).To(gomega.Equal(404))
		wrongKey := s.get("n1", http.MethodGet, "/safe/", func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") })
		s.Expect(wrongKey.status).To(gomega.Equal(401))
		large := s.get("n1", http.MethodPost, "/once/", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), 2<<20
		})
		s.Expect(large.status).To(gomega.Or(gomega.Equal(413), gomega.Equal(0)))
		s.Expect(s.allRuns()).To(gomega.BeEmpty())
	})
}

func TestProvenRejectionIsTriedElsewhere(t *testing.T) {
	play(t, func(s *scene) {
		s.onAll(s.plain, first(platformsim.Shed))
		got := s.get("n1", http.MethodPost, "/once/", nil)
		s.Expect(got.status).To(gomega.Equal(200))
		s.onAll(s.plain, always(platformsim.Shed))
		refused := s.get("n1", http.MethodPost, "/once/", nil)
		s.Expect(refused.status).To(gomega.Equal(503))
		s.Expect(refused.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(refused.took).To(gomega.BeNumerically("<", 1500*time.Millisecond))
		s.Expect(s.allRuns()).To(gomega.HaveLen(1))
	})
}

func TestRequestThatMustNotRunTwiceIsNeverSentAgain(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{"reset": platformsim.Reset, "cut": platformsim.Cut, "unsigned": platformsim.Unsigned} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *scene) {
				s.onAll(s.plain, always(behavior))
				s.onAll(s.engines, always(behavior))
				got := s.get("n1", http.MethodPost, "/once/", nil)
				s.Expect(got.status).To(gomega.Equal(502))
				for id, count := range s.allRuns() {
					s.Expect(count).To(gomega.Equal(1), id)
				}
			})
		})
	}
}

func TestRepeatableRequestRunsElsewhereWithinItsAttempts(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{
		"reset": platformsim.Reset, "cut": platformsim.Cut, "failed": platformsim.Fail, "silent": platformsim.Silent, "unsigned": platformsim.Unsigned,
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *scene) {
				s.plain[0].SetBehavior(always(behavior))
				for range 4 {
					got := s.get("n1", http.MethodGet, "/safe/", nil)
					s.Expect(got.status).To(gomega.Equal(200))
				}
				for id, count := range s.allRuns() {
					s.Expect(count).To(gomega.BeNumerically("<=", 2), id)
				}
			})
		})
	}
}

func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{"before": platformsim.Stray, "behind": platformsim.Surplus, "unframed": platformsim.Unframed} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *scene) {
				s.onAll(s.plain, always(behavior))
				for range 5 {
					got := s.get("n1", http.MethodPost, "/once/", nil)
					s.Expect(got.status).To(gomega.Equal(200))
					s.Expect(got.body).To(gomega.Equal(platformsim.PlainBody(got.header.Get("X-Attempt-Id"))))
				}
			})
		})
	}
}

func TestBrokenStreamIsNotPassedOnAsWhole(t *testing.T) {
	play(t, func(s *scene) {
		s.onAll(s.engines, always(platformsim.Cut))
		got := s.get("n1", http.MethodPost, "/stream/", nil)
		s.Expect(got.whole).To(gomega.BeFalse())
		s.Expect(got.body).NotTo(gomega.BeEmpty())
		s.Expect(events(got, 6)).To(gomega.HavePrefix(got.body))
	})
}

func TestResumableStreamGoesOnAtAnotherReplica(t *testing.T) {
	for name, behavior := range map[string]platformsim.Behavior{"cut": platformsim.Cut, "reset": platformsim.Reset, "silent": platformsim.Silent} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *scene) {
				s.onAll(s.engines, firstOfAll(behavior))
				got := s.get("n1", http.MethodPost, "/resume/", nil)
				s.Expect(got.status).To(gomega.Equal(200))
				s.Expect(got.whole).To(gomega.BeTrue())
				s.Expect(got.body).To(gomega.Equal(events(got, 6)))
			})
		})
	}
}

// firstOfAll treats the first request at any replica so.
func firstOfAll(behavior platformsim.Behavior) func(*http.Request) platformsim.Behavior {
	return first(behavior)
}

func TestQuotaHoldsOverAllNodes(t *testing.T) {
	play(t, func(s *scene) {
		s.configure(func(c *entrylab.Configuration) { c.Tenants[0].Rate, c.Tenants[0].Burst = 10, 30 })
		time.Sleep(500 * time.Millisecond)
		answered, refused := 0, 0
		for i := range 60 {
			switch got := s.get(hosts[i%3], http.MethodGet, "/safe/", nil); got.status {
			case 200:
				answered++
			case 429:
				refused++
				s.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			default:
				t.Errorf("status %d", got.status)
			}
		}
		s.Expect(refused).To(gomega.BeNumerically(">", 30))
		s.Expect(answered).To(gomega.BeNumerically(">=", 3))
		s.Expect(len(s.allRuns())).To(gomega.Equal(answered))
	})
}

func TestPlacesAreNotOverfilledAndUrgentGoesFirst(t *testing.T) {
	play(t, func(s *scene) {
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
			go func() { done <- ended{path, s.get(node, http.MethodPost, path, nil)} }()
		}
		for i := range 12 {
			send(hosts[i%3], "/late/")
		}
		time.Sleep(20 * time.Millisecond)
		for i := range 4 {
			send(hosts[i%3], "/stream/")
		}
		urgent, less := 0, 0
		for range 16 {
			switch end := <-done; {
			case end.path == "/stream/" && end.got.status == 200:
				urgent++
			case end.got.status == 200:
				less++
			case end.path == "/stream/":
				t.Errorf("urgent request: status %d after %v, body %q, header %v", end.got.status, end.got.took, end.got.body, end.got.header)
			default:
				s.Expect(end.got.status).To(gomega.Equal(503), fmt.Sprint(end))
			}
		}
		s.Expect(urgent).To(gomega.Equal(4))
		s.Expect(less).To(gomega.BeNumerically(">", 2))
		for _, engine := range s.engines {
			s.Expect(engine.MostAtOnce()).To(gomega.BeNumerically("<=", 2))
		}
	})
}

func TestCallerThatLeavesIsFeltAtTheReplica(t *testing.T) {
	play(t, func(s *scene) {
		s.onAll(s.engines, always(platformsim.Silent))
		client := &http.Client{Timeout: 200 * time.Millisecond, Transport: &http.Transport{DialContext: s.dialCaller, DisableKeepAlives: true}}
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

func TestOperatorsSeeStatusAndMetrics(t *testing.T) {
	play(t, func(s *scene) {
		s.get("n1", http.MethodGet, "/safe/", nil)
		s.get("n1", http.MethodGet, "/nowhere/", nil)
		ask := func(path string) reply {
			request, err := http.NewRequest(http.MethodGet, "http://"+entrylab.OperatorsAddress("n1")+path, nil)
			s.Expect(err).NotTo(gomega.HaveOccurred())
			return s.send(request)
		}
		s.Expect(ask("/status").body).To(gomega.And(gomega.ContainSubstring(`"configuration_version":1`), gomega.ContainSubstring(`"ready":true`)))
		metrics := ask("/metrics").body
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
