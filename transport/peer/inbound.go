package peer

import (
	"net"
	"slices"
	"sync"
	"time"
)

// inbound remembers which peers have connections open to this process. Peers keep one
// each, so that a second one tells that the first is gone for the peer.
type inbound struct {
	mutex sync.Mutex
	// heard has, by host of the peer, when its connections brought something last.
	heard    map[string][]*time.Time
	replaced func()
}

func newInbound() inbound {
	return inbound{heard: map[string][]*time.Time{}, replaced: func() {}}
}

// opened enters a new connection of the host.
func (i *inbound) opened(host string) *time.Time {
	now := time.Now()
	i.mutex.Lock()
	replaces := slices.ContainsFunc(i.heard[host], func(at *time.Time) bool { return now.Sub(*at) >= SilenceTime })
	i.heard[host] = append(i.heard[host], &now)
	i.mutex.Unlock()
	if replaces {
		i.replaced()
	}
	return &now
}

// note records that something came by the connection.
func (i *inbound) note(connection *time.Time) {
	i.mutex.Lock()
	*connection = time.Now()
	i.mutex.Unlock()
}

// closed forgets a connection of the host.
func (i *inbound) closed(host string, connection *time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.heard[host] = slices.DeleteFunc(i.heard[host], func(other *time.Time) bool { return other == connection })
	if len(i.heard[host]) == 0 {
		delete(i.heard, host)
	}
}

func remoteHost(connection net.Conn) string {
	address := connection.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}
