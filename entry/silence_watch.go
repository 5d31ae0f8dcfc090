package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/coordination/admission"
	"github.com/thornwalk/thornwalk/coordination/handover"
	"github.com/thornwalk/thornwalk/internal/eventlog"
	"github.com/thornwalk/thornwalk/structs"
)

// A request whose replica is silent is sent to a second one, its successor, while the first keeps it
// (coordination/handover). The goroutine of the call reads from the current replica; the search for a successor, and
// the send to it up to the head of its answer, run in another one, with a copy of the call.

const (
	// successorInterval is the time from the beginning of a search for a successor that fails to the next, at least
	// up to successorJitter after its end. Searches are spread, as the replicas of many requests may have fallen silent
	// together.
	successorInterval = 600 * time.Millisecond
	successorJitter   = 200 * time.Millisecond
	// plainSilenceShare is the share of the remaining time that the replica of a repeatable plain request may take
	// until a successor is looked for, so that time is left for that.
	plainSilenceShare = 0.45
)

// silenceWatch looks for a successor while the current replica of a call is silent. The call's goroutine calls wait
// before it blocks on the replica, and received or interrupted afterwards, before it touches the call; in between
// the watch may read the call. It is safe for concurrent use.
type silenceWatch struct {
	call *call

	mutex    sync.Mutex
	handover handover.Handover
	// token is that of the replica from which the call reads; zero if there is none.
	token handover.Token
	// timer calls onTimer at dueAt, if isWaiting. A call that comes earlier belongs to a wait that has ended.
	timer     *time.Timer
	dueAt     time.Time
	isWaiting bool
	// resetCurrent resets the connection to the current replica, and cancelSuccessor ends the search or resets the
	// connection to the successor.
	resetCurrent, cancelSuccessor context.CancelFunc
	// waitingSince is when the current wait began, and silent is set once a successor was looked for during it.
	waitingSince structs.Instant
	silent       *silence
	// winner is the send to the successor that replaced the current replica, until the call goes on with it.
	winner *send
	// searchedAt is when the latest search began. searched is closed when it has ended, and searchResults are those of
	// the searches that the call does not count yet.
	searchedAt    structs.Instant
	searched      chan struct{}
	searchResults []searchResult
}

// searchResult is what a call has to count of a search that has ended.
type searchResult struct {
	// replica is the one that was assigned, empty if there was none, and refusal is why there was none.
	replica, refusal string
	// isSent is true if the request was written to it, and mayHaveRun if it may have run there.
	isSent, mayHaveRun bool
	isConnectRefused   bool
	isUnproven         bool
	// serverError is the complete answer of a replica that failed the request, nil if there is none.
	serverError *bufferedAnswer
	waited      time.Duration
	events      []eventlog.Event
}

// setCurrent records that the current replica is about to get the request; reset resets the connection to it.
func (w *silenceWatch) setCurrent(reset context.CancelFunc) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.resetCurrent = reset
	w.token = w.handover.Begin()
}

// wait records that the call begins to wait for the current replica. A limit of zero means that no successor is looked
// for.
func (w *silenceWatch) wait(limit time.Duration) {
	if limit <= 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.countSearches()
	w.isWaiting, w.waitingSince = true, w.call.node.now()
	w.startTimer(limit)
}

// startTimer has onTimer called after the time.
func (w *silenceWatch) startTimer(after time.Duration) {
	w.dueAt = time.Now().Add(after)
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.onTimer)
	} else {
		w.timer.Reset(after)
	}
}

// isReplaced reports whether the request has gone on at the successor.
func (w *silenceWatch) isReplaced() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.winner != nil
}

// received records that the current replica sent something, and resets a successor. It returns false if the request
// has gone on at the successor, so that what was received must be discarded.
func (w *silenceWatch) received() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopWaiting()
	verdict, phase := w.handover.CurrentSpoke(w.token)
	w.endSilence(verdict == handover.Keep, phase)
	w.giveUpSuccessor(phase)
	return verdict == handover.Keep
}

// interrupted records that the exchange with the current replica failed.
func (w *silenceWatch) interrupted() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopWaiting()
	w.endSilence(false, w.handover.Phase())
}

func (w *silenceWatch) stopWaiting() {
	w.isWaiting = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// giveUpSuccessor cancels the search, and counts a send at once: the search may end later than the call looks for the
// next successor.
func (w *silenceWatch) giveUpSuccessor(phase handover.Phase) {
	if phase == handover.NoSuccessor {
		return
	}
	if phase == handover.Sent {
		w.call.sends++
		w.call.executions++
	}
	w.call.node.counter("successors.not_needed").Inc(1)
	w.cancelSuccessor()
}

// next returns the send with which the call goes on after the current replica ended the exchange or was replaced, or
// nil. It waits for a search that is under way.
func (w *silenceWatch) next() *send {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.token == 0 { // nothing was written
		return nil
	}
	if w.handover.CurrentBroke(w.token) {
		searched := w.searched
		w.mutex.Unlock()
		<-searched
		w.mutex.Lock()
	}
	w.countSearches()
	next := w.winner
	w.winner, w.token = nil, 0
	if next != nil {
		w.token = next.token
		w.call.retryRefusal = ""
	}
	return next
}

// end resets a successor of a call that has ended.
func (w *silenceWatch) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stopWaiting()
	w.giveUpSuccessor(w.handover.End())
	if w.winner != nil {
		w.winner.answer.Abandon()
		w.winner.release()
		w.call.finish(w.winner.granted, resultCallerLeft, admission.Observation{CallerLeft: true})
		w.winner = nil
	}
}

// countSearches counts the searches that have ended. The mutex must be held, and the call must not be in use elsewhere.
func (w *silenceWatch) countSearches() {
	for _, result := range w.searchResults {
		w.call.countSearch(result)
		if w.silent != nil && result.refusal != "" {
			w.silent.refusal = result.refusal
		}
	}
	w.searchResults = nil
}

// onTimer looks for a successor, now that the current replica has been silent for the limit.
func (w *silenceWatch) onTimer() {
	w.mutex.Lock()
	successor := w.beginSearch()
	searched, release := w.searched, w.cancelSuccessor
	w.mutex.Unlock()
	if successor == nil {
		return
	}
	found, result := successor.findSuccessor()
	w.endSearch(successor.successorToken, found, result)
	if found == nil {
		release()
	}
	close(searched)
}

// beginSearch returns a copy of the call with which a successor is looked for, or nil if none may be. The mutex must be
// held.
func (w *silenceWatch) beginSearch() *call {
	if !w.isWaiting || w.winner != nil || time.Now().Before(w.dueAt) {
		return nil
	}
	w.countSearches()
	if !w.call.mayHaveSuccessor() {
		return nil
	}
	token := w.handover.RequestSuccessor()
	if token == 0 {
		return nil
	}
	successor := w.call.copyForSuccessor(token)
	successor.isHeld = w.silent == nil
	w.searchedAt = w.call.node.now()
	successor.ctx, w.cancelSuccessor = context.WithCancel(w.call.ctx)
	w.searched = make(chan struct{})
	w.recordSearch()
	return successor
}

// endSearch records the end of a search, and starts the timer of the next one if it failed.
func (w *silenceWatch) endSearch(token handover.Token, found *send, result searchResult) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	isGivenUp := found == nil && !w.handover.SuccessorFailed(token)
	if isGivenUp {
		result.isSent, result.mayHaveRun = false, false // counted when it was given up
	}
	w.searchResults = append(w.searchResults, result)
	if found == nil && !isGivenUp && w.isWaiting {
		sinceSearch := w.call.node.now() - w.searchedAt
		w.startTimer(max(successorInterval-sinceSearch, 0) + rand.N(successorJitter))
	}
}

// maySend reports whether the request may be written to the successor.
func (w *silenceWatch) maySend(token handover.Token) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.handover.MaySend(token) == handover.Keep
}

// takeOver records that the successor began to answer with success. If it returns true, the request goes on there and
// the connection to the former replica is reset.
func (w *silenceWatch) takeOver(token handover.Token, begun *send) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	verdict, isReplaced := w.handover.SuccessorAnswered(token)
	if verdict == handover.GiveUp {
		return false
	}
	if isReplaced {
		w.resetCurrent()
	}
	begun.token = token
	w.resetCurrent, w.winner = w.cancelSuccessor, begun
	return true
}
