package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/entrylab"
	"github.com/thornwalk/thornwalk/lab/platformsim"
)

// scriptedExchange is one request at one of the scripted replicas. Its script writes the answer as raw text.
type scriptedExchange struct {
	replica, id string
	request     *http.Request
	conn        net.Conn
	// listener is that of the replica.
	listener net.Listener
	// ended is closed when the node closes the connection.
	ended chan struct{}
	// from and to are when the script began and when it returned or the connection ended.
	from, to time.Time
}

// sleep returns false if the node closes the connection before the time is over.
func (e *scriptedExchange) sleep(duration time.Duration) bool {
	select {
	case <-e.ended:
		return false
	case <-time.After(duration):
		return true
	}
}

// write sends the text. It returns false if the connection has ended.
func (e *scriptedExchange) write(text string) bool {
	_, err := io.WriteString(e.conn, text)
	return err == nil
}

// head returns the head of a signed answer with the lines.
func (e *scriptedExchange) head(status, lines string) string {
	return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + e.id + "\r\nX-Server-Stamp: " + e.replica + "\r\n" + lines + "\r\n"
}

// plain returns a whole signed plain answer.
func (e *scriptedExchange) plain(status, lines, body string) string {
	return e.head(status, lines+fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
}

// close closes the connection as a replica does that ends the answer with it.
func (e *scriptedExchange) close() { _ = e.conn.Close() }

// end ends the replica as a kernel does that closes the sockets of a killed process.
func (e *scriptedExchange) end() {
	_ = e.listener.Close()
	e.close()
}

// silent waits until the node closes the connection.
func (e *scriptedExchange) silent() { <-e.ended }

// scriptedReplicas are replicas of one service that share a script, which gets the number of the exchange, from 1 on.
type scriptedReplicas struct {
	mutex     sync.Mutex
	exchanges []*scriptedExchange
	closers   []io.Closer
	isClosed  bool
	script    func(number int, exchange *scriptedExchange)
}

// replaceReplicas replaces all replicas of the service by scripted ones.
func (s *scenario) replaceReplicas(service string, count int, script func(number int, exchange *scriptedExchange)) *scriptedReplicas {
	group := &scriptedReplicas{script: script}
	former := s.plainReplicas
	if service == "engines" {
		former = s.engines
	}
	for _, replica := range former {
		replica.Crash()
		s.deployment.Store.Delete("servers/" + replica.ID)
	}
	for i := range count {
		host := fmt.Sprint("x", i)
		replica := &platformsim.Replica{ID: "i-" + host, Service: service, Zone: "east", Slots: 8, Address: host + ":7000", Version: "v1"}
		listener, err := s.fabric.Host(host).Listen(replica.Address)
		s.Expect(err).NotTo(gomega.HaveOccurred())
		group.closers = append(group.closers, listener)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go group.serve(replica.ID, listener, conn)
			}
		}()
		replica.Register(s.deployment.Store, "ready")
	}
	time.Sleep(2 * time.Second)
	return group
}

// serve runs the script for each request of the connection.
func (r *scriptedReplicas) serve(replica string, listener net.Listener, conn net.Conn) {
	defer conn.Close()
	r.mutex.Lock()
	r.closers = append(r.closers, conn)
	isLate := r.isClosed
	r.mutex.Unlock()
	if isLate { // accepted as the group was closed
		return
	}
	requests, ended := make(chan *http.Request, 1), make(chan struct{})
	go func() {
		defer close(ended)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			requests <- request
		}
	}()
	for {
		select {
		case <-ended:
			return
		case request := <-requests:
			exchange := &scriptedExchange{replica: replica, id: request.Header.Get("X-Attempt-Id"), request: request, conn: conn, listener: listener, ended: ended, from: time.Now()}
			r.mutex.Lock()
			r.exchanges = append(r.exchanges, exchange)
			number := len(r.exchanges)
			r.mutex.Unlock()
			r.script(number, exchange)
			r.mutex.Lock()
			exchange.to = time.Now()
			r.mutex.Unlock()
		}
	}
}

// close closes all listeners and connections.
func (r *scriptedReplicas) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.isClosed = true
	for _, closer := range r.closers {
		_ = closer.Close()
	}
}

// count returns the number of exchanges.
func (r *scriptedReplicas) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.exchanges)
}

// connections returns the number of connections with exchanges.
func (r *scriptedReplicas) connections() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	used := map[net.Conn]bool{}
	for _, exchange := range r.exchanges {
		used[exchange.conn] = true
	}
	return len(used)
}

// sharedWork returns for how long the first two exchanges were at work together.
func (r *scriptedReplicas) sharedWork() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.exchanges) < 2 {
		return 0
	}
	first, second := r.exchanges[0], r.exchanges[1]
	end := first.to
	if end.IsZero() || !second.to.IsZero() && second.to.Before(end) {
		end = second.to
	}
	return end.Sub(second.from)
}

// setAttempts sets the attempts and timeouts of all repeatable routes.
func (s *scenario) setAttempts(attempts int) {
	s.configure(func(configuration *entrylab.Configuration) {
		for i := range configuration.Routes {
			route := &configuration.Routes[i]
			route.Timeout = int(silentDeadline.Milliseconds())
			if route.Attempts > 1 {
				route.Attempts = attempts
			}
		}
	})
	time.Sleep(time.Second)
}

// withDeadline sets the caller's deadline.
func withDeadline(deadline time.Duration) func(*http.Request) {
	return func(request *http.Request) {
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
}

const eventStreamLines = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

// events writes the events of a stream with a step before each one.
func (e *scriptedExchange) events(count int, step time.Duration) {
	first := 1
	if last := e.request.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for number := first; number <= count; number++ {
		if !e.sleep(step) || !e.event(number) {
			return
		}
	}
	e.write("0\r\n\r\n")
}

func (e *scriptedExchange) event(number int) bool {
	text := fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", number, number, e.id)
	return e.write(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}
