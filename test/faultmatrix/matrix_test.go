// Package faultmatrix proves the users' promises under faults: every fault at
// every step of a request, of a settings change and of a placement order, and
// chosen pairs, each under virtual time against the whole daemon code.
package faultmatrix

import (
	"runtime"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/checker"
)

// suite is the test that the cells' bubbles belong to.
var suite *testing.T

func TestFaultMatrix(t *testing.T) {
	logging.Discard()
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fault matrix")
}

// verdicts are the results of the cells, which run several at a time.
var verdicts = map[string]chan []checker.Violation{}

var _ = ginkgo.BeforeSuite(func() {
	all := cells()
	work := make(chan cell)
	for _, c := range all {
		verdicts[c.name()] = make(chan []checker.Violation, 1)
	}
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for c := range work {
				verdicts[c.name()] <- runCell(suite, c, nil)
			}
		}()
	}
	go func() {
		for _, c := range all {
			work <- c
		}
		close(work)
	}()
})

var _ = ginkgo.Describe("promises", func() {
	for _, c := range cells() {
		ginkgo.It(c.name(), func() {
			gomega.Expect(<-verdicts[c.name()]).To(gomega.BeEmpty())
		})
	}
})
