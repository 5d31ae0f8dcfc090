// Package model checks that claims and settings changes are linearizable, with random schedules
// over a store that fails at random, under virtual time.
package model

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/thornwalk/thornwalk/coordination/claims"
	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/settings"
)

// flakyStore is a store in memory whose calls are delayed and fail at faultRate, with or without
// effect.
type flakyStore struct {
	outside.Store
	mutex         sync.Mutex
	random        *rand.Rand
	faultRate     float64
	values        map[string]outside.Value
	revision      int64
	delayedWrites sync.WaitGroup
}

// callOutcome says whether a call succeeds and, if it fails, whether it takes effect.
type callOutcome int

const (
	succeeds callOutcome = iota
	failsWithoutEffect
	failsAfterEffect
	takesEffectLate
)

func (s *flakyStore) drawOutcome() (callOutcome, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delay := time.Duration(1+s.random.IntN(20)) * time.Millisecond
	if s.random.Float64() > s.faultRate {
		return succeeds, delay
	}
	return callOutcome(1 + s.random.IntN(3)), delay
}

func (s *flakyStore) Get(_ context.Context, key string) (outside.Value, error) {
	outcome, delay := s.drawOutcome()
	time.Sleep(delay)
	if outcome != succeeds {
		return outside.Value{}, errkind.New(errkind.StoreUnavailable, "get")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.values[key], nil
}

func (s *flakyStore) Swap(_ context.Context, key string, expected int64, data []byte, _ outside.LeaseID) (int64, error) {
	outcome, delay := s.drawOutcome()
	time.Sleep(delay)
	switch outcome {
	case failsWithoutEffect:
		return 0, errkind.New(errkind.StoreUnavailable, "swap")
	case failsAfterEffect:
		_, _ = s.swapNow(key, expected, data)
		return 0, errkind.New(errkind.StoreUnknown, "swap")
	case takesEffectLate:
		s.delayedWrites.Go(func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = s.swapNow(key, expected, data)
		})
		return 0, errkind.New(errkind.StoreUnknown, "swap")
	}
	return s.swapNow(key, expected, data)
}

func (s *flakyStore) swapNow(key string, expected int64, data []byte) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.values[key].Revision != expected {
		return 0, errkind.New(errkind.Conflict, "swap")
	}
	s.revision++
	s.values[key] = outside.Value{Data: data, Revision: s.revision}
	return s.revision, nil
}

// operationHistory collects operations with the logical times of their calls and returns. It is
// safe for concurrent use.
type operationHistory struct {
	clock      atomic.Int64
	mutex      sync.Mutex
	operations []porcupine.Operation
}

func (h *operationHistory) record(client int, input, output any, call, end int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
}

// unknownReturnTime is the return time of an operation whose outcome is unknown, later than any
// other.
const unknownReturnTime = int64(1) << 40

// claimInput and claimOutput are one claim of a key and the request that holds it afterwards;
// holder means nothing if unknown is true.
type claimInput struct{ key, request string }
type claimOutput struct {
	holder  string
	unknown bool
}

// claimModel says that the first claim of a key holds it forever.
var claimModel = porcupine.Model{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range operations {
			key := operation.Input.(claimInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		holder := state.(string)
		if holder == "" {
			holder = input.(claimInput).request
		}
		result := output.(claimOutput)
		return result.unknown || result.holder == holder, holder
	},
}

// Guards against two requests that are granted the same key.
func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		fault := rapid.Float64Range(0, 0.5).Draw(rt, "fault")
		var history operationHistory
		synctest.Test(t, func(*testing.T) { runClaims(&history, seed, fault) })
		if !porcupine.CheckOperations(claimModel, history.operations) {
			rt.Fatalf("not linearizable with seed %d and fault rate %.2f: %v", seed, fault, history.operations)
		}
	})
}

// runClaims runs three committers that claim three keys concurrently.
func runClaims(history *operationHistory, seed uint64, fault float64) {
	store := &flakyStore{random: rand.New(rand.NewPCG(seed, 1)), faultRate: fault, values: map[string]outside.Value{}}
	ctx, cancel := context.WithCancel(context.Background())
	config := func() claims.Settings {
		return claims.Settings{Shards: 2, Window: 5 * time.Millisecond, Retention: time.Hour}
	}
	var group sync.WaitGroup
	var committers []*claims.Committer
	for client := range 3 {
		committer := claims.NewCommitter(ctx, store, config, time.Now)
		committers = append(committers, committer)
		random := rand.New(rand.NewPCG(seed, uint64(10+client)))
		for number := range 6 {
			key := fmt.Sprintf("key-%d", random.IntN(3))
			group.Go(func() {
				time.Sleep(time.Duration(number*20) * time.Millisecond)
				recordClaim(ctx, history, committer, client, key, fmt.Sprintf("r-%d-%d", client, number))
			})
		}
	}
	group.Wait()
	store.delayedWrites.Wait()
	cancel()
	for _, committer := range committers {
		committer.Wait()
	}
}

// recordClaim makes one claim and records it; a claim that failed is recorded as unknown.
func recordClaim(ctx context.Context, history *operationHistory, committer *claims.Committer, client int, key, request string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	call := history.clock.Add(1)
	result, err := committer.Claim(ctx, "tenant", key, claims.Claim{RequestID: request})
	output, end := claimOutput{holder: request}, history.clock.Add(1)
	switch {
	case err != nil:
		output, end = claimOutput{unknown: true}, unknownReturnTime
	case !result.Granted:
		output.holder = result.Holder.RequestID
	}
	history.record(client, claimInput{key, request}, output, call, end)
}

// changeInput and changeOutput are one settings change: the generation that it is based on, and
// the accepted generation or the kind of failure.
type changeInput struct{ base uint64 }
type changeOutput struct {
	generation        uint64
	conflict, unknown bool
}

// settingsModel says that a change is accepted if and only if its base is the current generation.
var settingsModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		generation, base := state.(uint64), input.(changeInput).base
		result := output.(changeOutput)
		switch {
		case result.unknown && generation == base:
			return []any{generation, generation + 1}
		case result.unknown:
			return []any{generation}
		case result.conflict && generation != base:
			return []any{generation}
		case !result.conflict && generation == base && result.generation == base+1:
			return []any{generation + 1}
		}
		return nil
	},
}

// Guards against two accepted changes of the same base generation, and lost changes.
func TestSettingsAreLinearizable(t *testing.T) {
	model := settingsModel.ToModel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		fault := rapid.Float64Range(0, 0.5).Draw(rt, "fault")
		var history operationHistory
		synctest.Test(t, func(*testing.T) { runChanges(&history, seed, fault) })
		if !porcupine.CheckOperations(model, history.operations) {
			rt.Fatalf("not linearizable with seed %d and fault rate %.2f: %v", seed, fault, history.operations)
		}
	})
}

// runChanges runs three clients that submit changes concurrently.
func runChanges(history *operationHistory, seed uint64, fault float64) {
	store := &flakyStore{random: rand.New(rand.NewPCG(seed, 1)), faultRate: fault, values: map[string]outside.Value{}}
	var group sync.WaitGroup
	for client := range 3 {
		committer := settingsync.Committer{Store: store, WallTime: time.Now}
		group.Go(func() {
			base := uint64(0)
			for number := range 4 {
				base = recordChange(history, &committer, client, number, base)
			}
		})
	}
	group.Wait()
	store.delayedWrites.Wait()
}

// recordChange submits one change, records it and returns the base for the next.
func recordChange(history *operationHistory, committer *settingsync.Committer, client, number int, base uint64) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	call := history.clock.Add(1)
	accepted, document, err := committer.Commit(ctx, settingsync.Change{
		ID: fmt.Sprintf("c-%d-%d", client, number), Base: base,
		Edits: []settingsync.Edit{{Path: fmt.Sprintf("tenants/t%d", client), Key: "weight", Text: fmt.Sprint(number + 1)}},
	})
	end := history.clock.Add(1)
	switch {
	case err == nil:
		history.record(client, changeInput{base}, changeOutput{generation: accepted.Generation}, call, end)
		return accepted.Generation
	case errors.Is(err, errkind.Conflict):
		history.record(client, changeInput{base}, changeOutput{conflict: true}, call, end)
		return document.Generation
	case errors.Is(err, errkind.StoreUnknown):
		history.record(client, changeInput{base}, changeOutput{unknown: true}, call, unknownReturnTime)
	}
	return base // the store was unavailable: nothing was written
}

// Guards against an older generation that replaces a newer one.
func TestActiveGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		current, err := settingsync.NewCurrent(&settingsync.Document{}, nil)
		if err != nil {
			rt.Fatal(err)
		}
		maxGeneration := uint64(0)
		for _, generation := range rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(rt, "generations") {
			document := &settingsync.Document{Generation: generation, Branches: []settings.Branch{{Path: "tenants/a"}}}
			installed, err := current.InstallIfNewer(document)
			if err != nil || installed != (generation > maxGeneration) {
				rt.Fatalf("installing generation %d over %d: installed %v, error %v", generation, maxGeneration, installed, err)
			}
			maxGeneration = max(maxGeneration, generation)
			if current.Compiled().Generation != maxGeneration {
				rt.Fatalf("generation %d is active, the highest installed was %d", current.Compiled().Generation, maxGeneration)
			}
		}
	})
}
