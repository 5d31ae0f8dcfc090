package replicahttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/network"
)

const (
	// endlessBytes is what a replica in trouble sends at most in these tests.
	endlessBytes = 16 << 20
	// maxReadBytes is what may be read of an answer whose head has no end.
	maxReadBytes = 128 << 10
)

// countingConn counts the bytes that were read.
type countingConn struct {
	net.Conn
	received atomic.Int64
}

func (c *countingConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.received.Add(int64(count))
	return count, err
}

// serveEndless runs a replica that answers each request by the start and then by the part, over and over.
func serveEndless(t *testing.T, start, part string) string {
	return serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		defer conn.Close()
		if !readRequest(reader) {
			return
		}
		reply(conn, start)
		block := strings.Repeat(part, 64<<10/len(part)+1)
		for sent := 0; sent < endlessBytes; sent += len(block) {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
	})
}

// exchangeCounted sends a request over a new connection. It returns the error and the number of bytes that were read.
func exchangeCounted(t *testing.T, address string) (received int64, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	opened, err := network.TCP{}.Dial(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	pool, counted := NewPool(), &countingConn{Conn: opened}
	answer, err := pool.Exchange(ctx, pool.AddDirect(counted, Incarnation{Replica: "replica"}, 0), &Request{Method: http.MethodGet, Target: "/", Host: "h", IDHeader: "Id", ID: "me"})
	if err == nil {
		answer.Abandon()
	}
	return counted.received.Load(), err
}

// Guards against a node that keeps the bytes of a head without end until its process is over its memory limit.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	provisional := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for name, test := range map[string]struct{ start, part string }{
		"bytes without an end of line": {"", "x"},
		"status line":                  {"HTTP/1.1 200 ", "x"},
		"status line of a provisional": {"HTTP/1.1 103 ", "x"},
		"header line":                  {"HTTP/1.1 200 OK\r\nId: me\r\nA: ", "x"},
		"header name":                  {"HTTP/1.1 200 OK\r\nId: me\r\n", "x"},
		"folded header line":           {"HTTP/1.1 200 OK\r\nId: me\r\nA: a\r\n", " x\r\n"},
		"header lines":                 {"HTTP/1.1 200 OK\r\nId: me\r\n", "A: b\r\n"},
		"header lines of a second":     {provisional + "HTTP/1.1 200 OK\r\nId: me\r\n", "A: b\r\n"},
		"empty lines":                  {"", "\r\n"},
		"provisional responses":        {"", provisional},
		"zero bytes":                   {"", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			received, err := exchangeCounted(t, serveEndless(t, test.start, test.part))
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(received).To(gomega.BeNumerically("<=", maxReadBytes), fmt.Sprintf("%.100v", err))
		})
	}
}
