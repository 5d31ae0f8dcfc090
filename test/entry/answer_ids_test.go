package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// withoutID returns the head without the echo of the request's ID.
func (e *scriptedExchange) withoutID(head string) string {
	return strings.Replace(head, "X-Attempt-Id: "+e.id+"\r\n", "", 1)
}

// strayAnswers are answers without the request's ID, by name.
var strayAnswers = map[string]func(e *scriptedExchange, route answerRoute) string{
	"success": func(e *scriptedExchange, _ answerRoute) string {
		return e.withoutID(e.plain("200 OK", "", "of another"))
	},
	"stream": func(e *scriptedExchange, _ answerRoute) string {
		return e.withoutID(e.plain("200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: of another\n\n"))
	},
	"failure": func(e *scriptedExchange, _ answerRoute) string { return e.withoutID(e.plain("500 Failed", "", "bad")) },
	"rejection": func(e *scriptedExchange, _ answerRoute) string {
		return e.withoutID(e.plain("503 Busy", "X-Not-Executed: 1\r\n", ""))
	},
	"misdirected": func(e *scriptedExchange, _ answerRoute) string {
		return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	},
	"two IDs": func(e *scriptedExchange, _ answerRoute) string {
		return e.plain("200 OK", "X-Attempt-Id: another\r\n", "of another")
	},
}

// Guards against a late answer without an ID on a kept connection that is taken for the next request's: its caller gets
// another one's events, or a request that runs is sent to another replica as if it had not run.
func TestAnswersWithoutAnIDOnKeptConnectionsAreSkipped(t *testing.T) {
	for _, route := range answerRoutes {
		for name, stray := range strayAnswers {
			t.Run(route.path+" "+name, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					replicas := s.replaceReplicas(route.service, 1, func(number int, exchange *scriptedExchange) {
						if number == 2 {
							exchange.write(stray(exchange, route))
							exchange.sleep(20 * time.Millisecond)
						}
						route.wholeAnswer(exchange)
					})
					defer replicas.close()
					for range 3 {
						got := s.do("n1", route.method, route.path, nil)
						s.Expect(got.status).To(gomega.Equal(http.StatusOK))
						s.Expect(got.complete).To(gomega.BeTrue())
						s.Expect(got.body).To(gomega.Equal(route.wholeBody(got)))
					}
					s.Expect(replicas.count()).To(gomega.Equal(3))
					s.Expect(replicas.connections()).To(gomega.Equal(1))
				})
			})
		}
	}
}

// Guards against a success without an ID on a new connection that is used, and against one for which its caller waits
// until the deadline.
func TestSuccessWithoutAnIDIsNotUsed(t *testing.T) {
	for _, route := range answerRoutes {
		for _, name := range []string{"success", "stream", "failure"} {
			t.Run(route.path+" "+name, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
						if number == 1 {
							exchange.write(strayAnswers[name](exchange, route))
							exchange.sleep(50 * time.Millisecond)
						}
						route.wholeAnswer(exchange)
					})
					defer replicas.close()
					got := s.do("n1", route.method, route.path, nil)
					s.Expect(got.took).To(gomega.BeNumerically("<", time.Second))
					s.expectWholeOrFailed(route, got)
					s.Expect(s.counters("answers_invalid_no_id ")).To(gomega.Equal(1))
				})
			})
		}
	}
}

// Guards against a request that ends at a server that rejects it without an ID, as a server of another service at a
// reused address may, though other replicas are free.
func TestRejectionWithoutAnIDOnANewConnectionIsUsed(t *testing.T) {
	for _, name := range []string{"rejection", "misdirected"} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				route := answerRoutes[0]
				replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
					if number == 1 {
						exchange.write(strayAnswers[name](exchange, route))
						return
					}
					route.wholeAnswer(exchange)
				})
				defer replicas.close()
				got := s.do("n1", route.method, route.path, nil)
				s.Expect(got.status).To(gomega.Equal(http.StatusOK))
				s.Expect(got.body).To(gomega.Equal("whole"))
			})
		})
	}
}

// Guards against a late answer to an earlier request that has the same ID as its successor on the connection: a late
// rejection would let the second one run twice.
func TestLateAnswersToAnEarlierRequestOfTheSameIDAreNotUsed(t *testing.T) {
	for _, id := range []string{"same", ""} {
		t.Run(fmt.Sprintf("%q", id), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				used := map[net.Conn]int{}
				replicas := s.replaceReplicas("registry", 1, func(_ int, exchange *scriptedExchange) {
					if used[exchange.conn]++; used[exchange.conn] > 1 {
						exchange.write(exchange.plain("503 Busy", "X-Not-Executed: 1\r\n", ""))
					}
					exchange.write(exchange.plain("200 OK", "", "whole"))
				})
				defer replicas.close()
				for range 2 {
					got := s.do("n1", http.MethodPost, "/once/", func(request *http.Request) {
						request.Header.Set("X-Attempt-Id", id)
						if id == "" {
							request.Header.Del("X-Attempt-Id")
						}
					})
					s.Expect(got.status).To(gomega.Equal(http.StatusOK))
					s.Expect(got.body).To(gomega.Equal("whole"))
				}
			})
		})
	}
}
