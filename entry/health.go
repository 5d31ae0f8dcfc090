package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// Bounds of what a node concludes from failures of a replica.
const (
	firstBackoff = 400 * time.Millisecond
	longBackoff  = 3 * time.Second
)

// replicaHealth is what one node saw of one replica.
type replicaHealth struct {
	// failures in a row; until is when it may be tried again.
	failures int
	until    structs.Instant
}

// healthBook is a node's own view of which replicas fail. It is guarded by the
// node's mutex.
type healthBook struct {
	replicas map[string]*replicaHealth
}

func newHealthBook() *healthBook { return &healthBook{replicas: map[string]*replicaHealth{}} }

func (b *healthBook) get(id string) *replicaHealth {
	held, found := b.replicas[id]
	if !found {
		held = &replicaHealth{}
		b.replicas[id] = held
	}
	return held
}

// unreachable records that the replica could not be reached or fell silent.
func (b *healthBook) unreachable(now structs.Instant, id string) {
	held := b.get(id)
	held.failures++
	backoff := firstBackoff << min(held.failures-1, 5)
	held.until = now + min(backoff, longBackoff)
}

// answered records a whole answer. Whether it was a failure of the replica's own
// is for the scheduling node to judge, which sees all replicas: some services
// fail one request in five wherever it goes.
func (b *healthBook) answered(id string) { b.get(id).failures = 0 }

// broken records an answer that was cut or spoiled.
func (b *healthBook) broken(now structs.Instant, id string) {
	held := b.get(id)
	if held.failures++; held.failures > 1 {
		held.until = now + firstBackoff
	}
}

// renew drops what is known of a replica that started again under its id.
func (b *healthBook) renew(id string) { delete(b.replicas, id) }

// failing returns the replicas that should not be tried now.
func (b *healthBook) failing(now structs.Instant) []string {
	var ids []string
	for id, held := range b.replicas {
		if now < held.until {
			ids = append(ids, id)
		}
	}
	return ids
}

// forget drops replicas that are no longer known.
func (b *healthBook) forget(known func(id string) bool) {
	for id := range b.replicas {
		if !known(id) {
			delete(b.replicas, id)
		}
	}
}
