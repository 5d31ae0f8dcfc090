package platformsim

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
)

// Event returns the text of one event of a streamed answer.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", number, number, id)
}

func (r *Replica) writeStream(ctx context.Context, conn net.Conn, behavior Behavior, id string, run *Run) bool {
	lastID, _ := strconv.Atoi(run.LastEventID)
	framing, frame, end := "Transfer-Encoding: chunked\r\n", chunk, "0\r\n\r\n"
	isUnframed := behavior == Unframed || behavior == UnframedCut
	if isUnframed {
		framing, frame, end = "", func(text string) string { return text }, ""
	}
	writeText(conn, r.responseHead("200 OK", id, "text/event-stream", run)+framing+"\r\n")
	for number := r.EventIDs.countUpTo(lastID) + 1; number <= r.Events; number++ {
		if !sleep(ctx, r.step()) {
			return false
		}
		next := StreamEvent{Number: number, ID: r.EventIDs.ID(number), Request: id, Version: r.Version, Incarnation: r.Incarnation}
		if r.NamesRuns {
			next.Run, next.After = run.number, lastID
		}
		event := next.Text()
		if (behavior == Cut || behavior == UnframedCut) && number > r.Events/2 {
			writeText(conn, frame(event[:len(event)/2]))
			return false
		}
		if behavior == SpoilMidway && number > r.Events/2 {
			writeText(conn, "HTTP/1.1 200 OK\r\n\r\n"+event)
			return false
		}
		if !writeText(conn, frame(event)) {
			// After a suspension the write may notice the close before watchDisconnect does.
			r.cancelRun(run)
			return false
		}
	}
	r.completeRun(run)
	return writeText(conn, end) && !isUnframed
}

// VersionComment is the prefix of the comment by which an event names the version of its replica.
const VersionComment = ": version "

func versionComment(version string) string {
	if version == "" {
		return ""
	}
	return VersionComment + version + "\n"
}

// IncarnationComment is the prefix of the comment by which an event names the incarnation of its replica.
const IncarnationComment = ": incarnation "

func incarnationComment(incarnation string) string {
	if incarnation == "" {
		return ""
	}
	return IncarnationComment + incarnation + "\n"
}

// runComment is the prefix of the comment by which an event names its run, counted from 1 at its replica, and the
// Last-Event-Id with which the run began, 0 if it had none.
const runComment = ": run "

// EventIDs are the IDs of the events of a whole stream, in order. They rise. Without any, events have the IDs 1, 2, 3
// and so on.
type EventIDs []int

// ID returns the ID of the event with the number, counted from 1. There must be one.
func (i EventIDs) ID(number int) int {
	if len(i) == 0 {
		return number
	}
	return i[number-1]
}

// countUpTo returns the number of events whose IDs are not higher.
func (i EventIDs) countUpTo(id int) int {
	if len(i) == 0 {
		return id
	}
	count, _ := slices.BinarySearch(i, id+1)
	return count
}

// has reports whether the event with the number has the ID.
func (i EventIDs) has(number, id int) bool {
	return number > 0 && (len(i) == 0 || number <= len(i)) && i.ID(number) == id
}

// StreamBody returns the body of a complete streamed answer of a replica with the version.
func StreamBody(id, version string, events int) string {
	var text strings.Builder
	for number := 1; number <= events; number++ {
		text.WriteString(versionComment(version) + Event(id, number))
	}
	return text.String()
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Events is what a body of a stream shows: the versions named by its events, in order and each once, and the ID of the
// last event, 0 if there is none, and the number of events.
type Events struct {
	Versions []string
	LastID   int
	Count    int
}

// ReadEvents reads the events of a body.
func ReadEvents(body string) Events {
	var events Events
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if version, found := strings.CutPrefix(line, VersionComment); found && !slices.Contains(events.Versions, version) {
			events.Versions = append(events.Versions, version)
		}
		if id, found := strings.CutPrefix(line, "id: "); found {
			events.LastID, _ = strconv.Atoi(id)
			events.Count++
		}
	}
	return events
}

// Add adds the events of a continuation.
func (e *Events) Add(continuation Events) {
	for _, version := range continuation.Versions {
		if !slices.Contains(e.Versions, version) {
			e.Versions = append(e.Versions, version)
		}
	}
	e.LastID = max(e.LastID, continuation.LastID)
	e.Count += continuation.Count
}

// StreamEvent is an event of a streamed answer.
type StreamEvent struct {
	// Number is that of the event in the whole stream, counted from 1, and ID is its ID.
	Number, ID int
	// Request is the ID of the request that it answers, Version and Incarnation name the replica that sent it.
	Request, Version, Incarnation string
	// Run is the number of its run at the replica, and After the ID of the event after which that run began; both are 0 if
	// the replica does not name its runs.
	Run, After int
}

// Text returns the event as a replica sends it.
func (e StreamEvent) Text() string {
	text := versionComment(e.Version) + incarnationComment(e.Incarnation)
	if e.Run > 0 {
		text += fmt.Sprintf("%s%d after %d\n", runComment, e.Run, e.After)
	}
	return text + fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", e.ID, e.Number, e.Request)
}

// HasBeginning reports whether the text is the beginning of an event with this ID, number and request, whoever sent it.
func (e StreamEvent) HasBeginning(text string) bool {
	comments := []string{VersionComment, IncarnationComment, runComment}
	isComment := func(line string) bool {
		return slices.ContainsFunc(comments, func(prefix string) bool { return strings.HasPrefix(line, prefix) })
	}
	for {
		line, after, isWhole := strings.Cut(text, "\n")
		if !isWhole || !isComment(line) {
			break
		}
		text = after
	}
	unnamed := StreamEvent{Number: e.Number, ID: e.ID, Request: e.Request}.Text()
	isPart := func(prefix string) bool { return strings.HasPrefix(prefix, text) }
	return strings.HasPrefix(unnamed, text) || !strings.Contains(text, "\n") && (isComment(text) || slices.ContainsFunc(comments, isPart))
}

// ParseEvents returns the whole events of a body and the text after the last one, which is empty if the body ends
// between two events. An error says that a whole event is not one of a replica whose events have the IDs.
func ParseEvents(body string, ids EventIDs) (events []StreamEvent, rest string, err error) {
	for {
		text, after, isWhole := strings.Cut(body, "\n\n")
		if !isWhole {
			return events, body, nil
		}
		event, err := parseEvent(text, ids)
		if err != nil {
			return events, body, err
		}
		events, body = append(events, event), after
	}
}

func parseEvent(text string, ids EventIDs) (StreamEvent, error) {
	var event StreamEvent
	for line := range strings.SplitSeq(text, "\n") {
		switch key, value := cutField(line); key {
		case VersionComment:
			event.Version = value
		case IncarnationComment:
			event.Incarnation = value
		case runComment:
			if _, err := fmt.Sscanf(value, "%d after %d", &event.Run, &event.After); err != nil {
				return event, fmt.Errorf("event with the run %.80q: %w", value, err)
			}
		case "id: ":
			event.ID, _ = strconv.Atoi(value)
		case "data: ":
			if _, err := fmt.Sscanf(value, "part %d of %s", &event.Number, &event.Request); err != nil {
				return event, fmt.Errorf("event with the data %.80q: %w", value, err)
			}
		default:
			return event, fmt.Errorf("event with the line %.80q", line)
		}
	}
	if !ids.has(event.Number, event.ID) {
		return event, fmt.Errorf("event with the ID %d and the data of %d", event.ID, event.Number)
	}
	if event.Text() != text+"\n\n" {
		return event, fmt.Errorf("event with the text %.200q", text)
	}
	return event, nil
}

// cutField returns the prefix of the line that is known in events, empty if there is none, and what follows it.
func cutField(line string) (key, value string) {
	for _, key := range []string{VersionComment, IncarnationComment, runComment, "id: ", "data: "} {
		if value, found := strings.CutPrefix(line, key); found {
			return key, value
		}
	}
	return "", ""
}
