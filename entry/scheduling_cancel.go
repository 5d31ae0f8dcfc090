package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/thornwalk/thornwalk/structs"
)

const (
	// cancellationRetention is how long a cancellation is remembered at least, unless maxCancellations is exceeded
	// before. Its node sends it again for finishRetryWindow at most.
	cancellationRetention = finishRetryWindow
	// maxCancellations bounds the cancellations of one generation. Two full generations take 0.6 MB.
	maxCancellations = 8192
)

// cancellations remembers the IDs of requests that were cancelled before they were handled, since the frames of a
// connection are handled concurrently. It keeps hashes, so that long IDs take no more memory. A request whose ID has
// the hash of another one is asked again by its node, under another ID. Of two generations the older one is dropped
// at each rotation. It is not safe for concurrent use.
type cancellations struct {
	current, previous map[uint64]struct{}
	rotatedAt         structs.Instant
}

// rotate starts a new generation if the current one is too old. Generations rotate only when they are used, so that
// a suspension ends no cancellation of the current one.
func (c *cancellations) rotate(now structs.Instant) {
	if c.current == nil || now-c.rotatedAt > cancellationRetention {
		c.startGeneration(now)
	}
}

func (c *cancellations) startGeneration(now structs.Instant) {
	c.previous, c.current, c.rotatedAt = c.current, map[uint64]struct{}{}, now
}

// add records that the request was cancelled.
func (c *cancellations) add(now structs.Instant, id string) {
	c.rotate(now)
	if len(c.current) >= maxCancellations {
		c.startGeneration(now)
	}
	c.current[xxhash.Sum64String(id)] = struct{}{}
}

// has reports whether the request was cancelled.
func (c *cancellations) has(now structs.Instant, id string) bool {
	c.rotate(now)
	hash := xxhash.Sum64String(id)
	_, isCurrent := c.current[hash]
	_, isPrevious := c.previous[hash]
	return isCurrent || isPrevious
}
