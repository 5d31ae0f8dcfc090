package dissemination

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/state/catalog"
)

// testBudgetBytes is small, so that a version takes several replies.
const testBudgetBytes = 4 << 10

func document(version int64, routes int) *catalog.Document {
	result := &catalog.Document{Version: version, Services: []catalog.Service{{Name: "s"}}}
	for i := range routes {
		result.Routes = append(result.Routes, catalog.Route{
			Name: fmt.Sprint("route-", i), Host: fmt.Sprint("host-", i*7919%routes, ".example"), PathPrefix: fmt.Sprint("/", i, "/"),
			Kind: catalog.KindSafe, Backends: []catalog.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 1,
		})
	}
	return result
}

func newPublishedStore(g *gomega.WithT, version int64, routes int) *PartStore {
	store := NewPartStore()
	g.Expect(store.Publish(document(version, routes))).To(gomega.Succeed())
	return store
}

// fetch makes calls until the version is complete and returns its document, the number of calls
// and the total length of the received parts in bytes.
func fetch(g *gomega.WithT, from, to *PartStore) (assembled *catalog.Document, calls, length int) {
	for assembled == nil {
		reply, _ := from.Respond(&Request{Version: to.Version(), HeldParts: to.HeldParts()}, testBudgetBytes)
		for _, content := range reply.Content {
			length += len(content)
		}
		var err error
		assembled, _, err = to.Merge(reply)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		calls++
		g.Expect(calls).To(gomega.BeNumerically("<", 100))
	}
	to.Activate(assembled.Version)
	return assembled, calls, length
}

// Guards against replies above the budget, and against incomplete versions after several replies.
func TestVersionIsFetchedInBoundedReplies(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := newPublishedStore(g, 3, 2000), NewPartStore()
	assembled, calls, length := fetch(g, from, to)
	g.Expect(assembled.Routes).To(gomega.Equal(document(3, 2000).Routes))
	g.Expect(calls).To(gomega.BeNumerically(">", 3))
	g.Expect(length).To(gomega.BeNumerically("<=", calls*testBudgetBytes))
	g.Expect(to.Version()).To(gomega.Equal(int64(3)))
	other := NewPartStore()
	g.Expect(documentOf(fetch(g, to, other)).Routes).To(gomega.HaveLen(2000), "a node that fetched the version can send it on")
}

func documentOf(assembled *catalog.Document, _, _ int) *catalog.Document { return assembled }

// Guards against sending a complete version after a small change.
func TestOnlyMissingPartsAreSent(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := newPublishedStore(g, 3, 2000), NewPartStore()
	_, _, fullLength := fetch(g, from, to)
	changed := document(4, 2000)
	changed.Routes[1000].MaxAttempts = 2
	g.Expect(from.Publish(changed)).To(gomega.Succeed())
	assembled, calls, length := fetch(g, from, to)
	g.Expect(assembled.Routes[1000].MaxAttempts).To(gomega.Equal(2))
	g.Expect(calls).To(gomega.Equal(1))
	g.Expect(length).To(gomega.BeNumerically("<", fullLength/5))
	g.Expect(from.Publish(document(5, 2000))).To(gomega.Succeed())
	fetch(g, from, to)
	g.Expect(from.Publish(func() *catalog.Document { same := document(9, 2000); return same }())).To(gomega.Succeed())
	_, _, length = fetch(g, from, to)
	g.Expect(length).To(gomega.BeZero(), "the new version has the same parts")
}

// Guards against parts of old versions accumulating in memory.
func TestUnusedPartsAreRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := newPublishedStore(g, 3, 1000), NewPartStore()
	fetch(g, from, to)
	partCount := len(to.HeldParts())
	for version := int64(4); version < 12; version++ {
		changed := document(version, 1000)
		for i := range changed.Routes {
			changed.Routes[i].Priority = int(version)
		}
		g.Expect(from.Publish(changed)).To(gomega.Succeed())
		fetch(g, from, to)
	}
	g.Expect(to.HeldParts()).To(gomega.HaveLen(partCount))
	g.Expect(from.HeldParts()).To(gomega.HaveLen(partCount))
}

// Guards against malformed, excessive and stale replies changing the active version or growing
// the memory.
func TestMalformedAndStaleReplies(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := newPublishedStore(g, 3, 1000), NewPartStore()
	good, _ := from.Respond(&Request{}, testBudgetBytes)
	truncated := &Reply{Manifest: good.Manifest, Content: [][]byte{good.Content[0], good.Content[1][:20]}}
	assembled, hasProgress, err := to.Merge(truncated)
	g.Expect(err).To(gomega.MatchError(errkind.BadFrame))
	g.Expect(assembled).To(gomega.BeNil())
	g.Expect(hasProgress).To(gomega.BeTrue(), "the part before the malformed one is kept")
	g.Expect(to.HeldParts()).To(gomega.HaveLen(1))

	unrelated, _ := newPublishedStore(g, 3, 77).Respond(&Request{}, testBudgetBytes)
	assembled, hasProgress, err = to.Merge(&Reply{Manifest: good.Manifest, Content: unrelated.Content[1:]})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(assembled).To(gomega.BeNil())
	g.Expect(hasProgress).To(gomega.BeFalse(), "no part belongs to the manifest")
	g.Expect(to.DroppedParts()).To(gomega.Equal(1 + len(unrelated.Content[1:])))

	tooLong := &Reply{Manifest: catalog.Manifest{Version: 8, Parts: make([]catalog.Hash, maxManifestParts+1)}}
	_, _, err = to.Merge(tooLong)
	g.Expect(err).To(gomega.MatchError(errkind.BadFrame))

	fetch(g, from, to)
	older, _ := newPublishedStore(g, 2, 10).Respond(&Request{}, testBudgetBytes)
	assembled, _, err = to.Merge(older)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(assembled).To(gomega.BeNil())
	g.Expect(to.Version()).To(gomega.Equal(int64(3)), "an older version is never activated")
}

// Guards against needless traffic between zones, and against suggestions without use to the
// requester.
func TestSourcesInTheRequestersZoneAreSuggestedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	sources := &Sources{}
	for i := range 6 {
		sources.Add(7, &Request{Address: fmt.Sprint("east-", i), Zone: "east"})
	}
	sources.Add(7, &Request{Address: "west-0", Zone: "west"})
	addresses := sources.Suggest(&Request{Address: "west-9", Zone: "west", Version: 6})
	g.Expect(addresses).To(gomega.HaveLen(maxSuggestions))
	g.Expect(addresses[0]).To(gomega.Equal("west-0"))
	g.Expect(sources.Suggest(&Request{Address: "west-0", Zone: "west", Version: 6})).NotTo(gomega.ContainElement("west-0"))
	g.Expect(sources.Suggest(&Request{Version: 7})).To(gomega.BeEmpty(), "the requester already has the version")
	sources.Add(8, &Request{Address: "east-1", Zone: "east"})
	g.Expect(sources.Suggest(&Request{Version: 6})).To(gomega.Equal([]string{"east-1"}), "a newer version replaces the sources")
}
