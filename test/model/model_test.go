// Package model checks claims and settings against their sequential meaning:
// random schedules over a store that fails at random, under virtual time, whose
// histories have to be linearizable.
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

// flakyStore is a store whose calls take time and fail in every way.
type flakyStore struct {
	outside.Store
	mutex    sync.Mutex
	random   *rand.Rand
	fault    float64
	values   map[string]outside.Value
	revision int64
	late     sync.WaitGroup
}

// fate is what happens to a call.
type fate int

const (
	works fate = iota
	refused
	answerLost
	actsLate
)

func (s *flakyStore) draw() (fate, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delay := time.Duration(1+s.random.IntN(20)) * time.Millisecond
	if s.random.Float64() > s.fault {
		return works, delay
	}
	return fate(1 + s.random.IntN(3)), delay
}

func (s *flakyStore) Get(_ context.Context, key string) (outside.Value, error) {
	outcome, delay := s.draw()
	time.Sleep(delay)
	if outcome != works {
		return outside.Value{}, errkind.New(errkind.StoreUnavailable, "get")
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.values[key], nil
}

func (s *flakyStore) Swap(_ context.Context, key string, expected int64, data []byte, _ outside.LeaseID) (int64, error) {
	outcome, delay := s.draw()
	time.Sleep(delay)
	switch outcome {
	case refused:
		return 0, errkind.New(errkind.StoreUnavailable, "swap")
	case answerLost:
		_, _ = s.swap(key, expected, data)
		return 0, errkind.New(errkind.StoreUnknown, "swap")
	case actsLate:
		s.late.Go(func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = s.swap(key, expected, data)
		})
		return 0, errkind.New(errkind.StoreUnknown, "swap")
	}
	return s.swap(key, expected, data)
}

func (s *flakyStore) swap(key string, expected int64, data []byte) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.values[key].Revision != expected {
		return 0, errkind.New(errkind.Conflict, "swap")
	}
	s.revision++
	s.values[key] = outside.Value{Data: data, Revision: s.revision}
	return s.revision, nil
}

// history collects operations with logical times.
type history struct {
	clock      atomic.Int64
	mutex      sync.Mutex
	operations []porcupine.Operation
}

func (h *history) record(client int, input, output any, call, end int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
}

// never is the return of an operation whose outcome stayed unknown.
const never = int64(1) << 40

// claimInput and claimOutput are one claim; Holder is "" if unknown.
type claimInput struct{ key, request string }
type claimOutput struct {
	holder  string
	unknown bool
}

// claimModel: the first claim of a key holds it for good.
var claimModel = porcupine.Model{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range operations {
			key := operation.Input.(claimInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
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

func TestClaimsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		fault := rapid.Float64Range(0, 0.5).Draw(rt, "fault")
		var record history
		synctest.Test(t, func(*testing.T) { playClaims(&record, seed, fault) })
		if !porcupine.CheckOperations(claimModel, record.operations) {
			rt.Fatalf("not linearizable with seed %d and fault rate %.2f: %v", seed, fault, record.operations)
		}
	})
}

func playClaims(record *history, seed uint64, fault float64) {
	store := &flakyStore{random: rand.New(rand.NewPCG(seed, 1)), fault: fault, values: map[string]outside.Value{}}
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
				claimOnce(ctx, record, committer, client, key, fmt.Sprintf("r-%d-%d", client, number))
			})
		}
	}
	group.Wait()
	store.late.Wait()
	cancel()
	for _, committer := range committers {
		committer.Wait()
	}
}

func claimOnce(ctx context.Context, record *history, committer *claims.Committer, client int, key, request string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	call := record.clock.Add(1)
	result, err := committer.Claim(ctx, "tenant", key, claims.Claim{RequestID: request})
	output, end := claimOutput{holder: request}, record.clock.Add(1)
	switch {
	case err != nil:
		output, end = claimOutput{unknown: true}, never
	case !result.Granted:
		output.holder = result.Holder.RequestID
	}
	record.record(client, claimInput{key, request}, output, call, end)
}

// changeInput is a change on a base; changeOutput says how it ended.
type changeInput struct{ base uint64 }
type changeOutput struct {
	generation        uint64
	conflict, unknown bool
}

// settingsModel: a change is accepted exactly if its base is in force.
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

func TestSettingsAreLinearizable(t *testing.T) {
	model := settingsModel.ToModel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		fault := rapid.Float64Range(0, 0.5).Draw(rt, "fault")
		var record history
		synctest.Test(t, func(*testing.T) { playChanges(&record, seed, fault) })
		if !porcupine.CheckOperations(model, record.operations) {
			rt.Fatalf("not linearizable with seed %d and fault rate %.2f: %v", seed, fault, record.operations)
		}
	})
}

func playChanges(record *history, seed uint64, fault float64) {
	store := &flakyStore{random: rand.New(rand.NewPCG(seed, 1)), fault: fault, values: map[string]outside.Value{}}
	var group sync.WaitGroup
	for client := range 3 {
		acceptor := settingsync.Committer{Store: store, WallTime: time.Now}
		group.Go(func() {
			base := uint64(0)
			for number := range 4 {
				base = changeOnce(record, &acceptor, client, number, base)
			}
		})
	}
	group.Wait()
	store.late.Wait()
}

// changeOnce makes a change and returns the base for the next.
func changeOnce(record *history, acceptor *settingsync.Committer, client, number int, base uint64) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	call := record.clock.Add(1)
	accepted, document, err := acceptor.Commit(ctx, settingsync.Change{
		ID: fmt.Sprintf("c-%d-%d", client, number), Base: base,
		Edits: []settingsync.Edit{{Path: fmt.Sprintf("tenants/t%d", client), Key: "weight", Text: fmt.Sprint(number + 1)}},
	})
	end := record.clock.Add(1)
	switch {
	case err == nil:
		record.record(client, changeInput{base}, changeOutput{generation: accepted.Generation}, call, end)
		return accepted.Generation
	case errors.Is(err, errkind.Conflict):
		record.record(client, changeInput{base}, changeOutput{conflict: true}, call, end)
		return document.Generation
	case errors.Is(err, errkind.StoreUnknown):
		record.record(client, changeInput{base}, changeOutput{unknown: true}, call, never)
	}
	return base // unavailable: nothing was written
}

// TestHolderOnlyRises offers generations in any order.
func TestHolderOnlyRises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		holder, err := settingsync.NewCurrent(&settingsync.Document{}, nil)
		if err != nil {
			rt.Fatal(err)
		}
		highest := uint64(0)
		for _, generation := range rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(rt, "generations") {
			document := &settingsync.Document{Generation: generation, Branches: []settings.Branch{{Path: "tenants/a"}}}
			taken, err := holder.InstallIfNewer(document)
			if err != nil || taken != (generation > highest) {
				rt.Fatalf("generation %d after %d: taken %v, %v", generation, highest, taken, err)
			}
			highest = max(highest, generation)
			if holder.Compiled().Generation != highest {
				rt.Fatalf("generation %d in force, highest was %d", holder.Compiled().Generation, highest)
			}
		}
	})
}
