// Package gossip spreads small items among the nodes of a zone at a rate that
// does not grow with the zone: each node passes a new item on a limited number
// of times, to random peers, and forgets it.
package gossip

import (
	"math/bits"
	"sort"
)

// Factors of how often a node passes an item on, times the logarithm of the
// zone's size. RetransmitReliable reaches every node with high probability, for news
// that is told once. RetransmitMinimal passes an item on a few times only, for values
// that are soon replaced by newer ones.
const (
	RetransmitReliable = 4
	RetransmitMinimal  = 0
)

// onceSends is how often a node passes an item on under RetransmitMinimal.
const onceSends = 2

// item is something to pass on.
type item[Key comparable, Value any] struct {
	key   Key
	value Value
	sent  int
	order uint64
}

// BroadcastQueue holds the items that a node still passes on, at most one for a key.
// It is not safe for concurrent use.
type BroadcastQueue[Key comparable, Value any] struct {
	items   map[Key]*item[Key, Value]
	limit   int
	factor  int
	counter uint64
}

// NewBroadcastQueue returns a queue that keeps at most limit items; of more, those that
// were passed on most often are dropped first. The factor is RetransmitReliable or
// RetransmitMinimal.
func NewBroadcastQueue[Key comparable, Value any](limit, factor int) *BroadcastQueue[Key, Value] {
	return &BroadcastQueue[Key, Value]{items: map[Key]*item[Key, Value]{}, limit: limit, factor: factor}
}

// Put enters a new value for the key, to be passed on afresh.
func (q *BroadcastQueue[Key, Value]) Put(key Key, value Value) {
	q.counter++
	q.items[key] = &item[Key, Value]{key: key, value: value, order: q.counter}
	if len(q.items) > q.limit {
		sorted := q.sorted()
		delete(q.items, sorted[len(sorted)-1].key)
	}
}

// Take returns up to count values, those passed on least often first, for one
// message in a zone of the given size.
func (q *BroadcastQueue[Key, Value]) Take(count, members int) []Value {
	if len(q.items) == 0 || count <= 0 {
		return nil
	}
	sorted := q.sorted()
	sorted = sorted[:min(count, len(sorted))]
	values := make([]Value, len(sorted))
	for i, entry := range sorted {
		values[i] = entry.value
		entry.sent++
		if entry.sent >= max(onceSends, q.factor*bits.Len(uint(members))) {
			delete(q.items, entry.key)
		}
	}
	return values
}

func (q *BroadcastQueue[Key, Value]) sorted() []*item[Key, Value] {
	sorted := make([]*item[Key, Value], 0, len(q.items))
	for _, entry := range q.items {
		sorted = append(sorted, entry)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].sent != sorted[j].sent {
			return sorted[i].sent < sorted[j].sent
		}
		return sorted[i].order > sorted[j].order
	})
	return sorted
}
