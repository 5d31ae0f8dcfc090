package losses

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against answers that were closed unfinished and are counted under the wrong reason, or as if no other replica
// had been looked for, and against counting requests that ended with a status.
func TestPrintClosedCountsUnfinishedAnswersWithAndWithoutASearch(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, err := ReadLines(strings.NewReader(`
 1.0 n1 {"event":"request.received","node":"n1","request":"a"}
 1.1 n1 {"event":"request.silent","node":"n1","request":"a","outcome":"searching"}
 1.2 n1 {"event":"request.ended","node":"n1","request":"a","outcome":"unknown","reason":"deadline","closed":true}
 1.0 n1 {"event":"request.received","node":"n1","request":"b"}
 1.1 n1 {"event":"request.ended","node":"n1","request":"b","outcome":"unknown","reason":"replica-broke-off","closed":true}
 1.0 n1 {"event":"request.received","node":"n1","request":"c"}
 1.1 n1 {"event":"request.silent","node":"n1","request":"c","outcome":"searching"}
 1.2 n1 {"event":"request.ended","node":"n1","request":"c","outcome":"unknown","reason":"replica-broke-off","closed":true}
 1.0 n1 {"event":"request.received","node":"n1","request":"d"}
 1.1 n1 {"event":"request.ended","node":"n1","request":"d","outcome":"unknown","reason":"replica-broke-off"}
`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	g.Expect(lines.PrintClosed(&text)).To(gomega.Succeed())
	g.Expect(text.String()).To(gomega.HaveSuffix("|---|---|---|---|\n| deadline | 1 | 1 | 0 |\n| replica-broke-off | 2 | 1 | 1 |\n"))
}
