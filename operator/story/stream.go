package story

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

// streamEvents returns the events of the stream that the request began or resumes: its own and those of the other requests
// for the stream, which name the one that began it.
func streamEvents(id string, all []eventlog.Event) []eventlog.Event {
	first := id
	for _, event := range all {
		if event.Request == id && event.ResumedRequest != "" {
			first = event.ResumedRequest
		}
	}
	requests := map[string]bool{id: true, first: true}
	for _, event := range all {
		if event.ResumedRequest == first {
			requests[event.Request] = true
		}
	}
	var found []eventlog.Event
	for _, event := range all {
		if requests[event.Request] {
			found = append(found, event)
		}
	}
	return found
}

// Pieces describes, each in one sentence, which events of the stream each send brought, at which version and incarnation of
// a replica and by which proof, and where events are missing, repeated or of two versions. It describes nothing of
// requests that brought no events with IDs.
func (s *Story) Pieces() []string {
	var texts, findings, versions []string
	last := map[string]string{} // by request: the last event that its caller has
	latest, sends := "", 0
	for _, event := range s.Stream {
		if event.LastEvent != "" && event.Kind != sentKind && last[event.Request] == "" {
			last[event.Request] = event.LastEvent
			if isAfter(event.LastEvent, latest) && sends > 0 {
				findings = append(findings, fmt.Sprintf("the caller of %s has event %s, and the lines tell of none after %s: lines are missing", event.Request, event.LastEvent, latest))
			}
		}
		if event.Kind != sentKind || event.FromEvent == "" {
			continue
		}
		sends++
		texts = append(texts, fmt.Sprintf("%s brought events %s to %s of %s%s, sent by %s: %s",
			event.Request, event.FromEvent, event.ToEvent, event.Replica, startText(event), event.Node, proofText(event)))
		if finding := compareEvents(event, last[event.Request]); finding != "" {
			findings = append(findings, finding)
		}
		last[event.Request] = event.ToEvent
		if latest == "" || isAfter(event.ToEvent, latest) {
			latest = event.ToEvent
		}
		if event.ReplicaVersion != "" && !slices.Contains(versions, event.ReplicaVersion) {
			versions = append(versions, event.ReplicaVersion)
		}
	}
	if len(versions) > 1 {
		findings = append(findings, "the stream has events of several versions: "+strings.Join(versions, ", "))
	}
	if len(findings) == 0 && sends > 1 {
		findings = []string{"the events of all sends follow each other and are of one version"}
	}
	return append(texts, findings...)
}

// compareEvents says whether events are missing or repeated between the last event that the caller has, if it has one, and
// those of the send. It returns an empty text if they follow each other.
func compareEvents(sent eventlog.Event, last string) string {
	if last == "" {
		return ""
	}
	before, errBefore := strconv.ParseInt(last, 10, 64)
	next, errNext := strconv.ParseInt(sent.FromEvent, 10, 64)
	switch {
	case sent.FromEvent == last:
		return fmt.Sprintf("event %s came twice: the caller of %s had it, and %s sent it again", last, sent.Request, sent.Replica)
	case errBefore != nil || errNext != nil:
		return fmt.Sprintf("whether an event is missing between %s and %s can't be told: the IDs are no numbers", last, sent.FromEvent)
	case next < before:
		return fmt.Sprintf("events %s to %s came twice: the caller of %s had them, and %s sent them again", sent.FromEvent, last, sent.Request, sent.Replica)
	case next > before+1:
		return fmt.Sprintf("the caller of %s had event %s, and %s went on with %s: events are missing, unless the replicas count in steps of %d", sent.Request, last, sent.Replica, sent.FromEvent, next-before)
	}
	return ""
}

// isAfter reports whether an event has a higher number than another one.
func isAfter(id, other string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	otherNumber, otherErr := strconv.ParseInt(other, 10, 64)
	return err == nil && otherErr == nil && number > otherNumber
}
