package oneshot

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/network"
)

// Guards against a body without framing that counts as complete though its server was killed in the middle, and against a
// complete one that does not count.
func TestBodiesWithoutFramingNeedAServerThatIsStillThere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	for name, test := range map[string]struct {
		answer               string
		isKilled, isComplete bool
	}{
		"whole":                      {head + "body", false, true},
		"killed in the body":         {head + "bo", true, false},
		"killed behind the head":     {head, true, false},
		"closed behind the head":     {head, false, false},
		"killed behind the length":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbo", true, true},
		"killed within the length":   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", true, false},
		"killed behind the chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\n\r\n", true, true},
		"killed before the last one": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", true, false},
		"no body":                    {"HTTP/1.1 204 No Content\r\n\r\n", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer listener.Close()
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				defer connection.Close()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, test.answer)
				if test.isKilled {
					_ = listener.Close()
				}
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			sender := Sender{Network: network.TCP{}}
			address := listener.Addr().String()
			response, err := sender.Send(ctx, address, keyedRequest(address))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			g.Expect(err == nil).To(gomega.Equal(test.isComplete), "%v", err)
		})
	}
}

// Guards against a part of an answer that counts as complete since the server resets the connection while the request is
// written.
func TestAnswersThatAreResetDuringTheRequestAreNotComplete(t *testing.T) {
	const plays = 15
	for _, size := range []int{0, 40 << 10, 1 << 20, 8 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer listener.Close()
			go func() {
				for {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(connection))
					_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
					_ = connection.(*net.TCPConn).SetLinger(0)
					_ = connection.Close()
				}
			}()
			sender, address := Sender{Network: network.TCP{}}, listener.Addr().String()
			for range plays {
				request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, size)))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				response, err := sender.Send(t.Context(), address, request)
				if err == nil {
					_, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
				}
				g.Expect(err).To(gomega.HaveOccurred())
			}
		})
	}
}
