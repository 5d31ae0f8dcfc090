// Package eventlog writes one JSON line for each decision. Writes never block: if the writer is
// slower than the events, events are dropped and counted in a line of their own. Under high load,
// requests that succeeded are sampled.
package eventlog

import (
	"bufio"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

// queueCapacity is the maximum number of events that wait for the writer.
const queueCapacity = 2048

// Event is one line. Fields with zero values are omitted.
type Event struct {
	// Time is wall time in UTC, for readers only: it may jump.
	Time string `json:"time"`
	// Uptime is monotonic time since the start of the process, in milliseconds.
	Uptime int64  `json:"up_ms"`
	Node   string `json:"node"`
	// Kind names the decision; docs/OPERATIONS.md lists them.
	Kind    string `json:"event"`
	Request string `json:"request,omitempty"`
	// Fingerprint is the fingerprint of the request, equal for all its attempts.
	Fingerprint string `json:"content,omitempty"`
	// BlockedBy is the fingerprint because of which a request was rejected: its own, or that of a part of its prompt.
	BlockedBy string `json:"barred_by,omitempty"`
	Route     string `json:"route,omitempty"`
	Tenant    string `json:"tenant,omitempty"`
	Service   string `json:"service,omitempty"`
	// Parts are the IDs of the shared parts of the prompt, separated by commas.
	Parts   string `json:"parts,omitempty"`
	Replica string `json:"replica,omitempty"`
	// ReplicaVersion is the version of the replica's software.
	ReplicaVersion string `json:"replica_version,omitempty"`
	// StartedAt is the start of the replica's incarnation as the node knows it, in Unix milliseconds. Identity is what
	// shows that the connection leads to it, and IdentityAgeMS the age of the latest statement on it, in milliseconds.
	StartedAt     int64  `json:"born,omitempty"`
	Identity      string `json:"identity,omitempty"`
	IdentityAgeMS int64  `json:"identity_age_ms,omitempty"`
	// ResumedRequest and LastEvent are what is known of the stream that the request resumes: the ID of the
	// request that began it, and the ID of the last event that the caller has.
	ResumedRequest string `json:"resumes,omitempty"`
	LastEvent      string `json:"last_event,omitempty"`
	// FromEvent and ToEvent are the IDs of the first and the last event that the caller got by one send.
	FromEvent string `json:"from_event,omitempty"`
	ToEvent   string `json:"to_event,omitempty"`
	Peer      string `json:"peer,omitempty"`
	// Forwarder is the node that forwarded the connection of a send, if that was not direct.
	Forwarder string `json:"forwarder,omitempty"`
	// Outcome is answered, not-run or unknown for requests, and the new state for other events.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	// IsClosed is true if the caller's connection was closed as it had a part of the answer, so that it did not get
	// the status. RetryRefusal is why the request was not sent to another replica.
	IsClosed     bool   `json:"closed,omitempty"`
	RetryRefusal string `json:"retry_refused,omitempty"`
	// SilentMS is how long the replica has been silent, in milliseconds. HasEvents is true if the caller has a part of
	// the answer, Search is how far the search for another replica was, and Successor the replica that took over.
	SilentMS  int64  `json:"silent_ms,omitempty"`
	HasEvents bool   `json:"has_events,omitempty"`
	Search    string `json:"search,omitempty"`
	Successor string `json:"successor,omitempty"`
	// Version is that of the configuration, Revision that of the store in its Era.
	Version  int64 `json:"version,omitempty"`
	Revision int64 `json:"revision,omitempty"`
	Era      int64 `json:"era,omitempty"`
	// WaitedMS is the time in the queue, TookMS the time since the request was received and AgeMS that
	// of the state on which the decision is based, all in milliseconds.
	WaitedMS int64 `json:"waited_ms,omitempty"`
	TookMS   int64 `json:"took_ms,omitempty"`
	AgeMS    int64 `json:"age_ms,omitempty"`
	// FirstEventMS is the time from the last send to the first event of a stream, MaxPauseMS the longest
	// time between two events, both in milliseconds.
	FirstEventMS int64 `json:"first_ms,omitempty"`
	MaxPauseMS   int64 `json:"pause_ms,omitempty"`
	// RemainingMS is the time until the deadline of the caller or the route, ExpectedWaitMS the predicted
	// wait, RetryAfterMS the time after which a rejected caller should come back, all in milliseconds.
	RemainingMS    int64 `json:"left_ms,omitempty"`
	ExpectedWaitMS int64 `json:"expected_ms,omitempty"`
	RetryAfterMS   int64 `json:"retry_after_ms,omitempty"`
	// Priority is the rank that was used, QueuedAhead the number of requests queued ahead, FreeSlots the
	// number of free slots at the time of the decision.
	Priority    int `json:"priority,omitempty"`
	QueuedAhead int `json:"waiting,omitempty"`
	FreeSlots   int `json:"free,omitempty"`
	// Prompt is the number of prompt tokens, Answer the estimated number of output tokens.
	Prompt int `json:"prompt,omitempty"`
	Answer int `json:"answer,omitempty"`
	Count  int `json:"count,omitempty"`
	// IsRetry is true for an assignment of a request that was sent to a replica before. SchedulerCalls
	// is the number of calls to scheduling nodes until a decision, if that was more than one.
	IsRetry        bool   `json:"repeat,omitempty"`
	SchedulerCalls int    `json:"asked,omitempty"`
	Detail         string `json:"detail,omitempty"`
}

// Log is an asynchronous writer of events with a bounded queue. It is safe for concurrent use.
type Log struct {
	node    string
	started time.Time
	events  chan Event
	lost    atomic.Int64
	sampler sampler
	stop    chan struct{}
	done    chan struct{}
}

// New starts a log for the node. A nil writer discards all events. The caller must call Close.
func New(node string, writer io.Writer) *Log {
	log := &Log{node: node, started: time.Now(), events: make(chan Event, queueCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	if writer == nil {
		writer = io.Discard
	}
	log.sampler.share.Store(fullShare)
	go log.writeLoop(writer)
	return log
}

// timeLayout is the format of Event.Time.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Stamp returns the event, with long texts cut, with the node and the current time, unless it has them, for events that are written later.
func (l *Log) Stamp(event Event) Event {
	if event.Node != "" {
		return event
	}
	event.shorten()
	event.Node = l.node
	event.Time = time.Now().UTC().Format(timeLayout)
	event.Uptime = time.Since(l.started).Milliseconds()
	return event
}

// Maximum lengths of fields that have text of others, in bytes.
const (
	maxNameBytes   = 256
	maxDetailBytes = 512
	maxPartsBytes  = 2048
)

// shorten cuts the fields that have text of others.
func (e *Event) shorten() {
	for _, field := range []struct {
		text     *string
		maxBytes int
	}{{&e.Request, maxNameBytes}, {&e.ResumedRequest, maxNameBytes}, {&e.LastEvent, maxNameBytes}, {&e.Detail, maxDetailBytes}, {&e.Parts, maxPartsBytes}} {
		if len(*field.text) > field.maxBytes {
			*field.text = (*field.text)[:field.maxBytes]
		}
	}
}

// Write enqueues the event, stamped if it isn't yet, or counts it as lost if the queue is full. It
// doesn't block.
func (l *Log) Write(event Event) {
	event = l.Stamp(event)
	l.sampler.offered.Add(1)
	select {
	case l.events <- event:
	default:
		l.lost.Add(1)
	}
}

// Lost returns the number of events that were dropped since the queue was full.
func (l *Log) Lost() int64 { return l.lost.Load() }

// closeTimeout bounds how long Close waits for a blocked writer.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued events, waiting at most closeTimeout. Events written later are dropped.
// It must be called only once.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// writeLoop writes queued events and, each second, adjusts the sampling, until the log is closed.
func (l *Log) writeLoop(writer io.Writer) {
	defer close(l.done)
	buffered := bufio.NewWriterSize(writer, 8192)
	encoder := json.NewEncoder(buffered)
	reportedLost := int64(0)
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-second.C:
			if leftOut := l.sampler.adjust(); leftOut > 0 {
				reportedLost = l.encode(encoder, l.Stamp(Event{Kind: "log.sampled", Outcome: "left-out", Count: int(leftOut)}), reportedLost)
			}
		case event := <-l.events:
			reportedLost = l.encode(encoder, event, reportedLost)
		case <-l.stop:
			l.drain(encoder, reportedLost)
			_ = buffered.Flush()
			return
		}
		if len(l.events) == 0 {
			_ = buffered.Flush()
		}
	}
}

// encode writes one event, and a line with the number of events lost since reportedLost, if any. It
// returns the new count of reported losses.
func (l *Log) encode(encoder *json.Encoder, event Event, reportedLost int64) int64 {
	_ = encoder.Encode(event)
	lost := l.lost.Load()
	if lost > reportedLost {
		_ = encoder.Encode(Event{Time: event.Time, Uptime: event.Uptime, Node: l.node, Kind: "log.lost", Count: int(lost - reportedLost)})
	}
	return lost
}

// drain writes the queued events.
func (l *Log) drain(encoder *json.Encoder, reportedLost int64) {
	for {
		select {
		case event := <-l.events:
			reportedLost = l.encode(encoder, event, reportedLost)
		default:
			return
		}
	}
}
