package replicahttp

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

	"github.com/thornwalk/thornwalk/transport/forward"
)

// framedAnswers are whole answers, by the framing of their bodies.
var framedAnswers = map[string]struct{ head, body string }{
	"length":      {"HTTP/1.1 200 OK\r\nId: me\r\nStamp: s\r\nContent-Length: 12\r\n\r\n", "id: 1\nda: x\n"},
	"no length":   {"HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 0\r\n\r\n", ""},
	"chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: me\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n"},
	"trailer":     {"HTTP/1.1 200 OK\r\nId: me\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\nA: b\r\n\r\n"},
	"connection":  {"HTTP/1.1 200 OK\r\nId: me\r\nConnection: close\r\n\r\n", ""},
	"HTTP/1.0":    {"HTTP/1.0 200 OK\r\nId: me\r\n\r\n", ""},
	"provisional": {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 0\r\n\r\n", ""},
	"line feeds":  {"HTTP/1.1 200 OK\nId: me\nContent-Length: 2\n\n", "ok"},
	"folded":      {"HTTP/1.1 200 OK\r\nId: me\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n", ""},
	"no body":     {"HTTP/1.1 204 No Content\r\nId: me\r\n\r\n", ""},
}

// cutConnection returns a connection whose replica answers each request with the next of the texts, and closes it behind
// the last one.
func cutConnection(pool *Pool, isForwarded bool, texts []string) *Conn {
	node, replica := net.Pipe()
	go func() {
		defer replica.Close()
		reader := bufio.NewReader(replica)
		for _, text := range texts {
			if !readRequest(reader) {
				return
			}
			reply(replica, text)
		}
	}()
	if !isForwarded {
		return pool.AddDirect(node, Incarnation{Replica: "replica"}, 0)
	}
	near, far := net.Pipe()
	go forward.Splice(far, node)
	return pool.AddForwarded(forward.NewConn(near), Incarnation{Replica: "replica"}, 0, "peer")
}

// readAll sends a request and reads the whole answer. isEnded is true if the answer counts as complete.
func readAll(t *testing.T, pool *Pool, conn *Conn) (isEnded bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, err := pool.Exchange(ctx, conn, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, IDHeader: "Id", ID: "me"})
	if err != nil {
		return false, err
	}
	defer answer.Done()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.complete && err == nil, err
}

// Guards against an answer that counts as one, or as whole, though its replica stopped in the middle of its head, or
// before the end that a length or chunks announce, and closed the connection: at every byte, on new and kept
// connections, direct and over a forwarder.
func TestAnswersCutAtEveryByteAreNotWhole(t *testing.T) {
	for framing, answer := range framedAnswers {
		for _, isKept := range []bool{false, true} {
			for _, isForwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, kept %v, forwarded %v", framing, isKept, isForwarded), func(t *testing.T) {
					g := gomega.NewWithT(t)
					whole := answer.head + answer.body
					for cut := range len(whole) + 1 {
						texts := []string{whole[:cut]}
						if isKept {
							texts = append([]string{completeAnswer}, texts...)
						}
						pool := NewPool()
						conn := cutConnection(pool, isForwarded, texts)
						if isKept {
							isEnded, err := readAll(t, pool, conn)
							g.Expect(err).NotTo(gomega.HaveOccurred())
							g.Expect(isEnded).To(gomega.BeTrue())
							conn = pool.takeIdle(conn.key, AnyTime)
							g.Expect(conn).NotTo(gomega.BeNil())
							conn.Reused = true
						}
						isEnded, err := readAll(t, pool, conn)
						g.Expect(isEnded).To(gomega.Equal(cut == len(whole)), "%q: %v", whole[:cut], err)
						if idle := pool.takeIdle(conn.key, AnyTime); idle != nil {
							_ = idle.Close()
						}
					}
				})
			}
		}
	}
}

// Guards against a part of an answer that counts as a whole one of another form.
func FuzzPrefixesOfAnswersAreNotWhole(f *testing.F) {
	for _, answer := range framedAnswers {
		f.Add(strings.TrimPrefix(answer.head, "HTTP/1.1 200 OK\r\n"), uint16(len(answer.head)/2))
	}
	f.Fuzz(func(t *testing.T, lines string, cut uint16) {
		head := "HTTP/1.1 200 OK\r\nId: me\r\n" + lines
		end := strings.Index(head, "\n\r\n")
		if at := strings.Index(head, "\n\n"); at >= 0 && (end < 0 || at < end) {
			end = at
		}
		if end < 0 {
			end = len(head)
		}
		pool := NewPool()
		conn := cutConnection(pool, false, []string{head[:min(int(cut), end)]})
		if isEnded, _ := readAll(t, pool, conn); isEnded {
			t.Fatalf("complete: %q", head[:min(int(cut), end)])
		}
	})
}
