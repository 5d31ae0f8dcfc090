// Package pushback holds what replicas say in their answers to hold requests back: that they
// leave, the rate that they take from all nodes together, and the time for which one node is to
// send them nothing. It does no I/O and reads no clock.
package pushback

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// LimitState tells whether a replica names a rate limit.
type LimitState int

// The states of a limit.
const (
	// LimitUnknown means that nothing was said, or nothing that can be read.
	LimitUnknown LimitState = iota
	// LimitNone means that the replica takes any rate.
	LimitNone
	// LimitNamed means that it takes PerSecond.
	LimitNamed
)

// Limit is the rate that a replica takes from all nodes together.
type Limit struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	State LimitState
	// PerSecond is in requests a second.
	PerSecond float64
}

// Statement is what one answer says. The zero value says nothing.
type Statement struct {
	// Leaving is true if the replica takes no new requests until it ends.
	Leaving bool
	Limit   Limit
	// Pause is for how long the node that got the answer is to send nothing.
	Pause time.Duration
}

// record is what one replica said to this node.
type record struct {
	leaving bool
	limit   Limit
	// limitAt is the instant as of which the limit holds.
	limitAt     structs.Instant
	pausedUntil structs.Instant
	heardAt     structs.Instant
}

// Book is what replicas said to one node. It is not safe for concurrent use.
type Book struct {
	records map[string]*record
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{records: map[string]*record{}} }

// Change is what an answer changed of what the book holds of a replica.
type Change struct {
	// Left is true if the replica says for the first time that it leaves.
	Left bool
	// Limited is true if the limit is another one than before, or ended.
	Limited bool
	// Paused is true if the replica asks for a pause.
	Paused bool
}

// Hear enters what an answer says that arrived now to a request sent at the given instant. An
// answer without a limit ends one only if its request was sent after that was heard: answers
// overtake each other.
func (b *Book) Hear(now, sent structs.Instant, id string, said Statement) Change {
	held := b.records[id]
	if held == nil {
		if !said.Leaving && said.Pause <= 0 && said.Limit.State != LimitNamed {
			return Change{}
		}
		held = &record{}
		b.records[id] = held
	}
	held.heardAt = now
	change := Change{Left: said.Leaving && !held.leaving, Paused: said.Pause > 0}
	held.leaving = held.leaving || said.Leaving
	held.pausedUntil = max(held.pausedUntil, now+said.Pause)
	asOf := now
	if said.Limit.State == LimitNone {
		asOf = sent
	}
	change.Limited = held.put(said.Limit, asOf)
	return change
}

// put takes the limit over if it is later than the one that is held, and returns whether it is
// another one.
func (r *record) put(limit Limit, asOf structs.Instant) bool {
	if limit.State == LimitUnknown || asOf <= r.limitAt {
		return false
	}
	before := r.limit
	if before.State == LimitUnknown {
		before.State = LimitNone
	}
	r.limit, r.limitAt = limit, asOf
	return limit != before
}

// Renew drops what is held of a replica that started again under its id.
func (b *Book) Renew(id string) { delete(b.records, id) }

// memory is how long the book holds what a replica said that is no longer known. An entry that
// lapsed while the store was away comes back, and what left does not.
const memory = 10 * time.Minute

// Forget drops replicas that are no longer known, some time after they last said anything.
func (b *Book) Forget(now structs.Instant, known func(id string) bool) {
	for id, held := range b.records {
		if now-held.heardAt > memory && !known(id) {
			delete(b.records, id)
		}
	}
}
