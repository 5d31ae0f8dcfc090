package clock

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// machine simulates the three clocks of a machine.
type machine struct {
	wall               time.Time
	monotonic, boot    time.Duration
	bootReads          int
	stallAfterBootRead time.Duration
	stalledReadsLeft   int
}

// advance moves all clocks.
func (m *machine) advance(duration time.Duration) {
	m.wall, m.monotonic, m.boot = m.wall.Add(duration), m.monotonic+duration, m.boot+duration
}

// suspend moves all clocks except the monotonic one.
func (m *machine) suspend(duration time.Duration) {
	m.wall, m.boot = m.wall.Add(duration), m.boot+duration
}

// newClock starts a clock on the simulated machine.
func (m *machine) newClock(g *gomega.WithT) *Clock {
	started := m.wall
	c := &Clock{started: started, wall: func() time.Time { return m.wall }, monotonic: func() time.Duration { return m.monotonic }}
	c.bootTime = func() (time.Duration, error) {
		m.bootReads++
		if m.stalledReadsLeft > 0 {
			m.stalledReadsLeft--
			reading := m.boot
			m.advance(m.stallAfterBootRead)
			return reading, nil
		}
		return m.boot, nil
	}
	g.Expect(c.start()).To(gomega.Succeed())
	return c
}

// The time of suspensions must be included.
func TestClockIncludesSuspensions(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{wall: time.Unix(1000, 0), boot: time.Hour}
	c := m.newClock(g)
	m.advance(time.Second)
	g.Expect(c.Now()).To(gomega.Equal(time.Second))
	m.suspend(3 * time.Second)
	g.Expect(c.Now()).To(gomega.Equal(4 * time.Second))
	m.advance(time.Second)
	m.suspend(2 * time.Second)
	g.Expect(c.Now()).To(gomega.Equal(7 * time.Second))
	g.Expect(c.Suspended()).To(gomega.Equal(5 * time.Second))
}

// A change of the wall time must not be counted as a suspension.
func TestSettingTheWallTimeDoesNotMoveTheClock(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{wall: time.Unix(1000, 0)}
	c := m.newClock(g)
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second} {
		m.wall = m.wall.Add(step)
		m.advance(time.Second)
	}
	g.Expect(c.Now()).To(gomega.Equal(2 * time.Second))
}

// Now can't detect a suspension if the wall time is set back by the same time; CheckSuspension
// must.
func TestCheckSuspensionFindsASuspensionHiddenByTheWallTime(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{wall: time.Unix(1000, 0)}
	c := m.newClock(g)
	m.suspend(2 * time.Second)
	m.wall = m.wall.Add(-2 * time.Second)
	g.Expect(c.Now()).To(gomega.BeZero())
	c.CheckSuspension()
	g.Expect(c.Now()).To(gomega.Equal(2 * time.Second))
}

// Now must not read the boot-time clock without need, since that is a system call.
func TestBootTimeClockIsReadOnlyIfTheWallTimeDrifted(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{wall: time.Unix(1000, 0)}
	c := m.newClock(g)
	before := m.bootReads
	for range 1000 {
		m.advance(time.Millisecond)
		c.Now()
	}
	g.Expect(m.bootReads).To(gomega.Equal(before))
}

// A thread that is not scheduled between two readings must not be counted as a suspension, which
// would remain in the clock for good.
func TestUnscheduledThreadIsNoSuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{wall: time.Unix(1000, 0)}
	c := m.newClock(g)
	m.stalledReadsLeft, m.stallAfterBootRead = 2, time.Second
	c.CheckSuspension()
	g.Expect(c.Suspended()).To(gomega.BeZero())
	g.Expect(c.Now()).To(gomega.Equal(2 * time.Second))
}

// Without a suspension, the clock of the operating system must advance as the monotonic one.
func TestSystemClockAdvancesAsTheMonotonicClock(t *testing.T) {
	g := gomega.NewWithT(t)
	c, err := New()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// Each reading of the clock lies between two of the monotonic one, so delays of this thread don't
	// matter.
	beforeFirst := time.Now()
	start := c.Now()
	afterFirst := time.Now()
	time.Sleep(20 * time.Millisecond)
	c.CheckSuspension()
	beforeSecond := time.Now()
	passed := c.Now() - start
	g.Expect(passed).To(gomega.BeNumerically(">=", beforeSecond.Sub(afterFirst)-readTolerance))
	g.Expect(passed).To(gomega.BeNumerically("<=", time.Since(beforeFirst)+readTolerance))
}
