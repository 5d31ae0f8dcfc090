package oneshot

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/httphead"
	"github.com/thornwalk/thornwalk/transport/network"
)

// Guards against a process over its memory because a head of an answer, or a row of provisional ones, has no end.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	const endlessBytes = 8 << 20
	for name, part := range map[string]string{"first line": "x", "provisional heads": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, requests := backend(t, func(connection net.Conn) {
				block := strings.Repeat(part, 64<<10/len(part)+1)
				for sent := 0; sent < endlessBytes; sent += len(block) {
					if _, err := io.WriteString(connection, block); err != nil {
						return
					}
				}
				_ = connection.Close()
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			sender := Sender{Network: network.TCP{}}
			_, err := sender.Send(ctx, address, keyedRequest(address))
			var failed *httphead.Error
			g.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%.200v", err)
			g.Expect(failed.Bytes).To(gomega.BeNumerically("<=", httphead.DefaultBytes))
			g.Expect(len(err.Error())).To(gomega.BeNumerically("<", 300))
			g.Expect(errors.Is(err, ErrNotSent)).To(gomega.BeFalse(), "it may have run")
			g.Expect(requests.Load()).To(gomega.Equal(int32(1)))
		})
	}
}
