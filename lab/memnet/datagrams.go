package memnet

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
)

// socketBacklog is the number of messages that wait at a socket; more are lost.
const socketBacklog = 1024

// Datagrams returns the message network as seen from the named host. Messages
// across a cut, or to nobody, are lost.
func (f *Fabric) Datagrams(name string) network.Datagrams { return host{fabric: f, name: name} }

// socket is one open socket.
type socket struct {
	host     host
	address  string
	messages chan []byte
	once     sync.Once
	closed   chan struct{}
}

// ListenDatagrams implements network.Datagrams.
func (h host) ListenDatagrams(address string) (network.DatagramSocket, error) {
	_, port, _ := strings.Cut(address, ":")
	opened := &socket{host: h, address: h.name + ":" + port, messages: make(chan []byte, socketBacklog), closed: make(chan struct{})}
	h.fabric.mutex.Lock()
	defer h.fabric.mutex.Unlock()
	h.fabric.sockets[opened.address] = opened
	return opened, nil
}

// Send implements network.DatagramSocket.
func (s *socket) Send(address string, content []byte) error {
	fabric := s.host.fabric
	fabric.WaitResumed(s.host.name)
	target, _, _ := strings.Cut(address, ":")
	receiver, delay := fabric.route(s.host.name, target, address, len(content))
	if receiver == nil {
		return nil
	}
	message := append([]byte(nil), content...)
	if delay == 0 {
		receiver.take(message)
		return nil
	}
	time.AfterFunc(delay, func() { receiver.take(message) })
	return nil
}

// route returns who receives a datagram and after what delay, or nil if it is lost.
func (f *Fabric) route(from, to, address string, bytes int) (*socket, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	receiver := f.sockets[address]
	sending, sent := f.sendDatagram(from, to, bytes)
	if !sent || receiver == nil || f.cuts[direction{from, to}] {
		return nil, 0
	}
	receiving, received := f.receiveDatagram(from, to, bytes)
	if !received {
		return nil, 0
	}
	return receiver, max(sending, receiving)
}

// take lets a message wait at the socket, or loses it.
func (s *socket) take(message []byte) {
	select {
	case s.messages <- message:
	default:
	}
}

// Receive implements network.DatagramSocket.
func (s *socket) Receive(buffer []byte) (int, error) {
	select {
	case message := <-s.messages:
		s.host.fabric.WaitResumed(s.host.name)
		return copy(buffer, message), nil
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

// Close implements network.DatagramSocket.
func (s *socket) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.host.fabric.mutex.Lock()
		defer s.host.fabric.mutex.Unlock()
		if s.host.fabric.sockets[s.address] == s {
			delete(s.host.fabric.sockets, s.address)
		}
	})
	return nil
}
