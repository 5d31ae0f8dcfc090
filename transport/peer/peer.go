// Package peer carries typed calls between nodes over the peerwire protocol.
// A failed call proves nothing about its effect, unless the error says that
// no connection could be made.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

// dialTimeout and writeTimeout bound a stuck peer.
const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection that a peer leaves silent; heartbeats are
	// far more frequent for any connection in use.
	idleTimeout = 5 * time.Minute
	// handlersPerConnection bounds the calls of one peer that run at once.
	handlersPerConnection = 4096
	// silenceCheck is the time between looks whether a connection with waiting calls is
	// silent. One that is silent for pingAfter is sent a ping, and is broken if nothing
	// comes for pingPatience after that: connections may fall silent for good while new
	// ones work, and the kernel breaks them only after seconds. A place is granted within
	// 20 ms where one is free; a reply of 1 MB takes 0.4 s on a link of 20 Mbit/s, but its
	// bytes are heard as they come.
	silenceCheck = 100 * time.Millisecond
	pingAfter    = 200 * time.Millisecond
	pingPatience = 400 * time.Millisecond
)

// SilenceTime is how long a connection has been silent at least when it is given up.
const SilenceTime = pingAfter + pingPatience

// kindPing is a kind that every version replies to, if only that it has no handler.
const kindPing = peerwire.KindProbe

// Traffic counts bytes by kind of message. It is safe for concurrent use.
type Traffic interface {
	Count(kind peerwire.Kind, out bool, bytes int)
}

// connectionWriter writes whole frames from several goroutines.
type connectionWriter struct {
	// turn holds one token; who has it may write. Unlike a mutex it can be
	// waited for within a context, since a write to a stuck peer takes long.
	turn       chan struct{}
	connection net.Conn
	traffic    Traffic
}

var (
	// errNoTurn means that nothing was written: others kept the connection busy.
	errNoTurn = errors.New("the connection was busy")
	// errFrameCut means that a part of a frame was written. The connection is closed: what
	// followed would be read as the rest of that frame.
	errFrameCut = errors.New("a frame was cut")
)

func newConnectionWriter(connection net.Conn, traffic Traffic) *connectionWriter {
	return &connectionWriter{turn: make(chan struct{}, 1), connection: connection, traffic: traffic}
}

func (w *connectionWriter) write(ctx context.Context, envelope *peerwire.Envelope) error {
	select {
	case w.turn <- struct{}{}:
	case <-ctx.Done():
		return errNoTurn
	}
	defer func() { <-w.turn }()
	_ = w.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	// A peer that stands still does not hold up a caller that gave up. Whoever writes next
	// sets a deadline of its own, which this one must not replace.
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
		return fmt.Errorf("%w: %w", errFrameCut, err)
	}
	return err
}
