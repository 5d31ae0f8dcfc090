package memnet

import (
	"net"
	"strings"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
)

// socketBacklog is the number of messages that a socket queues; further ones are lost.
const socketBacklog = 1024

// Datagrams returns the datagram network as seen from the named host. Datagrams across a
// blocked link, or to an address without a socket, are lost without an error.
func (f *Fabric) Datagrams(name string) network.Datagrams { return host{fabric: f, name: name} }

// socket is an open datagram socket.
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
	newSocket := &socket{host: h, address: h.name + ":" + port, messages: make(chan []byte, socketBacklog), closed: make(chan struct{})}
	h.fabric.mutex.Lock()
	defer h.fabric.mutex.Unlock()
	h.fabric.sockets[newSocket.address] = newSocket
	return newSocket, nil
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
		receiver.enqueue(message)
		return nil
	}
	time.AfterFunc(delay, func() { receiver.enqueue(message) })
	return nil
}

// route returns the receiving socket of a datagram and the delay until delivery. The
// socket is nil if the datagram is lost.
func (f *Fabric) route(from, to, address string, bytes int) (*socket, time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	receiver := f.sockets[address]
	sendDelay, sent := f.sendDatagram(from, to, bytes)
	if !sent || receiver == nil || f.blockedLinks[hostPair{from, to}] {
		return nil, 0
	}
	receiveDelay, received := f.receiveDatagram(from, to, bytes)
	if !received {
		return nil, 0
	}
	return receiver, max(sendDelay, receiveDelay)
}

// enqueue appends a message to the socket's queue, or drops it if the queue is full.
func (s *socket) enqueue(message []byte) {
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
