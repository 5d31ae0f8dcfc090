package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// eventsWith returns events with the IDs, which are separated by spaces, in chunks.
func eventsWith(ids string) string {
	var text strings.Builder
	for _, id := range strings.Fields(ids) {
		event := fmt.Sprintf("id: %s\ndata: part %s\n\n", id, id)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	return text.String()
}

// idsOf returns the IDs of the events of a body.
func idsOf(body string) string {
	var ids []string
	for line := range strings.Lines(body) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			ids = append(ids, strings.TrimSpace(id))
		}
	}
	return strings.Join(ids, " ")
}

// streamCourse is what the first replica sends, before it breaks off or ends the stream, and what the second does.
type streamCourse struct {
	// callerHas is the ID of the last event that the caller has of a stream that it resumes, empty for a new one.
	callerHas           string
	first, continuation string
	isFirstWhole        bool
	// want are the events that the caller has, and isComplete whether they look complete.
	want       string
	isComplete bool
	violation  string
}

// play sends a request to the path and compares.
func (c *streamCourse) play(t *testing.T, path string) {
	runScenario(t, func(s *scenario) {
		replicas := s.replaceReplicas("engines", 2, func(number int, exchange *scriptedExchange) {
			exchange.write(exchange.head("200 OK", eventStreamLines))
			if c.callerHas != "" {
				number--
			}
			if number == 0 {
				exchange.write(eventsWith(c.callerHas) + "0\r\n\r\n")
				return
			}
			if number == 1 {
				exchange.write(eventsWith(c.first))
				if c.isFirstWhole {
					exchange.write("0\r\n\r\n")
				}
				exchange.close()
				return
			}
			exchange.write(eventsWith(c.continuation) + "0\r\n\r\n")
		})
		defer replicas.close()
		resume := func(*http.Request) {}
		if c.callerHas != "" {
			s.Expect(s.do("n1", http.MethodPost, path, withRequestID("began")).status).To(gomega.Equal(http.StatusOK))
			resume = func(request *http.Request) {
				request.Header.Set("Last-Event-Id", c.callerHas)
				request.Header.Set("Resumes", "began")
			}
		}
		got := s.do("n1", http.MethodPost, path, resume)
		s.Expect(got.status).To(gomega.Equal(http.StatusOK))
		s.Expect(idsOf(got.body)).To(gomega.Equal(c.want))
		s.Expect(got.complete).To(gomega.Equal(c.isComplete))
		if c.violation != "" {
			s.Expect(s.counters("answers_invalid_" + c.violation + " ")).To(gomega.Equal(1))
		}
	})
}

// Guards against events that reach the caller twice, or in another order, since the IDs of one answer fall or repeat.
func TestEventsAreRelayedWhileTheirIDsRise(t *testing.T) {
	const violation = "event_ids_not_rising"
	for name, course := range map[string]*streamCourse{
		"fall":                {first: "1 2 3 2 3 4", isFirstWhole: true, want: "1 2 3", violation: violation},
		"repeat":              {first: "1 2 2 3", isFirstWhole: true, want: "1 2", violation: violation},
		"begin anew":          {first: "1 2 1 2", isFirstWhole: true, want: "1 2", violation: violation},
		"rise unevenly":       {first: "3 7 40", isFirstWhole: true, want: "3 7 40", isComplete: true},
		"no integers":         {first: "a c b b", isFirstWhole: true, want: "a c b b", isComplete: true},
		"integers and others": {first: "1 a 2 b", isFirstWhole: true, want: "1 a 2 b", isComplete: true},
	} {
		t.Run(name, func(t *testing.T) { course.play(t, "/stream/") })
	}
	for name, course := range map[string]*streamCourse{
		"fall, then go on elsewhere": {first: "1 2 3 2 3", isFirstWhole: true, continuation: "4 5", want: "1 2 3 4 5", isComplete: true, violation: violation},
		"fall in the continuation":   {first: "1 2", continuation: "3 4 3 4 5", want: "1 2 3 4", violation: violation},
		"fall within an overlap":     {first: "1 2 3", continuation: "1 2 1 2 3 4", want: "1 2 3", violation: violation},
	} {
		t.Run(name, func(t *testing.T) { course.play(t, "/resume/") })
	}
}

// Guards against a continuation that lacks the next event and looks complete, and against one that is refused though
// nothing shows that an event is missing.
func TestContinuationsBeginWithTheNextEvent(t *testing.T) {
	const violation = "event_missing"
	for name, course := range map[string]*streamCourse{
		"gap":                                {first: "1 2 3", continuation: "5 6", want: "1 2 3", violation: violation},
		"gap after an overlap":               {first: "1 2 3", continuation: "2 3 5", want: "1 2 3", violation: violation},
		"gap where the first ID is large":    {first: "7 8", continuation: "10", want: "7 8", violation: violation},
		"next":                               {first: "1 2 3", continuation: "4 5", want: "1 2 3 4 5", isComplete: true},
		"overlap":                            {first: "1 2 3", continuation: "1 2 3 4", want: "1 2 3 4", isComplete: true},
		"overlap alone":                      {first: "1 2 3", continuation: "2 3", want: "1 2 3", isComplete: true},
		"no event":                           {first: "1 2 3", want: "1 2 3", isComplete: true},
		"gap where IDs are not consecutive":  {first: "2 4 5", continuation: "9", want: "2 4 5 9", isComplete: true},
		"gap after one event":                {first: "1", continuation: "3", want: "1 3", isComplete: true},
		"gap within the continuation":        {first: "1 2", continuation: "3 5", want: "1 2 3 5", isComplete: true},
		"gap where IDs are not all integers": {first: "1 2 x", continuation: "9", want: "1 2 x 9", isComplete: true},
	} {
		t.Run(name, func(t *testing.T) { course.play(t, "/resume/") })
	}
}

// Guards against a continuation that lacks the next event and looks complete where only the caller's last event and one
// more show how IDs are counted, and against one that is refused because the caller's last event shows nothing.
func TestContinuationsOfResumedStreamsBeginWithTheNextEvent(t *testing.T) {
	const violation = "event_missing"
	for name, course := range map[string]*streamCourse{
		"gap":                                   {callerHas: "5", first: "6", continuation: "8", want: "6", violation: violation},
		"gap after more events":                 {callerHas: "5", first: "6 7", continuation: "9", want: "6 7", violation: violation},
		"gap after an overlap with the caller":  {callerHas: "5", first: "4 5 6", continuation: "8", want: "4 5 6", violation: violation},
		"next":                                  {callerHas: "5", first: "6", continuation: "7 8", want: "6 7 8", isComplete: true},
		"overlap":                               {callerHas: "5", first: "6", continuation: "5 6 7", want: "6 7", isComplete: true},
		"gap where IDs don't follow the last":   {callerHas: "5", first: "8", continuation: "11", want: "8 11", isComplete: true},
		"gap where the last ID is no integer":   {callerHas: "x", first: "6", continuation: "8", want: "6 8", isComplete: true},
		"gap right behind the caller's last":    {callerHas: "5", first: "8 9", isFirstWhole: true, want: "8 9", isComplete: true},
		"IDs that begin anew for the caller":    {callerHas: "5", first: "1 2", continuation: "3", want: "1 2 3", isComplete: true},
		"IDs that begin anew and leave out one": {callerHas: "5", first: "1 2", continuation: "4", want: "1 2", violation: violation},
	} {
		t.Run(name, func(t *testing.T) { course.play(t, "/resume/") })
	}
}
