package network

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// option returns a TCP option of the connection, in the unit of the option.
func option(g *gomega.WithT, connection net.Conn, name int) (value int) {
	raw, err := connection.(syscall.Conn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var optionErr error
	g.Expect(raw.Control(func(descriptor uintptr) {
		value, optionErr = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, name)
	})).To(gomega.Succeed())
	g.Expect(optionErr).NotTo(gomega.HaveOccurred())
	return value
}

// Guards against an accepted connection that ends because its peer is silent for a short time: only dialed
// connections have TCP_USER_TIMEOUT, which Linux also applies to their keep-alive probes, whatever their
// count. Accepted ones end after as many probes as are set.
func TestOnlyDialedConnectionsHaveAUserTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	tcp := TCP{SilenceLimit: 3 * time.Second}
	listener, err := tcp.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	dialed, err := tcp.Dial(context.Background(), listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer dialed.Close()
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer accepted.Close()
	g.Expect(option(g, dialed, tcpUserTimeout)).To(gomega.Equal(3000))
	g.Expect(option(g, accepted, tcpUserTimeout)).To(gomega.BeZero())
	for _, connection := range []net.Conn{dialed, accepted} {
		g.Expect(option(g, connection, syscall.TCP_KEEPIDLE)).To(gomega.Equal(1))
		g.Expect(option(g, connection, syscall.TCP_KEEPINTVL)).To(gomega.Equal(1))
		g.Expect(option(g, connection, syscall.TCP_KEEPCNT)).To(gomega.Equal(maxUnansweredProbes))
	}
}

// Guards against a request that is taken for sent although nothing listens: the connect itself must fail, as
// refused.
func TestDialIsRefusedIfNothingListens(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(gomega.Succeed())
	_, err = TCP{SilenceLimit: 3 * time.Second}.Dial(context.Background(), address)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(IsRefused(err)).To(gomega.BeTrue())
}
