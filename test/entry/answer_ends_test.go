package entry

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// answerRoute is a route and what its callers may expect.
type answerRoute struct {
	path, method, service string
	mayRepeat             bool
}

// answerRoutes are the kinds of routes.
var answerRoutes = []answerRoute{
	{"/once/", http.MethodPost, "registry", false}, {"/safe/", http.MethodGet, "registry", true},
	{"/stream/", http.MethodPost, "engines", false}, {"/resume/", http.MethodPost, "engines", true},
}

// wholeAnswer writes a sound answer of the service.
func (r answerRoute) wholeAnswer(exchange *scriptedExchange) {
	if r.service == "engines" {
		exchange.write(exchange.head("200 OK", eventStreamLines))
		exchange.events(3, 0)
		return
	}
	exchange.write(exchange.plain("200 OK", "", "whole"))
}

// wholeBody is the body of wholeAnswer.
func (r answerRoute) wholeBody(got reply) string {
	if r.service == "engines" {
		return streamBody(got, 3)
	}
	return "whole"
}

// expectWholeOrFailed expects the whole answer of another replica where the request may be repeated, and a failure
// otherwise.
func (s *scenario) expectWholeOrFailed(route answerRoute, got reply) {
	s.Expect(got.complete).To(gomega.BeTrue())
	if !route.mayRepeat {
		s.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
		return
	}
	s.Expect(got.status).To(gomega.Equal(http.StatusOK))
	s.Expect(got.body).To(gomega.Equal(route.wholeBody(got)))
}

// Guards against an empty answer that looks complete after a replica closed the connection behind a head without framing.
func TestHeadWithoutFramingAndBodyIsNoAnswer(t *testing.T) {
	for _, route := range answerRoutes {
		for name, lines := range map[string]string{"event stream": "Content-Type: text/event-stream\r\n", "other type": "Content-Type: text/plain\r\n", "closing": "Connection: close\r\n"} {
			t.Run(route.path+" "+name, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
						if number == 1 {
							exchange.write(exchange.head("200 OK", lines))
							exchange.close()
							return
						}
						route.wholeAnswer(exchange)
					})
					defer replicas.close()
					s.expectWholeOrFailed(route, s.do("n1", route.method, route.path, nil))
					s.Expect(s.counters("answers_invalid_nothing_before_close ")).To(gomega.Equal(1))
				})
			})
		}
	}
}

// Guards against a whole stream without events that is taken for a broken one, as where only the end was missing.
func TestFramedStreamWithoutEventsIsWhole(t *testing.T) {
	for name, lines := range map[string]string{"chunks": "Transfer-Encoding: chunked\r\n", "length": "Content-Length: 0\r\n"} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				replicas := s.replaceReplicas("engines", 2, func(number int, exchange *scriptedExchange) {
					if number == 1 {
						exchange.write(exchange.head("200 OK", eventStreamLines))
						exchange.event(1)
						exchange.close()
						return
					}
					exchange.write(exchange.head("200 OK", "Content-Type: text/event-stream\r\n"+lines))
					if name == "chunks" {
						exchange.write("0\r\n\r\n")
					}
				})
				defer replicas.close()
				got := s.do("n1", http.MethodPost, "/resume/", nil)
				s.Expect(got.complete).To(gomega.BeTrue())
				s.Expect(got.body).To(gomega.Equal(streamBody(got, 1)))
			})
		})
	}
}
