package story

import (
	"fmt"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

const (
	endedKind        = "request.ended"
	stopKind         = "process.stop"
	startKind        = "process.start"
	stopBegunOutcome = "begun"
	stopEndedOutcome = "ended"
	// stopReasonPrefix is that of the reasons of requests that a stopping node refuses or gives up.
	stopReasonPrefix = "stop"
)

// Stops describes, each in one sentence, the part that planned stops of the request's nodes had in its end.
func (s *Story) Stops() []string {
	var texts []string
	seen := map[string]bool{}
	for _, event := range s.Request {
		if seen[event.Node] || event.Node == "" {
			continue
		}
		seen[event.Node] = true
		if text := s.stopText(event.Node); text != "" {
			texts = append(texts, text)
		}
	}
	return texts
}

// stopText describes the stop of the node during which the request was there, if there was one.
func (s *Story) stopText(node string) string {
	var last eventlog.Event
	for _, event := range s.Request {
		if event.Node == node && last.Kind != endedKind {
			last = event
		}
	}
	var begun, ended *eventlog.Event
	for i, event := range s.Related {
		switch {
		case event.Node != node:
		case event.Kind == startKind && event.Time <= last.Time:
			begun, ended = nil, nil
		case event.Kind == stopKind && event.Outcome == stopBegunOutcome:
			begun, ended = &s.Related[i], nil
		case event.Kind == stopKind && event.Outcome == stopEndedOutcome && begun != nil && ended == nil:
			ended = &s.Related[i]
		}
	}
	switch {
	case begun == nil:
		return ""
	case last.Kind != endedKind && ended != nil:
		return fmt.Sprintf("the planned stop of %s, begun at %s, was over after %s, and no line tells of the request's end there: it was cut", node, begun.Time, between(*begun, *ended))
	case last.Kind != endedKind || begun.Time > last.Time:
		return ""
	case strings.HasPrefix(last.Reason, stopReasonPrefix):
		return fmt.Sprintf("the planned stop of %s ended it %s after its begin, %s after the request came: %s, status %d", node, between(*begun, last), seconds(last.TookMS), outcomeText(last), last.Status)
	}
	return fmt.Sprintf("%s had been stopping for %s when the request ended there, %s after it came: %s, status %d", node, between(*begun, last), seconds(last.TookMS), outcomeText(last), last.Status)
}

// between returns the time between two events of a process, by its uptime if both have one.
func between(from, to eventlog.Event) string {
	if from.Uptime > 0 && to.Uptime >= from.Uptime {
		return seconds(to.Uptime - from.Uptime)
	}
	start, err := time.Parse(time.RFC3339Nano, from.Time)
	end, endErr := time.Parse(time.RFC3339Nano, to.Time)
	if err != nil || endErr != nil {
		return "an unknown time"
	}
	return seconds(end.Sub(start).Milliseconds())
}

// outcomeText says what the outcome of a request proves.
func outcomeText(ended eventlog.Event) string {
	switch ended.Outcome {
	case "not-run":
		return "it has not run (not-run)"
	case "unknown":
		return "it may have run (unknown)"
	}
	return ended.Outcome
}
