package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/coordination/liveness"
	"github.com/thornwalk/thornwalk/state/catalog"
	"github.com/thornwalk/thornwalk/state/replicas"
)

// freshnessNode is a node that knows configuration 3 and replicas up to revision 7.
func freshnessNode(rank int) *Node {
	n := &Node{table: replicas.NewTable(), rank: rank}
	n.table.Put(replicas.Replica{ID: "r", Service: "s", Revision: 7})
	n.catalog.Store(&catalog.Catalog{Document: &catalog.Document{Version: 3}})
	return n
}

// Seen on the bench: grown co-op trouble-1, DRAIN. After a cut of a third of the
// nodes no node that reached the store felt called to read it for three seconds.
func TestNodeReadsByItselfOnceAllKnowledgeIsOld(t *testing.T) {
	g := gomega.NewWithT(t)
	n := freshnessNode(5)
	now := 20 * time.Second
	g.Expect(n.readDue(now, 0)).To(gomega.BeFalse(), "it never heard of a read; its watch loop makes the first")
	n.noteFreshness(now, liveness.Beat{Version: 3, Latest: 7, Unread: 400})
	g.Expect(n.readDue(now, 0)).To(gomega.BeFalse())
	later := now + staleAfter
	g.Expect(n.readDue(later, 0)).To(gomega.BeTrue())
	g.Expect(n.readDue(later, later-readCheck)).To(gomega.BeFalse(), "not twice at once")
	n.storeDown = true
	g.Expect(n.readDue(later, 0)).To(gomega.BeFalse())
}

func TestFreshnessOfAPeerThatKnowsMoreIsNotOurs(t *testing.T) {
	g := gomega.NewWithT(t)
	n := freshnessNode(5)
	n.noteFreshness(20*time.Second, liveness.Beat{Version: 3, Latest: 8, Unread: 0})
	n.noteFreshness(20*time.Second, liveness.Beat{Version: 4, Latest: 7, Unread: 0})
	n.noteFreshness(20*time.Second, liveness.Beat{Version: 3, Latest: 7, Unread: -1})
	g.Expect(n.fresh.known).To(gomega.BeFalse())
	n.noteFreshness(20*time.Second, liveness.Beat{Version: 3, Latest: 6, Unread: 250})
	g.Expect(n.fresh.age(20 * time.Second)).To(gomega.BeEquivalentTo(250))
}

func TestFirstNodesReadInAnyCase(t *testing.T) {
	g := gomega.NewWithT(t)
	n := freshnessNode(0)
	n.fresh.note(20 * time.Second)
	g.Expect(n.readDue(20*time.Second, 20*time.Second-readInterval)).To(gomega.BeTrue())
}
