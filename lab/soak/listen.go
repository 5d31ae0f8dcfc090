package soak

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	listenTimeout       = 5 * time.Second
	listenRetryInterval = 20 * time.Millisecond
)

// listen listens on a TCP address that a previous deployment may have used. A closed listener keeps
// its address until its accept loop returns, so listen retries for up to listenTimeout while the
// address is in use.
func listen(address string) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}
