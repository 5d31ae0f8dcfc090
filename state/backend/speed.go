package backend

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Weights of a new sample in the exponential moving averages. A slowdown
// takes effect faster than a recovery.
const (
	speedGain    = 0.2
	slowdownGain = 0.35
	recoveryGain = 0.15
)

// Bounds of the learned slowdown.
const (
	minSlowdown = 0.5
	maxSlowdown = 50
)

// Bounds of the suspension after a failed connect; it doubles with each failure.
const (
	initialSuspension = 100 * time.Millisecond
	maxSuspension     = 5 * time.Second
)

// Speed is the processing speed of an engine.
type Speed struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepTime is the time between tokens of one sequence.
	StepTime time.Duration
}

// defaultSpeed is assumed for a hardware generation without reports.
var defaultSpeed = Speed{PrefillRate: 8000, StepTime: 10 * time.Millisecond}

// Speeds holds the average speed of each hardware generation, learned from load
// reports.
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

// Speed returns the expected speed of the replica: the reported one, else that of
// its hardware generation, else a default, divided by its learned slowdown.
func (t *Table) Speed(state *ReplicaState) Speed {
	speed := defaultSpeed
	if learned, known := t.speeds.byGeneration[state.Replica.HardwareGeneration]; known {
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

// UpdateSlowdown adjusts the slowdown after a request. Both times must cover the
// same part of the request, and expected must come from Table.Speed, which includes
// the current slowdown. Times that are not positive are ignored.
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
	s.Slowdown = min(max(s.Slowdown, minSlowdown), maxSlowdown)
}

// RecordConnectFailure suspends the replica. The suspension doubles with each
// consecutive failure, up to maxSuspension.
func (s *ReplicaState) RecordConnectFailure(now structs.Instant) {
	suspension := min(initialSuspension<<min(s.connectFailures, 10), maxSuspension)
	s.connectFailures++
	s.SuspendedUntil = now + suspension
}

// RecordConnectSuccess ends the suspension and resets the failure count.
func (s *ReplicaState) RecordConnectSuccess() {
	s.connectFailures = 0
	s.SuspendedUntil = 0
}
