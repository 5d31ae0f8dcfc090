// Package score predicts when a replica would complete a request. The score
// adds up the wait for a slot, prefill of uncached prompt tokens, decoding at
// the observed speed, and a penalty for the age of the replica's report.
package score

import (
	"time"

	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/structs"
)

// Weights are the dimensionless factors of the score.
type Weights struct {
	// Prefill weighs the time by which the uncached prefill delays other
	// requests, on top of the request's own prefill time.
	Prefill float64
	// Staleness weighs the report's age times the occupied fraction of slots.
	Staleness float64
}

// DefaultWeights are the weights used by scheduler.DefaultOptions.
var DefaultWeights = Weights{Prefill: 2, Staleness: 0.3}

// Estimate is the prediction for one replica. Durations start at the decision.
type Estimate struct {
	Wait         time.Duration
	FirstToken   time.Duration
	Completion   time.Duration
	CachedTokens int
	// Score is in seconds; lower is better.
	Score float64
	// IdleCompletion is the completion time if the replica were idle.
	IdleCompletion time.Duration
}

// Input is the input of Predict besides the replica.
type Input struct {
	Now     structs.Instant
	Request *structs.Request
	// OutputTokens is the predicted length of the answer.
	OutputTokens int
	// MeanSlotTime is the mean time that a request occupies a slot.
	MeanSlotTime time.Duration
	Prefixes     prefix.Index
	Weights      Weights
}

// Predict estimates when the replica would complete the request.
func Predict(view *backend.Table, state *backend.ReplicaState, input *Input) Estimate {
	if state.Replica.Kind == structs.KindService {
		return predictService(view, state, input)
	}
	speed := view.Speed(state)
	var estimate Estimate
	estimate.CachedTokens = min(input.Prefixes.CachedTokens(state.Replica.ID, input.Request.Prefix), input.Request.PromptTokens)
	uncached := input.Request.PromptTokens - estimate.CachedTokens
	prefill := timeForTokens(uncached, speed.PrefillRate)
	ahead := timeForTokens(state.PrefillAhead(input.Now), speed.PrefillRate)
	decode := time.Duration(input.OutputTokens) * speed.StepTime
	estimate.Wait = slotWait(state, input.MeanSlotTime)
	estimate.FirstToken = estimate.Wait + ahead + prefill + speed.StepTime
	estimate.Completion = estimate.FirstToken + decode
	estimate.IdleCompletion = prefill + speed.StepTime + decode
	estimate.Score = estimate.Completion.Seconds() + input.Weights.Prefill*prefill.Seconds() + stalenessPenalty(state, input)
	estimate.Wait += ahead
	return estimate
}

// predictService uses the reported step time as the duration of one call.
func predictService(view *backend.Table, state *backend.ReplicaState, input *Input) Estimate {
	callTime := view.Speed(state).StepTime
	wait := slotWait(state, callTime)
	return Estimate{
		Wait: wait, FirstToken: wait + callTime, Completion: wait + callTime, IdleCompletion: callTime,
		Score: (wait + callTime).Seconds() + stalenessPenalty(state, input),
	}
}

// PredictWait predicts the time until the replica would start a new request: the
// wait for a slot plus the prefill ahead of it.
func PredictWait(view *backend.Table, state *backend.ReplicaState, now structs.Instant, meanSlotTime time.Duration) time.Duration {
	if state.Replica.Kind == structs.KindService {
		return slotWait(state, view.Speed(state).StepTime)
	}
	return slotWait(state, meanSlotTime) + timeForTokens(state.PrefillAhead(now), view.Speed(state).PrefillRate)
}

// slotWait predicts the time until a slot is free.
func slotWait(state *backend.ReplicaState, meanSlotTime time.Duration) time.Duration {
	slots := state.Report.Slots
	ahead := state.Occupancy() - slots + 1
	if slots <= 0 || ahead <= 0 {
		return 0
	}
	return time.Duration(float64(meanSlotTime) * state.Slowdown * float64(ahead) / float64(slots))
}

// stalenessPenalty returns seconds that grow with the report's age and the
// occupied fraction of slots, so that nodes with the same stale report don't all
// choose the same replica. Without a report it is that of a full replica whose
// report is one second old.
func stalenessPenalty(state *backend.ReplicaState, input *Input) float64 {
	if !state.HasReport || state.Report.Slots <= 0 {
		return input.Weights.Staleness
	}
	occupiedFraction := float64(state.Occupancy()) / float64(state.Report.Slots)
	return input.Weights.Staleness * occupiedFraction * state.Age(input.Now).Seconds()
}

func timeForTokens(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
