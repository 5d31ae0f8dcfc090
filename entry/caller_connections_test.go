package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against callers' connections that take the memory of the process together, and against the end of one that
// serves a request.
func TestNewConnectionsReplaceThoseThatServeNoRequest(t *testing.T) {
	const limit, excess = 8, 5
	g := gomega.NewWithT(t)
	connections := newCallerConnections(limit)
	release := make(chan struct{})
	server := &http.Server{ConnContext: connections.add, ConnState: connections.observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer beginRequest(r.Context())()
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	open := func(text string) net.Conn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = connection.Close() })
		_, err = io.WriteString(connection, text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return connection
	}
	isOpen := func(connection net.Conn) bool {
		_ = connection.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := connection.Read(make([]byte, 1))
		timeout, isNet := err.(net.Error)
		return isNet && timeout.Timeout()
	}
	serving := open("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Eventually(func() bool {
		connections.mutex.Lock()
		defer connections.mutex.Unlock()
		for _, state := range connections.open {
			return state.isServing
		}
		return false
	}).Should(gomega.BeTrue())
	var idle []net.Conn
	for range limit - 1 + excess {
		idle = append(idle, open("GET /slow HTTP/1.1\r\nHost: "))
		count := len(idle)
		g.Eventually(func() int {
			connections.mutex.Lock()
			defer connections.mutex.Unlock()
			return len(connections.open) + int(connections.closed)
		}).Should(gomega.Equal(count + 1))
	}
	for number, connection := range idle {
		g.Expect(isOpen(connection)).To(gomega.Equal(number >= excess), fmt.Sprint(number))
	}
	close(release)
	_ = serving.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(serving), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("done"))
	beginRequest(context.Background())() // a request without a tracked connection
}

// Guards against a limit that a node of the smallest machines reaches in usual work.
func TestLimitOfConnectionsFollowsTheMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect((&Settings{}).maxConnections()).To(gomega.BeZero())
	g.Expect((&Settings{MemoryLimitMB: 134}).maxConnections()).To(gomega.Equal(857))
	g.Expect((&Settings{MemoryLimitMB: 1}).maxConnections()).To(gomega.Equal(minMaxConnections))
}
