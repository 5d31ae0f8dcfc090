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

// Policy controls when a request is blocked and how often it is tried afterwards.
type Policy struct {
	// CrashThreshold is the number of incarnations that end under a request before it is
	// blocked; zero disables blocking.
	CrashThreshold int
	// Trials is the number of test sends of a blocked request. FirstTrialDelay is the time from
	// blocking to the first trial, TrialInterval the time between two trials.
	Trials                         int
	FirstTrialDelay, TrialInterval time.Duration
}

// DefaultPolicy blocks a request after three crashes and allows two trials. The first trial comes
// early, because crashes of many replicas at once block innocent requests; the second comes late
// enough for the cause of such crashes to have passed.
func DefaultPolicy() Policy {
	return Policy{CrashThreshold: 3, Trials: poisonrecords.MaxTrials, FirstTrialDelay: 500 * time.Millisecond, TrialInterval: 10 * time.Second}
}

// State determines whether and how a request may be sent.
type State int

// The states of a request.
const (
	// Clear means that the request may be sent without restriction.
	Clear State = iota
	// Suspect means that the request may run at one replica at a time, so that it can't crash
	// many replicas before the threshold is reached.
	Suspect
	// OnTrial means that the request is blocked and may be sent once.
	OnTrial
	// Blocked means that the request must not be sent.
	Blocked
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"clear", "suspect", "on-trial", "barred"}[s] }

const (
	// maxRecords bounds the tracked records, of about 300 bytes each.
	maxRecords = 4096
	// maxPersistentRecords bounds the records written to the store, where they take about half
	// of the largest value.
	maxPersistentRecords = 1024
	// recordRetention is how long suspects and cleared records are kept after their last change.
	// Cleared records are kept so that a peer with stale data does not block the request again.
	recordRetention = 2 * time.Minute
	// recentCrashAge is the age up to which a crash is reported with each assignment request.
	// It covers several changes of the scheduling node.
	recentCrashAge = 10 * time.Second
	// maxExpirySkew bounds the time between the expiry of the same record at two nodes.
	maxExpirySkew = 5 * time.Second
	// blockedRetryAfter is when the caller of a blocked request without trials left may retry.
	blockedRetryAfter = time.Minute
	// minSharedIncarnations is the number of ended incarnations from which a suspect is shared
	// with all nodes. Suspects of one crash are too many to share.
	minSharedIncarnations = 2
)

// entry is a record with this node's own state of it, which is not exchanged.
type entry struct {
	poisonrecords.Record
	// changedAt is when the record last changed, lastCrashAt when its last crash was recorded,
	// and nextTrialAt when the next trial is due; zero if the request is not blocked.
	changedAt, lastCrashAt, nextTrialAt structs.Instant
	// trialPending is true while the last counted trial has not reached a replica.
	trialPending bool
	// shared is true once other nodes receive the record, also after it is cleared.
	shared bool
}

// Tracker holds the poison records of one node. It is not safe for concurrent use.
type Tracker struct {
	policy        Policy
	entries       map[fingerprint.Fingerprint]*entry
	trialsAllowed bool
	parts         *partHistory
	// summary covers the shared records; it is outdated while summaryStale is true.
	summary      poisonrecords.Summary
	summaryStale bool
}

// NewTracker returns an empty tracker that allows no trials until SetTrialsAllowed.
func NewTracker(policy Policy) *Tracker {
	return &Tracker{policy: policy, entries: map[fingerprint.Fingerprint]*entry{}, parts: newPartHistory()}
}

// SetPolicy replaces the policy.
func (t *Tracker) SetPolicy(policy Policy) { t.policy = policy }

// SetTrialsAllowed sets whether this node may try blocked requests. Only the node that schedules
// for more than half of all nodes may: otherwise each part of a partitioned fleet would run its
// own trials.
func (t *Tracker) SetTrialsAllowed(allowed bool) { t.trialsAllowed = allowed }

// RecordCrash records that the incarnation ended while it ran the request assigned at assignedAt.
// It returns the request's state and whether the crash was new. If the request was assigned after
// the last recorded crash, a repeated incarnation counts as a new one: the replica had restarted,
// which this node has not observed.
func (t *Tracker) RecordCrash(now structs.Instant, request poisonrecords.Record, incarnation poisonrecords.Incarnation, assignedAt structs.Instant) (State, bool) {
	if t.policy.CrashThreshold <= 0 || request.Fingerprint.IsZero() {
		return Clear, false
	}
	e := t.getOrCreate(now, request)
	if slices.Contains(e.Incarnations, incarnation) && assignedAt > e.lastCrashAt {
		incarnation += poisonrecords.Incarnation("+" + strconv.Itoa(len(e.Incarnations)))
	}
	if !e.Add(incarnation) {
		return t.stateOf(e), false
	}
	e.changedAt, e.lastCrashAt = now, now
	t.updateDerivedFields(now, e)
	return t.stateOf(e), true
}

// RecordSuccess records that a replica completed its answer to the request, which clears it. It
// reports whether the record changed.
func (t *Tracker) RecordSuccess(now structs.Instant, request fingerprint.Fingerprint) bool {
	e, found := t.entries[request]
	if !found || len(e.Incarnations) == 0 {
		return false
	}
	t.clear(now, e)
	return true
}

// TrialDueFor returns for how long a trial of the request has been due; negative if none is due yet.
func (t *Tracker) TrialDueFor(now structs.Instant, request fingerprint.Fingerprint) time.Duration {
	e, found := t.entries[request]
	if !found {
		return 0
	}
	return now - e.nextTrialAt
}

// Unblock clears the request on behalf of an operator. It reports whether there was a crash to clear.
func (t *Tracker) Unblock(now structs.Instant, request fingerprint.Fingerprint) bool {
	return t.RecordSuccess(now, request)
}

func (t *Tracker) clear(now structs.Instant, e *entry) {
	e.Record.Clear()
	e.changedAt, e.nextTrialAt, e.trialPending = now, 0, false
	t.summaryStale = true
}

// IsEmpty reports whether there are no records.
func (t *Tracker) IsEmpty() bool { return len(t.entries) == 0 }

// State returns the request's state and, if it is Blocked, the time after which the caller may
// retry.
func (t *Tracker) State(now structs.Instant, request fingerprint.Fingerprint) (State, time.Duration) {
	e, found := t.entries[request]
	if !found || t.policy.CrashThreshold <= 0 {
		return Clear, 0
	}
	state := t.stateOf(e)
	switch {
	case state != Blocked:
		return state, 0
	case e.trialPending:
		return OnTrial, 0
	case e.Trials >= t.policy.Trials:
		return Blocked, blockedRetryAfter
	case !t.trialsAllowed || now < e.nextTrialAt:
		return Blocked, max(e.nextTrialAt-now, t.policy.FirstTrialDelay)
	}
	return OnTrial, 0
}

// stateOf returns the entry's state without regard to trials.
func (t *Tracker) stateOf(e *entry) State {
	switch {
	case len(e.Incarnations) == 0:
		return Clear
	case len(e.Incarnations) < t.policy.CrashThreshold:
		return Suspect
	}
	return Blocked
}

// RecordTrial records that a blocked request is being sent.
func (t *Tracker) RecordTrial(now structs.Instant, request fingerprint.Fingerprint) {
	e, found := t.entries[request]
	if !found {
		return
	}
	if !e.trialPending {
		e.Trials++
		t.summaryStale = true
	}
	e.trialPending = false
	e.changedAt, e.nextTrialAt = now, now+t.policy.TrialInterval
}

// CancelTrial records that a trial did not reach its replica. The request may be sent to another
// one as part of the same trial.
func (t *Tracker) CancelTrial(request fingerprint.Fingerprint) {
	if e, found := t.entries[request]; found {
		e.trialPending = e.Trials > 0 && t.stateOf(e) == Blocked
	}
}

func (t *Tracker) getOrCreate(now structs.Instant, request poisonrecords.Record) *entry {
	e, found := t.entries[request.Fingerprint]
	if !found {
		t.evictIfFull()
		e = &entry{Record: poisonrecords.Record{Fingerprint: request.Fingerprint, Service: request.Service, Route: request.Route, Tenant: request.Tenant, Part: request.Part}, changedAt: now}
		t.entries[request.Fingerprint] = e
	}
	return e
}

// updateDerivedFields updates the fields that depend on the entry's incarnations.
func (t *Tracker) updateDerivedFields(now structs.Instant, e *entry) {
	t.summaryStale = true
	e.shared = e.shared || e.IsPersistent || len(e.Incarnations) >= minSharedIncarnations
	switch {
	case t.stateOf(e) != Blocked:
		e.nextTrialAt = 0
	case e.nextTrialAt == 0:
		e.IsPersistent, e.nextTrialAt = true, now+t.policy.FirstTrialDelay
	}
}

// Merge merges records from another node or the store, and returns the requests that became
// blocked by it.
func (t *Tracker) Merge(now structs.Instant, records []poisonrecords.Record) []poisonrecords.Record {
	var blocked []poisonrecords.Record
	for i := range records {
		if !t.accepts(&records[i]) {
			continue
		}
		e := t.getOrCreate(now, records[i])
		before := t.stateOf(e)
		if e.Generation > records[i].Generation && !e.shared {
			e.shared, t.summaryStale = true, true // the sender does not know that the request was cleared
		}
		if !e.Record.Merge(&records[i]) {
			continue
		}
		e.changedAt = now - min(time.Duration(records[i].Age)*time.Millisecond, recordRetention)
		e.lastCrashAt, e.shared = now, true
		t.updateDerivedFields(now, e)
		if before != Blocked && t.stateOf(e) == Blocked {
			blocked = append(blocked, e.copy())
		}
	}
	return blocked
}

// accepts reports whether the received record is to be merged. Others may write to the store, so invalid ones are ignored.
// Unknown records that are about to
// expire are ignored: otherwise nodes would keep restoring them from each other.
func (t *Tracker) accepts(record *poisonrecords.Record) bool {
	if record.Fingerprint.IsZero() || t.policy.CrashThreshold <= 0 || !record.IsValid() {
		return false
	}
	if _, found := t.entries[record.Fingerprint]; found || record.IsPersistent && len(record.Incarnations) >= t.policy.CrashThreshold {
		return true
	}
	return time.Duration(record.Age)*time.Millisecond < recordRetention-maxExpirySkew
}

// Get returns a copy of the request's record.
func (t *Tracker) Get(request fingerprint.Fingerprint) (poisonrecords.Record, bool) {
	e, found := t.entries[request]
	if !found {
		return poisonrecords.Record{}, false
	}
	return e.copy(), true
}

// Recent returns a copy of the request's record if it has a crash that was recorded within
// recentCrashAge, and nil otherwise. Assignment requests carry it, because the previous scheduling
// node may have failed before it shared the record.
func (t *Tracker) Recent(now structs.Instant, request fingerprint.Fingerprint) *poisonrecords.Record {
	e, found := t.entries[request]
	if !found || len(e.Incarnations) == 0 || now-e.lastCrashAt > recentCrashAge {
		return nil
	}
	record := e.copy()
	return &record
}

// copy returns the record with its own slice of incarnations.
func (e *entry) copy() poisonrecords.Record {
	record := e.Record
	record.Incarnations = slices.Clone(record.Incarnations)
	return record
}

// Shared returns the records to send to other nodes.
func (t *Tracker) Shared(now structs.Instant) []poisonrecords.Record {
	return t.selectRecords(now, func(e *entry) bool { return e.shared })
}

// Persistent returns the records to write to the store. If there are more than
// maxPersistentRecords, it returns those that changed last.
func (t *Tracker) Persistent(now structs.Instant) []poisonrecords.Record {
	persistent := t.selectRecords(now, func(e *entry) bool { return e.IsPersistent })
	if len(persistent) <= maxPersistentRecords {
		return persistent
	}
	slices.SortStableFunc(persistent, func(a, b poisonrecords.Record) int { return cmp.Compare(a.Age, b.Age) })
	return persistent[:maxPersistentRecords]
}

// Blocked returns the records of the blocked requests.
func (t *Tracker) Blocked(now structs.Instant) []poisonrecords.Record {
	return t.selectRecords(now, func(e *entry) bool { return t.stateOf(e) == Blocked })
}

// selectRecords returns copies of the matching records, ordered by fingerprint.
func (t *Tracker) selectRecords(now structs.Instant, matches func(*entry) bool) []poisonrecords.Record {
	var selected []poisonrecords.Record
	for _, e := range t.entries {
		if !matches(e) {
			continue
		}
		record := e.copy()
		record.Age = (now - e.changedAt).Milliseconds()
		selected = append(selected, record)
	}
	slices.SortFunc(selected, func(a, b poisonrecords.Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return selected
}

// Summary returns the summary of the records that Shared returns.
func (t *Tracker) Summary() poisonrecords.Summary {
	if t.summaryStale {
		t.summaryStale, t.summary = false, poisonrecords.Summary{}
		for _, e := range t.entries {
			if e.shared {
				t.summary.Add(&e.Record)
			}
		}
	}
	return t.summary
}

// Sweep removes suspects and cleared records that have not changed within recordRetention. Records
// of blocked requests don't expire.
func (t *Tracker) Sweep(now structs.Instant) {
	for request, e := range t.entries {
		if t.stateOf(e) != Blocked && now-e.changedAt > recordRetention {
			delete(t.entries, request)
			t.summaryStale = true
		}
	}
}

// evictIfFull removes one record if there are maxRecords: the one that has not changed for the
// longest time, persistent ones only if there are no others.
func (t *Tracker) evictIfFull() {
	if len(t.entries) < maxRecords {
		return
	}
	var victim *entry
	for _, e := range t.entries {
		if victim == nil || evictsFirst(e, victim) {
			victim = e
		}
	}
	delete(t.entries, victim.Fingerprint)
	t.summaryStale = true
}

// evictsFirst reports whether e is evicted before other.
func evictsFirst(e, other *entry) bool {
	if e.IsPersistent != other.IsPersistent {
		return other.IsPersistent
	}
	return e.changedAt < other.changedAt
}
