package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/lab/entrylab"
)

// writeEndless writes the start, and then the part over and over until the node closes the connection or 16 MB are
// written.
func (e *scriptedExchange) writeEndless(start, part string) {
	block := strings.Repeat(part, 64<<10/len(part)+1)
	for sent := 0; sent < 16<<20 && e.write(start); sent += len(block) {
		start = block
	}
}

// trickle writes the start, and then a byte of the text every 100 ms until the node closes the connection.
func (e *scriptedExchange) trickle(start, text string) {
	for e.write(start) && e.sleep(100*time.Millisecond) {
		start = text
	}
}

// spoiledAnswers are bytes that are no answer, by form, with the violation that is recorded.
var spoiledAnswers = map[string]struct {
	write     func(*scriptedExchange)
	violation string
}{
	"first line":     {func(e *scriptedExchange) { e.writeEndless("", "x") }, "head-too-long"},
	"header line":    {func(e *scriptedExchange) { e.writeEndless("HTTP/1.1 200 OK\r\nA: ", "x") }, "head-too-long"},
	"header lines":   {func(e *scriptedExchange) { e.writeEndless("HTTP/1.1 200 OK\r\n", "A: b\r\n") }, "head-too-many-lines"},
	"interim head":   {func(e *scriptedExchange) { e.writeEndless("HTTP/1.1 103 Early\r\n", "A: b\r\n") }, "head-too-many-lines"},
	"interim heads":  {func(e *scriptedExchange) { e.writeEndless("", "HTTP/1.1 103 Early\r\n\r\n") }, "other-answers"},
	"nonsense":       {func(e *scriptedExchange) { e.write("nonsense\r\n\r\n") }, "head-malformed"},
	"trickling head": {func(e *scriptedExchange) { e.trickle("HTTP/1.1 200 OK\r\nA: ", "x") }, "head-too-slow"},
	"other answers": {func(e *scriptedExchange) {
		e.writeEndless("", "HTTP/1.1 200 OK\r\nX-Attempt-Id: x\r\nContent-Length: 0\r\n\r\n")
	}, "other-answers"},
	"unsigned":         {func(e *scriptedExchange) { e.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno") }, "unsigned"},
	"encoded":          {func(e *scriptedExchange) { e.write(e.plain("200 OK", "Content-Encoding: gzip\r\n", "packed")) }, "encoded"},
	"body":             {func(e *scriptedExchange) { e.writeEndless(e.head("200 OK", "Connection: close\r\n"), "x") }, "body-too-long"},
	"body of an error": {func(e *scriptedExchange) { e.writeEndless(e.head("500 Failed", "Connection: close\r\n"), "x") }, "body-too-long"},
	"chunk size":       {func(e *scriptedExchange) { e.writeEndless(e.head("200 OK", "Transfer-Encoding: chunked\r\n"), "0") }, "body-malformed"},
	"chunk extension": {func(e *scriptedExchange) {
		e.writeEndless(e.head("200 OK", "Transfer-Encoding: chunked\r\n")+"1;", "a")
	}, "body-malformed"},
	"trailer": {func(e *scriptedExchange) {
		e.writeEndless(e.head("200 OK", "Transfer-Encoding: chunked\r\n")+"0\r\n", "A: b\r\n")
	}, "body-malformed"},
	"status 000": {func(e *scriptedExchange) { e.write(e.plain("000 Odd", "", "bad")) }, "head-invalid-status"},
	"status 000 before an answer": {func(e *scriptedExchange) {
		e.write(e.head("000 Odd", "") + e.plain("200 OK", "", "bad"))
	}, "head-invalid-status"},
	"status 099":              {func(e *scriptedExchange) { e.write(e.plain("099 Odd", "", "bad")) }, "head-invalid-status"},
	"status with a sign":      {func(e *scriptedExchange) { e.write(e.plain("+20 Odd", "", "bad")) }, "head-invalid-status"},
	"blank in a name":         {func(e *scriptedExchange) { e.write(e.plain("200 OK", "Odd Name: x\r\n", "bad")) }, "head-invalid-name"},
	"blank behind a name":     {func(e *scriptedExchange) { e.write(e.plain("200 OK", "Odd : x\r\n", "bad")) }, "head-invalid-name"},
	"control byte in a name":  {func(e *scriptedExchange) { e.write(e.plain("200 OK", "Odd\x01: x\r\n", "bad")) }, "head-malformed"},
	"control byte in a value": {func(e *scriptedExchange) { e.write(e.plain("200 OK", "Odd: \x01\r\n", "bad")) }, "head-malformed"},
	"blank behind the length": {func(e *scriptedExchange) {
		e.write(e.head("200 OK", "Connection: close\r\nContent-Length : 3\r\n") + "bad and more")
		e.close()
	}, "head-invalid-name"},
	"blank behind the coding": {func(e *scriptedExchange) {
		e.write(e.head("200 OK", "Connection: close\r\nTransfer-Encoding : chunked\r\n") + "3\r\nbad\r\n0\r\n\r\n")
		e.close()
	}, "head-invalid-name"},
	"blank behind the name of the ID": {func(e *scriptedExchange) {
		e.write(e.plain("200 OK", "X-Attempt-Id : of-another\r\n", "bad"))
	}, "head-invalid-name"},
	"blank in an interim head": {func(e *scriptedExchange) {
		e.write("HTTP/1.1 103 Early Hints\r\nOdd Name: x\r\n\r\n" + e.plain("200 OK", "", "bad"))
	}, "head-invalid-name"},
	"blank in a trailer": {func(e *scriptedExchange) {
		e.write(e.head("200 OK", "Transfer-Encoding: chunked\r\n") + "3\r\nbad\r\n0\r\nOdd Name: x\r\n\r\n")
	}, "trailer-invalid-name"},
	"event": {func(e *scriptedExchange) {
		e.writeEndless(e.head("200 OK", "Content-Type: text/event-stream\r\n"), "x")
	}, "event-too-long"},
	"event ID": {func(e *scriptedExchange) {
		e.write(e.head("200 OK", "Content-Type: text/event-stream\r\n") + "id: " + strings.Repeat("1", 2000) + "\n\n")
	}, "event-id-too-long"},
}

// Guards against a spoiled answer whose caller waits, gets a part of it or is told something untrue, a request that
// runs twice though it must not, and one that does not go on at another replica though it may.
func TestCallersGetTrueEndsOfSpoiledAnswers(t *testing.T) {
	for name, spoiled := range spoiledAnswers {
		for _, route := range []struct {
			path, method, service string
			mayRepeat             bool
		}{
			{"/once/", http.MethodPost, "registry", false}, {"/safe/", http.MethodGet, "registry", true},
			{"/stream/", http.MethodPost, "engines", false}, {"/resume/", http.MethodPost, "engines", true},
		} {
			t.Run(name+route.path, func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
						if number == 1 {
							spoiled.write(exchange)
							exchange.silent()
							return
						}
						exchange.write(exchange.plain("200 OK", "Content-Type: text/event-stream\r\n", "id: 1\ndata: sound\n\n"))
					})
					defer replicas.close()
					got := s.do("n1", route.method, route.path, nil)
					s.Expect(got.took).To(gomega.BeNumerically("<=", 2500*time.Millisecond))
					s.Expect(got.complete).To(gomega.BeTrue())
					if route.mayRepeat {
						s.Expect(got.status).To(gomega.Equal(http.StatusOK))
						s.Expect(got.body).To(gomega.ContainSubstring("sound"))
						return
					}
					s.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
					s.Expect(got.body).To(gomega.BeEmpty())
					s.Expect(got.header.Get("X-Server-Stamp")).To(gomega.BeEmpty())
					s.Expect(replicas.count()).To(gomega.Equal(1), "it may have run")
					s.Expect(s.counters("answers_invalid_" + strings.ReplaceAll(spoiled.violation, "-", "_") + " ")).To(gomega.Equal(1))
				})
			})
		}
	}
}

// Guards against a status above 599 that is replaced, and against one that ends a request which may go on elsewhere: a
// recipient handles it as that of a server error (RFC 9110, section 15).
func TestStatusesAbove599AreServerErrors(t *testing.T) {
	for _, status := range []int{600, 999} {
		for _, route := range answerRoutes {
			t.Run(fmt.Sprint(status, route.path), func(t *testing.T) {
				runScenario(t, func(s *scenario) {
					replicas := s.replaceReplicas(route.service, 3, func(number int, exchange *scriptedExchange) {
						if number > 1 {
							route.wholeAnswer(exchange)
							return
						}
						exchange.write(exchange.plain(fmt.Sprint(status, " Odd"), "", "odd"))
					})
					defer replicas.close()
					got := s.do("n1", route.method, route.path, nil)
					s.Expect(got.complete).To(gomega.BeTrue())
					if route.mayRepeat {
						s.Expect(got.status).To(gomega.Equal(http.StatusOK))
						s.Expect(got.body).To(gomega.Equal(route.wholeBody(got)))
						return
					}
					s.Expect(got.status).To(gomega.Equal(status))
					s.Expect(got.body).To(gomega.Equal("odd"))
					s.Expect(got.header.Get("X-Server-Stamp")).NotTo(gomega.BeEmpty())
				})
			})
		}
	}
}

// Guards against a part of a stream whose caller takes it for the whole one, as its trailer is none: what was passed on is
// broken off, and a stream that may go on elsewhere does.
func TestStreamsWithAnInvalidTrailerAreNotWhole(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				replicas := s.replaceReplicas("engines", 3, func(number int, exchange *scriptedExchange) {
					exchange.write(exchange.head("200 OK", eventStreamLines))
					if number > 1 {
						exchange.events(3, 10*time.Millisecond)
						return
					}
					exchange.event(1)
					exchange.event(2)
					exchange.write("0\r\nOdd Name: x\r\n\r\n")
				})
				defer replicas.close()
				got := s.do("n1", http.MethodPost, path, nil)
				s.Expect(got.status).To(gomega.Equal(http.StatusOK))
				if path == "/resume/" {
					s.Expect(got.complete).To(gomega.BeTrue())
					s.Expect(got.body).To(gomega.Equal(streamBody(got, 3)))
					return
				}
				s.Expect(got.complete).To(gomega.BeFalse())
				s.Expect(got.body).To(gomega.Equal(streamBody(got, 2)))
				s.Expect(s.counters("answers_invalid_trailer_invalid_name ")).To(gomega.Equal(1))
			})
		})
	}
}

// Guards against log lines, which repeat at length what a replica sent.
func TestLinesOfSpoiledAnswersAreShort(t *testing.T) {
	runScenario(t, func(s *scenario) {
		replicas := s.replaceReplicas("registry", 1, func(_ int, exchange *scriptedExchange) {
			exchange.write("HTTP/1.1 " + strings.Repeat("\x00x", 3000) + "\r\n\r\n")
		})
		defer replicas.close()
		s.do("n1", http.MethodPost, "/once/", nil)
		sent := s.loggedEvents("request.sent")
		s.Expect(sent).To(gomega.HaveLen(1))
		s.Expect(sent[0].Reason).To(gomega.Equal("spoiled"))
		s.Expect(sent[0].Detail).To(gomega.ContainSubstring("head-malformed after "))
		s.Expect(len(sent[0].Detail)).To(gomega.BeNumerically("<=", 160))
	})
}

// Sizes of the tests of the budget.
const (
	budgetMB = 8
	// largeAnswers are answered at once, each by answerBytes, which are below the limit of one answer.
	largeAnswers = 48
	answerBytes  = 3 << 20
	// maxOverBudget allows for answers that were ended and are not collected yet, and for the streams.
	maxOverBudget = 12 << 20
)

// runWithBudget runs the test with nodes that hold budgetMB of requests and answers at most.
func runWithBudget(t *testing.T, test func(s *scenario)) {
	runAdjusted(t, func(settings *entry.Settings) { settings.BufferMB = budgetMB }, test)
}

// heldGauge returns the most bytes that a node has held.
func (s *scenario) heldGauge() int { return s.counters("buffers_max_held_bytes ") }

// Guards against answers that are each below their limit and together over the memory of the process, and against an
// end of small answers for it.
func TestAnswersTogetherHoldNoMoreThanTheBudget(t *testing.T) {
	runWithBudget(t, func(s *scenario) {
		replicas := s.replaceReplicas("registry", largeAnswers/4, func(_ int, exchange *scriptedExchange) {
			if strings.HasPrefix(exchange.request.URL.Path, "/safe/small") {
				exchange.sleep(500 * time.Millisecond)
				exchange.write(exchange.plain("200 OK", "", "small"))
				return
			}
			exchange.write(exchange.head("200 OK", fmt.Sprintf("Content-Length: %d\r\n", answerBytes)))
			for sent := 0; sent < answerBytes && exchange.write(strings.Repeat("x", 64<<10)); sent += 64 << 10 {
				exchange.sleep(20 * time.Millisecond)
			}
		})
		defer replicas.close()
		baseline := heapInUse()
		var group sync.WaitGroup
		answered := make(chan reply, largeAnswers)
		for range largeAnswers {
			group.Go(func() { answered <- s.do("n1", http.MethodPost, "/once/", nil) })
		}
		small := make(chan reply, 4)
		for range cap(small) {
			group.Go(func() { small <- s.do("n1", http.MethodGet, "/safe/small", nil) })
		}
		most := int64(0)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			most = max(most, heapInUse()-baseline)
		}
		group.Wait()
		close(answered)
		close(small)
		statuses := map[int]int{}
		for got := range answered {
			s.Expect(got.complete).To(gomega.BeTrue())
			statuses[got.status]++
		}
		t.Logf("statuses %v, heap at most %d bytes more, held at most %d", statuses, most, s.heldGauge())
		s.Expect(statuses[http.StatusBadGateway]).To(gomega.BeNumerically(">", 0), "ended for the budget")
		s.Expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 0), "within the budget")
		for got := range small {
			s.Expect(got.status).To(gomega.Or(gomega.Equal(http.StatusOK), gomega.Equal(http.StatusServiceUnavailable)))
		}
		s.Expect(s.heldGauge()).To(gomega.BeNumerically("<=", budgetMB<<20))
		s.Expect(most).To(gomega.BeNumerically("<=", budgetMB<<20+maxOverBudget))
		s.Expect(s.counters("ended_memory_full ")).To(gomega.Equal(statuses[http.StatusBadGateway]))
	})
}

// Guards against bodies of requests that are each below their limit and together over the memory of the process, and
// against an untrue promise to those that are ended: none of them has run.
func TestRequestBodiesTogetherHoldNoMoreThanTheBudget(t *testing.T) {
	runWithBudget(t, func(s *scenario) {
		var group sync.WaitGroup
		answered := make(chan reply, 24)
		for number := range cap(answered) {
			group.Go(func() {
				answered <- s.do("n1", http.MethodPost, "/once/large", func(request *http.Request) {
					body := &slowBody{left: 1 << 20}
					request.Body, request.ContentLength = body, int64(body.left)
					request.Header.Set("X-Attempt-Id", "large"+strconv.Itoa(number))
				})
			})
		}
		group.Wait()
		close(answered)
		statuses := map[int]int{}
		for got := range answered {
			statuses[got.status]++
			if got.status == http.StatusServiceUnavailable {
				s.Expect(got.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		}
		ran := 0
		for id := range s.runCounts() {
			if strings.HasPrefix(id, "large") {
				ran++
			}
		}
		t.Logf("statuses %v, %d ran, held at most %d", statuses, ran, s.heldGauge())
		s.Expect(s.counters("ended_memory_full ")).To(gomega.BeNumerically(">", 0))
		// A connection may end without a response (status 0) if the rest of its body does not arrive in time.
		s.Expect(statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable] + statuses[0]).To(gomega.Equal(cap(answered)))
		s.Expect(ran).To(gomega.Equal(statuses[http.StatusOK]))
		s.Expect(s.heldGauge()).To(gomega.BeNumerically("<=", budgetMB<<20))
	})
}

// Guards against the promise "not run" to a request that is ended for its body while a replica may have run it.
func TestEvictedRequestThatMayHaveRunIsNotPromisedOtherwise(t *testing.T) {
	runWithBudget(t, func(s *scenario) {
		replicas := s.replaceReplicas("registry", 12, func(_ int, exchange *scriptedExchange) { exchange.silent() })
		defer replicas.close()
		send := func(bytes int) reply {
			return s.do("n1", http.MethodPost, "/once/", func(request *http.Request) {
				request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", bytes))), int64(bytes)
			})
		}
		largest := make(chan reply, 1)
		go func() { largest <- send(1 << 20) }()
		time.Sleep(100 * time.Millisecond)
		s.Expect(replicas.count()).To(gomega.Equal(1))
		var group sync.WaitGroup
		for range budgetMB {
			group.Go(func() { send(1<<20 - 32<<10) })
		}
		group.Wait()
		got := <-largest
		s.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
		s.Expect(got.took).To(gomega.BeNumerically("<", time.Second))
		s.Expect(s.counters("ended_memory_full ")).To(gomega.Equal(1))
	})
}

// slowBody is a body of bytes that come in 50 parts over a second.
type slowBody struct{ left int }

func (b *slowBody) Read(into []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second / 50)
	count := min(len(into), b.left, 1<<20/50+1)
	b.left -= count
	return count, nil
}

func (b *slowBody) Close() error { return nil }

// Guards against an answer that stays in memory since its caller does not read it, while others need the memory.
func TestAnswerToASlowCallerGivesWay(t *testing.T) {
	runWithBudget(t, func(s *scenario) {
		const slowBytes, bytes = 5 << 20, 4 << 20
		replicas := s.replaceReplicas("registry", 3, func(_ int, exchange *scriptedExchange) {
			size := bytes
			if strings.HasPrefix(exchange.request.URL.Path, "/once/slow") {
				size = slowBytes
			}
			exchange.write(exchange.plain("200 OK", "", strings.Repeat("x", size)))
		})
		defer replicas.close()
		slow, err := s.fabric.Host("caller").Dial(context.Background(), entrylab.CallersAddress("n1"))
		s.Expect(err).NotTo(gomega.HaveOccurred())
		defer slow.Close()
		_, err = io.WriteString(slow, "GET /once/slow HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: slow\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n\r\n")
		s.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(300 * time.Millisecond) // the caller reads nothing
		got := s.do("n1", http.MethodPost, "/once/", nil)
		s.Expect(got.status).To(gomega.Equal(http.StatusOK))
		s.Expect(got.body).To(gomega.HaveLen(bytes))
		s.Expect(s.counters("buffers_evicted ")).To(gomega.Equal(1))
		rest, _ := io.ReadAll(slow)
		s.Expect(len(rest)).To(gomega.BeNumerically("<", slowBytes), "its connection ends before the whole answer")
	})
}
