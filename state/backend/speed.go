package backend

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Weights of the moving averages. Slow-downs are believed within a few
// requests, recoveries a little later.
const (
	speedGain    = 0.2
	slowdownGain = 0.35
	recoveryGain = 0.15
)

// Bounds of the learned slow-down.
const (
	minimumSlowdown = 0.5
	maximumSlowdown = 50
)

// Suspension of a replica after failed connects: doubled each time.
const (
	firstSuspension   = 100 * time.Millisecond
	longestSuspension = 5 * time.Second
)

// Speed is the pace of an engine.
type Speed struct {
	// PrefillRate is prompt tokens a second.
	PrefillRate float64
	// StepTime is the time between tokens of one sequence.
	StepTime time.Duration
}

// defaultSpeed serves until a generation has been observed.
var defaultSpeed = Speed{PrefillRate: 8000, StepTime: 10 * time.Millisecond}

// Speeds are the paces of hardware generations, learned from reports.
type Speeds struct {
	byGeneration map[string]Speed
}

func newSpeeds() *Speeds { return &Speeds{byGeneration: map[string]Speed{}} }

func (s *Speeds) observe(generation string, report structs.LoadReport) {
	if report.PrefillRate <= 0 || report.StepTime <= 0 {
		return
	}
	speed, known := s.byGeneration[generation]
	if !known {
		speed = Speed{PrefillRate: report.PrefillRate, StepTime: report.StepTime}
	}
	speed.PrefillRate += speedGain * (report.PrefillRate - speed.PrefillRate)
	speed.StepTime += time.Duration(speedGain * float64(report.StepTime-speed.StepTime))
	s.byGeneration[generation] = speed
}

// Speed returns the pace to expect of the replica: its report's, else its
// generation's, else a default; slowed by what its answers showed.
func (v *Table) Speed(state *ReplicaState) Speed {
	speed := defaultSpeed
	if learned, known := v.speeds.byGeneration[state.Replica.HardwareGeneration]; known {
		speed = learned
	}
	if state.Report.PrefillRate > 0 {
		speed.PrefillRate = state.Report.PrefillRate
	}
	if state.Report.StepTime > 0 {
		speed.StepTime = state.Report.StepTime
	}
	speed.PrefillRate /= state.Slowdown
	speed.StepTime = time.Duration(float64(speed.StepTime) * state.Slowdown)
	return speed
}

// UpdateSlowdown compares an answer with what was expected of it. Both times are from
// dispatch to end; ratios near one leave the replica's weight as it is.
func (s *ReplicaState) UpdateSlowdown(expected, observed time.Duration) {
	if expected <= 0 || observed <= 0 {
		return
	}
	ratio := s.Slowdown * float64(observed) / float64(expected)
	gain := recoveryGain
	if ratio > s.Slowdown {
		gain = slowdownGain
	}
	s.Slowdown += gain * (ratio - s.Slowdown)
	s.Slowdown = min(max(s.Slowdown, minimumSlowdown), maximumSlowdown)
}

// RecordConnectFailure suspends the replica for a time that doubles with each failure.
func (s *ReplicaState) RecordConnectFailure(now structs.Instant) {
	suspension := min(firstSuspension<<min(s.failures, 10), longestSuspension)
	s.failures++
	s.SuspendedUntil = now + suspension
}

// RecordConnectSuccess ends a suspension.
func (s *ReplicaState) RecordConnectSuccess() {
	s.failures = 0
	s.SuspendedUntil = 0
}
