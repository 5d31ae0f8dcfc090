package staleness

import "github.com/thornwalk/thornwalk/structs"

// Freshness is the start time of the most recent complete read of the store whose result this
// node has. The zero value means that there was none. It is not safe for concurrent use.
type Freshness struct {
	readStartedAt structs.Instant
	hasRead       bool
}

// Observe records that a read started at the given instant.
func (f *Freshness) Observe(at structs.Instant) {
	if !f.hasRead || at > f.readStartedAt {
		f.readStartedAt, f.hasRead = at, true
	}
}

// Age returns the time since the read started in milliseconds, or -1 if there was no read.
func (f *Freshness) Age(now structs.Instant) int64 {
	if !f.hasRead {
		return -1
	}
	return (now - f.readStartedAt).Milliseconds()
}

// Known reports whether there was a read.
func (f *Freshness) Known() bool { return f.hasRead }

// ReadStartedAt returns the start of the read, or zero if there was none.
func (f *Freshness) ReadStartedAt() structs.Instant { return f.readStartedAt }
