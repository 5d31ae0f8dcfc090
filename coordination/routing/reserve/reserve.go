// Package reserve enters a chosen replica in the node's ledger before the
// request is sent, so that the next decision already counts it, and learns
// from how the request ended.
package reserve

import (
	"time"

	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/structs"
)

// Reservation is one request in flight at a replica.
type Reservation struct {
	Request  *structs.Request
	Replica  structs.ReplicaID
	At       structs.Instant
	Expected structs.Candidate
	// firstTokenAt is zero until the first token arrived.
	firstTokenAt structs.Instant
}

// Ledger holds the reservations of a node by request id.
type Ledger struct {
	view         *backend.Table
	prefixes     prefix.Index
	reservations map[string]*Reservation
}

// NewLedger returns an empty ledger over the view.
func NewLedger(view *backend.Table, prefixes prefix.Index) *Ledger {
	return &Ledger{view: view, prefixes: prefixes, reservations: map[string]*Reservation{}}
}

// Len returns the number of requests in flight.
func (l *Ledger) Len() int { return len(l.reservations) }

// Get returns the reservation of the request.
func (l *Ledger) Get(id string) (*Reservation, bool) {
	reservation, found := l.reservations[id]
	return reservation, found
}

// Add reserves the replica for the request.
func (l *Ledger) Add(now structs.Instant, request *structs.Request, candidate structs.Candidate) {
	state, found := l.view.Get(candidate.Replica)
	if !found {
		return
	}
	state.Reserve(now, request.ID, request.PromptTokens-candidate.CachedTokens)
	l.prefixes.Sent(candidate.Replica, request.Prefix)
	l.reservations[request.ID] = &Reservation{Request: request, Replica: candidate.Replica, At: now, Expected: candidate}
}

// FirstToken records the first token of the answer.
func (l *Ledger) FirstToken(now structs.Instant, id string) {
	reservation, found := l.reservations[id]
	if !found || reservation.firstTokenAt != 0 {
		return
	}
	reservation.firstTokenAt = now
	if state, known := l.view.Get(reservation.Replica); known {
		state.FirstToken(now, id)
	}
}

// Result is how a request in flight ended.
type Result struct {
	// Connected is false if no byte was sent.
	Connected bool
	// Complete is true if the whole answer arrived.
	Complete     bool
	OutputTokens int
}

// Release ends the reservation and learns the replica's pace from it.
func (l *Ledger) Release(now structs.Instant, id string, result Result) (*Reservation, bool) {
	reservation, found := l.reservations[id]
	if !found {
		return nil, false
	}
	delete(l.reservations, id)
	state, known := l.view.Get(reservation.Replica)
	if !known {
		return reservation, true
	}
	state.Release(now, id)
	if !result.Connected {
		state.RecordConnectFailure(now)
		return reservation, true
	}
	state.RecordConnectSuccess()
	if result.Complete {
		l.learn(now, state, reservation, result.OutputTokens)
	}
	return reservation, true
}

// learn compares the pace of decoding with what the replica reports. Plain
// services have no tokens, so the whole call is compared.
func (l *Ledger) learn(now structs.Instant, state *backend.ReplicaState, reservation *Reservation, outputTokens int) {
	if state.Replica.Kind == structs.KindService {
		state.UpdateSlowdown(reservation.Expected.Completion, now-reservation.At)
		return
	}
	const fewTokens = 4
	if outputTokens < fewTokens || reservation.firstTokenAt == 0 {
		return
	}
	expected := time.Duration(outputTokens-1) * l.view.Speed(state).StepTime
	state.UpdateSlowdown(expected, now-reservation.firstTokenAt)
}
