package entry

import (
	"errors"
	"io"
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// Guards against wrapped errors of a connection being classified by the wrong failure cause.
func TestFailureCauseOfError(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, &os.SyscallError{Syscall: "read", Err: syscall.ECONNRESET}} {
		g.Expect(failureCauseOf(errkind.Wrap(errkind.OutcomeUnknown, closed))).To(gomega.Equal(causeClosed), "%v", closed)
	}
	g.Expect(failureCauseOf(errkind.Wrap(errkind.OutcomeUnknown, os.ErrDeadlineExceeded))).To(gomega.Equal(causeTimeout))
	g.Expect(failureCauseOf(errors.New("malformed HTTP response"))).To(gomega.Equal(causeInvalidResponse))
	g.Expect(failureCauseOf(nil)).To(gomega.Equal(causeInvalidResponse))
}
