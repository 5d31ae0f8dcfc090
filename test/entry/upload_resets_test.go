package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Answers whose connection is reset while the request is still being written. The tests use sockets of the kernel, which
// reports a reset once, to whichever call comes first.

// uploadNet is a network on loopback of this process's own, as nodes have fixed ports.
var uploadNet = fmt.Sprintf("127.%d.%d.", 64+os.Getpid()>>8&63, os.Getpid()&255)

// Hosts of the tests.
var (
	uploadNode  = uploadNet + "1"
	uploadStore = uploadNet + "9"
)

const (
	uploadBytes = 1 << 20
	uploadPlays = 10
)

// uploadReplicas are replicas of one service. Each resets its connection within the answer to the first send of a
// request, and answers further ones.
type uploadReplicas struct {
	isStream bool
	mutex    sync.Mutex
	sends    map[string]int
}

// isFirst records a send of the request.
func (r *uploadReplicas) isFirst(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sends[id]++
	return r.sends[id] == 1
}

// maxSends returns the most sends of one request.
func (r *uploadReplicas) maxSends() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	most := 0
	for _, sends := range r.sends {
		most = max(most, sends)
	}
	return most
}

// uploadAnswerParts is the number of parts of a whole answer.
const uploadAnswerParts = 3

// body returns the first parts of the answer's body.
func (r *uploadReplicas) body(id string, parts int) string {
	if r.isStream {
		return unframedBody(id, 1, parts)
	}
	return strings.Repeat("part ", parts)
}

func (r *uploadReplicas) serve(replica string, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.answer(replica, conn.(*net.TCPConn))
	}
}

func (r *uploadReplicas) answer(replica string, conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id, contentType := request.Header.Get("X-Attempt-Id"), "text/plain"
	if r.isStream {
		contentType = "text/event-stream"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s\r\nConnection: close\r\nContent-Type: %s\r\n\r\n", id, replica, contentType)
	if r.isFirst(id) {
		_, _ = io.WriteString(conn, head+r.body(id, uploadAnswerParts-1))
		_ = conn.SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	from := 0 // parts that the caller has
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &from)
	}
	_, _ = io.WriteString(conn, head+strings.TrimPrefix(r.body(id, uploadAnswerParts), r.body(id, from)))
}

// runUploads runs the test with a node and two replicas of the service on loopback.
func runUploads(t *testing.T, service string, replicas *uploadReplicas, test func(g *gomega.WithT)) {
	t.Helper()
	s := &scenario{WithT: gomega.NewWithT(t)}
	var err error
	s.deployment, err = entrylab.Start(entrylab.Options{
		Hosts: []string{uploadNode}, Zones: []string{"east"}, StoreHost: uploadStore,
		Network:   func(string) network.Network { return network.TCP{SilenceLimit: 3 * time.Second} },
		Datagrams: func(string) network.Datagrams { return network.TCP{} },
	})
	s.Expect(err).NotTo(gomega.HaveOccurred())
	defer s.deployment.Stop()
	s.configure(nil)
	for i := range 2 {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", uploadNet, 21+i))
		s.Expect(err).NotTo(gomega.HaveOccurred())
		defer listener.Close()
		replica := &platformsim.Replica{ID: fmt.Sprint("i-", i), Service: service, Zone: "east", Slots: 8, Address: listener.Addr().String(), Version: "v1"}
		go replicas.serve(replica.ID, listener)
		replica.Register(s.deployment.Store, "ready")
	}
	s.awaitReady()
	test(s.WithT)
}

// sendUpload sends a large request in the version of HTTP and reads the response as its callers do.
func sendUpload(g *gomega.WithT, protocol, path, id string) reply {
	conn, err := net.Dial("tcp", entrylab.CallersAddress(uploadNode))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	go func() {
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: service.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n", path, protocol, id, uploadBytes)
		_, _ = conn.Write(bytes.Repeat([]byte("x"), uploadBytes))
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{}
	}
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil}
}

// Guards against a part of an answer that its caller gets as the whole one, in each version of HTTP, whether or not a part
// was passed on, and against a request that is not sent on though it may be, or though it must not.
func TestCallersOfUploadsGetNoPartAsAWholeAnswer(t *testing.T) {
	for _, route := range []struct {
		path, service string
		mayRepeat     bool
	}{{"/once/", "registry", false}, {"/safe/", "registry", true}, {"/stream/", "engines", false}, {"/resume/", "engines", true}} {
		for _, protocol := range []string{"1.1", "1.0"} {
			t.Run(protocol+route.path, func(t *testing.T) {
				replicas := &uploadReplicas{isStream: route.service == "engines", sends: map[string]int{}}
				runUploads(t, route.service, replicas, func(g *gomega.WithT) {
					statuses := map[string]int{}
					for i := range uploadPlays {
						id := fmt.Sprint("u", i)
						got := sendUpload(g, protocol, route.path, id)
						statuses[fmt.Sprint(got.status, got.complete)]++
						if got.status == http.StatusOK && got.complete {
							g.Expect(route.mayRepeat).To(gomega.BeTrue(), "only a part was sent")
							g.Expect(got.body).To(gomega.Equal(replicas.body(id, uploadAnswerParts)))
						}
					}
					t.Log(statuses)
					if route.mayRepeat {
						g.Expect(statuses["200 true"]).To(gomega.BeNumerically(">", 0))
						g.Expect(replicas.maxSends()).To(gomega.BeNumerically(">", 1))
					} else {
						g.Expect(replicas.maxSends()).To(gomega.Equal(1))
					}
				})
			})
		}
	}
}
