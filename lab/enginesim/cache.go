package enginesim

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/structs"
)

// ZoneBlocks counts on how many engines of a zone each block is cached. It shows which
// prefill another engine of the zone could have avoided. It is safe for concurrent use.
type ZoneBlocks struct {
	mutex  sync.Mutex
	counts map[uint64]int
}

// NewZoneBlocks returns a ZoneBlocks without blocks.
func NewZoneBlocks() *ZoneBlocks { return &ZoneBlocks{counts: map[uint64]int{}} }

func (z *ZoneBlocks) add(block uint64) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	z.counts[block]++
}

func (z *ZoneBlocks) remove(block uint64) {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	if z.counts[block]--; z.counts[block] <= 0 {
		delete(z.counts, block)
	}
}

// IsCached reports whether any engine of the zone caches the block.
func (z *ZoneBlocks) IsCached(block uint64) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return z.counts[block] > 0
}

// maxEvents is the maximum number of unread events. When it is reached, the older half
// is dropped.
const maxEvents = 4096

// blockCache is the prefix cache of an engine with least-recently-used eviction.
type blockCache struct {
	blocks   *simplelru.LRU[uint64, struct{}]
	zone     *ZoneBlocks
	events   []structs.CacheEvent
	sequence uint64
}

func newBlockCache(capacity int, zone *ZoneBlocks) *blockCache {
	cache := &blockCache{zone: zone}
	blocks, err := simplelru.NewLRU(max(capacity, 1), func(block uint64, _ struct{}) { cache.onEvict(block) })
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	cache.blocks = blocks
	return cache
}

func (c *blockCache) contains(block uint64) bool { return c.blocks.Contains(block) }

// insert adds the blocks of a chain in reverse order, so that the last blocks of a
// prefix are evicted before the first.
func (c *blockCache) insert(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if _, cached := c.blocks.Get(chain[i]); cached {
			continue
		}
		c.blocks.Add(chain[i], struct{}{})
		if c.zone != nil {
			c.zone.add(chain[i])
		}
		c.recordEvent(chain[i], true)
	}
}

func (c *blockCache) onEvict(block uint64) {
	if c.zone != nil {
		c.zone.remove(block)
	}
	c.recordEvent(block, false)
}

func (c *blockCache) recordEvent(block uint64, stored bool) {
	c.sequence++
	if len(c.events) >= maxEvents {
		c.events = c.events[maxEvents/2:]
	}
	c.events = append(c.events, structs.CacheEvent{Sequence: c.sequence, BlockHash: block, Stored: stored})
}

// takeEvents returns the unread events and clears them.
func (c *blockCache) takeEvents() []structs.CacheEvent {
	events := c.events
	c.events = nil
	return events
}

// prefixTokens returns the number of tokens in the cached prefix of the chain and marks
// its blocks as used.
func (c *blockCache) prefixTokens(chain []uint64) int {
	for i, block := range chain {
		if _, cached := c.blocks.Get(block); !cached {
			return i * structs.BlockTokens
		}
	}
	return len(chain) * structs.BlockTokens
}

// recomputedTokens returns how many of the given number of tokens from start lie in
// blocks that some engine of the zone caches.
func (c *blockCache) recomputedTokens(chain []uint64, start, tokens int) int {
	if c.zone == nil {
		return 0
	}
	count := 0
	for position := start; position < start+tokens; {
		index := position / structs.BlockTokens
		end := min((index+1)*structs.BlockTokens, start+tokens)
		if index < len(chain) && c.zone.IsCached(chain[index]) {
			count += end - position
		}
		position = end
	}
	return count
}
