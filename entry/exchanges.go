package entry

import (
	"sync"

	"github.com/thornwalk/thornwalk/state/replicas"
	"github.com/thornwalk/thornwalk/structs"
	"github.com/thornwalk/thornwalk/transport/replicahttp"
)

// exchanges are the exchanges with replicas in progress over direct connections. If bytes arrive from none
// of them, the path may be at fault. It is safe for concurrent use.
type exchanges struct {
	clock func() structs.Instant
	mutex sync.Mutex
	// startedAt has the start of each exchange in progress.
	startedAt map[*replicahttp.Conn]exchange
	// receivedAt is when bytes last arrived in any of them.
	receivedAt structs.Instant
}

type exchange struct {
	replica   replicas.Replica
	startedAt structs.Instant
}

func newExchanges(clock func() structs.Instant) *exchanges {
	return &exchanges{clock: clock, startedAt: map[*replicahttp.Conn]exchange{}}
}

// begin records the start of an exchange, unless its connection is forwarded. The returned function records
// its end.
func (e *exchanges) begin(conn *replicahttp.Conn, replica replicas.Replica) (end func()) {
	if conn.Forwarder != "" {
		return func() {}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.startedAt[conn] = exchange{replica: replica, startedAt: e.clock()}
	return func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.startedAt, conn)
	}
}

// recordReceived records that bytes arrived from a replica.
func (e *exchanges) recordReceived() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.receivedAt = e.clock()
}

// silentReplica returns the replica of the exchange that has waited longest, and whether no bytes arrived
// from any replica for maxPathSilence of that time.
func (e *exchanges) silentReplica() (replicas.Replica, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	oldest := exchange{startedAt: e.clock()}
	for _, waiting := range e.startedAt {
		if waiting.startedAt < oldest.startedAt {
			oldest = waiting
		}
	}
	silentSince := max(oldest.startedAt, e.receivedAt)
	return oldest.replica, e.clock()-silentSince >= maxPathSilence
}
