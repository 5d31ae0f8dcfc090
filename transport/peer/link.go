package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/thornwalk/thornwalk/protocol/peerwire"
)

// link is one connection to a peer.
type link struct {
	writer  *connectionWriter
	call    atomic.Uint64
	mutex   sync.Mutex
	pending map[uint64]chan *peerwire.Envelope
	broken  bool
	// heard is when bytes came last and pinged when the last ping went out, as time since
	// opened.
	opened        time.Time
	heard, pinged time.Duration
	// silent is called when the link is given up for its silence.
	silent func()
}

func (l *link) isBroken() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.broken
}

func (l *link) exchange(ctx context.Context, kind peerwire.Kind, body msgpack.RawMessage) (*peerwire.Envelope, error) {
	call := l.call.Add(1)
	answers := make(chan *peerwire.Envelope, 1)
	if !l.expect(call, answers) {
		return nil, ErrLinkBroken
	}
	defer l.forget(call)
	if err := l.writer.write(ctx, &peerwire.Envelope{Call: call, Kind: kind, Body: body}); err != nil {
		isLeft := errors.Is(err, errNoTurn) || ctx.Err() != nil
		if !isLeft || errors.Is(err, errFrameCut) {
			l.fail()
		}
		if isLeft {
			return nil, err
		}
		return nil, ErrLinkBroken
	}
	return l.await(ctx, answers)
}

// await waits for the answer to a call that was written, as long as the connection is
// not silent.
func (l *link) await(ctx context.Context, answers chan *peerwire.Envelope) (*peerwire.Envelope, error) {
	check := time.NewTicker(silenceCheck)
	defer check.Stop()
	for {
		select {
		case answer, open := <-answers:
			if !open {
				return nil, ErrLinkBroken
			}
			return answer, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-check.C:
			l.checkSilence()
		}
	}
}

// checkSilence pings a peer that nothing came from for a while, and ends the link if
// nothing comes after that either.
func (l *link) checkSilence() {
	l.mutex.Lock()
	now := time.Since(l.opened)
	if l.broken || now-l.heard < pingAfter {
		l.mutex.Unlock()
		return
	}
	pings := l.pinged <= l.heard
	if pings {
		l.pinged = now
	}
	dead := now-l.pinged > pingPatience
	l.mutex.Unlock()
	switch {
	case dead:
		l.fail()
		l.silent()
	case pings:
		go l.ping()
	}
}

// ping asks for any reply.
func (l *link) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), pingPatience)
	defer cancel()
	// A ping that can't be written is missing like one that is not answered.
	if err := l.writer.write(ctx, &peerwire.Envelope{Call: l.call.Add(1), Kind: kindPing}); errors.Is(err, errFrameCut) {
		l.fail()
	}
}

// Read implements io.Reader and notes that the peer was heard.
func (l *link) Read(into []byte) (int, error) {
	count, err := l.writer.connection.Read(into)
	if count > 0 {
		l.mutex.Lock()
		l.heard = time.Since(l.opened)
		l.mutex.Unlock()
	}
	return count, err
}

func (l *link) expect(call uint64, answers chan *peerwire.Envelope) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.broken {
		return false
	}
	l.pending[call] = answers
	return true
}

func (l *link) forget(call uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.pending, call)
}

// read hands answers to their callers; an answer to a call that was given up,
// or a second answer, finds none and is dropped.
func (l *link) read(traffic Traffic) {
	defer l.fail()
	for {
		envelope, size, err := peerwire.ReadFrame(l)
		if err != nil {
			return
		}
		if traffic != nil {
			traffic.Count(envelope.Kind, false, size)
		}
		l.mutex.Lock()
		answers, found := l.pending[envelope.Call]
		delete(l.pending, envelope.Call)
		l.mutex.Unlock()
		if found {
			answers <- envelope
		}
	}
}

func (l *link) fail() {
	l.mutex.Lock()
	pending := l.pending
	l.pending = nil
	l.broken = true
	l.mutex.Unlock()
	_ = l.writer.connection.Close()
	for _, answers := range pending {
		close(answers)
	}
}
