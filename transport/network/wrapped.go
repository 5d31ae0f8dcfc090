package network

import (
	"errors"
	"net"
	"syscall"
)

// Wrapped passes on the options of a TCP connection, for types that wrap a connection and embed it.
type Wrapped struct{ net.Conn }

// SetLinger sets what happens to unsent bytes at the close, as for a TCP connection. Its error is errors.ErrUnsupported if
// the connection has no such option.
func (w Wrapped) SetLinger(seconds int) error {
	if withLinger, ok := w.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return withLinger.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn. Its error is errors.ErrUnsupported if the connection has no file descriptor.
func (w Wrapped) SyscallConn() (syscall.RawConn, error) {
	if withRaw, ok := w.Conn.(syscall.Conn); ok {
		return withRaw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
