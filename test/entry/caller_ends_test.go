package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// rawCall sends a request of the protocol version with the header lines, and reads the response as a caller does that
// takes the end of the connection for the end of a response without framing. meanwhile, if it is not nil, is called once
// the request is sent.
func (s *scenario) rawCall(path, version, lines string, meanwhile func(net.Conn)) reply {
	connection, err := s.fabric.Host("caller").Dial(context.Background(), entrylab.CallersAddress("n1"))
	s.Expect(err).NotTo(gomega.HaveOccurred())
	defer connection.Close()
	id := fmt.Sprint("raw", s.requestCount.Add(1))
	_, err = fmt.Fprintf(connection, "POST %s %s\r\nHost: service.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n%sContent-Length: 0\r\n\r\n", path, version, id, lines)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	if meanwhile != nil {
		go meanwhile(connection)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return reply{}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil}
}

// callerProtocols are protocol versions and header lines of callers.
var callerProtocols = map[string][2]string{
	"1.0": {"HTTP/1.0", ""}, "1.0, keep-alive": {"HTTP/1.0", "Connection: keep-alive\r\n"},
	"1.1": {"HTTP/1.1", ""}, "1.1, close": {"HTTP/1.1", "Connection: close\r\n"},
}

// Guards against a stream that is broken off and looks complete to callers of a protocol without chunks, and against a
// whole one that is reset.
func TestCallersOfAllProtocolsSeeHowStreamsEnd(t *testing.T) {
	for protocol, request := range callerProtocols {
		for name, course := range map[string]struct {
			cutAfter int
			partial  string
		}{"whole": {}, "cut between events": {cutAfter: 3}, "cut inside an event": {3, "14\r\nid: 4\nda"}} {
			t.Run(protocol+" "+name, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					replicas := s.replaceReplicas("engines", 1, func(_ int, exchange *scriptedExchange) {
						exchange.write(exchange.head("200 OK", eventStreamLines))
						if course.cutAfter == 0 {
							exchange.events(6, 20*time.Millisecond)
							return
						}
						for number := range course.cutAfter {
							exchange.event(number + 1)
						}
						exchange.write(course.partial)
						exchange.close()
					})
					defer replicas.close()
					got := s.rawCall("/stream/", request[0], request[1], nil)
					s.Expect(got.status).To(gomega.Equal(http.StatusOK))
					s.Expect(got.complete).To(gomega.Equal(course.cutAfter == 0))
					if course.cutAfter == 0 {
						s.Expect(got.body).To(gomega.Equal(streamBody(got, 6)))
					}
				})
			})
		}
	}
}

// Guards against a stream that looks complete to a caller of HTTP/1.0 as the node that relays it is killed.
func TestKilledNodeResetsStreamsWithoutFraming(t *testing.T) {
	runScenario(t, func(s *scenario) {
		got := s.rawCall("/stream/", "HTTP/1.0", "", func(net.Conn) {
			time.Sleep(s.engines[0].Step * 5 / 2)
			s.deployment.Node("n1").Kill()
		})
		s.Expect(got.status).To(gomega.Equal(http.StatusOK))
		s.Expect(got.complete).To(gomega.BeFalse())
	})
}

// Guards against a response that looks complete, or that promises that the request has not run, to a caller that has
// closed its direction of the connection and reads on: the node takes it for one that left, and cancels the request.
func TestCallersThatCloseTheirDirectionSeeNoCompleteResponse(t *testing.T) {
	for protocol, request := range callerProtocols {
		for name, course := range map[string]struct {
			path  string
			after time.Duration
		}{
			"before the head": {"/stream/", 20 * time.Millisecond}, "between events": {"/stream/", 120 * time.Millisecond},
			"resumable": {"/resume/", 120 * time.Millisecond}, "plain": {"/once/", 10 * time.Millisecond}, "safe": {"/safe/", 10 * time.Millisecond},
		} {
			t.Run(protocol+" "+name, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					got := s.rawCall(course.path, request[0], request[1], func(connection net.Conn) {
						time.Sleep(course.after)
						_ = connection.(interface{ CloseWrite() error }).CloseWrite()
					})
					s.Expect(got.status == http.StatusOK && got.complete).To(gomega.BeFalse(), got.body)
					s.Expect(got.status).NotTo(gomega.Equal(http.StatusServiceUnavailable))
				})
			})
		}
	}
}

// Guards against a request that ends with a promise that it has not run, or as complete, for its caller closed its
// direction while the replica that has it is silent.
func TestCallerThatClosesItsDirectionBesideASilentReplicaIsPromisedNothing(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		runScenario(t, func(s *scenario) {
			s.setBehavior(append(s.engines, s.plainReplicas...), always(platformsim.Silent))
			got := s.rawCall(path, "HTTP/1.1", "", func(connection net.Conn) {
				time.Sleep(100 * time.Millisecond)
				_ = connection.(interface{ CloseWrite() error }).CloseWrite()
			})
			s.Expect(got.status).To(gomega.Equal(0), path)
		})
	}
}
