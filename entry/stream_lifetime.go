package entry

import (
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/state/streamorigins"
	"github.com/thornwalk/thornwalk/structs"
)

// streamLifetimes knows how long ago streams may have begun that are resumed.
type streamLifetimes struct {
	mutex sync.Mutex
	streamorigins.Lifetimes
}

// longest returns the longest time of callers that have more time than their routes suggest.
func (l *streamLifetimes) longest(now structs.Instant) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.Longest(now)
}

// report records what a heartbeat says of the streams of its sender.
func (l *streamLifetimes) report(now, sentAt structs.Instant, longest time.Duration) {
	if longest <= 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.Report(now, sentAt, longest)
}

// stateStreamTime records how much time the caller has for its stream, if that is more than its route suggests.
func (c *call) stateStreamTime(callerTime time.Duration) {
	if c.route.Kind != kindStreaming || callerTime <= streamorigins.StreamLifetime(c.route.Timeout) {
		return
	}
	c.callerTime = callerTime
	lifetimes := &c.node.streamLifetimes
	lifetimes.mutex.Lock()
	defer lifetimes.mutex.Unlock()
	lifetimes.State(c.node.now(), callerTime)
}

// streamLifetime returns how long ago the stream that the caller resumes may have begun.
func (c *call) streamLifetime() time.Duration {
	n := c.node
	n.streamLifetimes.mutex.Lock()
	defer n.streamLifetimes.mutex.Unlock()
	return max(n.streamLifetimes.Of(n.now(), c.route.Timeout), c.callerTime)
}

// beganUnderCurrent reports whether what the caller resumes can have begun under the current configuration only.
func (c *call) beganUnderCurrent() bool {
	lifetime := c.streamLifetime()
	c.node.mutex.Lock()
	defer c.node.mutex.Unlock()
	return c.node.routingHistory.BeganUnderCurrent(c.node.now(), lifetime)
}
