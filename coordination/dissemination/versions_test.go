package dissemination

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/catalog"
)

// Sizes of the test of what a library keeps.
const (
	keptRoutes   = 5600
	keptVersions = 40
	// keptLimit is how many times the memory of the first version a library may hold
	// after many small changes: both documents, the parts and what travels.
	keptLimit = 3
)

// keptDocument is a document that shares nothing with those of other versions, as each
// version that is read from the store is decoded anew. In each version the routes of
// another place differ.
func keptDocument(version int64) *catalog.Document {
	made := document(version, keptRoutes)
	for i := range made.Routes {
		made.Routes[i].Host = fmt.Sprintf("api-%08x.region-%d.service.example", i*7919, i%9)
		made.Routes[i].Name = fmt.Sprintf("tenant-%04d-%08x-export", i, i*104729)
	}
	for changed := int64(1); changed < version; changed++ {
		made.Routes[int(changed)*keptRoutes/(keptVersions+2)].Timeout = 8
	}
	return made
}

// heapInUse returns the bytes of objects that are in use.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// A part that did not change is kept from the version in which it came. It must not keep
// the whole document of that version, or each small change costs a node that follows the
// store the memory of a whole configuration.
func TestPartsThatStayDoNotKeepOlderDocuments(t *testing.T) {
	g := gomega.NewWithT(t)
	calm := heapInUse()
	library := NewPartStore()
	g.Expect(library.Publish(keptDocument(1))).To(gomega.Succeed())
	first := heapInUse() - calm
	for version := int64(2); version <= keptVersions; version++ {
		g.Expect(library.Publish(keptDocument(version))).To(gomega.Succeed())
	}
	last := heapInUse() - calm
	t.Logf("%d bytes after the first of %d versions and %d after the last", first, keptVersions, last)
	g.Expect(last).To(gomega.BeNumerically("<", keptLimit*first))
	runtime.KeepAlive(library)
}

// A node that has to turn to other peers during a fetch, as those are busy, meets nodes
// of different versions while several spread. What it got of one must not be lost to
// the other, or it never gets any whole.
func TestFetchFromPeersOfTwoVersionsComesToAnEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	changed := document(4, 2000)
	for i := range changed.Routes {
		changed.Routes[i].Priority = 1
	}
	older, newer, to := published(g, 3, 2000), NewPartStore(), NewPartStore()
	g.Expect(newer.Publish(changed)).To(gomega.Succeed())
	var made *catalog.Document
	calls := 0
	for ; made == nil && calls < 100; calls++ {
		from := []*PartStore{newer, older}[calls%2]
		reply, _ := from.Respond(&Request{Version: to.Version(), HeldParts: to.HeldParts()}, testBudget)
		var err error
		made, _, err = to.Merge(reply)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(made).NotTo(gomega.BeNil(), "%d replies with parts", calls)
}
