package peer

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/lab/memnet"
	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

type echo struct{ Text string }

// serve starts a server at the host of the fabric and returns a client at another one.
func serve(g *gomega.WithT, ctx context.Context, fabric *memnet.Fabric, server *Server) *Client {
	listener, err := fabric.Host("server").Listen("server:1")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go server.Serve(ctx, listener)
	return NewClient(fabric.Host("client"), nil)
}

// Guards against calls on a busy connection that are lost or handled twice.
func TestConcurrentCallsAreHandledOnceEach(t *testing.T) {
	const calls = 500
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second) // lets the goroutines end
		defer cancel()
		var handled sync.Map
		server := NewServer(nil)
		Handle(server, peerwire.KindAssign, func(_ context.Context, request *echo) (*echo, error) {
			count, _ := handled.LoadOrStore(request.Text, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			return request, nil
		})
		client := serve(g, ctx, memnet.New(), server)
		defer client.Close()
		var group sync.WaitGroup
		for i := range calls {
			group.Go(func() {
				callContext, cancelCall := context.WithTimeout(ctx, time.Second)
				defer cancelCall()
				sent, reply := echo{Text: strconv.Itoa(i)}, echo{}
				g.Expect(client.Call(callContext, "server:1", peerwire.KindAssign, &sent, &reply)).To(gomega.Succeed())
				g.Expect(reply).To(gomega.Equal(sent))
			})
		}
		group.Wait()
		handled.Range(func(text, count any) bool {
			g.Expect(count.(*atomic.Int64).Load()).To(gomega.Equal(int64(1)), "%v", text)
			return true
		})
	})
}

// Guards against a stream whose first bytes are read as a frame, or a reply that is read as bytes of the
// stream.
func TestStreamFollowsTheReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		server := NewServer(nil)
		HandleStream(server, peerwire.KindForward, func(_ context.Context, request *echo) (*echo, func(net.Conn)) {
			if request.Text == "refused" {
				return request, nil
			}
			return request, func(connection net.Conn) {
				buffer := make([]byte, 4)
				_, _ = connection.Read(buffer)
				_, _ = connection.Write(append(buffer, '!'))
			}
		})
		client := serve(g, ctx, memnet.New(), server)
		defer client.Close()
		reply := echo{}
		connection, err := client.Open(ctx, "server:1", peerwire.KindForward, &echo{Text: "open"}, &reply)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.Text).To(gomega.Equal("open"))
		_, _ = connection.Write([]byte("ping"))
		buffer := make([]byte, 8)
		count, err := connection.Read(buffer)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(buffer[:count])).To(gomega.Equal("ping!"))
		_, err = connection.Read(buffer)
		g.Expect(err).To(gomega.HaveOccurred())

		refused, err := client.Open(ctx, "server:1", peerwire.KindForward, &echo{Text: "refused"}, &reply)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.Text).To(gomega.Equal("refused"))
		_, err = refused.Read(buffer)
		g.Expect(err).To(gomega.HaveOccurred())
	})
}
