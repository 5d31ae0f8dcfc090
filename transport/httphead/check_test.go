package httphead

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// invalidHeads are bytes that are no head, with their violation.
var invalidHeads = map[string]Violation{
	"HTTP/1.1 000 Odd\r\n\r\n":                                            InvalidStatus,
	"HTTP/1.1 000 Odd\r\n\r\n" + usualHead:                                InvalidStatus,
	"HTTP/1.1 099 Odd\r\n\r\n":                                            InvalidStatus,
	"HTTP/1.1 +20 Odd\r\n\r\n":                                            InvalidStatus,
	"HTTP/1.1 -00 Odd\r\n\r\n":                                            InvalidStatus,
	"HTTP/1.1 20 Odd\r\n\r\n":                                             Malformed,
	"HTTP/1.1 1000 Odd\r\n\r\n":                                           Malformed,
	"HTTP/1.1 2x0 Odd\r\n\r\n":                                            Malformed,
	"HTTP/1.1 200 OK\r\nA B: c\r\n\r\n":                                   InvalidName,
	"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                    InvalidName,
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokay":                   InvalidName,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n":     InvalidName,
	"HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\n" + usualHead:              InvalidName,
	"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                                      Malformed,
	"HTTP/1.1 200 OK\r\nA\tB: c\r\n\r\n":                                  Malformed,
	"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n":                                 Malformed,
	"HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n":                                 Malformed,
	"HTTP/1.1 200 OK\r\nA\x7f: b\r\n\r\n":                                 Malformed,
	"HTTP/1.1 200 OK\r\n\xc4: b\r\n\r\n":                                  Malformed,
	"HTTP/1.1 200 OK\r\nA(b): c\r\n\r\n":                                  Malformed,
	"HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n":                                  Malformed,
	"HTTP/1.1 200 OK\r\nA: b\x1f\r\n\r\n":                                 Malformed,
	"HTTP/1.1 200 OK\r\nA: b\x7f\r\n\r\n":                                 Malformed,
	"HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n":                               Malformed,
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok": Malformed,
}

// Guards against bytes that are taken for a head, and passed on, though their status or the name of a field shows that
// they are none.
func TestBytesThatAreNoHeadAreNotRead(t *testing.T) {
	for text, violation := range invalidHeads {
		t.Run(fmt.Sprintf("%.60q", text), func(t *testing.T) {
			g := gomega.NewWithT(t)
			reader := newScripted([]byte(text), bufferBytes)
			reader.Begin(Limits{}.WithDefaults())
			_, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
			var failed *Error
			g.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%v", err)
			g.Expect(failed.Violation).To(gomega.Equal(violation))
		})
	}
}

// trailers are fields behind the last chunk, with the violation, which is empty if there is none.
var trailers = map[string]Violation{
	"":                               "",
	"A: b\r\n":                       "",
	"A: b\r\n c\r\n":                 "",
	"A B: c\r\n":                     InvalidTrailerName,
	"A : b\r\n":                      InvalidTrailerName,
	"A: b\r\nContent-Length : 2\r\n": InvalidTrailerName,
}

// Guards against an answer that counts as whole though its trailer is none.
func TestBodiesWithAnInvalidTrailerHaveNoEnd(t *testing.T) {
	for trailer, violation := range trailers {
		for _, announced := range []string{"", "Trailer: A\r\n", "Trailer: A B\r\n"} {
			t.Run(fmt.Sprintf("%q %q", trailer, announced), func(t *testing.T) {
				g := gomega.NewWithT(t)
				reader := newScripted([]byte("HTTP/1.1 200 OK\r\n"+announced+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n"), bufferBytes)
				reader.Begin(Limits{}.WithDefaults())
				response, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				content, err := io.ReadAll(response.Body)
				g.Expect(string(content)).To(gomega.Equal("ok"))
				if violation == "" {
					g.Expect(err).NotTo(gomega.HaveOccurred())
					return
				}
				var failed *Error
				g.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%v", err)
				g.Expect(failed.Violation).To(gomega.Equal(violation))
				_, again := response.Body.Read(make([]byte, 1))
				g.Expect(again).To(gomega.HaveOccurred())
			})
		}
	}
}

// Guards against heads and trailers that readers with the client of net/http take though they are none.
func TestTransportChecksHeadsAndTrailers(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for text, violation := range map[string]Violation{
		usualHead:               "",
		chunks + "A: b\r\n\r\n": "",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + usualHead:   "",
		"HTTP/1.1 000 Odd\r\n\r\n":                               InvalidStatus,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokay":      InvalidName,
		"HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\n" + usualHead: InvalidName,
		chunks + "A B: c\r\n\r\n":                                InvalidTrailerName,
	} {
		t.Run(fmt.Sprintf("%.80q", text), func(t *testing.T) {
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
				_, _ = connection.Read(make([]byte, bufferBytes))
				_, _ = io.WriteString(connection, text)
			}()
			client := http.Client{Transport: Transport{&http.Transport{DisableKeepAlives: true}}}
			response, err := client.Get("http://" + listener.Addr().String())
			if err == nil {
				defer response.Body.Close()
				_, err = io.ReadAll(response.Body)
			}
			if violation == "" {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				return
			}
			var failed *Error
			g.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%v", err)
			g.Expect(failed.Violation).To(gomega.Equal(violation))
		})
	}
}
