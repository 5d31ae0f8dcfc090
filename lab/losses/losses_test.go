package losses

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const kindsText = `
kinds:
  - {name: summary, target_ms: 800, pause_ms: 250, deadline_ms: 15000, worth: 8, prompt_tokens: 6000, answer_tokens: 400}
  - {name: lookup, target_ms: 100, deadline_ms: 1500, worth: 0.3}
`

const linesText = `note: something else
   0.1 n1 {"event":"request.received","node":"n1","request":"a","route":"r1","left_ms":14990,"prompt":6000,"answer":400}
   0.2 n1 {"event":"request.placed","node":"n1","request":"a","took_ms":10}
   1.2 n1 {"event":"request.ended","node":"n1","request":"a","outcome":"answered","status":200,"first_ms":100,"pause_ms":20,"took_ms":1000}
   0.5 n1 {"event":"request.received","node":"n1","request":"b","route":"r1","left_ms":14990,"prompt":6000,"answer":400}
   0.6 n1 {"event":"request.placed","node":"n1","request":"b","took_ms":750}
   1.9 n1 {"event":"request.ended","node":"n1","request":"b","outcome":"answered","status":200,"first_ms":100,"took_ms":1000}
   1.0 n1 {"event":"request.received","node":"n1","request":"c","route":"r1","left_ms":9000,"prompt":6000,"answer":400}
   2.5 n1 {"event":"request.received","node":"n1","request":"d","route":"r2","left_ms":1490}
   2.6 n1 {"event":"request.ended","node":"n1","request":"d","outcome":"not-run","reason":"quota","status":429}
   2.7 n1 {"event":"request.received","node":"n1","request":"e","route":"r2","left_ms":1490}
   2.8 n1 {"event":"request.ended","node":"n1","request":"e","outcome":"answered","status":200,"took_ms":20}
   3.5 n1 {"event":"log.sampled","node":"n1","outcome":"left-out","count":8}
`

// Guards against worth that is counted under the wrong window, kind or reason, and against sampled
// lines that aren't scaled up.
func TestTabulateSumsWorthByWindowKindAndReason(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds, err := ReadKinds(strings.NewReader(kindsText))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lines, err := ReadLines(strings.NewReader(linesText))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	table := Tabulate(lines, kinds)
	g.Expect(table.Windows[0]).To(gomega.Equal(map[string]float64{reasonInTime: 8, reasonLateFirstEvent: 8, retryPrefix + reasonNodeEnded: 8}))
	g.Expect(table.Windows[2*time.Second][reasonInTime]).To(gomega.BeNumerically("~", 0.9, 1e-9), "one logged request stands for two omitted ones")
	g.Expect(table.Windows[2*time.Second]["quota"]).To(gomega.BeNumerically("~", 0.3, 1e-9))
	g.Expect(table.Kinds).To(gomega.HaveLen(2))
}

// Guards against losing sight of requests that appear in the report but in no log.
func TestReportCountsRequestsThatNoNodeRead(t *testing.T) {
	g := gomega.NewWithT(t)
	kinds, _ := ReadKinds(strings.NewReader(kindsText))
	lines, _ := ReadLines(strings.NewReader(linesText))
	report, err := ReadReport(strings.NewReader(`{"parts":[["whole day",0.28,0.8]],"windows":[{"name":"0","n":10,"worth":0.4}],"other":1}`), lines)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	count, found := report.unread(0)
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(count).To(gomega.Equal(7))
	var text strings.Builder
	g.Expect(Tabulate(lines, kinds).Print(&text, report)).To(gomega.Succeed())
	g.Expect(text.String()).To(gomega.ContainSubstring("| 0 | 24 | 0.40 | 7 |"))
	g.Expect(Tabulate(lines, kinds).Print(&text, nil)).To(gomega.Succeed(), "the report may be missing")
}

// Guards against wrong delays and against counting versions that were kept out.
func TestPrintVersionsShowsHowLongEachTookToBecomeActive(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, err := ReadLines(strings.NewReader(`
 1.0 n1 {"event":"configuration","outcome":"in-force","version":4}
 1.2 n2 {"event":"configuration","outcome":"in-force","version":4}
 3.0 n3 {"event":"configuration","outcome":"in-force","version":4}
 3.1 n3 {"event":"configuration","outcome":"kept-out","version":3}
`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	g.Expect(lines.PrintVersions(&text)).To(gomega.Succeed())
	g.Expect(text.String()).To(gomega.ContainSubstring("| 4 | 1.00 | 3 | 200 | 2000 | 2000 |"))
	g.Expect(text.String()).NotTo(gomega.ContainSubstring("\n| 3 |"), "version 3 was kept out")
}

// Guards against a tenant whose refusals are hidden behind those of others or of another service.
func TestPrintTenantsShowsWhatEachTenantGot(t *testing.T) {
	g := gomega.NewWithT(t)
	lines, err := ReadLines(strings.NewReader(`
 1.0 n1 {"event":"request.received","node":"n1","request":"a"}
 1.1 n1 {"event":"request.ended","node":"n1","request":"a","service":"s","tenant":"large","outcome":"answered"}
 1.0 n1 {"event":"request.received","node":"n1","request":"b"}
 1.1 n1 {"event":"request.ended","node":"n1","request":"b","service":"s","tenant":"large","outcome":"not-run","reason":"backlog"}
 1.0 n1 {"event":"request.received","node":"n1","request":"c"}
 1.1 n1 {"event":"request.ended","node":"n1","request":"c","service":"s","tenant":"small","outcome":"not-run","reason":"quota"}
 1.0 n1 {"event":"request.received","node":"n1","request":"d"}
 1.1 n1 {"event":"request.ended","node":"n1","request":"d","outcome":"not-run","reason":"no-route"}
`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var text strings.Builder
	g.Expect(lines.PrintTenants(&text)).To(gomega.Succeed())
	g.Expect(text.String()).To(gomega.HaveSuffix("| s | large | 2 | 1 | 0.50 | backlog 1 |\n| s | small | 1 | 0 | 0.00 | quota 1 |\n"))
}

// Guards against an empty table from files that can't be read.
func TestInvalidInputReturnsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := ReadKinds(strings.NewReader("kinds: []"))
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = ReadKinds(strings.NewReader("kinds: 7"))
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = ReadReport(strings.NewReader("no report"), &Lines{})
	g.Expect(err).To(gomega.HaveOccurred())
}
