package backend

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

// Table holds the replicas by service. It is not safe for concurrent use.
type Table struct {
	pools    map[string]*Pool
	replicas map[structs.ReplicaID]*ReplicaState
	speeds   *Speeds
}

// Pool is the replicas of one service, in the order of their ids.
type Pool struct {
	States []*ReplicaState
}

// ReplicaState is what the node knows of one replica.
type ReplicaState struct {
	Replica structs.Replica
	// IDHash is the rendezvous hash of the id.
	IDHash uint64
	// Report is the last report and ObservedAt when its state was seen.
	Report     structs.LoadReport
	ObservedAt structs.Instant
	HasReport  bool
	// Closed is set by an operator, Suspended while connects fail.
	Closed         bool
	SuspendedUntil structs.Instant
	// Slowdown is the learned ratio of observed to reported step time.
	Slowdown float64

	othersOccupancy int
	othersPrefill   int
	inFlight        map[string]*flight
	finished        []flight
	ownPrefill      int
	failures        int
}

// flight is one request of this node at a replica.
type flight struct {
	dispatchedAt structs.Instant
	firstTokenAt structs.Instant
	finishedAt   structs.Instant
	prefill      int
}

// NewTable returns an empty view.
func NewTable() *Table {
	return &Table{pools: map[string]*Pool{}, replicas: map[structs.ReplicaID]*ReplicaState{}, speeds: newSpeeds()}
}

// Pool returns the replicas of the service; the pool of an unknown service is empty.
func (v *Table) Pool(service string) *Pool {
	if pool, found := v.pools[service]; found {
		return pool
	}
	return &Pool{}
}

// Get returns the state of the replica.
func (v *Table) Get(id structs.ReplicaID) (*ReplicaState, bool) {
	state, found := v.replicas[id]
	return state, found
}

// Replicas returns all replicas in the order of their ids.
func (v *Table) Replicas() []structs.Replica {
	var replicas []structs.Replica
	for _, state := range v.replicas {
		replicas = append(replicas, state.Replica)
	}
	slices.SortFunc(replicas, func(a, b structs.Replica) int { return compareIDs(a.ID, b.ID) })
	return replicas
}

func compareIDs(a, b structs.ReplicaID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Upsert adds the replica or changes its fixed part. Leaving never turns back
// to false for the same address: a leaving replica comes back under a new one.
func (v *Table) Upsert(replica structs.Replica) {
	state, found := v.replicas[replica.ID]
	if found && state.Replica.Service == replica.Service {
		replica.Leaving = replica.Leaving || (state.Replica.Leaving && state.Replica.Address == replica.Address)
		if state.Replica.Address != replica.Address {
			state.HasReport = false
			state.SuspendedUntil = 0
		}
		state.Replica = replica
		return
	}
	if found {
		v.Remove(replica.ID)
	}
	state = &ReplicaState{
		Replica:  replica,
		IDHash:   rendezvous.Key(string(replica.ID)),
		Slowdown: 1,
		inFlight: map[string]*flight{},
	}
	v.replicas[replica.ID] = state
	pool, found := v.pools[replica.Service]
	if !found {
		pool = &Pool{}
		v.pools[replica.Service] = pool
	}
	index, _ := slices.BinarySearchFunc(pool.States, replica.ID, func(s *ReplicaState, id structs.ReplicaID) int { return compareIDs(s.Replica.ID, id) })
	pool.States = slices.Insert(pool.States, index, state)
}

// Remove forgets the replica. Its requests in flight are not affected.
func (v *Table) Remove(id structs.ReplicaID) {
	state, found := v.replicas[id]
	if !found {
		return
	}
	delete(v.replicas, id)
	pool := v.pools[state.Replica.Service]
	pool.States = slices.DeleteFunc(pool.States, func(s *ReplicaState) bool { return s == state })
}

// MarkLeaving closes the replica to new work; it never reopens.
func (v *Table) MarkLeaving(id structs.ReplicaID) {
	if state, found := v.replicas[id]; found {
		state.Replica.Leaving = true
	}
}

// Observe applies a report and returns false if it is older than the last one.
func (v *Table) Observe(now structs.Instant, report structs.LoadReport) bool {
	state, found := v.replicas[report.Replica]
	if !found {
		return false
	}
	observedAt := now - report.Age
	if state.HasReport && observedAt <= state.ObservedAt {
		return false
	}
	state.Report = report
	state.ObservedAt = observedAt
	state.HasReport = true
	if report.Leaving {
		state.Replica.Leaving = true
	}
	state.subtractOwn()
	v.speeds.observe(state.Replica.HardwareGeneration, report)
	return true
}

// subtractOwn splits the reported load into others' part and this node's part
// as of the time of the report.
func (s *ReplicaState) subtractOwn() {
	ownCount, ownPrefill := 0, 0
	count := func(f *flight) {
		if f.dispatchedAt > s.ObservedAt {
			return
		}
		ownCount++
		if f.firstTokenAt == 0 || f.firstTokenAt > s.ObservedAt {
			ownPrefill += f.prefill
		}
	}
	for _, f := range s.inFlight {
		count(f)
	}
	kept := s.finished[:0]
	for _, f := range s.finished {
		if f.finishedAt > s.ObservedAt {
			count(&f)
			kept = append(kept, f)
		}
	}
	s.finished = kept
	s.othersOccupancy = max(0, s.Report.Running+s.Report.Waiting-ownCount)
	s.othersPrefill = max(0, s.Report.WaitingTokens-ownPrefill)
}

// Occupancy estimates the requests at the replica now, batch and queue.
func (s *ReplicaState) Occupancy() int { return s.othersOccupancy + len(s.inFlight) }

// OwnInFlight returns the number of this node's requests at the replica.
func (s *ReplicaState) OwnInFlight() int { return len(s.inFlight) }

// PrefillAhead estimates the prompt tokens that wait for prefill now. Others'
// part is taken to be worked off at the reported rate since the report.
func (s *ReplicaState) PrefillAhead(now structs.Instant) int {
	done := (now - s.ObservedAt).Seconds() * s.Report.PrefillRate
	return max(0, s.othersPrefill-int(done)) + s.ownPrefill
}

// Age returns the time since the state of the last report was seen.
func (s *ReplicaState) Age(now structs.Instant) time.Duration { return now - s.ObservedAt }

// Reserve enters a request of this node in the ledger, before it is sent.
func (s *ReplicaState) Reserve(now structs.Instant, id string, prefillTokens int) {
	s.inFlight[id] = &flight{dispatchedAt: now, prefill: prefillTokens}
	s.ownPrefill += prefillTokens
}

// FirstToken records that the request left prefill.
func (s *ReplicaState) FirstToken(now structs.Instant, id string) {
	entry, found := s.inFlight[id]
	if !found || entry.firstTokenAt != 0 {
		return
	}
	entry.firstTokenAt = now
	s.ownPrefill -= entry.prefill
}

// Release takes the request out of the ledger, whatever its end.
func (s *ReplicaState) Release(now structs.Instant, id string) {
	entry, found := s.inFlight[id]
	if !found {
		return
	}
	delete(s.inFlight, id)
	if entry.firstTokenAt == 0 {
		s.ownPrefill -= entry.prefill
	}
	entry.finishedAt = now
	if len(s.finished) < maximumFinished {
		s.finished = append(s.finished, *entry)
	}
}

// maximumFinished bounds the ended requests kept until the next report.
const maximumFinished = 512
