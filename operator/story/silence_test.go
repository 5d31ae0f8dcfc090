package story

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a report from which an operator can't tell how the silence of a replica ended, for each way in which it
// may, from recorded lines.
func TestSilencesOfAReplicaAreDescribed(t *testing.T) {
	content, err := os.ReadFile("testdata/silent.jsonl")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for id, text := range map[string]string{
		"replaced":            "replica i-s0 silent for 1.2 s; another one was looked for; i-s1 took over",
		"refused":             "replica i-s0 silent for 2.2 s; another one was looked for 2 times and refused (no-replica-of-version); i-s0 went on",
		"not-needed":          "replica i-s0 silent for 1.5 s; another one was looked for; i-s0 went on before it answered",
		"broke-off":           "replica i-s0 silent for 1.5 s; another one was looked for and refused (no-replica-of-version); i-s0 broke off",
		"broke-off-in-search": "replica i-s0 silent for 1.5 s; another one was looked for; i-s0 broke off before it answered",
		"deadline":            "replica i-s0 silent for 3.6 s; another one was looked for 4 times and refused (no-replica-of-version); the time of the request was over",
		"caller-left":         "replica i-s0 silent for 2.0 s; another one was looked for 2 times and refused (no-replica-of-version); the caller left",
	} {
		t.Run(id, func(t *testing.T) {
			g := gomega.NewWithT(t)
			story, err := Read(id, bytes.NewReader(content))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(story.Silences()).To(gomega.Equal([]string{text}))
			var written strings.Builder
			story.Write(&written)
			g.Expect(written.String()).To(gomega.HaveSuffix(text + "\n" + story.Cause() + "\n"))
		})
	}
}

// Guards against several silences of one request that read as one, and against a silence that is left out since its node
// ended.
func TestEachSilenceIsDescribed(t *testing.T) {
	g := gomega.NewWithT(t)
	story, err := Read("r", strings.NewReader(`
{"time":"t1","node":"a","event":"request.silent","request":"r","replica":"i-1","outcome":"searching","silent_ms":1200}
{"time":"t2","node":"a","event":"request.silent","request":"r","replica":"i-1","outcome":"replaced","silent_ms":2140,"successor":"i-2","retry_refused":"backlog","count":2}
{"time":"t3","node":"a","event":"request.silent","request":"r","replica":"i-2","outcome":"searching","silent_ms":1500}
`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(story.Silences()).To(gomega.Equal([]string{
		"replica i-1 silent for 2.1 s; another one was looked for 2 times, at first refused (backlog); i-2 took over",
		"replica i-2 silent for 1.5 s or longer; no end of the silence is in the logs",
	}))
}
