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

// Request is one attempt of a caller as its node logged it.
type Request struct {
	ID, Node, Route string
	// At is when the node had read it, since the start of the day.
	At time.Duration
	// Left is the time until the deadline in milliseconds.
	Left int64
	// Prompt and Answer are in tokens.
	Prompt, Answer int
	// Placed is the time from its arrival to its last assignment in milliseconds.
	Placed int64
	// IsSearched is true if another replica was looked for while the one that had the request was silent.
	IsSearched bool
	// End is the event that ended it, or nil if the node ended first.
	End *eventlog.Event
}

// sampledOut is the number of lines that a node omitted in the preceding second.
type sampledOut struct {
	at    time.Duration
	lines int
}

// Lines is the content of the nodes' event logs of one day.
type Lines struct {
	Requests   []*Request
	sampledOut []sampledOut
	versions   versionTimes
}

const maxLineBytes = 1 << 20

// ReadLines reads event-log lines of the form "SECONDS NODE JSON" and skips others.
func ReadLines(reader io.Reader) (*Lines, error) {
	lines := &Lines{versions: versionTimes{}}
	byID := map[string]*Request{}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		at, event, ok := parseLine(scanner.Text())
		if ok {
			lines.add(byID, at, event)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read lines: %w", err)
	}
	return lines, nil
}

func parseLine(text string) (time.Duration, *eventlog.Event, bool) {
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
		l.sampledOut = append(l.sampledOut, sampledOut{at: at, lines: event.Count})
		return
	}
	if event.Kind == "request.received" {
		request := &Request{
			ID: event.Request, Node: event.Node, Route: event.Route, At: at,
			Left: event.RemainingMS, Prompt: event.Prompt, Answer: event.Answer,
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
		request.Placed = event.TookMS
	case "request.silent":
		request.IsSearched = true
	case "request.ended":
		request.End = event
	}
}
