package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// Guards against requests that are truncated or rejected by a planned stop.
func TestPlannedStopCompletesRunningRequests(t *testing.T) {
	runScenario(t, func(s *scenario) {
		done := make(chan reply, 4)
		for range 4 {
			go func() { done <- s.do("n1", http.MethodPost, "/stream/", nil) }()
		}
		time.Sleep(50 * time.Millisecond)
		stopped := make(chan bool)
		go func() { s.deployment.Node("n1").Stop(); close(stopped) }()
		time.Sleep(10 * time.Millisecond)
		s.Expect(s.deployment.Node("n1").Ready()).To(gomega.BeFalse())
		during := s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(during.status).To(gomega.Equal(200))
		for range 4 {
			got := <-done
			s.Expect(got.status).To(gomega.Equal(200))
			s.Expect(got.complete).To(gomega.BeTrue())
		}
		<-stopped
		s.Expect(s.do("n2", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
	})
}

// Guards against a stream that is accepted late in a stop and truncated when the stop ends.
func TestStreamIsRejectedLateInAPlannedStop(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, engine := range s.engines {
			engine.Step = 900 * time.Millisecond
		}
		running := make(chan reply)
		go func() { running <- s.do("n1", http.MethodPost, "/stream/", nil) }()
		time.Sleep(10 * time.Millisecond)
		stopped := make(chan bool)
		go func() { s.deployment.Node("n1").Stop(); close(stopped) }()
		time.Sleep(2950 * time.Millisecond)
		late := s.do("n1", http.MethodPost, "/stream/", nil)
		s.Expect(late.status).To(gomega.Equal(503))
		s.Expect(late.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		s.Expect(s.do("n1", http.MethodGet, "/safe/", nil).status).To(gomega.Equal(200))
		<-running
		<-stopped
	})
}

// deadline returns a function that sets the request's deadline in milliseconds.
func deadline(milliseconds string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Deadline-Ms", milliseconds) }
}

// Guards against idle connections that stay open late in a stop, so that requests on them are
// rejected.
func TestIdleConnectionsAreClosedInAPlannedStop(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, engine := range s.engines {
			engine.Step = 600 * time.Millisecond
		}
		running := make(chan reply)
		go func() { running <- s.do("n1", http.MethodPost, "/stream/", deadline("4000")) }()
		idle, err := s.dialFromCaller(context.Background(), "", entrylab.CallersAddress("n1"))
		s.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(idle, "GET /safe/ HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: idle\r\nAuthorization: Bearer key-1\r\n\r\n")
		s.Expect(err).NotTo(gomega.HaveOccurred())
		reader := bufio.NewReader(idle)
		response, err := http.ReadResponse(reader, nil)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		s.Expect(response.Close).To(gomega.BeFalse())
		started := time.Now()
		stopped := make(chan bool)
		go func() { s.deployment.Node("n1").Stop(); close(stopped) }()
		_, err = reader.ReadByte()
		s.Expect(err).To(gomega.Equal(io.EOF))
		s.Expect(time.Since(started)).To(gomega.BeNumerically("<", 2800*time.Millisecond))
		s.Expect((<-running).complete).To(gomega.BeTrue())
		<-stopped
	})
}
