package dissemination

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
)

// testBudget is small, so that a version takes several replies.
const testBudget = 4 << 10

func document(version int64, routes int) *catalog.Document {
	made := &catalog.Document{Version: version, Services: []catalog.Service{{Name: "s"}}}
	for i := range routes {
		made.Routes = append(made.Routes, catalog.Route{
			Name: fmt.Sprint("route-", i), Host: fmt.Sprint("host-", i*7919%routes, ".example"), PathPrefix: fmt.Sprint("/", i, "/"),
			Kind: catalog.KindSafe, Backends: []catalog.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 1,
		})
	}
	return made
}

func published(g *gomega.WithT, version int64, routes int) *PartStore {
	library := NewPartStore()
	g.Expect(library.Publish(document(version, routes))).To(gomega.Succeed())
	return library
}

// fetch makes calls until the version is whole, and returns it with the number of calls
// and the length of all that came.
func fetch(g *gomega.WithT, from, to *PartStore) (made *catalog.Document, calls, length int) {
	for made == nil {
		reply, _ := from.Respond(&Request{Version: to.Version(), HeldParts: to.HeldParts()}, testBudget)
		for _, content := range reply.Content {
			length += len(content)
		}
		var err error
		made, _, err = to.Merge(reply)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		calls++
		g.Expect(calls).To(gomega.BeNumerically("<", 100))
	}
	to.Activate(made.Version)
	return made, calls, length
}

func TestAVersionComesInBoundedRepliesAndProgressIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := published(g, 3, 2000), NewPartStore()
	made, calls, length := fetch(g, from, to)
	g.Expect(made.Routes).To(gomega.Equal(document(3, 2000).Routes))
	g.Expect(calls).To(gomega.BeNumerically(">", 3))
	g.Expect(length).To(gomega.BeNumerically("<=", calls*testBudget))
	g.Expect(to.Version()).To(gomega.Equal(int64(3)))
	other := NewPartStore()
	g.Expect(first(fetch(g, to, other)).Routes).To(gomega.HaveLen(2000), "who has it can send it on")
}

func first(made *catalog.Document, _, _ int) *catalog.Document { return made }

func TestOnlyWhatIsMissingIsSent(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := published(g, 3, 2000), NewPartStore()
	_, _, whole := fetch(g, from, to)
	changed := document(4, 2000)
	changed.Routes[1000].MaxAttempts = 2
	g.Expect(from.Publish(changed)).To(gomega.Succeed())
	made, calls, length := fetch(g, from, to)
	g.Expect(made.Routes[1000].MaxAttempts).To(gomega.Equal(2))
	g.Expect(calls).To(gomega.Equal(1))
	g.Expect(length).To(gomega.BeNumerically("<", whole/5))
	g.Expect(from.Publish(document(5, 2000))).To(gomega.Succeed())
	fetch(g, from, to)
	g.Expect(from.Publish(func() *catalog.Document { same := document(9, 2000); return same }())).To(gomega.Succeed())
	_, _, length = fetch(g, from, to)
	g.Expect(length).To(gomega.BeZero(), "the version changes nothing")
}

func TestPartsOfNoVersionAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := published(g, 3, 1000), NewPartStore()
	fetch(g, from, to)
	held := len(to.HeldParts())
	for version := int64(4); version < 12; version++ {
		changed := document(version, 1000)
		for i := range changed.Routes {
			changed.Routes[i].Priority = int(version)
		}
		g.Expect(from.Publish(changed)).To(gomega.Succeed())
		fetch(g, from, to)
	}
	g.Expect(to.HeldParts()).To(gomega.HaveLen(held))
	g.Expect(from.HeldParts()).To(gomega.HaveLen(held))
}

func TestRepliesThatNoCorrectPeerSends(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := published(g, 3, 1000), NewPartStore()
	good, _ := from.Respond(&Request{}, testBudget)
	cut := &Reply{Manifest: good.Manifest, Content: [][]byte{good.Content[0], good.Content[1][:20]}}
	made, progress, err := to.Merge(cut)
	g.Expect(err).To(gomega.MatchError(errkind.BadFrame))
	g.Expect(made).To(gomega.BeNil())
	g.Expect(progress).To(gomega.BeTrue(), "what was whole is kept")
	g.Expect(to.HeldParts()).To(gomega.HaveLen(1))

	stranger, _ := published(g, 3, 77).Respond(&Request{}, testBudget)
	made, progress, err = to.Merge(&Reply{Manifest: good.Manifest, Content: stranger.Content[1:]})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(made).To(gomega.BeNil())
	g.Expect(progress).To(gomega.BeFalse(), "no part has a name of the manifest")
	g.Expect(to.Dropped()).To(gomega.Equal(1 + len(stranger.Content[1:])))

	endless := &Reply{Manifest: catalog.Manifest{Version: 8, Parts: make([]catalog.Hash, maximumParts+1)}}
	_, _, err = to.Merge(endless)
	g.Expect(err).To(gomega.MatchError(errkind.BadFrame))

	fetch(g, from, to)
	older, _ := published(g, 2, 10).Respond(&Request{}, testBudget)
	made, _, err = to.Merge(older)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(made).To(gomega.BeNil())
	g.Expect(to.Version()).To(gomega.Equal(int64(3)), "a version never goes back")
}

func TestABusyNodeNamesOthersOfTheAskersZoneFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	holders := &Sources{}
	for i := range 6 {
		holders.Add(7, &Request{Address: fmt.Sprint("east-", i), Zone: "east"})
	}
	holders.Add(7, &Request{Address: "west-0", Zone: "west"})
	named := holders.Suggest(&Request{Address: "west-9", Zone: "west", Version: 6})
	g.Expect(named).To(gomega.HaveLen(namedHolders))
	g.Expect(named[0]).To(gomega.Equal("west-0"))
	g.Expect(holders.Suggest(&Request{Address: "west-0", Zone: "west", Version: 6})).NotTo(gomega.ContainElement("west-0"))
	g.Expect(holders.Suggest(&Request{Version: 7})).To(gomega.BeEmpty(), "who has the version needs none")
	holders.Add(8, &Request{Address: "east-1", Zone: "east"})
	g.Expect(holders.Suggest(&Request{Version: 6})).To(gomega.Equal([]string{"east-1"}), "a newer version replaces the list")
}
