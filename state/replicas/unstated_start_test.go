package replicas

import (
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a replica without a stated start that counts as leaving, and gets no requests, as the one of another
// version did that it replaced in place.
func TestReplicaOfAnotherVersionIsNotLeavingAsItsFormerOneDid(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Version: "v1", Draining: true, Position: 1})
	table.Put(Replica{ID: "a", Version: "v2", Position: 2})
	replica, _ := table.Get("a")
	g.Expect(replica.Draining).To(gomega.BeFalse())
}
