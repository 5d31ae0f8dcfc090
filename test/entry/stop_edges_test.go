package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// dialNode opens a connection of a caller to the node.
func (s *scenario) dialNode(node string) net.Conn {
	connection, err := s.dialFromCaller(context.Background(), "tcp", entrylab.CallersAddress(node))
	s.Expect(err).NotTo(gomega.HaveOccurred())
	return connection
}

// rawRequest returns the text of a request of the protocol version up to the body.
func rawRequest(method, path, version, id, deadlineMS string, length int) string {
	return fmt.Sprintf("%s %s %s\r\nHost: service.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %s\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n",
		method, path, version, id, deadlineMS, length)
}

// readStatus reads the answer to a request of the method. It returns zero if the connection ends without one.
func readStatus(reader *bufio.Reader, method string) int {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against requests of 30 ms that are ended at the signal, with their outcome unknown, as the grace is shorter than the
// time that is kept for the final answers.
func TestShortGraceServesWhatEndsWellWithinIt(t *testing.T) {
	for _, grace := range []int{300, 700} {
		t.Run(fmt.Sprint(grace, " ms"), func(t *testing.T) {
			runAdjusted(t, func(settings *entry.Settings) { settings.StopGrace = grace }, func(s *scenario) {
				time.Sleep(time.Second)
				go func() {
					time.Sleep(10 * time.Millisecond)
					s.deployment.Node("n1").Stop()
				}()
				got := s.do("n1", http.MethodPost, "/once/", nil)
				s.Expect(got.status).To(gomega.Equal(http.StatusOK), "after %v", got.took)
			})
		})
	}
}

// Guards against a stop that ends early, as nothing is in progress, while callers that opened a connection before the balancer
// took the node out still send their first request over it: they got no answer.
func TestStopDoesNotEndBeforeTheFirstRequestsOfOpenConnections(t *testing.T) {
	for name, status := range map[string]int{"whole": http.StatusOK, "its body never arrives": http.StatusRequestTimeout} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				time.Sleep(time.Second)
				go s.deployment.Node("n1").Stop()
				time.Sleep(2400 * time.Millisecond)
				connection := s.dialNode("n1")
				defer connection.Close()
				time.Sleep(350 * time.Millisecond)
				body := strings.Repeat("a", 100)
				if status != http.StatusOK {
					body = body[:50]
				}
				_, err := io.WriteString(connection, rawRequest(http.MethodPost, "/once/", "HTTP/1.1", "late", "4000", 100)+body)
				s.Expect(err).NotTo(gomega.HaveOccurred())
				s.Expect(readStatus(bufio.NewReader(connection), http.MethodPost)).To(gomega.Equal(status))
			})
		})
	}
}

// Guards against requests that are in progress at the end of a stop and get no answer, or that of another one, for the form of
// their request.
func TestRequestsOfAllFormsGetAnAnswerAtTheEndOfAStop(t *testing.T) {
	for _, course := range []struct {
		name, method, path, version string
		isBodyLate                  bool
		status                      int
	}{
		{"HTTP/1.1", http.MethodPost, "/once/", "HTTP/1.1", false, http.StatusBadGateway},
		{"HTTP/1.0", http.MethodPost, "/once/", "HTTP/1.0", false, http.StatusBadGateway},
		{"HEAD", http.MethodHead, "/safe/", "HTTP/1.1", false, http.StatusBadGateway},
		{"HEAD of HTTP/1.0", http.MethodHead, "/safe/", "HTTP/1.0", false, http.StatusBadGateway},
		{"its body is on its way", http.MethodPost, "/once/", "HTTP/1.1", true, http.StatusServiceUnavailable},
	} {
		t.Run(course.name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				for _, replica := range s.plainReplicas {
					replica.Step = 20 * time.Second
				}
				s.configure(func(configuration *entrylab.Configuration) {
					for i := range configuration.Routes {
						configuration.Routes[i].Timeout = 20_000
					}
				})
				time.Sleep(time.Second)
				connection := s.dialNode("n1")
				defer connection.Close()
				length, body := 0, ""
				if course.method == http.MethodPost {
					length, body = 100, strings.Repeat("a", 100)
				}
				if course.isBodyLate {
					body = body[:50]
				}
				_, err := io.WriteString(connection, rawRequest(course.method, course.path, course.version, "form", "20000", length)+body)
				s.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(100 * time.Millisecond)
				go s.deployment.Node("n1").Stop()
				s.Expect(readStatus(bufio.NewReader(connection), course.method)).To(gomega.Equal(course.status))
				ran := s.runCounts()["form"] > 0
				s.Expect(ran).To(gomega.Equal(course.status == http.StatusBadGateway))
			})
		})
	}
}

// Guards against a pipelined request that gets no answer, or ran without one, as its node stops while the one before is in
// progress.
func TestPipelinedRequestIsAnsweredOrDoesNotRun(t *testing.T) {
	runScenario(t, func(s *scenario) {
		for _, replica := range s.plainReplicas {
			replica.Step = time.Second
		}
		time.Sleep(time.Second)
		connection := s.dialNode("n1")
		defer connection.Close()
		go func() {
			for _, id := range []string{"pipe-1", "pipe-2"} {
				_, _ = io.WriteString(connection, rawRequest(http.MethodPost, "/once/", "HTTP/1.1", id, "2000", 1)+"a")
			}
		}()
		time.Sleep(10 * time.Millisecond)
		stopped := make(chan bool)
		go func() { s.deployment.Node("n1").Stop(); close(stopped) }()
		reader := bufio.NewReader(connection)
		statuses := []int{readStatus(reader, http.MethodPost), readStatus(reader, http.MethodPost)}
		<-stopped
		runs := s.runCounts()
		s.Expect(statuses[0]).To(gomega.Equal(http.StatusOK))
		for i, status := range statuses {
			ran := runs[fmt.Sprint("pipe-", i+1)] > 0
			s.Expect(status == 0 && ran).To(gomega.BeFalse())
			s.Expect(status == http.StatusServiceUnavailable && ran).To(gomega.BeFalse())
		}
	})
}
