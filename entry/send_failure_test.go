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

func TestTheCauseOfABrokenSendIsToldApart(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, &os.SyscallError{Syscall: "read", Err: syscall.ECONNRESET}} {
		g.Expect(causeOf(errkind.Wrap(errkind.OutcomeUnknown, closed))).To(gomega.Equal(breakClosed), "%v", closed)
	}
	g.Expect(causeOf(errkind.Wrap(errkind.OutcomeUnknown, os.ErrDeadlineExceeded))).To(gomega.Equal(breakSilent))
	g.Expect(causeOf(errors.New("malformed HTTP response"))).To(gomega.Equal(breakSpoiled))
	g.Expect(causeOf(nil)).To(gomega.Equal(breakSpoiled))
}
