package soak

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a proxy that makes an orderly end of a reset, so that no soak sees what a reset of a replica leads to.
func TestProxyPassesOnHowAConnectionEnds(t *testing.T) {
	for _, isReset := range []bool{true, false} {
		g := gomega.NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, "part")
			if isReset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}()
		proxy, err := newProxy("127.0.0.1:0", listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer proxy.close()
		conn, err := net.Dial("tcp", proxy.address())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "x")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(conn)
		g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.Equal(isReset), "%v", err)
	}
}
