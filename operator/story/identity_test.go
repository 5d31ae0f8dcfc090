package story

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against an explanation from which an operator can't tell what allowed a stream to go on, how old that was, and
// why a stream was not resumed.
func TestWhatAllowedAStreamToGoOnIsExplained(t *testing.T) {
	const lines = `
{"time":"t1","node":"a","event":"request.sent","request":"within","replica":"i-1","replica_version":"v1","born":946684801400,"identity":"entry","identity_age_ms":5200,"outcome":"broken","reason":"closed-by-replica","first_ms":40}
{"time":"t2","node":"a","event":"replica.identity","replica":"i-1","outcome":"doubted","born":946684801400,"replica_version":"v1","identity_age_ms":5300}
{"time":"t3","node":"a","event":"request.sent","request":"within","replica":"i-2","replica_version":"v1","born":946684801400,"outcome":"not-sent","reason":"unproven","identity_age_ms":9100,"last_event":"3"}
{"time":"t4","node":"a","event":"request.sent","request":"within","replica":"i-3","replica_version":"v1","identity":"report","identity_age_ms":12,"outcome":"answered","last_event":"3"}
{"time":"t5","node":"a","event":"request.ended","request":"within","outcome":"answered","status":200}
{"time":"t1","node":"b","event":"stream.resumed","request":"resumed","resumes":"first","last_event":"4","outcome":"bound","replica_version":"v2","detail":"origin known"}
{"time":"t2","node":"b","event":"request.sent","request":"resumed","replica":"i-4","replica_version":"v2","identity":"assumed","identity_age_ms":400,"outcome":"answered"}
{"time":"t3","node":"b","event":"request.ended","request":"resumed","outcome":"answered","status":200}
{"time":"t1","node":"b","event":"stream.resumed","request":"refused","resumes":"first","last_event":"4","outcome":"refused","reason":"stream-version-uncertain","detail":"origin known"}
{"time":"t2","node":"b","event":"request.ended","request":"refused","outcome":"not-run","reason":"stream-version-uncertain","status":503}
{"time":"t1","node":"b","event":"request.sent","request":"began","replica":"i-5","replica_version":"v2","born":946684801400,"identity_age_ms":7000,"outcome":"answered","first_ms":40}
{"time":"t2","node":"b","event":"request.ended","request":"began","outcome":"answered","status":200}
{"time":"t1","node":"b","event":"request.sent","request":"earlier","replica":"i-5","replica_version":"v2","outcome":"answered","first_ms":40}
{"time":"t1","node":"b","event":"request.sent","request":"plain","replica":"i-5","replica_version":"v2","outcome":"answered"}
{"time":"t2","node":"b","event":"request.ended","request":"plain","outcome":"answered","status":200}
`
	for id, test := range map[string]struct {
		texts []string
		cause string
	}{
		"within": {texts: []string{
			"the stream began at i-1 of version v1 started at 2000-01-01T00:00:01.400Z: the store listed it after a successor would have replaced its entry (entry); the latest statement on it was 5.2 s old",
			"the stream did not go on at i-2: nothing showed whether it is still the process of version v1 started at 2000-01-01T00:00:01.400Z; the latest statement on it was 9.1 s old",
			"the stream went on at i-3 of version v1: it stated its start itself (report); the latest statement on it was 0.0 s old",
		}},
		"resumed": {texts: []string{
			"the stream of first may go on at version v2 alone: origin known",
			"the stream went on at i-4 of version v2: its entry was read lately and nothing had failed at it since (assumed); the latest statement on it was 0.4 s old",
		}},
		"refused": {
			texts: []string{"the stream of first may not go on (stream-version-uncertain): explain that request too"},
			cause: "nothing showed at which version the stream began",
		},
		"began":   {texts: []string{"the stream began at i-5 of version v2 started at 2000-01-01T00:00:01.400Z: nothing showed then that it was still this process; the latest statement on it was 7.0 s old"}},
		"earlier": {texts: []string{"the stream began at i-5 of version v2: the line has no statement on this process"}},
		"plain":   {},
	} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			story, err := Read(id, strings.NewReader(lines))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(story.Identities()).To(gomega.Equal(test.texts))
			g.Expect(story.Cause()).To(gomega.ContainSubstring(test.cause))
		})
	}
}

// Guards against a story without the lines on the processes at the addresses of the request's replicas.
func TestDoubtsOfTheReplicasAreRelated(t *testing.T) {
	g := gomega.NewWithT(t)
	story, err := Read("r", strings.NewReader(`
{"time":"t1","node":"a","event":"replica.identity","replica":"i-1","outcome":"replaced","born":946684801400,"identity_age_ms":5300}
{"time":"t1","node":"a","event":"replica.identity","replica":"i-2","outcome":"doubted"}
{"time":"t2","node":"a","event":"request.sent","request":"r","replica":"i-1","outcome":"answered"}
`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	story.Write(&text)
	g.Expect(text.String()).To(gomega.ContainSubstring("replica.identity replica=i-1 outcome=replaced born=946684801400 identity_age_ms=5300"))
	g.Expect(text.String()).NotTo(gomega.ContainSubstring("i-2"))
}
