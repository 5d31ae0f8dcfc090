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
type failureCause string

// The causes.
const (
	// breakNone is the cause of a send that did not break.
	causeNone failureCause = ""
	// breakClosed means that the replica's side closed or reset the connection.
	causeClosed failureCause = "closed-by-replica"
	// breakSilent means that this node gave up waiting.
	causeTimeout failureCause = "silent"
	// breakRefused means that nobody listened at the replica's address, and breakUnreachable
	// that no connection came up for another reason. Nothing was sent.
	causeRefused     failureCause = "connection-refused"
	causeUnreachable failureCause = "unreachable"
	// breakSpoiled means that what came is not this request's answer.
	causeInvalidResponse failureCause = "spoiled"
)

// closes are what a connection returns that the other side ended.
var connectionClosedErrors = []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE}

// causeOf tells why an exchange with a replica ended with the error.
func failureCauseOf(err error) failureCause {
	var timeout net.Error
	switch {
	case err == nil:
		return causeInvalidResponse
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, net.ErrClosed):
		return causeTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return causeTimeout
	}
	for _, closed := range connectionClosedErrors {
		if errors.Is(err, closed) {
			return causeClosed
		}
	}
	return causeInvalidResponse
}
