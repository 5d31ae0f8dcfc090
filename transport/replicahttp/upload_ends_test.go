package replicahttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/forward"
)

// Ends of answers that begin while their request is still being written. The tests use sockets of the kernel, which
// reports a reset once, to whichever call comes first.

const (
	unframedHead = "HTTP/1.1 200 OK\r\nId: me\r\nConnection: close\r\n\r\n"
	answerPart   = "the first part"
	// playsPerCourse is how often a course is played, as the order of two calls on a socket is left to the kernel.
	playsPerCourse = 15
	// promptAnswer is the time within which an answer that has ended is read, far below a request's time limit.
	promptAnswer = time.Second
)

var uploadSizes = []int{0, 40 << 10, 300 << 10, 1 << 20, 8 << 20, 32 << 20}

// reset closes the connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// uploadEnd is how a replica ends its answer, before it has read the request.
type uploadEnd struct {
	answer string
	end    func(conn net.Conn)
	// needsBody is true if the end is the one that is meant only while a part of the request is unread.
	needsBody bool
}

// brokenUploadEnds end with a reset in the middle of an answer without framing.
var brokenUploadEnds = map[string]uploadEnd{
	"reset at once":          {answer: unframedHead + answerPart, end: reset},
	"reset later":            {answer: unframedHead + answerPart, end: func(conn net.Conn) { time.Sleep(2 * time.Millisecond); reset(conn) }},
	"reset behind the head":  {answer: unframedHead, end: reset},
	"reset while it is read": {answer: unframedHead + answerPart, end: func(conn net.Conn) { readSome(conn); reset(conn) }},
	"closed with unread content": {answer: unframedHead + answerPart, needsBody: true, end: func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1)) // more has arrived
		_ = conn.Close()
	}},
	"HTTP/1.0": {answer: "HTTP/1.0 200 OK\r\nId: me\r\n\r\n" + answerPart, end: reset},
}

// wholeUploadEnds end an answer in order, or have a framing of their own.
var wholeUploadEnds = map[string]uploadEnd{
	"the request is read": {answer: unframedHead + answerPart, end: func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}},
	"the request is not read": {answer: unframedHead + answerPart, end: func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(100 * time.Millisecond)
		_ = conn.Close()
	}},
	"closed at once": {answer: unframedHead + answerPart, end: func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.Close()
	}},
	"with a length, reset": {answer: "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 14\r\n\r\n" + answerPart, end: reset},
	"in chunks, reset":     {answer: "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n" + answerPart + "\r\n0\r\n\r\n", end: reset},
}

// readSome reads a part of the request, if there is one.
func readSome(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	_, _ = io.CopyN(io.Discard, conn, 64<<10)
}

// serveUploads runs a replica on loopback that reads the head of each request, answers and ends the connection.
func serveUploads(t *testing.T, ending uploadEnd) string {
	t.Helper()
	return serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		reply(conn, ending.answer)
		ending.end(conn)
	})
}

// forwarder runs a peer on loopback that forwards each connection to the replica, and returns its address.
func forwarder(t *testing.T, replica string) string {
	t.Helper()
	return serve(t, func(_ int, node net.Conn, _ *bufio.Reader) {
		far, err := net.Dial("tcp", replica)
		if err != nil {
			_ = node.Close()
			return
		}
		forward.Splice(node, far)
	})
}

// dialUpload returns a new connection to the replica, direct or through the forwarder.
func dialUpload(pool *Pool, replica, forwardedBy string) (*Conn, error) {
	address := replica
	if forwardedBy != "" {
		address = forwardedBy
	}
	opened, err := net.Dial("tcp", address)
	switch {
	case err != nil:
		return nil, err
	case forwardedBy != "":
		return pool.AddForwarded(forward.NewConn(opened), Incarnation{Replica: "replica"}, 0, "peer"), nil
	}
	return pool.AddDirect(opened, Incarnation{Replica: "replica"}, 0), nil
}

// upload sends a request with a body and reads its answer. isWhole is true if the answer counts as complete.
func upload(pool *Pool, replica, forwardedBy string, body []byte) (content string, isWhole bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := dialUpload(pool, replica, forwardedBy)
	if err != nil {
		return "", false, err
	}
	answer, err := pool.Exchange(ctx, conn, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body, HasBody: true, IDHeader: "Id", ID: "me",
	})
	if err != nil {
		return "", false, err
	}
	defer answer.Abandon()
	read, err := io.ReadAll(answer.Body)
	return string(read), err == nil && answer.Ended(io.EOF), err
}

// forEachUpload calls the test for each size of the request, direct and forwarded.
func forEachUpload(t *testing.T, ends map[string]uploadEnd, test func(g *gomega.WithT, send func() (content string, isWhole bool, err error))) {
	bodies := map[int][]byte{}
	for _, size := range uploadSizes {
		bodies[size] = make([]byte, size)
	}
	for name, ending := range ends {
		for _, isForwarded := range []bool{false, true} {
			for _, size := range uploadSizes {
				if size == 0 && ending.needsBody {
					continue
				}
				t.Run(fmt.Sprintf("%s, forwarded %v, %d bytes", name, isForwarded, size), func(t *testing.T) {
					replica, forwardedBy := serveUploads(t, ending), ""
					if isForwarded {
						forwardedBy = forwarder(t, replica)
					}
					test(gomega.NewWithT(t), func() (string, bool, error) { return upload(NewPool(), replica, forwardedBy, bodies[size]) })
				})
			}
		}
	}
}

// Guards against a part of an answer that counts as whole because the goroutine that writes the request gets the reset,
// so that the read sees the end of the connection.
func TestAnswersThatAreResetDuringTheUploadAreNotWhole(t *testing.T) {
	forEachUpload(t, brokenUploadEnds, func(g *gomega.WithT, send func() (string, bool, error)) {
		counted := 0
		for range playsPerCourse {
			if _, isWhole, _ := send(); isWhole {
				counted++
			}
		}
		g.Expect(counted).To(gomega.BeZero(), "parts that counted as whole, of %d", playsPerCourse)
	})
}

// Guards against answers that are lost, or that wait, because their replica has not read the request: those that end in
// order, and those that have a framing of their own.
func TestAnswersThatEndInOrderDuringTheUploadAreWhole(t *testing.T) {
	forEachUpload(t, wholeUploadEnds, func(g *gomega.WithT, send func() (string, bool, error)) {
		for range playsPerCourse {
			began := time.Now()
			content, isWhole, err := send()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(isWhole).To(gomega.BeTrue())
			g.Expect(content).To(gomega.Equal(answerPart))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", promptAnswer))
		}
	})
}

// Guards against orders of the two calls that one request after the other does not bring about.
func TestAnswersThatAreResetDuringManyUploadsAreNotWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	replica := serveUploads(t, brokenUploadEnds["reset at once"])
	body := make([]byte, 2<<20)
	var group sync.WaitGroup
	wholes := make(chan string, 32*playsPerCourse)
	for range 32 {
		group.Go(func() {
			for range playsPerCourse {
				if content, isWhole, _ := upload(NewPool(), replica, "", body); isWhole {
					wholes <- content
				}
			}
		})
	}
	group.Wait()
	g.Expect(wholes).To(gomega.BeEmpty())
}

// Guards against a query that takes the part of an answer before a reset for the whole one. It writes before it reads, so
// that only reads are told of the reset.
func TestQueriesThatAreResetHaveNoAnswer(t *testing.T) {
	for name, ending := range brokenUploadEnds {
		if ending.needsBody {
			continue
		}
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			replica, pool := serveUploads(t, ending), NewPool()
			for range playsPerCourse {
				conn, err := dialUpload(pool, replica, "")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = pool.Query(t.Context(), conn, &Request{Method: http.MethodGet, Target: "/report", Host: "h", Header: http.Header{}, IDHeader: "Other-Id"}, 1<<10)
				g.Expect(err).To(gomega.HaveOccurred())
			}
		})
	}
}
