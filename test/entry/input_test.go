package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/platform"
)

const rawHeaders = "Host: service.example\r\nX-Attempt-Id: raw\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n"

// sendRaw writes the text to n1 and returns all bytes received within 10 s.
func (s *scenario) sendRaw(text string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := s.dialFromCaller(ctx, "tcp", entrylab.CallersAddress("n1"))
	s.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, text) }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	content, _ := io.ReadAll(conn)
	return string(content)
}

// Guards against malformed requests that are forwarded instead of rejected.
func TestMalformedRequestsReachNoReplica(t *testing.T) {
	for name, testCase := range map[string]struct{ text, status string }{
		"two lengths":       {"POST /once/ HTTP/1.1\r\n" + rawHeaders + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", "400"},
		"length and chunks": {"POST /once/ HTTP/1.1\r\n" + rawHeaders + "Content-Length: x\r\n\r\nabc", "400"},
		"bad chunk":         {"POST /once/ HTTP/1.1\r\n" + rawHeaders + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "400"},
		"unknown encoding":  {"POST /once/ HTTP/1.1\r\n" + rawHeaders + "Transfer-Encoding: odd\r\n\r\nabc", "501"},
		"header flood":      {"GET /safe/ HTTP/1.1\r\n" + rawHeaders + strings.Repeat("X-Y: "+strings.Repeat("z", 1000)+"\r\n", 64) + "\r\n", "431"},
		"no request":        {"hello\r\n\r\n", "400"},
		"space in a name":   {"GET /safe/ HTTP/1.1\r\n" + rawHeaders + "X Y: z\r\n\r\n", "400"},
		"half a head":       {"GET /safe/ HTTP/1.1\r\nHost: serv", ""},
		"half a body":       {"POST /once/ HTTP/1.1\r\n" + rawHeaders + "Content-Length: 100\r\n\r\nabc", "408"},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				got := s.sendRaw(testCase.text)
				if testCase.status != "" {
					s.Expect(got).To(gomega.HavePrefix("HTTP/1.1 " + testCase.status))
				}
				s.Expect(got).NotTo(gomega.ContainSubstring("200 OK"))
				s.Expect(s.runCounts()).To(gomega.BeEmpty())
			})
		})
	}
}

// Guards against request smuggling by a Content-Length beside chunked encoding.
func TestLengthTogetherWithChunksSmugglesNothing(t *testing.T) {
	runScenario(t, func(s *scenario) {
		hidden := "GET /safe/hidden HTTP/1.1\r\n" + strings.Replace(rawHeaders, "raw", "hidden", 1) + "\r\n"
		s.sendRaw("POST /once/ HTTP/1.1\r\n" + rawHeaders + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n" + hidden)
		s.Expect(s.runCounts()).NotTo(gomega.HaveKey("hidden"))
	})
}

// Guards against forged system headers, which would make a replica reserve memory or reject
// the request.
func TestSystemHeadersFromCallersAreDropped(t *testing.T) {
	names := platform.Headers()
	for _, name := range names.SystemOwned() {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				got := s.do("n1", http.MethodPost, "/stream/x", func(r *http.Request) { r.Header.Set(name, "forged") })
				s.Expect(got.status).To(gomega.Equal(200))
				runs := append(s.engines[0].Runs(), s.engines[1].Runs()...)
				s.Expect(runs).To(gomega.HaveLen(1))
				s.Expect(runs[0].Header.Get(name)).NotTo(gomega.Equal("forged"))
			})
		})
	}
}

// Guards against a Connection header that removes headers which select what the replica runs.
func TestEndToEndHeadersNamedInConnectionAreForwarded(t *testing.T) {
	runScenario(t, func(s *scenario) {
		got := s.do("n1", http.MethodPost, "/stream/x", func(r *http.Request) {
			r.Header.Set("Connection", "X-Model, X-Attempt-Id, X-Other")
			r.Header.Set("X-Model", "m")
			r.Header.Set("X-Other", "dropped")
		})
		s.Expect(got.status).To(gomega.Equal(200))
		runs := append(s.engines[0].Runs(), s.engines[1].Runs()...)
		s.Expect(runs).To(gomega.HaveLen(1))
		s.Expect(runs[0].ID).NotTo(gomega.BeEmpty())
		s.Expect(runs[0].Header.Get("X-Model")).To(gomega.Equal("m"))
		s.Expect(runs[0].Header.Get("X-Other")).To(gomega.BeEmpty())
	})
}
