// Package poisonrecords holds the records of requests under which replicas crashed, as nodes exchange
// and store them. It does not decide which requests are blocked: coordination/poison does.
package poisonrecords

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/thornwalk/thornwalk/state/fingerprint"
)

// Incarnation identifies one run of a replica between start and end.
type Incarnation string

// IncarnationOf returns the incarnation of the replica that started at startedAt, in Unix milliseconds;
// zero if the replica reports no start.
func IncarnationOf(replica string, startedAt int64) Incarnation {
	return Incarnation(replica + "/" + strconv.FormatInt(startedAt, 36))
}

const (
	// MaxIncarnations bounds the incarnations in a record, and thereby the crash threshold that can
	// block a request.
	MaxIncarnations = 8
	// MaxTrials bounds the trials of a blocked request.
	MaxTrials = 2
	// maxGeneration leaves room for clears: a record whose generation overflows could not be cleared any more.
	maxGeneration = 1 << 31
	// maxRecordedTrials is far above MaxTrials, which nodes may exceed by trials that cross each other.
	maxRecordedTrials = 1 << 10
	// maxTextBytes bounds each text of a record. The longest are IDs from the head of a request, which has as many bytes.
	maxTextBytes = 16 << 10
)

// Record is the crash history of one request, or of all requests of a tenant with one part in their prompts. Of two records of a request, the one with the higher
// generation replaces the other; records of the same generation are merged.
type Record struct {
	Fingerprint fingerprint.Fingerprint `msgpack:"c" json:"content"`
	Service     string                  `msgpack:"s" json:"service"`
	Route       string                  `msgpack:"r" json:"route"`
	// Part is the ID of a part of prompts, and Tenant the tenant whose prompts have it. Both are empty in the
	// record of a whole request.
	Part   string `msgpack:"p,omitempty" json:"part,omitempty"`
	Tenant string `msgpack:"n,omitempty" json:"tenant,omitempty"`
	// Generation is the number of times the record was cleared.
	Generation uint32 `msgpack:"g" json:"generation"`
	// Incarnations are those that crashed under the request in this generation, sorted.
	Incarnations []Incarnation `msgpack:"l" json:"lives,omitempty"`
	// Trials is the number of times the request was sent while it was blocked, in this generation.
	Trials int `msgpack:"t" json:"trials,omitempty"`
	// IsPersistent is true if the request was blocked in this generation or an earlier one. Nodes and
	// the store keep such a record, also after it was cleared.
	IsPersistent bool `msgpack:"k" json:"kept,omitempty"`
	// Age is the time since the last change in milliseconds, as of when the record was sent.
	Age int64 `msgpack:"a" json:"-"`
}

// IsValid reports whether a record that was received can have been written by a node.
func (r *Record) IsValid() bool {
	isLong := func(text string) bool { return len(text) > maxTextBytes }
	return r.Generation <= maxGeneration && r.Trials >= 0 && r.Trials <= maxRecordedTrials && len(r.Incarnations) <= MaxIncarnations &&
		!slices.ContainsFunc([]string{r.Service, r.Route, r.Part, r.Tenant}, isLong) &&
		!slices.ContainsFunc(r.Incarnations, func(incarnation Incarnation) bool { return isLong(string(incarnation)) })
}

// Merge merges another record of the same request, and reports whether r changed.
func (r *Record) Merge(other *Record) bool {
	switch {
	case other.Generation < r.Generation:
		return false
	case other.Generation > r.Generation:
		r.Generation, r.Trials, r.Incarnations = other.Generation, other.Trials, slices.Clone(other.Incarnations)
		r.IsPersistent = r.IsPersistent || other.IsPersistent
		r.addNames(other)
		return true
	}
	r.addNames(other)
	changed := other.Trials > r.Trials || other.IsPersistent && !r.IsPersistent
	r.Trials, r.IsPersistent = max(r.Trials, other.Trials), r.IsPersistent || other.IsPersistent
	for _, incarnation := range other.Incarnations {
		changed = r.Add(incarnation) || changed
	}
	return changed
}

// addNames adds the names that r lacks: nodes of earlier releases drop some of them.
func (r *Record) addNames(other *Record) {
	r.Service, r.Route = cmp.Or(r.Service, other.Service), cmp.Or(r.Route, other.Route)
	r.Part, r.Tenant = cmp.Or(r.Part, other.Part), cmp.Or(r.Tenant, other.Tenant)
}

// Add adds the incarnation, and reports whether the record changed. Above MaxIncarnations it keeps the
// first in sort order, so that all nodes keep the same ones.
func (r *Record) Add(incarnation Incarnation) bool {
	index, found := slices.BinarySearch(r.Incarnations, incarnation)
	if found || index >= MaxIncarnations {
		return false
	}
	r.Incarnations = slices.Insert(r.Incarnations, index, incarnation)
	r.Incarnations = r.Incarnations[:min(len(r.Incarnations), MaxIncarnations)]
	return true
}

// Clear removes the incarnations and trials and starts a new generation.
func (r *Record) Clear() {
	r.Generation++
	r.Incarnations, r.Trials = nil, 0
}

// ChangeCount returns a count that rises with each change and never falls. It stays the same only
// when Add replaces an incarnation of a full record; Digest differs then.
func (r *Record) ChangeCount() int64 {
	count := int64(r.Generation)*(2*MaxIncarnations+MaxTrials+1) + int64(len(r.Incarnations)) + int64(r.Trials)
	if r.IsPersistent {
		count++
	}
	return count
}

// Digest returns a hash of the record without Service, Route and Age.
func (r *Record) Digest() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(r.Fingerprint[:]) // a hash never returns an error
	_, _ = hash.Write(strconv.AppendInt(nil, r.ChangeCount(), 36))
	for _, incarnation := range r.Incarnations {
		_, _ = hash.Write([]byte(incarnation))
	}
	return hash.Sum64()
}

// Summary compares the records of two nodes without sending them. The node with the lower ChangeCount
// is behind; with equal counts, different digests mean different records.
type Summary struct {
	// ChangeCount is the sum of the records' change counts.
	ChangeCount int64
	// Digest is the XOR of the records' digests.
	Digest uint64
}

// SummaryOf returns the summary of the records, whose order does not matter.
func SummaryOf(records []Record) Summary {
	var summary Summary
	for i := range records {
		summary.Add(&records[i])
	}
	return summary
}

// Add includes the record in the summary.
func (s *Summary) Add(record *Record) {
	s.ChangeCount += record.ChangeCount()
	s.Digest ^= record.Digest()
}
