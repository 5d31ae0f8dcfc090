package liveness

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/structs"
)

// machine measures the lateness of timers, and the work, on one that changes its speed.
type machine struct {
	SlowNodeDetector
	now  structs.Instant
	work time.Duration
}

// run lets so much time pass with timers so late, and returns after what time Slow changed,
// or the whole time.
func (m *machine) run(passed, late time.Duration) time.Duration {
	begun := m.now
	for m.now-begun < passed {
		m.now += TimerLagInterval
		if m.Observe(m.now, late, m.work) {
			return m.now - begun
		}
	}
	return passed
}

func TestANodeOnASlowMachineIsSlowWithinTenthsOfASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{}
	m.run(5*time.Second, 300*time.Microsecond)
	g.Expect(m.Slow()).To(gomega.BeFalse())
	took := m.run(time.Minute, 3*time.Millisecond)
	g.Expect(m.Slow()).To(gomega.BeTrue())
	g.Expect(took).To(gomega.BeNumerically("<", 400*time.Millisecond))
	took = m.run(time.Minute, 300*time.Microsecond)
	g.Expect(m.Slow()).To(gomega.BeFalse())
	g.Expect(took).To(gomega.BeNumerically("~", firstHold, 200*time.Millisecond))
}

// A machine that has nothing to do is not late, and yet too slow for what would come.
func TestAnIdleNodeOnASlowMachineIsSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{work: 3 * time.Microsecond}
	for i := range 500 {
		m.work = time.Duration(1800+i*i%7*1000) * time.Nanosecond
		m.run(TimerLagInterval, 0)
	}
	g.Expect(m.Slow()).To(gomega.BeFalse(), "work that takes up to four times as long at times")
	m.work = 17 * time.Microsecond
	g.Expect(m.run(time.Minute, 0)).To(gomega.BeNumerically("<=", 200*time.Millisecond))
	g.Expect(m.Slow()).To(gomega.BeTrue())
	g.Expect(m.run(20*time.Second, 0)).To(gomega.Equal(20*time.Second), "it is as slow as before")
	m.work = 3 * time.Microsecond
	m.run(20*time.Second, 0)
	g.Expect(m.Slow()).To(gomega.BeFalse())
}

func TestAThreadThatIsHeldUpNowAndThenDoesNotMakeANodeSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{}
	for i := range 5000 {
		m.work = 3 * time.Microsecond
		if i%10 == 0 {
			m.work = 10 * time.Millisecond
		}
		m.run(TimerLagInterval, 0)
		g.Expect(m.Slow()).To(gomega.BeFalse())
	}
}

func TestOnePauseDoesNotMakeANodeSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &machine{}
	for range 100 {
		m.run(TimerLagInterval, time.Second)
		m.run(2*time.Second, 100*time.Microsecond)
		g.Expect(m.Slow()).To(gomega.BeFalse())
	}
}

// A machine that turns slow again and again moves the schedule ever more rarely.
func TestANodeThatTurnsSlowOftenStaysSlowForLonger(t *testing.T) {
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
	g.Expect(changes).To(gomega.BeNumerically("<=", 18), "moves in three minutes of a machine that is slow a third of the time")
	for rested := m.now; m.now-rested < longestHold+2*forgiveAfter; {
		m.run(time.Second, 100*time.Microsecond)
	}
	m.run(time.Second, 4*time.Millisecond)
	g.Expect(m.Slow()).To(gomega.BeTrue())
	g.Expect(m.run(time.Minute, 0)).To(gomega.BeNumerically("~", firstHold, 200*time.Millisecond))
}

func TestSlowNodesAreChosenOnlyIfAllAreSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	beats := []*Heartbeat{{Name: "a", Cores: 1, Slow: true}, {Name: "b", Cores: 1}, {Name: "c", Cores: 1}, {Name: "weak", Cores: 0.2}}
	order := EligibleNodes(beats)
	g.Expect(order).To(gomega.Equal([]string{"a", "b", "c"}), "calls of the store stay with the same nodes")
	g.Expect(FirstNotSlow(order, beats)).To(gomega.Equal("b"))
	beats[1].Slow, beats[2].Slow = true, true
	g.Expect(FirstNotSlow(order, beats)).To(gomega.Equal("a"), "a weak node is no better than a slow one")
	g.Expect(FirstNotSlow(nil, beats)).To(gomega.BeEmpty())
}
