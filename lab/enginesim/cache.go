package enginesim

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thornwalk/thornwalk/structs"
)

// ZoneBlocks counts on how many engines of a zone each block is cached, so
// that prefill which could have been avoided can be measured. It is safe for
// concurrent use: the engines of a zone run at the same time.
type ZoneBlocks struct {
	mutex  sync.Mutex
	counts map[uint64]int
}

// NewZoneBlocks returns an empty count.
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

// Holds returns whether any engine of the zone caches the block.
func (z *ZoneBlocks) Holds(block uint64) bool {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return z.counts[block] > 0
}

// maximumEvents bounds the events kept for a reader that does not come.
const maximumEvents = 4096

// blockCache is the least-recently-used prefix cache of an engine.
type blockCache struct {
	blocks   *simplelru.LRU[uint64, struct{}]
	zone     *ZoneBlocks
	events   []structs.CacheEvent
	sequence uint64
}

func newBlockCache(capacity int, zone *ZoneBlocks) *blockCache {
	cache := &blockCache{zone: zone}
	blocks, err := simplelru.NewLRU(max(capacity, 1), func(block uint64, _ struct{}) { cache.evicted(block) })
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	cache.blocks = blocks
	return cache
}

func (c *blockCache) contains(block uint64) bool { return c.blocks.Contains(block) }

// insert adds the blocks of a chain, the last first, so that the ends of
// prefixes are evicted before their beginnings.
func (c *blockCache) insert(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if _, known := c.blocks.Get(chain[i]); known {
			continue
		}
		c.blocks.Add(chain[i], struct{}{})
		if c.zone != nil {
			c.zone.add(chain[i])
		}
		c.publish(chain[i], true)
	}
}

func (c *blockCache) evicted(block uint64) {
	if c.zone != nil {
		c.zone.remove(block)
	}
	c.publish(block, false)
}

func (c *blockCache) publish(block uint64, stored bool) {
	c.sequence++
	if len(c.events) >= maximumEvents {
		c.events = c.events[maximumEvents/2:]
	}
	c.events = append(c.events, structs.CacheEvent{Sequence: c.sequence, Block: block, Stored: stored})
}

func (c *blockCache) takeEvents() []structs.CacheEvent {
	events := c.events
	c.events = nil
	return events
}

func (c *blockCache) prefixTokens(chain []uint64) int {
	for i, block := range chain {
		if _, known := c.blocks.Get(block); !known {
			return i * structs.BlockTokens
		}
	}
	return len(chain) * structs.BlockTokens
}

// recomputed returns how many of the tokens computed from start on lie in
// blocks that some engine of the zone caches.
func (c *blockCache) recomputed(chain []uint64, start, tokens int) int {
	if c.zone == nil {
		return 0
	}
	count := 0
	for position := start; position < start+tokens; {
		index := position / structs.BlockTokens
		end := min((index+1)*structs.BlockTokens, start+tokens)
		if index < len(chain) && c.zone.Holds(chain[index]) {
			count += end - position
		}
		position = end
	}
	return count
}
