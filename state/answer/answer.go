// Package answer stores the answers of a node's requests while they arrive and
// for a retention period afterwards, so that several readers (the caller, a
// resubmission, a lookup) can each read the complete answer at their own pace.
package answer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/thornwalk/thornwalk/structs"
)

// ResponseHead is the part of an answer that precedes its content.
type ResponseHead struct {
	// Status and Header are the HTTP status and header of a plain service's
	// response. Status is zero for the answer of an engine.
	Status int
	Header http.Header
}

// Answer is the answer to one request. It is safe for concurrent use.
type Answer struct {
	// RequestID and Tenant are immutable.
	RequestID string
	Tenant    string

	mutex           sync.Mutex
	sourceRequestID string
	head            *ResponseHead
	receipt         string
	parts           [][]byte
	size            int
	ended           bool
	outcome         structs.Outcome
	err             error
	changed         chan struct{}
}

func New(requestID, tenant string) *Answer {
	return &Answer{RequestID: requestID, Tenant: tenant, changed: make(chan struct{})}
}

// notifyReaders wakes all readers that wait for a change. The mutex must be held.
func (a *Answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetSource records that the answer comes from another request, which owns the
// same key.
func (a *Answer) SetSource(requestID string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sourceRequestID = requestID
}

// SetReceipt records the receipt, which names where the request was dispatched.
func (a *Answer) SetReceipt(receipt string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.receipt = receipt
	a.notifyReaders()
}

// Receipt returns the receipt. It is empty before dispatch.
func (a *Answer) Receipt() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.receipt
}

// SetHead records the response head. It must be called before the first Append.
func (a *Answer) SetHead(head ResponseHead) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.head = &head
	a.notifyReaders()
}

// Append adds a part: an event of an engine or a chunk of a service's body.
// It retains part and ignores it if the answer has ended.
func (a *Answer) Append(part []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.parts = append(a.parts, part)
	a.size += len(part)
	a.notifyReaders()
}

// End marks the answer as ended. Calls after the first have no effect.
func (a *Answer) End(outcome structs.Outcome, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.ended, a.outcome, a.err = true, outcome, err
	a.notifyReaders()
}

// Snapshot is the state of an answer at one point in time.
type Snapshot struct {
	// RequestID is the request that produced the answer. It differs from
	// Answer.RequestID after SetSource.
	RequestID string
	Head      *ResponseHead
	Receipt   string
	// Parts are the parts from the requested index on.
	Parts   [][]byte
	Ended   bool
	Outcome structs.Outcome
	Err     error
}

// Snapshot returns the state of the answer, with the parts from index firstPart
// on, and a channel that is closed at the next change.
func (a *Answer) Snapshot(firstPart int) (Snapshot, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	requestID := a.RequestID
	if a.sourceRequestID != "" {
		requestID = a.sourceRequestID
	}
	return Snapshot{
		RequestID: requestID, Head: a.head, Receipt: a.receipt, Parts: a.parts[min(firstPart, len(a.parts)):],
		Ended: a.ended, Outcome: a.outcome, Err: a.err,
	}, a.changed
}

// Await blocks until the answer has a part at index firstPart or has ended. If
// firstPart is 0 and seen is 0, which means that the caller has not received a head
// or a receipt yet, one of these is enough. If ctx is done first, it returns the
// current snapshot and the error of ctx.
func (a *Answer) Await(ctx context.Context, firstPart, seen int) (Snapshot, error) {
	for {
		snapshot, changed := a.Snapshot(firstPart)
		if snapshot.Ended || len(snapshot.Parts) > 0 || (firstPart == 0 && seen < 1 && (snapshot.Head != nil || snapshot.Receipt != "")) {
			return snapshot, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return snapshot, ctx.Err()
		}
	}
}

// AwaitEnd blocks until the answer has ended and returns all of it. If ctx is
// done first, it returns the current snapshot and the error of ctx.
func (a *Answer) AwaitEnd(ctx context.Context) (Snapshot, error) {
	for {
		snapshot, changed := a.Snapshot(0)
		if snapshot.Ended {
			return snapshot, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return snapshot, ctx.Err()
		}
	}
}

// Size returns the total size of the parts in bytes.
func (a *Answer) Size() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.size
}

// Store holds answers by request ID. Sweep evicts answers that have ended. It is
// safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	answers map[string]*Answer
	// ended is ordered by time, oldest first.
	ended      []endedAnswer
	endedBytes int
}

type endedAnswer struct {
	answer  *Answer
	endedAt structs.Instant
	size    int
}

func NewStore() *Store { return &Store{answers: map[string]*Answer{}} }

// Add stores an answer under its request ID.
func (s *Store) Add(answer *Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answers[answer.RequestID] = answer
}

func (s *Store) Get(requestID string) (*Answer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer, found := s.answers[requestID]
	return answer, found
}

// MarkEnded starts the retention period of an answer, which must not grow any more.
func (s *Store) MarkEnded(now structs.Instant, answer *Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	size := answer.Size()
	s.ended = append(s.ended, endedAnswer{answer: answer, endedAt: now, size: size})
	s.endedBytes += size
}

// Sweep evicts ended answers, oldest first, that are past the retention period
// or exceed maxBytes in total.
func (s *Store) Sweep(now structs.Instant, retention time.Duration, maxBytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	evicted := 0
	for _, entry := range s.ended {
		if now-entry.endedAt <= retention && s.endedBytes <= maxBytes {
			break
		}
		delete(s.answers, entry.answer.RequestID)
		s.endedBytes -= entry.size
		evicted++
	}
	s.ended = s.ended[evicted:]
}
