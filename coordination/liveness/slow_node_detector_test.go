package liveness

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// machine feeds a detector with timer lags and work times of a simulated machine.
type machine struct {
	SlowNodeDetector
	now      structs.Instant
	workTime time.Duration
}

// run simulates timers with the given lag for the duration. It stops when Slow changes, and
// returns the simulated time.
func (m *machine) run(duration, timerLag time.Duration) time.Duration {
	start := m.now
	for m.now-start < duration {
		m.now += TimerLagInterval
		if m.Observe(m.now, timerLag, m.workTime) {
			return m.now - start
		}
	}
	return duration
}

// Guards against late detection of a slow machine, and against a node that stays slow after its
// recovery.
func TestSlowMachineIsDetectedWithinTenthsOfASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{}
	m.run(5*time.Second, 300*time.Microsecond)
	g.Expect(m.Slow()).To(gomega.BeFalse())
	took := m.run(time.Minute, 3*time.Millisecond)
	g.Expect(m.Slow()).To(gomega.BeTrue())
	g.Expect(took).To(gomega.BeNumerically("<", 400*time.Millisecond))
	took = m.run(time.Minute, 300*time.Microsecond)
	g.Expect(m.Slow()).To(gomega.BeFalse())
	g.Expect(took).To(gomega.BeNumerically("~", minHoldTime, 200*time.Millisecond))
}

// An idle machine has no timer lag, so its slowness shows only in the work time.
func TestIdleSlowMachineIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{workTime: 3 * time.Microsecond}
	for i := range 500 {
		m.workTime = time.Duration(1800+i*i%7*1000) * time.Nanosecond
		m.run(TimerLagInterval, 0)
	}
	g.Expect(m.Slow()).To(gomega.BeFalse(), "single work times of up to four times the usual are ignored")
	m.workTime = 17 * time.Microsecond
	g.Expect(m.run(time.Minute, 0)).To(gomega.BeNumerically("<=", 200*time.Millisecond))
	g.Expect(m.Slow()).To(gomega.BeTrue())
	g.Expect(m.run(20*time.Second, 0)).To(gomega.Equal(20*time.Second), "the machine is still as slow")
	m.workTime = 3 * time.Microsecond
	m.run(20*time.Second, 0)
	g.Expect(m.Slow()).To(gomega.BeFalse())
}

// Guards against a false detection because of single long work times.
func TestOccasionalThreadDelaysDoNotMakeANodeSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{}
	for i := range 5000 {
		m.workTime = 3 * time.Microsecond
		if i%10 == 0 {
			m.workTime = 10 * time.Millisecond
		}
		m.run(TimerLagInterval, 0)
		g.Expect(m.Slow()).To(gomega.BeFalse())
	}
}

// Guards against a false detection because of single long timer lags.
func TestSingleSuspensionsDoNotMakeANodeSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{}
	for range 100 {
		m.run(TimerLagInterval, time.Second)
		m.run(2*time.Second, 100*time.Microsecond)
		g.Expect(m.Slow()).To(gomega.BeFalse())
	}
}

// Guards against moving the scheduling role again and again because of an unstable machine.
func TestFrequentSlowdownsExtendTheHoldTime(t *testing.T) {
	const window = 3 * time.Minute
	g := gomega.NewWithT(t)
	m := &machine{}
	changes := 0
	for m.now < window {
		if m.run(500*time.Millisecond, 4*time.Millisecond) < 500*time.Millisecond {
			changes++
		}
		if m.run(time.Second, 100*time.Microsecond) < time.Second {
			changes++
		}
	}
	g.Expect(changes).To(gomega.BeNumerically("<=", 18), "changes in three minutes on a machine that is slow a third of the time")
	for start := m.now; m.now-start < maxHoldTime+2*holdResetTime; {
		m.run(time.Second, 100*time.Microsecond)
	}
	m.run(time.Second, 4*time.Millisecond)
	g.Expect(m.Slow()).To(gomega.BeTrue())
	g.Expect(m.run(time.Minute, 0)).To(gomega.BeNumerically("~", minHoldTime, 200*time.Millisecond))
}

// Guards against scheduling on a slow node while another eligible node is not slow.
func TestSlowNodesAreSelectedOnlyIfAllAreSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	heartbeats := []*Heartbeat{{Name: "a", Cores: 1, Slow: true}, {Name: "b", Cores: 1}, {Name: "c", Cores: 1}, {Name: "weak", Cores: 0.2}}
	order := EligibleNodes(heartbeats)
	g.Expect(order).To(gomega.Equal([]string{"a", "b", "c"}), "slow nodes stay eligible, as the order also determines which nodes call the store")
	g.Expect(FirstNotSlow(order, heartbeats)).To(gomega.Equal("b"))
	heartbeats[1].Slow, heartbeats[2].Slow = true, true
	g.Expect(FirstNotSlow(order, heartbeats)).To(gomega.Equal("a"), "weak nodes are never selected")
	g.Expect(FirstNotSlow(nil, heartbeats)).To(gomega.BeEmpty())
}
