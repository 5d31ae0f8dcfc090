package soak

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestAnAddressThatIsAboutToBeFreeIsWaitedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	before, err := net.Listen("tcp", "127.0.29.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.AfterFunc(100*time.Millisecond, func() { _ = before.Close() })
	after, err := listen(before.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after.Close()).To(gomega.Succeed())
	_, err = listen("127.0.29.1:99999")
	g.Expect(err).To(gomega.HaveOccurred(), "any other error is told at once")
}
