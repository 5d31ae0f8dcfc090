package keptconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// server counts the requests that it served.
type server struct {
	*Server
	address string
	mutex   sync.Mutex
	served  map[string]bool
}

func serve(g *gomega.WithT) *server {
	s := &server{served: map[string]bool{}}
	s.Server = NewServer(&http.Server{Handler: s})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.address = inner.Addr().String()
	go func() { _ = s.Serve(inner) }()
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.served[r.URL.Path] = true
	s.mutex.Unlock()
	time.Sleep(time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

func (s *server) hasServed(path string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.served[path]
}

func (s *server) end() { _ = s.Close() }

// caller sends requests over one connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial(g *gomega.WithT) *caller {
	connection, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return &caller{connection, bufio.NewReader(connection)}
}

const tail = " HTTP/1.1\r\nHost: service.example\r\n\r\n"

func (c *caller) read() (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	return http.ReadResponse(c.reader, nil)
}

var stops = map[string]func(*server){
	"keep-alives disabled": func(s *server) { s.SetKeepAlivesEnabled(false) },
	"shutdown":             func(s *server) { go func() { _ = s.Shutdown(context.Background()) }() },
}

// Guards against a request whose head has arrived in part as the server closes idle connections, and that gets no answer.
func TestArrivingRequestIsAnsweredOnAConnectionThatCountsAsIdle(t *testing.T) {
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := serve(g)
			defer s.end()
			arriving, idle := s.dial(g), s.dial(g)
			defer arriving.Close()
			defer idle.Close()
			for _, c := range []*caller{arriving, idle} {
				_, err := io.WriteString(c, "GET /first"+tail)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = c.read()
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			_, err := io.WriteString(arriving, "GET /second")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			stop(s)
			_, err = idle.read()
			g.Expect(err).To(gomega.HaveOccurred(), "no request arrives on it")
			_, err = io.WriteString(arriving, tail)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			got, err := arriving.read()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(got.StatusCode).To(gomega.Equal(http.StatusNoContent))
			g.Expect(got.Close).To(gomega.BeTrue())
			_, err = arriving.read()
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}

// Guards against requests that are served and get no answer, as the server takes their connections for idle while it parses
// their heads.
func TestServedRequestsAreAnsweredWhileIdleConnectionsAreClosed(t *testing.T) {
	const rounds, callers = 300, 32
	g := gomega.NewWithT(t)
	lost, answered := 0, 0
	for round := range rounds {
		s := serve(g)
		var mutex sync.Mutex
		var group sync.WaitGroup
		for i := range callers {
			group.Go(func() {
				c := s.dial(g)
				defer c.Close()
				for number := 0; ; number++ {
					path := "/" + strconv.Itoa(i) + "/" + strconv.Itoa(number)
					if _, err := io.WriteString(c, "GET "+path+tail); err != nil {
						return
					}
					got, err := c.read()
					mutex.Lock()
					if err == nil {
						answered++
					} else if s.hasServed(path) {
						lost++
					}
					mutex.Unlock()
					if err != nil || got.Close {
						return
					}
				}
			})
		}
		time.Sleep(time.Duration(4+round%8) * time.Millisecond)
		s.SetKeepAlivesEnabled(false)
		group.Wait()
		s.end()
	}
	g.Expect(lost).To(gomega.Equal(0), "of %d answered", answered)
}

// Guards against connections that stay open after the end of their requests, or that carry none.
func TestShutdownEndsAllConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s := serve(g)
	defer s.end()
	silent, running := s.dial(g), s.dial(g)
	defer silent.Close()
	defer running.Close()
	_, err := io.WriteString(running, "GET /running"+tail)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() bool { return s.hasServed("/running") }).Should(gomega.BeTrue())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	g.Expect(s.Shutdown(ctx)).To(gomega.Succeed())
	got, err := running.read()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got.StatusCode).To(gomega.Equal(http.StatusNoContent))
	_, err = silent.read()
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = net.Dial("tcp", s.address)
	g.Expect(err).To(gomega.HaveOccurred())
	arriving := serve(g)
	defer arriving.end()
	c := arriving.dial(g)
	defer c.Close()
	_, err = io.WriteString(c, "GET /never")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	short, cancelShort := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancelShort()
	g.Expect(arriving.Shutdown(short)).To(gomega.MatchError(context.DeadlineExceeded))
}
