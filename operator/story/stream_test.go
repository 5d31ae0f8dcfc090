package story

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// streamLines are lines of streams at two nodes.
const streamLines = `
{"time":"2000-01-01T00:00:01.000Z","node":"a","event":"request.sent","request":"first","replica":"i-1","replica_version":"v1","born":946684801400,"identity":"report","identity_age_ms":400,"outcome":"broken","from_event":"1","to_event":"4"}
{"time":"2000-01-01T00:00:02.000Z","node":"a","event":"request.sent","request":"first","replica":"i-2","replica_version":"v1","identity":"entry","identity_age_ms":900,"outcome":"broken","last_event":"6","from_event":"5","to_event":"6"}
{"time":"2000-01-01T00:00:03.000Z","node":"b","event":"stream.resumed","request":"again","resumes":"first","last_event":"5","outcome":"bound","replica_version":"v1"}
{"time":"2000-01-01T00:00:04.000Z","node":"b","event":"request.sent","request":"again","replica":"i-3","replica_version":"v1","identity":"answers","identity_age_ms":20,"outcome":"answered","from_event":"6","to_event":"9"}
{"time":"2000-01-01T00:00:01.000Z","node":"a","event":"request.sent","request":"gap","replica":"i-1","replica_version":"v1","outcome":"broken","from_event":"1","to_event":"4"}
{"time":"2000-01-01T00:00:02.000Z","node":"a","event":"request.sent","request":"gap","replica":"i-2","replica_version":"v1","outcome":"answered","from_event":"6","to_event":"9"}
{"time":"2000-01-01T00:00:01.000Z","node":"a","event":"request.sent","request":"twice","replica":"i-1","replica_version":"v1","outcome":"broken","from_event":"1","to_event":"4"}
{"time":"2000-01-01T00:00:03.000Z","node":"b","event":"request.received","request":"twice-2","resumes":"twice","last_event":"4"}
{"time":"2000-01-01T00:00:04.000Z","node":"b","event":"request.sent","request":"twice-2","replica":"i-2","replica_version":"v1","outcome":"answered","from_event":"3","to_event":"9"}
{"time":"2000-01-01T00:00:01.000Z","node":"a","event":"request.sent","request":"versions","replica":"i-1","replica_version":"v1","outcome":"broken","from_event":"1","to_event":"4"}
{"time":"2000-01-01T00:00:02.000Z","node":"a","event":"request.sent","request":"versions","replica":"i-2","replica_version":"v2","identity":"assumed","identity_age_ms":4000,"outcome":"answered","from_event":"5","to_event":"9"}
{"time":"2000-01-01T00:00:01.000Z","node":"a","event":"request.sent","request":"lines","replica":"i-1","replica_version":"v1","outcome":"broken","from_event":"1","to_event":"4"}
{"time":"2000-01-01T00:00:03.000Z","node":"b","event":"request.received","request":"lines-2","resumes":"lines","last_event":"7"}
{"time":"2000-01-01T00:00:01.000Z","node":"a","event":"request.sent","request":"texts","replica":"i-1","replica_version":"v1","outcome":"broken","from_event":"a","to_event":"d"}
{"time":"2000-01-01T00:00:02.000Z","node":"a","event":"request.sent","request":"texts","replica":"i-2","replica_version":"v1","outcome":"answered","from_event":"d","to_event":"e"}
{"time":"2000-01-01T00:00:03.000Z","node":"a","event":"request.sent","request":"texts","replica":"i-2","replica_version":"v1","outcome":"answered","from_event":"g","to_event":"h"}
{"time":"2000-01-01T00:00:01.000Z","node":"a","event":"request.sent","request":"plain","replica":"i-1","replica_version":"v1","outcome":"answered"}
`

// Guards against an explanation of a stream from which an operator can't tell which replica sent which events, over all
// nodes and all requests for the stream, and where an event is missing, came twice or is of another version.
func TestPiecesOfAStreamAreExplained(t *testing.T) {
	const whole = "the events of all sends follow each other and are of one version"
	for id, want := range map[string][]string{
		"first": {
			"first brought events 1 to 4 of i-1 of version v1 started at 2000-01-01T00:00:01.400Z, sent by a: it stated its start itself (report); the latest statement on it was 0.4 s old",
			"first brought events 5 to 6 of i-2 of version v1, sent by a: the store listed it after a successor would have replaced its entry (entry); the latest statement on it was 0.9 s old",
			"again brought events 6 to 9 of i-3 of version v1, sent by b: an earlier connection to it was alive after this one was opened (answers); the latest statement on it was 0.0 s old",
			whole, // event 6 was sent twice, but its caller named event 5 as the last one
		},
		"gap":      {"the caller of gap had event 4, and i-2 went on with 6: events are missing, unless the replicas count in steps of 2"},
		"twice":    {"events 3 to 4 came twice: the caller of twice-2 had them, and i-2 sent them again"},
		"versions": {"the stream has events of several versions: v1, v2"},
		"lines":    {"the caller of lines-2 has event 7, and the lines tell of none after 4: lines are missing"},
		"texts": {
			"event d came twice: the caller of texts had it, and i-2 sent it again",
			"whether an event is missing between e and g can't be told: the IDs are no numbers",
		},
		"plain": {},
	} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			story, err := Read(id, strings.NewReader(streamLines))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			pieces := story.Pieces()
			if id == "first" {
				g.Expect(pieces).To(gomega.Equal(want))
			}
			for _, text := range want {
				g.Expect(pieces).To(gomega.ContainElement(text))
			}
			if id != "first" {
				g.Expect(pieces).NotTo(gomega.ContainElement(whole))
			}
			if id == "plain" {
				g.Expect(pieces).To(gomega.BeEmpty())
			}
		})
	}
	g := gomega.NewWithT(t)
	resumed, err := Read("again", strings.NewReader(streamLines))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resumed.Pieces()).To(gomega.HaveLen(4), "from the id of the request that resumes the stream too")
	var text strings.Builder
	resumed.Write(&text)
	g.Expect(text.String()).To(gomega.ContainSubstring("from_event=6 to_event=9"))
	g.Expect(text.String()).To(gomega.ContainSubstring(whole))
}

// Guards against an explanation that doesn't say that a planned stop ended a request, or cut it, and when.
func TestStopsThatEndedRequestsAreExplained(t *testing.T) {
	const lines = `
{"time":"2000-01-01T00:00:00.000Z","up_ms":10,"node":"a","event":"process.start"}
{"time":"2000-01-01T00:00:10.000Z","up_ms":10010,"node":"a","event":"process.stop","outcome":"begun"}
{"time":"2000-01-01T00:00:14.000Z","up_ms":14010,"node":"a","event":"request.ended","request":"refused","outcome":"not-run","reason":"stopping","status":503,"took_ms":2}
{"time":"2000-01-01T00:00:12.000Z","up_ms":12010,"node":"a","event":"request.sent","request":"given-up","replica":"i-1","outcome":"broken"}
{"time":"2000-01-01T00:00:17.000Z","up_ms":17010,"node":"a","event":"request.ended","request":"given-up","outcome":"unknown","reason":"stopping","status":502,"took_ms":6000}
{"time":"2000-01-01T00:00:12.000Z","up_ms":12010,"node":"a","event":"request.ended","request":"answered","outcome":"answered","status":200,"took_ms":40}
{"time":"2000-01-01T00:00:09.000Z","up_ms":9010,"node":"a","event":"request.ended","request":"before","outcome":"answered","status":200,"took_ms":40}
{"time":"2000-01-01T00:00:15.000Z","up_ms":15010,"node":"a","event":"request.placed","request":"cut","outcome":"granted","replica":"i-1"}
{"time":"2000-01-01T00:00:17.300Z","up_ms":17310,"node":"a","event":"process.stop","outcome":"ended","count":1}
{"time":"2000-01-01T00:00:20.000Z","up_ms":10,"node":"a","event":"process.start"}
{"time":"2000-01-01T00:00:21.000Z","up_ms":1010,"node":"a","event":"request.ended","request":"after","outcome":"answered","status":200,"took_ms":40}
{"time":"2000-01-01T00:00:14.000Z","up_ms":99000,"node":"b","event":"request.ended","request":"elsewhere","outcome":"answered","status":200,"took_ms":40}
`
	for id, want := range map[string][]string{
		"refused":   {"the planned stop of a ended it 4.0 s after its begin, 0.0 s after the request came: it has not run (not-run), status 503"},
		"given-up":  {"the planned stop of a ended it 7.0 s after its begin, 6.0 s after the request came: it may have run (unknown), status 502"},
		"answered":  {"a had been stopping for 2.0 s when the request ended there, 0.0 s after it came: answered, status 200"},
		"cut":       {"the planned stop of a, begun at 2000-01-01T00:00:10.000Z, was over after 7.3 s, and no line tells of the request's end there: it was cut"},
		"before":    nil,
		"after":     nil,
		"elsewhere": nil,
	} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			story, err := Read(id, strings.NewReader(lines))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(story.Stops()).To(gomega.Equal(want))
		})
	}
}
