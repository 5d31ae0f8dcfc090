package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// Answers of replicas and successors other than whole successes that begin at once.

// Guards against a request that is taken from its silent replica by a successor whose answer can't be used: the first
// would have answered in time.
func TestContentEncodedAnswerOfASuccessorDoesNotReplaceASilentReplica(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		replicas := s.replaceReplicas("registry", 3, func(number int, exchange *scriptedExchange) {
			if number == 1 {
				if exchange.sleep(2 * time.Second) {
					exchange.write(exchange.plain("200 OK", "", "whole"))
				}
				return
			}
			exchange.write(exchange.plain("200 OK", "Content-Encoding: gzip\r\n", "packed"))
		})
		defer replicas.close()
		got := s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
	})
}

// Guards against a replica that sends its answer steadily and is taken for silent after a share of the time: the
// successor has to begin anew and does not finish in time.
func TestReplicaThatSendsALongAnswerSteadilyIsNotReplaced(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		const pieces = 20
		replicas := s.replaceReplicas("registry", 3, func(_ int, exchange *scriptedExchange) {
			exchange.write(exchange.head("200 OK", fmt.Sprintf("Content-Length: %d\r\n", pieces)))
			for range pieces {
				if !exchange.sleep(90*time.Millisecond) || !exchange.write("x") {
					return
				}
			}
		})
		defer replicas.close()
		got := s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took, ", replicas ", replicas.count()))
		s.Expect(replicas.count()).To(gomega.Equal(1))
	})
}

// Guards against a replica that is recorded as silent, and as one that broke off, while it sends its answer steadily.
func TestReplicaThatSendsSteadilyIsNotRecordedAsSilent(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		replicas := s.replaceReplicas("registry", 3, func(_ int, exchange *scriptedExchange) {
			exchange.write(exchange.head("200 OK", "Content-Length: 16\r\n"))
			for range 16 {
				if !exchange.sleep(90*time.Millisecond) || !exchange.write("x") {
					return
				}
			}
		})
		defer replicas.close()
		s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(s.counters("breaks_silent ")).To(gomega.BeZero())
	})
}

// Guards against a third replica that is looked for as soon as a successor has taken over.
func TestSuccessorThatTookOverIsNotReplacedAtOnce(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(3)
		replicas := s.replaceReplicas("registry", 4, func(number int, exchange *scriptedExchange) {
			if number == 1 {
				exchange.silent()
				return
			}
			exchange.write(exchange.head("200 OK", "Content-Length: 5\r\n"))
			if exchange.sleep(100 * time.Millisecond) {
				exchange.write("whole")
			}
		})
		defer replicas.close()
		got := s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
		s.Expect(replicas.count()).To(gomega.Equal(2))
	})
}

// Guards against a request that waits until its deadline for the rest of an answer that can't be used, while other
// replicas are free.
func TestStalledFailureIsReplaced(t *testing.T) {
	for name, head := range map[string]func(*scriptedExchange) string{
		"server error": func(e *scriptedExchange) string { return e.head("500 Internal Server Error", "Content-Length: 3\r\n") },
		"rejection": func(e *scriptedExchange) string {
			return e.head("503 Service Unavailable", "X-Not-Executed: 1\r\nContent-Length: 3\r\n")
		},
	} {
		for _, path := range []string{"/safe/", "/resume/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					s.setAttempts(2)
					service := "registry"
					if path == "/resume/" {
						service = "engines"
					}
					replicas := s.replaceReplicas(service, 3, func(number int, exchange *scriptedExchange) {
						switch {
						case number == 1:
							exchange.write(head(exchange))
							exchange.silent()
						case service == "engines":
							exchange.write(exchange.head("200 OK", eventStreamLines))
							exchange.events(3, 10*time.Millisecond)
						default:
							exchange.write(exchange.plain("200 OK", "", "whole"))
						}
					})
					defer replicas.close()
					got := s.do("n1", http.MethodGet, path, nil)
					s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
				})
			})
		}
	}
}

// Guards against two engines that work on one stream for long: one with a long prompt is silent, yet at work, and so
// is its successor.
func TestEnginesWithALongPromptDoNotShareAStream(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		replicas := s.replaceReplicas("engines", 3, func(_ int, exchange *scriptedExchange) {
			if exchange.sleep(2500 * time.Millisecond) {
				exchange.write(exchange.head("200 OK", eventStreamLines))
				exchange.events(10, 50*time.Millisecond)
			}
		})
		defer replicas.close()
		got := s.do("n1", http.MethodPost, "/resume/", withDeadline(silentDeadline))
		s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
		s.Expect(replicas.sharedWork()).To(gomega.BeNumerically("<=", maxSharedWork))
	})
}

// Guards against a request that waits until its deadline for a successor that is silent as well, while a third replica
// is free and the route allows it.
func TestSilentSuccessorIsReplacedToo(t *testing.T) {
	for _, firstBreaks := range []bool{false, true} {
		t.Run(fmt.Sprint("the first breaks off later ", firstBreaks), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setAttempts(3)
				replicas := s.replaceReplicas("engines", 4, func(number int, exchange *scriptedExchange) {
					if number == 1 && firstBreaks {
						exchange.sleep(2500 * time.Millisecond)
						_ = exchange.conn.Close()
						return
					}
					if number <= 2 {
						exchange.silent()
						return
					}
					exchange.write(exchange.head("200 OK", eventStreamLines))
					exchange.events(3, 10*time.Millisecond)
				})
				defer replicas.close()
				got := s.do("n1", http.MethodPost, "/resume/", withDeadline(silentDeadline))
				s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
			})
		})
	}
}

// Guards against a stream that is sent to more engines than its route allows, as a successor that was not needed is
// not counted.
func TestSuccessorThatWasNotNeededCountsAsAnAttempt(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		replicas := s.replaceReplicas("engines", 4, func(number int, exchange *scriptedExchange) {
			switch number {
			case 1:
				exchange.write(exchange.head("200 OK", eventStreamLines))
				exchange.event(1)
				exchange.sleep(1500 * time.Millisecond)
				exchange.event(2)
				exchange.sleep(500 * time.Millisecond)
				_ = exchange.conn.Close()
			case 2: // its head comes after the first engine has gone on
				exchange.sleep(time.Second)
			default:
				exchange.write(exchange.head("200 OK", eventStreamLines))
				exchange.events(5, 10*time.Millisecond)
			}
		})
		defer replicas.close()
		got := s.do("n1", http.MethodPost, "/resume/", withDeadline(silentDeadline))
		s.Expect(replicas.count()).To(gomega.Equal(2), fmt.Sprint("after ", got.took, ": ", got.body))
		s.Expect(platformsim.ReadEvents(got.body).LastID).To(gomega.Equal(2))
	})
}

// Guards against a client error that the caller never gets because its replica is the successor of a silent one.
func TestClientErrorOfASuccessorReachesTheCaller(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		replicas := s.replaceReplicas("engines", 4, func(number int, exchange *scriptedExchange) {
			if number == 1 {
				exchange.silent()
				return
			}
			exchange.write(exchange.plain("400 Bad Request", "", "bad"))
		})
		defer replicas.close()
		got := s.do("n1", http.MethodPost, "/resume/", nil)
		s.Expect(got.status).To(gomega.Equal(http.StatusBadRequest), fmt.Sprint("after ", got.took))
	})
}

// Guards against a replica that is recorded as one that broke off, or gave an invalid answer, because it answered a
// request of a silent one with a whole signed failure.
func TestFailureOfASuccessorIsNotRecordedAsBrokenOff(t *testing.T) {
	for status, path := range map[string]string{"500 Internal Server Error": "/safe/", "400 Bad Request": "/resume/"} {
		t.Run(status, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setAttempts(2)
				service := "registry"
				if path == "/resume/" {
					service = "engines"
				}
				replicas := s.replaceReplicas(service, 4, func(number int, exchange *scriptedExchange) {
					if number == 1 {
						exchange.silent()
						return
					}
					exchange.write(exchange.plain(status, "", "bad"))
				})
				defer replicas.close()
				s.do("n1", http.MethodPost, path, nil)
				s.Expect(s.counters("breaks_spoiled ")).To(gomega.BeZero())
			})
		})
	}
}
