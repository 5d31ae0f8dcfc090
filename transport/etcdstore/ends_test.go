package etcdstore

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/network"
)

// Guards against an answer or a message of a watch that was cut and counts as whole, as a smaller revision or an absent key.
func TestCutAnswersAreErrors(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	const value = `{"key":"YQ==","value":"Yg==","mod_revision":"12"}`
	for name, test := range map[string]struct {
		answer string
		call   func(ctx context.Context, client *Client) error
	}{
		"range": {`{"header":{"revision":"12"},"kvs":[` + value + `]}`, func(ctx context.Context, client *Client) error {
			_, err := client.Get(ctx, "a")
			return err
		}},
		"watch": {`{"result":{"events":[{"type":"PUT","kv":` + value + `}]}}`, func(ctx context.Context, client *Client) error {
			_, err := client.Watch(ctx, "a", 0)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			for cut := range len(head+test.answer) + 1 {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				g.Expect(err).NotTo(gomega.HaveOccurred())
				go func() {
					connection, err := listener.Accept()
					if err != nil {
						return
					}
					defer connection.Close()
					if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(connection, (head + test.answer)[:cut])
					}
				}()
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				err = test.call(ctx, New(network.TCP{}, listener.Addr().String(), 10*time.Second, nil))
				cancel()
				_ = listener.Close()
				g.Expect(err == nil).To(gomega.Equal(cut == len(head+test.answer)), "cut at byte %d: %v", cut, err)
			}
		})
	}
}
