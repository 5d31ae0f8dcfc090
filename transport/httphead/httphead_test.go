package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// scriptedConn delivers its content in parts of at most partBytes.
type scriptedConn struct {
	net.Conn
	content   io.Reader
	partBytes int
}

func (c *scriptedConn) Read(into []byte) (int, error) {
	return c.content.Read(into[:min(len(into), c.partBytes)])
}

func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

const bufferBytes = 4096

func newScripted(content []byte, partBytes int) *Reader {
	return NewReader(&scriptedConn{content: bytes.NewReader(content), partBytes: partBytes}, bufferBytes)
}

// token is a name of a field (RFC 9110, section 5.6.2).
var token = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// haveTokens reports whether the names of the fields are tokens. Fields that are announced only are nil.
func haveTokens(fields http.Header) bool {
	for name, values := range fields {
		if values != nil && !token.MatchString(name) {
			return false
		}
	}
	return true
}

// Guards against a head within the limits that is read in another way than by the standard library, or after which
// other bytes are left, and against heads and trailers that the standard library takes and that are none: those with a
// status below 100 or a name that is no token.
func FuzzHeadsWithinTheLimitsAreReadAsByTheStandardLibrary(f *testing.F) {
	for _, content := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\nA: b\n\nrest", "HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\t\r\nB: c\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\n\r\n", "x", "", "HTTP/1.1 200 OK\r\n\r\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n \r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n",
		"HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 +20 Odd\r\n\r\n", "HTTP/1.1 999 Odd\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokay",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A B\r\n\r\n2\r\nok\r\n0\r\nA B: c\r\n\r\n",
	} {
		for _, partBytes := range []byte{1, 3, 255} {
			f.Add([]byte(content), partBytes)
		}
	}
	request := &http.Request{Method: http.MethodGet}
	f.Fuzz(func(t *testing.T, content []byte, partBytes byte) {
		if partBytes == 0 {
			return
		}
		g := gomega.NewWithT(t)
		limited := newScripted(content, int(partBytes))
		limited.Begin(Limits{Bytes: len(content) + 1, Lines: len(content) + 1, Duration: time.Second})
		plain := bufio.NewReaderSize(&scriptedConn{content: bytes.NewReader(content), partBytes: int(partBytes)}, bufferBytes)
		got, err := limited.ReadResponse(request)
		want, wantErr := http.ReadResponse(plain, request)
		isHead := wantErr == nil && want.StatusCode >= 100 && haveTokens(want.Header)
		g.Expect(err == nil).To(gomega.Equal(isHead), "%v, %v", err, wantErr)
		if err != nil {
			g.Expect(len(err.Error())).To(gomega.BeNumerically("<", 5*maxQuotedBytes))
			return
		}
		gotBody, gotErr := io.ReadAll(got.Body)
		wantBody, wantBodyErr := io.ReadAll(want.Body)
		g.Expect(gotErr == nil).To(gomega.Equal(wantBodyErr == nil && haveTokens(want.Trailer)), "%v, %v", gotErr, wantBodyErr)
		got.Body, want.Body = nil, nil
		g.Expect(got).To(gomega.Equal(want))
		g.Expect(gotBody).To(gomega.Equal(wantBody))
		gotRest, _ := io.ReadAll(limited)
		wantRest, _ := io.ReadAll(plain)
		g.Expect(gotRest).To(gomega.Equal(wantRest))
	})
}

// Guards against heads over a limit that are read on, and heads exactly at it that are refused.
func FuzzLimitsHold(f *testing.F) {
	for _, content := range []string{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest", strings.Repeat("x", 9000), "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\n", 900), strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 40)} {
		f.Add([]byte(content), uint16(26), uint16(3), byte(7))
		f.Add([]byte(content), uint16(5000), uint16(700), byte(255))
	}
	f.Fuzz(func(t *testing.T, content []byte, maxBytes, maxLines uint16, partBytes byte) {
		if maxBytes == 0 || maxLines == 0 || partBytes == 0 {
			return
		}
		g := gomega.NewWithT(t)
		reader := newScripted(content, int(partBytes))
		var reserved int64
		reader.Begin(Limits{Bytes: int(maxBytes), Lines: int(maxLines), Reserve: func(bytes int64) error { reserved += bytes; return nil }})
		for range 10 {
			response, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
			g.Expect(reader.source.received).To(gomega.BeNumerically("<=", maxBytes))
			g.Expect(reader.source.lines).To(gomega.BeNumerically("<=", int(maxLines)+1))
			g.Expect(reserved).To(gomega.BeNumerically("<=", heldPerByte*int64(maxBytes)))
			if err != nil || response.StatusCode >= http.StatusOK {
				return
			}
		}
	})
}

// Guards against a limit that also counts what follows the head, and a head at its limits that is refused.
func TestHeadAtItsLimitsIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for _, maxBytes := range []int{len(head), 2 * bufferBytes} {
		reader := newScripted([]byte(head+strings.Repeat("\n", 5000)), 5000)
		reader.Begin(Limits{Bytes: maxBytes, Lines: 3})
		_, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		rest, err := io.ReadAll(reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(rest).To(gomega.HaveLen(5000))
	}
}

// Guards against an error that repeats at length what the other side sent.
func TestErrorsQuoteLittle(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, line := range []string{strings.Repeat("x", 3000), "HTTP/1.1 " + strings.Repeat("\x00", 3000), "HTTP/1.1 200 OK\r\n" + strings.Repeat("y", 3000)} {
		reader := newScripted([]byte(line+"\r\n\r\n"), 5000)
		reader.Begin(Limits{}.WithDefaults())
		_, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
		var failed *Error
		g.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%.100v", err)
		g.Expect(failed.Violation).To(gomega.Equal(Malformed))
		g.Expect(len(err.Error())).To(gomega.BeNumerically("<", 5*maxQuotedBytes))
	}
}

// Guards against limits of one head that provisional heads evade.
func TestProvisionalHeadsCountTogether(t *testing.T) {
	g := gomega.NewWithT(t)
	const provisional = "HTTP/1.1 103 Early Hints\r\n\r\n"
	for limits, violation := range map[*Limits]Violation{{Bytes: 3*len(provisional) - 1}: TooLong, {Lines: 5}: TooManyLines} {
		reader := newScripted([]byte(strings.Repeat(provisional, 3)), 9)
		reader.Begin(*limits)
		var err error
		for range 3 {
			if err == nil {
				_, err = reader.ReadResponse(&http.Request{Method: http.MethodGet})
			}
		}
		var failed *Error
		g.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%v", err)
		g.Expect(failed.Violation).To(gomega.Equal(violation))
	}
}

// Guards against a head that trickles and holds its connection until the caller's time is over.
func TestHeadThatTricklesIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := net.Pipe()
		go func() {
			time.Sleep(10 * time.Second) // the head may begin late
			for {
				if _, err := far.Write([]byte("H")); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		defer time.Sleep(time.Second) // lets the writer end
		defer near.Close()
		reader := NewReader(near, bufferBytes)
		reader.Begin(Limits{Bytes: 1 << 20, Lines: 100, Duration: 2 * time.Second})
		started := time.Now()
		_, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
		g.Expect(time.Since(started)).To(gomega.Equal(12 * time.Second))
		var failed *Error
		g.Expect(errors.As(err, &failed)).To(gomega.BeTrue(), "%v", err)
		g.Expect(failed.Violation).To(gomega.Equal(TooSlow))
	})
}

// Guards against a deadline of a head that ends the read of the body.
func TestBodyHasNoDeadlineOfTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n")
			_, _ = io.WriteString(far, "Content-Length: 2\r\n\r\n")
			time.Sleep(time.Minute)
			_, _ = io.WriteString(far, "ok")
		}()
		reader := NewReader(near, bufferBytes)
		reader.Begin(Limits{Duration: time.Second})
		response, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(body)).To(gomega.Equal("ok"))
	})
}

// Guards against a head that is held although the process has no memory left for it.
func TestHeadWithoutMemoryIsGivenUp(t *testing.T) {
	g := gomega.NewWithT(t)
	exhausted := errors.New("exhausted")
	reader := newScripted([]byte("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 2*bufferBytes)), bufferBytes)
	reader.Begin(Limits{Reserve: func(int64) error { return exhausted }})
	_, err := reader.ReadResponse(&http.Request{Method: http.MethodGet})
	g.Expect(err).To(gomega.MatchError(exhausted))
	g.Expect(reader.source.received).To(gomega.BeNumerically("<=", 2*bufferBytes))
}
