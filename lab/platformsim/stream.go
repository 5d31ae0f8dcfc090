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
func Event(id string, number int) string { return eventWithID(number, id, number) }

func eventWithID(eventID int, id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: part %d of %s\n\n", eventID, number, id)
}

// idOfEvent returns the ID of the event with the number.
func (r *Replica) idOfEvent(number int) int {
	if r.EventID == nil {
		return number
	}
	return r.EventID(number)
}

func (r *Replica) writeStream(ctx context.Context, conn net.Conn, behavior Behavior, id string, run *Run) bool {
	lastEvent, _ := strconv.Atoi(run.LastEventID)
	framing, frame, end := "Transfer-Encoding: chunked\r\n", chunk, "0\r\n\r\n"
	isUnframed := behavior == Unframed || behavior == UnframedCut
	if isUnframed {
		framing, frame, end = "", func(text string) string { return text }, ""
	}
	writeText(conn, r.responseHead("200 OK", id, "text/event-stream", run)+framing+"\r\n")
	number := 1
	for number <= r.Events && run.LastEventID != "" && r.idOfEvent(number) <= lastEvent {
		number++
	}
	for ; number <= r.Events; number++ {
		if !sleep(ctx, r.step()) {
			return false
		}
		event := eventWithID(r.idOfEvent(number), id, number)
		event = versionComment(r.Version) + incarnationComment(r.Incarnation) + event
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
	// Number is its ID, counted from 1.
	Number int
	// Request is the ID of the request that it answers, Version and Incarnation name the replica that sent it.
	Request, Version, Incarnation string
}

// ParseEvents returns the whole events of a body and the text after the last one, which is empty if the body ends
// between two events. An error says that a whole event is not one of a replica.
func ParseEvents(body string) (events []StreamEvent, rest string, err error) {
	for {
		text, after, isWhole := strings.Cut(body, "\n\n")
		if !isWhole {
			return events, body, nil
		}
		event, err := parseEvent(text)
		if err != nil {
			return events, body, err
		}
		events, body = append(events, event), after
	}
}

func parseEvent(text string) (StreamEvent, error) {
	var event StreamEvent
	part := 0
	for line := range strings.SplitSeq(text, "\n") {
		switch key, value := cutField(line); key {
		case VersionComment:
			event.Version = value
		case IncarnationComment:
			event.Incarnation = value
		case "id: ":
			event.Number, _ = strconv.Atoi(value)
		case "data: ":
			if _, err := fmt.Sscanf(value, "part %d of %s", &part, &event.Request); err != nil {
				return event, fmt.Errorf("event with the data %.80q: %w", value, err)
			}
		default:
			return event, fmt.Errorf("event with the line %.80q", line)
		}
	}
	if event.Number == 0 || event.Number != part {
		return event, fmt.Errorf("event with the ID %d and the data of %d", event.Number, part)
	}
	return event, nil
}

// cutField returns the prefix of the line that is known in events, empty if there is none, and what follows it.
func cutField(line string) (key, value string) {
	for _, key := range []string{VersionComment, IncarnationComment, "id: ", "data: "} {
		if value, found := strings.CutPrefix(line, key); found {
			return key, value
		}
	}
	return "", ""
}
