// Package score predicts when a replica would answer a request. The prediction
// is the score: queue ahead, prefill of the part of the prompt that is not
// cached, decoding at the pace the replica has shown, and an error bar for the
// age of the report.
package score

import (
	"time"

	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/structs"
)

// Weights are the settings of the score. Units are those of their products
// with durations, so all are plain factors.
type Weights struct {
	// Prefill adds the engine time that the uncached prefill takes from
	// others; it is counted on top of the request's own delay.
	Prefill float64
	// Staleness adds this share of the report's age for each full batch.
	Staleness float64
}

// DefaultWeights were chosen in the emulator; see docs/decisions.
var DefaultWeights = Weights{Prefill: 2, Staleness: 0.3}

// Estimate is the prediction for one replica.
type Estimate struct {
	Wait         time.Duration
	FirstToken   time.Duration
	Completion   time.Duration
	CachedTokens int
	// Value is what is minimised, in seconds.
	Value float64
	// Idle is the completion if the replica had nothing else to do.
	Idle time.Duration
}

// Input is what the estimate needs beside the replica.
type Input struct {
	Now     structs.Instant
	Request *structs.Request
	// OutputTokens is the predicted length of the answer.
	OutputTokens int
	// MeanWork is the mean time that a request keeps a slot of the pool.
	MeanWork time.Duration
	Prefixes prefix.Index
	Weights  Weights
}

// Predict estimates the request's completion at the replica.
func Predict(view *backend.Table, state *backend.ReplicaState, input *Input) Estimate {
	if state.Replica.Kind == structs.KindService {
		return predictService(view, state, input)
	}
	speed := view.Speed(state)
	var estimate Estimate
	estimate.CachedTokens = min(input.Prefixes.CachedTokens(state.Replica.ID, input.Request.Prefix), input.Request.PromptTokens)
	uncached := input.Request.PromptTokens - estimate.CachedTokens
	prefill := tokensTime(uncached, speed.PrefillRate)
	ahead := tokensTime(state.PrefillAhead(input.Now), speed.PrefillRate)
	decode := time.Duration(input.OutputTokens) * speed.StepTime
	estimate.Wait = slotWait(state, input.MeanWork)
	estimate.FirstToken = estimate.Wait + ahead + prefill + speed.StepTime
	estimate.Completion = estimate.FirstToken + decode
	estimate.Idle = prefill + speed.StepTime + decode
	estimate.Value = estimate.Completion.Seconds() + input.Weights.Prefill*prefill.Seconds() + staleness(state, input)
	estimate.Wait += ahead
	return estimate
}

// predictService treats the reported step time as the time of one call.
func predictService(view *backend.Table, state *backend.ReplicaState, input *Input) Estimate {
	call := view.Speed(state).StepTime
	wait := slotWait(state, call)
	return Estimate{
		Wait: wait, FirstToken: wait + call, Completion: wait + call, Idle: call,
		Value: (wait + call).Seconds() + staleness(state, input),
	}
}

// Wait predicts the time until the replica would take a new request of no
// prompt: free slots and the prefill that is ahead.
func Wait(view *backend.Table, state *backend.ReplicaState, now structs.Instant, meanWork time.Duration) time.Duration {
	if state.Replica.Kind == structs.KindService {
		return slotWait(state, view.Speed(state).StepTime)
	}
	return slotWait(state, meanWork) + tokensTime(state.PrefillAhead(now), view.Speed(state).PrefillRate)
}

// slotWait is the time until enough requests ended that a slot is free.
func slotWait(state *backend.ReplicaState, meanWork time.Duration) time.Duration {
	slots := state.Report.Slots
	excess := state.Occupancy() - slots + 1
	if slots <= 0 || excess <= 0 {
		return 0
	}
	return time.Duration(float64(meanWork) * state.Slowdown * float64(excess) / float64(slots))
}

// staleness grows with the report's age and the fullness of the batch, and
// keeps nodes that share one old view from choosing the same replica. A
// replica with no report counts as half full and one interval old.
func staleness(state *backend.ReplicaState, input *Input) float64 {
	if !state.HasReport || state.Report.Slots <= 0 {
		return input.Weights.Staleness
	}
	fullness := float64(state.Occupancy()) / float64(state.Report.Slots)
	return input.Weights.Staleness * fullness * state.Age(input.Now).Seconds()
}

func tokensTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
