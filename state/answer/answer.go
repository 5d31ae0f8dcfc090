// Package answer keeps the answers of a node's requests while they arrive and
// for a time after, so that the caller, a resubmission or a look-up can each
// read the whole of it at their own pace.
package answer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// ResponseHead is what precedes the content of an answer.
type ResponseHead struct {
	// Status and Header are those of a plain service; Status is zero for the
	// answer of an engine.
	Status int
	Header http.Header
}

// Answer is the answer to one request. It is safe for concurrent use.
type Answer struct {
	// RequestID and Tenant describe the request; they do not change.
	RequestID string
	Tenant    string

	mutex   sync.Mutex
	source  string
	head    *ResponseHead
	receipt string
	parts   [][]byte
	size    int
	ended   bool
	outcome structs.Outcome
	err     error
	changed chan struct{}
}

// New returns an empty answer.
func New(requestID, tenant string) *Answer {
	return &Answer{RequestID: requestID, Tenant: tenant, changed: make(chan struct{})}
}

// wake lets readers look again. The mutex is held.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetSource records that the answer is that of another request, which holds
// the same key.
func (a *Answer) SetSource(requestID string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.source = requestID
}

// SetReceipt records where the request goes, from dispatch on.
func (a *Answer) SetReceipt(receipt string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.receipt = receipt
	a.wake()
}

// Receipt returns the receipt, which is empty before dispatch.
func (a *Answer) Receipt() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.receipt
}

// SetHead records the head; parts follow it.
func (a *Answer) SetHead(head ResponseHead) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.head = &head
	a.wake()
}

// Append adds a part: an event of an engine or a piece of a service's body.
// Parts after the end are dropped.
func (a *Answer) Append(part []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.parts = append(a.parts, part)
	a.size += len(part)
	a.wake()
}

// End settles the outcome; the first call counts.
func (a *Answer) End(outcome structs.Outcome, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.ended, a.outcome, a.err = true, outcome, err
	a.wake()
}

// Snapshot is the state of an answer at one moment.
type Snapshot struct {
	// RequestID is that of the request whose answer this is.
	RequestID string
	Head      *ResponseHead
	Receipt   string
	// Parts are those from the number that was asked for.
	Parts   [][]byte
	Ended   bool
	Outcome structs.Outcome
	Err     error
}

// Snapshot returns the answer's state, with the parts from the number on, and a
// channel that is closed at the next change.
func (a *Answer) Snapshot(from int) (Snapshot, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	source := a.RequestID
	if a.source != "" {
		source = a.source
	}
	return Snapshot{
		RequestID: source, Head: a.head, Receipt: a.receipt, Parts: a.parts[min(from, len(a.parts)):],
		Ended: a.ended, Outcome: a.outcome, Err: a.err,
	}, a.changed
}

// Await returns once there is a part from the number on or the end; from zero
// also once there is a head or a receipt, unless known is positive.
func (a *Answer) Await(ctx context.Context, from, known int) (Snapshot, error) {
	for {
		view, changed := a.Snapshot(from)
		if view.Ended || len(view.Parts) > 0 || (from == 0 && known < 1 && (view.Head != nil || view.Receipt != "")) {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view, ctx.Err()
		}
	}
}

// AwaitEnd returns the whole answer once it has ended.
func (a *Answer) AwaitEnd(ctx context.Context) (Snapshot, error) {
	for {
		view, changed := a.Snapshot(0)
		if view.Ended {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view, ctx.Err()
		}
	}
}

// Size returns the bytes of the parts.
func (a *Answer) Size() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.size
}

// Store keeps answers by request id. Answers that ended are dropped after the
// retention, or sooner when they take too much memory, the oldest first. It is
// safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	answers map[string]*Answer
	ended   []endedAnswer
	bytes   int
}

type endedAnswer struct {
	answer *Answer
	at     structs.Instant
	size   int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{answers: map[string]*Answer{}} }

// Add enters an answer that has begun.
func (s *Store) Add(answer *Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answers[answer.RequestID] = answer
}

// Get returns the answer of the request.
func (s *Store) Get(requestID string) (*Answer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer, found := s.answers[requestID]
	return answer, found
}

// MarkEnded starts the retention of an answer.
func (s *Store) MarkEnded(now structs.Instant, answer *Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	size := answer.Size()
	s.ended = append(s.ended, endedAnswer{answer: answer, at: now, size: size})
	s.bytes += size
}

// Sweep drops answers past the retention or over the limit of bytes.
func (s *Store) Sweep(now structs.Instant, retention time.Duration, limitBytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	dropped := 0
	for _, entry := range s.ended {
		if now-entry.at <= retention && s.bytes <= limitBytes {
			break
		}
		delete(s.answers, entry.answer.RequestID)
		s.bytes -= entry.size
		dropped++
	}
	s.ended = s.ended[dropped:]
}
