// Package story combines the event logs of several nodes into the history of one request: the
// decisions on it, and the state changes of the replicas and nodes involved.
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

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// relatedKinds are the kinds of events that belong to a story if they are about a replica or node
// that takes part in the request.
var relatedKinds = map[string]bool{"replica": true, "replica.identity": true, "peer": true, "scheduler": true, "process.start": true, "process.stop": true, "process.paused": true, "store": true, "path": true}

// Story is the history of one request.
type Story struct {
	// Request has the events of the request itself, Related those about the replicas, the nodes and
	// the fingerprint that they name. Stream has those of all requests for the same stream. All are sorted by time.
	Request []eventlog.Event
	Related []eventlog.Event
	Stream  []eventlog.Event
}

// Read collects the events of the request with the ID from the logs. Text before the first brace of
// a line is ignored, since log collectors add prefixes, and so are lines that are not events. It
// returns an error if a log can't be read or no line has the ID.
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
	participants := map[string]bool{}
	fingerprints := map[string]bool{}
	for _, event := range all {
		if event.Request == id {
			fingerprints[event.Fingerprint], fingerprints[event.BlockedBy] = true, true
			story.Request = append(story.Request, event)
			participants[event.Replica], participants[event.Peer], participants[event.Node], participants[event.Forwarder] = true, true, true, true
		}
	}
	delete(participants, "")
	delete(fingerprints, "")
	if len(story.Request) == 0 {
		return nil, fmt.Errorf("no line names the request %q: give the logs of every node, and the id of the try", id)
	}
	story.Stream = streamEvents(id, all)
	for _, event := range all {
		if event.Kind == "content" && fingerprints[event.Fingerprint] {
			story.Related = append(story.Related, event) // from every node
		}
		if relatedKinds[event.Kind] && participants[event.Node] && (participants[event.Replica] || participants[event.Peer] || event.Replica == "" && event.Peer == "") {
			story.Related = append(story.Related, event)
		}
	}
	return story, nil
}

func parse(reader io.Reader) ([]eventlog.Event, error) {
	var events []eventlog.Event
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
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

// maxRelatedEvents bounds the related events that Write prints; it prints the latest.
const maxRelatedEvents = 12

// Write prints the events up to the request's last one as text, then what showed which processes its replicas were, which
// events of a stream they sent, their silences, planned stops of its nodes and the cause.
func (s *Story) Write(writer io.Writer) {
	last := s.Request[len(s.Request)-1]
	var related []eventlog.Event
	for _, event := range s.Related {
		if event.Time <= last.Time {
			related = append(related, event)
		}
	}
	if len(related) > maxRelatedEvents {
		related = related[len(related)-maxRelatedEvents:]
	}
	lines := append(related, s.Request...)
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	for _, event := range lines {
		fmt.Fprintln(writer, Line(event))
	}
	for _, identity := range s.Identities() {
		fmt.Fprintln(writer, identity)
	}
	for _, sentences := range [][]string{s.Pieces(), s.Silences(), s.Stops()} {
		for _, sentence := range sentences {
			fmt.Fprintln(writer, sentence)
		}
	}
	fmt.Fprintln(writer, s.Cause())
}

// Line returns one event as text.
func Line(event eventlog.Event) string {
	text := fmt.Sprintf("%s %s %s", event.Time, event.Node, event.Kind)
	for _, part := range []struct{ name, value string }{
		{"replica", event.Replica}, {"by", event.Peer}, {"forwarder", event.Forwarder}, {"outcome", event.Outcome}, {"because", event.Reason},
		{"retry_refused", event.RetryRefusal}, {"search", event.Search}, {"successor", event.Successor},
		{"replica_version", event.ReplicaVersion}, {"identity", event.Identity}, {"resumes", event.ResumedRequest}, {"last_event", event.LastEvent}, {"from_event", event.FromEvent}, {"to_event", event.ToEvent}, {"detail", event.Detail},
	} {
		if part.value != "" {
			text += fmt.Sprintf(" %s=%s", part.name, part.value)
		}
	}
	for _, part := range []struct {
		name  string
		value int64
	}{{"status", int64(event.Status)}, {"waited_ms", event.WaitedMS}, {"took_ms", event.TookMS}, {"age_ms", event.AgeMS}, {"born", event.StartedAt}, {"identity_age_ms", event.IdentityAgeMS}, {"revision", event.Revision}, {"version", event.Version},
		{"left_ms", event.RemainingMS}, {"priority", int64(event.Priority)}, {"prompt", int64(event.Prompt)}, {"answer", int64(event.Answer)},
		{"waiting", int64(event.QueuedAhead)}, {"free", int64(event.FreeSlots)}, {"expected_ms", event.ExpectedWaitMS}, {"retry_after_ms", event.RetryAfterMS},
		{"first_ms", event.FirstEventMS}, {"pause_ms", event.MaxPauseMS}, {"silent_ms", event.SilentMS}, {"count", int64(event.Count)},
	} {
		if part.value != 0 {
			text += fmt.Sprintf(" %s=%d", part.name, part.value)
		}
	}
	return text
}

// remedies explains the reasons of rejections and failures to operators.
var remedies = map[string]string{
	"quota":                    "the tenant was over its quota over all nodes: raise it or tell the tenant",
	"backlog":                  "the request would have been late; it was told to come back: add replicas",
	"no-place":                 "no replica of the service had a free place while the request waited: add replicas",
	"no-replica":               "no usable replica of the service was known: see the replica lines",
	"too-long-for-deadline":    "no replica is fast enough for the expected answer before the deadline",
	"replicas-full":            "the replicas rejected the request although places were free here: see their load",
	"replicas-unreachable":     "no connection to the chosen replicas could be opened: see the replica lines and the links",
	"barred":                   "too many replicas ended under this request or under a part of its prompt (barred_by), see the content lines: thornwalk barred lists it, thornwalk barred lift lets it be sent again",
	"suspect":                  "a replica ended under this request, and another try of it ran: one at a time is sent, see the content lines",
	"replicas-unproven":        "nothing showed that the replicas of the stream's version are still the processes of their entries: see the replica.identity and store lines",
	"no-replica-of-version":    "no replica of the version that began the stream could be used, or be shown to have it still: see the replica and replica.identity lines",
	"stream-unknown":           "no node that keeps origins knew the stream, and its service has or lately had several versions",
	"stream-ambiguous":         "two streams have the id that the caller names: callers must not use an id twice",
	"stream-of-other-service":  "the route leads to another service than the one that began the stream",
	"stream-version-uncertain": "nothing showed at which version the stream began: explain the request that began it, and see the replica.identity lines of its replica",
	"replica-broke-off":        "a replica ran the request and its answer was cut, spoiled or a failure",
	"memory-full":              "requests and answers together held more than buffer_mb of this node, and this one most of it; its replica is not at fault: see the gauges buffers.* and the size of answers",
	"deadline":                 "the time of the caller or the route ran out while a replica had the request",
	"no-configuration":         "the node knew no configuration yet: see its store lines",
	"no-scheduler":             "no scheduling node answered in time: see the scheduler and peer lines",
	"stopping":                 "the node was stopping and the answer would not have ended before",
	"caller-left":              "the caller closed its connection",
	"unknown-key":              "the key belongs to no tenant of the configuration in force",
	"no-route":                 "no route of the configuration in force matches",
	"body-too-slow":            "the body did not come before the deadline",
	"body-too-large":           "the body is over the limit of the configuration",
	"body-unreadable":          "the body was malformed or cut by the caller",
}

// Cause returns the outcome of the request, the replicas that it was sent to, and the reason with
// its remedy.
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
	for _, event := range s.Request {
		if event.Kind == "request.sent" && event.Reason == "spoiled" {
			text += fmt.Sprintf("; %s sent bytes that are no answer (%s): see the replica's own log, and answers.invalid in the metrics for how often", event.Replica, event.Detail)
		}
	}
	return text
}
