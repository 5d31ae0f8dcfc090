package liveness

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// A slow machine delays the scheduling decisions for all nodes while its heartbeats still arrive
// in time. So each candidate measures how late its timers fire and how long a fixed piece of work
// takes, and reports in its heartbeats whether it is slow. Timers alone don't show that an idle
// machine is slow.
const (
	// A node turns slow at a mean timer lag of timerLagThreshold, and may recover at or below
	// clearTimerLagThreshold. Timers of nodes that scheduled 3,900 requests per second were 0.1 to 0.5 ms
	// late, those on a machine six times slower 2.5 to 5 ms at 1,400 requests per second.
	timerLagThreshold      = 1500 * time.Microsecond
	clearTimerLagThreshold = 600 * time.Microsecond
	// timerLagWeight is the weight of a new measurement in the mean timer lag. With it a single
	// short suspension of the process doesn't make the node slow: a lag of twice the threshold is detected
	// after 0.3 s, one suspension of 30 ms is not.
	timerLagWeight = 0.05
	// A node turns slow when the median of its last workSampleCount work times reaches
	// slowdownThreshold times the baseline, and may recover at or below clearSlowdownThreshold.
	// The median ignores single outliers, which occur on any machine and take up to five times as long. On
	// a machine six times slower the work took 5 to 6 times as long.
	slowdownThreshold      = 3.0
	clearSlowdownThreshold = 1.8
	workSampleCount        = 11
	// baselineWeight is the weight of a new median in the baseline, which is not updated while
	// the node is slow.
	baselineWeight = 0.002
	// maxTimerLag bounds a single measurement, so that one long suspension doesn't dominate the
	// mean.
	maxTimerLag = 20 * time.Millisecond
	// A node stays slow for at least minHoldTime. The hold time doubles each time the node turns
	// slow again within holdResetTime, up to maxHoldTime, because a change of the scheduling node
	// interrupts scheduling briefly.
	minHoldTime   = 4 * time.Second
	maxHoldTime   = 32 * time.Second
	holdResetTime = time.Minute
)

// TimerLagInterval is the time between measurements.
const TimerLagInterval = 20 * time.Millisecond

// SlowNodeDetector detects that a node is too slow to schedule. The zero value is ready to use
// and not slow. It is not safe for concurrent use.
type SlowNodeDetector struct {
	timerLag time.Duration
	// workSamples is a ring buffer of the latest work times. baselineNanoseconds is the usual
	// work time, and slowdown the latest median divided by it.
	workSamples         []time.Duration
	nextSample          int
	baselineNanoseconds float64
	slowdown            float64
	isSlow              bool
	slowSince           structs.Instant
	holdTime            time.Duration
}

// Observe records how late a timer fired and how long the fixed work took, and reports whether
// Slow changed. A work time of zero means that it was not measured.
func (d *SlowNodeDetector) Observe(now structs.Instant, timerLag, workTime time.Duration) bool {
	timerLag = min(max(timerLag, 0), maxTimerLag)
	d.timerLag += time.Duration(timerLagWeight * float64(timerLag-d.timerLag))
	d.addWorkSample(workTime)
	switch {
	case !d.isSlow && (d.timerLag >= timerLagThreshold || d.slowdown >= slowdownThreshold):
		d.markSlow(now)
		return true
	case d.isSlow && d.timerLag <= clearTimerLagThreshold && d.slowdown <= clearSlowdownThreshold && now-d.slowSince >= d.holdTime:
		d.isSlow = false
		return true
	}
	return false
}

func (d *SlowNodeDetector) addWorkSample(workTime time.Duration) {
	if workTime <= 0 {
		return
	}
	if len(d.workSamples) < workSampleCount {
		d.workSamples = append(d.workSamples, workTime)
		return
	}
	d.workSamples[d.nextSample] = workTime
	d.nextSample = (d.nextSample + 1) % workSampleCount
	sorted := slices.Clone(d.workSamples)
	slices.Sort(sorted)
	median := float64(sorted[workSampleCount/2])
	if d.baselineNanoseconds == 0 {
		d.baselineNanoseconds = median
	}
	d.slowdown = median / d.baselineNanoseconds
	if !d.isSlow {
		d.baselineNanoseconds += baselineWeight * (median - d.baselineNanoseconds)
	}
}

func (d *SlowNodeDetector) markSlow(now structs.Instant) {
	if d.holdTime == 0 || now-d.slowSince > d.holdTime+holdResetTime {
		d.holdTime = minHoldTime
	} else {
		d.holdTime = min(2*d.holdTime, maxHoldTime)
	}
	d.isSlow, d.slowSince = true, now
}

// Slow reports whether the node is slow.
func (d *SlowNodeDetector) Slow() bool { return d.isSlow }

// TimerLag returns the moving average of the timers' lateness.
func (d *SlowNodeDetector) TimerLag() time.Duration { return d.timerLag }

// Slowdown returns the ratio of the current to the usual time of the fixed work.
func (d *SlowNodeDetector) Slowdown() float64 { return d.slowdown }
