package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/thornwalk/thornwalk/transport/forward"
)

// failureCause is why a send to a replica failed.
type failureCause string

// Failure causes.
const (
	// causeNone is the cause of a send that did not fail.
	causeNone failureCause = ""
	// causeClosed means that the replica closed or reset the connection.
	causeClosed failureCause = "closed-by-replica"
	// causeTimeout means that the replica did not respond in time.
	causeTimeout failureCause = "silent"
	// causeRefused means that the connection was refused, and causeUnreachable that it could
	// not be opened for another reason. Nothing was sent.
	causeRefused     failureCause = "connection-refused"
	causeUnreachable failureCause = "unreachable"
	// causeInvalidResponse means that what arrived is no valid response to the request.
	causeInvalidResponse failureCause = "spoiled"
	// causeMemoryFull means that this node ended the exchange, as the answer held most of its memory for answers.
	causeMemoryFull failureCause = "memory-full"
	// causeStopping means that this node ended the exchange, as it stops.
	causeStopping failureCause = "stopping"
	// causeForwarderLost means that the connection to the peer that forwarded the request broke.
	causeForwarderLost failureCause = "forwarder-lost"
	// causeUnproven means that nothing showed which incarnation of the replica the connection leads to, so that the
	// stream did not go on there. Nothing was sent.
	causeUnproven failureCause = "unproven"
)

// isDoubt reports whether the replica may have ended, as the failure of an exchange with it is one that its end causes.
func (c failureCause) isDoubt() bool { return c == causeClosed || c == causeTimeout }

// connectionClosedErrors are the errors of a connection that the other side closed.
var connectionClosedErrors = []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE}

// failureCauseOf returns the failure cause for the error of an exchange with a replica.
func failureCauseOf(err error) failureCause {
	var timeout net.Error
	switch {
	case errors.Is(err, forward.ErrForwarderLost):
		return causeForwarderLost
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
