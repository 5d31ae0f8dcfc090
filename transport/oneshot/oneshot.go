// Package oneshot sends one HTTP request exactly once over a connection of its
// own. The transport of net/http resends requests by itself in several cases;
// for requests that must not run twice each of those is a fault. Here nothing
// is ever resent, redirects are not followed, and the caller learns for sure
// whether a byte was written.
package oneshot

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/thornwalk/thornwalk/transport/network"
)

// ErrNotSent is wrapped by errors that prove that no byte was written.
var ErrNotSent = errors.New("no byte was sent")

// Sender sends requests on a network.
type Sender struct {
	Network network.Network
	// BeforeFirstByte runs after the connection stands and before anything is
	// written; its error stops the request, which then was not sent. Nil for none.
	BeforeFirstByte func() error
}

// Send writes the request and reads the head of the response. The response's
// body must be closed, which ends the connection. If the context ends, the
// connection is closed at any stage. Errors wrap ErrNotSent exactly if nothing
// was written.
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
	response.Body = &body{ReadCloser: response.Body, connection: connection, stop: stop}
	return response, nil
}

// SendTracked is Send with a hook that runs just before the first byte.
func (s *Sender) SendTracked(ctx context.Context, address string, request *http.Request, beforeFirstByte func() error) (*http.Response, error) {
	tracked := Sender{Network: s.Network, BeforeFirstByte: beforeFirstByte}
	return tracked.Send(ctx, address, request)
}

func exchange(connection net.Conn, request *http.Request) (*http.Response, error) {
	counted := &countingWriter{writer: connection}
	request.Close = true
	if err := request.Write(counted); err != nil {
		if counted.written == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("request broke after %d bytes: %w", counted.written, err)
	}
	reader := bufio.NewReader(connection)
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, fmt.Errorf("no response: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// countingWriter counts what the connection took.
type countingWriter struct {
	writer  io.Writer
	written int
}

func (w *countingWriter) Write(content []byte) (int, error) {
	count, err := w.writer.Write(content)
	w.written += count
	return count, err
}

// body closes the connection with the response's body.
type body struct {
	io.ReadCloser
	connection net.Conn
	stop       func() bool
}

func (b *body) Close() error {
	b.stop()
	_ = b.connection.Close()
	return nil
}
