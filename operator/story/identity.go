package story

import (
	"fmt"
	"time"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

const (
	sentKind       = "request.sent"
	notSentOutcome = "not-sent"
	// unprovenReason is the reason of a send of a stream that was not made, as nothing showed which incarnation of the
	// replica would answer.
	unprovenReason = "unproven"
	resumedKind    = "stream.resumed"
	boundOutcome   = "bound"
)

// statements says what the values of eventlog.Event.Identity stand for.
var statements = map[string]string{
	"entry":            "the store listed it after a successor would have replaced its entry",
	"answers":          "an earlier connection to it was alive after this one was opened",
	"report":           "it stated its start itself",
	"unbroken":         "a connection to it was alive just before this one was opened",
	"assumed":          "its entry was read lately and nothing had failed at it since",
	"assumed-unbroken": "a connection that was assumed to lead to it was alive just before this one was opened",
}

// Identities describes, each in one sentence, what showed that replicas at which the stream went on, or began, were the
// processes that their entries describe, and where nothing did.
func (s *Story) Identities() []string {
	var texts []string
	isResumed := false
	for _, event := range s.Request {
		switch {
		case event.Kind == resumedKind && event.Outcome == boundOutcome:
			isResumed = true
			texts = append(texts, fmt.Sprintf("the stream of %s may go on at version %s alone: %s", event.ResumedRequest, event.ReplicaVersion, event.Detail))
		case event.Kind == resumedKind:
			texts = append(texts, fmt.Sprintf("the stream of %s may not go on (%s): explain that request too", event.ResumedRequest, event.Reason))
		case event.Kind != sentKind:
		case event.Reason == unprovenReason:
			texts = append(texts, fmt.Sprintf("the stream did not go on at %s: nothing showed whether it is still the process%s; %s", event.Replica, startText(event), ageText(event)))
		case event.Outcome == notSentOutcome:
		case isResumed || event.LastEvent != "":
			texts = append(texts, fmt.Sprintf("the stream went on at %s%s: %s", event.Replica, startText(event), proofText(event)))
		case event.FirstEventMS > 0:
			texts = append(texts, fmt.Sprintf("the stream began at %s%s: %s", event.Replica, startText(event), proofText(event)))
		}
	}
	return texts
}

// startText names the version and the start of the replica's known incarnation.
func startText(event eventlog.Event) string {
	text := ""
	if event.ReplicaVersion != "" {
		text = " of version " + event.ReplicaVersion
	}
	if event.StartedAt > 0 {
		text += " started at " + time.UnixMilli(event.StartedAt).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	return text
}

// proofText says what showed that the connection led to the known incarnation.
func proofText(event eventlog.Event) string {
	if event.Identity == "" && event.IdentityAgeMS == 0 {
		return "the line has no statement on this process"
	}
	if event.Identity == "" {
		return "nothing showed then that it was still this process; " + ageText(event)
	}
	statement, found := statements[event.Identity]
	if !found {
		statement = event.Identity
	}
	return fmt.Sprintf("%s (%s); %s", statement, event.Identity, ageText(event))
}

// ageText says how old the latest statement on the incarnation was.
func ageText(event eventlog.Event) string {
	if event.IdentityAgeMS == 0 {
		return "without a statement that has an age"
	}
	return fmt.Sprintf("the latest statement on it was %s old", seconds(event.IdentityAgeMS))
}
