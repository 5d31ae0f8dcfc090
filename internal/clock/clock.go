// Package clock measures time that goes on while the machine is suspended. The steady clock
// of the operating system, by which timers and time.Since go, stands still then: a node that
// was suspended for seconds would take what it holds (news, leases, shares of quotas, places)
// for as fresh as before, while others have decided in its place.
package clock

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// noise is by how much the readings of two clocks may differ for other reasons than a
	// suspension: each is taken a moment after the other.
	noise = 5 * time.Millisecond
	// wallSlack is by how much the time of day may move against the steady clock until the
	// boot-time clock is read. Such a look is a system call, and Now is called some twenty
	// times a request; the other two clocks are read without one. A time of day that was set
	// costs one look.
	wallSlack = 20 * time.Millisecond
	// looks bounds the attempts to read two clocks at the same moment.
	looks = 4
)

// Clock is safe for concurrent use.
type Clock struct {
	started time.Time
	// boot returns the time since the machine started, suspensions included; base is what it
	// returned when the clock started.
	boot func() (time.Duration, error)
	base time.Duration
	// wall returns the time of day and steady the steady time since the start.
	wall   func() time.Time
	steady func() time.Duration
	// drift is how far the time of day was ahead of the steady clock at the last look.
	drift atomic.Int64
	// suspended is for how long the machine was suspended since the start.
	suspended atomic.Int64
	looking   sync.Mutex
}

// New starts a clock at zero. The error says that the machine's boot-time clock can't be
// read; the clock then goes as the steady one does.
func New() (*Clock, error) {
	started := time.Now()
	c := &Clock{started: started, boot: bootTime, wall: time.Now, steady: func() time.Duration { return time.Since(started) }}
	return c, c.start()
}

func (c *Clock) start() error {
	var err error
	if c.base, err = c.boot(); err != nil {
		return fmt.Errorf("boot-time clock: %w", err)
	}
	c.base -= c.steady()
	c.drift.Store(c.driftNow())
	return nil
}

// bootTime reads CLOCK_BOOTTIME.
func bootTime() (time.Duration, error) {
	var reading unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading)
	return time.Duration(reading.Nano()), err
}

// Now returns the time since the start, that of suspensions included.
func (c *Clock) Now() time.Duration {
	if moved := c.driftNow() - c.drift.Load(); moved > int64(wallSlack) || moved < -int64(wallSlack) {
		c.Look()
	}
	return c.steady() + time.Duration(c.suspended.Load())
}

// driftNow returns by how much the time of day is ahead of the steady clock, in nanoseconds.
func (c *Clock) driftNow() int64 {
	return c.wall().UnixNano() - c.started.UnixNano() - int64(c.steady())
}

// Look reads the boot-time clock. Now does so by itself when the time of day moves against
// the steady clock; who waits anyway calls it for the rare case that the time of day was set
// back by as much as the suspension took.
func (c *Clock) Look() {
	c.looking.Lock()
	defer c.looking.Unlock()
	c.drift.Store(c.driftNow())
	for range looks {
		before := c.steady()
		reading, err := c.boot()
		after := c.steady()
		if err != nil {
			return // New has told that it can't be read
		}
		if after-before > noise {
			continue // this thread stood still between the readings
		}
		if suspended := reading - c.base - before; suspended > time.Duration(c.suspended.Load())+noise {
			c.suspended.Store(int64(suspended))
		}
		return
	}
}

// Suspended returns for how long the machine was suspended since the start.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }
