// Package faultmatrix tests the guarantees to callers under faults. Each cell of the matrix injects
// a fault, or a pair of faults, at one step of a request, a settings change or a placement order
// into a cluster of complete nodes under virtual time.
package faultmatrix

import (
	"runtime"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/internal/logging"
	"github.com/thornwalk/thornwalk/lab/checker"
)

// suite is the test that the synctest bubbles of the cells belong to.
var suite *testing.T

// Guards against guarantees that don't hold under a fault, and against a checker that misses it.
func TestFaultMatrix(t *testing.T) {
	logging.Discard()
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fault matrix")
}

// cellResults delivers the violations of each cell by its name; cells run concurrently.
var cellResults = map[string]chan []checker.Violation{}

var _ = ginkgo.BeforeSuite(func() {
	all := cells()
	work := make(chan cell)
	for _, c := range all {
		cellResults[c.name()] = make(chan []checker.Violation, 1)
	}
	for range runtime.GOMAXPROCS(0) {
		go func() {
			for c := range work {
				cellResults[c.name()] <- runCell(suite, c, nil)
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
			gomega.Expect(<-cellResults[c.name()]).To(gomega.BeEmpty())
		})
	}
})
