package soak

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a run that fails because the previous deployment's listener is still closing.
func TestListenWaitsForAnAddressToBecomeFree(t *testing.T) {
	g := gomega.NewWithT(t)
	previous, err := net.Listen("tcp", "127.0.29.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.AfterFunc(100*time.Millisecond, func() { _ = previous.Close() })
	next, err := listen(previous.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(next.Close()).To(gomega.Succeed())
	_, err = listen("127.0.29.1:99999")
	g.Expect(err).To(gomega.HaveOccurred(), "any other error is returned at once")
}
