package enginesim

import (
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a data race between the engines of a zone, which share one ZoneBlocks.
func TestZoneBlocksIsSafeForConcurrentUse(t *testing.T) {
	g := gomega.NewWithT(t)
	zone := NewZoneBlocks()
	var group sync.WaitGroup
	for engine := range 4 {
		group.Go(func() {
			cache := newBlockCache(8, zone)
			for i := range 20000 {
				block := uint64((i + engine) % 64)
				cache.insert([]uint64{block})
				cache.recomputedTokens([]uint64{block}, 0, 1)
			}
		})
	}
	group.Wait()
	cachedBlocks := 0
	for block := range uint64(64) {
		if zone.IsCached(block) {
			cachedBlocks++
		}
	}
	g.Expect(cachedBlocks).To(gomega.And(gomega.BeNumerically(">=", 8), gomega.BeNumerically("<=", 32)))
}
