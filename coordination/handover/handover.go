// Package handover decides at which replica a request goes on while the replica that has it is silent. It has no I/O
// and no clock.
//
// Silence does not prove that a replica has failed: it may be paused, its answer may be held up on the way, or this
// process may have been. So a request is not taken from a silent replica until another one, the successor, has begun to
// answer it, and whichever of them sends something first keeps it.
//
// Guarantees, as long as the caller of the package does what the methods return:
//   - A request that a replica has keeps a replica that has it until it ends, unless the replica itself breaks it
//     off.
//   - The successor is reset in the same step in which the current replica sends something, and the current replica in
//     the step in which the successor answers. So two replicas work on a request only while both are silent.
//   - A request has one successor at a time.
package handover

// Phase is how far the search for a successor is.
type Phase uint8

const (
	// NoSuccessor means that only the current replica has the request.
	NoSuccessor Phase = iota
	// Requested means that an assignment of a successor is requested, or a connection to it being opened.
	Requested
	// Sent means that the request is written to the successor, which has not answered yet.
	Sent
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string { return [...]string{"none", "requested", "sent"}[p] }

// Token identifies one successor of a request. Steps of a successor that was given up have no effect. The zero
// token identifies none.
type Token uint32

// Verdict is what must be done with the replica that took a step.
type Verdict bool

const (
	// Keep means that the replica keeps the request, or gets it.
	Keep Verdict = true
	// GiveUp means that the request goes on, or has ended, without the replica.
	GiveUp Verdict = false
)

// Handover is the state of one request. The zero value is a request that no replica has. It is not safe for concurrent
// use.
type Handover struct {
	phase Phase
	token Token
	// hasCurrent is true while a replica has the request, and hasEnded once it goes on nowhere.
	hasCurrent, hasEnded bool
}

// Begin records that a replica has the request. It must have no other one.
func (h *Handover) Begin() { h.hasCurrent = true }

// Phase returns how far the search for a successor is.
func (h *Handover) Phase() Phase { return h.phase }

// HasCurrent reports whether a replica has the request.
func (h *Handover) HasCurrent() bool { return h.hasCurrent }

// RequestSuccessor records that the current replica has been silent for so long that a successor is looked for. If it
// returns a token other than zero, the caller must request one.
func (h *Handover) RequestSuccessor() Token {
	if h.hasEnded || !h.hasCurrent || h.phase != NoSuccessor {
		return 0
	}
	h.token++
	h.phase = Requested
	return h.token
}

// CurrentSpoke records that the current replica sent something. If the verdict is GiveUp, the request has gone on at
// the successor: what was sent must be discarded. Otherwise a successor, if phase is not NoSuccessor, must be given up:
// its assignment returned or, if it was Sent, its connection reset.
func (h *Handover) CurrentSpoke() (verdict Verdict, phase Phase) {
	if h.hasEnded || !h.hasCurrent {
		return GiveUp, NoSuccessor
	}
	return Keep, h.dropSuccessor()
}

// CurrentBroke records that the current replica ended the exchange without a complete answer, or rejected the request.
// It reports whether there is a successor that the request may go on at.
func (h *Handover) CurrentBroke() bool {
	h.hasCurrent = false
	return h.phase != NoSuccessor
}

// MaySend must be called just before the request is written to the successor. If the verdict is GiveUp, nothing may be
// written and the assignment must be returned.
func (h *Handover) MaySend(token Token) Verdict {
	if !h.isCurrent(token) || h.phase != Requested {
		return GiveUp
	}
	h.phase = Sent
	return Keep
}

// SuccessorAnswered records that the successor began to answer the request with success. If the verdict is Keep, it is
// now the current replica; the former one, if replaced is true, must be reset at once. Otherwise the successor must
// be reset.
func (h *Handover) SuccessorAnswered(token Token) (verdict Verdict, replaced bool) {
	if !h.isCurrent(token) || h.phase != Sent {
		return GiveUp, false
	}
	replaced = h.hasCurrent
	h.phase, h.hasCurrent = NoSuccessor, true
	return Keep, replaced
}

// SuccessorFailed records that there is no assignment, that the successor was not reached, rejected the request or
// broke it off.
func (h *Handover) SuccessorFailed(token Token) {
	if h.isCurrent(token) {
		h.phase = NoSuccessor
	}
}

// End records that the request ended: its caller has the answer or left, its time is over or the process stops. It
// returns the phase of the successor that must be given up.
func (h *Handover) End() Phase {
	h.hasEnded, h.hasCurrent = true, false
	return h.dropSuccessor()
}

func (h *Handover) isCurrent(token Token) bool { return !h.hasEnded && token != 0 && token == h.token }

// dropSuccessor voids the token of the successor, if there is one, and returns its phase.
func (h *Handover) dropSuccessor() Phase {
	phase := h.phase
	if phase != NoSuccessor {
		h.token++
		h.phase = NoSuccessor
	}
	return phase
}
