// Package pushback holds what replicas say in their answers to hold requests back: that they
// leave, the rate that they take from all nodes together, and the time for which one node is to
// send them nothing. It does no I/O and reads no clock.
package pushback

import (
	"time"

	"github.com/thornwalk/thornwalk/state/replicas"
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
	// LimitSet means that it takes PerSecond.
	LimitSet
)

// Limit is the rate that a replica takes from all nodes together.
type Limit struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	State LimitState
	// PerSecond is in requests a second.
	PerSecond float64
}

// Signals is what one answer says. The zero value says nothing.
type Signals struct {
	// Leaving is true if the replica takes no new requests until it ends.
	Leaving bool
	Limit   Limit
	// Pause is for how long the node that got the answer is to send nothing.
	Pause time.Duration
}

// TimedLimit is a limit with the instant as of which it holds.
type TimedLimit struct {
	Limit Limit
	AsOf  structs.Instant
}

// Update takes the limit over if it is later than the one that is held, and returns whether it is
// another one. What was never named does not end.
func (k *TimedLimit) Update(limit Limit, asOf structs.Instant) bool {
	isFirst := k.Limit.State == LimitUnknown
	if limit.State == LimitUnknown || isFirst && limit.State == LimitNone || !isFirst && asOf <= k.AsOf {
		return false
	}
	before := k.Limit
	k.Limit, k.AsOf = limit, asOf
	return limit != before
}

// IsSet returns whether there is a limit.
func (k *TimedLimit) IsSet() bool { return k.Limit.State == LimitSet }

// Incarnation is one start of a replica. One that starts again under its id says nothing of what it said
// before.
type Incarnation struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Replica string
	// Born is when it started, in Unix milliseconds by its own clock; zero if it tells none.
	Born int64
}

// IncarnationOf returns the life of the replica as it is listed.
func IncarnationOf(replica replicas.Replica) Incarnation {
	return Incarnation{Replica: replica.ID, Born: replica.StartedAt}
}

// Report is what a node tells another one of a replica.
type Report struct {
	//lint:ignore U1000 the codec reads the tag
	_msgpack struct{} `msgpack:",as_array"`

	Life Incarnation
	// Limit is of so long ago.
	Limit Limit
	Age   time.Duration
	// Leaving is true if the replica takes no new requests.
	Leaving bool
	// Pause is for how long the node that tells of it sends nothing.
	Pause time.Duration
}

// ReportOf returns what is known of the replica's limit.
func (k *TimedLimit) ReportOf(now structs.Instant, life Incarnation) Report {
	return Report{Life: life, Limit: k.Limit, Age: now - k.AsOf}
}

// record is what one replica said to this node.
type record struct {
	leaving     bool
	limit       TimedLimit
	pausedUntil structs.Instant
	// isOnTrial is true from a pause on until an answer asks for none; one request at a time, the
	// last at triedAt, then finds out.
	isOnTrial bool
	triedAt   structs.Instant
	heardAt   structs.Instant
}

// pauseLeft returns for how long nothing is to be sent.
func (r *record) pauseLeft(now structs.Instant) time.Duration {
	until := r.pausedUntil
	if r.isOnTrial && r.triedAt >= until {
		until = r.triedAt + trialTime
	}
	return max(until-now, 0)
}

// trialTime is how long the answer to a request on trial is waited for before the next one.
const trialTime = time.Second

// Tracker is what replicas said to one node. It is not safe for concurrent use.
type Tracker struct {
	records map[Incarnation]*record
}

// NewTracker returns an empty book.
func NewTracker() *Tracker { return &Tracker{records: map[Incarnation]*record{}} }

// Change is what an answer changed of what the book holds of a replica.
type Change struct {
	// StartedLeaving is true if the replica says for the first time that it leaves.
	StartedLeaving bool
	// LimitChanged is true if the limit is another one than before, or ended.
	LimitChanged bool
	// PauseRequested is true if the replica asks for a pause.
	PauseRequested bool
}

// Observe enters what an answer says that arrived now to a request sent at the given instant. An
// answer without a limit ends one only if its request was sent after that was heard: answers
// overtake each other.
func (b *Tracker) Observe(now, sent structs.Instant, life Incarnation, said Signals) Change {
	held := b.records[life]
	if held == nil {
		if !said.Leaving && said.Pause <= 0 && said.Limit.State != LimitSet {
			return Change{}
		}
		held = &record{}
		b.records[life] = held
	}
	held.heardAt = now
	change := Change{StartedLeaving: said.Leaving && !held.leaving, PauseRequested: said.Pause > 0}
	held.leaving = held.leaving || said.Leaving
	held.hearPause(now, sent, said)
	asOf := now
	if said.Limit.State == LimitNone {
		asOf = sent
	}
	change.LimitChanged = held.limit.Update(said.Limit, asOf)
	return change
}

// hearPause begins or ends a pause. Answers to requests that were sent before its end say nothing of
// what comes after.
func (r *record) hearPause(now, sent structs.Instant, said Signals) {
	switch {
	case said.Pause > 0:
		r.pausedUntil, r.isOnTrial = max(r.pausedUntil, now+said.Pause), true
	case sent >= r.pausedUntil && said != (Signals{}):
		r.isOnTrial = false
	}
}

// PauseLeft returns for how long this node is to send nothing to the replica.
func (b *Tracker) PauseLeft(now structs.Instant, life Incarnation) time.Duration {
	held := b.records[life]
	if held == nil {
		return 0
	}
	return held.pauseLeft(now)
}

// Sent enters that a request is sent to the replica. After a pause it is the only one for a while, so
// that not all that were held back come at once.
func (b *Tracker) Sent(now structs.Instant, life Incarnation) {
	if held := b.records[life]; held != nil && held.isOnTrial {
		held.triedAt = now
	}
}

// MergeLimit enters what another node knows of a replica's limit.
func (b *Tracker) MergeLimit(now structs.Instant, note Report) {
	held := b.records[note.Life]
	if held == nil {
		if note.Limit.State != LimitSet {
			return
		}
		held = &record{}
		b.records[note.Life] = held
	}
	held.heardAt = now
	held.limit.Update(note.Limit, now-note.Age)
}

// IsLimited returns whether the replica names a limit.
func (b *Tracker) IsLimited(life Incarnation) bool {
	held := b.records[life]
	return held != nil && held.limit.IsSet()
}

// IsLeaving returns whether the replica said that it leaves.
func (b *Tracker) IsLeaving(life Incarnation) bool {
	held := b.records[life]
	return held != nil && held.leaving
}

// Reports returns what the node that schedules has to know of those replicas that are picked.
func (b *Tracker) Reports(now structs.Instant, picks func(life Incarnation) bool) []Report {
	var notes []Report
	for life, held := range b.records {
		if !held.isWorthTelling(now) || !picks(life) {
			continue
		}
		note := held.limit.ReportOf(now, life)
		note.Leaving, note.Pause = held.leaving, held.pauseLeft(now)
		if notes = append(notes, note); len(notes) == mostNotes {
			break
		}
	}
	return notes
}

// mostNotes bounds what is told with one request. Places that are given for want of the rest go back.
const mostNotes = 64

// isWorthTelling returns whether the record holds requests back, or did until lately: the end of a
// limit is told for as long as another node may take it for valid.
func (r *record) isWorthTelling(now structs.Instant) bool {
	return r.leaving || r.pauseLeft(now) > 0 || r.limit.IsSet() || r.limit.Limit.State == LimitNone && now-r.limit.AsOf < endToldFor
}

// endToldFor is how long the end of a limit is told.
const endToldFor = 30 * time.Second

// memory is how long the book holds what a replica said that is no longer known. An entry that
// lapsed while the store was away comes back, and what left does not.
const memory = 10 * time.Minute

// Forget drops replicas that are no longer known, some time after they last said anything.
func (b *Tracker) Forget(now structs.Instant, isKnown func(life Incarnation) bool) {
	for life, held := range b.records {
		if now-held.heardAt > memory && !isKnown(life) {
			delete(b.records, life)
		}
	}
}
