package replicahealth

import (
	"testing"

	"github.com/onsi/gomega"
)

// A service that fails one request in five wherever it goes is no reason to
// doubt a replica; a node that can't reach one, or gets cut answers, is.
func TestOnlyUnreachableAndBrokenReplicasAreFailing(t *testing.T) {
	g := gomega.NewWithT(t)
	book := NewTracker()
	for range 20 {
		book.RecordSuccess("r0")
	}
	g.Expect(book.Failing(0)).To(gomega.BeEmpty())
	book.RecordUnreachable(0, "r0")
	g.Expect(book.Failing(0)).To(gomega.Equal([]string{"r0"}))
	book.RecordSuccess("r0")
	book.RecordBroken(0, "r1")
	g.Expect(book.Failing(firstBackoff)).To(gomega.BeEmpty())
	book.RecordBroken(firstBackoff, "r1")
	g.Expect(book.Failing(firstBackoff)).To(gomega.Equal([]string{"r1"}))
}
