package network

import (
	"net"
	"sync"
)

// Datagrams opens sockets for unreliable messages.
type Datagrams interface {
	// ListenDatagrams opens a socket at the address.
	ListenDatagrams(address string) (DatagramSocket, error)
}

// DatagramSocket sends and receives messages that may be lost. It is safe for concurrent use.
type DatagramSocket interface {
	// Send sends the content to the address. Neither success nor an error shows whether it arrives.
	Send(address string, content []byte) error
	// Receive blocks until a message arrives and returns its length. Bytes beyond the buffer are
	// lost.
	Receive(buffer []byte) (int, error)
	Close() error
}

// ListenDatagrams implements Datagrams over UDP.
func (TCP) ListenDatagrams(address string) (DatagramSocket, error) {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return nil, err
	}
	return &udpSocket{PacketConn: socket, resolved: map[string]*net.UDPAddr{}}, nil
}

// udpSocket is a UDP socket with a cache of resolved addresses.
type udpSocket struct {
	net.PacketConn
	mutex    sync.Mutex
	resolved map[string]*net.UDPAddr
}

// maxResolvedAddresses bounds the cache, which is cleared when it is full.
const maxResolvedAddresses = 4096

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
	if target, found := s.resolved[address]; found {
		return target, nil
	}
	target, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	if len(s.resolved) >= maxResolvedAddresses {
		clear(s.resolved)
	}
	s.resolved[address] = target
	return target, nil
}

// Receive implements DatagramSocket.
func (s *udpSocket) Receive(buffer []byte) (int, error) {
	size, _, err := s.ReadFrom(buffer)
	return size, err
}
