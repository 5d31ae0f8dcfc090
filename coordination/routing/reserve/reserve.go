// Package reserve records a node's requests in flight at replicas before they
// are sent, so that the next decision already counts them, and updates the
// replicas' state from the results.
package reserve

import (
	"time"

	"github.com/thornwalk/thornwalk/state/backend"
	"github.com/thornwalk/thornwalk/state/prefix"
	"github.com/thornwalk/thornwalk/structs"
)

// Reservation is one request in flight at a replica.
type Reservation struct {
	Request    *structs.Request
	Replica    structs.ReplicaID
	ReservedAt structs.Instant
	Predicted  structs.Candidate
	// firstTokenAt is zero until the first token arrives.
	firstTokenAt structs.Instant
}

// Reservations holds the reservations of a node. It is not safe for concurrent
// use.
type Reservations struct {
	view      *backend.Table
	prefixes  prefix.Index
	byRequest map[string]*Reservation
}

// NewReservations returns an empty set of reservations for the replicas of the
// view.
func NewReservations(view *backend.Table, prefixes prefix.Index) *Reservations {
	return &Reservations{view: view, prefixes: prefixes, byRequest: map[string]*Reservation{}}
}

// Len returns the number of requests in flight.
func (r *Reservations) Len() int { return len(r.byRequest) }

// Get returns the reservation of the request.
func (r *Reservations) Get(id string) (*Reservation, bool) {
	reservation, found := r.byRequest[id]
	return reservation, found
}

// Add reserves the candidate's replica for the request. It does nothing if the
// replica is unknown.
func (r *Reservations) Add(now structs.Instant, request *structs.Request, candidate structs.Candidate) {
	state, found := r.view.Get(candidate.Replica)
	if !found {
		return
	}
	state.Reserve(now, request.ID, request.PromptTokens-candidate.CachedTokens)
	r.prefixes.RecordSent(candidate.Replica, request.Prefix)
	r.byRequest[request.ID] = &Reservation{Request: request, Replica: candidate.Replica, ReservedAt: now, Predicted: candidate}
}

// RecordFirstToken records when the first token of the answer arrived.
func (r *Reservations) RecordFirstToken(now structs.Instant, id string) {
	reservation, found := r.byRequest[id]
	if !found || reservation.firstTokenAt != 0 {
		return
	}
	reservation.firstTokenAt = now
	if state, known := r.view.Get(reservation.Replica); known {
		state.RecordFirstToken(now, id)
	}
}

// Result describes how a request in flight ended.
type Result struct {
	// Sent is false if no byte was sent.
	Sent bool
	// Complete is true if the answer arrived completely.
	Complete     bool
	OutputTokens int
}

// Release ends the reservation and updates the replica's connection failures
// and slowdown. It returns false if the request has no reservation.
func (r *Reservations) Release(now structs.Instant, id string, result Result) (*Reservation, bool) {
	reservation, found := r.byRequest[id]
	if !found {
		return nil, false
	}
	delete(r.byRequest, id)
	state, known := r.view.Get(reservation.Replica)
	if !known {
		return reservation, true
	}
	state.Release(now, id)
	if !result.Sent {
		state.RecordConnectFailure(now)
		return reservation, true
	}
	state.RecordConnectSuccess()
	if result.Complete {
		r.updateSlowdown(now, state, reservation, result.OutputTokens)
	}
	return reservation, true
}

// updateSlowdown compares the decoding speed with what the replica reports.
// Plain services have no tokens, so the duration of the call is compared.
func (r *Reservations) updateSlowdown(now structs.Instant, state *backend.ReplicaState, reservation *Reservation, outputTokens int) {
	if state.Replica.Kind == structs.KindService {
		state.UpdateSlowdown(reservation.Predicted.Completion, now-reservation.ReservedAt)
		return
	}
	const minTokens = 4
	if outputTokens < minTokens || reservation.firstTokenAt == 0 {
		return
	}
	expected := time.Duration(outputTokens-1) * r.view.Speed(state).StepTime
	state.UpdateSlowdown(expected, now-reservation.firstTokenAt)
}
