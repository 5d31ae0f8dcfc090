package unframed

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const content = "content of a response"

// get sends a request of the protocol version and reads the response until the connection ends.
func get(g *gomega.WithT, server *httptest.Server, version string) (string, error) {
	address := server.Listener.Addr().String()
	connection, err := net.Dial("tcp", address)
	if server.TLS != nil && err == nil {
		connection = tls.Client(connection, &tls.Config{InsecureSkipVerify: true})
	}
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(connection, "GET / %s\r\nHost: h\r\nConnection: close\r\n\r\n", version)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a response that is broken off and ends like a whole one, by the handler or by the end of the server, over
// TLS too, where a close is announced; and against a whole one that is reset.
func TestOnlyWholeResponsesEnd(t *testing.T) {
	for _, isTLS := range []bool{false, true} {
		for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
			for _, end := range []string{"whole", "aborted", "server ended"} {
				t.Run(fmt.Sprint(version, " TLS ", isTLS, " ", end), func(t *testing.T) {
					g := gomega.NewWithT(t)
					var connections Connections
					var server *httptest.Server
					server = httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
						Begin(request)
						_, _ = io.WriteString(writer, content)
						_ = http.NewResponseController(writer).Flush()
						switch end {
						case "whole":
							End(writer, request)
						case "aborted":
							Abort(request)
						default:
							connections.Abort()
							_ = server.Config.Close()
							<-request.Context().Done()
							Abort(request)
						}
					}))
					server.Config.ConnContext = connections.Add
					server.Config.ErrorLog = log.New(io.Discard, "", 0)
					if isTLS {
						server.StartTLS()
					} else {
						server.Start()
					}
					body, err := get(g, server, version)
					g.Expect(err == nil).To(gomega.Equal(end == "whole"), "%q, %v", body, err)
					if end == "whole" {
						g.Expect(body).To(gomega.Equal(content))
					}
					server.Close() // waits for the handler
					g.Expect(len(connections.unfinished)).To(gomega.BeZero())
				})
			}
		}
	}
}
