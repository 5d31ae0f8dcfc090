package faultmatrix

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/onsi/ginkgo/v2"
)

// pageFile is the path of the page to write after the run; empty writes none.
var pageFile = flag.String("faults-page", "", "write the matrix to this file after the run")

var _ = ginkgo.ReportAfterSuite("page", func(report ginkgo.Report) {
	if *pageFile == "" {
		return
	}
	if err := os.WriteFile(*pageFile, []byte(renderPage(report)), 0o644); err != nil {
		ginkgo.Fail(err.Error())
	}
})

// renderPage returns the results as Markdown, without times so that equal results give equal
// pages.
func renderPage(report ginkgo.Report) string {
	var text strings.Builder
	text.WriteString("# Fault matrix\n\nWritten by `go test ./test/faultmatrix -args -faults-page ../../docs/FAULTS.md`; do not edit.\n\n")
	text.WriteString("Each cell starts two zones of three nodes with their back ends and platform on a\nnetwork in memory, under virtual time, sends the same mix of requests before, during\nand after the fault, heals it, and checks every promise from what callers saw and what\nthe stand-ins recorded. Expected is always: no promise broken, the fault's point was\nreached, and every node answers afterwards.\n\n")
	text.WriteString("| test | expected | seen |\n|---|---|---|\n")
	passed, failed := 0, 0
	for _, spec := range report.SpecReports {
		if spec.LeafNodeText == "" || spec.LeafNodeText == "page" {
			continue
		}
		seen := "as expected"
		if spec.Failed() {
			seen = "**broken**: " + strings.ReplaceAll(spec.FailureMessage(), "\n", " ")
			failed++
		} else {
			passed++
		}
		fmt.Fprintf(&text, "| %s | %s | %s |\n", spec.LeafNodeText, expectedResult(spec), seen)
	}
	fmt.Fprintf(&text, "\n%d passed, %d failed.\n", passed, failed)
	return text.String()
}

// expectedResult returns the text of the column expected.
func expectedResult(spec ginkgo.SpecReport) string {
	if len(spec.ContainerHierarchyTexts) > 0 && strings.HasPrefix(spec.ContainerHierarchyTexts[0], "broken") {
		return "caught by the checker"
	}
	return "all promises hold"
}
