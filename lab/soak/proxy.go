package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/network"
)

// mode is how a proxy treats connections.
type mode int

const (
	// modePass forwards all bytes.
	modePass mode = iota
	// modeReset closes new and existing connections at once.
	modeReset
	// modeHang forwards nothing and keeps connections open.
	modeHang
)

// proxy forwards connections from daemons to one stand-in. A reset on one side is one on the other. It is safe for
// concurrent use.
type proxy struct {
	listener net.Listener
	target   string

	mutex   sync.Mutex
	mode    mode
	flowing chan struct{} // closed unless the mode is modeHang
	conns   map[net.Conn]bool
}

// newProxy listens on the address and forwards connections to the target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, flowing: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(p.flowing)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode sets the mode for new and existing connections.
func (p *proxy) setMode(next mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == modeHang && next != modeHang {
		close(p.flowing)
	}
	if p.mode != modeHang && next == modeHang {
		p.flowing = make(chan struct{})
	}
	p.mode = next
	if next == modeReset {
		for conn := range p.conns {
			_ = conn.Close()
		}
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.track(conn) {
			go p.serve(conn)
		}
	}
}

// track registers the connection and returns true. In modeReset it closes the connection and returns
// false.
func (p *proxy) track(conn net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == modeReset {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) closeConn(conn net.Conn) {
	_ = conn.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, conn)
}

func (p *proxy) serve(client net.Conn) {
	defer p.closeConn(client)
	server, err := net.Dial("tcp", p.target)
	if err != nil || !p.track(server) {
		return
	}
	defer p.closeConn(server)
	done := make(chan error, 2)
	near, far := answerend.NewConn(client), answerend.NewConn(server)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() { done <- p.copyBytes(pair[0], pair[1]) }()
	}
	if errors.Is(<-done, syscall.ECONNRESET) {
		network.ResetOnClose(client)
		network.ResetOnClose(server)
	}
}

// copyBytes copies in one direction until either side ends, and returns its error. In modeHang it blocks.
func (p *proxy) copyBytes(from io.Reader, to io.Writer) error {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		p.mutex.Lock()
		flowing := p.flowing
		p.mutex.Unlock()
		<-flowing
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// close closes the listener and all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}
