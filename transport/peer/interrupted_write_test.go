package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

// A call that is given up while its frame is being written must close the connection. Otherwise the
// peer reads the next call's frame as the remainder of that one and reports a bad frame.
func TestPartialFrameClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := net.Pipe()
		writer := newConnectionWriter(near, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		received := make(chan error, 1)
		go func() {
			_, _ = io.ReadFull(far, make([]byte, 6)) // then the peer stops reading for a while
			time.Sleep(time.Second)
			_, _, err := peerwire.ReadFrame(far)
			received <- err
		}()
		g.Expect(writer.write(ctx, &peerwire.Envelope{Call: 1, Kind: peerwire.KindAssign})).NotTo(gomega.Succeed())
		_ = writer.write(context.Background(), &peerwire.Envelope{Call: 2, Kind: peerwire.KindAssign})
		err := <-received
		g.Expect(errors.Is(err, errkind.BadFrame)).To(gomega.BeFalse(), "%v", err)
		g.Expect(err).To(gomega.MatchError(io.EOF))
	})
}

// A call that is given up before a byte of it was written must not close the connection.
func TestCallGivenUpBeforeItsWriteKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := net.Pipe()
		writer := newConnectionWriter(near, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		g.Expect(writer.write(ctx, &peerwire.Envelope{Call: 1, Kind: peerwire.KindAssign})).NotTo(gomega.Succeed())
		received := make(chan *peerwire.Envelope, 1)
		go func() {
			envelope, _, _ := peerwire.ReadFrame(far)
			received <- envelope
		}()
		g.Expect(writer.write(context.Background(), &peerwire.Envelope{Call: 2, Kind: peerwire.KindAssign})).To(gomega.Succeed())
		g.Expect((<-received).Call).To(gomega.Equal(uint64(2)))
	})
}
