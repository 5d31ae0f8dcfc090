package memnet

import (
	"sync"
	"time"
)

// writeDeadline tells a write that waits for a link that its time is over. It may be
// moved while the write waits.
type writeDeadline struct {
	mutex  sync.Mutex
	timer  *time.Timer
	passed chan struct{}
}

func newWriteDeadline() *writeDeadline { return &writeDeadline{passed: make(chan struct{})} }

// done returns a channel that is closed when the present deadline has passed.
func (d *writeDeadline) done() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.passed
}

// set moves the deadline; the zero time means none.
func (d *writeDeadline) set(at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.passed // the timer's function runs, or has run
	}
	d.timer = nil
	select {
	case <-d.passed:
		d.passed = make(chan struct{})
	default:
	}
	passed := d.passed
	switch left := time.Until(at); {
	case at.IsZero():
	case left > 0:
		d.timer = time.AfterFunc(left, func() { close(passed) })
	default:
		close(passed)
	}
}

// SetDeadline implements net.Conn.
func (e *end) SetDeadline(at time.Time) error {
	e.deadline.set(at)
	return e.Conn.SetDeadline(at)
}

// SetWriteDeadline implements net.Conn.
func (e *end) SetWriteDeadline(at time.Time) error {
	e.deadline.set(at)
	return e.Conn.SetWriteDeadline(at)
}
