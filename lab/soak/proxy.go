package soak

import (
	"io"
	"net"
	"sync"
)

// mode is how a proxy treats connections.
type mode int

const (
	// modePass passes everything on.
	modePass mode = iota
	// modeReset closes new and present connections at once.
	modeReset
	// modeHang passes nothing on and closes nothing.
	modeHang
)

// proxy stands on loopback between daemons and one stand-in.
type proxy struct {
	listener net.Listener
	target   string

	mutex  sync.Mutex
	mode   mode
	passed chan struct{} // closed while bytes may pass
	conns  map[net.Conn]bool
}

// newProxy listens at the address and leads to the target.
func newProxy(address, target string) (*proxy, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, passed: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(p.passed)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the treatment of connections from now on.
func (p *proxy) setMode(next mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == modeHang && next != modeHang {
		close(p.passed)
	}
	if p.mode != modeHang && next == modeHang {
		p.passed = make(chan struct{})
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
		if p.enter(conn) {
			go p.serve(conn)
		}
	}
}

// enter registers the connection, or closes it while the proxy resets.
func (p *proxy) enter(conn net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == modeReset {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) leave(conn net.Conn) {
	_ = conn.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, conn)
}

func (p *proxy) serve(inner net.Conn) {
	defer p.leave(inner)
	outer, err := net.Dial("tcp", p.target)
	if err != nil || !p.enter(outer) {
		return
	}
	defer p.leave(outer)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{inner, outer}, {outer, inner}} {
		go func() {
			p.pass(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// pass copies bytes one way until either side closes.
func (p *proxy) pass(from io.Reader, to io.Writer) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		p.mutex.Lock()
		passed := p.passed
		p.mutex.Unlock()
		<-passed
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// close ends the proxy and all its connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}
