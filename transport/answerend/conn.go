package answerend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
)

// Conn is a connection to a server that may answer, and end the connection, while a request is still being written to it.
// Its reads return io.EOF only if the server closed the connection in order.
//
// The kernel reports a reset once, to whichever call on the socket comes first. If that is a write, the reads that follow
// return what was received before and then io.EOF. So an end is checked against the first error of the writes; one in
// progress is interrupted for it, as nothing that is written to a server that has closed the connection is answered.
//
// One goroutine may read while others write.
type Conn struct {
	network.Wrapped
	// writing is held during a write and guards writeErr, the first error of a write.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns the connection with checked ends.
func NewConn(connection net.Conn) *Conn { return &Conn{Wrapped: network.Wrapped{Conn: connection}} }

// ErrBroken is the error of a read whose connection broke, as a write of the request was told.
var ErrBroken = fmt.Errorf("read answer: the connection broke while the request was written: %w", syscall.ECONNRESET)

// Write implements net.Conn.
func (c *Conn) Write(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(content)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return count, err
}

// Read implements net.Conn. Its error is io.EOF if the server closed the connection in order, and ErrBroken if a write
// got the error of its break.
func (c *Conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if err == io.EOF && !c.isClosedInOrder() {
		err = ErrBroken
	}
	return count, err
}

// isClosedInOrder reports whether the writes allow that the server closed the connection in order.
func (c *Conn) isClosedInOrder() bool {
	if !c.writing.TryLock() { // a write is in progress
		_ = c.SetWriteDeadline(time.Unix(1, 0))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.writeErr == nil || isFailureAfterClose(c.writeErr)
}

// isFailureAfterClose reports whether the error is one of a write to a server that closed the connection in order: the
// write was interrupted, or the server reset the connection after the close, as it doesn't read the request. Linux reports
// that as EPIPE, and a reset without a close as ECONNRESET.
func isFailureAfterClose(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe)
}
