package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an answer that is lost, mixed or taken for whole because its replica is the successor of a silent one,
// or was replaced by one, for each kind of answer.
func TestKindsOfAnswersAroundASuccessor(t *testing.T) {
	const late = 2 * time.Second
	type script = func(*scriptedExchange)
	silent := func(e *scriptedExchange) { e.silent() }
	afterwards := func(e *scriptedExchange) {
		if e.sleep(late) {
			e.write(e.plain("200 OK", "", "first"))
		}
	}
	for name, test := range map[string]struct {
		method        string
		first, second script
		status        int
		body          string
	}{
		"head":      {http.MethodHead, silent, func(e *scriptedExchange) { e.write(e.head("200 OK", "Content-Length: 5\r\n")) }, 200, ""},
		"not found": {http.MethodGet, silent, func(e *scriptedExchange) { e.write(e.plain("404 Not Found", "", "none")) }, 404, "none"},
		"unframed": {http.MethodGet, silent, func(e *scriptedExchange) {
			e.write(e.head("200 OK", "Connection: close\r\n") + "second")
			_ = e.conn.Close()
		}, 200, "second"},
		"unframed, replaced in its middle": {http.MethodGet, func(e *scriptedExchange) {
			e.write(e.head("200 OK", "Connection: close\r\n") + "fir")
			e.silent()
		}, func(e *scriptedExchange) { e.write(e.plain("200 OK", "", "second")) }, 200, "second"},
		"misdirected":  {http.MethodGet, afterwards, func(e *scriptedExchange) { e.write(e.plain("421 Misdirected Request", "", "")) }, 200, "first"},
		"rejected":     {http.MethodGet, afterwards, func(e *scriptedExchange) { e.write(e.plain("503 Busy", "X-Not-Executed: 1\r\n", "")) }, 200, "first"},
		"unsigned":     {http.MethodGet, afterwards, func(e *scriptedExchange) { e.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake") }, 200, "first"},
		"server error": {http.MethodGet, afterwards, func(e *scriptedExchange) { e.write(e.plain("500 Failed", "", "bad")) }, 200, "first"},
		"spoiled":      {http.MethodGet, afterwards, func(e *scriptedExchange) { e.write("nonsense\r\n\r\n") }, 200, "first"},
		"closed":       {http.MethodGet, afterwards, func(e *scriptedExchange) { _ = e.conn.Close() }, 200, "first"},
		"another's": {http.MethodGet, afterwards, func(e *scriptedExchange) {
			e.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Stamp: x\r\nContent-Length: 4\r\n\r\nfake")
		}, 200, "first"},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.setAttempts(2)
				replicas := s.replaceReplicas("registry", 3, func(number int, exchange *scriptedExchange) {
					if number == 1 {
						test.first(exchange)
						return
					}
					test.second(exchange)
				})
				defer replicas.close()
				got := s.do("n1", test.method, "/safe/", nil)
				s.Expect(got.status).To(gomega.Equal(test.status), fmt.Sprint("after ", got.took))
				s.Expect(got.complete).To(gomega.BeTrue())
				s.Expect(got.body).To(gomega.Equal(test.body))
			})
		})
	}
}

// Guards against a request that ends unfinished because its successor breaks off after the head of a plain answer, of
// which the caller has nothing: the silent replica would answer in time.
func TestSuccessorThatBreaksOffAfterItsHeadDoesNotEndAPlainRequest(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.setAttempts(2)
		replicas := s.replaceReplicas("registry", 3, func(number int, exchange *scriptedExchange) {
			if number == 1 {
				if exchange.sleep(2 * time.Second) {
					exchange.write(exchange.plain("200 OK", "", "first"))
				}
				return
			}
			exchange.write(exchange.head("200 OK", "Content-Length: 9\r\n") + "sec")
			_ = exchange.conn.Close()
		})
		defer replicas.close()
		got := s.do("n1", http.MethodGet, "/safe/", nil)
		s.Expect(got.status).To(gomega.Equal(http.StatusOK), fmt.Sprint("after ", got.took))
	})
}
