// Package gossip selects the items that a node broadcasts by gossip: each node
// retransmits a new item a limited number of times and then drops it, so that the
// load of a node is bounded. The callers choose the peers and send the messages.
package gossip

import (
	"math/bits"
	"sort"
)

// Retransmit factors: a node sends an item the factor times the binary logarithm
// of the zone's size, and at least minTransmits times. RetransmitReliable reaches
// every node with high probability and suits items that are announced once;
// RetransmitMinimal suits values that newer ones replace soon.
const (
	RetransmitReliable = 4
	RetransmitMinimal  = 0
)

// minTransmits is the minimum number of times that a node sends an item.
const minTransmits = 2

type item[Key comparable, Value any] struct {
	key       Key
	value     Value
	transmits int
	sequence  uint64
}

// BroadcastQueue holds the items that a node still has to send, at most one per key.
// It is not safe for concurrent use.
type BroadcastQueue[Key comparable, Value any] struct {
	items            map[Key]*item[Key, Value]
	maxItems         int
	retransmitFactor int
	lastSequence     uint64
}

// NewBroadcastQueue returns a queue of at most maxItems items; when it is full, the
// item sent most often is dropped. The retransmitFactor is RetransmitReliable or
// RetransmitMinimal.
func NewBroadcastQueue[Key comparable, Value any](maxItems, retransmitFactor int) *BroadcastQueue[Key, Value] {
	return &BroadcastQueue[Key, Value]{items: map[Key]*item[Key, Value]{}, maxItems: maxItems, retransmitFactor: retransmitFactor}
}

// Put queues a value for the key. It replaces an earlier value and resets its
// transmit count.
func (q *BroadcastQueue[Key, Value]) Put(key Key, value Value) {
	q.lastSequence++
	q.items[key] = &item[Key, Value]{key: key, value: value, sequence: q.lastSequence}
	if len(q.items) > q.maxItems {
		sorted := q.sortedItems()
		delete(q.items, sorted[len(sorted)-1].key)
	}
}

// Take returns up to maxCount values for one message, those sent least often first
// and newer ones before older, and counts them as sent. The zoneSize is the number
// of nodes in the zone.
func (q *BroadcastQueue[Key, Value]) Take(maxCount, zoneSize int) []Value {
	if len(q.items) == 0 || maxCount <= 0 {
		return nil
	}
	sorted := q.sortedItems()
	sorted = sorted[:min(maxCount, len(sorted))]
	values := make([]Value, len(sorted))
	for i, entry := range sorted {
		values[i] = entry.value
		entry.transmits++
		if entry.transmits >= max(minTransmits, q.retransmitFactor*bits.Len(uint(zoneSize))) {
			delete(q.items, entry.key)
		}
	}
	return values
}

func (q *BroadcastQueue[Key, Value]) sortedItems() []*item[Key, Value] {
	sorted := make([]*item[Key, Value], 0, len(q.items))
	for _, entry := range q.items {
		sorted = append(sorted, entry)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].transmits != sorted[j].transmits {
			return sorted[i].transmits < sorted[j].transmits
		}
		return sorted[i].sequence > sorted[j].sequence
	})
	return sorted
}
