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
