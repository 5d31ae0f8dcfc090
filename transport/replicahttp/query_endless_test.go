package replicahttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a process over its memory because a replica's answer to a health check or a question for its report has
// no end, in any of its parts.
func TestAnswersToQueriesWithoutEndAreGivenUp(t *testing.T) {
	const maxBody, endlessBytes, limit = 1 << 10, 8 << 20, 64 << 10
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, form := range map[string]struct{ start, part string }{
		"first line":       {"", "x"},
		"header line":      {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"provisional head": {"HTTP/1.1 103 Early Hints\r\n", "A: b\r\n"},
		"provisional ones": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":             {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"long body":        {"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", "x"},
		"body of an error": {"HTTP/1.1 500 Failed\r\n\r\n", "x"},
		"chunks":           {chunked, "1\r\nx\r\n"},
		"chunk size":       {chunked, "0"},
		"chunk extension":  {chunked + "1;", "a"},
		"trailer":          {chunked + "0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				ours, theirs := net.Pipe()
				var read atomic.Int64
				go func() {
					defer theirs.Close()
					if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
						return
					}
					block := strings.Repeat(form.part, 512/len(form.part)+1)
					for text := form.start + block; read.Load() < endlessBytes; text = block {
						count, err := io.WriteString(theirs, text)
						read.Add(int64(count))
						if err != nil {
							return
						}
					}
				}()
				pool := NewPool()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				conn := pool.AddDirect(ours, Incarnation{Replica: "replica"}, 0)
				_, err := pool.Query(ctx, conn, &Request{Method: http.MethodGet, Target: "/report", Host: "h", Header: http.Header{}, IDHeader: "Id"}, maxBody)
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(read.Load()).To(gomega.BeNumerically("<=", limit))
				_, err = ours.Write([]byte("x"))
				g.Expect(err).To(gomega.HaveOccurred(), "closed")
			})
		})
	}
}
