package replicas

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestOldNewsBringsNothingBack(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	g.Expect(table.Put(Replica{ID: "a", Revision: 5})).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Revision: 7, Draining: true})).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Revision: 6})).To(gomega.BeFalse())
	table.Put(Replica{ID: "a", Revision: 9})
	kept, _ := table.Get("a")
	g.Expect(kept.Draining).To(gomega.BeTrue())
	g.Expect(table.Remove(0, "a", 10)).To(gomega.BeTrue())
	g.Expect(table.Put(Replica{ID: "a", Revision: 8})).To(gomega.BeFalse())
	g.Expect(table.All()).To(gomega.BeEmpty())
}

func TestCompleteListNamesWhatIsMissingButNotWhatIsNewer(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "old", Revision: 1})
	table.Put(Replica{ID: "newer", Revision: 9})
	g.Expect(table.Missing([]Replica{}, 5)).To(gomega.Equal([]string{"old"}))
}

func TestDoubtedReplicaStaysUntilItIsRemovedOrComesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	table.Put(Replica{ID: "a", Revision: 1})
	table.Put(Replica{ID: "b", Revision: 1})
	table.Put(Replica{ID: "leaving", Revision: 1, Draining: true})
	for _, id := range []string{"a", "b", "leaving", "unknown"} {
		table.Doubt(id)
	}
	table.Put(Replica{ID: "b", Revision: 4})
	g.Expect(table.All()).To(gomega.HaveLen(3))
	g.Expect(table.RemoveDoubted(5 * time.Second)).To(gomega.Equal([]string{"a"}))
	g.Expect(table.RemoveDoubted(6 * time.Second)).To(gomega.BeEmpty())
	g.Expect(table.All()).To(gomega.HaveLen(2))
}

// A replica that drained and ended may start again under the id that it had.
func TestAReplicaThatStartsAgainUnderItsIDIsOfferedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable()
	first := Replica{ID: "a", Service: "s", Revision: 1, Born: 1000}
	table.Put(first)
	first.Draining, first.Revision = true, 2
	table.Put(first)
	first.Draining, first.Revision = false, 3
	table.Put(first)
	known, _ := table.Get("a")
	g.Expect(known.Draining).To(gomega.BeTrue(), "a drain is not taken back in the same life")
	table.Put(Replica{ID: "a", Service: "s", Revision: 4, Born: 900}) // its clock was set back
	known, _ = table.Get("a")
	g.Expect(known.Draining).To(gomega.BeFalse())
	g.Expect(known.IsSameLife(first)).To(gomega.BeFalse())
}
