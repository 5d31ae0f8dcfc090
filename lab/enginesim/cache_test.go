package enginesim

import (
	"sync"
	"testing"

	"github.com/onsi/gomega"
)

// Seen once in the demo beside load: the engines of a zone, which run at the same
// time, count their blocks together, and the process ended by concurrent use of a map.
func TestEnginesOfAZoneCountBlocksAtTheSameTime(t *testing.T) {
	g := gomega.NewWithT(t)
	zone := NewZoneBlocks()
	var group sync.WaitGroup
	for engine := range 4 {
		group.Go(func() {
			cache := newBlockCache(8, zone)
			for i := range 20000 {
				block := uint64((i + engine) % 64)
				cache.insert([]uint64{block})
				cache.recomputed([]uint64{block}, 0, 1)
			}
		})
	}
	group.Wait()
	held := 0
	for block := range uint64(64) {
		if zone.Holds(block) {
			held++
		}
	}
	g.Expect(held).To(gomega.And(gomega.BeNumerically(">=", 8), gomega.BeNumerically("<=", 32)))
}
