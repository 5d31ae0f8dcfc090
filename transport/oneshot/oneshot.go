// Package oneshot sends an HTTP request at most once, over a connection of its own. Unlike the
// transport of net/http, it never resends and follows no redirects, and its errors show whether any
// byte was written. It doesn't reuse connections.
//
// Reads of a response's body end with io.EOF only if the body is complete, as package answerend decides. The request is
// written before the response is read, so that a reset is never told to a write behind the read.
package oneshot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/thornwalk/thornwalk/transport/answerend"
	"github.com/thornwalk/thornwalk/transport/httphead"
	"github.com/thornwalk/thornwalk/transport/network"
)

// ErrNotSent is wrapped by errors that prove that no byte of the request was written.
var ErrNotSent = errors.New("no byte was sent")

// Sender sends requests over a network. It is safe for concurrent use.
type Sender struct {
	Network network.Network
	// BeforeFirstByte runs after the connection is established and before anything is written. Its
	// error aborts the request and is wrapped with ErrNotSent. It may be nil.
	BeforeFirstByte func() error
}

// Send writes the request and reads the head of the response. The caller must close the response's
// body, which closes the connection. The end of the context closes the connection at any stage.
// Errors wrap ErrNotSent if and only if nothing was written.
func (s *Sender) Send(ctx context.Context, address string, request *http.Request) (*http.Response, error) {
	connection, err := s.Network.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, address, err)
	}
	if s.BeforeFirstByte != nil {
		if err := s.BeforeFirstByte(); err != nil {
			_ = connection.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	response, err := exchange(connection, request)
	if err != nil {
		stop()
		_ = connection.Close()
		return nil, err
	}
	wrapped := &body{ReadCloser: response.Body, connection: connection, stopCancel: stop}
	if answerend.IsUnframed(response) {
		wrapped.isStillServing = func() bool { return s.accepts(ctx, address) }
	}
	response.Body = wrapped
	return response, nil
}

// endProofTimeout bounds the connect that shows whether a server is still there after it closed a connection.
const endProofTimeout = 100 * time.Millisecond

// accepts reports whether the server accepts a connection.
func (s *Sender) accepts(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, endProofTimeout)
	defer cancel()
	connection, err := s.Network.Dial(ctx, address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// SendTracked is Send with beforeFirstByte in place of the sender's hook.
func (s *Sender) SendTracked(ctx context.Context, address string, request *http.Request, beforeFirstByte func() error) (*http.Response, error) {
	tracked := Sender{Network: s.Network, BeforeFirstByte: beforeFirstByte}
	return tracked.Send(ctx, address, request)
}

const readBufferBytes = 4096

// exchange writes the request and reads responses until the first with a final status. All their heads together are
// limited as in httphead.
func exchange(connection net.Conn, request *http.Request) (*http.Response, error) {
	counted := &countingWriter{writer: connection}
	request.Close = true
	if err := request.Write(counted); err != nil {
		if counted.written == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("write request: failed after %d bytes: %w", counted.written, err)
	}
	reader := httphead.NewReader(connection, readBufferBytes)
	reader.Begin(httphead.Limits{}.WithDefaults())
	for {
		response, err := reader.ReadResponse(request)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// countingWriter counts the bytes that were written.
type countingWriter struct {
	writer  io.Writer
	written int
}

func (w *countingWriter) Write(content []byte) (int, error) {
	count, err := w.writer.Write(content)
	w.written += count
	return count, err
}

// body closes the connection when the response's body is closed.
type body struct {
	io.ReadCloser
	connection net.Conn
	stopCancel func() bool
	// isStillServing is nil if the body has a length or chunks, and hasContent is true once a byte was read.
	isStillServing func() bool
	hasContent     bool
}

// Read implements io.Reader.
func (b *body) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	b.hasContent = b.hasContent || count > 0
	if err == io.EOF && b.isStillServing != nil {
		if unproven := answerend.CheckClosed(b.hasContent, b.isStillServing); unproven != nil {
			err = unproven
		}
	}
	return count, err
}

func (b *body) Close() error {
	b.stopCancel()
	_ = b.connection.Close()
	return nil
}
