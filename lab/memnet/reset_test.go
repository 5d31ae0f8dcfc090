package memnet

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a reset that the other side reads as an ordinary end, as a server and its handler close the connection at
// the same time.
func TestConcurrentClosesAreOneReset(t *testing.T) {
	g := gomega.NewWithT(t)
	fabric := New()
	listener, err := fabric.Host("server").Listen(":1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	for range 30000 {
		accepted := make(chan net.Conn, 1)
		go func() {
			connection, _ := listener.Accept()
			accepted <- connection
		}()
		caller, err := fabric.Host("caller").Dial(context.Background(), "server:1")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		server := <-accepted
		g.Expect(server.(interface{ SetLinger(int) error }).SetLinger(0)).To(gomega.Succeed())
		var closes sync.WaitGroup
		for range 2 {
			closes.Go(func() { _ = server.Close() })
		}
		_, err = caller.Read(make([]byte, 1))
		closes.Wait()
		g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
	}
}
