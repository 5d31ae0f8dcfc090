// Package eventlog writes one JSON line for each decision. Lines are bounded
// in number and never block: a writer that stalls loses lines, which are
// counted and told in a line of their own.
package eventlog

import (
	"bufio"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"
)

// capacity is the number of lines that may wait for the writer.
const capacity = 2048

// Event is one line. Fields that do not apply are left out.
type Event struct {
	// Time is wall time, for people only.
	Time string `json:"time"`
	// Uptime is monotonic time since the start of the process, in milliseconds.
	Uptime int64  `json:"up_ms"`
	Node   string `json:"node"`
	// Kind names the decision, as docs/OPERATIONS.md lists them.
	Kind    string `json:"event"`
	Request string `json:"request,omitempty"`
	// Content is the fingerprint of what the request asks for, equal for all its tries.
	Content string `json:"content,omitempty"`
	Route   string `json:"route,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	Service string `json:"service,omitempty"`
	Replica string `json:"replica,omitempty"`
	Peer    string `json:"peer,omitempty"`
	// Outcome is answered, not-run or unknown for requests, and what became
	// true for all else.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	// Version is the configuration's, and Revision the store's in its Era.
	Version  int64 `json:"version,omitempty"`
	Revision int64 `json:"revision,omitempty"`
	Era      int64 `json:"era,omitempty"`
	// Waited, Took and Age are in milliseconds: time in the queue, time since
	// the request was received, and age of what decided.
	Waited int64 `json:"waited_ms,omitempty"`
	Took   int64 `json:"took_ms,omitempty"`
	Age    int64 `json:"age_ms,omitempty"`
	// First is the time from the last send to the first event of a stream, and
	// Pause the longest time between two events, both in milliseconds.
	First int64 `json:"first_ms,omitempty"`
	Pause int64 `json:"pause_ms,omitempty"`
	// Remaining is what the caller's or the route's time leaves, and Expected the wait
	// that was predicted, both in milliseconds.
	Remaining int64 `json:"left_ms,omitempty"`
	Expected  int64 `json:"expected_ms,omitempty"`
	// Priority is the rank that decided, Waiting the requests ahead and Free the
	// places that were free then.
	Priority int `json:"priority,omitempty"`
	Waiting  int `json:"waiting,omitempty"`
	Free     int `json:"free,omitempty"`
	// Prompt and Answer count the request's tokens; Answer is the guess that was
	// reckoned with.
	Prompt int `json:"prompt,omitempty"`
	Answer int `json:"answer,omitempty"`
	Count  int `json:"count,omitempty"`
	// Repeat is true of a place for a request that came to a replica before, and Asked is how
	// often a place was asked for until there was a decision, if that was more than once.
	Repeat bool   `json:"repeat,omitempty"`
	Asked  int    `json:"asked,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Log is a bounded writer of events.
type Log struct {
	node    string
	started time.Time
	lines   chan Event
	lost    atomic.Int64
	sampler sampler
	stop    chan struct{}
	done    chan struct{}
}

// New starts a log for the node. A nil writer drops everything.
func New(node string, writer io.Writer) *Log {
	log := &Log{node: node, started: time.Now(), lines: make(chan Event, capacity), stop: make(chan struct{}), done: make(chan struct{})}
	if writer == nil {
		writer = io.Discard
	}
	log.sampler.share.Store(wholeShare)
	go log.write(writer)
	return log
}

// timeLayout is the form of wall time in the lines.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Stamp enters node and time into an event that is written later.
func (l *Log) Stamp(event Event) Event {
	event.Node = l.node
	event.Time = time.Now().UTC().Format(timeLayout)
	event.Uptime = time.Since(l.started).Milliseconds()
	return event
}

// Write enters the event, or counts it as lost if the writer is behind.
func (l *Log) Write(event Event) {
	if event.Node == "" {
		event = l.Stamp(event)
	}
	l.sampler.offered.Add(1)
	select {
	case l.lines <- event:
	default:
		l.lost.Add(1)
	}
}

// Lost returns how many events were not written.
func (l *Log) Lost() int64 { return l.lost.Load() }

// closeLimit bounds the wait for a stalled writer at the end.
const closeLimit = 200 * time.Millisecond

// Close writes what waits, for a short while. Later events are dropped.
func (l *Log) Close() {
	close(l.stop)
	select {
	case <-l.done:
	case <-time.After(closeLimit):
	}
}

func (l *Log) write(writer io.Writer) {
	defer close(l.done)
	buffered := bufio.NewWriterSize(writer, 8192)
	encoder := json.NewEncoder(buffered)
	told := int64(0)
	second := time.NewTicker(time.Second)
	defer second.Stop()
	for {
		select {
		case <-second.C:
			if left := l.sampler.adjust(); left > 0 {
				told = l.encode(encoder, l.Stamp(Event{Kind: "log.sampled", Outcome: "left-out", Count: int(left)}), told)
			}
		case event := <-l.lines:
			told = l.encode(encoder, event, told)
		case <-l.stop:
			l.drain(encoder, told)
			_ = buffered.Flush()
			return
		}
		if len(l.lines) == 0 {
			_ = buffered.Flush()
		}
	}
}

// encode writes one event, and a line of its own if some were lost since told.
func (l *Log) encode(encoder *json.Encoder, event Event, told int64) int64 {
	_ = encoder.Encode(event)
	lost := l.lost.Load()
	if lost > told {
		_ = encoder.Encode(Event{Time: event.Time, Uptime: event.Uptime, Node: l.node, Kind: "log.lost", Count: int(lost - told)})
	}
	return lost
}

// drain writes the events that wait.
func (l *Log) drain(encoder *json.Encoder, told int64) {
	for {
		select {
		case event := <-l.lines:
			told = l.encode(encoder, event, told)
		default:
			return
		}
	}
}
