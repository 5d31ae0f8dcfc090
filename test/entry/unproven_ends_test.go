package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// unframedHeads are heads without a length and chunks, by name.
var unframedHeads = map[string]func(e *scriptedExchange, contentType string) string{
	"1.1": func(e *scriptedExchange, contentType string) string { return e.head("200 OK", contentType) },
	"1.1, close": func(e *scriptedExchange, contentType string) string {
		return e.head("200 OK", "Connection: close\r\n"+contentType)
	},
	"1.0": func(e *scriptedExchange, contentType string) string {
		return strings.Replace(e.head("200 OK", contentType), "HTTP/1.1", "HTTP/1.0", 1)
	},
}

// unframedBody are events without framing.
func unframedBody(id string, from, to int) string {
	var text strings.Builder
	for number := from; number <= to; number++ {
		text.WriteString(platformsim.Event(id, number))
	}
	return text.String()
}

// Guards against an answer without framing that looks complete although its replica was killed in the middle: the kernel
// closes its connections as at the end of a whole answer. Where the replica goes on to serve, the close ends the answer.
func TestAnswersWithoutFramingOfReplicasThatEndAreNotWhole(t *testing.T) {
	for protocol, head := range unframedHeads {
		for contentName, contentType := range map[string]string{"events": "Content-Type: text/event-stream\r\n", "text": "Content-Type: text/plain\r\n", "no type": ""} {
			for _, route := range answerRoutes {
				for _, isKilled := range []bool{true, false} {
					name := protocol + ", " + contentName + " " + route.path
					if isKilled {
						name += " killed"
					}
					t.Run(name, func(t *testing.T) {
						runScenario(t, func(s *scenario) {
							replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
								if number > 1 {
									route.wholeAnswer(exchange)
									return
								}
								exchange.write(head(exchange, contentType) + unframedBody(exchange.id, 1, 2))
								if isKilled {
									exchange.end()
								} else {
									exchange.close()
								}
							})
							defer replicas.close()
							got := s.do("n1", route.method, route.path, nil)
							isStream := contentName == "events"
							switch {
							case !isKilled:
								s.Expect(got.status).To(gomega.Equal(http.StatusOK))
								s.Expect(got.complete).To(gomega.BeTrue())
								s.Expect(got.body).To(gomega.Equal(streamBody(got, 2)))
							case route.mayRepeat && isStream && route.service == "engines":
								s.Expect(got.complete).To(gomega.BeTrue())
								s.Expect(got.body).To(gomega.Equal(streamBody(got, 3)), "it went on")
							case isStream:
								s.Expect(got.status).To(gomega.Equal(http.StatusOK))
								s.Expect(got.complete).To(gomega.BeFalse())
								s.Expect(got.body).To(gomega.Equal(streamBody(got, 2)))
							default:
								s.expectWholeOrFailed(route, got)
							}
							if isKilled {
								s.Expect(s.counters("answers_invalid_end_not_proven ")).To(gomega.Equal(1))
							}
						})
					})
				}
			}
		}
	}
}

// Guards against a whole stream without framing that is broken off although the rest of it can be asked for, since its
// replica ended behind it.
func TestResumableStreamIsVerifiedAtAnotherReplica(t *testing.T) {
	runScenario(t, func(s *scenario) {
		replicas := s.replaceReplicas("engines", 2, func(number int, exchange *scriptedExchange) {
			if number > 1 {
				exchange.write(exchange.head("200 OK", eventStreamLines) + "0\r\n\r\n")
				return
			}
			exchange.write(exchange.head("200 OK", "Content-Type: text/event-stream\r\n") + unframedBody(exchange.id, 1, 3))
			exchange.end()
		})
		defer replicas.close()
		got := s.do("n1", http.MethodPost, "/resume/", nil)
		s.Expect(got.complete).To(gomega.BeTrue())
		s.Expect(got.body).To(gomega.Equal(streamBody(got, 3)))
	})
}

// Guards against an empty continuation without framing that ends a stream as complete.
func TestContinuationWithoutFramingAndEventsIsNotWhole(t *testing.T) {
	runScenario(t, func(s *scenario) {
		replicas := s.replaceReplicas("engines", 2, func(number int, exchange *scriptedExchange) {
			if number > 1 {
				exchange.write(exchange.head("200 OK", "Content-Type: text/event-stream\r\n"))
			} else {
				exchange.write(exchange.head("200 OK", eventStreamLines))
				exchange.event(1)
			}
			exchange.close()
		})
		defer replicas.close()
		got := s.do("n1", http.MethodPost, "/resume/", nil)
		s.Expect(got.complete).To(gomega.BeFalse())
		s.Expect(got.body).To(gomega.Equal(streamBody(got, 1)))
	})
}

// Guards against a whole stream without framing that is broken off since a peer forwards the connections to its replica,
// and against a cut one that looks complete there.
func TestForwardedEndsWithoutFramingAreProven(t *testing.T) {
	for _, isKilled := range []bool{true, false} {
		runPathScenario(t, func(s *pathScenario) {
			s.cutAndDetect(fleetHosts[:1], memnet.CutReset)
			s.setBehavior(s.engines, always(platformsim.Unframed))
			if isKilled {
				time.AfterFunc(s.engines[0].Step*7/2, func() {
					for _, engine := range s.engines {
						engine.Crash()
					}
				})
			}
			got := s.do(fleetHosts[0], http.MethodPost, "/stream/x", nil)
			s.Expect(got.status).To(gomega.Equal(http.StatusOK))
			s.Expect(got.complete).To(gomega.Equal(!isKilled))
		})
	}
}

// Guards against connections that are opened for nothing: the one that proves an end carries the next request.
func TestConnectionThatProvesAnEndIsUsed(t *testing.T) {
	runScenario(t, func(s *scenario) {
		replicas := s.replaceReplicas("registry", 1, func(_ int, exchange *scriptedExchange) {
			exchange.write(exchange.head("200 OK", "") + "whole")
			exchange.close()
		})
		defer replicas.close()
		before := s.counters("connections_opened ")
		for range 4 {
			s.Expect(s.do("n1", http.MethodPost, "/once/", nil).body).To(gomega.Equal("whole"))
		}
		s.Expect(s.counters("connections_opened ") - before).To(gomega.Equal(5))
	})
}

// Guards against a stream that goes on at the successor of a replica which was killed right behind a head, or within it:
// the end has to raise a doubt as that between two events does.
func TestReplicaKilledAtItsHeadIsDoubted(t *testing.T) {
	for name, cut := range map[string]func(head string) string{
		"behind the head":           func(head string) string { return head },
		"before the head's end":     func(head string) string { return head[:len(head)-2] },
		"within a line of the head": func(head string) string { return head[:len(head)-8] },
		"within the status line":    func(head string) string { return head[:10] },
		"in the first chunk": func(head string) string {
			return strings.TrimSuffix(head, "\r\n") + "Transfer-Encoding: chunked\r\n\r\n40\r\nid: 1\n"
		},
		"in the length of a chunk": func(head string) string {
			return strings.TrimSuffix(head, "\r\n") + "Transfer-Encoding: chunked\r\n\r\n4"
		},
	} {
		for isKilled, doubted := range map[bool]int{true: 1, false: 0} {
			t.Run(fmt.Sprint(name, ", killed ", isKilled), func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					route := answerRoutes[3]
					replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
						if number > 1 {
							route.wholeAnswer(exchange)
							return
						}
						exchange.write(cut(exchange.head("200 OK", "Content-Type: text/event-stream\r\n")))
						if isKilled {
							exchange.end()
						} else {
							exchange.close()
						}
					})
					defer replicas.close()
					got := s.do("n1", route.method, route.path, nil)
					s.Expect(got.body).To(gomega.Equal(route.wholeBody(got)))
					s.Expect(s.metricAt("n1", "streams_identity_doubts ")).To(gomega.Equal(doubted), "doubted replicas")
				})
			})
		}
	}
}
