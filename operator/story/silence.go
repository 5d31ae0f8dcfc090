package story

import (
	"fmt"

	"github.com/thornwalk/thornwalk/internal/eventlog"
)

const (
	silenceKind = "request.silent"
	// searchingOutcome is the outcome of a line about the begin of a search; other outcomes end the silence.
	searchingOutcome = "searching"
)

// Silences describes the silences of replicas that had the request, each in one sentence.
func (s *Story) Silences() []string {
	var texts []string
	var unended *eventlog.Event
	for i, event := range s.Request {
		switch {
		case event.Kind != silenceKind:
		case event.Outcome == searchingOutcome:
			unended = &s.Request[i]
		default:
			texts = append(texts, silenceText(event))
			unended = nil
		}
	}
	if unended != nil {
		texts = append(texts, fmt.Sprintf("replica %s silent for %s or longer; no end of the silence is in the logs", unended.Replica, seconds(unended.SilentMS)))
	}
	return texts
}

// silenceText describes the silence that ended with the event.
func silenceText(event eventlog.Event) string {
	text := fmt.Sprintf("replica %s silent for %s; another one was looked for", event.Replica, seconds(event.SilentMS))
	if event.Count > 1 {
		text += fmt.Sprintf(" %d times", event.Count)
	}
	if event.RetryRefusal != "" && event.Search == "" && event.Successor == "" {
		text += fmt.Sprintf(" and refused (%s)", event.RetryRefusal)
	} else if event.RetryRefusal != "" {
		text += fmt.Sprintf(", at first refused (%s)", event.RetryRefusal)
	}
	switch event.Outcome {
	case "went-on":
		text += fmt.Sprintf("; %s went on", event.Replica)
	case "replaced":
		return text + fmt.Sprintf("; %s took over", event.Successor)
	case "broke-off":
		text += fmt.Sprintf("; %s broke off", event.Replica)
	case "deadline":
		text += "; the time of the request was over"
	case "caller-left":
		text += "; the caller left"
	default:
		text += "; " + event.Outcome
	}
	if event.Search != "" {
		text += " before it answered"
	}
	return text
}

// seconds formats milliseconds as seconds with one decimal.
func seconds(milliseconds int64) string {
	return fmt.Sprintf("%.1f s", float64(milliseconds)/1000)
}
