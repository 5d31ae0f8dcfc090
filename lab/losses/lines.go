package losses

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// Request is one try of a caller as its node told of it.
type Request struct {
	ID, Node, Route string
	// At is when the node had read it, on the day's clock.
	At             time.Duration
	Left           int64
	Prompt, Answer int
	// Placed is the time from its arrival to its last place.
	Placed int64
	// End is the last line, or nil if the node ended first.
	End *eventlog.Event
}

// leftOut is how many lines a node left out in the second before.
type leftOut struct {
	at    time.Duration
	lines int
}

// Lines is what the nodes wrote on one day.
type Lines struct {
	Requests []*Request
	leftOut  []leftOut
	versions versions
}

// maximumLine bounds one line in bytes.
const maximumLine = 1 << 20

// ReadLines reads lines of the form "SECONDS NODE JSON"; others are skipped.
func ReadLines(reader io.Reader) (*Lines, error) {
	read := &Lines{versions: versions{}}
	byID := map[string]*Request{}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maximumLine)
	for scanner.Scan() {
		at, event, ok := parse(scanner.Text())
		if ok {
			read.add(byID, at, event)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("lines: %w", err)
	}
	return read, nil
}

func parse(text string) (time.Duration, *eventlog.Event, bool) {
	seconds, rest, _ := strings.Cut(strings.TrimSpace(text), " ")
	at, err := strconv.ParseFloat(seconds, 64)
	start := strings.IndexByte(rest, '{')
	if err != nil || start < 0 {
		return 0, nil, false
	}
	event := &eventlog.Event{}
	if err := json.Unmarshal([]byte(rest[start:]), event); err != nil {
		return 0, nil, false
	}
	return time.Duration(at * float64(time.Second)), event, true
}

func (l *Lines) add(byID map[string]*Request, at time.Duration, event *eventlog.Event) {
	if event.Kind == "configuration" {
		l.versions.add(at, event)
		return
	}
	if event.Kind == "log.sampled" {
		l.leftOut = append(l.leftOut, leftOut{at: at, lines: event.Count})
		return
	}
	if event.Kind == "request.received" {
		request := &Request{
			ID: event.Request, Node: event.Node, Route: event.Route, At: at,
			Left: event.Remaining, Prompt: event.Prompt, Answer: event.Answer,
		}
		byID[event.Request] = request
		l.Requests = append(l.Requests, request)
		return
	}
	request, found := byID[event.Request]
	if !found {
		return
	}
	switch event.Kind {
	case "request.placed":
		request.Placed = event.Took
	case "request.ended":
		request.End = event
	}
}
