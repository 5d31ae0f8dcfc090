package oneshot

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/transport/network"
)

// backend runs a server that calls serve after each request that it read. It returns its address
// and the number of requests.
func backend(t *testing.T, serve func(net.Conn)) (string, *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int32
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				reader := bufio.NewReader(connection)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					requests.Add(1)
					_ = request.Body.Close()
					serve(connection)
				}
			}()
		}
	}()
	return listener.Addr().String(), &requests
}

func keyedRequest(address string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader([]byte("{}")))
	if err != nil {
		panic(err) // unreachable: the address is well formed
	}
	request.Header.Set("Idempotency-Key", "k")
	return request
}

// Shows why net/http isn't used: it resends a request with an idempotency key when the backend closes
// a kept-alive connection right after reading it.
func TestStandardTransportSendsTwice(t *testing.T) {
	g := gomega.NewWithT(t)
	var answered atomic.Bool
	address, requests := backend(t, func(connection net.Conn) {
		if !answered.Swap(true) {
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			return
		}
		_ = connection.Close()
	})
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		response, err := client.Do(keyedRequest(address))
		if err == nil {
			_ = response.Body.Close()
		}
	}
	g.Expect(requests.Load()).To(gomega.BeNumerically(">", 2))
}

// A closed connection or a redirect must not make the sender send the request again.
func TestSenderSendsOnce(t *testing.T) {
	for name, answer := range map[string]string{
		"closed after reading": "",
		"redirected":           "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			address, requests := backend(t, func(connection net.Conn) {
				_, _ = connection.Write([]byte(answer))
				_ = connection.Close()
			})
			sender := Sender{Network: network.TCP{}}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := sender.Send(ctx, address, keyedRequest(address))
			if err == nil {
				g.Expect(response.StatusCode).To(gomega.Equal(http.StatusTemporaryRedirect))
				_ = response.Body.Close()
			} else {
				g.Expect(errors.Is(err, ErrNotSent)).To(gomega.BeFalse())
			}
			g.Expect(requests.Load()).To(gomega.BeEquivalentTo(1))
		})
	}
}

// A failed dial and a failed hook must wrap ErrNotSent, and nothing may reach the backend.
func TestErrNotSentMeansThatNothingWasSent(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	_ = listener.Close()
	sender := Sender{Network: network.TCP{}}
	_, err = sender.Send(context.Background(), address, keyedRequest(address))
	g.Expect(err).To(gomega.MatchError(ErrNotSent))
	open, requests := backend(t, func(net.Conn) {})
	_, err = sender.SendTracked(context.Background(), open, keyedRequest(open), func() error { return errors.New("stopped") })
	g.Expect(err).To(gomega.MatchError(ErrNotSent))
	g.Expect(requests.Load()).To(gomega.BeZero())
}
