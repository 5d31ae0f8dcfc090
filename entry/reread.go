package entry

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// rereadReason is why a complete read of the store was requested.
type rereadReason string

const (
	// rereadWatchStarted: the process started, or the node began to watch or to probe the store.
	rereadWatchStarted       rereadReason = "watch-started"
	rereadNewEra             rereadReason = "new-era"
	rereadRestoreWindowEnded rereadReason = "restore-window-ended"
	rereadStoreFailed        rereadReason = "store-failed"
	// rereadResumed: the process or machine was suspended.
	rereadResumed rereadReason = "resumed"
	// rereadHistoryGone: the store no longer has the changes after the watch's position.
	rereadHistoryGone rereadReason = "history-gone"
	// rereadHistoryLong: the changes after the watch's position are longer than an answer may be.
	rereadHistoryLong rereadReason = "history-long"
	// rereadDue: the store was watched for fullReadInterval.
	rereadDue rereadReason = "due"
)

// rereadReasons are all reasons, in the order of log lines.
var rereadReasons = []rereadReason{
	rereadWatchStarted, rereadNewEra, rereadRestoreWindowEnded, rereadStoreFailed, rereadResumed, rereadHistoryGone, rereadHistoryLong, rereadDue,
}

// rereadRequest is a request for a complete read of the store. It stands for all pending ones of its
// reason.
type rereadRequest struct {
	reason rereadReason
	// era is the known era of the latest request.
	era int64
	// requestedAt is the time of the oldest request, count the number of requests.
	requestedAt structs.Instant
	count       int
	// newCount is how many of the requests were made since the latest read began, the first of them at
	// newRequestedAt.
	newCount       int
	newRequestedAt structs.Instant
}

// split returns the requests that are answered by the latest read, if it is complete and of the era, and
// those that remain. A read answers the requests made before it began. One of a new era answers the
// request for that era whenever it began, and none of an earlier era does.
func (r rereadRequest) split(era int64) (answered, remaining rereadRequest) {
	answered, remaining = r, r
	switch {
	case r.reason == rereadNewEra && r.era <= era:
		remaining.count = 0
	case r.reason == rereadNewEra:
		answered.count = 0
	default:
		answered.count -= r.newCount
		remaining.count, remaining.requestedAt = r.newCount, r.newRequestedAt
	}
	return answered, remaining
}

// rereads holds the requests for a complete read of the store, and the watch that they end.
//
// Guarantee: a request is pending until a complete read of the watch loop answers it, and no watch begins
// while one is pending, so none is lost, whatever the watch loop does when it is made. A node that stops to
// watch drops its requests: it reads the store before it watches again.
type rereads struct {
	pending map[rereadReason]rereadRequest
	// cancelWatch ends the watch in progress; nil if there is none.
	cancelWatch context.CancelFunc
	// isWatchCanceled is true if a request ended the latest watch.
	isWatchCanceled bool
}

// request adds a request and ends the watch in progress. It reports whether there was one.
func (r *rereads) request(now structs.Instant, reason rereadReason, era int64) (wasWatching bool) {
	added, isPending := r.pending[reason]
	if !isPending {
		added = rereadRequest{reason: reason, requestedAt: now}
	}
	if added.newCount == 0 {
		added.newRequestedAt = now
	}
	added.era = era
	added.count++
	added.newCount++
	if r.pending == nil {
		r.pending = map[rereadReason]rereadRequest{}
	}
	r.pending[reason] = added
	if r.cancelWatch == nil {
		return false
	}
	r.isWatchCanceled = true
	r.cancelWatch()
	return true
}

// drop removes and returns all requests.
func (r *rereads) drop() []rereadRequest {
	var dropped []rereadRequest
	for _, reason := range rereadReasons {
		if request, found := r.pending[reason]; found {
			dropped = append(dropped, request)
		}
	}
	clear(r.pending)
	return dropped
}

// beginRead records the start of a read, which answers no request made later.
func (r *rereads) beginRead() {
	for reason, request := range r.pending {
		request.newCount = 0
		r.pending[reason] = request
	}
}

// answer removes and returns the requests that are answered by the latest read, which was complete and of
// the era.
func (r *rereads) answer(era int64) []rereadRequest {
	var allAnswered []rereadRequest
	for _, reason := range rereadReasons {
		answered, remaining := r.pending[reason].split(era)
		if answered.count > 0 {
			allAnswered = append(allAnswered, answered)
		}
		if remaining.count == 0 {
			delete(r.pending, reason)
		} else {
			r.pending[reason] = remaining
		}
	}
	return allAnswered
}

// isPending reports whether a request is pending.
func (r *rereads) isPending() bool { return len(r.pending) > 0 }

// beginWatch records the start of a watch, which cancel ends. It returns false, and records nothing, if
// a request is pending.
func (r *rereads) beginWatch(cancel context.CancelFunc) bool {
	if r.isPending() {
		return false
	}
	r.cancelWatch, r.isWatchCanceled = cancel, false
	return true
}

// endWatch records the end of the watch, and reports whether a request ended it.
func (r *rereads) endWatch() bool {
	r.cancelWatch = nil
	return r.isWatchCanceled
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
	if !r.isPending() {
		return nil
	}
	status := &RereadStatus{AgeMS: -1}
	for _, reason := range rereadReasons {
		request, found := r.pending[reason]
		if !found {
			continue
		}
		status.Count += request.count
		if age := (now - request.requestedAt).Milliseconds(); age > status.AgeMS {
			status.Reason, status.AgeMS = string(reason), age
		}
	}
	return status
}

// requestReread requests a complete read of the store by the watch loop.
func (n *Node) requestReread(reason rereadReason) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.requestRereadLocked(reason)
}

// requestRereadLocked requests a complete read of the store by the watch loop, which ends its current
// watch. The caller holds the mutex.
func (n *Node) requestRereadLocked(reason rereadReason) {
	detail := "no watch in progress"
	if n.rereads.request(n.now(), reason, n.era.current) {
		detail = "watch in progress"
	}
	n.log.Write(eventlog.Event{Kind: "store.reread", Outcome: "requested", Reason: string(reason), Era: n.era.current, Detail: detail})
}

// registerRereadMetrics registers the gauge of the age of requests.
func (n *Node) registerRereadMetrics() {
	// Registration fails only for a name in use, and a node registers once.
	_ = n.metrics.Register("store_reread_age_ms", metrics.NewFunctionalGauge(n.rereadAgeMS))
}

// rereadAgeMS returns the age in milliseconds of the oldest request for a complete read that no read has
// answered, or zero if there is none.
func (n *Node) rereadAgeMS() int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if status := n.rereads.status(n.now()); status != nil {
		return status.AgeMS
	}
	return 0
}

// beginReread records the start of a read by the watch loop, and a request for it if there is none.
func (n *Node) beginReread() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.rereads.isPending() {
		n.requestRereadLocked(rereadWatchStarted)
	}
	n.rereads.beginRead()
}

// endWatching leaves complete reads to the nodes that watch the store.
func (n *Node) endWatching() {
	n.setWatchHealthy(false)
	n.mutex.Lock()
	now, dropped := n.now(), n.rereads.drop()
	n.mutex.Unlock()
	for _, request := range dropped {
		n.log.Write(eventlog.Event{
			Kind: "store.reread", Outcome: "dropped", Reason: string(request.reason), Count: request.count,
			Era: request.era, AgeMS: (now - request.requestedAt).Milliseconds(),
		})
	}
}

// recordReread records the requests that are answered by the complete read of the watch loop, given its
// position.
func (n *Node) recordReread(position structs.StorePosition) {
	n.mutex.Lock()
	now, answered := n.now(), n.rereads.answer(position.Era())
	n.mutex.Unlock()
	for _, request := range answered {
		delay := now - request.requestedAt
		n.counter("store.rereads." + string(request.reason)).Inc(1)
		n.recordDuration("store_reread_ms", delay)
		n.log.Write(eventlog.Event{
			Kind: "store.reread", Outcome: "done", Reason: string(request.reason), Count: request.count,
			Era: position.Era(), Revision: position.Revision(), AgeMS: delay.Milliseconds(),
		})
	}
}

// beginWatch records the start of a watch, which cancel ends. It returns false if a complete read is
// requested instead.
func (n *Node) beginWatch(cancel context.CancelFunc) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.rereads.beginWatch(cancel)
}

// endWatch records the end of the watch. It reports whether a request for a complete read ended it while
// the store was reachable.
func (n *Node) endWatch() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	isCanceled := n.rereads.endWatch()
	return isCanceled && !n.isStoreDown
}
