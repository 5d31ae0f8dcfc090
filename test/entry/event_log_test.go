package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/operator/story"
)

// logBuffer collects the event logs of all nodes. It is safe for concurrent use.
type logBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(content)
}

// size returns the number of bytes logged so far.
func (b *logBuffer) size() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Len()
}

// reader returns a reader of a copy of the logs.
func (b *logBuffer) reader() io.Reader { return b.readerFrom(0) }

// readerFrom returns a reader of a copy of the logs without the first bytes.
func (b *logBuffer) readerFrom(offset int) io.Reader {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return bytes.NewReader(bytes.Clone(b.buffer.Bytes()[offset:]))
}

// requestHistory returns the operators' report on the request, built from the nodes' logs.
func (s *scenario) requestHistory(id string) string {
	time.Sleep(10 * time.Millisecond) // lets the log writers finish
	history, err := story.Read(id, s.logs.reader())
	s.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	history.Write(&text)
	return text.String()
}

// withRequestID returns a function that sets the request's id.
func withRequestID(id string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Attempt-Id", id) }
}

// Guards against event logs that don't show why a request was rejected.
func TestEventLogExplainsARejectedRequest(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, replica := range s.plainReplicas {
			replica.Step = 2 * time.Second
		}
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { s.do("n1", http.MethodGet, "/safe/", nil) })
		}
		time.Sleep(50 * time.Millisecond)
		s.Expect(s.do("n2", http.MethodGet, "/safe/", withRequestID("refused")).status).To(gomega.Equal(503))
		history := s.requestHistory("refused")
		s.Expect(history).To(gomega.And(
			gomega.ContainSubstring("request.received"), gomega.ContainSubstring("version=1"),
			gomega.ContainSubstring("request.placed by="+s.scheduler()+" outcome=refused"),
			gomega.ContainSubstring("never sent to a replica"), gomega.ContainSubstring("add replicas"),
		))
		group.Wait()
	})
}

// Guards against event logs that don't show why a request has an unknown outcome.
func TestEventLogExplainsABrokenRequest(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setBehavior(s.plainReplicas, always(platformsim.Reset))
		s.Expect(s.do("n1", http.MethodPost, "/once/", withRequestID("broken")).status).To(gomega.Equal(502))
		history := s.requestHistory("broken")
		s.Expect(history).To(gomega.And(
			gomega.ContainSubstring("outcome=granted"), gomega.MatchRegexp(`request.sent replica=i-p\d by=n\d outcome=broken`),
			gomega.ContainSubstring("unknown, status 502"), gomega.ContainSubstring("its answer was cut"),
		))
	})
}

// Guards against event logs that don't show what allowed a stream to go on within its answer, and at another node.
func TestEventLogExplainsWhatAllowedAStreamToGoOn(t *testing.T) {
	runScenario(t, func(s *scenario) {
		time.Sleep(8 * time.Second) // until the views of the store reach back far enough
		s.setBehavior(s.engines, func(r *http.Request) platformsim.Behavior {
			if r.Header.Get("Last-Event-Id") == "" && r.Header.Get("X-Attempt-Id") == "within" {
				return platformsim.Cut
			}
			return platformsim.Answer
		})
		s.Expect(s.do("n1", http.MethodPost, "/resume/", withRequestID("within")).status).To(gomega.Equal(http.StatusOK))
		s.Expect(s.requestHistory("within")).To(gomega.MatchRegexp(`the stream went on at i-e\d of version v1: .*\((assumed|assumed-unbroken|entry|answers|unbroken|report)\); the latest statement on it was \d+\.\d s old`))
		s.Expect(s.do("n2", http.MethodPost, "/resume/", func(r *http.Request) {
			withRequestID("resumed")(r)
			r.Header.Set("Last-Event-Id", "2")
			r.Header.Set("Resumes", "within")
		}).status).To(gomega.Equal(http.StatusOK))
		s.Expect(s.requestHistory("resumed")).To(gomega.MatchRegexp(`the stream of within may go on at version v1 alone: origin known\n.*the stream went on at i-e\d of version v1: `))
	})
}

// Guards against event logs that don't show why a stream was not resumed, and what was known where it began.
func TestEventLogExplainsAStreamOfUncertainVersion(t *testing.T) {
	runScenario(t, func(s *scenario) {
		time.Sleep(8 * time.Second) // until the views of the store reach back far enough
		s.deployment.Store.SetDown(true)
		time.Sleep(2 * time.Second)
		for i, host := range []string{"e1", "e2"} {
			s.engines[i].Crash()
			time.Sleep(time.Second)
			next := startInPlace(s, host, s.engines[i])
			next.SetBehavior(always(platformsim.Cut))
		}
		time.Sleep(4 * time.Second)
		s.Expect(s.do("n1", http.MethodPost, "/resume/", withRequestID("began")).complete).To(gomega.BeFalse())
		refused := s.do("n2", http.MethodPost, "/resume/", func(r *http.Request) {
			withRequestID("again")(r)
			r.Header.Set("Last-Event-Id", "2")
			r.Header.Set("Resumes", "began")
		})
		s.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable))
		s.Expect(refused.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(s.requestHistory("again")).To(gomega.And(
			gomega.ContainSubstring("the stream of began may not go on (stream-version-uncertain): explain that request too"),
			gomega.ContainSubstring("nothing showed at which version the stream began"),
		))
		s.Expect(s.requestHistory("began")).To(gomega.MatchRegexp(`the stream began at i-e\d of version v1.*: nothing showed then that it was still this process; the latest statement on it was \d+\.\d s old`))
		s.deployment.Store.SetDown(false)
	})
}

// Guards against an event log without the end of a request whose caller has left.
func TestEventLogRecordsTheEndOfARequestWhoseCallerLeft(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.engines[0].Step, s.engines[1].Step = time.Second, time.Second
		client := &http.Client{Transport: &http.Transport{DialContext: s.dialFromCaller, DisableKeepAlives: true}, Timeout: 1500 * time.Millisecond}
		request, err := http.NewRequest(http.MethodPost, "http://n1:8221/stream/", strings.NewReader("body"))
		s.Expect(err).NotTo(gomega.HaveOccurred())
		request.Host = "service.example"
		request.Header.Set("Authorization", "Bearer key-1")
		request.Header.Set("X-Attempt-Id", "left")
		response, err := client.Do(request)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(response.Body)
		s.Expect(err).To(gomega.HaveOccurred())
		time.Sleep(3 * time.Second)
		s.Expect(s.requestHistory("left")).To(gomega.And(gomega.ContainSubstring("request.ended"), gomega.ContainSubstring("caller closed its connection")))
	})
}

// Guards against sampling that drops lines of failed requests, or drops lines without
// recording it.
func TestSampledEventLogKeepsAllLinesOfFailedRequests(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setBehavior(s.plainReplicas, func(r *http.Request) platformsim.Behavior {
			if strings.HasPrefix(r.Header.Get("X-Attempt-Id"), "broken") {
				return platformsim.Reset
			}
			return platformsim.Answer
		})
		for range 1500 { // exceeds the number of lines logged per second
			s.do("n1", http.MethodGet, "/nowhere/", nil)
		}
		time.Sleep(1200 * time.Millisecond)
		for i := range 40 {
			s.do("n1", http.MethodGet, "/safe/", withRequestID(fmt.Sprint("well", i)))
			s.do("n1", http.MethodPost, "/once/", withRequestID(fmt.Sprint("broken", i)))
		}
		time.Sleep(1200 * time.Millisecond)
		all, err := io.ReadAll(s.logs.reader())
		s.Expect(err).NotTo(gomega.HaveOccurred())
		text := string(all)
		s.Expect(text).To(gomega.ContainSubstring(`"event":"log.sampled"`))
		for i := range 40 {
			id := fmt.Sprintf(`"request":"broken%d"`, i)
			s.Expect(strings.Count(text, id)).To(gomega.BeNumerically(">=", 4), id)
		}
		s.Expect(strings.Count(text, `"request":"well`)).To(gomega.BeNumerically("<", 4*40))
	})
}
