package admission

import "github.com/thornwalk/thornwalk/structs"

// bank holds the requests that a replica may be given, as of paidAt. What it gives in a time is no
// more than it held at the beginning and what was paid in meanwhile.
type bank struct {
	held   float64
	paidAt structs.Instant
}

// fill pays in what came due, up to the burst. What was held before the instant is void.
func (b *bank) fill(now, since structs.Instant, rate, burst float64) {
	if b.paidAt < since {
		b.held, b.paidAt = 0, since
	}
	b.held = min(b.held+rate*(now-b.paidAt).Seconds(), burst)
	b.paidAt = now
}

// room returns how many requests may be given.
func (b *bank) room() int { return int(b.held) }

// take enters that one was given.
func (b *bank) take() { b.held-- }
