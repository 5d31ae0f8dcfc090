package story

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// The cause of a failed request must be found from recorded logs in any order. docs/OPERATIONS.md
// explains the same requests.
func TestCauseOfFailedRequests(t *testing.T) {
	for _, test := range []struct{ file, id, cause string }{
		{"refused", "e316909fc0efcb50", "not-run, status 503; never sent to a replica; backlog: the request would have been late"},
		{"broken-off", "000328bf8f36d0c7", "unknown, status 502; sent to i-2e95ae2a5b (broken); replica-broke-off"},
		{"cut", "e201b2829a500aa6", "unknown, status 502; sent to i-7e1fe4094d (failed); replica-broke-off"},
	} {
		t.Run(test.file, func(t *testing.T) {
			g := gomega.NewWithT(t)
			content, err := os.ReadFile("testdata/" + test.file + ".jsonl")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			half := bytes.IndexByte(content, '\n') + 1
			story, err := Read(test.id, bytes.NewReader(content[half:]), bytes.NewReader(content[:half]))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(story.Cause()).To(gomega.ContainSubstring(test.cause))
			var text strings.Builder
			story.Write(&text)
			g.Expect(text.String()).To(gomega.ContainSubstring("request.ended"))
		})
	}
}

// Prefixes of log collectors and lines that are not events must not hide the request's events.
func TestPrefixesAndOtherLinesAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := "  1.5 node-a {\"time\":\"t1\",\"node\":\"a\",\"event\":\"request.ended\",\"request\":\"r\",\"outcome\":\"answered\",\"status\":200}\nno json\n{broken\n"
	story, err := Read("r", strings.NewReader(logs))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(story.Cause()).To(gomega.Equal("request r: answered, status 200; never sent to a replica"))
	_, err = Read("other", strings.NewReader(logs))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("give the logs of every node")))
	_, err = Read("r", io.MultiReader())
	g.Expect(err).To(gomega.HaveOccurred())
}

// The story of a blocked request must show the replicas that crashed under earlier attempts of it,
// whichever node observed that.
func TestBlockedRequestIsExplainedByCrashedReplicas(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := `{"time":"t1","node":"b","event":"content","content":"c1","outcome":"barred","count":3,"detail":"i-1/a i-2/a i-3/a"}
{"time":"t2","node":"b","event":"content","content":"c2","outcome":"barred","detail":"i-9/a"}
{"time":"t3","node":"a","event":"request.ended","request":"r","content":"c1","outcome":"not-run","reason":"barred","status":503}
`
	story, err := Read("r", strings.NewReader(logs))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	story.Write(&text)
	g.Expect(text.String()).To(gomega.ContainSubstring("i-1/a i-2/a i-3/a"))
	g.Expect(text.String()).NotTo(gomega.ContainSubstring("i-9/a"))
	g.Expect(story.Cause()).To(gomega.ContainSubstring("too many replicas ended under this request"))
}

// Guards against an explanation that doesn't say that a replica sent bytes that are no answer, or that the node ended
// the request for its memory.
func TestSpoiledAndEvictedAnswersAreExplained(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := `{"time":"t1","node":"a","event":"request.sent","request":"r","replica":"i-1","outcome":"broken","reason":"spoiled","detail":"read head of answer: head-too-long after 16384 bytes"}
{"time":"t2","node":"a","event":"request.ended","request":"r","outcome":"unknown","reason":"replica-broke-off","status":502}
{"time":"t1","node":"a","event":"request.sent","request":"s","replica":"i-2","outcome":"broken","reason":"memory-full"}
{"time":"t2","node":"a","event":"request.ended","request":"s","outcome":"unknown","reason":"memory-full","status":502}
`
	spoiled, err := Read("r", strings.NewReader(logs))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(spoiled.Cause()).To(gomega.ContainSubstring("i-1 sent bytes that are no answer (read head of answer: head-too-long after 16384 bytes)"))
	evicted, err := Read("s", strings.NewReader(logs))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(evicted.Cause()).To(gomega.ContainSubstring("memory-full: requests and answers together"))
	g.Expect(evicted.Cause()).NotTo(gomega.ContainSubstring("no answer"))
}
