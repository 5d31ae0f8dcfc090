// Package poisonrecords has what is known of requests under which replicas ended: the records that
// nodes tell each other and keep in the store. How they are judged is up to coordination/poison.
package poisonrecords

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/thornwalk/thornwalk/state/fingerprint"
)

// Incarnation names one start of a replica.
type Incarnation string

// IncarnationOf names the start of the replica that tells when it was born, in Unix milliseconds;
// zero if it tells none.
func IncarnationOf(replica string, born int64) Incarnation {
	return Incarnation(replica + "/" + strconv.FormatInt(born, 36))
}

const (
	// MaxIncarnations bounds the lives that are remembered of one request: the largest number of
	// them after which it may be barred.
	MaxIncarnations = 8
	// MaxTrials is how often a barred request is sent all the same.
	MaxTrials = 2
)

// Record is what is known of one request. Of two records of a request the one of the later
// generation holds; of one generation, both together do.
type Record struct {
	Fingerprint fingerprint.Fingerprint `msgpack:"c" json:"content"`
	Service     string                  `msgpack:"s" json:"service"`
	Route       string                  `msgpack:"r" json:"route"`
	// Generation rises each time that the request is cleared.
	Generation uint32 `msgpack:"g" json:"generation"`
	// Incarnations are those that ended under the request in this generation, in order.
	Incarnations []Incarnation `msgpack:"l" json:"lives,omitempty"`
	// Trials counts the times that it was sent although it was barred.
	Trials int `msgpack:"t" json:"trials,omitempty"`
	// Persistent is true if it was barred in this generation or an earlier one: all nodes and the
	// store keep such a record, and that it was cleared.
	Persistent bool `msgpack:"k" json:"kept,omitempty"`
	// Age is for how long nothing was learned of it, in milliseconds, as its teller knows.
	Age int64 `msgpack:"a" json:"-"`
}

// Merge enters what another record of the request tells, and returns whether that is news.
func (r *Record) Merge(other *Record) bool {
	switch {
	case other.Generation < r.Generation:
		return false
	case other.Generation > r.Generation:
		r.Generation, r.Trials, r.Incarnations = other.Generation, other.Trials, slices.Clone(other.Incarnations)
		r.Persistent = r.Persistent || other.Persistent
		r.Service, r.Route = cmp.Or(r.Service, other.Service), cmp.Or(r.Route, other.Route)
		return true
	}
	news := other.Trials > r.Trials || other.Persistent && !r.Persistent
	r.Trials, r.Persistent = max(r.Trials, other.Trials), r.Persistent || other.Persistent
	for _, life := range other.Incarnations {
		news = r.Add(life) || news
	}
	return news
}

// Add enters the life, and returns whether it is news. Of too many the first in order stay,
// so that all nodes keep the same ones.
func (r *Record) Add(life Incarnation) bool {
	at, found := slices.BinarySearch(r.Incarnations, life)
	if found || at >= MaxIncarnations {
		return false
	}
	r.Incarnations = slices.Insert(r.Incarnations, at, life)
	r.Incarnations = r.Incarnations[:min(len(r.Incarnations), MaxIncarnations)]
	return true
}

// Clear begins a new generation.
func (r *Record) Clear() {
	r.Generation++
	r.Incarnations, r.Trials = nil, 0
}

// ChangeCount rises with each change of the record.
func (r *Record) ChangeCount() int64 {
	weight := int64(r.Generation)*(2*MaxIncarnations+MaxTrials+1) + int64(len(r.Incarnations)) + int64(r.Trials)
	if r.Persistent {
		weight++
	}
	return weight
}

// Digest differs between records that differ.
func (r *Record) Digest() uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write(r.Fingerprint[:]) // a digest takes all bytes
	_, _ = sum.Write(strconv.AppendInt(nil, r.ChangeCount(), 36))
	for _, life := range r.Incarnations {
		_, _ = sum.Write([]byte(life))
	}
	return sum.Sum64()
}

// Summary tells nodes that know the same apart from others: Weight rises with all that is
// learned, and Digest differs between records that differ.
type Summary struct {
	ChangeCount int64
	Digest      uint64
}

// SummaryOf returns that of the records.
func SummaryOf(records []Record) Summary {
	var mark Summary
	for i := range records {
		mark.Add(&records[i])
	}
	return mark
}

// Add counts the record in.
func (m *Summary) Add(record *Record) {
	m.ChangeCount += record.ChangeCount()
	m.Digest ^= record.Digest()
}
