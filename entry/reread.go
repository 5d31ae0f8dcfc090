package entry

import (
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// rereadReason is why a complete read of the store was requested.
type rereadReason string

const (
	rereadNewEra             rereadReason = "new-era"
	rereadRestoreWindowEnded rereadReason = "restore-window-ended"
	rereadStoreFailed        rereadReason = "store-failed"
)

// maxPendingRereads bounds the requests that are kept one by one. A node that does not watch the
// store may go without a complete read for any time.
const maxPendingRereads = 8

// rereadRequest is a request for a complete read of the store.
type rereadRequest struct {
	// number is the sequence number of the request, or of the latest one if it stands for several.
	number      uint64
	reason      rereadReason
	requestedAt structs.Instant
	// count is the number of requests that it stands for.
	count int
}

// rereads tracks requests for a complete read of the store until a read that started after the
// request is applied. It only observes: it does not cause reads.
type rereads struct {
	// isWatching is true while a watch is in progress.
	isWatching bool
	// last is the sequence number of the latest request.
	last uint64
	// pending are the requests without such a read, oldest first.
	pending []rereadRequest
}

// add adds a request. Beyond maxPendingRereads, it is merged into the latest pending one.
func (r *rereads) add(now structs.Instant, reason rereadReason) {
	r.last++
	if len(r.pending) < maxPendingRereads {
		r.pending = append(r.pending, rereadRequest{number: r.last, reason: reason, requestedAt: now, count: 1})
		return
	}
	latest := &r.pending[len(r.pending)-1]
	latest.number = r.last
	latest.count++
}

// complete removes and returns the requests that a complete read answers, given the sequence number
// of the latest request at its start. Instants can't tell which came first: a read may start in
// the instant of a request.
func (r *rereads) complete(lastAtStart uint64) []rereadRequest {
	answered := 0
	for answered < len(r.pending) && r.pending[answered].number <= lastAtStart {
		answered++
	}
	completed := r.pending[:answered:answered]
	r.pending = r.pending[answered:]
	return completed
}

// RereadStatus describes the requests for a complete read of the store that no read has answered.
type RereadStatus struct {
	// Reason and AgeMS are those of the oldest request, Count is the number of requests.
	Reason string `json:"reason"`
	AgeMS  int64  `json:"age_ms"`
	Count  int    `json:"count"`
}

// status returns the pending requests, or nil if there are none.
func (r *rereads) status(now structs.Instant) *RereadStatus {
	if len(r.pending) == 0 {
		return nil
	}
	status := &RereadStatus{Reason: string(r.pending[0].reason), AgeMS: (now - r.pending[0].requestedAt).Milliseconds()}
	for _, request := range r.pending {
		status.Count += request.count
	}
	return status
}

// recordRereadRequest records that a complete read was requested. The caller holds the mutex.
func (n *Node) recordRereadRequest(reason rereadReason) {
	n.rereads.add(n.now(), reason)
	n.counter("store.rereads").Inc(1)
	detail := "no watch in progress"
	if n.rereads.isWatching {
		detail = "watch in progress"
	}
	n.log.Write(eventlog.Event{Kind: "store.reread", Outcome: "requested", Reason: string(reason), Era: n.era.current, Detail: detail})
}

// recordRereads records that a complete read was applied, given its position and the sequence
// number of the latest request at its start. The caller holds the mutex.
func (n *Node) recordRereads(lastAtStart uint64, position structs.StorePosition) {
	now := n.now()
	for _, request := range n.rereads.complete(lastAtStart) {
		delay := now - request.requestedAt
		for range request.count {
			n.recordDuration("store_reread_ms", delay)
		}
		n.log.Write(eventlog.Event{
			Kind: "store.reread", Outcome: "done", Reason: string(request.reason), Count: request.count,
			Era: position.Era(), Revision: position.Revision(), AgeMS: delay.Milliseconds(),
		})
	}
}
