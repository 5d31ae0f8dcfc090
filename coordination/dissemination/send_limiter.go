package dissemination

import (
	"context"
	"time"
)

const (
	// mbpsPerReply is the link bandwidth per concurrent reply, in Mbit/s. A reply with parts of the
	// configuration occupies that for 13 ms.
	mbpsPerReply = 20
	// maxReplies bounds the concurrent replies on any link. defaultReplies applies if the
	// bandwidth is unknown.
	maxReplies     = 16
	defaultReplies = 4
	// acquireTimeout is the time after which a waiting node is referred to other sources.
	acquireTimeout = 100 * time.Millisecond
)

// SendLimiter bounds the number of concurrent replies with parts of the configuration, so that
// they leave most of the link to other messages. It is safe for concurrent use.
type SendLimiter chan struct{}

// NewSendLimiter returns a limiter for a link of the given bandwidth in Mbit/s; zero means
// unknown.
func NewSendLimiter(linkMbps float64) SendLimiter {
	count := defaultReplies
	if linkMbps > 0 {
		count = min(max(int(linkMbps/mbpsPerReply), 1), maxReplies)
	}
	return make(SendLimiter, count)
}

// Acquire waits until a reply may be sent, for at most acquireTimeout or until ctx is done, and
// reports whether it may. If so, the caller must call Release once.
func (l SendLimiter) Acquire(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	default:
	}
	select {
	case l <- struct{}{}:
		return true
	case <-time.After(acquireTimeout):
		return false
	case <-ctx.Done():
		return false
	}
}

// Release ends a reply that Acquire allowed.
func (l SendLimiter) Release() { <-l }
