package replicahttp

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a query that takes a cut, late or endless answer for that of the replica, and against a connection that
// is used further although bytes of another answer follow.
func TestQuery(t *testing.T) {
	for name, testCase := range map[string]struct {
		answer         string
		isRead, isOpen bool
	}{
		"whole":               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true},
		"after a provisional": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, true},
		"closes":              {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, false},
		"surplus":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200", true, false},
		"of a request":        {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok", false, false},
		"cut":                 {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, false},
		"too long":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", false, false},
		"no answer":           {"", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				ours, theirs := net.Pipe()
				defer func() { _ = theirs.Close() }()
				go func() {
					request, err := http.ReadRequest(bufio.NewReader(theirs))
					if err == nil && request.URL.Path == "/report" {
						_, _ = theirs.Write([]byte(testCase.answer))
					}
				}()
				pool := NewPool()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				conn := pool.AddDirect(ours, Incarnation{Replica: "replica"}, 0)
				answer, err := pool.Query(ctx, conn, &Request{Method: http.MethodGet, Target: "/report", Host: "h", Header: http.Header{}, IDHeader: "Id"}, 4)
				g.Expect(err == nil).To(gomega.Equal(testCase.isRead))
				if testCase.isRead {
					g.Expect(string(answer.Body)).To(gomega.Equal("ok"))
					g.Expect(answer.IsOpen).To(gomega.Equal(testCase.isOpen))
				}
				if !testCase.isOpen {
					_, err = ours.Write([]byte("x"))
					g.Expect(err).To(gomega.HaveOccurred(), "closed")
				}
			})
		})
	}
}

// Guards against a surplus answer to a query, which comes later, in place of the answer to the next request of the connection.
func TestSurplusAnswerToAQueryIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if readRequest(reader) {
			reply(conn, answer)
		}
		if readRequest(reader) {
			reply(conn, answer+completeAnswer)
		}
	})
	pool := NewPool()
	conn, err := connect(t.Context(), pool, address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = pool.Query(t.Context(), conn, &Request{Method: http.MethodGet, Target: "/report", Host: "h", Header: http.Header{}, IDHeader: "Id"}, 4)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	next, err := pool.Exchange(t.Context(), conn, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, IDHeader: "Id", ID: "me"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer next.Abandon()
	g.Expect(next.Header.Get("Id")).To(gomega.Equal("me"))
}
