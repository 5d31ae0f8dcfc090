package dissemination

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thornwalk/thornwalk/state/catalog"
)

// Sizes in the memory test.
const (
	memoryTestRoutes   = 5600
	memoryTestVersions = 40
	// maxMemoryRatio is the maximum ratio of the store's memory after many small changes to that
	// after the first version.
	maxMemoryRatio = 3
)

// memoryTestDocument returns a document that shares no memory with those of other versions, like
// one decoded from the store. Each version changes another route.
func memoryTestDocument(version int64) *catalog.Document {
	result := document(version, memoryTestRoutes)
	for i := range result.Routes {
		result.Routes[i].Host = fmt.Sprintf("api-%08x.region-%d.service.example", i*7919, i%9)
		result.Routes[i].Name = fmt.Sprintf("tenant-%04d-%08x-export", i, i*104729)
	}
	for changed := int64(1); changed < version; changed++ {
		result.Routes[int(changed)*memoryTestRoutes/(memoryTestVersions+2)].Timeout = 8
	}
	return result
}

// heapInUse returns the size of the live heap objects in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// Guards against an unchanged part keeping the whole document of its first version in memory.
func TestUnchangedPartsDoNotKeepOlderDocumentsInMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	baseline := heapInUse()
	store := NewPartStore()
	g.Expect(store.Publish(memoryTestDocument(1))).To(gomega.Succeed())
	firstBytes := heapInUse() - baseline
	for version := int64(2); version <= memoryTestVersions; version++ {
		g.Expect(store.Publish(memoryTestDocument(version))).To(gomega.Succeed())
	}
	lastBytes := heapInUse() - baseline
	t.Logf("heap grew by %d bytes with the first of %d versions and by %d with all", firstBytes, memoryTestVersions, lastBytes)
	g.Expect(lastBytes).To(gomega.BeNumerically("<", maxMemoryRatio*firstBytes))
	runtime.KeepAlive(store)
}

// Guards against a fetch that never completes because replies alternate between peers of two
// versions and each discards the progress of the other.
func TestFetchFromPeersOfTwoVersionsCompletes(t *testing.T) {
	g := gomega.NewWithT(t)
	changed := document(4, 2000)
	for i := range changed.Routes {
		changed.Routes[i].Priority = 1
	}
	older, newer, to := newPublishedStore(g, 3, 2000), NewPartStore(), NewPartStore()
	g.Expect(newer.Publish(changed)).To(gomega.Succeed())
	var assembled *catalog.Document
	calls := 0
	for ; assembled == nil && calls < 100; calls++ {
		from := []*PartStore{newer, older}[calls%2]
		reply, _ := from.Respond(&Request{Version: to.Version(), HeldParts: to.HeldParts()}, testBudgetBytes)
		var err error
		assembled, _, err = to.Merge(reply)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(assembled).NotTo(gomega.BeNil(), "document incomplete after %d replies", calls)
}
