package replicahttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/network"
)

// serve runs a replica on loopback that calls the function for each connection, and returns its
// address.
func serve(t *testing.T, handle func(number int, conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(number, conn, bufio.NewReader(conn))
		}
	}()
	return listener.Addr().String()
}

// connect returns an idle connection to the replica, or a new one.
func connect(ctx context.Context, pool *Pool, address string) (*Conn, error) {
	if idle := pool.TakeIdle(Incarnation{Replica: "replica"}, time.Minute, AnyTime); idle != nil {
		return idle, nil
	}
	opened, err := network.TCP{SilenceLimit: 3 * time.Second}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return pool.AddDirect(opened, Incarnation{Replica: "replica"}, 0), nil
}

// exchange sends one request and returns its answer, the body, and whether the connection was
// reused.
func exchange(t *testing.T, pool *Pool, address string, body string) (*Answer, string, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	conn, err := connect(ctx, pool, address)
	if err != nil {
		return nil, "", false, err
	}
	reused := conn.Reused
	answer, err := pool.Exchange(ctx, conn, &Request{Method: http.MethodPost, Target: "/x?y", Host: "h", Header: http.Header{"Id": {"me"}}, Body: []byte(body), HasBody: true, IDHeader: "Id", ID: "me"})
	if err != nil {
		return nil, "", reused, err
	}
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		answer.Abandon()
		return answer, string(content), reused, err
	}
	answer.Done()
	return answer, string(content), reused, nil
}

func reply(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const completeAnswer = "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 2\r\n\r\nok"

// readRequest reads one request with its body.
func readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// After a complete answer the next request must use the same connection.
func TestConnectionIsReusedAfterACompleteAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) {
			reply(conn, completeAnswer)
		}
	})
	pool := NewPool()
	_, _, reused, err := exchange(t, pool, address, "body")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reused).To(gomega.BeFalse())
	_, content, reused, err := exchange(t, pool, address, "body")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(content).To(gomega.Equal("ok"))
	g.Expect(reused).To(gomega.BeTrue())
}

// A connection that is about to be closed, or has bytes of another answer, must not carry another
// request.
func TestConnectionIsNotReusedAfterOtherAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"surplus answer":    completeAnswer + completeAnswer,
		"connection: close": "HTTP/1.1 200 OK\r\nId: me\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"keep-alive of 1 s": "HTTP/1.1 200 OK\r\nId: me\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address := serve(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				for readRequest(reader) {
					reply(conn, text)
				}
			})
			pool := NewPool()
			for range 3 {
				_, content, reused, err := exchange(t, pool, address, "body")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(content).To(gomega.Equal("ok"))
				g.Expect(reused).To(gomega.BeFalse())
			}
		})
	}
}

// An idle connection that the replica closed or wrote to must not be used again.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"closed": func(conn net.Conn) { _ = conn.Close() },
		"late":   func(conn net.Conn) { reply(conn, completeAnswer) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			disturbed, proceed := make(chan bool), make(chan bool)
			address := serve(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				for readRequest(reader) {
					reply(conn, completeAnswer)
					if number == 0 {
						<-proceed
						disturb(conn)
						close(disturbed)
					}
				}
			})
			pool := NewPool()
			_, _, _, err := exchange(t, pool, address, "body")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			close(proceed)
			<-disturbed
			idle := pool.takeIdle(poolKey{incarnation: Incarnation{Replica: "replica"}}, AnyTime)
			g.Eventually(idle.isReusable).WithTimeout(10 * time.Second).Should(gomega.BeFalse())
		})
	}
}

// An answer with the ID of another request must not be returned as this one's.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) {
			reply(conn, strings.Replace(completeAnswer, "me", "other", 1)+completeAnswer)
		}
	})
	answer, content, _, err := exchange(t, NewPool(), address, "body")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Header.Get("Id")).To(gomega.Equal("me"))
	g.Expect(content).To(gomega.Equal("ok"))
}

// An incomplete or invalid answer must not be returned as complete.
func TestIncompleteAnswerIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"in the body":  "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 9\r\n\r\nok",
		"in a chunk":   "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"in the head":  "HTTP/1.1 200 OK\r\nId:",
		"no head":      "",
		"other bytes":  "%$#\r\n\r\n",
		"other answer": strings.Replace(completeAnswer, "me", "other", 1),
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				reply(conn, text)
				_ = conn.Close()
			})
			_, _, _, err := exchange(t, NewPool(), address, "body")
			gomega.NewWithT(t).Expect(err).To(gomega.HaveOccurred())
		})
	}
}

// A replica may answer before it has read the body. The connection must then not carry another
// request, as the replica would read its bytes as the remainder of the body.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			reply(conn, completeAnswer)
		}
	})
	pool := NewPool()
	_, content, _, err := exchange(t, pool, address, strings.Repeat("x", 32<<20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(content).To(gomega.Equal("ok"))
	g.Expect(pool.takeIdle(poolKey{incarnation: Incarnation{Replica: "replica"}}, AnyTime)).To(gomega.BeNil())
}

// Guards against connections that stay idle although their replica or the path to it was found at fault, and
// against closing those of others.
func TestForgetClosesTheConnectionsOfItsReplicaOnly(t *testing.T) {
	for name, test := range map[string]struct {
		forget                                      func(pool *Pool)
		keepsDirect, keepsForwarded, keepsElsewhere bool
	}{
		"replica":             {func(pool *Pool) { pool.Forget(Incarnation{Replica: "replica"}) }, false, false, true},
		"direct":              {func(pool *Pool) { pool.ForgetDirect(Incarnation{Replica: "replica"}) }, false, true, true},
		"direct to every one": {(*Pool).ForgetAllDirect, false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			pool := NewPool()
			var ends []net.Conn
			add := func(add func(opened net.Conn) *Conn) {
				ours, replicas := net.Pipe()
				ends = append(ends, replicas)
				pool.putIdle(add(ours), "timeout=60")
			}
			add(func(opened net.Conn) *Conn { return pool.AddDirect(opened, Incarnation{Replica: "replica"}, 0) })
			add(func(opened net.Conn) *Conn {
				return pool.AddForwarded(opened, Incarnation{Replica: "replica"}, 0, "peer")
			})
			add(func(opened net.Conn) *Conn { return pool.AddDirect(opened, Incarnation{Replica: "other"}, 0) })
			test.forget(pool)
			g.Expect(pool.TakeIdle(Incarnation{Replica: "replica"}, time.Minute, AnyTime) != nil).To(gomega.Equal(test.keepsDirect), "direct")
			g.Expect(pool.TakeIdleForwarded(Incarnation{Replica: "replica"}, time.Minute, AnyTime) != nil).To(gomega.Equal(test.keepsForwarded), "forwarded")
			g.Expect(pool.TakeIdle(Incarnation{Replica: "other"}, time.Minute, AnyTime) != nil).To(gomega.Equal(test.keepsElsewhere), "of another replica")
			for i, isKept := range []bool{test.keepsDirect, test.keepsForwarded, test.keepsElsewhere} {
				_ = ends[i].SetReadDeadline(time.Now().Add(10 * time.Millisecond)) // fails if the other end is closed
				_, err := ends[i].Read(make([]byte, 1))
				g.Expect(err == io.EOF).To(gomega.Equal(!isKept), "closed")
			}
		})
	}
}

// Guards against a request that reaches the replica long after it was given up, because a silent path held its
// bytes back and the kernel went on sending them: the connection must be reset, not closed.
func TestAbandonedExchangeResetsItsConnection(t *testing.T) {
	for name, abandon := range map[string]func(answer *Answer, cancel func()){
		"the answer is abandoned": func(answer *Answer, _ func()) { answer.Abandon() },
		"the context ends":        func(_ *Answer, cancel func()) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			ended := make(chan error, 1)
			address := serve(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				reply(conn, "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 4\r\n\r\nok")
				_, err := reader.ReadByte()
				ended <- err
			})
			pool := NewPool()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			conn, err := connect(ctx, pool, address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			answer, err := pool.Exchange(ctx, conn, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, IDHeader: "Id", ID: "me"})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			abandon(answer, cancel)
			g.Expect(errors.Is(<-ended, syscall.ECONNRESET)).To(gomega.BeTrue())
		})
	}
}

// Guards against a request that is sent over a connection of a former incarnation of its replica.
func TestConnectionsOfIncarnationsAreKeptApart(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := NewPool()
	former, next := Incarnation{Replica: "replica", StartedAt: 1}, Incarnation{Replica: "replica", StartedAt: 2}
	for _, forwarder := range []string{"", "peer"} {
		ours, theirs := net.Pipe()
		defer func() { _ = theirs.Close() }()
		conn, take := pool.AddDirect(ours, former, time.Second), pool.TakeIdle
		if forwarder != "" {
			conn, take = pool.AddForwarded(ours, former, time.Second, forwarder), pool.TakeIdleForwarded
		}
		pool.putIdle(conn, "")
		g.Expect(take(next, time.Minute, AnyTime)).To(gomega.BeNil())
		pool.Forget(next)
		g.Expect(take(former, time.Minute, time.Second-1)).To(gomega.BeNil())
		taken := take(former, time.Minute, time.Second)
		g.Expect(taken).To(gomega.BeIdenticalTo(conn))
		g.Expect(taken.OpenedAt).To(gomega.Equal(time.Second))
		g.Expect(taken.Incarnation()).To(gomega.Equal(former))
	}
}
