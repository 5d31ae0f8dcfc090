package entry

import (
	"testing"

	"github.com/onsi/gomega"
)

// A service that fails one request in five wherever it goes is no reason to
// doubt a replica; a node that can't reach one, or gets cut answers, is.
func TestOnlyUnreachableAndBrokenReplicasAreFailing(t *testing.T) {
	g := gomega.NewWithT(t)
	book := newHealthBook()
	for range 20 {
		book.answered("r0")
	}
	g.Expect(book.failing(0)).To(gomega.BeEmpty())
	book.unreachable(0, "r0")
	g.Expect(book.failing(0)).To(gomega.Equal([]string{"r0"}))
	book.answered("r0")
	book.broken(0, "r1")
	g.Expect(book.failing(firstBackoff)).To(gomega.BeEmpty())
	book.broken(firstBackoff, "r1")
	g.Expect(book.failing(firstBackoff)).To(gomega.Equal([]string{"r1"}))
}
