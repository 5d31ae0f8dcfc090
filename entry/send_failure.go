package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// breakCause says how a send to a replica broke.
type breakCause string

// The causes.
const (
	// breakNone is the cause of a send that did not break.
	breakNone breakCause = ""
	// breakClosed means that the replica's side closed or reset the connection.
	breakClosed breakCause = "closed-by-replica"
	// breakSilent means that this node gave up waiting.
	breakSilent breakCause = "silent"
	// breakRefused means that nobody listened at the replica's address, and breakUnreachable
	// that no connection came up for another reason. Nothing was sent.
	breakRefused     breakCause = "connection-refused"
	breakUnreachable breakCause = "unreachable"
	// breakSpoiled means that what came is not this request's answer.
	breakSpoiled breakCause = "spoiled"
)

// closes are what a connection returns that the other side ended.
var closes = []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE}

// causeOf tells why an exchange with a replica ended with the error.
func causeOf(err error) breakCause {
	var timeout net.Error
	switch {
	case err == nil:
		return breakSpoiled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, net.ErrClosed):
		return breakSilent
	case errors.As(err, &timeout) && timeout.Timeout():
		return breakSilent
	}
	for _, closed := range closes {
		if errors.Is(err, closed) {
			return breakClosed
		}
	}
	return breakSpoiled
}
