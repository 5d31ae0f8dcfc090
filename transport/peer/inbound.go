package peer

import (
	"net"
	"slices"
	"sync"
	"time"
)

// inbound tracks the connections that peers opened to this process. Each peer uses one, so a second
// one shows that the peer gave up the first.
type inbound struct {
	mutex sync.Mutex
	// received has the time of the last received frame of each connection, by host of the peer.
	received   map[string][]*time.Time
	onReplaced func()
}

func newInbound() inbound {
	return inbound{received: map[string][]*time.Time{}, onReplaced: func() {}}
}

// add registers a new connection of the host and returns its time of the last received frame. It
// calls onReplaced if another connection of the host is silent.
func (i *inbound) add(host string) *time.Time {
	now := time.Now()
	i.mutex.Lock()
	replaces := slices.ContainsFunc(i.received[host], func(at *time.Time) bool { return now.Sub(*at) >= SilenceTime })
	i.received[host] = append(i.received[host], &now)
	i.mutex.Unlock()
	if replaces {
		i.onReplaced()
	}
	return &now
}

// recordReceived sets the time of the last received frame to now.
func (i *inbound) recordReceived(connection *time.Time) {
	i.mutex.Lock()
	*connection = time.Now()
	i.mutex.Unlock()
}

// remove unregisters a connection of the host.
func (i *inbound) remove(host string, connection *time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.received[host] = slices.DeleteFunc(i.received[host], func(other *time.Time) bool { return other == connection })
	if len(i.received[host]) == 0 {
		delete(i.received, host)
	}
}

func remoteHost(connection net.Conn) string {
	address := connection.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}
