package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/state/fingerprint"
	"github.com/thornwalk/thornwalk/state/poisonrecords"
	"github.com/thornwalk/thornwalk/structs"
)

const (
	// maxProvenParts bounds the parts that are remembered as harmless, of about 150 bytes each; those that were
	// answered longest ago are forgotten.
	maxProvenParts = 8192
	// minStrikeGap is the time between two crashes that count against a proven part: a crash of many replicas at
	// once counts once.
	minStrikeGap = 250 * time.Millisecond
)

// Part is a shared part of a prompt: its key, and its ID for operators.
type Part struct {
	Key fingerprint.Fingerprint `msgpack:"k"`
	ID  string                  `msgpack:"i"`
}

// provenPart is a part with which a replica wrote an answer.
type provenPart struct {
	// strikes are the incarnations that crashed since, under requests whose parts were all proven.
	strikes      []poisonrecords.Incarnation
	lastStrikeAt structs.Instant
}

// partHistory decides which parts of a request's prompt are blamed for a crash. It is one node's own and is not
// exchanged: a node that knows less blames more parts.
type partHistory struct {
	proven *simplelru.LRU[fingerprint.Fingerprint, *provenPart]
}

func newPartHistory() *partHistory {
	proven, _ := simplelru.NewLRU[fingerprint.Fingerprint, *provenPart](maxProvenParts, nil) // fails only for a size below 1
	return &partHistory{proven: proven}
}

// recordAnswer records that a replica wrote an answer to a prompt with the part.
func (h *partHistory) recordAnswer(part fingerprint.Fingerprint) {
	if known, found := h.proven.Get(part); found {
		known.strikes = nil
		return
	}
	h.proven.Add(part, &provenPart{})
}

// blame returns the parts that are blamed for a crash, each with the incarnations that count against it. These
// are the parts that no replica has answered yet. If there are none, each part gets a strike, and is no longer
// proven after as many as the threshold.
func (h *partHistory) blame(now structs.Instant, parts []Part, incarnation poisonrecords.Incarnation, threshold int) map[fingerprint.Fingerprint][]poisonrecords.Incarnation {
	blamed := map[fingerprint.Fingerprint][]poisonrecords.Incarnation{}
	for _, part := range parts {
		if !h.proven.Contains(part.Key) {
			blamed[part.Key] = []poisonrecords.Incarnation{incarnation}
		}
	}
	if len(blamed) > 0 {
		return blamed
	}
	for _, part := range parts {
		known, _ := h.proven.Peek(part.Key)
		if slices.Contains(known.strikes, incarnation) || len(known.strikes) > 0 && now-known.lastStrikeAt < minStrikeGap {
			continue
		}
		known.strikes, known.lastStrikeAt = append(known.strikes, incarnation), now
		if len(known.strikes) >= threshold {
			blamed[part.Key] = known.strikes
			h.proven.Remove(part.Key)
		}
	}
	return blamed
}

// PartChange is a change of the state of a part.
type PartChange struct {
	Key   fingerprint.Fingerprint
	State State
}

// RecordPartCrash records that the incarnation crashed under a request with the parts before it had written an
// answer; request names the service, route and tenant. It returns the changes. A crash under a request with a
// blocked part is that part's; otherwise see partHistory.blame.
func (t *Tracker) RecordPartCrash(now structs.Instant, request poisonrecords.Record, parts []Part, incarnation poisonrecords.Incarnation, assignedAt structs.Instant) []PartChange {
	if t.policy.CrashThreshold <= 0 {
		return nil
	}
	suspects := parts
	isBlocked := func(part Part) bool {
		e, found := t.entries[part.Key]
		return found && t.stateOf(e) == Blocked
	}
	if slices.ContainsFunc(parts, isBlocked) {
		suspects = slices.DeleteFunc(slices.Clone(parts), func(part Part) bool { return !isBlocked(part) })
	}
	blamed := t.parts.blame(now, suspects, incarnation, t.policy.CrashThreshold)
	var changes []PartChange
	for _, part := range suspects {
		changed := false
		record := poisonrecords.Record{Fingerprint: part.Key, Service: request.Service, Route: request.Route, Tenant: request.Tenant, Part: part.ID}
		var state State
		for _, counted := range blamed[part.Key] {
			var isNew bool
			state, isNew = t.RecordCrash(now, record, counted, assignedAt)
			changed = changed || isNew
		}
		if changed {
			changes = append(changes, PartChange{Key: part.Key, State: state})
		}
	}
	return changes
}

// RecordPartAnswer records that a replica wrote an answer to a prompt with the parts, which clears them. It
// returns the keys of those that were suspect or blocked.
func (t *Tracker) RecordPartAnswer(now structs.Instant, parts []fingerprint.Fingerprint) []fingerprint.Fingerprint {
	var cleared []fingerprint.Fingerprint
	for _, part := range parts {
		t.parts.recordAnswer(part)
		if t.RecordSuccess(now, part) {
			cleared = append(cleared, part)
		}
	}
	return cleared
}
