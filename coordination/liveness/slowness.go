package liveness

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// A node that schedules for all others has to answer them at once. Where its machine turned
// six times slower, half of all decisions took 0.2 to 2 s for three seconds while its
// heartbeats went on. So each node that may schedule measures by how much its own timers are
// late and how long a fixed piece of work takes, and says so; whoever is slow is chosen only
// if all are. The work shows a slow machine before it has much to do, which the timers don't:
// by these alone the schedule first moved to another slow node.
const (
	// slowLag is the mean lateness from which a node is slow, and calmLag that up to which it
	// is not any more. Timers of nodes that scheduled 3,900 requests a second on a machine in
	// order were 0.1 to 0.5 ms late, those on a machine six times slower 2.5 to 5 ms at 1,400.
	slowLag = 1500 * time.Microsecond
	calmLag = 600 * time.Microsecond
	// lagWeight is the weight of one more measurement in the mean: at one each TimerLagInterval
	// a lateness of twice slowLag is believed after 0.3 s, and one pause of 30 ms is not.
	lagWeight = 0.05
	// slowPace is how many times longer than usual the work takes on a slow machine, and
	// calmPace up to how many times on one that is not: on one six times slower it took 5 to
	// 6 times as long. Single pieces take up to five times as long on any machine, so that
	// the median of paceWindow counts; against the shortest ever as the usual time, every
	// machine was slow within seconds.
	slowPace   = 3.0
	calmPace   = 1.8
	paceWindow = 11
	// usualWeight is the weight of one more median in the usual time, which follows a machine
	// that changes within half a minute, and not while it is slow.
	usualWeight = 0.002
	// mostLag is the longest lateness that is reckoned with, so that one pause does not last.
	mostLag = 20 * time.Millisecond
	// firstHold is the least time for which a node stays slow. It doubles each time that the
	// node turns slow within forgiveAfter, up to longestHold: moving the schedule costs the
	// view of what runs for some tenths of a second.
	firstHold    = 4 * time.Second
	longestHold  = 32 * time.Second
	forgiveAfter = time.Minute
)

// TimerLagInterval is the time from one measurement to the next.
const TimerLagInterval = 20 * time.Millisecond

// SlowNodeDetector tells whether a node is too slow to schedule. The zero value is one that is not.
type SlowNodeDetector struct {
	lag time.Duration
	// works are the latest times of the work, usual the usual one in nanoseconds, and pace
	// how many times longer it takes.
	works []time.Duration
	next  int
	usual float64
	pace  float64
	slow  bool
	since structs.Instant
	hold  time.Duration
}

// Observe enters how late a timer was and how long the fixed work took, and returns whether
// Slow changed. Work of no time is one that was not measured.
func (s *SlowNodeDetector) Observe(now structs.Instant, late, work time.Duration) bool {
	late = min(max(late, 0), mostLag)
	s.lag += time.Duration(lagWeight * float64(late-s.lag))
	s.observeWork(work)
	switch {
	case !s.slow && (s.lag >= slowLag || s.pace >= slowPace):
		s.turnSlow(now)
		return true
	case s.slow && s.lag <= calmLag && s.pace <= calmPace && now-s.since >= s.hold:
		s.slow = false
		return true
	}
	return false
}

func (s *SlowNodeDetector) observeWork(work time.Duration) {
	if work <= 0 {
		return
	}
	if len(s.works) < paceWindow {
		s.works = append(s.works, work)
		return
	}
	s.works[s.next] = work
	s.next = (s.next + 1) % paceWindow
	sorted := slices.Clone(s.works)
	slices.Sort(sorted)
	median := float64(sorted[paceWindow/2])
	if s.usual == 0 {
		s.usual = median
	}
	s.pace = median / s.usual
	if !s.slow {
		s.usual += usualWeight * (median - s.usual)
	}
}

func (s *SlowNodeDetector) turnSlow(now structs.Instant) {
	if s.hold == 0 || now-s.since > s.hold+forgiveAfter {
		s.hold = firstHold
	} else {
		s.hold = min(2*s.hold, longestHold)
	}
	s.slow, s.since = true, now
}

// Slow returns whether the node is slow.
func (s *SlowNodeDetector) Slow() bool { return s.slow }

// TimerLag returns the mean lateness of timers.
func (s *SlowNodeDetector) TimerLag() time.Duration { return s.lag }

// Slowdown returns how many times longer than usual the fixed work takes.
func (s *SlowNodeDetector) Slowdown() float64 { return s.pace }
