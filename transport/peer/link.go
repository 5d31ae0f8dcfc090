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

// link is one connection to a peer, with the calls that wait for an answer.
type link struct {
	writer   *connectionWriter
	lastCall atomic.Uint64
	mutex    sync.Mutex
	pending  map[uint64]chan *peerwire.Envelope
	broken   bool
	// receivedAt is the time of the last received bytes and pingedAt that of the last ping, both
	// since opened.
	opened               time.Time
	receivedAt, pingedAt time.Duration
	// onSilence is called after the link was closed since nothing was received.
	onSilence func()
}

func (l *link) isBroken() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.broken
}

// exchange sends a call and returns its answer. If the context ends first, the error is that of the
// wait or the interrupted write; otherwise it is ErrLinkBroken, after which the link is closed.
func (l *link) exchange(ctx context.Context, kind peerwire.Kind, body msgpack.RawMessage) (*peerwire.Envelope, error) {
	call := l.lastCall.Add(1)
	answers := make(chan *peerwire.Envelope, 1)
	if !l.expect(call, answers) {
		return nil, ErrLinkBroken
	}
	defer l.forget(call)
	if err := l.writer.write(ctx, &peerwire.Envelope{Call: call, Kind: kind, Body: body}); err != nil {
		gaveUp := errors.Is(err, errBusy) || ctx.Err() != nil
		if !gaveUp || errors.Is(err, errPartialFrame) {
			l.close()
		}
		if gaveUp {
			return nil, err
		}
		return nil, ErrLinkBroken
	}
	return l.await(ctx, answers)
}

// await waits for the answer to a call that was written, and checks the link for silence meanwhile.
func (l *link) await(ctx context.Context, answers chan *peerwire.Envelope) (*peerwire.Envelope, error) {
	check := time.NewTicker(silenceCheckInterval)
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

// checkSilence pings the peer if nothing was received for pingDelay, and closes the link if nothing
// is received within pingTimeout after the ping.
func (l *link) checkSilence() {
	l.mutex.Lock()
	now := time.Since(l.opened)
	if l.broken || now-l.receivedAt < pingDelay {
		l.mutex.Unlock()
		return
	}
	needsPing := l.pingedAt <= l.receivedAt
	if needsPing {
		l.pingedAt = now
	}
	isSilent := now-l.pingedAt > pingTimeout
	l.mutex.Unlock()
	switch {
	case isSilent:
		l.close()
		l.onSilence()
	case needsPing:
		go l.ping()
	}
}

// ping sends a call to which the peer replies, without waiting for the reply.
func (l *link) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	// A ping that can't be written counts as unanswered, so other errors need no handling.
	if err := l.writer.write(ctx, &peerwire.Envelope{Call: l.lastCall.Add(1), Kind: kindPing}); errors.Is(err, errPartialFrame) {
		l.close()
	}
}

// Read implements io.Reader and records that bytes were received.
func (l *link) Read(into []byte) (int, error) {
	count, err := l.writer.connection.Read(into)
	if count > 0 {
		l.mutex.Lock()
		l.receivedAt = time.Since(l.opened)
		l.mutex.Unlock()
	}
	return count, err
}

// expect registers a call that waits for an answer. It returns false if the link is broken.
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

// readLoop delivers answers to their callers until the connection fails. It drops second answers
// and those to calls that were given up.
func (l *link) readLoop(traffic Traffic) {
	defer l.close()
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

// close closes the connection. Pending calls fail with ErrLinkBroken.
func (l *link) close() {
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
