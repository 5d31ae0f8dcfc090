package network

import (
	"net"
	"sync"
)

// Datagrams opens sockets for messages that may get lost.
type Datagrams interface {
	// ListenDatagrams opens a socket at the address.
	ListenDatagrams(address string) (DatagramSocket, error)
}

// DatagramSocket sends and receives messages that may get lost.
type DatagramSocket interface {
	// Send sends the content to the address; an error proves nothing.
	Send(address string, content []byte) error
	// Receive waits for a message and returns its length.
	Receive(buffer []byte) (int, error)
	Close() error
}

// ListenDatagrams implements Datagrams over UDP.
func (TCP) ListenDatagrams(address string) (DatagramSocket, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, err
	}
	return &udpSocket{PacketConn: socket, known: map[string]*net.UDPAddr{}}, nil
}

// udpSocket is a UDP socket that remembers resolved addresses.
type udpSocket struct {
	net.PacketConn
	mutex sync.Mutex
	known map[string]*net.UDPAddr
}

// maximumKnown bounds the remembered addresses.
const maximumKnown = 4096

// Send implements DatagramSocket.
func (s *udpSocket) Send(address string, content []byte) error {
	target, err := s.resolve(address)
	if err != nil {
		return err
	}
	_, err = s.WriteTo(content, target)
	return err
}

func (s *udpSocket) resolve(address string) (*net.UDPAddr, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if target, found := s.known[address]; found {
		return target, nil
	}
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	if len(s.known) >= maximumKnown {
		clear(s.known)
	}
	s.known[address] = target
	return target, nil
}

// Receive implements DatagramSocket.
func (s *udpSocket) Receive(buffer []byte) (int, error) {
	size, _, err := s.ReadFrom(buffer)
	return size, err
}
