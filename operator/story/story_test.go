package story

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// The lines are of one recorded day; docs/OPERATIONS.md walks them.
func TestThreeFailedRequestsFromIDToCause(t *testing.T) {
	for _, one := range []struct{ file, id, cause string }{
		{"refused", "e316909fc0efcb50", "not-run, status 503; never sent to a replica; backlog: the request would have been late"},
		{"broken-off", "000328bf8f36d0c7", "unknown, status 502; sent to i-2e95ae2a5b (broken); replica-broke-off"},
		{"cut", "e201b2829a500aa6", "unknown, status 502; sent to i-7e1fe4094d (failed); replica-broke-off"},
	} {
		t.Run(one.file, func(t *testing.T) {
			g := gomega.NewWithT(t)
			content, err := os.ReadFile("testdata/" + one.file + ".jsonl")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			half := bytes.IndexByte(content, '\n') + 1
			told, err := Read(one.id, bytes.NewReader(content[half:]), bytes.NewReader(content[:half]))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(told.Cause()).To(gomega.ContainSubstring(one.cause))
			var text strings.Builder
			told.Write(&text)
			g.Expect(text.String()).To(gomega.ContainSubstring("request.ended"))
		})
	}
}

func TestPrefixesOfCollectorsArePassedOverAndOtherTextIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := "  1.5 node-a {\"time\":\"t1\",\"node\":\"a\",\"event\":\"request.ended\",\"request\":\"r\",\"outcome\":\"answered\",\"status\":200}\nno json\n{broken\n"
	told, err := Read("r", strings.NewReader(logs))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(told.Cause()).To(gomega.Equal("request r: answered, status 200; never sent to a replica"))
	_, err = Read("other", strings.NewReader(logs))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("give the logs of every node")))
	_, err = Read("r", io.MultiReader())
	g.Expect(err).To(gomega.HaveOccurred())
}

// What replicas did under earlier tries of the same request is part of its story, whichever
// node saw it.
func TestARefusedRequestIsExplainedByTheReplicasThatEndedUnderIt(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := `{"time":"t1","node":"b","event":"content","content":"c1","outcome":"barred","count":3,"detail":"i-1/a i-2/a i-3/a"}
{"time":"t2","node":"b","event":"content","content":"c2","outcome":"barred","detail":"i-9/a"}
{"time":"t3","node":"a","event":"request.ended","request":"r","content":"c1","outcome":"not-run","reason":"barred","status":503}
`
	told, err := Read("r", strings.NewReader(logs))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	told.Write(&text)
	g.Expect(text.String()).To(gomega.ContainSubstring("i-1/a i-2/a i-3/a"))
	g.Expect(text.String()).NotTo(gomega.ContainSubstring("i-9/a"))
	g.Expect(told.Cause()).To(gomega.ContainSubstring("too many replicas ended under this request"))
}
