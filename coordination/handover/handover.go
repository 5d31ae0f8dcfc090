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

// Token identifies one replica that has the request or one successor; a successor keeps its token once it is the
// current replica. Steps of a replica that was replaced or given up have no effect: what it sent may have been read
// just before its connection was reset. The zero token identifies none.
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
	// latest is the latest token that was given out.
	latest Token
	// current is the replica that has the request, and successor the one that is looked for or was sent it. They are
	// zero if there is none.
	current, successor Token
	// hasEnded is true once the request goes on nowhere.
	hasEnded bool
}

// Begin records that a replica gets the request, and returns its token. The request must have no other replica. If the
// token is zero, the request has ended and must not be sent.
func (h *Handover) Begin() Token {
	if h.hasEnded {
		return 0
	}
	h.latest++
	h.current = h.latest
	return h.current
}

// Phase returns how far the search for a successor is.
func (h *Handover) Phase() Phase { return h.phase }

// RequestSuccessor records that the current replica has been silent for so long that a successor is looked for. If it
// returns a token other than zero, the caller must request one.
func (h *Handover) RequestSuccessor() Token {
	if h.current == 0 || h.phase != NoSuccessor {
		return 0
	}
	h.latest++
	h.successor, h.phase = h.latest, Requested
	return h.successor
}

// CurrentSpoke records that the replica that the request was sent to, or went on at, sent something. If the verdict is
// GiveUp, the request has ended or gone on at a successor: what was sent must be discarded. Otherwise a successor, if
// phase is not NoSuccessor, must be given up: its assignment returned or, if it was Sent, its connection reset.
func (h *Handover) CurrentSpoke(token Token) (verdict Verdict, phase Phase) {
	if !h.isCurrent(token) {
		return GiveUp, NoSuccessor
	}
	return Keep, h.dropSuccessor()
}

// CurrentBroke records that the replica that the request was sent to, or went on at, ended the exchange without a
// complete answer, or rejected the request. It reports whether the request goes on without it: at a successor that is
// looked for, or because a successor replaced it, whose end then decides. Otherwise the caller must send the request
// again or end it, unless it has ended.
func (h *Handover) CurrentBroke(token Token) bool {
	if !h.isCurrent(token) {
		return !h.hasEnded
	}
	h.current = 0
	return h.phase != NoSuccessor
}

// MaySend must be called just before the request is written to the successor. If the verdict is GiveUp, nothing may be
// written and the assignment must be returned.
func (h *Handover) MaySend(token Token) Verdict {
	if !h.isSuccessor(token) || h.phase != Requested {
		return GiveUp
	}
	h.phase = Sent
	return Keep
}

// SuccessorAnswered records that the successor began to answer the request with success. If the verdict is Keep, it is
// now the current replica; the former one, if replaced is true, must be reset at once. Otherwise the successor must
// be reset.
func (h *Handover) SuccessorAnswered(token Token) (verdict Verdict, replaced bool) {
	if !h.isSuccessor(token) || h.phase != Sent {
		return GiveUp, false
	}
	replaced = h.current != 0
	h.dropSuccessor()
	h.current = token
	return Keep, replaced
}

// SuccessorFailed records that there is no assignment, that the successor was not reached, rejected the request or
// broke it off. It returns false if the successor had been given up before.
func (h *Handover) SuccessorFailed(token Token) bool {
	if !h.isSuccessor(token) {
		return false
	}
	h.dropSuccessor()
	return true
}

// End records that the request ended: its caller has the answer or left, its time is over or the process stops. It
// returns the phase of the successor that must be given up.
func (h *Handover) End() Phase {
	h.hasEnded, h.current = true, 0
	return h.dropSuccessor()
}

func (h *Handover) isCurrent(token Token) bool { return token != 0 && token == h.current }

func (h *Handover) isSuccessor(token Token) bool { return token != 0 && token == h.successor }

// dropSuccessor voids the token of the successor, if there is one, and returns its phase.
func (h *Handover) dropSuccessor() Phase {
	phase := h.phase
	h.phase, h.successor = NoSuccessor, 0
	return phase
}
