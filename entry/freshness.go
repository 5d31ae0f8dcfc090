package entry

import (
	"time"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// A few nodes follow the store for all. Whoever these are is decided by each node
// from what it hears, so that for a while nobody may feel called, or only nodes
// that the store turns away. So heartbeats carry the age of the latest complete
// read, and a node whose knowledge grew old reads by itself.
const (
	// readInterval is the time between complete reads by the first nodes in
	// rendezvous order: watches may fall silent without failing.
	readers      = 1
	readInterval = 900 * time.Millisecond
	// staleAfter is the age of the latest read after which any node reads, and
	// staleStep what each place in the order waits longer, up to staleSteps.
	staleAfter = 1300 * time.Millisecond
	staleStep  = 40 * time.Millisecond
	staleSteps = 12
	// readCheck is the time between looks at whether a read is due.
	readCheck = 100 * time.Millisecond
)

// freshness is when the newest complete read of the store that this node knows
// the result of began.
type freshness struct {
	at    structs.Instant
	known bool
}

func (f *freshness) note(at structs.Instant) {
	if !f.known || at > f.at {
		f.at, f.known = at, true
	}
}

// age returns the age in milliseconds, or -1 if there was no read.
func (f *freshness) age(now structs.Instant) int64 {
	if !f.known {
		return -1
	}
	return (now - f.at).Milliseconds()
}

// noteFreshness takes over how fresh a peer's knowledge is, if this node knows no
// less than the peer. The caller holds the mutex.
func (n *Node) noteFreshness(now structs.Instant, beat liveness.Beat) {
	current := n.catalog.Load()
	if beat.Unread < 0 || beat.Latest > n.table.Latest() || current == nil || beat.Version > current.Version {
		return
	}
	n.fresh.note(now - time.Duration(beat.Unread)*time.Millisecond)
}

// readDue returns whether this node should read the store now, given when it last
// did. The caller holds the mutex.
func (n *Node) readDue(now, last structs.Instant) bool {
	if n.storeDown || now-last < readInterval {
		return false // the watch loop tries again by itself
	}
	if n.rank < readers {
		return true
	}
	return n.fresh.known && now-n.fresh.at > staleAfter+time.Duration(min(n.rank, staleSteps))*staleStep
}

// readLoop reads the store whenever that is due.
func (n *Node) readLoop() {
	last := n.now()
	for n.pause(readCheck) {
		n.mutex.Lock()
		now := n.now()
		due, stale := n.readDue(now, last), n.rank >= readers
		age := n.fresh.age(now)
		n.mutex.Unlock()
		if !due {
			continue
		}
		last = now
		_, err := n.readAll()
		if err != nil {
			n.storeFailed(err)
		}
		if stale {
			n.counter("store.stale_reads").Inc(1)
			n.log.Write(eventlog.Event{Kind: "store", Outcome: "read", Reason: "knowledge-old", Age: age})
		}
	}
}
