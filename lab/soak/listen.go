package soak

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// listenLimit is how long an address may take to become free, and listenPause the time
	// between two tries.
	listenLimit = 5 * time.Second
	listenPause = 20 * time.Millisecond
)

// listen listens at an address that the deployment before may have had. A listener that was
// closed frees its address only when the goroutine that waits for connections has run once
// more: beside load nine of 56 seeds were not played for it.
func listen(address string) (net.Listener, error) {
	for limit := time.Now().Add(listenLimit); ; time.Sleep(listenPause) {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(limit) {
			return listener, err
		}
	}
}
