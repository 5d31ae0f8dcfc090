package dissemination

import (
	"context"
	"time"
)

const (
	// senderShare is the bandwidth for which one reply with parts of the configuration
	// may be under way, in megabits a second: such a reply occupies it for 13 ms.
	senderShare = 20
	// mostSenders bounds the replies under way on the widest links, and unknownSenders
	// holds for a link whose bandwidth is not known.
	mostSenders    = 16
	unknownSenders = 4
	// turnWait is how long an asking node is kept waiting until it is sent elsewhere.
	turnWait = 100 * time.Millisecond
)

// SendLimiter bounds the replies with parts of the configuration that are under way at
// once, so that other messages of this node keep most of its link.
type SendLimiter chan struct{}

// NewSendLimiter returns the bound for a link of so many megabits a second.
func NewSendLimiter(link float64) SendLimiter {
	count := unknownSenders
	if link > 0 {
		count = min(max(int(link/senderShare), 1), mostSenders)
	}
	return make(SendLimiter, count)
}

// Acquire waits a while for a turn and returns whether there was one.
func (s SendLimiter) Acquire(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	default:
	}
	select {
	case s <- struct{}{}:
		return true
	case <-time.After(turnWait):
		return false
	case <-ctx.Done():
		return false
	}
}

// Release ends a turn.
func (s SendLimiter) Release() { <-s }
