package staleness

import "github.com/thornwalk/thornwalk/structs"

// Freshness is when the newest complete read of the store that this node knows
// the result of began.
type Freshness struct {
	at    structs.Instant
	known bool
}

// Observe records that a read began at the instant.
func (f *Freshness) Observe(at structs.Instant) {
	if !f.known || at > f.at {
		f.at, f.known = at, true
	}
}

// Age returns the age in milliseconds, or -1 if there was no read.
func (f *Freshness) Age(now structs.Instant) int64 {
	if !f.known {
		return -1
	}
	return (now - f.at).Milliseconds()
}

// Known returns whether there was a read.
func (f *Freshness) Known() bool { return f.known }

// At returns when the read began.
func (f *Freshness) At() structs.Instant { return f.at }
