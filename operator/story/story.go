// Package story joins the log lines of several nodes into what happened to one
// request: every decision that touched it, and what the nodes believed about
// the replicas and the scheduling node that the decisions name.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// maximumLine bounds one log line in bytes.
const maximumLine = 1 << 20

// beliefs are the kinds of lines that are told beside the request's own if they
// name a replica or node of its lines.
var beliefs = map[string]bool{"replica": true, "peer": true, "scheduler": true, "process.start": true, "process.stop": true, "process.paused": true, "store": true}

// Story is one request's lines, in the order of time.
type Story struct {
	// Request holds the request's own lines and Beliefs those about what they name.
	Request []eventlog.Event
	Beliefs []eventlog.Event
}

// Read collects the lines of the request. Text before the first brace of a line
// is passed over, as log collectors put names there.
func Read(id string, readers ...io.Reader) (*Story, error) {
	var all []eventlog.Event
	for _, reader := range readers {
		events, err := parse(reader)
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
	story := &Story{}
	named := map[string]bool{}
	contents := map[string]bool{}
	for _, event := range all {
		if event.Request == id {
			contents[event.Content] = true
			story.Request = append(story.Request, event)
			named[event.Replica], named[event.Peer], named[event.Node] = true, true, true
		}
	}
	delete(named, "")
	delete(contents, "")
	if len(story.Request) == 0 {
		return nil, fmt.Errorf("no line names the request %q: give the logs of every node, and the id of the try", id)
	}
	for _, event := range all {
		if event.Kind == "content" && contents[event.Content] {
			story.Beliefs = append(story.Beliefs, event) // whichever node saw it
		}
		if beliefs[event.Kind] && named[event.Node] && (named[event.Replica] || named[event.Peer] || event.Replica == "" && event.Peer == "") {
			story.Beliefs = append(story.Beliefs, event)
		}
	}
	return story, nil
}

func parse(reader io.Reader) ([]eventlog.Event, error) {
	var events []eventlog.Event
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maximumLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		var event eventlog.Event
		if json.Unmarshal(line[start:], &event) == nil && event.Kind != "" {
			events = append(events, event)
		}
	}
	return events, scanner.Err()
}

// recentBeliefs is how many lines about each named thing are told.
const recentBeliefs = 12

// Write tells the story in plain lines, the cause last.
func (s *Story) Write(writer io.Writer) {
	last := s.Request[len(s.Request)-1]
	var before []eventlog.Event
	for _, event := range s.Beliefs {
		if event.Time <= last.Time {
			before = append(before, event)
		}
	}
	if len(before) > recentBeliefs {
		before = before[len(before)-recentBeliefs:]
	}
	lines := append(before, s.Request...)
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	for _, event := range lines {
		fmt.Fprintln(writer, Line(event))
	}
	fmt.Fprintln(writer, s.Cause())
}

// Line returns one event in words.
func Line(event eventlog.Event) string {
	text := fmt.Sprintf("%s %s %s", event.Time, event.Node, event.Kind)
	for _, part := range []struct{ name, value string }{
		{"replica", event.Replica}, {"by", event.Peer}, {"outcome", event.Outcome}, {"because", event.Reason}, {"detail", event.Detail},
	} {
		if part.value != "" {
			text += fmt.Sprintf(" %s=%s", part.name, part.value)
		}
	}
	for _, part := range []struct {
		name  string
		value int64
	}{{"status", int64(event.Status)}, {"waited_ms", event.Waited}, {"took_ms", event.Took}, {"age_ms", event.Age}, {"revision", event.Revision}, {"version", event.Version},
		{"left_ms", event.Remaining}, {"priority", int64(event.Priority)}, {"prompt", int64(event.Prompt)}, {"answer", int64(event.Answer)},
		{"waiting", int64(event.Waiting)}, {"free", int64(event.Free)}, {"expected_ms", event.Expected},
		{"first_ms", event.First}, {"pause_ms", event.Pause},
	} {
		if part.value != 0 {
			text += fmt.Sprintf(" %s=%d", part.name, part.value)
		}
	}
	return text
}

// remedies say what a reason of a refusal or failure means for an operator.
var remedies = map[string]string{
	"quota":                 "the tenant was over its quota over all nodes: raise it or tell the tenant",
	"backlog":               "the request would have been late; it was told to come back: add replicas",
	"no-place":              "no replica of the service had a free place while the request waited: add replicas",
	"no-replica":            "no usable replica of the service was known: see the replica lines",
	"too-long-for-deadline": "no replica is fast enough for the expected answer before the deadline",
	"replicas-full":         "the replicas rejected the request although places were free here: see their load",
	"replicas-unreachable":  "no connection to the chosen replicas could be opened: see the replica lines and the links",
	"barred":                "too many replicas ended under this request, see the content lines: thornwalk barred lists it, thornwalk barred lift lets it be sent again",
	"suspect":               "a replica ended under this request, and another try of it ran: one at a time is sent, see the content lines",
	"replica-broke-off":     "a replica ran the request and its answer was cut, spoiled or a failure",
	"deadline":              "the time of the caller or the route ran out while a replica had the request",
	"no-configuration":      "the node knew no configuration yet: see its store lines",
	"no-scheduler":          "no scheduling node answered in time: see the scheduler and peer lines",
	"stopping":              "the node was stopping and the answer would not have ended before",
	"caller-left":           "the caller closed its connection",
	"unknown-key":           "the key belongs to no tenant of the configuration in force",
	"no-route":              "no route of the configuration in force matches",
	"body-too-slow":         "the body did not come before the deadline",
	"body-too-large":        "the body is over the limit of the configuration",
	"body-unreadable":       "the body was malformed or cut by the caller",
}

// Cause names the outcome and the rule that decided it.
func (s *Story) Cause() string {
	last := s.Request[len(s.Request)-1]
	var tried []string
	for _, event := range s.Request {
		if event.Kind == "request.ended" {
			last = event
		}
		if event.Kind == "request.sent" {
			tried = append(tried, fmt.Sprintf("%s (%s)", event.Replica, event.Outcome))
		}
	}
	text := fmt.Sprintf("request %s: %s, status %d", last.Request, last.Outcome, last.Status)
	if last.Kind != "request.ended" {
		text = fmt.Sprintf("request %s: no end is in the logs, the last step is %s %s", last.Request, last.Kind, last.Outcome)
	}
	if len(tried) > 0 {
		text += "; sent to " + strings.Join(tried, ", ")
	} else {
		text += "; never sent to a replica"
	}
	if remedy, found := remedies[last.Reason]; found {
		text += "; " + last.Reason + ": " + remedy
	}
	return text
}
