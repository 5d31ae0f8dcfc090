package backend

import (
	"slices"
	"time"

	"github.com/thornwalk/thornwalk/state/rendezvous"
	"github.com/thornwalk/thornwalk/structs"
)

// Table holds the state of the replicas by service. It is not safe for concurrent
// use.
type Table struct {
	pools    map[string]*Pool
	replicas map[structs.ReplicaID]*ReplicaState
	speeds   *Speeds
}

// Pool holds the replicas of one service, ordered by ID.
type Pool struct {
	States []*ReplicaState
}

// ReplicaState is the node's view of one replica.
type ReplicaState struct {
	Replica structs.Replica
	// IDHash is the rendezvous hash of the replica's ID.
	IDHash uint64
	// Report is the latest load report and ObservedAt the time of the state in
	// it. They are valid only if HasReport.
	Report     structs.LoadReport
	ObservedAt structs.Instant
	HasReport  bool
	// Closed means that an operator closed the replica to new requests.
	Closed bool
	// SuspendedUntil is the end of the suspension after failed connects.
	SuspendedUntil structs.Instant
	// Slowdown is the learned factor by which the replica is slower than reported.
	Slowdown float64

	// externalOccupancy and externalPrefillTokens are the load of other nodes at
	// the time of the report.
	externalOccupancy     int
	externalPrefillTokens int
	inFlight              map[string]*ownRequest
	// recentlyFinished holds requests that may still count in the next report.
	recentlyFinished []ownRequest
	ownPrefillTokens int
	connectFailures  int
}

// ownRequest is a request that this node dispatched to a replica.
type ownRequest struct {
	dispatchedAt  structs.Instant
	firstTokenAt  structs.Instant
	finishedAt    structs.Instant
	prefillTokens int
}

func NewTable() *Table {
	return &Table{pools: map[string]*Pool{}, replicas: map[structs.ReplicaID]*ReplicaState{}, speeds: newSpeeds()}
}

// Pool returns the pool of the service. It is empty for an unknown service.
func (t *Table) Pool(service string) *Pool {
	if pool, found := t.pools[service]; found {
		return pool
	}
	return &Pool{}
}

// Get returns the state of the replica and whether the table has it.
func (t *Table) Get(id structs.ReplicaID) (*ReplicaState, bool) {
	state, found := t.replicas[id]
	return state, found
}

// Replicas returns all replicas, ordered by ID.
func (t *Table) Replicas() []structs.Replica {
	var replicas []structs.Replica
	for _, state := range t.replicas {
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

// Upsert adds the replica or updates its description. Leaving stays true while the
// address is the same; a new address invalidates the report and ends the suspension.
func (t *Table) Upsert(replica structs.Replica) {
	state, found := t.replicas[replica.ID]
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
		t.Remove(replica.ID)
	}
	state = &ReplicaState{
		Replica:  replica,
		IDHash:   rendezvous.Hash(string(replica.ID)),
		Slowdown: 1,
		inFlight: map[string]*ownRequest{},
	}
	t.replicas[replica.ID] = state
	pool, found := t.pools[replica.Service]
	if !found {
		pool = &Pool{}
		t.pools[replica.Service] = pool
	}
	index, _ := slices.BinarySearchFunc(pool.States, replica.ID, func(s *ReplicaState, id structs.ReplicaID) int { return compareIDs(s.Replica.ID, id) })
	pool.States = slices.Insert(pool.States, index, state)
}

// Remove drops the state of the replica. Requests in flight are not affected.
func (t *Table) Remove(id structs.ReplicaID) {
	state, found := t.replicas[id]
	if !found {
		return
	}
	delete(t.replicas, id)
	pool := t.pools[state.Replica.Service]
	pool.States = slices.DeleteFunc(pool.States, func(s *ReplicaState) bool { return s == state })
}

// MarkLeaving marks the replica as leaving. Unknown replicas are ignored.
func (t *Table) MarkLeaving(id structs.ReplicaID) {
	if state, found := t.replicas[id]; found {
		state.Replica.Leaving = true
	}
}

// Observe applies a load report. It returns false, without effect, if the replica
// is unknown or the report is not newer than the last one.
func (t *Table) Observe(now structs.Instant, report structs.LoadReport) bool {
	state, found := t.replicas[report.Replica]
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
	state.splitReportedLoad()
	t.speeds.observe(state.Replica.HardwareGeneration, report)
	return true
}

// splitReportedLoad computes the load of other nodes at the time of the report by
// subtracting this node's requests at that time from the reported load.
func (s *ReplicaState) splitReportedLoad() {
	ownCount, ownPrefillTokens := 0, 0
	count := func(request *ownRequest) {
		if request.dispatchedAt > s.ObservedAt {
			return
		}
		ownCount++
		if request.firstTokenAt == 0 || request.firstTokenAt > s.ObservedAt {
			ownPrefillTokens += request.prefillTokens
		}
	}
	for _, request := range s.inFlight {
		count(request)
	}
	remaining := s.recentlyFinished[:0]
	for _, request := range s.recentlyFinished {
		if request.finishedAt > s.ObservedAt {
			count(&request)
			remaining = append(remaining, request)
		}
	}
	s.recentlyFinished = remaining
	s.externalOccupancy = max(0, s.Report.Running+s.Report.Waiting-ownCount)
	s.externalPrefillTokens = max(0, s.Report.WaitingTokens-ownPrefillTokens)
}

// Occupancy estimates the number of requests at the replica, running and waiting.
func (s *ReplicaState) Occupancy() int { return s.externalOccupancy + len(s.inFlight) }

// OwnInFlight returns the number of this node's requests at the replica.
func (s *ReplicaState) OwnInFlight() int { return len(s.inFlight) }

// PrefillAhead estimates the prompt tokens that wait for prefill at now. The
// tokens of other nodes are assumed to shrink at the reported rate since the
// report.
func (s *ReplicaState) PrefillAhead(now structs.Instant) int {
	prefilled := (now - s.ObservedAt).Seconds() * s.Report.PrefillRate
	return max(0, s.externalPrefillTokens-int(prefilled)) + s.ownPrefillTokens
}

// Age returns the time since the state in the latest report was observed.
func (s *ReplicaState) Age(now structs.Instant) time.Duration { return now - s.ObservedAt }

// Reserve counts a request of this node as in flight. It is called before the
// request is sent.
func (s *ReplicaState) Reserve(now structs.Instant, id string, prefillTokens int) {
	s.inFlight[id] = &ownRequest{dispatchedAt: now, prefillTokens: prefillTokens}
	s.ownPrefillTokens += prefillTokens
}

// RecordFirstToken records that the prefill of the request has ended. Later calls for
// the same request have no effect.
func (s *ReplicaState) RecordFirstToken(now structs.Instant, id string) {
	request, found := s.inFlight[id]
	if !found || request.firstTokenAt != 0 {
		return
	}
	request.firstTokenAt = now
	s.ownPrefillTokens -= request.prefillTokens
}

// Release counts the request as no longer in flight, regardless of its outcome.
func (s *ReplicaState) Release(now structs.Instant, id string) {
	request, found := s.inFlight[id]
	if !found {
		return
	}
	delete(s.inFlight, id)
	if request.firstTokenAt == 0 {
		s.ownPrefillTokens -= request.prefillTokens
	}
	request.finishedAt = now
	if len(s.recentlyFinished) < maxRecentlyFinished {
		s.recentlyFinished = append(s.recentlyFinished, *request)
	}
}

// maxRecentlyFinished bounds the finished requests remembered until a report covers
// their end.
const maxRecentlyFinished = 512
