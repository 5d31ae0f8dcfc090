package incarnations

import (
	"maps"

	"github.com/thornwalk/thornwalk/structs"
)

// Refusals keeps which incarnations' addresses refused a connection. One that accepts a connection afterwards has probably
// been replaced. It is not safe for concurrent use.
type Refusals struct{ known map[Incarnation]refusal }

// refusal is what is known of one incarnation's address.
type refusal struct {
	// at is when it last refused a connection, valid if isOpen: it has accepted none since.
	at     structs.Instant
	isOpen bool
	// ownAt is when it last refused one of this node's, valid if isOpen and hasOwn.
	ownAt  structs.Instant
	hasOwn bool
	// acceptedAt is when it last accepted one after a refusal, if hasAccepted. Refusals before that are over.
	acceptedAt  structs.Instant
	hasAccepted bool
}

// NewRefusals returns a Refusals that knows of none.
func NewRefusals() *Refusals { return &Refusals{known: map[Incarnation]refusal{}} }

// Observe records that the incarnation's address refused a connection of this node at the instant.
func (r *Refusals) Observe(at structs.Instant, incarnation Incarnation) {
	r.ObserveReported(at, incarnation)
	known := r.known[incarnation]
	known.ownAt, known.hasOwn = at, true
	r.known[incarnation] = known
}

// ObserveReported records that the incarnation's address refused a connection of a peer at the instant.
func (r *Refusals) ObserveReported(at structs.Instant, incarnation Incarnation) {
	known := r.known[incarnation]
	if known.hasAccepted && at <= known.acceptedAt || known.isOpen && at <= known.at {
		return
	}
	known.at, known.isOpen = at, true
	r.known[incarnation] = known
}

// Accepted records that the incarnation's address accepted a connection at the instant. It reports whether that is a sign
// of a replacement: the address refused one before.
func (r *Refusals) Accepted(at structs.Instant, incarnation Incarnation) bool {
	known := r.known[incarnation]
	if !known.isOpen || at < known.at {
		return false
	}
	r.known[incarnation] = refusal{acceptedAt: at, hasAccepted: true}
	return true
}

// Latest returns when the incarnation's address last refused a connection. It is false if it never did, or has accepted one
// since, as far as it is known.
func (r *Refusals) Latest(incarnation Incarnation) (structs.Instant, bool) {
	known := r.known[incarnation]
	return known.at, known.isOpen
}

// LatestOwn is Latest for the connections of this node. A peer that got back what it told would take it for a later one.
func (r *Refusals) LatestOwn(incarnation Incarnation) (structs.Instant, bool) {
	known := r.known[incarnation]
	return known.ownAt, known.isOpen && known.hasOwn
}

// End forgets the incarnation's refusals up to the instant: its successor, which counts as the same incarnation, is known.
func (r *Refusals) End(at structs.Instant, incarnation Incarnation) {
	if r.known[incarnation].isOpen {
		r.known[incarnation] = refusal{acceptedAt: at, hasAccepted: true}
	}
}

// Forget drops the refusals of the incarnations that are not kept.
func (r *Refusals) Forget(isKept func(Incarnation) bool) {
	maps.DeleteFunc(r.known, func(incarnation Incarnation, _ refusal) bool { return !isKept(incarnation) })
}
