package memnet

import (
	"sync"
	"time"
)

// writeDeadline is the deadline of writes that wait for a link. It may be moved while a
// write waits. It is safe for concurrent use.
type writeDeadline struct {
	mutex  sync.Mutex
	timer  *time.Timer
	passed chan struct{}
}

func newWriteDeadline() *writeDeadline { return &writeDeadline{passed: make(chan struct{})} }

// done returns a channel that is closed when the current deadline has passed. The channel
// is replaced when a deadline that has passed is moved.
func (d *writeDeadline) done() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.passed
}

// set moves the deadline. The zero time means no deadline.
func (d *writeDeadline) set(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.passed // the timer has fired; wait until its function has closed the channel
	}
	d.timer = nil
	select {
	case <-d.passed:
		d.passed = make(chan struct{})
	default:
	}
	passed := d.passed
	switch remaining := time.Until(at); {
	case at.IsZero():
	case remaining > 0:
		d.timer = time.AfterFunc(remaining, func() { close(passed) })
	default:
		close(passed)
	}
}

// SetDeadline implements net.Conn.
func (e *endpoint) SetDeadline(at time.Time) error {
	e.deadline.set(at)
	return e.Conn.SetDeadline(at)
}

// SetWriteDeadline implements net.Conn.
func (e *endpoint) SetWriteDeadline(at time.Time) error {
	e.deadline.set(at)
	return e.Conn.SetWriteDeadline(at)
}
