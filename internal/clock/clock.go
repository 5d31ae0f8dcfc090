// Package clock measures elapsed time including suspensions of the machine. The monotonic clock that
// timers and time.Since use doesn't advance during a suspension, so a node could not detect that its
// leases, quota shares and received state have expired meanwhile. The package has no timers.
package clock

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readTolerance is the difference between readings of two clocks that isn't a suspension, as
	// they are read one after the other.
	readTolerance = 5 * time.Millisecond
	// maxWallDrift is how far wall time may drift from the monotonic clock before Now reads the
	// boot-time clock. That is a system call, while the other two clocks are read without one, and
	// Now is called many times per request.
	maxWallDrift = 20 * time.Millisecond
	// maxReadAttempts bounds the attempts to read two clocks within readTolerance.
	maxReadAttempts = 4
)

// Clock measures the time since its start, suspensions included. It is safe for concurrent use.
type Clock struct {
	started time.Time
	// bootTime returns the time since the machine started, suspensions included. bootBase is its
	// value when the clock started.
	bootTime func() (time.Duration, error)
	bootBase time.Duration
	// wall returns the wall time and monotonic the monotonic time since the clock started.
	wall      func() time.Time
	monotonic func() time.Duration
	// lastDrift is how far wall time was ahead of the monotonic clock at the last read of the
	// boot-time clock, in nanoseconds.
	lastDrift atomic.Int64
	// suspended is how long the machine was suspended since the clock started, in nanoseconds.
	suspended atomic.Int64
	readMutex sync.Mutex
}

// New starts a clock at zero. An error means that the machine's boot-time clock can't be read; the
// returned clock is usable, but doesn't include suspensions.
func New() (*Clock, error) {
	started := time.Now()
	c := &Clock{started: started, bootTime: readBootTime, wall: time.Now, monotonic: func() time.Duration { return time.Since(started) }}
	return c, c.start()
}

func (c *Clock) start() error {
	var err error
	if c.bootBase, err = c.bootTime(); err != nil {
		return fmt.Errorf("read boot-time clock: %w", err)
	}
	c.bootBase -= c.monotonic()
	c.lastDrift.Store(c.currentDrift())
	return nil
}

// readBootTime reads CLOCK_BOOTTIME.
func readBootTime() (time.Duration, error) {
	var reading unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading)
	return time.Duration(reading.Nano()), err
}

// Now returns the time since the clock started, suspensions included.
func (c *Clock) Now() time.Duration {
	if moved := c.currentDrift() - c.lastDrift.Load(); moved > int64(maxWallDrift) || moved < -int64(maxWallDrift) {
		c.CheckSuspension()
	}
	return c.monotonic() + time.Duration(c.suspended.Load())
}

// currentDrift returns how far wall time is ahead of the monotonic clock, in nanoseconds.
func (c *Clock) currentDrift() int64 {
	return c.wall().UnixNano() - c.started.UnixNano() - int64(c.monotonic())
}

// CheckSuspension reads the boot-time clock. Now calls it when wall time drifted. Callers may call it
// at regular intervals, which also detects a suspension during which the wall time was set back by
// the same time.
func (c *Clock) CheckSuspension() {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	c.lastDrift.Store(c.currentDrift())
	for range maxReadAttempts {
		before := c.monotonic()
		reading, err := c.bootTime()
		after := c.monotonic()
		if err != nil {
			return // New returned this error
		}
		if after-before > readTolerance {
			continue // the thread was not scheduled between the readings
		}
		if suspended := reading - c.bootBase - before; suspended > time.Duration(c.suspended.Load())+readTolerance {
			c.suspended.Store(int64(suspended))
		}
		return
	}
}

// Suspended returns how long the machine was suspended since the clock started, as of the last read
// of the boot-time clock.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }
