package streamorigins

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/structs"
)

// Retention is how long an origin is kept after it was last recorded. It is longer than callers take to come
// back to a stream that was broken off.
const Retention = time.Minute

// RefreshInterval is how often a stream that goes on is recorded again, so that its origin is kept.
const RefreshInterval = Retention / 3

// Knowledge is what is known of a stream's origin.
type Knowledge uint8

const (
	// Unknown means that there is no record.
	Unknown Knowledge = iota
	// Known means that all records agree. The version is that of those that state one.
	Known
	// Ambiguous means that two records differ: two requests had the same ID.
	Ambiguous
)

// String returns the name of the state in logs and metrics.
func (k Knowledge) String() string {
	switch k {
	case Unknown:
		return "unknown"
	case Known:
		return "known"
	}
	return "ambiguous"
}

type entry struct {
	finding    Finding
	content    Key
	recordedAt structs.Instant
}

// Registry holds the origins of recent streams, up to a capacity. If it is full, the origin that was recorded
// longest ago is dropped. It is not safe for concurrent use.
type Registry struct {
	entries *simplelru.LRU[Key, entry]
	// byContent has the keys of the streams with each content.
	byContent map[Key]map[Key]struct{}
	dropped   int64
}

// NewRegistry returns an empty registry. The capacity is at least 1.
func NewRegistry(capacity int) *Registry {
	r := &Registry{byContent: map[Key]map[Key]struct{}{}}
	r.entries, _ = simplelru.NewLRU(max(capacity, 1), r.forgetContent) // fails only for a capacity below 1
	return r
}

// Put joins the record with what is known of the stream's origin. It reports whether the stream was unknown before.
func (r *Registry) Put(now structs.Instant, record Record) bool {
	r.expire(now)
	before, found := r.entries.Peek(record.Key)
	after := entry{finding: before.finding.Join(findingOf(record.Origin)), content: before.content, recordedAt: now}
	if after.content.IsZero() && !record.Content.IsZero() {
		after.content = record.Content
		r.addContent(record)
	}
	if r.entries.Add(record.Key, after) {
		r.dropped++
	}
	return !found
}

func (r *Registry) addContent(record Record) {
	keys := r.byContent[record.Content]
	if keys == nil {
		keys = map[Key]struct{}{}
		r.byContent[record.Content] = keys
	}
	keys[record.Key] = struct{}{}
}

// forgetContent removes an entry that is dropped from the streams with its content.
func (r *Registry) forgetContent(key Key, dropped entry) {
	keys := r.byContent[dropped.content]
	delete(keys, key)
	if len(keys) == 0 {
		delete(r.byContent, dropped.content)
	}
}

// Get returns the origin of the stream, which is valid only if it is known.
func (r *Registry) Get(now structs.Instant, key Key) (Origin, Knowledge) {
	r.expire(now)
	found, _ := r.entries.Peek(key)
	return found.finding.Origin, found.finding.Knowledge
}

// GetByContent returns what is known of the streams with the content, any of which may be meant.
func (r *Registry) GetByContent(now structs.Instant, content Key) Finding {
	r.expire(now)
	var all Finding
	for key := range r.byContent[content] {
		found, _ := r.entries.Peek(key)
		if all = all.Either(found.finding); all.Knowledge == Ambiguous {
			break
		}
	}
	return all
}

// Count returns the number of streams.
func (r *Registry) Count() int { return r.entries.Len() }

// Dropped returns how many origins were dropped before their retention ended.
func (r *Registry) Dropped() int64 { return r.dropped }

// expire removes what was recorded longer than Retention ago. Entries are in the order of their recording.
func (r *Registry) expire(now structs.Instant) {
	for {
		_, oldest, found := r.entries.GetOldest()
		if !found || now-oldest.recordedAt <= Retention {
			return
		}
		r.entries.RemoveOldest()
	}
}
