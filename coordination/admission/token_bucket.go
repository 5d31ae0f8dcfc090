package admission

import "github.com/thornwalk/thornwalk/structs"

// tokenBucket limits the requests assigned to a replica. The zero value is empty.
type tokenBucket struct {
	tokens     float64
	refilledAt structs.Instant
}

// refill adds rate tokens for each second since the last refill, up to burst. If the last refill was
// before since, the bucket is emptied and only the time from since on counts.
func (b *tokenBucket) refill(now, since structs.Instant, rate, burst float64) {
	if b.refilledAt < since {
		b.tokens, b.refilledAt = 0, since
	}
	b.tokens = min(b.tokens+rate*(now-b.refilledAt).Seconds(), burst)
	b.refilledAt = now
}

// available returns the number of whole tokens.
func (b *tokenBucket) available() int { return int(b.tokens) }

// consume removes one token. The count may become negative.
func (b *tokenBucket) consume() { b.tokens-- }
