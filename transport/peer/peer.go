// Package peer carries typed calls between nodes over the peerwire protocol. It doesn't retry: after
// a failed call the peer may have acted on the message, unless no connection could be established.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

// Time limits and bounds of a connection.
const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// idleTimeout closes an accepted connection without calls. Heartbeats on a connection in use are
	// far more frequent.
	idleTimeout = 5 * time.Minute
	// maxHandlersPerConnection bounds the concurrent calls on one connection.
	maxHandlersPerConnection = 4096
	// silenceCheckInterval is the time between checks of a connection with pending calls. After
	// pingDelay without received bytes the peer is pinged, and after another pingTimeout the
	// connection is closed. A connection can become unresponsive while new ones work, and the kernel
	// detects that only after seconds.
	silenceCheckInterval = 100 * time.Millisecond
	pingDelay            = 200 * time.Millisecond
	pingTimeout          = 400 * time.Millisecond
)

// SilenceTime is the minimum time without received bytes after which a connection is given up.
const SilenceTime = pingDelay + pingTimeout

// kindPing is a kind that every version replies to, at least with the error that it has no handler.
const kindPing = peerwire.KindProbe

// Traffic counts bytes by kind of message. Implementations must be safe for concurrent use.
type Traffic interface {
	Count(kind peerwire.Kind, out bool, bytes int)
}

// connectionWriter writes complete frames from concurrent goroutines.
type connectionWriter struct {
	// token has one element while a goroutine writes. Unlike a mutex, waiting for it can end with a
	// context, since a write to an unresponsive peer may take long.
	token      chan struct{}
	connection net.Conn
	traffic    Traffic
}

var (
	// errBusy means that nothing was written, since other writes occupied the connection.
	errBusy = errors.New("write frame: the connection stayed busy")
	// errPartialFrame means that a part of a frame was written. The connection is closed, since the
	// peer would read the next frame as the remainder of that one.
	errPartialFrame = errors.New("write frame: only a part was written")
)

func newConnectionWriter(connection net.Conn, traffic Traffic) *connectionWriter {
	return &connectionWriter{token: make(chan struct{}, 1), connection: connection, traffic: traffic}
}

// write sends one frame. It returns errBusy if the context ends before the write starts, and an
// error that wraps errPartialFrame if only a part of the frame was written. After any other error
// nothing was written.
func (w *connectionWriter) write(ctx context.Context, envelope *peerwire.Envelope) error {
	select {
	case w.token <- struct{}{}:
	case <-ctx.Done():
		return errBusy
	}
	defer func() { <-w.token }()
	_ = w.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	// The end of the context interrupts a blocked write. The wait for interrupted ensures that this
	// deadline doesn't replace that of the next writer.
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = w.connection.SetWriteDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	size, err := peerwire.WriteFrame(w.connection, envelope)
	if !stop() {
		<-interrupted
	}
	if w.traffic != nil {
		w.traffic.Count(envelope.Kind, true, size)
	}
	if err != nil && size > 0 {
		_ = w.connection.Close()
		return fmt.Errorf("%w: %w", errPartialFrame, err)
	}
	return err
}
