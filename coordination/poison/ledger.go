package poison

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

// Policy says when a request is barred.
type Policy struct {
	// CrashThreshold is how many lives end under a request until it is barred; zero bars none.
	CrashThreshold int
	// Trials is how often a barred request is sent all the same, and FirstTrial and
	// NextTrial the times until the first one and from one to the next.
	Trials                int
	FirstTrial, NextTrial time.Duration
}

// DefaultPolicy bars after the third end. The operators count what is sent later than a few
// seconds after it and allow three; two trials leave one for a scheduling node that died
// before it told of a trial. The first comes soon, as many replicas that end at once for a
// reason of their own bar what runs at three of them; a trial that finds no replica that is up
// goes on until it does. The second is late enough for what struck the first to be over.
func DefaultPolicy() Policy {
	return Policy{CrashThreshold: 3, Trials: poisonrecords.MaxTrials, FirstTrial: 500 * time.Millisecond, NextTrial: 10 * time.Second}
}

// State is what may be done with a request.
type State int

// The standings.
const (
	// Clear means that nothing speaks against the request.
	Clear State = iota
	// Suspect means that it may run at one replica at a time.
	Suspect
	// OnTrial means that it is barred and may be sent once.
	OnTrial
	// Blocked means that it must not be sent.
	Blocked
)

// String names the standing in logs.
func (s State) String() string { return [...]string{"clear", "suspect", "on-trial", "barred"}[s] }

// Bounds of the ledger.
const (
	// maximumRecords bounds the records. Each suspect costs a caller a share in a replica's
	// end and each barred request the ends of three, so that nobody fills the ledger cheaply;
	// a record has about 300 bytes.
	maximumRecords = 4096
	// maximumLasting bounds what is written to the store: half a megabyte as it is encoded
	// there, where one value may have a whole one.
	maximumLasting = 1024
	// recordMemory is how long a suspect is remembered that is not asked for again, and that
	// a request was cleared: a caller that returns every some seconds is known again, the
	// many that were at a replica by chance are forgotten, and no node that has not heard
	// that a request was cleared bars it again.
	recordMemory = 2 * time.Minute
	// recentMemory is how long what this node saw is passed on with each try: some changes of
	// the scheduling node.
	recentMemory = 10 * time.Second
	// forgettingTime is by how much nodes may forget a record one after the other.
	forgettingTime = 5 * time.Second
	// barredRetry is when the caller of a barred request should come back once there are no
	// more trials.
	barredRetry = time.Minute
	// toldLives is from how many lives on all nodes are told of a suspect. Those of one life
	// are many, as each end has some; the scheduling node and those that saw it end know them.
	toldLives = 2
)

// entry is a record with what this node alone knows of it.
type entry struct {
	poisonrecords.Record
	// changed is when something was learned of it, endedAt when the last life was, and
	// nextTrial when the next trial may be.
	changed, endedAt, nextTrial structs.Instant
	// open is true while the last trial came to no replica.
	open bool
	// told is true once other nodes hear of the record unasked; they are then also told
	// that it was cleared.
	told bool
}

// Tracker holds the records of one node. It is not safe for concurrent use.
type Tracker struct {
	policy  Policy
	entries map[fingerprint.Fingerprint]*entry
	// tries is false while this node must not try barred requests: another one may do so.
	tries bool
	// mark is of all records that others are told, unless it is stale.
	mark  poisonrecords.Summary
	stale bool
}

// NewTracker returns an empty ledger that tries nothing until SetTrialsAllowed.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, entries: map[fingerprint.Fingerprint]*entry{}}
}

// SetPolicy takes another policy into force.
func (l *Tracker) SetPolicy(policy Policy) { l.policy = policy }

// SetTrialsAllowed records whether this node may try barred requests: the node that schedules for
// more than half of all nodes does. Parts of a fleet that are cut off from each other would
// else try each for itself, and end a replica with each.
func (l *Tracker) SetTrialsAllowed(tries bool) { l.tries = tries }

// RecordCrash enters that the life ended while it ran the request that was placed then, and
// returns the request's standing and whether that is news. A request that was placed after
// the life's end was known cannot have run in that life: the replica had started again under
// its id, and this node has not heard of it.
func (l *Tracker) RecordCrash(now structs.Instant, of poisonrecords.Record, life poisonrecords.Incarnation, placed structs.Instant) (State, bool) {
	if l.policy.CrashThreshold <= 0 || of.Fingerprint.IsZero() {
		return Clear, false
	}
	held := l.get(now, of)
	if slices.Contains(held.Incarnations, life) && placed > held.endedAt {
		life += poisonrecords.Incarnation("+" + strconv.Itoa(len(held.Incarnations)))
	}
	if !held.Add(life) {
		return l.standing(held), false
	}
	held.changed, held.endedAt = now, now
	l.settle(now, held)
	return l.standing(held), true
}

// RecordSuccess enters that a replica gave its whole answer to the request, and returns whether
// that cleared it.
func (l *Tracker) RecordSuccess(now structs.Instant, content fingerprint.Fingerprint) bool {
	held, found := l.entries[content]
	if !found || len(held.Incarnations) == 0 {
		return false
	}
	l.clear(now, held)
	return true
}

// Unblock clears a request as the operators ask. It returns false if nothing is known of it.
func (l *Tracker) Unblock(now structs.Instant, content fingerprint.Fingerprint) bool {
	return l.RecordSuccess(now, content)
}

func (l *Tracker) clear(now structs.Instant, held *entry) {
	held.Record.Clear()
	held.changed, held.nextTrial, held.open = now, 0, false
	l.stale = true
}

// IsEmpty returns whether nothing speaks against any request.
func (l *Tracker) IsEmpty() bool { return len(l.entries) == 0 }

// State returns what may be done with the request, and, if it is barred, when its caller
// should come back.
func (l *Tracker) State(now structs.Instant, content fingerprint.Fingerprint) (State, time.Duration) {
	held, found := l.entries[content]
	if !found || l.policy.CrashThreshold <= 0 {
		return Clear, 0
	}
	standing := l.standing(held)
	switch {
	case standing != Blocked:
		return standing, 0
	case held.open:
		return OnTrial, 0
	case held.Trials >= l.policy.Trials:
		return Blocked, barredRetry
	case !l.tries || now < held.nextTrial:
		return Blocked, max(held.nextTrial-now, l.policy.FirstTrial)
	}
	return OnTrial, 0
}

func (l *Tracker) standing(held *entry) State {
	switch {
	case len(held.Incarnations) == 0:
		return Clear
	case len(held.Incarnations) < l.policy.CrashThreshold:
		return Suspect
	}
	return Blocked
}

// RecordTrial enters that a barred request is being sent.
func (l *Tracker) RecordTrial(now structs.Instant, content fingerprint.Fingerprint) {
	held, found := l.entries[content]
	if !found {
		return
	}
	if !held.open {
		held.Trials++
		l.stale = true
	}
	held.open = false
	held.changed, held.nextTrial = now, now+l.policy.NextTrial
}

// CancelTrial enters that a trial came to no replica: the one that was chosen was down. The same
// trial may go on at another.
func (l *Tracker) CancelTrial(content fingerprint.Fingerprint) {
	if held, found := l.entries[content]; found {
		held.open = held.Trials > 0 && l.standing(held) == Blocked
	}
}

// get returns the request's entry, which may be a new one.
func (l *Tracker) get(now structs.Instant, of poisonrecords.Record) *entry {
	held, found := l.entries[of.Fingerprint]
	if !found {
		l.makeRoom()
		held = &entry{Record: poisonrecords.Record{Fingerprint: of.Fingerprint, Service: of.Service, Route: of.Route}, changed: now}
		l.entries[of.Fingerprint] = held
	}
	return held
}

// settle enters what follows from a change of the record's lives.
func (l *Tracker) settle(now structs.Instant, held *entry) {
	l.stale = true
	held.told = held.told || held.Persistent || len(held.Incarnations) >= toldLives
	switch {
	case l.standing(held) != Blocked:
		held.nextTrial = 0
	case held.nextTrial == 0:
		held.Persistent, held.nextTrial = true, now+l.policy.FirstTrial
	}
}

// Merge enters what another node or the store tells, and returns the requests that are
// barred since.
func (l *Tracker) Merge(now structs.Instant, records []poisonrecords.Record) []poisonrecords.Record {
	var barred []poisonrecords.Record
	for i := range records {
		if !l.takes(&records[i]) {
			continue
		}
		held := l.get(now, records[i])
		before := l.standing(held)
		if held.Generation > records[i].Generation && !held.told {
			held.told, l.stale = true, true // whoever told this has not heard that it was cleared
		}
		if !held.Record.Merge(&records[i]) {
			continue
		}
		held.changed = now - min(time.Duration(records[i].Age)*time.Millisecond, recordMemory)
		held.endedAt, held.told = now, true
		l.settle(now, held)
		if before != Blocked && l.standing(held) == Blocked {
			barred = append(barred, held.copy())
		}
	}
	return barred
}

// takes returns whether the record is to be merged. One that this node does not have and
// that is about to be forgotten by all is left out: nodes would else have it from each other
// for ever.
func (l *Tracker) takes(record *poisonrecords.Record) bool {
	if record.Fingerprint.IsZero() || l.policy.CrashThreshold <= 0 {
		return false
	}
	if _, found := l.entries[record.Fingerprint]; found || record.Persistent && len(record.Incarnations) >= l.policy.CrashThreshold {
		return true
	}
	return time.Duration(record.Age)*time.Millisecond < recordMemory-forgettingTime
}

// Get returns the request's record.
func (l *Tracker) Get(content fingerprint.Fingerprint) (poisonrecords.Record, bool) {
	held, found := l.entries[content]
	if !found {
		return poisonrecords.Record{}, false
	}
	return held.copy(), true
}

// Recent returns the request's record if something spoke against it lately. Whoever asks for
// a place passes it on: the scheduling node may have died before it told what it knew. What
// is older was told since, or made up for by an answer that this node did not see.
func (l *Tracker) Recent(now structs.Instant, content fingerprint.Fingerprint) *poisonrecords.Record {
	held, found := l.entries[content]
	if !found || len(held.Incarnations) == 0 || now-held.endedAt > recentMemory {
		return nil
	}
	record := held.copy()
	return &record
}

// copy returns the record without what is shared.
func (e *entry) copy() poisonrecords.Record {
	record := e.Record
	record.Incarnations = slices.Clone(record.Incarnations)
	return record
}

// Shared returns what other nodes are to know.
func (l *Tracker) Shared(now structs.Instant) []poisonrecords.Record {
	return l.pick(now, func(held *entry) bool { return held.told })
}

// Persistent returns what has to outlive all nodes; of too many, the ones that changed last.
func (l *Tracker) Persistent(now structs.Instant) []poisonrecords.Record {
	lasting := l.pick(now, func(held *entry) bool { return held.Persistent })
	if len(lasting) <= maximumLasting {
		return lasting
	}
	slices.SortStableFunc(lasting, func(a, b poisonrecords.Record) int { return cmp.Compare(a.Age, b.Age) })
	return lasting[:maximumLasting]
}

// Blocked returns the requests that are barred.
func (l *Tracker) Blocked(now structs.Instant) []poisonrecords.Record {
	return l.pick(now, func(held *entry) bool { return l.standing(held) == Blocked })
}

// pick returns the records for which the function is true, in the order of their contents.
func (l *Tracker) pick(now structs.Instant, picks func(*entry) bool) []poisonrecords.Record {
	var picked []poisonrecords.Record
	for _, held := range l.entries {
		if !picks(held) {
			continue
		}
		record := held.copy()
		record.Age = (now - held.changed).Milliseconds()
		picked = append(picked, record)
	}
	slices.SortFunc(picked, func(a, b poisonrecords.Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return picked
}

// Summary returns that of what Shared returns.
func (l *Tracker) Summary() poisonrecords.Summary {
	if l.stale {
		l.stale, l.mark = false, poisonrecords.Summary{}
		for _, held := range l.entries {
			if held.told {
				l.mark.Add(&held.Record)
			}
		}
	}
	return l.mark
}

// Sweep forgets suspects that were not seen again and what was cleared long ago. A barred
// request is forgotten only when there is no room for it.
func (l *Tracker) Sweep(now structs.Instant) {
	for content, held := range l.entries {
		if l.standing(held) != Blocked && now-held.changed > recordMemory {
			delete(l.entries, content)
			l.stale = true
		}
	}
}

// makeRoom drops the record that says least if there are too many: one that is not barred
// before one that is, and the oldest of these.
func (l *Tracker) makeRoom() {
	if len(l.entries) < maximumRecords {
		return
	}
	var least *entry
	for _, held := range l.entries {
		if least == nil || saysLess(held, least) {
			least = held
		}
	}
	delete(l.entries, least.Fingerprint)
	l.stale = true
}

func saysLess(held, other *entry) bool {
	if held.Persistent != other.Persistent {
		return other.Persistent
	}
	return held.changed < other.changed
}
